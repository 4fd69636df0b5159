//! What organisations ran at endpoints: the counts that entry instances send with heartbeats, and the counts of whole
//! accounting windows that the control log holds.

use {
    crate::{name::OrganisationName, number::ControlTerm, sorted::Keyed},
    serde::{Deserialize, Serialize},
};

/// The length of the intervals in which entry instances count, in milliseconds: a small part of an accounting window, so
/// that few requests are near a window's bounds.
pub const INTERVAL_MS: u64 = 50;

/// What an entry instance has counted, as sent with its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The sender's time of day when it sent the heartbeat, in milliseconds since the start of 1970.
    #[serde(rename = "w")]
    pub unix_ms: u64,
    /// The counts that may have changed since the last heartbeat that the leader has answered; all of them in a full
    /// report.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<IntervalCounts>,
}

/// The requests of one organisation that began to run, by interval of the sender's steady clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalCounts {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The number of each interval since the start of the sender's clock, and the total of its requests.
    #[serde(rename = "i")]
    pub intervals: Vec<(u64, u32)>,
}

/// The number of an accounting window: windows are of equal length and begin at the start of 1970.
pub type WindowNumber = u64;

/// The requests of one organisation in one accounting window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationCount {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The number of its requests that began to run.
    pub requests: u64,
}

impl Keyed for OrganisationCount {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.organisation
    }
}

/// How the report of an accounting window ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WindowOutcome {
    /// The platform has accepted it.
    Reported,
    /// It was not accepted before it was due.
    Missed,
}

/// A closed accounting window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindow {
    /// Its number.
    pub window: WindowNumber,
    /// The election term of the leader that closed it.
    pub fence: ControlTerm,
    /// The requests of each organisation, in order of their names.
    pub counts: Vec<OrganisationCount>,
    /// How its report ended; none while it may still be sent.
    pub outcome: Option<WindowOutcome>,
}

impl Keyed for UsageWindow {
    type Key = WindowNumber;

    fn key(&self) -> &WindowNumber {
        &self.window
    }
}

/// The log record that fixes the counts of an accounting window before they are reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixedUsage {
    /// The window.
    pub window: UsageWindow,
    /// How the reports of earlier windows ended, as far as no record says so yet.
    pub outcomes: Vec<(WindowNumber, WindowOutcome)>,
}
