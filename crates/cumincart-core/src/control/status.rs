//! The state of the system as operators see it.

use {
    super::{Core, announcements::Heard, leases::Holder},
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::Catalogue,
        change::VersionedDocument,
        name::InstanceName,
        number::{ControlTerm, Incarnation, Revision},
        replication::Members,
        time::Instant,
    },
    std::sync::Arc,
};

/// The state of the system as a quorum confirmed it.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The leader.
    pub leader: InstanceName,
    /// Its term.
    pub term: ControlTerm,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The document of the configuration in force.
    pub document: Option<VersionedDocument>,
    /// The control group.
    pub members: Members,
    /// The entry instances that hold a lease or held one lately.
    pub instances: Vec<InstanceStatus>,
    /// How long leases that an earlier leader gave to instances not listed here may still run.
    pub earlier_leases_left_ms: u64,
    /// The last announcement of each endpoint.
    pub endpoints: Vec<EndpointStatus>,
}

/// An entry instance as the leader knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The revision that it confirmed.
    pub revision: Revision,
    /// How long its lease still runs; 0 when it has run out.
    pub lease_left_ms: u64,
}

/// An endpoint as the leader knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Its last announcement.
    pub announcement: Announcement,
    /// How long ago it came.
    pub age_ms: u64,
}

/// The leader's state, to be given only after a quorum has confirmed the leadership.
pub fn current(core: &Core, now: Instant) -> Status {
    Status {
        leader: core.settings.member.instance.clone(),
        term: core.election.ballot.term,
        catalogue: Arc::clone(&core.catalogue),
        document: core.document.clone(),
        members: core.log.members().clone(),
        instances: core.leases.holders().iter().map(|holder| instance_status(holder, now)).collect(),
        earlier_leases_left_ms: whole_ms(core.leases.earlier_until().saturating_since(now)),
        endpoints: core.announcements.all().iter().map(|heard| endpoint_status(heard, now)).collect(),
    }
}

fn instance_status(holder: &Holder, now: Instant) -> InstanceStatus {
    InstanceStatus {
        instance: holder.key.instance.clone(),
        incarnation: holder.key.incarnation,
        revision: holder.revision,
        lease_left_ms: whole_ms(holder.fresh_until.saturating_since(now)),
    }
}

fn endpoint_status(heard: &Heard, now: Instant) -> EndpointStatus {
    let age_ms = whole_ms(now.saturating_since(heard.at));
    EndpointStatus { announcement: heard.announcement.clone(), age_ms }
}

fn whole_ms(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
