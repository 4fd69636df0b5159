//! The leader's ledger of the rates and bursts that entry instances hold for each organisation.
//!
//! Shares are kept in escrow: the sum of what all instances hold or may hold and of the leader's own reserve
//! never exceeds the plan. A share is granted to another instance only after its holder has confirmed a lower
//! grant or the holder's lease has expired. Each grant names the grant that it replaces, so a lost, duplicate
//! or late answer has no effect.
//!
//! The ledger is not replicated. Until every lease from an earlier leader has expired, or its holder has reported
//! what it holds, a new leader only moves shares between holders that have reported: what they hold together is
//! known to be theirs, so it can follow demand, while the rest of the plan may belong to others.

mod holder;
mod organisation_quota;
mod target;

use {
    super::holder_key::HolderKey,
    crate::timing::{FRESHNESS_LEASE_MS, grantor_lease_ms},
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{Heartbeat, Share, ShareGrant, ShareReport, first_grant_number, grant_term},
        lists::Lists,
        name::{DomainName, InstanceName, OrganisationName},
        number::{ControlTerm, Incarnation, Revision},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    holder::{DomainCount, Grant, Holder, Holding},
    organisation_quota::OrganisationQuota,
    std::{sync::Arc, time::Duration},
    target::Topology,
};

/// The highest rate, burst or demand that is taken from a report, in thousandths: the highest rate of a plan.
const REPORTED_MAX_MILLI: u64 = 1_000_000_000_000;

/// The interval between two checks for expired holders, in milliseconds.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 100;

/// The shares that each entry instance holds or may hold.
#[derive(Debug, Default)]
pub struct Ledger {
    control_term: ControlTerm,
    /// The number of the last grant.
    last_grant_number: u64,
    /// The time until which leases of an earlier leader that are unknown here may be valid.
    earlier_leases_until: Instant,
    /// Whether shares of an earlier leader that are unknown here may exist.
    recovering: bool,
    next_expiry_check_at: Instant,
    lists: Arc<Lists>,
    /// The catalogue revision at which `lists` was applied.
    lists_known_since: Revision,
    quotas: SortedVec<OrganisationQuota>,
    holders: SortedVec<Holder>,
    domains: SortedVec<DomainCount>,
}

/// A violation of the ledger's invariants.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// The sum over all holders differs from the total in the organisation's quota.
    SumMismatch {
        /// The organisation.
        organisation: OrganisationName,
        /// The sum over all holders.
        held_total: Share,
        /// The total in the quota.
        allocated: Share,
    },
    /// A grant raised the allocation above the plan.
    Overallocated {
        /// The organisation.
        organisation: OrganisationName,
        /// The part of the plan that may be allocated.
        allocatable: Share,
        /// The allocated total.
        allocated: Share,
    },
}

/// Resets the ledger at the start of a leadership. Grants of earlier leaders are unknown until their leases
/// have expired.
pub fn on_elected(ledger: &mut Ledger, now: Instant, control_term: ControlTerm) {
    *ledger = Ledger {
        control_term,
        last_grant_number: first_grant_number(control_term),
        earlier_leases_until: now + Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS)),
        recovering: true,
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
    end_recovery_if_due(ledger, now);
}

fn end_recovery_if_due(ledger: &mut Ledger, now: Instant) {
    if !ledger.recovering || now < ledger.earlier_leases_until {
        return;
    }
    ledger.recovering = false;
    for quota in ledger.quotas.iter_mut() {
        quota.end_recovery(now);
    }
}

/// Applies the reports of a heartbeat and returns the grants for the answer. Ignores a heartbeat that is not
/// newer than the last one of the same run, and returns no grants for it.
pub fn on_heartbeat(
    ledger: &mut Ledger,
    now: Instant,
    catalogue: &Catalogue,
    heartbeat: &Heartbeat,
) -> Vec<ShareGrant> {
    release_expired(ledger, now);
    end_recovery_if_due(ledger, now);
    apply_lists(ledger, now, catalogue);
    let key = HolderKey::of(heartbeat);
    let mut holder = detach_holder(ledger, &key, &heartbeat.domain);
    if holder.last_asked_at.is_some_and(|last| heartbeat.asked_at <= last) {
        ledger.holders.insert(holder);
        return Vec::new();
    }
    holder.last_asked_at = Some(heartbeat.asked_at);
    holder.last_heartbeat_at = now;
    holder.has_reported_all |= heartbeat.complete;
    set_in_service(ledger, &mut holder, is_in_service(catalogue, heartbeat));
    let topology = topology_of(ledger, &holder);
    let has_current_lists = heartbeat.revision >= ledger.lists_known_since;
    for report in &heartbeat.shares {
        apply_report(ledger, now, &mut holder, &clamped(report), &topology, has_current_lists);
    }
    let grants = update_grants(ledger, now, &mut holder, &topology);
    ledger.holders.insert(holder);
    grants
}

/// Releases everything that a run held, after its freshness lease has expired or it has left.
pub fn on_lease_end(ledger: &mut Ledger, now: Instant, instance: &InstanceName, incarnation: Incarnation) {
    let key = HolderKey { instance: instance.clone(), incarnation };
    if let Some(mut holder) = ledger.holders.remove(&key) {
        release_all(ledger, now, &mut holder);
    }
}

/// Returns the violations of the ledger's invariants. An allocation that exceeds the plan because the plan
/// was lowered, or because an earlier leader granted it, is not a violation.
pub fn find_violations(ledger: &Ledger) -> Vec<Violation> {
    let mut violations = Vec::new();
    for quota in &ledger.quotas {
        let held_total = sum_over_holders(ledger, &quota.organisation);
        if held_total != quota.allocated {
            let organisation = quota.organisation.clone();
            violations.push(Violation::SumMismatch { organisation, held_total, allocated: quota.allocated });
        }
        if quota.is_overallocated() {
            violations.push(Violation::Overallocated {
                organisation: quota.organisation.clone(),
                allocatable: quota.allocatable,
                allocated: quota.allocated,
            });
        }
    }
    violations
}

/// Takes a holder out of the ledger, so that both can be changed. Leaves an empty holder in its place, so
/// that the other elements need not move.
fn detach_holder(ledger: &mut Ledger, key: &HolderKey, domain: &DomainName) -> Holder {
    let empty = || Holder::new(key.clone(), domain.clone());
    let stored = ledger.holders.get_or_insert_with(key, empty);
    std::mem::replace(stored, empty())
}

fn sum_over_holders(ledger: &Ledger, organisation: &OrganisationName) -> Share {
    let mut sum = Share::default();
    for holding in ledger.holders.iter().filter_map(|holder| holder.holdings.get(organisation)) {
        let max_share = holding.max_share();
        sum.rate_milli_per_s += max_share.rate_milli_per_s;
        sum.burst_milli += max_share.burst_milli;
    }
    sum
}

fn is_in_service(catalogue: &Catalogue, heartbeat: &Heartbeat) -> bool {
    !heartbeat.leaving
        && !catalogue.is_domain_out(&heartbeat.domain)
        && !catalogue.instances_out.contains(&heartbeat.instance)
}

fn set_in_service(ledger: &mut Ledger, holder: &mut Holder, in_service: bool) {
    if holder.in_service == in_service {
        return;
    }
    holder.in_service = in_service;
    let empty = || DomainCount { domain: holder.domain.clone(), instances: 0 };
    let count = ledger.domains.get_or_insert_with(&holder.domain, empty);
    if in_service {
        count.instances += 1;
        return;
    }
    count.instances -= 1;
    if count.instances == 0 {
        ledger.domains.remove(&holder.domain);
    }
}

/// Releases the shares of holders whose lease has expired on this clock, in case `on_lease_end` was not
/// called for them.
fn release_expired(ledger: &mut Ledger, now: Instant) {
    if now < ledger.next_expiry_check_at {
        return;
    }
    ledger.next_expiry_check_at = now + Duration::from_millis(EXPIRY_CHECK_INTERVAL_MS);
    let lease = Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
    let expired: Vec<HolderKey> = ledger
        .holders
        .iter()
        .filter(|holder| now >= holder.last_heartbeat_at + lease)
        .map(|holder| holder.key.clone())
        .collect();
    for key in expired {
        on_lease_end(ledger, now, &key.instance, key.incarnation);
    }
}

fn release_all(ledger: &mut Ledger, now: Instant, holder: &mut Holder) {
    set_in_service(ledger, holder, false);
    for holding in holder.holdings.iter_mut() {
        if let Some(quota) = ledger.quotas.get_mut(&holding.organisation) {
            quota.refill(now);
            quota.subtract(holding);
        }
    }
}

/// Applies the plans of new lists. The quota of a removed organisation stays, with an empty plan, since
/// instances may still hold shares of it.
fn apply_lists(ledger: &mut Ledger, now: Instant, catalogue: &Catalogue) {
    let lists = &catalogue.lists;
    if Arc::ptr_eq(&ledger.lists, lists) {
        return;
    }
    ledger.lists = lists.clone();
    ledger.lists_known_since = catalogue.revision;
    let recovering = ledger.recovering;
    let mut plans = lists.plans.plans.clone();
    plans.sort_by(|a, b| a.name.cmp(&b.name));
    for quota in ledger.quotas.iter_mut() {
        quota.refill(now);
        quota.set_limit(Share::default());
    }
    for organisation in &lists.organisations.organisations {
        let Ok(found) = plans.binary_search_by(|plan| plan.name.cmp(&organisation.plan)) else {
            continue;
        };
        let quota = ledger.quotas.get_or_insert_with(organisation.key(), || {
            OrganisationQuota::new(organisation.name.clone(), now, recovering)
        });
        quota.set_limit(Share::of_plan(&plans[found]));
    }
}

/// Applies a holder's report on one organisation: the grant in force at the holder, and its demand.
/// Returns a report without impossible values: a faulty instance must not make the ledger's sums overflow.
fn clamped(report: &ShareReport) -> ShareReport {
    let share = |share: Share| Share {
        rate_milli_per_s: share.rate_milli_per_s.min(REPORTED_MAX_MILLI),
        burst_milli: share.burst_milli.min(REPORTED_MAX_MILLI),
    };
    ShareReport {
        held: share(report.held),
        basis: share(report.basis),
        demand_milli_per_s: report.demand_milli_per_s.min(REPORTED_MAX_MILLI),
        ..report.clone()
    }
}

fn apply_report(
    ledger: &mut Ledger,
    now: Instant,
    holder: &mut Holder,
    report: &ShareReport,
    topology: &Topology,
    has_current_lists: bool,
) {
    let recovering = ledger.recovering;
    let quota = ledger.quotas.get_or_insert_with(&report.organisation, || {
        OrganisationQuota::new(report.organisation.clone(), now, recovering)
    });
    quota.refill(now);
    let holding = holder
        .holdings
        .get_or_insert_with(&report.organisation, || Holding::new(report.organisation.clone()));
    quota.subtract(holding);
    let earlier_leader = grant_term(report.grant_number) < ledger.control_term;
    if let Some(adopted) = holding.apply_report(report, recovering && earlier_leader) {
        quota.adopt(&adopted);
    }
    holding.excess_demand_milli_per_s =
        report.demand_milli_per_s.saturating_sub(topology.instance_floor(quota.allocatable.rate_milli_per_s));
    quota.credit_returned_tokens(holding, report, has_current_lists);
    quota.add(holding);
    quota.update_overload(now);
}

/// Returns the grants to send to a holder: those that it has not confirmed yet, and new ones for shares that
/// must change.
fn update_grants(
    ledger: &mut Ledger,
    now: Instant,
    holder: &mut Holder,
    topology: &Topology,
) -> Vec<ShareGrant> {
    let may_move = !ledger.recovering || holder.has_reported_all;
    let mut grants = Vec::new();
    for quota in ledger.quotas.iter_mut() {
        quota.refill(now);
        let organisation = quota.organisation.clone();
        let holding =
            holder.holdings.get_or_insert_with(&organisation, || Holding::new(organisation.clone()));
        if holding.outstanding.is_none() {
            // An earlier leader's share is first confirmed as it is, so that its holder adopts this leader.
            let reissued = holding.reissued_grant(ledger.control_term).filter(|_| ledger.recovering);
            let moved = || target::next_grant(quota, holding, topology, now).filter(|_| may_move);
            let next = reissued.or_else(moved);
            if let Some(next) = next {
                ledger.last_grant_number += 1;
                quota.record_grant(holding, Grant { grant_number: ledger.last_grant_number, ..next });
            }
        }
        grants.extend(holding.grant_to_send());
    }
    grants
}

fn topology_of(ledger: &Ledger, holder: &Holder) -> Topology {
    Topology {
        domains: ledger.domains.len() as u64,
        instances: ledger.domains.iter().map(|count| count.instances).sum(),
        instances_in_domain: ledger.domains.get(&holder.domain).map_or(0, |count| count.instances),
        in_service: holder.in_service,
    }
}
