//! The leader's ledger of endpoints' connections.
//!
//! The ledger is the leader's own, not replicated: a new leader grants nothing before every lease that an earlier
//! leader gave has run out or its holder has reported what it holds.

use cumincart_protocol::{
    catalogue::Catalogue,
    heartbeat::{Heartbeat, PermitGrant},
    name::InstanceName,
    number::Incarnation,
    time::Instant,
};

/// What each entry instance holds or may still hold.
#[derive(Debug, Default)]
pub struct Ledger {}

/// Begins a leadership: what earlier leaders granted is unknown until their leases have run out.
pub fn on_elected(_ledger: &mut Ledger, _now: Instant) {}

/// Takes a heartbeat's reports in and gives the grants to answer with.
pub fn on_heartbeat(
    _ledger: &mut Ledger,
    _now: Instant,
    _catalogue: &Catalogue,
    _heartbeat: &Heartbeat,
) -> Vec<PermitGrant> {
    Vec::new()
}

/// Takes back all that an instance held, after its freshness lease has run out or it has left.
pub fn on_lease_end(
    _ledger: &mut Ledger,
    _now: Instant,
    _instance: &InstanceName,
    _incarnation: Incarnation,
) {
}
