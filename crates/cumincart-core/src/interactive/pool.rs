//! Selection of the idle connection that a session reuses, or that is closed to make room for another organisation.

use {
    super::session::{ConnectionState, SessionState},
    cumincart_protocol::{name::OrganisationName, time::Instant},
};

/// The properties of an idle connection that the choice depends on.
#[derive(Debug)]
pub struct IdleInfo {
    /// The organisation that the connection was opened for.
    pub organisation: OrganisationName,
    /// The session values and prepared statements that the connection holds.
    pub state: ConnectionState,
    /// When the connection became idle.
    pub idle_since: Instant,
}

/// How a slot at an endpoint gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Reuse the idle connection at this index.
    Reuse(usize),
    /// Open a new connection.
    Open,
    /// Close the idle connection at this index, then open a new one.
    Replace(usize),
}

/// Chooses a connection for a session of an organisation. `open` of at most `limit` connections exist, idle ones
/// included.
pub fn choose<'a>(
    idle: impl Iterator<Item = &'a IdleInfo> + Clone,
    organisation: &OrganisationName,
    session: &SessionState,
    open: u32,
    limit: u32,
) -> ConnectionChoice {
    let same_organisation = idle.clone().enumerate().filter(|(_, idle)| idle.organisation == *organisation);
    // Among connections of equal cost, the most recently used is chosen, so that the others reach the idle timeout.
    let best = same_organisation
        .min_by_key(|(_, idle)| (idle.state.apply_cost(session), std::cmp::Reverse(idle.idle_since)));
    if let Some((position, _)) = best {
        return ConnectionChoice::Reuse(position);
    }
    if open < limit {
        return ConnectionChoice::Open;
    }
    let oldest = idle.enumerate().min_by_key(|(_, idle)| idle.idle_since);
    oldest.map_or(ConnectionChoice::Open, |(position, _)| ConnectionChoice::Replace(position))
}
