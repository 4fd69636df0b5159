//! The state of the system as shown to operators.

use {
    super::{Core, announcements::ReceivedAnnouncement, leases::Holder},
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::Catalogue,
        change::VersionedDocument,
        name::InstanceName,
        number::{ControlTerm, Incarnation, Revision},
        replication::Members,
        sorted::SortedVec,
        time::Instant,
        usage::UsageWindow,
    },
    std::sync::Arc,
};

/// The state of the system as confirmed by a quorum.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The leader.
    pub leader: InstanceName,
    /// The leader's election term.
    pub term: ControlTerm,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The document of the current configuration.
    pub document: Option<VersionedDocument>,
    /// The members of the control group.
    pub members: Members,
    /// The entry instances that hold a lease or held one recently.
    pub instances: Vec<InstanceStatus>,
    /// The maximum remaining time of leases that an earlier leader may have granted to instances not listed
    /// here, in milliseconds.
    pub earlier_leases_left_ms: u64,
    /// The last announcement of each endpoint.
    pub endpoints: Vec<EndpointStatus>,
    /// The last closed accounting windows, with the outcomes that the leader knows.
    pub usage: SortedVec<UsageWindow>,
}

/// An entry instance as known to the leader.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The revision that it has confirmed.
    pub revision: Revision,
    /// The remaining time of its lease, in milliseconds; 0 if the lease has expired.
    pub lease_left_ms: u64,
}

/// An endpoint as known to the leader.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Its last announcement.
    pub announcement: Announcement,
    /// The time since the announcement was received, in milliseconds.
    pub age_ms: u64,
}

/// Returns the leader's state. It may be sent to an operator only after a quorum has confirmed the
/// leadership.
pub fn current(core: &Core, now: Instant) -> Status {
    Status {
        leader: core.settings.member.instance.clone(),
        term: core.election.ballot.term,
        catalogue: Arc::clone(&core.catalogue),
        document: core.document.clone(),
        members: core.log.members().clone(),
        instances: core.leases.holders().iter().map(|holder| instance_status(holder, now)).collect(),
        earlier_leases_left_ms: whole_ms(core.leases.earlier_leases_until().saturating_since(now)),
        endpoints: core.announcements.all().iter().map(|received| endpoint_status(received, now)).collect(),
        usage: core.usage.current_windows(),
    }
}

fn instance_status(holder: &Holder, now: Instant) -> InstanceStatus {
    InstanceStatus {
        instance: holder.key.instance.clone(),
        incarnation: holder.key.incarnation,
        revision: holder.revision,
        lease_left_ms: whole_ms(holder.freshness_lease_until.saturating_since(now)),
    }
}

fn endpoint_status(received: &ReceivedAnnouncement, now: Instant) -> EndpointStatus {
    let age_ms = whole_ms(now.saturating_since(received.received_at));
    EndpointStatus { announcement: received.announcement.clone(), age_ms }
}

fn whole_ms(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
