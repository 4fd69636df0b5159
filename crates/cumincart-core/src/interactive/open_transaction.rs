//! Decides whether an open transaction may go on. What was checked when it began may have changed since: its key may be
//! withdrawn, its endpoint taken out of service, or its primary replaced.

use {
    crate::entry::freshness::Freshness,
    cumincart_protocol::{
        catalogue::{Catalogue, Group},
        name::{EndpointName, OrganisationName, ServiceName},
        time::Instant,
    },
};

/// An open transaction, as of its next statement.
#[derive(Debug, Clone, Copy)]
pub struct OpenTransaction<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The organisation that began it; `None` if the database is open to everyone.
    pub organisation: Option<&'a OrganisationName>,
    /// The digest of the session's key.
    pub key_digest: Option<&'a [u8; 32]>,
    /// The endpoint; `None` if it has not begun at one yet.
    pub endpoint: Option<&'a EndpointName>,
    /// Whether it has written, the next statement included.
    pub wrote: bool,
}

/// Why a transaction must be rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// The freshness lease has expired, so that the key may have been withdrawn.
    LeaseExpired,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The endpoint's failure domain is out of service.
    OutOfService,
    /// It wrote, and its endpoint is no longer the primary, so that it can't be committed.
    PrimaryReplaced,
}

/// Returns why a transaction must be rolled back; `None` if it may go on.
pub fn obstacle(freshness: &Freshness, now: Instant, transaction: &OpenTransaction<'_>) -> Option<Obstacle> {
    if let Some(organisation) = transaction.organisation {
        if !freshness.is_fresh(now) {
            return Some(Obstacle::LeaseExpired);
        }
        let known = transaction.key_digest.and_then(|digest| freshness.index.organisation_by_key(digest));
        if known.is_none_or(|known| known.name != *organisation) {
            return Some(Obstacle::KeyWithdrawn);
        }
    }
    let endpoint = transaction.endpoint?;
    let catalogue = &freshness.catalogue;
    if is_out_of_service(catalogue, transaction.service, endpoint) {
        return Some(Obstacle::OutOfService);
    }
    let is_primary = |group: &Group| group.writable && group.primary.as_ref() == Some(endpoint);
    let has_moved = transaction.wrote && !catalogue.group(transaction.service).is_some_and(is_primary);
    has_moved.then_some(Obstacle::PrimaryReplaced)
}

/// Returns whether an endpoint's failure domain is out of service, so that nothing may be sent to it any more. A leaving
/// endpoint still ends its open transactions.
pub fn is_out_of_service(catalogue: &Catalogue, service: &ServiceName, endpoint: &EndpointName) -> bool {
    let entry = catalogue.group(service).and_then(|group| group.endpoints.get(endpoint));
    entry.is_some_and(|entry| catalogue.is_domain_out(&entry.domain))
}
