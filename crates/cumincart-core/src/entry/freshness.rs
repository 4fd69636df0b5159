//! The catalogue that this instance holds, and the leases that limit how long it is used.

use {
    super::admission::Index,
    crate::timing::{FRESHNESS_LEASE_MS, TERM_LEASE_MS},
    cumincart_protocol::{
        catalogue::{Catalogue, Group},
        heartbeat::{CatalogueChange, CatalogueDelta, CatalogueUpdate, HeartbeatAnswer, InstanceEntry},
        number::{ControlTerm, Incarnation, Revision},
        sorted::SortedVec,
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// The catalogue and the leases on it.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The catalogue; its revision only grows.
    pub catalogue: Arc<Catalogue>,
    /// Keys, plans and routes of the catalogue's lists, arranged for look-up.
    pub index: Arc<Index>,
    /// The end of the term lease, which covers terms and service state.
    pub term_lease_until: Instant,
    /// The end of the freshness lease, which covers keys, plans, shares and permits.
    pub freshness_lease_until: Instant,
    /// The entry instances that hold leases.
    pub instances: SortedVec<InstanceEntry>,
    /// The highest election term of a control leader that has answered.
    pub control_term: ControlTerm,
    /// The last lease that was granted on a revision which has not arrived yet.
    pub awaited: Option<AwaitedLease>,
}

/// A lease on a revision that is on its way. It is in force once the revision is.
#[derive(Debug, Clone, Copy)]
pub struct AwaitedLease {
    /// The revision that the leases are on.
    pub revision: Revision,
    /// The end of the term lease.
    pub term_lease_until: Instant,
    /// The end of the freshness lease.
    pub freshness_lease_until: Instant,
}

/// The result of applying a heartbeat answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The answer was ignored.
    Dropped(DropReason),
    /// The answer was applied but grants no lease, because the local revision is older than the one that the
    /// answer refers to.
    Behind,
    /// The answer was applied and its leases are in force.
    Leased,
}

/// Why an answer was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It is addressed to another incarnation of this instance.
    OtherIncarnation,
    /// A control leader of a later term has answered before.
    OldControlTerm,
    /// Its `asked_at` is later than the current time.
    AskedInFuture,
    /// Its leases expired in transit. The changes of the catalogue that it carries apply all the same: they are
    /// committed, and a link that is too slow for them once would be too slow for them each time.
    Expired,
}

impl Freshness {
    /// Whether the term lease is live.
    pub fn holds_term_lease(&self, now: Instant) -> bool {
        now < self.term_lease_until
    }

    /// Whether the freshness lease is live.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now < self.freshness_lease_until
    }

    /// Whether this instance has held a freshness lease since its start.
    pub fn has_held_lease(&self) -> bool {
        self.freshness_lease_until > Instant::ZERO
    }

    /// The local revision of the catalogue.
    pub fn revision(&self) -> Revision {
        self.catalogue.revision
    }
}

/// Installs a catalogue and indexes its lists. Returns false and keeps the current one if the new one is
/// older.
pub fn install_catalogue(freshness: &mut Freshness, catalogue: Arc<Catalogue>) -> bool {
    if catalogue.revision < freshness.catalogue.revision {
        return false;
    }
    if !Arc::ptr_eq(&catalogue.lists, &freshness.catalogue.lists) {
        freshness.index = Arc::new(Index::build(&catalogue.lists));
    }
    freshness.catalogue = catalogue;
    true
}

/// Applies the catalogue and the leases of an answer. Shares and permits are applied by
/// [`super::membership`].
pub fn apply_answer(
    freshness: &mut Freshness,
    now: Instant,
    incarnation: Incarnation,
    answer: &HeartbeatAnswer,
) -> AnswerOutcome {
    match drop_reason(freshness, now, incarnation, answer) {
        Some(DropReason::Expired) => {
            apply_update(freshness, &answer.update);
            take_awaited_lease(freshness);
            return AnswerOutcome::Dropped(DropReason::Expired);
        }
        Some(reason) => return AnswerOutcome::Dropped(reason),
        None => {}
    }
    freshness.control_term = answer.control_term;
    apply_update(freshness, &answer.update);
    take_awaited_lease(freshness);
    if let Some(update) = &answer.instances {
        update.apply(&mut freshness.instances);
    }
    let lease = AwaitedLease {
        revision: answer.revision,
        term_lease_until: answer.asked_at + Duration::from_millis(answer.term_lease_ms.min(TERM_LEASE_MS)),
        freshness_lease_until: freshness_lease_end(answer),
    };
    if freshness.revision() < answer.revision {
        freshness.awaited = Some(lease);
        return AnswerOutcome::Behind;
    }
    take_lease(freshness, lease);
    AnswerOutcome::Leased
}

/// Puts the lease in force whose revision has arrived. The leader has counted it since it was granted.
fn take_awaited_lease(freshness: &mut Freshness) {
    if let Some(lease) = freshness.awaited.filter(|lease| lease.revision <= freshness.catalogue.revision) {
        freshness.awaited = None;
        take_lease(freshness, lease);
    }
}

fn take_lease(freshness: &mut Freshness, lease: AwaitedLease) {
    freshness.term_lease_until = freshness.term_lease_until.max(lease.term_lease_until);
    freshness.freshness_lease_until = freshness.freshness_lease_until.max(lease.freshness_lease_until);
}

/// Returns the end of the freshness lease that an answer grants.
fn freshness_lease_end(answer: &HeartbeatAnswer) -> Instant {
    answer.asked_at + Duration::from_millis(answer.freshness_lease_ms.min(FRESHNESS_LEASE_MS))
}

fn drop_reason(
    freshness: &Freshness,
    now: Instant,
    incarnation: Incarnation,
    answer: &HeartbeatAnswer,
) -> Option<DropReason> {
    if answer.incarnation != incarnation {
        return Some(DropReason::OtherIncarnation);
    }
    if answer.control_term < freshness.control_term {
        return Some(DropReason::OldControlTerm);
    }
    if answer.asked_at > now {
        return Some(DropReason::AskedInFuture);
    }
    if now >= freshness_lease_end(answer) {
        return Some(DropReason::Expired);
    }
    None
}

fn apply_update(freshness: &mut Freshness, update: &CatalogueUpdate) {
    match update {
        CatalogueUpdate::None => {}
        // Without a valid update the revision stays, the answer grants no lease, and the leader sends the update again.
        CatalogueUpdate::Packed(packed) => {
            if let Ok(update) = packed.unpack() {
                apply_update(freshness, &update);
            }
        }
        CatalogueUpdate::Snapshot(catalogue) => {
            install_catalogue(freshness, catalogue.clone());
        }
        CatalogueUpdate::Deltas(deltas) => apply_deltas(freshness, deltas),
    }
}

/// Applies the deltas that follow the local revision. Older deltas are skipped; a gap ends the update.
fn apply_deltas(freshness: &mut Freshness, deltas: &[CatalogueDelta]) {
    let mut catalogue = Catalogue::clone(&freshness.catalogue);
    for delta in deltas {
        if delta.to <= catalogue.revision {
            continue;
        }
        if delta.from != catalogue.revision {
            break;
        }
        apply_change(&mut catalogue, &delta.change);
        catalogue.revision = delta.to;
    }
    if catalogue.revision > freshness.catalogue.revision {
        install_catalogue(freshness, Arc::new(catalogue));
    }
}

fn apply_change(catalogue: &mut Catalogue, change: &CatalogueChange) {
    match change {
        CatalogueChange::Nothing => {}
        CatalogueChange::Lists(revision, lists) => {
            catalogue.lists_revision = *revision;
            catalogue.lists = lists.clone();
        }
        CatalogueChange::ListsPatch(revision, patch) => {
            catalogue.lists_revision = *revision;
            catalogue.lists = Arc::new(patch.apply(&catalogue.lists));
        }
        CatalogueChange::DomainsOut(domains) => catalogue.domains_out = domains.clone(),
        CatalogueChange::InstancesOut(instances) => catalogue.instances_out = instances.clone(),
        CatalogueChange::Group(group) => {
            catalogue.groups.insert(Group::clone(group));
        }
    }
}
