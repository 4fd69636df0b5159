//! The leader's ledger of the connections that entry instances may open to each endpoint.
//!
//! Permits are kept in escrow like shares: the sum of what all instances hold or may hold stays within the
//! connection limit of each endpoint. A fifth of the limit is reserved for kept permits. These go to
//! instances in the endpoint's own failure domain and stay valid for [`KEPT_PERMIT_LEASE_MS`], also after the
//! freshness lease has expired. The rest are leased permits, which end with the freshness lease and follow
//! demand.
//!
//! The ledger is not replicated. A new leader issues no new grants until every lease from an earlier leader
//! has expired, or its holder has reported what it holds.

mod holder;
mod target;

use {
    super::holder_key::HolderKey,
    crate::{
        entry::{maintenance::UNLEASED_COMMAND_TIMEOUT_MS, permits::KEPT_PERMIT_LEASE_MS},
        timing::{FRESHNESS_LEASE_MS, grantor_lease_ms},
    },
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry},
        heartbeat::{Heartbeat, PermitGrant, PermitReport, first_grant_number},
        name::{EndpointName, InstanceName},
        number::{ControlTerm, Incarnation},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    holder::{Grant, Holder, Holding},
    std::time::Duration,
    target::{AllocationContext, CONNECTIONS_MAX},
};

/// How long an instance may take to close its connections after its lease has expired, in milliseconds.
const CLOSE_GRACE_MS: u64 = UNLEASED_COMMAND_TIMEOUT_MS + 1_000;

/// The interval between two checks for expired holders, in milliseconds.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 100;

/// The permits that each entry instance holds or may hold.
#[derive(Debug, Default)]
pub struct Ledger {
    control_term: ControlTerm,
    /// The number of the last grant.
    last_grant_number: u64,
    /// The time until which leases of an earlier leader that are unknown here may be valid.
    earlier_leases_until: Instant,
    next_expiry_check_at: Instant,
    /// The time until which instances with an expired lease of an earlier leader may still be closing
    /// connections.
    earlier_closes_until: Instant,
    /// The time until which kept permits of an earlier leader that are unknown here may be valid.
    earlier_kept_permits_until: Instant,
    holders: SortedVec<Holder>,
    totals: SortedVec<EndpointTotals>,
}

/// The totals of one endpoint over all holders.
#[derive(Debug)]
struct EndpointTotals {
    endpoint: EndpointName,
    leased: u32,
    kept: u32,
    /// The connections that holders want in addition to one connection each.
    extra_demand: u32,
    /// The number of holders that want connections.
    holders_with_demand: u32,
}

impl Keyed for EndpointTotals {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

impl EndpointTotals {
    fn subtract(&mut self, holding: &Holding) {
        self.leased -= holding.max_leased();
        self.kept -= holding.max_kept();
        self.extra_demand -= holding.extra_demand;
        self.holders_with_demand -= u32::from(holding.has_demand);
    }

    fn add(&mut self, holding: &Holding) {
        self.leased += holding.max_leased();
        self.kept += holding.max_kept();
        self.extra_demand += holding.extra_demand;
        self.holders_with_demand += u32::from(holding.has_demand);
    }
}

/// Resets the ledger at the start of a leadership. Grants of earlier leaders are unknown until their leases
/// have expired.
pub fn on_elected(ledger: &mut Ledger, now: Instant, control_term: ControlTerm) {
    let lease_ms = grantor_lease_ms(FRESHNESS_LEASE_MS);
    *ledger = Ledger {
        control_term,
        last_grant_number: first_grant_number(control_term),
        earlier_leases_until: now + Duration::from_millis(lease_ms),
        earlier_kept_permits_until: now
            + Duration::from_millis(grantor_lease_ms(KEPT_PERMIT_LEASE_MS) + CLOSE_GRACE_MS),
        ..Ledger::default()
    };
}

/// Resets the ledger for the first leadership of a new control group. No earlier leader exists, so there are
/// no earlier grants to wait for.
pub fn on_first_elected(ledger: &mut Ledger, control_term: ControlTerm) {
    *ledger =
        Ledger { control_term, last_grant_number: first_grant_number(control_term), ..Ledger::default() };
}

/// Ends the recovery period after an election, since everything granted under leases of earlier leaders has
/// been reported or released.
pub fn end_lease_recovery(ledger: &mut Ledger, now: Instant) {
    ledger.earlier_leases_until = ledger.earlier_leases_until.min(now);
    ledger.earlier_kept_permits_until = ledger.earlier_kept_permits_until.min(now);
}

/// Applies the reports of a heartbeat and returns the grants for the answer. Ignores a heartbeat that is not
/// newer than the last one of the same run, and returns no grants for it.
pub fn on_heartbeat(
    ledger: &mut Ledger,
    now: Instant,
    catalogue: &Catalogue,
    heartbeat: &Heartbeat,
) -> Vec<PermitGrant> {
    release_expired(ledger, now);
    let key = HolderKey::of(heartbeat);
    let empty = || Holder::new(key.clone(), heartbeat.domain.clone(), now);
    let mut holder = std::mem::replace(ledger.holders.get_or_insert_with(&key, empty), empty());
    if holder.last_asked_at.is_some_and(|last| heartbeat.asked_at <= last) {
        ledger.holders.insert(holder);
        return Vec::new();
    }
    holder.last_asked_at = Some(heartbeat.asked_at);
    holder.last_heartbeat_at = now;
    holder.has_lease = !heartbeat.leaving;
    let recovering = now < ledger.earlier_leases_until;
    for report in &heartbeat.permits {
        let holding =
            holder.holdings.get_or_insert_with(&report.endpoint, || Holding::new(report.endpoint.clone()));
        let totals = totals_of(&mut ledger.totals, &report.endpoint);
        totals.subtract(holding);
        holding.apply_report(&clamped(report), recovering, ledger.control_term);
        totals.add(holding);
    }
    let grants = update_grants(ledger, now, catalogue, &mut holder);
    ledger.holders.insert(holder);
    grants
}

/// Returns a report without impossible values: a faulty instance must not make the ledger's sums overflow.
fn clamped(report: &PermitReport) -> PermitReport {
    PermitReport {
        held: report.held.min(CONNECTIONS_MAX),
        kept: report.kept.min(CONNECTIONS_MAX),
        wanted: report.wanted.min(CONNECTIONS_MAX),
        ..report.clone()
    }
}

/// Records that the freshness lease of a run has expired or that the run has left. It may still be closing
/// connections, so its permits are released later: leased permits after a grace period, kept permits after
/// their own lease.
pub fn on_lease_end(ledger: &mut Ledger, now: Instant, instance: &InstanceName, incarnation: Incarnation) {
    let key = HolderKey { instance: instance.clone(), incarnation };
    if let Some(holder) = ledger.holders.get_mut(&key) {
        holder.has_lease = false;
    }
    release_expired(ledger, now);
}

/// Releases all permits of a run that has closed its connections: it has left, or its process has exited.
pub fn on_run_ended(ledger: &mut Ledger, instance: &InstanceName, incarnation: Incarnation) {
    let key = HolderKey { instance: instance.clone(), incarnation };
    let Some(holder) = ledger.holders.remove(&key) else {
        return;
    };
    for holding in &holder.holdings {
        totals_of(&mut ledger.totals, &holding.endpoint).subtract(holding);
    }
}

/// Returns the number of connections to an endpoint that all instances together hold or may hold.
pub fn allocated(ledger: &Ledger, endpoint: &EndpointName) -> u32 {
    ledger.totals.get(endpoint).map_or(0, |totals| totals.leased + totals.kept)
}

fn totals_of<'a>(
    totals: &'a mut SortedVec<EndpointTotals>,
    endpoint: &EndpointName,
) -> &'a mut EndpointTotals {
    let empty = || EndpointTotals {
        endpoint: endpoint.clone(),
        leased: 0,
        kept: 0,
        extra_demand: 0,
        holders_with_demand: 0,
    };
    totals.get_or_insert_with(endpoint, empty)
}

/// Releases the permits of holders that have sent no heartbeat for longer than the permits are valid.
fn release_expired(ledger: &mut Ledger, now: Instant) {
    if now < ledger.next_expiry_check_at {
        return;
    }
    ledger.next_expiry_check_at = now + Duration::from_millis(EXPIRY_CHECK_INTERVAL_MS);
    let leased = Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS) + CLOSE_GRACE_MS);
    let kept = Duration::from_millis(grantor_lease_ms(KEPT_PERMIT_LEASE_MS) + CLOSE_GRACE_MS);
    let totals = &mut ledger.totals;
    for holder in ledger.holders.iter_mut().filter(|holder| now >= holder.last_heartbeat_at + leased) {
        holder.has_lease = false;
        let kept_valid = now < holder.last_heartbeat_at + kept;
        for holding in holder.holdings.iter_mut() {
            let totals = totals_of(totals, &holding.endpoint);
            totals.subtract(holding);
            holding.expire(kept_valid);
            totals.add(holding);
        }
    }
    ledger.holders.retain(|holder| now < holder.last_heartbeat_at + kept);
}

fn update_grants(
    ledger: &mut Ledger,
    now: Instant,
    catalogue: &Catalogue,
    holder: &mut Holder,
) -> Vec<PermitGrant> {
    let context = allocation_context(ledger, holder);
    let recovering = now < ledger.earlier_leases_until;
    let may_be_closing = now < ledger.earlier_closes_until;
    let kept_unknown = now < ledger.earlier_kept_permits_until;
    // Interactive sessions need a lease even on open databases, so there is no use for kept permits.
    let allows_kept = catalogue.lists.interactive.databases.is_empty();
    let mut grants = Vec::new();
    for endpoint in catalogue.groups.iter().flat_map(|group| group.endpoints.iter()) {
        let is_near = holder.domain == endpoint.domain;
        // All other holders are granted something only once they have reported a use.
        if allows_kept && is_near {
            holder.holdings.get_or_insert_with(&endpoint.name, || Holding::new(endpoint.name.clone()));
        }
        let Some(holding) = holder.holdings.get_mut(&endpoint.name) else { continue };
        let totals = totals_of(&mut ledger.totals, &endpoint.name);
        totals.subtract(holding);
        holding.decay_extra_demand();
        totals.add(holding);
        if holding.outstanding.is_none() {
            let next = if recovering {
                holding.reissued_grant(ledger.control_term)
            } else {
                next_grant(
                    endpoint,
                    totals,
                    holding,
                    &context,
                    is_near && !kept_unknown,
                    may_be_closing,
                    allows_kept,
                )
            };
            if let Some(next) = next {
                ledger.last_grant_number += 1;
                totals.subtract(holding);
                holding.outstanding = Some(Grant { grant_number: ledger.last_grant_number, ..next });
                totals.add(holding);
            }
        }
        grants.extend(holding.grant_to_send());
    }
    grants
}

fn allocation_context(ledger: &Ledger, holder: &Holder) -> AllocationContext {
    let with_lease = ledger.holders.iter().filter(|other| other.has_lease);
    let in_domain = with_lease.clone().filter(|other| other.domain == holder.domain).count();
    let this_holder = usize::from(holder.has_lease);
    AllocationContext {
        competing_instances: u32::try_from(with_lease.count() + this_holder).unwrap_or(u32::MAX),
        instances_in_domain: u32::try_from(in_domain + this_holder).unwrap_or(u32::MAX),
        has_lease: holder.has_lease,
        has_demand: false,
    }
}

/// Returns the next grant for a holder, without its number. Returns none if its permits are up to date.
fn next_grant(
    endpoint: &EndpointEntry,
    totals: &EndpointTotals,
    holding: &Holding,
    context: &AllocationContext,
    may_gain_kept: bool,
    may_be_closing: bool,
    allows_kept: bool,
) -> Option<Grant> {
    let budget = target::budget(endpoint.connection_limit, allows_kept);
    let leasable = if may_be_closing { budget.leased / 2 } else { budget.leased };
    let confirmed = holding.confirmed;
    let kept_target = target::kept(&budget, context, holding.max_kept(), may_gain_kept);
    let kept_available = budget.kept.saturating_sub(totals.kept - holding.max_kept());
    let context = AllocationContext {
        competing_instances: totals.holders_with_demand,
        has_demand: holding.has_demand,
        ..*context
    };
    let leased_target = target::leased(&budget, &context, holding.extra_demand, totals.extra_demand);
    let leased_available =
        leasable.saturating_sub(totals.leased - holding.max_leased()).max(confirmed.leased());
    let kept = kept_target.min(kept_available);
    let leased = leased_target.min(leased_available);
    let next = Grant { permits: kept + leased, kept, ..Grant::default() };
    let unchanged = next.permits == confirmed.permits && next.kept == confirmed.kept;
    let is_minor_decrease = confirmed.kept == kept && confirmed.permits == next.permits + 1 && leased > 0;
    if unchanged || is_minor_decrease { None } else { Some(next) }
}
