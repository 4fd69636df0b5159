//! The catalogue as this instance holds it, and how long it may take it as current.

use {
    cumincart_protocol::{
        catalogue::Catalogue, heartbeat::InstanceEntry, number::Revision, sorted::SortedVec, time::Instant,
    },
    std::sync::Arc,
};

/// The catalogue and the leases on it.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The catalogue; its revision only grows.
    pub catalogue: Arc<Catalogue>,
    /// The end of the lease on terms and service state.
    pub term_lease_until: Instant,
    /// The end of the lease on keys, plans, shares and permits.
    pub fresh_until: Instant,
    /// The entry instances that hold leases.
    pub instances: SortedVec<InstanceEntry>,
}

impl Freshness {
    /// Whether terms and service state may be taken as current.
    pub fn holds_term_lease(&self, now: Instant) -> bool {
        now < self.term_lease_until
    }

    /// Whether keys, plans, shares and permits may be taken as current.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now < self.fresh_until
    }

    /// The revision in force here.
    pub fn revision(&self) -> Revision {
        self.catalogue.revision
    }
}
