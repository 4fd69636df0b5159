//! Leases of entry instances: who holds one, which revision it has confirmed, and fences.
//!
//! The leader counts a lease from when it gave it, with a margin for clocks that run slower than its own; the holder
//! counts it from when it asked, which was earlier. So the leader's end is never before the holder's.

use {
    super::{
        Core, Effect, Ticket, catalogue::revision_of, holder_key::HolderKey, members, permits, runs, shares,
    },
    crate::timing::{FRESHNESS_LEASE_MS, TERM_LEASE_MS, grantor_lease_ms},
    cumincart_protocol::{
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

/// How many earlier lists of instances are kept, to tell what differs: a few seconds of changes one by one.
const LISTS_KEPT: usize = 16;

/// How long an instance is still listed after its lease has run out, in milliseconds.
pub const LISTED_AFTER_END_MS: u64 = 60_000;

/// One run of an entry instance that holds a lease.
#[derive(Debug, Clone)]
pub struct Holder {
    /// The run.
    pub key: HolderKey,
    /// Its failure domain.
    pub domain: DomainName,
    /// The revision that it has confirmed to be in force there.
    pub revision: Revision,
    /// The end of its lease on terms, on the leader's clock.
    pub term_until: Instant,
    /// The end of its lease on keys, plans, shares and permits, on the leader's clock.
    pub fresh_until: Instant,
    entry: InstanceEntry,
    /// Whether the lease has run out and all that came with it was taken back.
    is_ended: bool,
    /// Its last heartbeat, which may be answered again when something changes.
    parked: Option<Parked>,
}

#[derive(Debug, Clone)]
struct Parked {
    ticket: Ticket,
    asked_at: Instant,
    /// The revision of the last answer.
    told: Revision,
}

impl Keyed for Holder {
    type Key = HolderKey;

    fn key(&self) -> &HolderKey {
        &self.key
    }
}

/// The leases that this leader gave, and until when earlier leaders' may run.
#[derive(Debug, Default)]
pub struct Leases {
    holders: SortedVec<Holder>,
    earlier_terms_until: Instant,
    earlier_until: Instant,
    /// The list of instances and earlier ones, the newest last.
    lists: VecDeque<InstancesList>,
    is_list_outdated: bool,
}

/// The list of instances as it once was.
#[derive(Debug)]
struct InstancesList {
    digest: u64,
    instances: SortedVec<InstanceEntry>,
}

impl Leases {
    /// The runs that hold a lease or held one lately.
    pub fn holders(&self) -> &SortedVec<Holder> {
        &self.holders
    }

    /// The runs whose leases have not run out.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Holder> {
        self.holders.iter().filter(move |holder| now < holder.fresh_until)
    }

    /// Until when leases may run that an earlier leader gave.
    pub fn earlier_until(&self) -> Instant {
        self.earlier_until
    }

    /// Takes the list of instances anew where it has changed.
    fn follow_instances(&mut self) {
        if !std::mem::take(&mut self.is_list_outdated) {
            return;
        }
        let live = self.holders.iter().filter(|holder| !holder.is_ended);
        let instances: SortedVec<InstanceEntry> = live.map(|holder| holder.entry.clone()).collect();
        let digest = instances::digest(&instances);
        self.lists.retain(|list| list.digest != digest);
        if self.lists.len() == LISTS_KEPT {
            self.lists.pop_front();
        }
        self.lists.push_back(InstancesList { digest, instances });
    }

    /// What brings a holder's list forward. A new leader that has not heard of all holders yet changes no list.
    fn instances_update(&self, now: Instant, held: u64) -> Option<InstancesUpdate> {
        let newest = self.lists.back()?;
        if newest.digest == held || (held != 0 && now < self.earlier_until) {
            return None;
        }
        let known = self.lists.iter().find(|list| list.digest == held);
        Some(match known {
            Some(known) => InstancesUpdate::between(&known.instances, &newest.instances),
            None => InstancesUpdate::Whole(newest.instances.iter().cloned().collect()),
        })
    }
}

/// Waits until no instance acts on anything older than a revision.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The revision.
    pub revision: Revision,
    earlier_until: Instant,
    waiting: Vec<Awaited>,
}

#[derive(Debug, Clone)]
struct Awaited {
    key: HolderKey,
    until: Instant,
}

impl Fence {
    /// Begins to wait: for every lease that runs now, and for those that an earlier leader may have given.
    pub fn begin(leases: &Leases, revision: Revision) -> Self {
        let awaited = |holder: &Holder| Awaited { key: holder.key.clone(), until: holder.term_until };
        let waiting = leases.holders.iter().map(awaited).collect();
        Self { revision, earlier_until: leases.earlier_terms_until, waiting }
    }

    /// Whether each lease has run out or its holder has confirmed the revision.
    pub fn is_done(&self, leases: &Leases, now: Instant) -> bool {
        let confirmed =
            |key: &HolderKey| leases.holders.get(key).is_some_and(|holder| holder.revision >= self.revision);
        let is_free = |awaited: &Awaited| awaited.until <= now || confirmed(&awaited.key);
        self.are_earlier_over(leases, now) && self.waiting.iter().all(is_free)
    }

    /// Whether no lease of an earlier leader allows what the fence ends: they have run out, or all their holders are known by
    /// now and have confirmed the revision.
    fn are_earlier_over(&self, leases: &Leases, now: Instant) -> bool {
        let is_awaited = |key: &HolderKey| self.waiting.iter().any(|awaited| awaited.key == *key);
        let is_over = |holder: &Holder| holder.revision >= self.revision || is_awaited(&holder.key);
        self.earlier_until <= now || (leases.earlier_terms_until <= now && leases.holders.iter().all(is_over))
    }
}

/// Begins a leadership: leases that earlier leaders gave may still run.
pub fn on_elected(leases: &mut Leases, now: Instant) {
    *leases = Leases::default();
    leases.earlier_terms_until = now + Duration::from_millis(grantor_lease_ms(TERM_LEASE_MS));
    leases.earlier_until = now + Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
}

/// Ends the wait for earlier leaders' leases. Tells whether there was one.
pub fn end_wait(leases: &mut Leases, now: Instant) -> bool {
    let waited = leases.earlier_until > now;
    leases.earlier_terms_until = leases.earlier_terms_until.min(now);
    leases.earlier_until = leases.earlier_until.min(now);
    waited
}

/// Ends the lease of a run that a later run of the same instance has replaced: its process is gone.
pub(super) fn on_run_replaced(core: &mut Core, now: Instant, run: &InstanceIncarnation) {
    let key = HolderKey { instance: run.instance.clone(), incarnation: run.incarnation };
    end(core, now, &key);
    permits::on_left(&mut core.permits, &key.instance, key.incarnation);
    core.leases.holders.remove(&key);
}

/// Answers a heartbeat with a lease, after a quorum has confirmed the leadership.
pub fn grant(core: &mut Core, now: Instant, ticket: Ticket, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    if heartbeat.leaving {
        release(core, now, ticket, heartbeat, out);
        return;
    }
    let told = core.catalogue.revision;
    let shares = shares::on_heartbeat(&mut core.shares, now, &core.catalogue, heartbeat);
    let permits = permits::on_heartbeat(&mut core.permits, now, &core.catalogue, heartbeat);
    runs::on_heartbeat(core, now, heartbeat, out);
    let parked = Parked { ticket, asked_at: heartbeat.asked_at, told };
    renew(&mut core.leases, now, heartbeat, parked);
    core.leases.follow_instances();
    let mut answer = answer_base(core, heartbeat.incarnation, heartbeat.asked_at);
    answer.update = core.recent.update(&core.catalogue, heartbeat.revision);
    answer.shares = shares;
    answer.permits = permits;
    answer.instances = core.leases.instances_update(now, heartbeat.instances_digest);
    let is_first = heartbeat.instances_digest == 0;
    let members_changed = heartbeat.revision < revision_of(core.log.members_index());
    answer.control_addresses = (is_first || members_changed).then(|| control_addresses(core));
    out.push(Effect::AnswerHeartbeat(ticket, PeerBody::HeartbeatAnswer(Box::new(answer))));
}

/// Tells the holders at once of a new revision: answers their last heartbeats again. Extends no lease.
pub fn push(core: &mut Core, out: &mut Vec<Effect>) {
    let revision = core.catalogue.revision;
    let mut parked: Vec<(HolderKey, Parked)> = Vec::new();
    for holder in core.leases.holders.iter_mut() {
        if let Some(waiting) = holder.parked.as_mut().filter(|waiting| waiting.told < revision) {
            parked.push((holder.key.clone(), waiting.clone()));
            waiting.told = revision;
        }
    }
    for (key, waiting) in parked {
        let mut answer = answer_base(core, key.incarnation, waiting.asked_at);
        answer.update = core.recent.update(&core.catalogue, waiting.told);
        out.push(Effect::AnswerHeartbeat(waiting.ticket, PeerBody::HeartbeatAnswer(Box::new(answer))));
    }
}

/// Ends the leases that have run out, and forgets their holders after a while.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let has_run_out = |holder: &&Holder| !holder.is_ended && holder.fresh_until <= now;
    let ended: Vec<HolderKey> =
        core.leases.holders.iter().filter(has_run_out).map(|holder| holder.key.clone()).collect();
    for key in ended {
        out.push(Effect::Log(format!("the lease of {} has run out", key.instance).into()));
        end(core, now, &key);
        runs::forget(
            core,
            now,
            InstanceIncarnation { instance: key.instance, incarnation: key.incarnation },
            out,
        );
    }
    let listed = Duration::from_millis(LISTED_AFTER_END_MS);
    core.leases.holders.retain(|holder| now.saturating_since(holder.fresh_until) < listed);
}

fn release(core: &mut Core, now: Instant, ticket: Ticket, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    let key = HolderKey::of(heartbeat);
    end(core, now, &key);
    permits::on_left(&mut core.permits, &key.instance, key.incarnation);
    core.leases.holders.remove(&key);
    out.push(Effect::Log(format!("{} gave its leases back", key.instance).into()));
    runs::forget(
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

fn end(core: &mut Core, now: Instant, key: &HolderKey) {
    if let Some(holder) = core.leases.holders.get_mut(key) {
        holder.is_ended = true;
        holder.parked = None;
    }
    core.leases.is_list_outdated = true;
    core.failover.reports.forget(&key.instance);
    shares::on_lease_end(&mut core.shares, now, &key.instance, key.incarnation);
    permits::on_lease_end(&mut core.permits, now, &key.instance, key.incarnation);
}

fn renew(leases: &mut Leases, now: Instant, heartbeat: &Heartbeat, parked: Parked) {
    let key = HolderKey::of(heartbeat);
    leases.is_list_outdated |= leases.holders.get(&key).is_none_or(|holder| holder.is_ended);
    let holder = leases.holders.get_or_insert_with(&key, || Holder {
        key: key.clone(),
        domain: heartbeat.domain.clone(),
        revision: heartbeat.revision,
        term_until: now,
        fresh_until: now,
        entry: entry(heartbeat),
        is_ended: false,
        parked: None,
    });
    holder.is_ended = false;
    holder.domain = heartbeat.domain.clone();
    holder.entry = entry(heartbeat);
    holder.revision = holder.revision.max(heartbeat.revision);
    holder.term_until = now + Duration::from_millis(grantor_lease_ms(TERM_LEASE_MS));
    holder.fresh_until = now + Duration::from_millis(grantor_lease_ms(FRESHNESS_LEASE_MS));
    holder.parked = Some(parked);
}

fn entry(heartbeat: &Heartbeat) -> InstanceEntry {
    InstanceEntry {
        name: heartbeat.instance.clone(),
        incarnation: heartbeat.incarnation,
        domain: heartbeat.domain.clone(),
        peer_address: heartbeat.peer_address.clone(),
    }
}

fn control_addresses(core: &Core) -> Vec<Arc<str>> {
    members::all(core.log.members()).map(|member| member.peer_address.clone()).collect()
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
