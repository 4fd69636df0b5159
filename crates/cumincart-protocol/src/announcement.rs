//! Announcements with which endpoints report their address, role and log state.

use {
    crate::{
        name::{DomainName, EndpointName, ServiceName},
        number::{LogPosition, Timeline},
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The role of an endpoint in its group, as the endpoint reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replays the log of a primary.
    Replica,
}

/// A heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service whose group it belongs to.
    pub service: ServiceName,
    /// The address of its PostgreSQL port, as `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// The last log position that it has written or replayed.
    pub position: LogPosition,
    /// For a replica: the time since it was last known to have the primary's whole log, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connection_limit: u32,
    /// Whether it is about to leave and should get no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// The longest text in an announcement, in bytes. All of them are part of the replicated state.
pub const ANNOUNCED_TEXT_MAX_BYTES: usize = 1_024;

/// Why an announcement is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the {field} has {bytes} bytes, but 1 to {ANNOUNCED_TEXT_MAX_BYTES} are allowed")]
pub struct AnnouncementError {
    /// The field.
    pub field: &'static str,
    /// The length of its text.
    pub bytes: usize,
}

impl Announcement {
    /// Checks the lengths of the texts. Anyone who reaches a control instance can announce an endpoint.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let texts = [
            ("endpoint", self.endpoint.as_str()),
            ("service", self.service.as_str()),
            ("domain", self.domain.as_str()),
            ("address", &*self.address),
        ];
        match texts.into_iter().find(|(_, text)| !(1..=ANNOUNCED_TEXT_MAX_BYTES).contains(&text.len())) {
            Some((field, text)) => Err(AnnouncementError { field, bytes: text.len() }),
            None => Ok(()),
        }
    }
}

/// A heartbeat that does not include the state of the endpoint's log. The control leader obtains the state by probing
/// the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service whose group it belongs to.
    pub service: ServiceName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to leave and should get no new requests.
    pub leaving: bool,
    /// Whether it has ended, so that it can be removed from its group.
    pub ended: bool,
    /// The start time of its process, in milliseconds since the Unix epoch. A later start takes precedence over an
    /// earlier one.
    pub born_ms: u64,
    /// Increases with every message of one process, so that delayed messages can be recognised.
    pub sequence: u64,
}

/// What an endpoint reports of itself to a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PresenceReport {
    /// It is present.
    Present(Presence),
    /// It has ended.
    Left(EndpointName),
}

/// What became of a [`PresenceReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportOutcome {
    /// It is in force: the catalogue shows it, as far as the lists name its service.
    InForce,
    /// It changes nothing, since a later run of the endpoint, or another endpoint, is at the address.
    Superseded,
    /// The instance does not lead, or could not put it in force in time.
    NotLeader,
}

/// The state of an endpoint's log, as the endpoint reports it when queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogState {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// The last log position that it has received.
    pub position: LogPosition,
    /// For a replica: how far it is behind the primary, in milliseconds.
    pub lag_ms: u64,
}
