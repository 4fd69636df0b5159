//! The leader's ledger of organisations' rates and bursts.
//!
//! Shares are held in escrow: what all instances hold or may still hold, together with the leader's own reserve, never
//! exceeds the plan. A share moves only when its giver has confirmed a lower grant or its lease has run out. A grant
//! names the one that it replaces, so a lost, doubled or late answer changes nothing twice.
//!
//! The ledger is the leader's own, not replicated: a new leader grants nothing before every lease that an earlier
//! leader gave has run out or its holder has reported what it holds.

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
    holder::{DomainCount, Granted, Holder, Holding},
    organisation_quota::Account,
    std::{sync::Arc, time::Duration},
    target::Fleet,
};

/// Time between two searches for holders whose lease has run out, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;

/// What each entry instance holds or may still hold.
#[derive(Debug, Default)]
pub struct Ledger {
    control_term: ControlTerm,
    /// The number of the last grant.
    last_grant_number: u64,
    /// Until then, leases of an earlier leader may be live that this one does not know of.
    unknown_until: Instant,
    next_sweep_at: Instant,
    lists: Arc<Lists>,
    /// The revision from which on the lists are known to hold.
    lists_since: Revision,
    accounts: SortedVec<Account>,
    holders: SortedVec<Holder>,
    domains: SortedVec<DomainCount>,
}

/// A way in which the ledger breaks the escrow.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// The sum over the holders is not the sum that the account keeps.
    SumMismatch {
        /// The organisation.
        organisation: OrganisationName,
        /// The sum over the holders.
        held: Share,
        /// The sum that the account keeps.
        allocated: Share,
    },
    /// More is allocated than the plan allows, and the account has still granted more.
    Overallocated {
        /// The organisation.
        organisation: OrganisationName,
        /// The plan's part that may be allocated.
        plan: Share,
        /// What is allocated.
        allocated: Share,
    },
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

/// Ends the wait for earlier leaders' leases: all that they granted is reported or gone.
pub fn end_wait(ledger: &mut Ledger, now: Instant) {
    ledger.unknown_until = ledger.unknown_until.min(now);
}

/// Takes a heartbeat's reports in and gives the grants to answer with. A heartbeat that another one of the same run
/// has overtaken brings and gets nothing.
pub fn on_heartbeat(
    ledger: &mut Ledger,
    now: Instant,
    catalogue: &Catalogue,
    heartbeat: &Heartbeat,
) -> Vec<ShareGrant> {
    drop_expired(ledger, now);
    adopt_lists(ledger, now, catalogue);
    let key = HolderKey::of(heartbeat);
    let mut holder = take_holder(ledger, &key, &heartbeat.domain);
    if holder.last_asked_at.is_some_and(|last| heartbeat.asked_at <= last) {
        ledger.holders.insert(holder);
        return Vec::new();
    }
    holder.last_asked_at = Some(heartbeat.asked_at);
    holder.heard_at = now;
    set_active(ledger, &mut holder, is_in_service(catalogue, heartbeat));
    let fleet = fleet_around(ledger, &holder);
    let same_lists = heartbeat.revision >= ledger.lists_since;
    for report in &heartbeat.shares {
        take_report(ledger, now, &mut holder, report, &fleet, same_lists);
    }
    let grants = grants_for(ledger, now, &mut holder, &fleet);
    ledger.holders.insert(holder);
    grants
}

/// Takes back all that an instance held, after its freshness lease has run out or it has left.
pub fn on_lease_end(ledger: &mut Ledger, now: Instant, instance: &InstanceName, incarnation: Incarnation) {
    let key = HolderKey { instance: instance.clone(), incarnation };
    if let Some(mut holder) = ledger.holders.remove(&key) {
        release_all(ledger, now, &mut holder);
    }
}

/// Checks that the sums are right and that no account is overdrawn other than by a plan that was lowered or by what an
/// earlier leader granted.
pub fn find_violations(ledger: &Ledger) -> Vec<Violation> {
    let mut violations = Vec::new();
    for account in &ledger.accounts {
        let held = held_of(ledger, &account.organisation);
        if held != account.allocated {
            let organisation = account.organisation.clone();
            violations.push(Violation::SumMismatch { organisation, held, allocated: account.allocated });
        }
        if account.is_overdrawn() {
            violations.push(Violation::Overallocated {
                organisation: account.organisation.clone(),
                plan: account.plan,
                allocated: account.allocated,
            });
        }
    }
    violations
}

/// Takes a holder out to be changed beside the ledger. An empty one keeps its place, so that no other one is moved.
fn take_holder(ledger: &mut Ledger, key: &HolderKey, domain: &DomainName) -> Holder {
    let none = || Holder::new(key.clone(), domain.clone());
    let place = ledger.holders.get_or_insert_with(key, none);
    std::mem::replace(place, none())
}

fn held_of(ledger: &Ledger, organisation: &OrganisationName) -> Share {
    let mut sum = Share::default();
    for holding in ledger.holders.iter().filter_map(|holder| holder.holdings.get(organisation)) {
        let counted = holding.counted();
        sum.rate_milli_per_s += counted.rate_milli_per_s;
        sum.burst_milli += counted.burst_milli;
    }
    sum
}

fn is_in_service(catalogue: &Catalogue, heartbeat: &Heartbeat) -> bool {
    !heartbeat.leaving
        && !catalogue.is_domain_out(&heartbeat.domain)
        && !catalogue.instances_out.contains(&heartbeat.instance)
}

fn set_active(ledger: &mut Ledger, holder: &mut Holder, active: bool) {
    if holder.active == active {
        return;
    }
    holder.active = active;
    let none = || DomainCount { domain: holder.domain.clone(), instances: 0 };
    let count = ledger.domains.get_or_insert_with(&holder.domain, none);
    if active {
        count.instances += 1;
        return;
    }
    count.instances -= 1;
    if count.instances == 0 {
        ledger.domains.remove(&holder.domain);
    }
}

/// Takes back what holders had whose lease has run out by this clock, in case nobody said so.
fn drop_expired(ledger: &mut Ledger, now: Instant) {
    if now < ledger.next_sweep_at {
        return;
    }
    ledger.next_sweep_at = now + Duration::from_millis(SWEEP_INTERVAL_MS);
    let lease = Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
    let expired: Vec<HolderKey> = ledger
        .holders
        .iter()
        .filter(|holder| now >= holder.heard_at + lease)
        .map(|holder| holder.key.clone())
        .collect();
    for key in expired {
        on_lease_end(ledger, now, &key.instance, key.incarnation);
    }
}

fn release_all(ledger: &mut Ledger, now: Instant, holder: &mut Holder) {
    set_active(ledger, holder, false);
    for holding in holder.holdings.iter_mut() {
        if let Some(account) = ledger.accounts.get_mut(&holding.organisation) {
            account.settle(now);
            account.forget(holding);
        }
    }
}

/// Puts the lists' plans in force. An organisation that is gone keeps an account with an empty plan, since instances
/// may still hold shares of it.
fn adopt_lists(ledger: &mut Ledger, now: Instant, catalogue: &Catalogue) {
    let lists = &catalogue.lists;
    if Arc::ptr_eq(&ledger.lists, lists) {
        return;
    }
    ledger.lists = lists.clone();
    ledger.lists_since = catalogue.revision;
    let unknown_until = ledger.unknown_until;
    let mut plans = lists.plans.plans.clone();
    plans.sort_by(|a, b| a.name.cmp(&b.name));
    for account in ledger.accounts.iter_mut() {
        account.settle(now);
        account.set_plan(Share::default());
    }
    for organisation in &lists.organisations.organisations {
        let Ok(found) = plans.binary_search_by(|plan| plan.name.cmp(&organisation.plan)) else {
            continue;
        };
        let account = ledger.accounts.get_or_insert_with(organisation.key(), || {
            Account::new(organisation.name.clone(), now.max(unknown_until))
        });
        account.set_plan(Share::of_plan(&plans[found]));
    }
}

/// Takes what a holder says of one organisation: which grant is in force there and what it needs.
fn take_report(
    ledger: &mut Ledger,
    now: Instant,
    holder: &mut Holder,
    report: &ShareReport,
    fleet: &Fleet,
    same_lists: bool,
) {
    let recovering = now < ledger.unknown_until;
    let unknown_until = ledger.unknown_until;
    let account = ledger.accounts.get_or_insert_with(&report.organisation, || {
        Account::new(report.organisation.clone(), now.max(unknown_until))
    });
    account.settle(now);
    let holding = holder
        .holdings
        .get_or_insert_with(&report.organisation, || Holding::new(report.organisation.clone()));
    account.forget(holding);
    let earlier_leader = grant_term(report.grant_number) < ledger.control_term;
    holding.take_report(report, recovering && earlier_leader);
    holding.excess_milli_per_s =
        report.demand_milli_per_s.saturating_sub(fleet.floor_of(account.plan.rate_milli_per_s));
    account.take_returned(holding, report, same_lists);
    account.count(holding);
    account.watch_overload(now);
}

/// The grants that a holder gets now: those that it has not confirmed again, and new ones where its part has changed.
fn grants_for(ledger: &mut Ledger, now: Instant, holder: &mut Holder, fleet: &Fleet) -> Vec<ShareGrant> {
    let recovering = now < ledger.unknown_until;
    let mut grants = Vec::new();
    for account in ledger.accounts.iter_mut() {
        account.settle(now);
        let organisation = account.organisation.clone();
        let holding =
            holder.holdings.get_or_insert_with(&organisation, || Holding::new(organisation.clone()));
        if holding.outstanding.is_none() {
            let proposal = if recovering {
                holding.confirmation(ledger.control_term)
            } else {
                target::propose(account, holding, fleet, now)
            };
            if let Some(proposal) = proposal {
                ledger.last_grant_number += 1;
                account.grant(holding, Granted { grant_number: ledger.last_grant_number, ..proposal });
            }
        }
        grants.extend(holding.grant_to_send());
    }
    grants
}

fn fleet_around(ledger: &Ledger, holder: &Holder) -> Fleet {
    Fleet {
        domains: ledger.domains.len() as u64,
        instances_here: ledger.domains.get(&holder.domain).map_or(0, |count| count.instances),
        active: holder.active,
    }
}
