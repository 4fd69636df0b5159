//! The choice of a term's primary: the replica with the highest position among a majority of the group.

use {
    super::{Core, detection, service_state},
    crate::timing::ANNOUNCEMENT_INTERVAL_MS,
    cumincart_protocol::{
        announcement::{Announcement, Role},
        catalogue::Group,
        name::EndpointName,
        number::Timeline,
        time::Instant,
    },
    std::{cmp::Ordering, time::Duration},
};

/// How long endpoints that were heard lately are waited for beyond a majority, in milliseconds.
pub const STRAGGLER_WAIT_MS: u64 = 2 * ANNOUNCEMENT_INTERVAL_MS + 50;

/// How long a majority of an asynchronously replicated group is waited for after the fence, in milliseconds: several
/// urgent probes, and one that has its whole time.
pub const MAJORITY_WAIT_MS: u64 = 800;

/// How long a planned move holds writes for a replica to catch up, in milliseconds.
pub const MOVE_TIMEOUT_MS: u64 = 2_000;

/// What to do about a term without a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Nobody can be chosen yet, and why.
    Wait(&'static str),
    /// This endpoint.
    Endpoint(EndpointName),
    /// The old primary, although it should move: no replica has caught up in time.
    GoBack(EndpointName),
}

/// Orders replicas by how much of the group's log they have: a later timeline first, then the position.
pub fn by_position(a: &Announcement, b: &Announcement) -> Ordering {
    (a.timeline, a.position).cmp(&(b.timeline, b.position))
}

/// Chooses among the endpoints that have announced themselves after the fence.
pub fn choose(core: &Core, now: Instant, group: &Group, fenced_at: Instant) -> Choice {
    let answers: Vec<&Announcement> = group
        .endpoints
        .iter()
        .filter_map(|endpoint| core.announcements.since(&endpoint.name, fenced_at))
        .filter(|answer| is_on_course(group, answer))
        .collect();
    if let Some(former) = answers.iter().find(|answer| is_former_primary(group, answer)) {
        let held = now.saturating_since(fenced_at);
        return choose_for_move(core, group, &answers, former, held);
    }
    if awaits_former_primary(core, now, group) {
        return Choice::Wait("the old primary has not announced its last position");
    }
    choose_among_majority(core, now, group, &answers, fenced_at)
}

/// Whether the endpoint's log is a prefix of the group's, or the log that a promotion of ours has opened.
pub fn is_on_course(group: &Group, answer: &Announcement) -> bool {
    let last = last_timeline(group);
    if answer.role == Role::Primary && answer.timeline < last {
        return false;
    }
    let next = group.term_starts.iter().find(|start| start.timeline > answer.timeline);
    next.is_none_or(|next| answer.position <= next.position)
}

/// The old primary is alive: whoever takes over must have all that it has.
fn choose_for_move(
    core: &Core,
    group: &Group,
    answers: &[&Announcement],
    former: &Announcement,
    held: Duration,
) -> Choice {
    if service_state::may_be_primary(core, group, &former.endpoint) {
        return Choice::Endpoint(former.endpoint.clone());
    }
    let best = best_in_service(core, group, answers);
    if let Some(best) = best.filter(|best| best.position >= former.position) {
        return Choice::Endpoint(best.endpoint.clone());
    }
    if held >= Duration::from_millis(MOVE_TIMEOUT_MS) {
        return Choice::GoBack(former.endpoint.clone());
    }
    Choice::Wait("no replica in service has all of the old primary's log")
}

fn choose_among_majority(
    core: &Core,
    now: Instant,
    group: &Group,
    answers: &[&Announcement],
    fenced_at: Instant,
) -> Choice {
    let has_majority = answers.len() > group.endpoints.len() / 2;
    if !has_majority && !may_choose_from_few(core, now, group, fenced_at) {
        return Choice::Wait("less than a majority of the group has announced itself");
    }
    if awaits_stragglers(core, now, group, answers, fenced_at) {
        return Choice::Wait("endpoints that were heard lately have not announced themselves");
    }
    let compare = core.failover.policy.compare;
    let Some(best) = answers.iter().copied().max_by(|a, b| compare(a, b)) else {
        return Choice::Wait("no endpoint has announced itself");
    };
    // Of equals, one in service. Where only an endpoint out of service has the most, it is promoted, gets no
    // work, and the primary moves from there.
    let in_service = best_in_service(core, group, answers).filter(|other| compare(other, best).is_eq());
    Choice::Endpoint(in_service.unwrap_or(best).endpoint.clone())
}

/// Whether less than a majority is enough: where replication is asynchronous, waiting longer for endpoints that don't
/// answer finds no acknowledged write for sure, and costs service.
fn may_choose_from_few(core: &Core, now: Instant, group: &Group, fenced_at: Instant) -> bool {
    let limits = core.catalogue.lists.interactive.services.get(&group.service);
    limits.is_some_and(|limits| limits.synchronous_replicas == 0)
        && now.saturating_since(fenced_at) >= Duration::from_millis(MAJORITY_WAIT_MS)
}

fn best_in_service<'a>(core: &Core, group: &Group, answers: &[&'a Announcement]) -> Option<&'a Announcement> {
    let may_be = |answer: &&&Announcement| service_state::may_be_primary(core, group, &answer.endpoint);
    let compare = core.failover.policy.compare;
    answers.iter().filter(may_be).copied().max_by(|a, b| compare(a, b))
}

/// Whether the old primary is alive as far as is known, so that its last position will come.
fn awaits_former_primary(core: &Core, now: Instant, group: &Group) -> bool {
    group.endpoints.iter().any(|endpoint| {
        let heard = core.announcements.get(&endpoint.name);
        heard.is_some_and(|heard| is_former_primary(group, &heard.announcement))
            && !detection::is_silent(core, now, &endpoint.name)
    })
}

fn awaits_stragglers(
    core: &Core,
    now: Instant,
    group: &Group,
    answers: &[&Announcement],
    fenced_at: Instant,
) -> bool {
    let limit = Duration::from_millis(STRAGGLER_WAIT_MS);
    if now.saturating_since(fenced_at) >= limit {
        return false;
    }
    group.endpoints.iter().any(|endpoint| {
        let has_answered = answers.iter().any(|answer| answer.endpoint == endpoint.name);
        let heard = core.announcements.get(&endpoint.name);
        !has_answered && heard.is_some_and(|heard| now.saturating_since(heard.at) < limit)
    })
}

fn is_former_primary(group: &Group, answer: &Announcement) -> bool {
    answer.role == Role::Primary && answer.timeline == last_timeline(group)
}

fn last_timeline(group: &Group) -> Timeline {
    group.term_starts.last().map(|start| start.timeline).unwrap_or_default()
}
