//! The catalogue as this instance holds it, and how long it may take it as current.

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
    /// The end of the lease on terms and service state.
    pub term_lease_until: Instant,
    /// The end of the lease on keys, plans, shares and permits.
    pub freshness_lease_until: Instant,
    /// The entry instances that hold leases.
    pub instances: SortedVec<InstanceEntry>,
    /// The greatest election term of the control instances that an answer came from.
    pub control_term: ControlTerm,
}

/// What became of an answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// Nothing of it was taken.
    Dropped(DropReason),
    /// It was taken, but the revision in force here is older than the one it speaks of: it gave no lease.
    Behind,
    /// It was taken, and its leases count.
    Leased,
}

/// Why an answer was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It answers an earlier run of this instance.
    OtherIncarnation,
    /// A newer control leader has answered before.
    OldControlTerm,
    /// It claims to answer a question that has not been asked yet.
    AskedInFuture,
    /// Its leases ran out on the way.
    Expired,
}

impl Freshness {
    /// Whether terms and service state may be taken as current.
    pub fn holds_term_lease(&self, now: Instant) -> bool {
        now < self.term_lease_until
    }

    /// Whether keys, plans, shares and permits may be taken as current.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now < self.freshness_lease_until
    }

    /// The revision in force here.
    pub fn revision(&self) -> Revision {
        self.catalogue.revision
    }
}

/// Puts a catalogue in force and arranges its lists for look-up. Refuses one that is older.
pub fn put_in_force(freshness: &mut Freshness, catalogue: Arc<Catalogue>) -> bool {
    if catalogue.revision < freshness.catalogue.revision {
        return false;
    }
    if !Arc::ptr_eq(&catalogue.lists, &freshness.catalogue.lists) {
        freshness.index = Arc::new(Index::build(&catalogue.lists));
    }
    freshness.catalogue = catalogue;
    true
}

/// Takes the catalogue and the leases of an answer. Shares and permits are taken by [`super::membership`].
pub fn apply_answer(
    freshness: &mut Freshness,
    now: Instant,
    incarnation: Incarnation,
    answer: &HeartbeatAnswer,
) -> AnswerOutcome {
    if let Some(reason) = drop_reason(freshness, now, incarnation, answer) {
        return AnswerOutcome::Dropped(reason);
    }
    freshness.control_term = answer.control_term;
    apply_update(freshness, &answer.update);
    if let Some(update) = &answer.instances {
        update.apply(&mut freshness.instances);
    }
    if freshness.revision() < answer.revision {
        return AnswerOutcome::Behind;
    }
    let term_lease_until = answer.asked_at + Duration::from_millis(answer.term_lease_ms.min(TERM_LEASE_MS));
    freshness.term_lease_until = freshness.term_lease_until.max(term_lease_until);
    freshness.freshness_lease_until = freshness.freshness_lease_until.max(fresh_until(answer));
    AnswerOutcome::Leased
}

/// The end of the freshness lease that an answer gives.
fn fresh_until(answer: &HeartbeatAnswer) -> Instant {
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
    if now >= fresh_until(answer) {
        return Some(DropReason::Expired);
    }
    None
}

fn apply_update(freshness: &mut Freshness, update: &CatalogueUpdate) {
    match update {
        CatalogueUpdate::None => {}
        CatalogueUpdate::Snapshot(catalogue) => {
            put_in_force(freshness, catalogue.clone());
        }
        CatalogueUpdate::Deltas(deltas) => apply_deltas(freshness, deltas),
    }
}

/// Applies the deltas that continue the catalogue. One that is behind is skipped, one that leaves a gap ends it.
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
        put_in_force(freshness, Arc::new(catalogue));
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
