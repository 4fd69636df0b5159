//! Limits how many connections this instance may hold to each endpoint.
//!
//! Most permits end with the freshness lease. A few, to endpoints of this instance's own failure domain, are
//! kept for longer, so that open routes stay usable in a failure domain that is cut off.

use {
    cumincart_protocol::{
        heartbeat::{PermitGrant, PermitReport, grant_term},
        name::EndpointName,
        number::ControlTerm,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::time::Duration,
};

/// How long kept permits stay valid after the last heartbeat that the leader answered was sent, in
/// milliseconds.
pub const KEPT_PERMIT_LEASE_MS: u64 = 600_000;

/// The permits that the control leader granted.
#[derive(Debug, Default)]
pub struct Permits {
    /// The end of the lease on all permits.
    lease_until: Instant,
    /// The end of the lease on the kept permits.
    kept_lease_until: Instant,
    /// One element for each endpoint that a grant named or that is in use.
    held: SortedVec<HeldPermits>,
}

#[derive(Debug)]
struct HeldPermits {
    endpoint: EndpointName,
    grant_number: u64,
    permits: u32,
    kept: u32,
    last_report: Option<PermitReport>,
    reported_at: Option<Instant>,
}

impl Permits {
    /// Whether the lease on all permits is live; without it only the kept ones count.
    pub fn holds_lease(&self, now: Instant) -> bool {
        now < self.lease_until
    }
}

impl HeldPermits {
    fn new(endpoint: EndpointName) -> Self {
        Self { endpoint, grant_number: 0, permits: 0, kept: 0, last_report: None, reported_at: None }
    }

    fn drop_leased(&mut self) {
        self.grant_number = 0;
        self.permits = self.kept;
    }
}

impl Keyed for HeldPermits {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// The connections to an endpoint that this instance holds and wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Connections that are open, being opened or being closed.
    pub open: u32,
    /// Connections that this instance could use.
    pub wanted: u32,
}

impl Keyed for ConnectionUse {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// Returns the number of connections that may be open to an endpoint now. Connections beyond it must be
/// closed.
pub fn allowed(permits: &Permits, now: Instant, endpoint: &EndpointName) -> u32 {
    let Some(held) = permits.held.get(endpoint) else {
        return 0;
    };
    if now < permits.lease_until {
        return held.permits;
    }
    if now < permits.kept_lease_until { held.kept } else { 0 }
}

/// Drops the permits whose lease has expired.
pub fn drop_expired(permits: &mut Permits, now: Instant) {
    if now < permits.lease_until {
        return;
    }
    let is_kept_lease_live = now < permits.kept_lease_until;
    for held in permits.held.iter_mut() {
        if !is_kept_lease_live {
            held.kept = 0;
        }
        held.drop_leased();
    }
}

/// Drops every permit, before a planned stop is reported.
pub fn drop_all(permits: &mut Permits) {
    *permits = Permits::default();
}

/// Drops the leased permits granted by a leader of another term than `control_term`.
pub fn drop_other_terms(permits: &mut Permits, control_term: ControlTerm) {
    for held in permits.held.iter_mut() {
        if grant_term(held.grant_number) != control_term {
            held.drop_leased();
        }
    }
}

/// Applies grants and the lease on all permits. The longer lease on kept permits counts from `asked_at`.
pub fn on_grants(permits: &mut Permits, asked_at: Instant, lease_until: Instant, grants: &[PermitGrant]) {
    permits.lease_until = lease_until;
    permits.kept_lease_until =
        permits.kept_lease_until.max(asked_at + Duration::from_millis(KEPT_PERMIT_LEASE_MS));
    for grant in grants {
        let held =
            permits.held.get_or_insert_with(&grant.endpoint, || HeldPermits::new(grant.endpoint.clone()));
        if held.grant_number == grant.replaces {
            held.grant_number = grant.grant_number;
            held.permits = grant.permits;
            held.kept = grant.kept;
        }
    }
}

/// Returns the reports for the next heartbeat: on every endpoint with permits, connections or demand, or only
/// on those that have changed since a report that the leader has acknowledged.
pub fn report(
    permits: &mut Permits,
    now: Instant,
    acknowledged_until: Option<Instant>,
    uses: &SortedVec<ConnectionUse>,
) -> Vec<PermitReport> {
    drop_expired(permits, now);
    for used in uses {
        permits.held.get_or_insert_with(&used.endpoint, || HeldPermits::new(used.endpoint.clone()));
    }
    let mut reports = Vec::new();
    for held in permits.held.iter_mut() {
        let report = report_of(held, uses.get(&held.endpoint));
        if held.last_report.is_none() && is_nothing(&report) {
            continue;
        }
        let is_acknowledged =
            held.reported_at.is_some_and(|at| acknowledged_until.is_some_and(|until| at <= until));
        if is_acknowledged && held.last_report.as_ref() == Some(&report) {
            continue;
        }
        held.reported_at = Some(now);
        held.last_report = Some(report.clone());
        reports.push(report);
    }
    reports
}

/// Returns whether a report says what the leader assumes of an endpoint that was never reported. At an instance most
/// endpoints of a large fleet are such.
fn is_nothing(report: &PermitReport) -> bool {
    report.grant_number == 0 && report.held == 0 && report.kept == 0 && report.wanted == 0
}

fn report_of(held: &HeldPermits, used: Option<&ConnectionUse>) -> PermitReport {
    PermitReport {
        endpoint: held.endpoint.clone(),
        grant_number: held.grant_number,
        held: held.permits.max(used.map_or(0, |used| used.open)),
        kept: held.kept,
        wanted: used.map_or(0, |used| used.wanted),
    }
}
