//! Names one run of an entry instance in the leader's ledgers.

use cumincart_protocol::{heartbeat::Heartbeat, name::InstanceName, number::Incarnation};

/// One run of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderKey {
    /// Its name.
    pub instance: InstanceName,
    /// The run.
    pub incarnation: Incarnation,
}

impl HolderKey {
    /// The run that sent a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self { instance: heartbeat.instance.clone(), incarnation: heartbeat.incarnation }
    }
}
