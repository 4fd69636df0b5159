//! Checkers. Each one checks a history against one guarantee.

mod acknowledged_writes;
mod answers;
mod at_most_once;
mod configuration;
mod liveness;
mod not_run;
mod organisations;
mod planned_stop;
mod rates;
mod service_state;
mod sessions;
mod transactions;

use crate::history::History;

/// A guarantee of the proxy to clients and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A session reads its own writes, and its reads are monotonic.
    ReadYourWrites,
    /// No write is acknowledged by a former primary, and every acknowledged write was committed.
    AcknowledgedWrites,
    /// A commit contains the writes of one transaction only, and all of them.
    TransactionIsolation,
    /// A request runs only for the organisation that owns its key, and not with a withdrawn key.
    OrganisationIsolation,
    /// No organisation exceeds its rate and burst.
    RateLimits,
    /// A failure domain that is out of service receives no new requests.
    ServiceState,
    /// A client receives the complete answer to its own request.
    MatchingAnswer,
    /// A request refused with the verdict "not run" was not committed.
    NotRunVerdict,
    /// A request that is not repeatable is committed at most once.
    AtMostOnce,
    /// A planned stop interrupts no request.
    PlannedStop,
    /// An accepted configuration is never reverted, and each change has one outcome.
    Configuration,
    /// Every session is served again after the faults end.
    Liveness,
}

/// A violation of a guarantee.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// The evidence in the history.
    pub details: String,
}

impl Violation {
    fn new(guarantee: Guarantee, details: String) -> Self {
        Self { guarantee, details }
    }
}

/// Runs all checkers.
pub fn check_all(history: &History) -> Vec<Violation> {
    let checkers = [
        sessions::check,
        acknowledged_writes::check,
        transactions::check,
        organisations::check,
        rates::check,
        service_state::check,
        answers::check,
        not_run::check,
        at_most_once::check,
        planned_stop::check,
        configuration::check,
        liveness::check,
    ];
    checkers.iter().flat_map(|check| check(history)).collect()
}
