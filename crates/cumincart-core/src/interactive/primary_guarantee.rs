//! On what this instance takes an endpoint as its group's primary, and what a read there needs so that an endpoint that
//! has lost the lead meanwhile serves nothing outdated.
//!
//! Answers an outage of the control group: leases on terms run out before those on keys, and endpoints that refuse plain
//! transactions after they have lost the lead can go on serving until the latter do.

use {super::positions::LogPoint, crate::entry::freshness::Freshness, cumincart_protocol::time::Instant};

/// What says that an endpoint is the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrimaryGuarantee {
    /// Nothing that is current.
    None,
    /// The catalogue did lately; the endpoint refuses plain transactions and writes itself once it has lost the lead.
    SelfFencing,
    /// A lease on the term: nobody else is promoted before it has run out.
    TermLease,
}

/// What a read needs besides its own text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadGuard {
    /// Nothing: the lease vouches for the endpoint.
    None,
    /// The endpoint's log must have this point.
    AtLeast(LogPoint),
    /// A plain transaction around it, which only the primary accepts.
    ReadWriteTransaction,
}

/// On what an instance with these leases may use a group's primary. `fences_terms` tells whether endpoints refuse writes
/// and plain transactions themselves once they have lost the lead.
pub fn primary_guarantee(freshness: &Freshness, fences_terms: bool, now: Instant) -> PrimaryGuarantee {
    if freshness.holds_term_lease(now) {
        return PrimaryGuarantee::TermLease;
    }
    if fences_terms && freshness.is_fresh(now) {
        return PrimaryGuarantee::SelfFencing;
    }
    PrimaryGuarantee::None
}

/// What a read needs at an endpoint. `point` is what it must see, where its route accepts an age.
pub fn read_guard(guarantee: PrimaryGuarantee, is_primary: bool, point: Option<LogPoint>) -> ReadGuard {
    if is_primary && guarantee == PrimaryGuarantee::TermLease {
        return ReadGuard::None;
    }
    point.map_or(ReadGuard::ReadWriteTransaction, ReadGuard::AtLeast)
}
