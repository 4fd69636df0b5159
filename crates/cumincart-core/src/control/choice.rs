//! Selection of the primary of a term: the replica with the highest log position among those that must be asked, a
//! majority of the group or, with synchronous replicas, all that may hold acknowledged commits.

use {
    super::{Core, commit_holders, detection, service_state},
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

/// How long recently heard endpoints are waited for after a majority has announced itself, in milliseconds.
pub const STRAGGLER_WAIT_MS: u64 = 2 * ANNOUNCEMENT_INTERVAL_MS + 50;

/// How long a majority of an asynchronously replicated group is waited for after the fence, in milliseconds.
/// It covers several urgent probes, one of which may take its full timeout.
pub const MAJORITY_WAIT_MS: u64 = 800;

/// How long a planned switchover blocks writes while a replica catches up, in milliseconds.
pub const SWITCHOVER_TIMEOUT_MS: u64 = 2_000;

/// The decision about a term without a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// No endpoint can be chosen yet, for the given reason.
    Wait(&'static str),
    /// This endpoint becomes the primary.
    Endpoint(EndpointName),
    /// The former primary stays the primary, although it should move, because no replica has caught up in
    /// time.
    KeepFormer(EndpointName),
}

/// Compares replicas by how much of the group's log they have: by timeline first, then by position.
pub fn by_position(a: &Announcement, b: &Announcement) -> Ordering {
    (a.timeline, a.position).cmp(&(b.timeline, b.position))
}

/// Selects a primary among the endpoints that have announced themselves since the fence.
pub fn choose(core: &Core, now: Instant, group: &Group, fenced_at: Instant) -> Choice {
    let announcements: Vec<&Announcement> = group
        .endpoints
        .iter()
        .filter_map(|endpoint| core.announcements.since(&endpoint.name, fenced_at))
        .filter(|announcement| follows_group_log(group, announcement))
        .collect();
    if let Some(former) = announcements.iter().find(|announcement| is_former_primary(group, announcement)) {
        let blocked_for = now.saturating_since(fenced_at);
        return choose_for_switchover(core, group, &announcements, former, blocked_for);
    }
    if awaits_former_primary(core, now, group) {
        return Choice::Wait("the old primary has not announced its last position");
    }
    choose_among_majority(core, now, group, &announcements, fenced_at)
}

/// Returns whether the endpoint's log is a prefix of the group's log, or a continuation of it on a timeline
/// that a promotion of this group has opened.
pub fn follows_group_log(group: &Group, announcement: &Announcement) -> bool {
    let last = last_timeline(group);
    if announcement.role == Role::Primary && announcement.timeline < last {
        return false;
    }
    let next = group.term_starts.iter().find(|start| start.timeline > announcement.timeline);
    next.is_none_or(|next| announcement.position <= next.position)
}

/// Selects a primary while the former one is alive. The new primary must have the whole log of the former
/// one.
fn choose_for_switchover(
    core: &Core,
    group: &Group,
    announcements: &[&Announcement],
    former: &Announcement,
    blocked_for: Duration,
) -> Choice {
    if service_state::may_be_primary(core, group, &former.endpoint) {
        return Choice::Endpoint(former.endpoint.clone());
    }
    let best = best_in_service(core, group, announcements);
    if let Some(best) = best.filter(|best| best.position >= former.position) {
        return Choice::Endpoint(best.endpoint.clone());
    }
    if blocked_for >= Duration::from_millis(SWITCHOVER_TIMEOUT_MS) {
        return Choice::KeepFormer(former.endpoint.clone());
    }
    Choice::Wait("no replica in service has all of the old primary's log")
}

fn choose_among_majority(
    core: &Core,
    now: Instant,
    group: &Group,
    announcements: &[&Announcement],
    fenced_at: Instant,
) -> Choice {
    if let Some(reason) = too_few_answers(core, now, group, announcements, fenced_at) {
        return Choice::Wait(reason);
    }
    if awaits_stragglers(core, now, group, announcements, fenced_at) {
        return Choice::Wait("endpoints that were heard lately have not announced themselves");
    }
    let compare = core.failover.policy.compare;
    let Some(best) = announcements.iter().copied().max_by(|a, b| compare(a, b)) else {
        return Choice::Wait("no endpoint has announced itself");
    };
    // Among equal replicas, one in service is preferred. If only an endpoint out of service has the highest
    // position, it is promoted but gets no traffic, and the primary then moves away from it.
    let in_service = best_in_service(core, group, announcements).filter(|other| compare(other, best).is_eq());
    Choice::Endpoint(in_service.unwrap_or(best).endpoint.clone())
}

/// Returns why the endpoints that have announced themselves are too few to choose among; `None` if they are enough.
///
/// Where commits wait for replicas, those that have answered must hold every acknowledged commit. With asynchronous
/// replication, waiting longer than for a majority, or for endpoints that do not answer, does not guarantee that any
/// acknowledged write is found, and extends the outage.
fn too_few_answers(
    core: &Core,
    now: Instant,
    group: &Group,
    announcements: &[&Announcement],
    fenced_at: Instant,
) -> Option<&'static str> {
    if group.commit_holders.replicas > 0 {
        let joining = core.presences.joining(group);
        let is_permitted = commit_holders::permit_promotion(
            group,
            &core.announcements,
            announcements,
            joining,
            last_timeline(group),
        );
        return (!is_permitted)
            .then_some("endpoints that may hold acknowledged commits have not announced themselves");
    }
    let has_majority = announcements.len() > group.endpoints.len() / 2;
    let has_waited = now.saturating_since(fenced_at) >= Duration::from_millis(MAJORITY_WAIT_MS);
    let is_known = core.catalogue.lists.interactive.services.contains(&group.service);
    let is_enough = has_majority || (is_known && has_waited);
    (!is_enough).then_some("less than a majority of the group has announced itself")
}

fn best_in_service<'a>(
    core: &Core,
    group: &Group,
    announcements: &[&'a Announcement],
) -> Option<&'a Announcement> {
    let is_in_service =
        |announcement: &&&Announcement| service_state::may_be_primary(core, group, &announcement.endpoint);
    let compare = core.failover.policy.compare;
    announcements.iter().filter(is_in_service).copied().max_by(|a, b| compare(a, b))
}

/// Returns whether the former primary is believed to be alive, so that its last position is still expected.
fn awaits_former_primary(core: &Core, now: Instant, group: &Group) -> bool {
    group.endpoints.iter().any(|endpoint| {
        let received = core.announcements.get(&endpoint.name);
        received.is_some_and(|received| is_former_primary(group, &received.announcement))
            && !detection::is_silent(core, now, &endpoint.name)
    })
}

fn awaits_stragglers(
    core: &Core,
    now: Instant,
    group: &Group,
    announcements: &[&Announcement],
    fenced_at: Instant,
) -> bool {
    let limit = Duration::from_millis(STRAGGLER_WAIT_MS);
    if now.saturating_since(fenced_at) >= limit {
        return false;
    }
    group.endpoints.iter().any(|endpoint| {
        let has_announced = announcements.iter().any(|announcement| announcement.endpoint == endpoint.name);
        let received = core.announcements.get(&endpoint.name);
        !has_announced && received.is_some_and(|received| now.saturating_since(received.received_at) < limit)
    })
}

fn is_former_primary(group: &Group, announcement: &Announcement) -> bool {
    announcement.role == Role::Primary && announcement.timeline == last_timeline(group)
}

/// Returns whether an endpoint is on the timeline of the group's last term.
pub fn is_on_last_timeline(group: &Group, announcement: &Announcement) -> bool {
    announcement.timeline == last_timeline(group)
}

fn last_timeline(group: &Group) -> Timeline {
    group.term_starts.last().map(|start| start.timeline).unwrap_or_default()
}
