//! Endpoints' announcements: passed on to the leader, which keeps the last of each and the groups' entries.

use {
    super::{Core, Effect, election, members, replicate},
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::EndpointEntry,
        name::EndpointName,
        number::LogIndex,
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
pub struct Heard {
    /// The announcement.
    pub announcement: Announcement,
    /// When it came to this leader.
    pub at: Instant,
    /// Since when its announcements have named this role, or since it was made the primary of an open term.
    pub role_since: Instant,
    /// The record that last changed the endpoint's entry.
    proposed: LogIndex,
}

impl Keyed for Heard {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.announcement.endpoint
    }
}

/// The last announcement of every endpoint, as the leader heard them.
#[derive(Debug, Default)]
pub struct Announcements {
    heard: SortedVec<Heard>,
}

impl Announcements {
    /// The last announcement of an endpoint.
    pub fn get(&self, endpoint: &EndpointName) -> Option<&Heard> {
        self.heard.get(endpoint)
    }

    /// The last announcements of all endpoints.
    pub fn all(&self) -> &SortedVec<Heard> {
        &self.heard
    }

    /// Counts the time of an endpoint's role from now on, since its term was opened.
    pub fn restart_role(&mut self, endpoint: &EndpointName, now: Instant) {
        if let Some(heard) = self.heard.get_mut(endpoint) {
            heard.role_since = now;
        }
    }

    /// The last announcement of an endpoint, where it came after an instant.
    pub fn since(&self, endpoint: &EndpointName, after: Instant) -> Option<&Announcement> {
        let heard = self.heard.get(endpoint)?;
        (heard.at > after).then_some(&heard.announcement)
    }
}

/// Takes an announcement; a follower passes it on to the leader.
pub fn on_announced(core: &mut Core, now: Instant, announcement: Announcement, out: &mut Vec<Effect>) {
    if core.election.is_leader() {
        take(core, now, announcement, out);
        return;
    }
    let Some(leader) = election::leader_hint(core) else { return };
    let Some(member) = members::all(core.log.members()).find(|m| m.instance == leader.instance).cloned()
    else {
        return;
    };
    replicate::send(core, &member, ReplicationBody::Announcements(vec![announcement]), out);
}

/// Takes what a follower has passed on.
pub fn on_passed_on(core: &mut Core, now: Instant, announcements: Vec<Announcement>, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        return;
    }
    for announcement in announcements {
        take(core, now, announcement, out);
    }
}

/// Removes endpoints that said that they leave and are silent since.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let limit = Duration::from_millis(REMOVE_AFTER_MS);
    let is_gone = |heard: &&Heard| heard.announcement.leaving && now.saturating_since(heard.at) >= limit;
    let gone: Vec<Announcement> =
        core.announcements.heard.iter().filter(is_gone).map(|heard| heard.announcement.clone()).collect();
    for announcement in gone {
        let group = core.catalogue.group(&announcement.service);
        if group.is_some_and(|group| group.primary.as_ref() == Some(&announcement.endpoint)) {
            continue;
        }
        core.announcements.heard.remove(&announcement.endpoint);
        let command = Command::RemoveEndpoint(announcement.service, announcement.endpoint);
        replicate::propose(core, now, command, out);
    }
}

/// Takes an announcement that speaks of the instant `now`.
pub(super) fn take(core: &mut Core, now: Instant, announcement: Announcement, out: &mut Vec<Effect>) {
    let last = core.announcements.get(&announcement.endpoint);
    let proposed = last.map(|last| last.proposed).unwrap_or_default();
    let role_since = match last {
        Some(last) if last.announcement.role == announcement.role => last.role_since,
        _ => now,
    };
    let mut heard = Heard { announcement, at: now, role_since, proposed };
    let is_settled = core.log.applied >= heard.proposed && core.replication.has_committed_own_term(&core.log);
    if is_settled && !is_entered(core, &heard.announcement) {
        let command = Command::PutEndpoint(heard.announcement.service.clone(), entry(&heard.announcement));
        heard.proposed = replicate::propose(core, now, command, out);
    }
    core.announcements.heard.insert(heard);
}

fn is_entered(core: &Core, announcement: &Announcement) -> bool {
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
