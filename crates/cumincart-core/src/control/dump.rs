//! What a control instance shows of its core on request. Keys' digests and the lists stay out of it.

use {
    super::{Core, EndpointStatus, status},
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::Group,
        name::{DomainName, InstanceName},
        number::{ControlTerm, Incarnation, ListsRevision, LogIndex, Revision},
        replication::{Ballot, DiskId, Members},
        time::Instant,
    },
    serde::Serialize,
};

/// The state of a control instance.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The identity of its disk.
    pub disk: DiskId,
    /// Whether it leads.
    pub leads: bool,
    /// The greatest election term that it has seen, and its vote in it.
    pub ballot: Ballot,
    /// The election term of its last record.
    pub last_term: ControlTerm,
    /// The index of its last record.
    pub last_index: LogIndex,
    /// The index of the last record applied here.
    pub applied: LogIndex,
    /// The control instances as its log names them.
    pub members: Members,
    /// The catalogue's revision.
    pub revision: Revision,
    /// The revision of the lists.
    pub lists_revision: ListsRevision,
    /// Failure domains that are out.
    pub domains_out: Vec<DomainName>,
    /// Instances that are out.
    pub instances_out: Vec<InstanceName>,
    /// The database groups.
    pub groups: Vec<Group>,
    /// The entry instances that hold leases; known to the leader alone.
    pub holders: Vec<HolderDump>,
    /// The endpoints' last announcements; known to the leader alone.
    pub announcements: Vec<AnnouncementDump>,
}

/// An entry instance that holds a lease.
#[derive(Debug, Serialize)]
pub struct HolderDump {
    /// The instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The revision that it has confirmed.
    pub revision: Revision,
    /// How long its lease still runs.
    pub lease_left_ms: u64,
}

/// An endpoint's last announcement.
#[derive(Debug, Serialize)]
pub struct AnnouncementDump {
    /// What it said.
    pub announcement: Announcement,
    /// How long ago.
    pub age_ms: u64,
}

/// The state of a control instance now.
pub fn dump(core: &Core, now: Instant) -> Dump {
    let status = status::current(core, now);
    let catalogue = &core.catalogue;
    let holders = status.instances.into_iter().map(|holder| HolderDump {
        instance: holder.instance,
        incarnation: holder.incarnation,
        revision: holder.revision,
        lease_left_ms: holder.lease_left_ms,
    });
    Dump {
        instance: core.settings.member.instance.clone(),
        incarnation: core.settings.incarnation,
        disk: core.disk().clone(),
        leads: core.election.is_leader(),
        ballot: core.election.ballot.clone(),
        last_term: core.log.last_term(),
        last_index: core.log.last_index(),
        applied: core.log.applied,
        members: status.members,
        revision: catalogue.revision,
        lists_revision: catalogue.lists_revision,
        domains_out: catalogue.domains_out.iter().cloned().collect(),
        instances_out: catalogue.instances_out.iter().cloned().collect(),
        groups: catalogue.groups.iter().cloned().collect(),
        holders: holders.collect(),
        announcements: status.endpoints.into_iter().map(announcement_dump).collect(),
    }
}

fn announcement_dump(endpoint: EndpointStatus) -> AnnouncementDump {
    AnnouncementDump { announcement: endpoint.announcement, age_ms: endpoint.age_ms }
}
