//! The identity of an entry instance's run, as used by the leader's leases and ledgers.

use cumincart_protocol::{heartbeat::Heartbeat, name::InstanceName, number::Incarnation};

/// Identifies one run of an entry instance, which is one incarnation of its process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderKey {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

impl HolderKey {
    /// Returns the key of the run that sent a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self { instance: heartbeat.instance.clone(), incarnation: heartbeat.incarnation }
    }
}
