//! Endpoints that leave a group with synchronous replicas. One that has ended, or is silent, may hold a commit that only
//! it and the primary have. It stays in its group until so many others have all that the primary had after its end.

use {
    super::{Core, announcements::Announcements, choice},
    cumincart_protocol::{
        announcement::Role,
        catalogue::{EndpointEntry, Group},
        name::{EndpointName, ServiceName},
        number::{LogPosition, Timeline},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::time::Duration,
};

/// How long after an endpoint has reported its end the primary may still send to it, in milliseconds.
pub const SETTLE_MS: u64 = 500;

/// How long a departure is remembered after the last question about it, in milliseconds.
const FORGET_AFTER_MS: u64 = 2_000;

/// A point in the log of a group's primary that covers every commit up to an instant.
#[derive(Debug, Clone)]
pub struct Watermark {
    since: Instant,
    point: Option<(Timeline, LogPosition)>,
}

impl Watermark {
    /// Starts to wait for the primary's next answer.
    pub fn begin(since: Instant) -> Self {
        Self { since, point: None }
    }

    /// Takes the point from the primary's first answer since the start.
    pub fn observe(&mut self, announcements: &Announcements, group: &Group) {
        let Some(primary) = group.primary.as_ref().filter(|_| group.writable && self.point.is_none()) else {
            return;
        };
        let answer = announcements.since(primary, self.since);
        let is_primary = answer
            .filter(|answer| answer.role == Role::Primary && choice::is_on_last_timeline(group, answer));
        self.point = is_primary.map(|answer| (answer.timeline, answer.position));
    }

    /// Returns how many replicas that count have the log up to the point; none while the group has no primary.
    pub fn copies(
        &self,
        announcements: &Announcements,
        group: &Group,
        counts: impl Fn(&EndpointEntry) -> bool,
    ) -> usize {
        // Without a primary, the former one would count as a replica.
        let Some(point) = self.point.filter(|_| group.writable) else { return 0 };
        let has_point = |entry: &&EndpointEntry| {
            let answer = announcements.since(&entry.name, self.since);
            answer.is_some_and(|answer| {
                choice::follows_group_log(group, answer) && (answer.timeline, answer.position) >= point
            })
        };
        let replicas = group.endpoints.iter().filter(|entry| Some(&entry.name) != group.primary.as_ref());
        replicas.filter(|entry| counts(entry)).filter(has_point).count()
    }
}

/// An endpoint that is to be removed from its group.
#[derive(Debug)]
pub struct Departure {
    endpoint: EndpointName,
    watermark: Watermark,
    asked_at: Instant,
}

impl Keyed for Departure {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// The endpoints that are to be removed from their groups.
pub type Departures = SortedVec<Departure>;

/// Returns whether an endpoint that has ended, or has been silent for long, can be removed from its group without a commit
/// being lost by a later promotion.
pub fn may_remove(core: &mut Core, now: Instant, service: &ServiceName, endpoint: &EndpointName) -> bool {
    let Some(group) = core.catalogue.group(service) else { return true };
    let replicas = group.commit_holders.replicas as usize;
    if replicas == 0 {
        return true;
    }
    let forget_after = Duration::from_millis(FORGET_AFTER_MS);
    core.departures.retain(|known| now.saturating_since(known.asked_at) < forget_after);
    let departure = core.departures.get_or_insert_with(endpoint, || Departure {
        endpoint: endpoint.clone(),
        watermark: Watermark::begin(now + Duration::from_millis(SETTLE_MS)),
        asked_at: now,
    });
    departure.asked_at = now;
    departure.watermark.observe(&core.announcements, group);
    let watermark = departure.watermark.clone();
    let stays = |entry: &EndpointEntry| !core.departures.contains(&entry.name);
    watermark.copies(&core.announcements, group, stays) >= replicas
}
