//! Leases of entry instances, the revision that each holder has confirmed, and fences.
//!
//! The leader counts a lease from the time at which it grants the lease, with a margin for clocks that run
//! slower than its own. The holder counts the lease from the time at which it sent the heartbeat, which is
//! earlier. So a lease never ends on the leader before it ends on the holder.

use {
    super::{
        Core, Effect, Ticket,
        delivery::{self, Delivery, Gap, Turn, Waiting},
        holder_key::HolderKey,
        members, permits, runs, shares,
    },
    crate::timing::{FRESHNESS_LEASE_MS, TERM_LEASE_MS, grantor_lease_ms},
    cumincart_protocol::{
        control_addresses,
        heartbeat::{CatalogueUpdate, Heartbeat, HeartbeatAnswer, InstanceEntry},
        instances::{self, InstancesUpdate},
        name::DomainName,
        number::{Incarnation, Revision},
        peer::PeerBody,
        replication::InstanceIncarnation,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// The number of earlier instance lists that are retained to compute updates. With [`LIST_INTERVAL_MS`] they cover
/// several heartbeats of each holder also while many instances start.
const RETAINED_LISTS: usize = 16;

/// The minimum interval between two lists of instances, in milliseconds. When hundreds of instances start together, a
/// list for each of them would outdate the retained ones within one heartbeat, and every update would be a whole list.
pub const LIST_INTERVAL_MS: u64 = 250;

/// How long an instance is still listed after its lease has expired, in milliseconds.
pub const LISTED_AFTER_EXPIRY_MS: u64 = 60_000;

/// A run of an entry instance that holds a lease.
#[derive(Debug, Clone)]
pub struct Holder {
    /// The instance and its incarnation.
    pub key: HolderKey,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The highest revision that the instance has confirmed as applied.
    pub revision: Revision,
    /// The end of its lease on terms and service state, on the leader's clock.
    pub term_lease_until: Instant,
    /// The end of its lease on keys, plans, shares and permits, on the leader's clock.
    pub freshness_lease_until: Instant,
    instance_entry: InstanceEntry,
    /// Whether the lease has ended and everything granted with it was reclaimed.
    is_ended: bool,
    /// The last heartbeat, which is answered again when the catalogue changes.
    last_heartbeat: Option<LastHeartbeat>,
    /// The large update that is on its way to the holder.
    delivery: Option<Delivery>,
    /// Whether an earlier large update was not confirmed in time.
    is_resent: bool,
    accepts_packed: bool,
}

#[derive(Debug, Clone)]
struct LastHeartbeat {
    ticket: Ticket,
    asked_at: Instant,
    /// The revision to which the updates that were sent lead.
    sent_revision: Revision,
    /// Whether the holder waits for a large update that it asked for.
    waits: bool,
}

impl Keyed for Holder {
    type Key = HolderKey;

    fn key(&self) -> &HolderKey {
        &self.key
    }
}

/// The leases granted by this leader, and the times until which leases of earlier leaders may be valid.
#[derive(Debug, Default)]
pub struct Leases {
    holders: SortedVec<Holder>,
    earlier_term_leases_until: Instant,
    earlier_leases_until: Instant,
    /// The current list of instances and earlier ones, newest last.
    lists: VecDeque<InstancesList>,
    instances_changed: bool,
    next_list_at: Instant,
}

/// A version of the list of instances, identified by its digest.
#[derive(Debug)]
struct InstancesList {
    digest: u64,
    instances: SortedVec<InstanceEntry>,
}

impl Leases {
    /// Returns the runs that hold a lease or held one recently.
    pub fn holders(&self) -> &SortedVec<Holder> {
        &self.holders
    }

    /// Returns the runs whose leases have not expired.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Holder> {
        self.holders.iter().filter(move |holder| now < holder.freshness_lease_until)
    }

    /// Returns the time until which leases granted by an earlier leader may be valid.
    pub fn earlier_leases_until(&self) -> Instant {
        self.earlier_leases_until
    }

    /// Appends a new list of instances if it has changed, at most once in [`LIST_INTERVAL_MS`].
    fn update_instance_lists(&mut self, now: Instant) {
        if !self.instances_changed || now < self.next_list_at {
            return;
        }
        self.instances_changed = false;
        self.next_list_at = now + Duration::from_millis(LIST_INTERVAL_MS);
        let live = self.holders.iter().filter(|holder| !holder.is_ended);
        let instances: SortedVec<InstanceEntry> = live.map(|holder| holder.instance_entry.clone()).collect();
        let digest = instances::digest(&instances);
        self.lists.retain(|list| list.digest != digest);
        if self.lists.len() == RETAINED_LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back(InstancesList { digest, instances });
    }

    /// Returns the update from a holder's list of instances to the current one. A new leader that may not
    /// have heard from all holders yet sends no update to an existing list.
    fn instances_update(&self, now: Instant, known_digest: u64) -> Option<InstancesUpdate> {
        let newest = self.lists.back()?;
        if newest.digest == known_digest || (known_digest != 0 && now < self.earlier_leases_until) {
            return None;
        }
        let old_list = self.lists.iter().find(|list| list.digest == known_digest);
        Some(match old_list {
            Some(old_list) => InstancesUpdate::between(&old_list.instances, &newest.instances),
            None => InstancesUpdate::Whole(newest.instances.iter().cloned().collect()),
        })
    }
}

/// A fence: it is complete once no instance can act on a revision older than the given one.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The revision that the holders must confirm.
    pub revision: Revision,
    earlier_term_leases_until: Instant,
    awaited: Vec<AwaitedLease>,
}

#[derive(Debug, Clone)]
struct AwaitedLease {
    key: HolderKey,
    until: Instant,
}

impl Fence {
    /// Starts to wait for every lease that is valid now and for those that an earlier leader may have
    /// granted.
    pub fn begin(leases: &Leases, revision: Revision) -> Self {
        let awaited_lease =
            |holder: &Holder| AwaitedLease { key: holder.key.clone(), until: holder.term_lease_until };
        let awaited = leases.holders.iter().map(awaited_lease).collect();
        Self { revision, earlier_term_leases_until: leases.earlier_term_leases_until, awaited }
    }

    /// Returns whether each lease has expired or its holder has confirmed the revision.
    pub fn is_done(&self, leases: &Leases, now: Instant) -> bool {
        let confirmed =
            |key: &HolderKey| leases.holders.get(key).is_some_and(|holder| holder.revision >= self.revision);
        let is_satisfied =
            |awaited_lease: &AwaitedLease| awaited_lease.until <= now || confirmed(&awaited_lease.key);
        self.earlier_leases_are_over(leases, now) && self.awaited.iter().all(is_satisfied)
    }

    /// Returns whether no lease of an earlier leader still permits acting on an older revision: either these
    /// leases have expired, or all their holders are known and have confirmed the revision.
    fn earlier_leases_are_over(&self, leases: &Leases, now: Instant) -> bool {
        let is_awaited_lease =
            |key: &HolderKey| self.awaited.iter().any(|awaited_lease| awaited_lease.key == *key);
        let is_over = |holder: &Holder| holder.revision >= self.revision || is_awaited_lease(&holder.key);
        self.earlier_term_leases_until <= now
            || (leases.earlier_term_leases_until <= now && leases.holders.iter().all(is_over))
    }
}

/// Resets the leases at the start of a leadership. Leases granted by earlier leaders may still be valid.
pub fn on_elected(leases: &mut Leases, now: Instant) {
    *leases = Leases::default();
    leases.earlier_term_leases_until = now + Duration::from_millis(grantor_lease_ms(TERM_LEASE_MS));
    leases.earlier_leases_until = now + Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
}

/// Ends the recovery period after an election, in which leases of earlier leaders may still be valid. Returns
/// whether it had not ended before.
pub fn end_lease_recovery(leases: &mut Leases, now: Instant) -> bool {
    let was_waiting = leases.earlier_leases_until > now;
    leases.earlier_term_leases_until = leases.earlier_term_leases_until.min(now);
    leases.earlier_leases_until = leases.earlier_leases_until.min(now);
    was_waiting
}

/// Ends the lease of a run that a later run of the same instance has replaced, since its process has exited.
pub(super) fn on_run_replaced(core: &mut Core, now: Instant, run: &InstanceIncarnation) {
    let key = HolderKey { instance: run.instance.clone(), incarnation: run.incarnation };
    end_lease(core, now, &key);
    permits::on_run_ended(&mut core.permits, &key.instance, key.incarnation);
    core.leases.holders.remove(&key);
}

/// Answers a heartbeat with a lease. Called after a quorum has confirmed the leadership.
pub fn grant(core: &mut Core, now: Instant, ticket: Ticket, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    if heartbeat.leaving {
        release(core, now, ticket, heartbeat, out);
        return;
    }
    let shares = shares::on_heartbeat(&mut core.shares, now, &core.catalogue, heartbeat);
    let permits = permits::on_heartbeat(&mut core.permits, now, &core.catalogue, heartbeat);
    runs::on_heartbeat(core, now, heartbeat, out);
    let gap = delivery::gap(core, heartbeat.revision);
    let last_heartbeat = LastHeartbeat {
        ticket,
        asked_at: heartbeat.asked_at,
        sent_revision: if gap.is_large() { heartbeat.revision } else { core.catalogue.revision },
        waits: gap.is_large(),
    };
    renew(&mut core.leases, now, heartbeat, &last_heartbeat);
    core.leases.update_instance_lists(now);
    let mut answer = answer_base(core, heartbeat.incarnation, heartbeat.asked_at);
    if !gap.is_large() {
        answer.update = core.recent_deltas.update(&core.catalogue, heartbeat.revision);
    } else if let Some(hold_until) = gap.hold_until {
        hold(core, now, heartbeat.revision, hold_until, &mut answer);
    }
    answer.shares = shares;
    answer.permits = permits;
    answer.instances = core.leases.instances_update(now, heartbeat.instances_digest);
    let control_addresses = control_addresses(core);
    let is_known = heartbeat.control_digest == control_addresses::digest(&control_addresses);
    answer.control_addresses = (!is_known).then_some(control_addresses);
    out.push(Effect::AnswerHeartbeat(ticket, PeerBody::HeartbeatAnswer(Box::new(answer))));
}

/// Limits the leases of an answer without update to what a holder may do with its earlier lists. Past the limit the
/// answer refers to the newest revision, so that it extends no lease before the holder has the update.
fn hold(
    core: &mut Core,
    now: Instant,
    revision: Revision,
    hold_until: Instant,
    answer: &mut HeartbeatAnswer,
) {
    let left_ms = u64::try_from(hold_until.saturating_since(now).as_millis()).unwrap_or(u64::MAX);
    if left_ms == 0 {
        return;
    }
    answer.revision = revision;
    answer.term_lease_ms = answer.term_lease_ms.min(left_ms);
    answer.freshness_lease_ms = answer.freshness_lease_ms.min(left_ms);
    core.deliveries.counters.held += 1;
}

/// Sends updates to the holders that lack a new revision that is due, and large updates to those that wait for one, by
/// answering their last heartbeats again. Extends no lease.
pub fn push(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let due = core.pushes.due(now);
    let lacking = |holder: &&Holder| {
        holder.last_heartbeat.as_ref().is_some_and(|last| last.waits || last.sent_revision < due)
    };
    let lacking: Vec<HolderKey> =
        core.leases.holders.iter().filter(lacking).map(|holder| holder.key.clone()).collect();
    // Most holders lack the same changes.
    let mut gaps: Vec<(Revision, Gap)> = Vec::new();
    let mut small = Vec::new();
    let mut large = Vec::new();
    for key in lacking {
        let Some(holder) = core.leases.holders.get_mut(&key) else { continue };
        holder.expire_delivery(now);
        let Some(from) = holder.last_heartbeat.as_ref().map(|last| last.sent_revision) else { continue };
        let gap = match gaps.iter().find(|(known, _)| *known == from) {
            Some((_, gap)) => *gap,
            None => {
                let gap = delivery::gap(core, from);
                gaps.push((from, gap));
                gap
            }
        };
        let Some(holder) = core.leases.holders.get(&key) else { continue };
        if !gap.is_large() {
            small.push((key, from));
        } else if holder.delivery.is_none() {
            large.push(Waiting {
                key,
                domain: holder.domain.clone(),
                from,
                is_resent: holder.is_resent,
                accepts_packed: holder.accepts_packed,
            });
        }
    }
    for (key, from) in small {
        let update = core.recent_deltas.update(&core.catalogue, from);
        send_update(core, &key, update, core.catalogue.revision, out);
    }
    for Turn { holder, update, bytes, to } in delivery::take_turns(core, large) {
        if let Some(known) = core.leases.holders.get_mut(&holder.key) {
            known.delivery = Some(delivery::begin(now, to, bytes));
            known.is_resent = false;
        }
        send_update(core, &holder.key, update, to, out);
    }
}

/// Sends a holder an update to a revision. The leases in the answer are on the newest one.
fn send_update(
    core: &mut Core,
    key: &HolderKey,
    update: CatalogueUpdate,
    revision: Revision,
    out: &mut Vec<Effect>,
) {
    let Some(holder) = core.leases.holders.get_mut(key) else { return };
    let Some(last) = &mut holder.last_heartbeat else { return };
    last.sent_revision = revision;
    last.waits = false;
    let (ticket, asked_at) = (last.ticket, last.asked_at);
    let mut answer = answer_base(core, key.incarnation, asked_at);
    answer.update = update;
    out.push(Effect::AnswerHeartbeat(ticket, PeerBody::HeartbeatAnswer(Box::new(answer))));
}

/// Returns the bytes of the large updates that are on their way to holders.
pub fn unconfirmed_bytes(leases: &Leases) -> usize {
    leases.holders.iter().filter_map(|holder| holder.delivery).map(|delivery| delivery.bytes).sum()
}

/// Returns the number of holders that wait for a large update.
pub fn waiting_holders(leases: &Leases) -> usize {
    let waits = |holder: &&Holder| holder.last_heartbeat.as_ref().is_some_and(|last| last.waits);
    leases.holders.iter().filter(waits).count()
}

/// Ends expired leases, and removes their holders after `LISTED_AFTER_EXPIRY_MS`.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let has_expired = |holder: &&Holder| !holder.is_ended && holder.freshness_lease_until <= now;
    let expired: Vec<HolderKey> =
        core.leases.holders.iter().filter(has_expired).map(|holder| holder.key.clone()).collect();
    for key in expired {
        out.push(Effect::Log(format!("the lease of {} has expired", key.instance).into()));
        end_lease(core, now, &key);
        runs::propose_removal(
            core,
            now,
            InstanceIncarnation { instance: key.instance, incarnation: key.incarnation },
            out,
        );
    }
    let listed_after_expiry = Duration::from_millis(LISTED_AFTER_EXPIRY_MS);
    core.leases
        .holders
        .retain(|holder| now.saturating_since(holder.freshness_lease_until) < listed_after_expiry);
}

fn release(core: &mut Core, now: Instant, ticket: Ticket, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    let key = HolderKey::of(heartbeat);
    end_lease(core, now, &key);
    permits::on_run_ended(&mut core.permits, &key.instance, key.incarnation);
    core.leases.holders.remove(&key);
    out.push(Effect::Log(format!("{} released its leases", key.instance).into()));
    runs::propose_removal(
        core,
        now,
        InstanceIncarnation { instance: key.instance, incarnation: key.incarnation },
        out,
    );
    let mut answer = answer_base(core, heartbeat.incarnation, heartbeat.asked_at);
    answer.term_lease_ms = 0;
    answer.freshness_lease_ms = 0;
    out.push(Effect::AnswerHeartbeat(ticket, PeerBody::HeartbeatAnswer(Box::new(answer))));
}

fn end_lease(core: &mut Core, now: Instant, key: &HolderKey) {
    if let Some(holder) = core.leases.holders.get_mut(key) {
        holder.is_ended = true;
        holder.last_heartbeat = None;
        holder.delivery = None;
    }
    core.leases.instances_changed = true;
    core.failover.reports.forget(&key.instance);
    shares::on_lease_end(&mut core.shares, now, &key.instance, key.incarnation);
    permits::on_lease_end(&mut core.permits, now, &key.instance, key.incarnation);
}

fn renew(leases: &mut Leases, now: Instant, heartbeat: &Heartbeat, last_heartbeat: &LastHeartbeat) {
    let key = HolderKey::of(heartbeat);
    leases.instances_changed |= leases.holders.get(&key).is_none_or(|holder| holder.is_ended);
    let holder = leases.holders.get_or_insert_with(&key, || Holder {
        key: key.clone(),
        domain: heartbeat.domain.clone(),
        revision: heartbeat.revision,
        term_lease_until: now,
        freshness_lease_until: now,
        instance_entry: instance_entry(heartbeat),
        is_ended: false,
        last_heartbeat: None,
        delivery: None,
        is_resent: false,
        accepts_packed: heartbeat.accepts_packed,
    });
    holder.is_ended = false;
    holder.domain = heartbeat.domain.clone();
    holder.instance_entry = instance_entry(heartbeat);
    holder.revision = holder.revision.max(heartbeat.revision);
    holder.term_lease_until = now + Duration::from_millis(grantor_lease_ms(TERM_LEASE_MS));
    holder.freshness_lease_until = now + Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
    holder.expire_delivery(now);
    let on_its_way = holder.delivery.and(holder.last_heartbeat.as_ref()).map(|last| last.sent_revision);
    let sent_revision = last_heartbeat.sent_revision.max(on_its_way.unwrap_or_default());
    let waits = last_heartbeat.waits && holder.delivery.is_none();
    holder.last_heartbeat = Some(LastHeartbeat { sent_revision, waits, ..last_heartbeat.clone() });
}

impl Holder {
    /// Ends the delivery of a large update that was confirmed, or that was not confirmed in time. In the second case the
    /// holder is sent another one, from the revision that it has confirmed.
    fn expire_delivery(&mut self, now: Instant) {
        let Some(delivery) = self.delivery else { return };
        if delivery.to <= self.revision {
            self.delivery = None;
        } else if delivery.resend_at <= now {
            self.delivery = None;
            self.is_resent = true;
            if let Some(last) = &mut self.last_heartbeat {
                last.sent_revision = self.revision;
                last.waits = true;
            }
        }
    }
}

fn instance_entry(heartbeat: &Heartbeat) -> InstanceEntry {
    InstanceEntry {
        name: heartbeat.instance.clone(),
        incarnation: heartbeat.incarnation,
        domain: heartbeat.domain.clone(),
        peer_address: heartbeat.peer_address.clone(),
    }
}

/// Returns the addresses of the control instances, sorted, so that the same instances have the same digest.
fn control_addresses(core: &Core) -> Vec<Arc<str>> {
    let mut addresses: Vec<Arc<str>> =
        members::all(core.log.members()).map(|member| member.peer_address.clone()).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

fn answer_base(core: &Core, incarnation: Incarnation, asked_at: Instant) -> HeartbeatAnswer {
    HeartbeatAnswer {
        asked_at,
        incarnation,
        control_term: core.election.ballot.term,
        revision: core.catalogue.revision,
        term_lease_ms: TERM_LEASE_MS,
        freshness_lease_ms: FRESHNESS_LEASE_MS,
        update: CatalogueUpdate::None,
        shares: Vec::new(),
        permits: Vec::new(),
        instances: None,
        control_addresses: None,
    }
}
