//! Decides whether this instance may use an endpoint as the primary of its group, and how a read must be guarded so
//! that an endpoint which has meanwhile been demoted returns no stale data.
//!
//! Keeps service up during an outage of the control group: term leases expire before the freshness lease, and endpoints
//! that refuse read-write transactions once they are demoted can be used until the freshness lease expires too.

use {
    super::positions::LogPoint,
    crate::entry::freshness::Freshness,
    cumincart_protocol::{
        name::{EndpointName, ServiceName},
        number::Term,
        time::Instant,
    },
};

/// What guarantees that an endpoint is the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrimaryGuarantee {
    /// Nothing: no lease is valid.
    None,
    /// The catalogue names it under a valid freshness lease, and the endpoint itself refuses writes and read-write
    /// transactions once it is demoted.
    SelfFencing,
    /// A valid term lease: no other endpoint is promoted before it expires.
    TermLease,
}

/// How a read is guarded against stale data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadGuard {
    /// Not at all: the term lease guarantees that the endpoint is the primary.
    None,
    /// The endpoint's log must have reached this point.
    AtLeast(LogPoint),
    /// The read runs in a read-write transaction, which only the primary accepts.
    ReadWriteTransaction,
}

/// Returns the guarantee under which an instance with these leases may use a group's primary. `fences_terms` states
/// whether endpoints themselves refuse writes and read-write transactions once they are demoted.
pub fn primary_guarantee(freshness: &Freshness, fences_terms: bool, now: Instant) -> PrimaryGuarantee {
    if freshness.holds_term_lease(now) {
        return PrimaryGuarantee::TermLease;
    }
    if fences_terms && freshness.is_fresh(now) {
        return PrimaryGuarantee::SelfFencing;
    }
    PrimaryGuarantee::None
}

/// Returns how a read at an endpoint must be guarded. `point` is the log point that the read must see if its database
/// allows bounded staleness.
pub fn read_guard(guarantee: PrimaryGuarantee, is_primary: bool, point: Option<LogPoint>) -> ReadGuard {
    if is_primary && guarantee == PrimaryGuarantee::TermLease {
        return ReadGuard::None;
    }
    point.map_or(ReadGuard::ReadWriteTransaction, ReadGuard::AtLeast)
}

/// Returns the term under which this instance may acknowledge a write or commit of an endpoint; `None` if it may not.
///
/// The term must be the same before the command is sent and after its answer has come. Then no other endpoint was chosen
/// meanwhile: a choice waits until every instance has applied the end of the term or lost its lease on it. Without such a
/// lease, only a service without synchronous replicas is written to, which accepts that a promotion loses commits.
pub fn commit_term(
    freshness: &Freshness,
    fences_terms: bool,
    service: &ServiceName,
    endpoint: &EndpointName,
    now: Instant,
) -> Option<Term> {
    let group = freshness.catalogue.group(service)?;
    if !group.writable || group.primary.as_ref() != Some(endpoint) {
        return None;
    }
    let limits = freshness.catalogue.lists.interactive.services.get(service);
    let is_asynchronous = limits.is_some_and(|limits| limits.synchronous_replicas == 0);
    match primary_guarantee(freshness, fences_terms, now) {
        PrimaryGuarantee::TermLease => Some(group.term),
        PrimaryGuarantee::SelfFencing if is_asynchronous => Some(group.term),
        PrimaryGuarantee::SelfFencing | PrimaryGuarantee::None => None,
    }
}
