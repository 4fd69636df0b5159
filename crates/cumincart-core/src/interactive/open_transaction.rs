//! Decides whether an open transaction may go on. Its primary may have been replaced since it began.

use {
    crate::entry::freshness::Freshness,
    cumincart_protocol::{
        catalogue::Group,
        name::{EndpointName, ServiceName},
    },
};

/// An open transaction, as of its next statement.
#[derive(Debug, Clone, Copy)]
pub struct OpenTransaction<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The endpoint; `None` if it has not begun at one yet.
    pub endpoint: Option<&'a EndpointName>,
    /// Whether it has written, the next statement included.
    pub wrote: bool,
}

/// Why a transaction must be rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// It wrote, and its endpoint is no longer the primary, so that it can't be committed.
    PrimaryReplaced,
}

/// Returns why a transaction must be rolled back; `None` if it may go on.
pub fn obstacle(freshness: &Freshness, transaction: &OpenTransaction<'_>) -> Option<Obstacle> {
    let endpoint = transaction.endpoint?;
    let is_primary = |group: &Group| group.writable && group.primary.as_ref() == Some(endpoint);
    let has_moved =
        transaction.wrote && !freshness.catalogue.group(transaction.service).is_some_and(is_primary);
    has_moved.then_some(Obstacle::PrimaryReplaced)
}
