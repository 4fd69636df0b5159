//! A snapshot of a control instance's state for diagnostics. Key digests and the lists are not included.

use {
    super::{
        Core, EndpointStatus,
        delivery::{self, DeliveriesDump},
        status,
    },
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::Group,
        name::{DomainName, InstanceName},
        number::{ControlTerm, Incarnation, ListsRevision, LogIndex, Revision},
        replication::{Ballot, DiskId, Members},
        sorted::SortedVec,
        time::Instant,
        usage::UsageWindow,
    },
    serde::Serialize,
};

/// The state of a control instance.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The identity of its disk.
    pub disk: DiskId,
    /// Whether it is the leader.
    pub leads: bool,
    /// The highest election term that it has seen, and its vote in that term.
    pub ballot: Ballot,
    /// The election term of its last record.
    pub last_term: ControlTerm,
    /// The index of its last record.
    pub last_index: LogIndex,
    /// The index of the last applied record.
    pub applied: LogIndex,
    /// The members of the control group according to its log.
    pub members: Members,
    /// The revision of the catalogue.
    pub revision: Revision,
    /// The revision of the lists.
    pub lists_revision: ListsRevision,
    /// The failure domains that are out of service.
    pub domains_out: Vec<DomainName>,
    /// The instances that are out of service.
    pub instances_out: Vec<InstanceName>,
    /// The database groups.
    pub groups: Vec<Group>,
    /// The entry instances that hold leases; known only to the leader.
    pub holders: Vec<HolderDump>,
    /// The last announcement of each endpoint; known only to the leader.
    pub announcements: Vec<AnnouncementDump>,
    /// The pacing of large updates; known only to the leader.
    pub deliveries: DeliveriesDump,
    /// The last closed accounting windows, with the outcomes that are known here.
    pub usage: SortedVec<UsageWindow>,
}

/// An entry instance that holds a lease.
#[derive(Debug, Serialize)]
pub struct HolderDump {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The revision that it has confirmed.
    pub revision: Revision,
    /// The remaining time of its lease, in milliseconds.
    pub lease_left_ms: u64,
}

/// The last announcement of an endpoint.
#[derive(Debug, Serialize)]
pub struct AnnouncementDump {
    /// The announcement.
    pub announcement: Announcement,
    /// The time since it was received, in milliseconds.
    pub age_ms: u64,
}

/// Returns the current state of a control instance.
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
        deliveries: delivery::dump(core),
        usage: status.usage,
    }
}

fn announcement_dump(endpoint: EndpointStatus) -> AnnouncementDump {
    AnnouncementDump { announcement: endpoint.announcement, age_ms: endpoint.age_ms }
}
