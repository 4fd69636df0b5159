//! Endpoints' announcements: the leader keeps the last announcement of each endpoint and the endpoints'
//! entries in the catalogue. Followers forward announcements to the leader.

use {
    super::{Core, Effect, departures, election, replicate},
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::EndpointEntry,
        name::EndpointName,
        number::{LogIndex, LogPosition, Timeline},
        replication::{Command, ReplicationBody},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::time::Duration,
};

/// How long a leaving endpoint must be silent before it is removed from its group, in milliseconds.
pub const REMOVE_AFTER_MS: u64 = 10_000;

/// The last announcement of an endpoint.
#[derive(Debug, Clone)]
pub struct ReceivedAnnouncement {
    /// The announcement.
    pub announcement: Announcement,
    /// When this leader received it.
    pub received_at: Instant,
    /// Since when the endpoint has announced this role, or when a term with it as primary was opened, if that
    /// was later.
    pub role_since: Instant,
    /// The record that last changed the endpoint's entry.
    proposed: LogIndex,
    /// The last log position that it has announced. One that announces less has lost its log.
    highest: (Timeline, LogPosition),
}

impl Keyed for ReceivedAnnouncement {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.announcement.endpoint
    }
}

/// The last announcement of each endpoint, as received by the leader.
#[derive(Debug, Default)]
pub struct Announcements {
    received: SortedVec<ReceivedAnnouncement>,
}

impl Announcements {
    /// Returns the last announcement of an endpoint.
    pub fn get(&self, endpoint: &EndpointName) -> Option<&ReceivedAnnouncement> {
        self.received.get(endpoint)
    }

    /// Returns the last announcements of all endpoints.
    pub fn all(&self) -> &SortedVec<ReceivedAnnouncement> {
        &self.received
    }

    /// Restarts the time of an endpoint's role, after its term was opened.
    pub fn restart_role_time(&mut self, endpoint: &EndpointName, now: Instant) {
        if let Some(received) = self.received.get_mut(endpoint) {
            received.role_since = now;
        }
    }

    /// Returns whether an announced log has all that its endpoint has announced before.
    pub fn is_whole(&self, announcement: &Announcement) -> bool {
        self.received
            .get(&announcement.endpoint)
            .is_none_or(|received| (announcement.timeline, announcement.position) >= received.highest)
    }

    /// Returns the last announcement of an endpoint, if it was received after the given time.
    pub fn since(&self, endpoint: &EndpointName, after: Instant) -> Option<&Announcement> {
        let received = self.received.get(endpoint)?;
        (received.received_at > after).then_some(&received.announcement)
    }
}

/// Handles an announcement; a follower forwards it to the leader.
pub fn on_announced(core: &mut Core, now: Instant, announcement: Announcement, out: &mut Vec<Effect>) {
    if core.election.is_leader() {
        record(core, now, announcement, out);
        return;
    }
    let Some(leader) = election::leader_member(core) else { return };
    replicate::send(core, leader, ReplicationBody::Announcements(vec![announcement]), out);
}

/// Handles announcements that a follower has forwarded.
pub fn on_forwarded(core: &mut Core, now: Instant, announcements: Vec<Announcement>, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        return;
    }
    for announcement in announcements {
        record(core, now, announcement, out);
    }
}

/// Removes endpoints that have announced that they leave and have been silent since.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let timeout = Duration::from_millis(REMOVE_AFTER_MS);
    let has_departed = |received: &&ReceivedAnnouncement| {
        received.announcement.leaving && now.saturating_since(received.received_at) >= timeout
    };
    let departed: Vec<Announcement> = core
        .announcements
        .received
        .iter()
        .filter(has_departed)
        .map(|received| received.announcement.clone())
        .collect();
    for announcement in departed {
        let group = core.catalogue.group(&announcement.service);
        let is_primary = group.is_some_and(|group| group.primary.as_ref() == Some(&announcement.endpoint));
        if is_primary || !departures::may_remove(core, now, &announcement.service, &announcement.endpoint) {
            continue;
        }
        core.announcements.received.remove(&announcement.endpoint);
        let command = Command::RemoveEndpoint(announcement.service, announcement.endpoint);
        replicate::propose(core, now, command, out);
    }
}

/// Records an announcement that describes the endpoint at the time `now`.
pub(super) fn record(core: &mut Core, now: Instant, announcement: Announcement, out: &mut Vec<Effect>) {
    let last = core.announcements.get(&announcement.endpoint);
    let proposed = last.map(|last| last.proposed).unwrap_or_default();
    let role_since = match last {
        Some(last) if last.announcement.role == announcement.role => last.role_since,
        _ => now,
    };
    let position = (announcement.timeline, announcement.position);
    let highest = last.map_or(position, |last| last.highest.max(position));
    let mut received = ReceivedAnnouncement { announcement, received_at: now, role_since, proposed, highest };
    let can_propose =
        core.log.applied >= received.proposed && core.replication.has_committed_own_term(&core.log);
    if can_propose && !has_current_entry(core, &received.announcement) {
        let command =
            Command::PutEndpoint(received.announcement.service.clone(), entry(&received.announcement));
        received.proposed = replicate::propose(core, now, command, out);
    }
    core.announcements.received.insert(received);
}

fn has_current_entry(core: &Core, announcement: &Announcement) -> bool {
    let group = core.catalogue.group(&announcement.service);
    let known = group.and_then(|group| group.endpoints.get(&announcement.endpoint));
    known == Some(&entry(announcement))
}

fn entry(announcement: &Announcement) -> EndpointEntry {
    EndpointEntry {
        name: announcement.endpoint.clone(),
        address: announcement.address.clone(),
        domain: announcement.domain.clone(),
        slots: announcement.slots,
        connection_limit: announcement.connection_limit,
        leaving: announcement.leaving,
    }
}
