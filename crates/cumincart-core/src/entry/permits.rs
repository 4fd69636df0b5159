//! How many connections this instance may hold to each endpoint.

use cumincart_protocol::{
    heartbeat::{PermitGrant, PermitReport, grant_term},
    name::EndpointName,
    number::ControlTerm,
    sorted::{Keyed, SortedVec},
    time::Instant,
};

/// The permits that the control leader granted.
#[derive(Debug, Default)]
pub struct Permits {
    /// The end of the lease on all permits.
    lease_until: Instant,
    /// One element for each endpoint that a grant named.
    held: SortedVec<Held>,
}

#[derive(Debug)]
struct Held {
    endpoint: EndpointName,
    grant_number: u64,
    permits: u32,
}

impl Keyed for Held {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// What this instance has open to an endpoint and could use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Connections that are open, being opened or being closed.
    pub open: u32,
    /// Connections that it could use.
    pub wanted: u32,
}

impl Keyed for ConnectionUse {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// The number of connections that may be open to an endpoint now; connections beyond it must be closed.
pub fn allowed(permits: &Permits, now: Instant, endpoint: &EndpointName) -> u32 {
    if now >= permits.lease_until {
        return 0;
    }
    permits.held.get(endpoint).map_or(0, |held| held.permits)
}

/// Gives up every permit whose lease has run out.
pub fn drop_expired(permits: &mut Permits, now: Instant) {
    if now < permits.lease_until {
        return;
    }
    for held in permits.held.iter_mut() {
        held.grant_number = 0;
        held.permits = 0;
    }
}

/// Gives up every permit that a leader of another term than `control_term` granted.
pub fn drop_other_terms(permits: &mut Permits, control_term: ControlTerm) {
    for held in permits.held.iter_mut() {
        if grant_term(held.grant_number) != control_term {
            held.grant_number = 0;
            held.permits = 0;
        }
    }
}

/// Takes grants and the lease on all permits.
pub fn on_grants(permits: &mut Permits, lease_until: Instant, grants: &[PermitGrant]) {
    permits.lease_until = lease_until;
    for grant in grants {
        let none = || Held { endpoint: grant.endpoint.clone(), grant_number: 0, permits: 0 };
        let held = permits.held.get_or_insert_with(&grant.endpoint, none);
        if held.grant_number == grant.replaces {
            held.grant_number = grant.grant_number;
            held.permits = grant.permits;
        }
    }
}

/// What the next heartbeat tells of each endpoint with permits, connections or a wish for some.
pub fn report(permits: &mut Permits, now: Instant, uses: &SortedVec<ConnectionUse>) -> Vec<PermitReport> {
    drop_expired(permits, now);
    for used in uses {
        let none = || Held { endpoint: used.endpoint.clone(), grant_number: 0, permits: 0 };
        permits.held.get_or_insert_with(&used.endpoint, none);
    }
    permits.held.iter().map(|held| report_of(held, uses.get(&held.endpoint))).collect()
}

fn report_of(held: &Held, used: Option<&ConnectionUse>) -> PermitReport {
    PermitReport {
        endpoint: held.endpoint.clone(),
        grant_number: held.grant_number,
        held: held.permits.max(used.map_or(0, |used| used.open)),
        wanted: used.map_or(0, |used| used.wanted),
    }
}
