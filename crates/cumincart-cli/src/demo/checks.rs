//! The scripted checks of the demo, one file for each promise.

mod failover;
mod failure_domain;
mod keys;
mod rate;
mod sessions;

use {super::context::CheckContext, cumincart_fleet::FleetError, serde::Serialize};

/// What a check found.
#[derive(Debug, Clone, Serialize)]
pub struct CheckOutcome {
    /// The promise.
    pub promise: &'static str,
    /// What was measured, with its unit and its limit.
    pub figure: String,
    /// Whether the promise held.
    pub holds: bool,
}

/// A promise that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// The client's session token is dropped between a write and its read.
    Sessions,
    /// The key that should be wrong is a right one.
    WrongKey,
    /// The key that was withdrawn stays in the list.
    Keys,
    /// The plan in force allows ten times the rate that was promised.
    Rate,
    /// Every control instance is down when the primary fails.
    Failover,
    /// The failure domain that should be out stays in service.
    FailureDomain,
}

impl InjectedFault {
    /// All breakages with their names on the command line.
    pub const ALL: [(&'static str, Self); 6] = [
        ("sessions", Self::Sessions),
        ("wrong-key", Self::WrongKey),
        ("keys", Self::Keys),
        ("rate", Self::Rate),
        ("failover", Self::Failover),
        ("failure-domain", Self::FailureDomain),
    ];

    /// The fault of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, fault)| *fault)
    }
}

/// Runs all checks, one after another, on the same fleet.
pub(super) async fn run_all(context: &mut CheckContext) -> Result<Vec<CheckOutcome>, FleetError> {
    Ok(vec![
        sessions::check(context).await,
        keys::check_wrong(context).await,
        keys::check_withdrawn(context).await?,
        rate::check(context).await?,
        failure_domain::check(context).await?,
        failover::check(context).await?,
    ])
}
