//! The JSON bodies of the operators' HTTP API of control instances.
//!
//! | Request | Body | Answer |
//! |---|---|---|
//! | `GET /v1/status` | | 200 with [`StatusBody`] |
//! | `GET /v1/lists` | | 200 with [`ListsBody`] |
//! | `POST /v1/changes` | [`crate::change::Change`] | 200 or 409 with [`crate::change::Outcome`] |
//! | `GET /v1/dump` | | 200 with JSON of the process's core |
//!
//! A conflict answers 409; each other refusal answers with an [`OperatorRefusal`]. All need the operator token in
//! `Authorization: Bearer`.

use {
    crate::{
        announcement::Role,
        lists::Lists,
        name::{DomainName, EndpointName, InstanceName, ServiceName},
        number::{ControlTerm, Incarnation, ListsRevision, LogPosition, Revision, Term, Timeline},
        peer::Leader,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The state of the system as a quorum of control instances confirmed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The leader of the control instances.
    pub leader: InstanceName,
    /// The leader's election term.
    pub term: ControlTerm,
    /// The catalogue's revision.
    pub revision: Revision,
    /// The revision of the two lists alone.
    pub lists_revision: ListsRevision,
    /// Failure domains that operators have taken out.
    pub domains_out: Vec<DomainName>,
    /// Instances that operators have taken out.
    pub instances_out: Vec<InstanceName>,
    /// The control instances.
    pub members: Vec<MemberBody>,
    /// The entry instances that hold a lease or held one lately.
    pub instances: Vec<InstanceBody>,
    /// How long leases that an earlier leader gave to instances not listed here may still run.
    pub earlier_leases_left_ms: u64,
    /// The database groups.
    pub groups: Vec<GroupBody>,
}

/// A control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Its name.
    pub instance: InstanceName,
    /// Whether its vote counts; a learner's does not yet.
    pub voter: bool,
}

/// An entry instance as the leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBody {
    /// Its name.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The catalogue revision that it confirmed.
    pub revision: Revision,
    /// How long its lease still runs; 0 when it has run out.
    pub lease_left_ms: u64,
}

/// A database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupBody {
    /// The service that it holds.
    pub service: ServiceName,
    /// Its term.
    pub term: Term,
    /// The primary of the term; none while a failover is under way.
    pub primary: Option<EndpointName>,
    /// Whether the primary takes writes.
    pub writable: bool,
    /// Its endpoints.
    pub endpoints: Vec<EndpointBody>,
}

/// An endpoint of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointBody {
    /// Its name.
    pub endpoint: EndpointName,
    /// The address of its PostgreSQL port, as `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// What it last announced; none when it has not announced itself to this leader.
    pub announced: Option<AnnouncedBody>,
}

/// What an endpoint last announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedBody {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// Its position in the log.
    pub position: LogPosition,
    /// For a replica: the time since it was last known to have all of the primary's log.
    pub lag_ms: u64,
    /// How long ago the announcement came.
    pub age_ms: u64,
}

/// Both lists with their revision, to base an edit on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListsBody {
    /// The revision of the two lists.
    pub lists_revision: ListsRevision,
    /// The lists.
    pub lists: Arc<Lists>,
}

/// The stable code of a control instance's refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRefusalCode {
    /// The request is malformed. Answers 400.
    BadRequest,
    /// The operator token is missing or wrong. Answers 401.
    TokenRefused,
    /// This instance does not lead; nothing was done here. Answers 503.
    NotLeader,
    /// Leadership was lost while the change was under way: it may be committed. Answers 503.
    Unknown,
    /// No quorum answers; nothing was changed. Answers 503.
    NoQuorum,
}

/// A control instance's refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRefusal {
    /// The code.
    pub code: OperatorRefusalCode,
    /// The leader, where `code` is `not_leader` and it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<Leader>,
    /// One sentence for a person.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Arc<str>>,
}
