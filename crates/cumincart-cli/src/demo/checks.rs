//! The scripted checks of the demo. Each check tests one promise of the system.

mod failover;
mod failure_domain;
mod keys;
mod rate;
mod sessions;

use {super::context::CheckContext, cumincart_fleet::FleetError, serde::Serialize};

/// The result of a check.
#[derive(Debug, Clone, Serialize)]
pub struct CheckOutcome {
    /// The promise that was checked.
    pub promise: &'static str,
    /// The measurements, with units and limits.
    pub figure: String,
    /// Whether the promise held.
    pub holds: bool,
}

/// A fault that makes one check fail. It shows that the check can detect a broken promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// The client drops its session token between a write and the following read.
    Sessions,
    /// The wrong-key check uses a valid key.
    WrongKey,
    /// The withdrawn key stays in the list.
    Keys,
    /// The plans in force allow ten times the rate that the check expects.
    Rate,
    /// All control instances are stopped before the primary fails.
    Failover,
    /// The failure domain is not taken out of service.
    FailureDomain,
}

impl InjectedFault {
    /// All faults with their names on the command line.
    pub const ALL: [(&'static str, Self); 6] = [
        ("sessions", Self::Sessions),
        ("wrong-key", Self::WrongKey),
        ("keys", Self::Keys),
        ("rate", Self::Rate),
        ("failover", Self::Failover),
        ("failure-domain", Self::FailureDomain),
    ];

    /// Returns the fault with the given command-line name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, fault)| *fault)
    }
}

/// Runs all checks sequentially on the same fleet.
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
