//! Applies committed records to the catalogue, and retains the last changes for instances that are slightly
//! behind.

use {
    super::{commit_holders, configuration, operators::Outcomes},
    cumincart_protocol::{
        catalogue::{Catalogue, CommitHolders, EndpointEntry, Group, TermStart},
        change::{Action, Change, Outcome, VersionedDocument},
        heartbeat::{CatalogueChange, CatalogueDelta, CatalogueUpdate},
        name::{EndpointName, ServiceName},
        number::{ListsRevision, LogIndex, Revision, Term},
        packed::PackedUpdate,
        patch::ListsPatch,
        replication::{Command, Record},
        size::{CONFIGURATION_MAX_BYTES, encoded_bytes},
        sorted::{Keyed, SortedVec},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// The number of retained changes.
pub const DELTA_WINDOW: usize = 512;

/// The last changes of the catalogue, oldest first and without gaps.
#[derive(Debug, Default)]
pub struct RecentDeltas {
    deltas: VecDeque<CatalogueDelta>,
    /// Updates to the newest revision that were computed since the last change. Many holders need the same one.
    updates: Vec<ComputedUpdate>,
    /// The whole catalogue as it was packed last, which outlasts small changes.
    whole: Option<PackedCatalogue>,
}

/// The whole catalogue at a revision, packed.
#[derive(Debug)]
struct PackedCatalogue {
    revision: Revision,
    packed: PackedUpdate,
}

/// An update that is encoded once for all holders that need it.
#[derive(Debug)]
pub struct LargeUpdate {
    /// The update.
    pub update: CatalogueUpdate,
    /// Its size, in bytes.
    pub bytes: usize,
    /// The revision that it leads to.
    pub to: Revision,
}

/// An update from a revision to the newest one.
#[derive(Debug)]
struct ComputedUpdate {
    from: Revision,
    update: CatalogueUpdate,
    /// Its encoded size in bytes, once it was needed.
    bytes: Option<usize>,
    /// The same update for holders that accept it packed, once it was needed.
    packed: Option<PackedUpdate>,
}

impl RecentDeltas {
    /// Appends the newest change. Earlier changes that it supersedes become empty, since every update that
    /// contains them also contains the newest one.
    pub fn push(&mut self, delta: CatalogueDelta) {
        if self.deltas.len() == DELTA_WINDOW {
            self.deltas.pop_front();
        }
        for older in &mut self.deltas {
            if is_superseded(&older.change, &delta.change) {
                older.change = CatalogueChange::Nothing;
            }
        }
        self.deltas.push_back(delta);
        self.updates.clear();
    }

    /// Forgets the computed updates, which share the catalogue that is about to change.
    pub fn forget_updates(&mut self) {
        self.updates.clear();
    }

    /// Removes all changes, after a snapshot has replaced the catalogue.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.updates.clear();
        self.whole = None;
    }

    /// Returns whether the retained changes lead from a revision to the newest one.
    pub fn reaches_back_to(&self, from: Revision) -> bool {
        let start = self.deltas.partition_point(|delta| delta.from < from);
        self.deltas.get(start).is_some_and(|delta| delta.from == from)
    }

    /// Returns the update from an instance's revision to the revision of the catalogue.
    pub fn update(&mut self, catalogue: &Arc<Catalogue>, from: Revision) -> CatalogueUpdate {
        if from >= catalogue.revision {
            return CatalogueUpdate::None;
        }
        self.computed(catalogue, from).update.clone()
    }

    /// Returns a large update, packed where the holder accepts it. It may lead to an earlier revision than the newest one:
    /// while many instances start, each of their runs makes a revision, and packing the whole catalogue for each of them
    /// would take the leader's processor for seconds. The changes since are small and follow.
    pub fn large_update(
        &mut self,
        catalogue: &Arc<Catalogue>,
        from: Revision,
        accepts_packed: bool,
    ) -> LargeUpdate {
        let to = catalogue.revision;
        if !accepts_packed {
            let computed = self.computed(catalogue, from);
            let bytes = *computed.bytes.get_or_insert_with(|| encoded_bytes(&computed.update));
            return LargeUpdate { update: computed.update.clone(), bytes, to };
        }
        if !self.reaches_back_to(from)
            && let Some(whole) = self.current_whole(to)
        {
            let packed = whole.packed.clone();
            let (bytes, to) = (packed.len(), whole.revision);
            return LargeUpdate { update: CatalogueUpdate::Packed(packed), bytes, to };
        }
        let computed = self.computed(catalogue, from);
        let packed = computed.packed.get_or_insert_with(|| PackedUpdate::pack(&computed.update)).clone();
        if matches!(computed.update, CatalogueUpdate::Snapshot(_)) {
            self.whole = Some(PackedCatalogue { revision: to, packed: packed.clone() });
        }
        LargeUpdate { bytes: packed.len(), update: CatalogueUpdate::Packed(packed), to }
    }

    /// Returns the packed catalogue if the retained changes lead from it to the newest revision, and none of them is one of
    /// the lists.
    fn current_whole(&self, newest: Revision) -> Option<&PackedCatalogue> {
        let whole = self.whole.as_ref()?;
        let is_reached = whole.revision == newest || self.reaches_back_to(whole.revision);
        let start = self.deltas.partition_point(|delta| delta.from < whole.revision);
        let has_lists = self.deltas.iter().skip(start).any(|delta| has_lists(&delta.change));
        (is_reached && !has_lists).then_some(whole)
    }

    fn computed(&mut self, catalogue: &Arc<Catalogue>, from: Revision) -> &mut ComputedUpdate {
        // All whole catalogues are the same.
        let from = if self.reaches_back_to(from) { from } else { Revision::default() };
        let index = match self.updates.iter().position(|known| known.from == from) {
            Some(index) => index,
            None => {
                let update = self.compute(catalogue, from);
                self.updates.push(ComputedUpdate { from, update, bytes: None, packed: None });
                self.updates.len() - 1
            }
        };
        &mut self.updates[index]
    }

    fn compute(&self, catalogue: &Arc<Catalogue>, from: Revision) -> CatalogueUpdate {
        if !self.reaches_back_to(from) {
            return CatalogueUpdate::Snapshot(Arc::clone(catalogue));
        }
        let start = self.deltas.partition_point(|delta| delta.from < from);
        let deltas = merge(self.deltas.iter().skip(start));
        let lists_changes = self.deltas.iter().skip(start).filter(|delta| has_lists(&delta.change)).count();
        if fit_into_message(&deltas, lists_changes) {
            CatalogueUpdate::Deltas(deltas)
        } else {
            CatalogueUpdate::Snapshot(Arc::clone(catalogue))
        }
    }
}

/// Returns whether the lists in the changes, which were merged from so many changes of them, leave room for the rest of a
/// message. One change always does.
fn fit_into_message(deltas: &[CatalogueDelta], lists_changes: usize) -> bool {
    let lists = deltas.iter().map(|delta| &delta.change).filter(|change| has_lists(change));
    lists_changes <= 1 || lists.map(encoded_bytes).sum::<usize>() <= CONFIGURATION_MAX_BYTES
}

fn has_lists(change: &CatalogueChange) -> bool {
    matches!(change, CatalogueChange::Lists(..) | CatalogueChange::ListsPatch(..))
}

fn is_superseded(older: &CatalogueChange, newer: &CatalogueChange) -> bool {
    match (older, newer) {
        (CatalogueChange::Lists(..) | CatalogueChange::ListsPatch(..), CatalogueChange::Lists(..))
        | (CatalogueChange::DomainsOut(_), CatalogueChange::DomainsOut(_))
        | (CatalogueChange::InstancesOut(_), CatalogueChange::InstancesOut(_)) => true,
        (CatalogueChange::Group(older), CatalogueChange::Group(newer)) => older.service == newer.service,
        _ => false,
    }
}

/// Copies the changes, and merges consecutive empty ones as well as the patches of the lists, which become one at the
/// place of the last.
fn merge<'a>(deltas: impl Iterator<Item = &'a CatalogueDelta> + Clone) -> Vec<CatalogueDelta> {
    let patches: Vec<&ListsPatch> = deltas.clone().filter_map(|delta| patch(&delta.change)).collect();
    // One patch is shared rather than copied.
    let joined = if patches.len() > 1 { ListsPatch::join(&patches).map(Arc::new) } else { None };
    let last = deltas.clone().filter(|delta| patch(&delta.change).is_some()).map(|delta| delta.to).last();
    let mut merged: Vec<CatalogueDelta> = Vec::new();
    for delta in deltas {
        let change = match (&delta.change, &joined) {
            (CatalogueChange::ListsPatch(revision, _), Some(joined)) if Some(delta.to) == last => {
                CatalogueChange::ListsPatch(*revision, Arc::clone(joined))
            }
            (CatalogueChange::ListsPatch(..), Some(_)) => CatalogueChange::Nothing,
            (change, _) => change.clone(),
        };
        match merged.last_mut() {
            Some(last) if is_empty(&last.change) && is_empty(&change) => last.to = delta.to,
            _ => merged.push(CatalogueDelta { from: delta.from, to: delta.to, change }),
        }
    }
    merged
}

fn patch(change: &CatalogueChange) -> Option<&ListsPatch> {
    match change {
        CatalogueChange::ListsPatch(_, patch) => Some(patch),
        _ => None,
    }
}

fn is_empty(change: &CatalogueChange) -> bool {
    matches!(change, CatalogueChange::Nothing)
}

/// Applies one record. Returns the change to the catalogue, and the outcome if the record is an operator's
/// change.
pub fn apply(
    catalogue: &mut Catalogue,
    outcomes: &mut Outcomes,
    document: &mut Option<VersionedDocument>,
    record: &Record,
) -> (CatalogueChange, Option<Outcome>) {
    catalogue.revision = revision_of(record.index);
    match &record.command {
        Command::Open
        | Command::Members(_)
        | Command::PutRun(_)
        | Command::RemoveRun(_)
        | Command::FixUsage(_) => (CatalogueChange::Nothing, None),
        Command::Operator(change) => {
            let (delta, outcome) = apply_change(catalogue, outcomes, document, change);
            (delta, Some(outcome))
        }
        Command::SetCommitReplicas { service, replicas } => {
            commit_holders::apply_setting(catalogue, service, *replicas);
            (CatalogueChange::Nothing, None)
        }
        Command::PutEndpoint(service, entry) => (put_endpoint(catalogue, service, entry), None),
        Command::RemoveEndpoint(service, endpoint) => (remove_endpoint(catalogue, service, endpoint), None),
        Command::BeginTerm { service, term, primary } => {
            (begin_term(catalogue, service, *term, primary.as_ref()), None)
        }
        Command::OpenTerm { service, term, primary, timeline, start } => {
            let start = TermStart { term: *term, timeline: *timeline, position: *start };
            (open_term(catalogue, service, primary, start), None)
        }
    }
}

/// Returns the catalogue revision that a record creates.
pub fn revision_of(index: LogIndex) -> Revision {
    Revision(index.0)
}

fn apply_change(
    catalogue: &mut Catalogue,
    outcomes: &mut Outcomes,
    document: &mut Option<VersionedDocument>,
    change: &Change,
) -> (CatalogueChange, Outcome) {
    if let Some(outcome) = outcomes.get(&change.id) {
        return (CatalogueChange::Nothing, outcome.clone());
    }
    let (delta, outcome) = apply_action(catalogue, document, &change.action);
    outcomes.record(change.id.clone(), outcome.clone());
    (delta, outcome)
}

fn apply_action(
    catalogue: &mut Catalogue,
    document: &mut Option<VersionedDocument>,
    action: &Action,
) -> (CatalogueChange, Outcome) {
    let change = match action {
        Action::Apply { base, .. } if *base != catalogue.lists_revision => {
            let outcome = Outcome::Conflict { base: *base, current: catalogue.lists_revision };
            return (CatalogueChange::Nothing, outcome);
        }
        Action::Apply { lists, .. } => {
            catalogue.lists_revision = ListsRevision(catalogue.lists_revision.0 + 1);
            catalogue.lists = Arc::clone(lists);
            CatalogueChange::Lists(catalogue.lists_revision, Arc::clone(lists))
        }
        Action::Replace(new) => configuration::apply_configuration(catalogue, document, new),
        Action::SetDomain { domain, out } => {
            set_membership(&mut catalogue.domains_out, domain, *out);
            CatalogueChange::DomainsOut(catalogue.domains_out.clone())
        }
        Action::SetInstance { instance, out } => {
            set_membership(&mut catalogue.instances_out, instance, *out);
            CatalogueChange::InstancesOut(catalogue.instances_out.clone())
        }
    };
    let outcome =
        Outcome::Accepted { revision: catalogue.revision, lists_revision: catalogue.lists_revision };
    (change, outcome)
}

fn set_membership<T: Keyed<Key = T> + Clone>(set: &mut SortedVec<T>, item: &T, present: bool) {
    if present {
        set.insert(item.clone());
    } else {
        set.remove(item);
    }
}

fn put_endpoint(catalogue: &mut Catalogue, service: &ServiceName, entry: &EndpointEntry) -> CatalogueChange {
    let group = catalogue.groups.get_or_insert_with(service, || empty_group(service));
    group.endpoints.insert(entry.clone());
    group_change(group)
}

fn remove_endpoint(
    catalogue: &mut Catalogue,
    service: &ServiceName,
    endpoint: &EndpointName,
) -> CatalogueChange {
    let Some(group) = catalogue.groups.get_mut(service) else { return CatalogueChange::Nothing };
    if group.primary.as_ref() == Some(endpoint) || group.endpoints.remove(endpoint).is_none() {
        return CatalogueChange::Nothing;
    }
    group_change(group)
}

/// Begins the next term, or sets the primary of a term that was begun without one. Any other record is
/// outdated and ignored.
fn begin_term(
    catalogue: &mut Catalogue,
    service: &ServiceName,
    term: Term,
    primary: Option<&EndpointName>,
) -> CatalogueChange {
    let Some(group) = catalogue.groups.get_mut(service) else { return CatalogueChange::Nothing };
    let begins = term == group.term.next();
    let sets_primary = term == group.term && !group.writable && group.primary.is_none();
    if !begins && !sets_primary {
        return CatalogueChange::Nothing;
    }
    group.term = term;
    group.primary = primary.cloned();
    group.writable = false;
    group_change(group)
}

fn open_term(
    catalogue: &mut Catalogue,
    service: &ServiceName,
    primary: &EndpointName,
    start: TermStart,
) -> CatalogueChange {
    let Some(group) = catalogue.groups.get_mut(service) else { return CatalogueChange::Nothing };
    let expected = group.term == start.term && !group.writable && group.primary.as_ref() == Some(primary);
    if !expected {
        return CatalogueChange::Nothing;
    }
    group.writable = true;
    group.term_starts.push(start);
    group_change(group)
}

fn empty_group(service: &ServiceName) -> Group {
    Group {
        service: service.clone(),
        term: Term::default(),
        primary: None,
        writable: false,
        endpoints: SortedVec::new(),
        term_starts: Vec::new(),
        commit_holders: CommitHolders::default(),
    }
}

fn group_change(group: &Group) -> CatalogueChange {
    CatalogueChange::Group(Box::new(group.clone()))
}
