//! What endpoints tell the system about themselves.

use {
    crate::{
        name::{DomainName, EndpointName, ServiceName},
        number::{LogPosition, Timeline},
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The part that an endpoint plays in its group, as it sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Applies the log of a primary.
    Replica,
}

/// One heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service whose group it belongs to.
    pub service: ServiceName,
    /// The address of its PostgreSQL port, as `ip:port`.
    pub address: Arc<str>,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// The last position that it has written or applied.
    pub position: LogPosition,
    /// For a replica: the time since it was last known to have all of the primary's log.
    #[serde(default)]
    pub lag_ms: u64,
    /// How many statements it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connection_limit: u32,
    /// Whether it is about to leave and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What an endpoint says of itself where it does not tell its log's state; the control leader asks it for that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service whose group it belongs to.
    pub service: ServiceName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// How many statements it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and wants no new work.
    pub leaving: bool,
    /// Whether it has ended.
    pub ended: bool,
    /// When its run began, in milliseconds since the Unix epoch; a later run goes before an earlier one.
    pub born_ms: u64,
    /// Grows with every message of one run, so that a delayed one can be told.
    pub sequence: u64,
}

/// The state of an endpoint's log, as the endpoint answers when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogState {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// The last position that it has received.
    pub position: LogPosition,
    /// For a replica: how far it is behind, in milliseconds.
    pub lag_ms: u64,
}
