//! Changes of primary: failover after a primary's failure, planned switchovers, and the adoption of a new
//! group's first primary.
//!
//! Every change consists of the same steps, each committed before the next one starts: a term without a
//! primary begins, which fences writes; the leases on the previous term expire or their holders confirm the
//! fence; a primary is chosen and recorded; it is promoted; the term is opened for writes. A newly elected
//! leader continues after the last committed step.

use {
    super::{
        Core, Effect,
        catalogue::revision_of,
        choice::{self, Choice},
        detection::{self, Policy, Reports},
        leases::Fence,
        promotion::{self, PromotionRequest},
        replicate, service_state,
    },
    cumincart_protocol::{
        announcement::Role,
        catalogue::Group,
        name::{EndpointName, ServiceName},
        number::{LogIndex, LogPosition, Term},
        replication::Command,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// How long announcements of a new group are collected before one of its primaries is adopted, in
/// milliseconds.
pub const ADOPTION_DELAY_MS: u64 = 400;

/// The delay before a cancelled switchover is tried again, in milliseconds.
pub const SWITCHOVER_RETRY_MS: u64 = 10_000;

/// The state of failure detection and of changes of primary.
#[derive(Debug, Default)]
pub struct Failover {
    /// The rules for declaring a primary dead and for comparing replicas.
    pub policy: Policy,
    /// The reachability reports of entry instances.
    pub reports: Reports,
    changes: SortedVec<PrimaryChange>,
    paused_switchovers: SortedVec<PausedSwitchover>,
}

/// A cancelled switchover, until it is tried again.
#[derive(Debug)]
struct PausedSwitchover {
    service: ServiceName,
    until: Instant,
}

impl Keyed for PausedSwitchover {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// A change of primary in progress.
#[derive(Debug)]
pub(super) struct PrimaryChange {
    service: ServiceName,
    started_at: Instant,
    /// The last record that the change proposed. The change continues once this record is applied.
    pub(super) proposed: LogIndex,
    fence: Option<Fence>,
    fenced_at: Option<Instant>,
    pub(super) promotion_request: PromotionRequest,
    wait_reason: Option<&'static str>,
}

impl Keyed for PrimaryChange {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

impl PrimaryChange {
    fn begin(service: &ServiceName, now: Instant, proposed: LogIndex) -> Self {
        Self {
            service: service.clone(),
            started_at: now,
            proposed,
            fence: None,
            fenced_at: None,
            promotion_request: PromotionRequest::default(),
            wait_reason: None,
        }
    }
}

/// Resets the state at the start of a leadership. Changes in progress are recovered from the catalogue.
pub fn on_elected(core: &mut Core) {
    core.failover.reports = Reports::default();
    core.failover.changes = SortedVec::default();
    core.failover.paused_switchovers = SortedVec::default();
}

/// Checks every group.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !is_established_leader(core) {
        return;
    }
    let services: Vec<ServiceName> =
        core.catalogue.groups.iter().map(|group| group.service.clone()).collect();
    for service in &services {
        advance_group(core, now, service, out);
    }
}

/// Continues the changes that are in progress. Called after each input.
pub fn on_input(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !is_established_leader(core) {
        return;
    }
    let services: Vec<ServiceName> =
        core.failover.changes.iter().map(|change| change.service.clone()).collect();
    for service in &services {
        advance_group(core, now, service, out);
    }
}

/// Returns whether this instance leads and has committed a record of its own term.
pub(super) fn is_established_leader(core: &Core) -> bool {
    core.election.is_leader() && core.replication.has_committed_own_term(&core.log)
}

/// Returns whether the last record that the service's change of primary proposed has been applied.
pub(super) fn is_last_record_applied(core: &Core, service: &ServiceName) -> bool {
    core.failover.changes.get(service).is_none_or(|change| change.proposed <= core.log.applied)
}

fn advance_group(core: &mut Core, now: Instant, service: &ServiceName, out: &mut Vec<Effect>) {
    if !is_last_record_applied(core, service) {
        return;
    }
    let catalogue = Arc::clone(&core.catalogue);
    let Some(group) = catalogue.group(service) else { return };
    if group.term == Term::default() {
        adopt(core, now, group, out);
    } else if group.writable {
        check_primary(core, now, group, out);
    } else if let Some(primary) = &group.primary {
        promotion::request(core, now, group, primary, out);
    } else {
        fence_and_choose(core, now, group, out);
    }
}

/// Makes an endpoint that announces itself as primary the primary of the group's first term.
fn adopt(core: &mut Core, now: Instant, group: &Group, out: &mut Vec<Effect>) {
    let announced = group.endpoints.iter().filter_map(|endpoint| core.announcements.get(&endpoint.name));
    let primaries =
        announced.map(|received| &received.announcement).filter(|received| received.role == Role::Primary);
    let Some(primary) = primaries.max_by_key(|received| (received.timeline, received.position)).cloned()
    else {
        return;
    };
    let change = change_entry(core, now, &group.service);
    if now.saturating_since(change.started_at) < Duration::from_millis(ADOPTION_DELAY_MS) {
        return;
    }
    let service = group.service.clone();
    let term = group.term.next();
    log(out, &service, &format!("{} is adopted as the primary of term {term}", primary.endpoint));
    let name = primary.endpoint;
    let begin = Command::BeginTerm { service: service.clone(), term, primary: Some(name.clone()) };
    replicate::propose(core, now, begin, out);
    // Nothing was written before the first term, so no position lies after its start.
    let start = LogPosition::default();
    let open = Command::OpenTerm {
        service: service.clone(),
        term,
        primary: name,
        timeline: primary.timeline,
        start,
    };
    let index = replicate::propose(core, now, open, out);
    change_entry(core, now, &service).proposed = index;
}

/// Begins a change if the primary is dead or must move.
fn check_primary(core: &mut Core, now: Instant, group: &Group, out: &mut Vec<Effect>) {
    let Some(primary) = &group.primary else { return };
    if core.failover.changes.remove(&group.service).is_some() {
        log(out, &group.service, &format!("term {} is open", group.term));
        core.announcements.restart_role_time(primary, now);
    }
    if detection::is_demoted(core, now, primary) {
        log(out, &group.service, &format!("the primary {primary} has become a replica"));
    } else if detection::is_dead(core, now, primary) {
        log(out, &group.service, &format!("the primary {primary} is dead"));
    } else if !is_paused(core, now, &group.service) && service_state::must_switch_over(core, now, group) {
        log(out, &group.service, &format!("the primary moves away from {primary}"));
    } else {
        return;
    }
    begin_term(core, now, &group.service, group.term.next(), out);
}

pub(super) fn begin_term(
    core: &mut Core,
    now: Instant,
    service: &ServiceName,
    term: Term,
    out: &mut Vec<Effect>,
) {
    let command = Command::BeginTerm { service: service.clone(), term, primary: None };
    let index = replicate::propose(core, now, command, out);
    let change = change_entry(core, now, service);
    change.proposed = index;
    // A completed fence stays valid, since no write was permitted after it. New positions are required,
    // though.
    change.fenced_at = change.fenced_at.map(|_| now);
}

fn fence_and_choose(core: &mut Core, now: Instant, group: &Group, out: &mut Vec<Effect>) {
    let Some(fenced_at) = wait_for_fence(core, now, &group.service) else { return };
    match choice::choose(core, now, group, fenced_at) {
        Choice::Wait(reason) => {
            let change = change_entry(core, now, &group.service);
            if change.wait_reason != Some(reason) {
                change.wait_reason = Some(reason);
                log(out, &group.service, &format!("term {} waits: {reason}", group.term));
            }
        }
        Choice::Endpoint(endpoint) => propose_primary(core, now, group, endpoint, out),
        Choice::KeepFormer(endpoint) => {
            let until = now + Duration::from_millis(SWITCHOVER_RETRY_MS);
            core.failover
                .paused_switchovers
                .insert(PausedSwitchover { service: group.service.clone(), until });
            log(out, &group.service, "the switchover is cancelled: no replica caught up in time");
            propose_primary(core, now, group, endpoint, out);
        }
    }
}

fn propose_primary(
    core: &mut Core,
    now: Instant,
    group: &Group,
    endpoint: EndpointName,
    out: &mut Vec<Effect>,
) {
    let service = group.service.clone();
    log(out, &service, &format!("{endpoint} is chosen as the primary of term {}", group.term));
    let command = Command::BeginTerm { service, term: group.term, primary: Some(endpoint) };
    let index = replicate::propose(core, now, command, out);
    change_entry(core, now, &group.service).proposed = index;
}

fn is_paused(core: &Core, now: Instant, service: &ServiceName) -> bool {
    core.failover.paused_switchovers.get(service).is_some_and(|paused| now < paused.until)
}

/// Returns when the fence of the current term was completed; `None` while it is not.
fn wait_for_fence(core: &mut Core, now: Instant, service: &ServiceName) -> Option<Instant> {
    let applied = core.log.applied;
    let leases = &core.leases;
    let change =
        core.failover.changes.get_or_insert_with(service, || PrimaryChange::begin(service, now, applied));
    if change.fenced_at.is_some() {
        return change.fenced_at;
    }
    let fence = change.fence.get_or_insert_with(|| Fence::begin(leases, revision_of(change.proposed)));
    core.pushes.require(fence.revision);
    if fence.is_done(leases, now) {
        change.fenced_at = Some(now);
    }
    change.fenced_at
}

/// Returns the service's change of primary; starts one if there is none.
pub(super) fn change_entry<'a>(
    core: &'a mut Core,
    now: Instant,
    service: &ServiceName,
) -> &'a mut PrimaryChange {
    let applied = core.log.applied;
    core.failover.changes.get_or_insert_with(service, || PrimaryChange::begin(service, now, applied))
}

pub(super) fn log(out: &mut Vec<Effect>, service: &ServiceName, text: &str) {
    out.push(Effect::Log(format!("{service}: {text}").into()));
}
