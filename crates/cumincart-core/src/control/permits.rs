//! The leader's ledger of endpoints' connections.
//!
//! The ledger is the leader's own, not replicated: a new leader grants nothing before every lease that an earlier
//! leader gave has run out or its holder has reported what it holds.

use {
    crate::timing::{FRESHNESS_LEASE_MS, grantor_lease_ms},
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry},
        heartbeat::{Heartbeat, PermitGrant, PermitReport, first_grant_number, grant_term},
        name::{EndpointName, InstanceName},
        number::{ControlTerm, Incarnation},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::time::Duration,
};

/// What each entry instance holds or may still hold.
#[derive(Debug, Default)]
pub struct Ledger {
    control_term: ControlTerm,
    /// The number of the last grant.
    last_grant_number: u64,
    /// Until then, leases of an earlier leader may be live that this one does not know of.
    unknown_until: Instant,
    holders: SortedVec<Holder>,
}

/// One run of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    instance: InstanceName,
    incarnation: Incarnation,
}

#[derive(Debug)]
struct Holder {
    key: HolderKey,
    active: bool,
    last_asked_at: Option<Instant>,
    heard_at: Instant,
    holdings: SortedVec<Holding>,
}

impl Keyed for Holder {
    type Key = HolderKey;

    fn key(&self) -> &HolderKey {
        &self.key
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Granted {
    grant_number: u64,
    permits: u32,
}

#[derive(Debug)]
struct Holding {
    endpoint: EndpointName,
    confirmed: Granted,
    outstanding: Option<Granted>,
    /// What the holder reported to hold, with connections that it has yet to close.
    reported: u32,
}

impl Keyed for Holding {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

impl Holding {
    fn new(endpoint: EndpointName) -> Self {
        Self { endpoint, confirmed: Granted::default(), outstanding: None, reported: 0 }
    }

    /// The most connections that the holder may have open.
    fn counted(&self) -> u32 {
        self.confirmed.permits.max(self.outstanding.unwrap_or_default().permits).max(self.reported)
    }
}

/// Begins a leadership: what earlier leaders granted is unknown until their leases have run out.
pub fn on_elected(ledger: &mut Ledger, now: Instant, control_term: ControlTerm) {
    *ledger = Ledger {
        control_term,
        last_grant_number: first_grant_number(control_term),
        unknown_until: now + Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS)),
        ..Ledger::default()
    };
}

/// Begins the first leadership of a new group: there was no leader before it, so nothing was granted.
pub fn on_first_elected(ledger: &mut Ledger, control_term: ControlTerm) {
    *ledger =
        Ledger { control_term, last_grant_number: first_grant_number(control_term), ..Ledger::default() };
}

/// Takes a heartbeat's reports in and gives the grants to answer with. A heartbeat that another one of the same run
/// has overtaken brings and gets nothing.
pub fn on_heartbeat(
    ledger: &mut Ledger,
    now: Instant,
    catalogue: &Catalogue,
    heartbeat: &Heartbeat,
) -> Vec<PermitGrant> {
    drop_expired(ledger, now);
    let key = HolderKey { instance: heartbeat.instance.clone(), incarnation: heartbeat.incarnation };
    let mut holder = ledger.holders.remove(&key).unwrap_or_else(|| Holder {
        key,
        active: false,
        last_asked_at: None,
        heard_at: now,
        holdings: SortedVec::new(),
    });
    if holder.last_asked_at.is_some_and(|last| heartbeat.asked_at <= last) {
        ledger.holders.insert(holder);
        return Vec::new();
    }
    holder.last_asked_at = Some(heartbeat.asked_at);
    holder.heard_at = now;
    holder.active = !heartbeat.leaving;
    let recovering = now < ledger.unknown_until;
    for report in &heartbeat.permits {
        let trusted = recovering && grant_term(report.grant_number) < ledger.control_term;
        take_report(&mut holder, report, trusted);
    }
    let grants = grants_for(ledger, recovering, catalogue, &mut holder);
    ledger.holders.insert(holder);
    grants
}

/// Takes back all that an instance held, after its freshness lease has run out or it has left.
pub fn on_lease_end(ledger: &mut Ledger, _now: Instant, instance: &InstanceName, incarnation: Incarnation) {
    ledger.holders.remove(&HolderKey { instance: instance.clone(), incarnation });
}

/// The connections to an endpoint that all instances together hold or may hold.
pub fn allocated(ledger: &Ledger, endpoint: &EndpointName) -> u32 {
    let counted =
        ledger.holders.iter().filter_map(|holder| holder.holdings.get(endpoint)).map(Holding::counted);
    counted.sum()
}

fn drop_expired(ledger: &mut Ledger, now: Instant) {
    let lease = Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
    ledger.holders.retain(|holder| now < holder.heard_at + lease);
}

fn take_report(holder: &mut Holder, report: &PermitReport, trusted: bool) {
    let holding =
        holder.holdings.get_or_insert_with(&report.endpoint, || Holding::new(report.endpoint.clone()));
    holding.reported = report.held;
    if let Some(sent) = holding.outstanding.filter(|sent| sent.grant_number == report.grant_number) {
        holding.confirmed = sent;
        holding.outstanding = None;
        return;
    }
    if report.grant_number == holding.confirmed.grant_number {
        return;
    }
    holding.outstanding = None;
    let permits = if trusted { report.held } else { 0 };
    holding.confirmed = Granted { grant_number: report.grant_number, permits };
}

fn grants_for(
    ledger: &mut Ledger,
    recovering: bool,
    catalogue: &Catalogue,
    holder: &mut Holder,
) -> Vec<PermitGrant> {
    let active = ledger.holders.iter().filter(|other| other.active).count() + usize::from(holder.active);
    let parts = u32::try_from(active.max(1)).unwrap_or(u32::MAX);
    let mut grants = Vec::new();
    for endpoint in catalogue.groups.iter().flat_map(|group| group.endpoints.iter()) {
        let elsewhere = allocated(ledger, &endpoint.name);
        let holding =
            holder.holdings.get_or_insert_with(&endpoint.name, || Holding::new(endpoint.name.clone()));
        if holding.outstanding.is_none() {
            let target = if holder.active { endpoint.connection_limit / parts } else { 0 };
            let permits = if recovering {
                holding.confirmed.permits
            } else {
                capped(endpoint, target, elsewhere, holding)
            };
            let number = holding.confirmed.grant_number;
            let confirms = recovering && number != 0 && grant_term(number) < ledger.control_term;
            if confirms || permits != holding.confirmed.permits {
                ledger.last_grant_number += 1;
                holding.outstanding = Some(Granted { grant_number: ledger.last_grant_number, permits });
            }
        }
        grants.extend(grant_to_send(holding));
    }
    grants
}

/// A holder's target, as far as the endpoint's limit allows beside what others hold.
fn capped(endpoint: &EndpointEntry, target: u32, elsewhere: u32, holding: &Holding) -> u32 {
    let room = endpoint.connection_limit.saturating_sub(elsewhere);
    target.min(room.max(holding.confirmed.permits.min(target)))
}

fn grant_to_send(holding: &Holding) -> Option<PermitGrant> {
    let sent = holding.outstanding?;
    Some(PermitGrant {
        endpoint: holding.endpoint.clone(),
        grant_number: sent.grant_number,
        replaces: holding.confirmed.grant_number,
        permits: sent.permits,
    })
}
