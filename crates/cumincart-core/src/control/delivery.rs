//! Paces large updates of the catalogue, such as those of a configuration with many routes and the whole catalogue that
//! an instance asks for when it starts.
//!
//! A large update is a message of its own, which is sent beside the answer to a heartbeat. Holders get it in turn, within
//! a number of bytes for each tick and a number of bytes that no holder has confirmed yet. While one is on its way to a
//! holder, no other is sent there; the next one leads from there to the newest state in one step.
//!
//! Meanwhile the holder's heartbeats are answered without it. Such an answer may extend the leases on the revision that
//! the holder has, with two limits that keep what a lease means:
//!
//! - Nothing but lists has changed since that revision. So no fence waits for a later revision, and terms and service
//!   state are current.
//! - Each lease ends at the latest [`HOLD_MS`] after this leader applied the first of the changes that the holder lacks.
//!   A holder that was cut off at that moment acts on the earlier lists for as long. The changes must be of this
//!   leadership: one that an earlier leader has acknowledged may be older than this instance can know.

use {
    super::{Core, catalogue::LargeUpdate, holder_key::HolderKey, leases},
    crate::timing::FRESHNESS_LEASE_MS,
    cumincart_protocol::{
        heartbeat::{CatalogueChange, CatalogueUpdate},
        name::DomainName,
        number::{ControlTerm, ListsRevision, Revision},
        size::encoded_bytes,
        time::Instant,
    },
    serde::Serialize,
    std::{collections::VecDeque, time::Duration},
};

/// The size from which on an update is paced, in bytes. On a link of 1 Mbit/s it takes less than a tenth of the time in
/// which a heartbeat has to be answered.
pub const LARGE_UPDATE_BYTES: usize = 4 * 1_024;

/// The bytes of large updates that are sent in each tick. A fleet of 300 instances gets 100 kB each in two seconds, and a
/// third of a processor core has time left for heartbeats.
pub const BYTES_PER_TICK: i64 = 160 * 1_024;

/// The bytes of large updates that are sent at once after a pause. A small fleet does not wait.
pub const BURST_BYTES: i64 = 1_024 * 1_024;

/// The bytes of large updates that may be unconfirmed, which bounds what links that are slow or do not read hold.
pub const UNCONFIRMED_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// How long an answer may refer to a revision with earlier lists, in milliseconds: as long as a holder that was cut off
/// would act on them.
pub const HOLD_MS: u64 = FRESHNESS_LEASE_MS;

/// The time after which an unconfirmed update is sent again, in milliseconds, beside the time that its bytes take.
const RESEND_AFTER_MS: u64 = 1_000;

/// The bytes that the slowest links carry in a millisecond beside requests: half of 1.4 Mbit/s.
const SLOW_LINK_BYTES_PER_MS: u64 = 87;

/// The number of retained changes, see [`super::catalogue::DELTA_WINDOW`].
const CHANGES_MAX: usize = super::catalogue::DELTA_WINDOW;

/// The pacing of large updates, and the changes that decide how long they may be held back.
#[derive(Debug, Default)]
pub struct Deliveries {
    /// The changes that entry instances can see, oldest first.
    changes: VecDeque<AppliedChange>,
    /// The size of all lists and the revision that it belongs to, once it was needed.
    whole_lists: Option<(ListsRevision, usize)>,
    /// The bytes that may be sent now. Negative after an update that is larger than the rest.
    allowance_bytes: i64,
    /// What was sent and held back since the start of the process.
    pub counters: Counters,
}

/// What was sent and held back since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// The large updates that were sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// The large updates among them that were sent again, since they were not confirmed in time.
    pub resent: u64,
    /// The heartbeats that were answered with a lease on a revision with earlier lists.
    pub held: u64,
}

/// A change that entry instances can see.
#[derive(Debug)]
struct AppliedChange {
    revision: Revision,
    applied_at: Instant,
    /// The election term of its record.
    term: ControlTerm,
    /// The size of a change of the lists; none for other changes.
    lists_bytes: Option<usize>,
    /// Whether the change replaces all lists, so that earlier changes of them are not sent.
    is_whole: bool,
}

/// A large update that was sent to a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// The revision that it leads to.
    pub to: Revision,
    /// Its size, in bytes.
    pub bytes: usize,
    /// When it is sent again if it was not confirmed.
    pub resend_at: Instant,
}

/// What a holder at an earlier revision lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// An upper bound of the size of the update, in bytes: patches of the same elements are joined when it is sent.
    pub bytes: usize,
    /// Until when the holder may act on its revision; none if a lease may refer to the newest one only.
    pub hold_until: Option<Instant>,
}

impl Gap {
    /// Returns whether the update is paced.
    pub fn is_large(&self) -> bool {
        self.bytes > LARGE_UPDATE_BYTES
    }
}

/// Records a change that was applied.
pub fn record(core: &mut Core, now: Instant, term: ControlTerm, change: &CatalogueChange) {
    let (lists_bytes, is_whole) = match change {
        CatalogueChange::Nothing => return,
        CatalogueChange::Lists(_, lists) => (Some(encoded_bytes(lists)), true),
        CatalogueChange::ListsPatch(_, patch) => (Some(encoded_bytes(patch)), false),
        _ => (None, false),
    };
    let changes = &mut core.deliveries.changes;
    if changes.len() == CHANGES_MAX {
        changes.pop_front();
    }
    let revision = core.catalogue.revision;
    changes.push_back(AppliedChange { revision, applied_at: now, term, lists_bytes, is_whole });
}

/// Forgets all changes, after a snapshot has replaced the catalogue.
pub fn forget_changes(deliveries: &mut Deliveries) {
    deliveries.changes.clear();
}

/// Refills the allowance.
pub fn on_tick(deliveries: &mut Deliveries) {
    deliveries.allowance_bytes = (deliveries.allowance_bytes + BYTES_PER_TICK).min(BURST_BYTES);
}

/// Returns what a holder at a revision lacks.
pub fn gap(core: &mut Core, from: Revision) -> Gap {
    if from >= core.catalogue.revision {
        return Gap { bytes: 0, hold_until: None };
    }
    if !core.recent_deltas.reaches_back_to(from) {
        return Gap { bytes: whole_lists_bytes(core), hold_until: None };
    }
    let changes = &core.deliveries.changes;
    let start = changes.partition_point(|change| change.revision <= from);
    let lacked = || changes.iter().skip(start);
    let whole = changes.iter().rposition(|change| change.is_whole).unwrap_or_default().max(start);
    let bytes = changes.iter().skip(whole).filter_map(|change| change.lists_bytes).sum();
    // An instance without any lists would refuse what it should serve.
    let may_be_held = from > Revision::default()
        && lacked().all(|change| change.lists_bytes.is_some() && change.term == core.election.ballot.term);
    let first = lacked().next().filter(|_| may_be_held && core.election.is_leader());
    let hold_until = first.map(|change| change.applied_at + Duration::from_millis(HOLD_MS));
    Gap { bytes, hold_until }
}

fn whole_lists_bytes(core: &mut Core) -> usize {
    let revision = core.catalogue.lists_revision;
    match core.deliveries.whole_lists {
        Some((known, bytes)) if known == revision => bytes,
        _ => {
            let bytes = encoded_bytes(&core.catalogue.lists);
            core.deliveries.whole_lists = Some((revision, bytes));
            bytes
        }
    }
}

/// A holder that waits for a large update.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The holder.
    pub key: HolderKey,
    /// Its failure domain.
    pub domain: DomainName,
    /// The revision that the update starts from.
    pub from: Revision,
    /// Whether an earlier one was not confirmed in time.
    pub is_resent: bool,
    /// Whether the holder accepts it packed.
    pub accepts_packed: bool,
}

/// A holder whose turn it is, with the size of its update in bytes.
#[derive(Debug, Clone)]
pub struct Turn {
    /// The holder.
    pub holder: Waiting,
    /// The update.
    pub update: CatalogueUpdate,
    /// The size of the update, in bytes.
    pub bytes: usize,
    /// The revision that the update leads to.
    pub to: Revision,
}

/// Returns the holders that get their large update now, and spends the allowance.
pub fn take_turns(core: &mut Core, waiting: Vec<Waiting>) -> Vec<Turn> {
    if core.deliveries.allowance_bytes <= 0 || waiting.is_empty() {
        return Vec::new();
    }
    let mut unconfirmed_bytes = leases::unconfirmed_bytes(&core.leases);
    let mut taken = Vec::new();
    for holder in in_turns(waiting) {
        let LargeUpdate { update, bytes, to } =
            core.recent_deltas.large_update(&core.catalogue, holder.from, holder.accepts_packed);
        let is_full = unconfirmed_bytes > 0 && unconfirmed_bytes + bytes > UNCONFIRMED_MAX_BYTES;
        if core.deliveries.allowance_bytes <= 0 || is_full {
            break;
        }
        unconfirmed_bytes += bytes;
        let deliveries = &mut core.deliveries;
        deliveries.allowance_bytes -= i64::try_from(bytes).unwrap_or(i64::MAX);
        deliveries.counters.sent += 1;
        deliveries.counters.sent_bytes += bytes as u64;
        deliveries.counters.resent += u64::from(holder.is_resent);
        taken.push(Turn { holder, update, bytes, to });
    }
    taken
}

/// Orders holders so that those which are furthest behind come first, since their leases end first. Among them failure
/// domains take turns, so that not all instances of one of them are busy with an update at the same time.
fn in_turns(waiting: Vec<Waiting>) -> Vec<Waiting> {
    let mut counts: Vec<(DomainName, Revision, usize)> = Vec::new();
    let mut turns: Vec<(Revision, usize, Waiting)> = Vec::with_capacity(waiting.len());
    for holder in waiting {
        let same =
            |known: &&mut (DomainName, Revision, usize)| known.0 == holder.domain && known.1 == holder.from;
        let turn = match counts.iter_mut().find(same) {
            Some((_, _, count)) => {
                *count += 1;
                *count
            }
            None => {
                counts.push((holder.domain.clone(), holder.from, 0));
                0
            }
        };
        turns.push((holder.from, turn, holder));
    }
    turns.sort_by_key(|(from, turn, _)| (*from, *turn));
    turns.into_iter().map(|(_, _, holder)| holder).collect()
}

/// Returns the delivery of an update that is sent now.
pub fn begin(now: Instant, to: Revision, bytes: usize) -> Delivery {
    let resend_after_ms = RESEND_AFTER_MS + bytes as u64 / SLOW_LINK_BYTES_PER_MS;
    Delivery { to, bytes, resend_at: now + Duration::from_millis(resend_after_ms) }
}

/// The state of the deliveries, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct DeliveriesDump {
    /// The large updates that were sent since the start of the process.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Those of them that were sent again.
    pub resent: u64,
    /// The heartbeats that were answered with a lease on earlier lists.
    pub held: u64,
    /// The bytes of large updates that no holder has confirmed yet.
    pub unconfirmed_bytes: u64,
    /// The holders that wait for a large update.
    pub waiting: u64,
}

/// Returns the state of the deliveries.
pub fn dump(core: &Core) -> DeliveriesDump {
    let Counters { sent, sent_bytes, resent, held } = core.deliveries.counters;
    DeliveriesDump {
        sent,
        sent_bytes,
        resent,
        held,
        unconfirmed_bytes: leases::unconfirmed_bytes(&core.leases) as u64,
        waiting: leases::waiting_holders(&core.leases) as u64,
    }
}
