//! Which idle connection a session borrows, and which one makes room for another organisation's.

use {
    super::session::{ConnectionState, SessionState},
    cumincart_protocol::{name::OrganisationName, time::Instant},
};

/// What the choice depends on.
#[derive(Debug)]
pub struct IdleInfo {
    /// The organisation that the connection was opened for.
    pub organisation: OrganisationName,
    /// What the connection holds of sessions.
    pub state: ConnectionState,
    /// Since when it is idle.
    pub idle_since: Instant,
}

/// How a place at an endpoint is turned into a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Take the idle connection at this position.
    Reuse(usize),
    /// Open a new one.
    Open,
    /// Close the idle connection at this position, then open a new one.
    Replace(usize),
}

/// Chooses for a session of an organisation. `open` connections of at most `limit` exist, idle ones included.
pub fn choose<'a>(
    idle: impl Iterator<Item = &'a IdleInfo> + Clone,
    organisation: &OrganisationName,
    session: &SessionState,
    open: u32,
    limit: u32,
) -> ConnectionChoice {
    let same_organisation = idle.clone().enumerate().filter(|(_, idle)| idle.organisation == *organisation);
    // Of equals the one used last: the others grow old and make room.
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
