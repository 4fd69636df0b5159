//! Upkeep of the pool: the warm reserve, connections that must go, and probes of replicas' positions.
//!
//! Opening a connection takes a multiple of a statement's time, so connections are opened before requests need them.

use {
    super::{
        Board, Effect, permits,
        pool::{Connection, ConnectionState, Endpoint},
        routing,
    },
    crate::work::{ConnectionId, Work},
    cumincart_protocol::{catalogue::Catalogue, name::EndpointName, time::Instant},
    std::time::Duration,
};

/// Connections to each endpoint that are kept open, as far as the permits go.
pub const WARM_RESERVE: u32 = 2;

/// Time between two rounds of upkeep, in milliseconds.
pub const MAINTENANCE_INTERVAL_MS: u64 = 100;

/// How old a replica's last known state may get before it is asked for, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 250;

/// How long after its request has ended a work may stay without an answer before its connection is closed, in
/// milliseconds, counted from when it was sent.
pub const STUCK_WORK_MS: u64 = 10_000;

/// Does a round of upkeep when one is due.
pub fn run_when_due(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    if now < board.next_maintenance_at {
        return;
    }
    run(board, now, out);
}

/// Does a round of upkeep now.
pub fn run(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    board.next_maintenance_at = now + Duration::from_millis(MAINTENANCE_INTERVAL_MS);
    let catalogue = board.freshness.catalogue.clone();
    let names: Vec<EndpointName> =
        board.pool.endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
    for name in &names {
        let allowed =
            if is_usable(&catalogue, name) { permits::allowed(&board.permits, now, name) } else { 0 };
        close_surplus(board, name, allowed, out);
        open_reserve(board, now, name, allowed, out);
        probe(board, now, name, out);
    }
    close_stuck(board, now, out);
}

/// Whether an endpoint is in the catalogue and may get new work.
fn is_usable(catalogue: &Catalogue, name: &EndpointName) -> bool {
    let entry = catalogue.groups.iter().find_map(|group| group.endpoints.get(name));
    entry.is_some_and(|entry| routing::takes_new_work(catalogue, entry))
}

fn close_surplus(board: &mut Board, name: &EndpointName, allowed: u32, out: &mut Vec<Effect>) {
    let Some(endpoint) = board.pool.endpoint(name) else {
        return;
    };
    let surplus = (endpoint.connections - endpoint.closing).saturating_sub(allowed) as usize;
    let oldest: Vec<ConnectionId> = endpoint.idle.iter().take(surplus).copied().collect();
    for connection in oldest {
        board.pool.close(connection, out);
    }
}

fn open_reserve(board: &mut Board, now: Instant, name: &EndpointName, allowed: u32, out: &mut Vec<Effect>) {
    let wanted = allowed.min(WARM_RESERVE);
    let connections = board.pool.endpoint(name).map_or(0, |endpoint| endpoint.connections);
    for _ in connections..wanted {
        if !board.pool.open(now, &board.permits, name, out) {
            return;
        }
    }
}

fn probe(board: &mut Board, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    let Some(endpoint) = board.pool.endpoint(name) else {
        return;
    };
    if !is_probe_due(endpoint, now) {
        return;
    }
    let Some(connection) = endpoint.idle.first().copied() else {
        return;
    };
    board.pool.execute(now, connection, None, Work::Probe, out);
}

fn is_probe_due(endpoint: &Endpoint, now: Instant) -> bool {
    let interval = Duration::from_millis(PROBE_INTERVAL_MS);
    endpoint.in_flight == 0
        && endpoint.observed.is_none_or(|observed| now.saturating_since(observed.at) >= interval)
}

fn close_stuck(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    let stuck: Vec<ConnectionId> =
        board.pool.connections.iter().filter(|connection| is_stuck(connection, now)).map(|c| c.id).collect();
    for connection in stuck {
        board.pool.close(connection, out);
    }
}

fn is_stuck(connection: &Connection, now: Instant) -> bool {
    let ConnectionState::Busy { since, .. } = connection.state else {
        return false;
    };
    now.saturating_since(since) >= Duration::from_millis(STUCK_WORK_MS)
}
