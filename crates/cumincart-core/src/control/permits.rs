//! The leader's ledger of endpoints' connections.
//!
//! Permits are held in escrow like shares of rates: what all instances hold or may still hold stays within each
//! endpoint's limit. A fifth of each limit is set aside for instances of the endpoint's own failure domain, which keep
//! it for [`KEPT_PERMIT_LEASE_MS`] without a lease; the rest is leased and follows what instances want.
//!
//! The ledger is the leader's own, not replicated: a new leader grants nothing before every lease that an earlier
//! leader gave has run out or its holder has reported what it holds.

mod holder;
mod target;

use {
    super::holder_key::HolderKey,
    crate::{
        entry::{maintenance::SURPLUS_WORK_MS, permits::KEPT_PERMIT_LEASE_MS},
        timing::{FRESHNESS_LEASE_MS, grantor_lease_ms},
    },
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry},
        heartbeat::{Heartbeat, PermitGrant, first_grant_number},
        name::{EndpointName, InstanceName},
        number::{ControlTerm, Incarnation},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    holder::{Granted, Holder, Holding},
    std::time::Duration,
    target::Demand,
};

/// How long an instance may take to close connections after its lease has run out, in milliseconds.
const CLOSE_GRACE_MS: u64 = SURPLUS_WORK_MS + 1_000;

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
    /// Until then, instances whose earlier lease has run out may still be closing connections.
    unknown_closing_until: Instant,
    /// Until then, permits may be kept that this leader does not know of.
    unknown_kept_until: Instant,
    holders: SortedVec<Holder>,
    accounts: SortedVec<Account>,
}

/// What all holders together hold or may hold of one endpoint's connections, and want.
#[derive(Debug)]
struct Account {
    endpoint: EndpointName,
    leased: u32,
    kept: u32,
    /// What holders want beyond one connection each.
    wanted: u32,
    /// How many holders want any.
    wanting: u32,
}

impl Keyed for Account {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

impl Account {
    fn forget(&mut self, holding: &Holding) {
        self.leased -= holding.leased();
        self.kept -= holding.kept();
        self.wanted -= holding.wanted;
        self.wanting -= u32::from(holding.wants);
    }

    fn count(&mut self, holding: &Holding) {
        self.leased += holding.leased();
        self.kept += holding.kept();
        self.wanted += holding.wanted;
        self.wanting += u32::from(holding.wants);
    }
}

/// Begins a leadership: what earlier leaders granted is unknown until their leases have run out.
pub fn on_elected(ledger: &mut Ledger, now: Instant, control_term: ControlTerm) {
    let lease_ms = grantor_lease_ms(FRESHNESS_LEASE_MS);
    *ledger = Ledger {
        control_term,
        last_grant_number: first_grant_number(control_term),
        unknown_until: now + Duration::from_millis(lease_ms),
        unknown_kept_until: now
            + Duration::from_millis(grantor_lease_ms(KEPT_PERMIT_LEASE_MS) + CLOSE_GRACE_MS),
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
    ledger.unknown_kept_until = ledger.unknown_kept_until.min(now);
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
    let key = HolderKey::of(heartbeat);
    let none = || Holder::new(key.clone(), heartbeat.domain.clone(), now);
    let mut holder = std::mem::replace(ledger.holders.get_or_insert_with(&key, none), none());
    if holder.last_asked_at.is_some_and(|last| heartbeat.asked_at <= last) {
        ledger.holders.insert(holder);
        return Vec::new();
    }
    holder.last_asked_at = Some(heartbeat.asked_at);
    holder.heard_at = now;
    holder.active = !heartbeat.leaving;
    let recovering = now < ledger.unknown_until;
    for report in &heartbeat.permits {
        let holding =
            holder.holdings.get_or_insert_with(&report.endpoint, || Holding::new(report.endpoint.clone()));
        let account = account_of(&mut ledger.accounts, &report.endpoint);
        account.forget(holding);
        holding.take_report(report, recovering, ledger.control_term);
        account.count(holding);
    }
    let grants = grants_for(ledger, now, catalogue, &mut holder);
    ledger.holders.insert(holder);
    grants
}

/// Notes that an instance's freshness lease has run out or that it has left. Its connections may be closing still, so
/// its permits come back later: the leased ones after a grace, the kept ones after their own time.
pub fn on_lease_end(ledger: &mut Ledger, now: Instant, instance: &InstanceName, incarnation: Incarnation) {
    let key = HolderKey { instance: instance.clone(), incarnation };
    if let Some(holder) = ledger.holders.get_mut(&key) {
        holder.active = false;
    }
    drop_expired(ledger, now);
}

/// Takes back all that an instance held that has closed its connections and stops.
pub fn on_run_ended(ledger: &mut Ledger, instance: &InstanceName, incarnation: Incarnation) {
    let key = HolderKey { instance: instance.clone(), incarnation };
    let Some(holder) = ledger.holders.remove(&key) else {
        return;
    };
    for holding in &holder.holdings {
        account_of(&mut ledger.accounts, &holding.endpoint).forget(holding);
    }
}

/// The connections to an endpoint that all instances together hold or may hold.
pub fn allocated(ledger: &Ledger, endpoint: &EndpointName) -> u32 {
    ledger.accounts.get(endpoint).map_or(0, |account| account.leased + account.kept)
}

fn account_of<'a>(accounts: &'a mut SortedVec<Account>, endpoint: &EndpointName) -> &'a mut Account {
    let none = || Account { endpoint: endpoint.clone(), leased: 0, kept: 0, wanted: 0, wanting: 0 };
    accounts.get_or_insert_with(endpoint, none)
}

/// Takes back what holders had that have not been heard of for long enough.
fn drop_expired(ledger: &mut Ledger, now: Instant) {
    if now < ledger.next_sweep_at {
        return;
    }
    ledger.next_sweep_at = now + Duration::from_millis(SWEEP_INTERVAL_MS);
    let leased = Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS) + CLOSE_GRACE_MS);
    let kept = Duration::from_millis(grantor_lease_ms(KEPT_PERMIT_LEASE_MS) + CLOSE_GRACE_MS);
    let accounts = &mut ledger.accounts;
    for holder in ledger.holders.iter_mut().filter(|holder| now >= holder.heard_at + leased) {
        holder.active = false;
        let keeps = now < holder.heard_at + kept;
        for holding in holder.holdings.iter_mut() {
            let account = account_of(accounts, &holding.endpoint);
            account.forget(holding);
            holding.expire(keeps);
            account.count(holding);
        }
    }
    ledger.holders.retain(|holder| now < holder.heard_at + kept);
}

fn grants_for(
    ledger: &mut Ledger,
    now: Instant,
    catalogue: &Catalogue,
    holder: &mut Holder,
) -> Vec<PermitGrant> {
    let demand = demand_around(ledger, holder);
    let recovering = now < ledger.unknown_until;
    let may_be_closing = now < ledger.unknown_closing_until;
    let kept_unknown = now < ledger.unknown_kept_until;
    // Interactive sessions need a lease even on open databases.
    let sets_aside = catalogue.lists.interactive.databases.is_empty();
    let mut grants = Vec::new();
    for endpoint in catalogue.groups.iter().flat_map(|group| group.endpoints.iter()) {
        let holding =
            holder.holdings.get_or_insert_with(&endpoint.name, || Holding::new(endpoint.name.clone()));
        let account = account_of(&mut ledger.accounts, &endpoint.name);
        account.forget(holding);
        holding.settle_wanted();
        account.count(holding);
        if holding.outstanding.is_none() {
            let next = if recovering {
                holding.confirmation(ledger.control_term)
            } else {
                propose(
                    endpoint,
                    account,
                    holding,
                    &demand,
                    holder.domain == endpoint.domain && !kept_unknown,
                    may_be_closing,
                    sets_aside,
                )
            };
            if let Some(next) = next {
                ledger.last_grant_number += 1;
                account.forget(holding);
                holding.outstanding = Some(Granted { grant_number: ledger.last_grant_number, ..next });
                account.count(holding);
            }
        }
        grants.extend(holding.grant_to_send());
    }
    grants
}

fn demand_around(ledger: &Ledger, holder: &Holder) -> Demand {
    let active = ledger.holders.iter().filter(|other| other.active);
    let here = active.clone().filter(|other| other.domain == holder.domain).count();
    let this = usize::from(holder.active);
    Demand {
        instances: u32::try_from(active.count() + this).unwrap_or(u32::MAX),
        instances_here: u32::try_from(here + this).unwrap_or(u32::MAX),
        active: holder.active,
        wants: false,
    }
}

/// The grant that a holder should get now, without its number; none where its permits are right.
fn propose(
    endpoint: &EndpointEntry,
    account: &Account,
    holding: &Holding,
    demand: &Demand,
    may_gain_kept: bool,
    may_be_closing: bool,
    sets_aside: bool,
) -> Option<Granted> {
    let budget = target::budget(endpoint.connection_limit, sets_aside);
    let leasable = if may_be_closing { budget.leased / 2 } else { budget.leased };
    let held = holding.confirmed;
    let kept_target = target::kept(&budget, demand, holding.kept(), may_gain_kept);
    let kept_room = budget.kept.saturating_sub(account.kept - holding.kept());
    let demand = Demand { instances: account.wanting, wants: holding.wants, ..*demand };
    let leased_target = target::leased(&budget, &demand, holding.wanted, account.wanted);
    let leased_room = leasable.saturating_sub(account.leased - holding.leased()).max(held.leased());
    let kept = kept_target.min(kept_room);
    let leased = leased_target.min(leased_room);
    let next = Granted { permits: kept + leased, kept, ..Granted::default() };
    let unchanged = next.permits == held.permits && next.kept == held.kept;
    let fluctuation = held.kept == kept && held.permits == next.permits + 1 && leased > 0;
    if unchanged || fluctuation { None } else { Some(next) }
}
