//! The checkers: each holds a history against one promise.

mod answers;
mod at_most_once;
mod configuration;
mod liveness;
mod not_run;
mod old_primary;
mod organisations;
mod planned_stop;
mod rates;
mod service_state;
mod sessions;
mod transactions;

use crate::history::History;

/// A promise of the brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A session reads its own writes, and its reads never go back.
    ReadYourWrites,
    /// No write is acknowledged by an old primary, and each acknowledged write was committed.
    NoOldPrimary,
    /// Transactions never mix.
    TransactionsApart,
    /// A request runs only for the organisation whose key came with it, and not with a withdrawn key.
    OwnOrganisation,
    /// No organisation gets more than its rate and burst.
    Rates,
    /// A failure domain that is out gets no new work.
    ServiceState,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A planned stop cuts no request.
    PlannedStop,
    /// An accepted configuration never reverts, and each change has one outcome.
    Configuration,
    /// After the faults, every session is served again.
    Liveness,
}

/// A broken promise.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

impl Violation {
    fn new(promise: Promise, seen: String) -> Self {
        Self { promise, seen }
    }
}

/// Runs all checkers.
pub fn check_all(history: &History) -> Vec<Violation> {
    let checkers = [
        sessions::check,
        old_primary::check,
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
