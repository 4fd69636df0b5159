//! This instance's shares of organisations' rates and bursts.

use {
    super::Ticket,
    cumincart_protocol::{name::OrganisationName, time::Instant},
};

/// The token buckets and the requests that wait for a token.
#[derive(Debug, Default)]
pub struct Quota {}

/// What became of a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// A token was taken.
    Admitted,
    /// A token may come within the request's deadline; `released` will name the ticket.
    Waiting,
    /// No token can be there before this long.
    Refused {
        /// The time after which a token can be there.
        retry_after_ms: u64,
    },
}

/// Asks for one token for a request that must start before `deadline`.
pub fn take(
    _quota: &mut Quota,
    _now: Instant,
    _organisation: &OrganisationName,
    _ticket: Ticket,
    _deadline: Instant,
) -> QuotaDecision {
    QuotaDecision::Refused { retry_after_ms: 1_000 }
}

/// Takes the waiting requests that a token or their deadline has reached, with what became of each.
pub fn released(_quota: &mut Quota, _now: Instant) -> Vec<(Ticket, QuotaDecision)> {
    Vec::new()
}
