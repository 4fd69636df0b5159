//! The JSON bodies of the HTTP API that control instances serve to operators.
//!
//! | Request | Body | Answer |
//! |---|---|---|
//! | `GET /v1/status` | | 200 with [`StatusBody`] |
//! | `GET /v1/lists` | | 200 with [`ListsBody`] |
//! | `POST /v1/changes` | [`crate::change::Change`] | 200 or 409 with [`crate::change::Outcome`] |
//! | `GET /v1/dump` | | 200 with JSON of the process's core |
//!
//! A conflict is answered with 409, every other refusal with an [`OperatorRefusal`]. All requests need the operator
//! token in `Authorization: Bearer`.

use {
    crate::{
        announcement::Role,
        lists::Lists,
        name::{DomainName, EndpointName, InstanceName, ServiceName},
        number::{ControlTerm, Incarnation, ListsRevision, LogPosition, Revision, Term, Timeline},
        peer::Leader,
        sorted::SortedVec,
        usage::UsageWindow,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The state of the system, confirmed by a quorum of control instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The leader of the control instances.
    pub leader: InstanceName,
    /// The leader's election term.
    pub term: ControlTerm,
    /// The catalogue's revision.
    pub revision: Revision,
    /// The revision of the two lists.
    pub lists_revision: ListsRevision,
    /// Failure domains that operators have taken out of service.
    pub domains_out: Vec<DomainName>,
    /// Instances that operators have taken out of service.
    pub instances_out: Vec<InstanceName>,
    /// The control instances.
    pub members: Vec<MemberBody>,
    /// The entry instances that hold a lease or have recently held one.
    pub instances: Vec<InstanceBody>,
    /// The remaining time of leases that an earlier leader may have granted to instances not listed in `instances`, in
    /// milliseconds.
    pub earlier_leases_left_ms: u64,
    /// The database groups.
    pub groups: Vec<GroupBody>,
    /// The last closed accounting windows, with the outcomes that the leader knows; empty if usage is not reported.
    #[serde(default, skip_serializing_if = "SortedVec::is_empty")]
    pub usage: SortedVec<UsageWindow>,
}

/// A control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Its name.
    pub instance: InstanceName,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// The state of an entry instance that the leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBody {
    /// Its name.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The last catalogue revision that it confirmed.
    pub revision: Revision,
    /// The remaining time of its lease, in milliseconds; 0 if the lease has expired.
    pub lease_left_ms: u64,
}

/// A database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupBody {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its term.
    pub term: Term,
    /// The primary of the term; none during a failover.
    pub primary: Option<EndpointName>,
    /// Whether the primary accepts writes.
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
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Its last announcement; none if this leader has not received any.
    pub announced: Option<AnnouncedBody>,
}

/// The last announcement of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedBody {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// Its position in the log.
    pub position: LogPosition,
    /// For a replica: the time since it was last known to have the primary's whole log, in milliseconds.
    pub lag_ms: u64,
    /// The age of the announcement, in milliseconds.
    pub age_ms: u64,
}

/// The lists in force, with the revision that an edit must name as its base.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListsBody {
    /// The revision of the two lists.
    pub lists_revision: ListsRevision,
    /// The lists.
    pub lists: Arc<Lists>,
}

/// The code of a control instance's refusal. Codes are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRefusalCode {
    /// The request is malformed. Answers 400.
    BadRequest,
    /// The operator token is missing or wrong. Answers 401.
    TokenRefused,
    /// This instance is not the leader and has done nothing. Answers 503.
    NotLeader,
    /// The instance lost its leadership before the change was confirmed; the change may be committed. Answers 503.
    Unknown,
    /// No quorum answered; nothing was changed. Answers 503.
    NoQuorum,
}

/// A control instance's refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRefusal {
    /// The code.
    pub code: OperatorRefusalCode,
    /// The leader, if `code` is `not_leader` and the leader is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<Leader>,
    /// One sentence for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Arc<str>>,
}
