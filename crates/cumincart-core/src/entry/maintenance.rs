//! Periodic maintenance of the pool: opens connections up to the minimum pool size, closes surplus and stuck
//! ones, probes endpoints and moves reads away from stalled ones.
//!
//! Opening a connection takes several times as long as a statement, so connections are opened before requests
//! need them.

use {
    super::{
        Core, Effect, Ticket, dispatch,
        drain::DrainState,
        permits,
        pool::{Connection, ConnectionState, Endpoint, Owner},
        request::{self, Kind, Pending, Stage},
        retry, routing, transaction,
    },
    crate::endpoint_command::{ConnectionId, EndpointCommand},
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry},
        lists::Access,
        name::EndpointName,
        time::Instant,
    },
    std::time::Duration,
};

/// The number of connections to each endpoint that are opened ahead of demand, as far as the permits allow.
pub const MIN_POOL_SIZE: u32 = 2;

/// Interval of maintenance runs, in milliseconds.
pub const MAINTENANCE_INTERVAL_MS: u64 = 50;

/// Maximum age of the last reported state of an endpoint in use before it is probed, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 250;

/// Maximum age of the last reported state of an endpoint not in use before it is probed, in milliseconds.
pub const IDLE_PROBE_INTERVAL_MS: u64 = 2_000;

/// How long an endpoint counts as in use after the last request was sent to it, in milliseconds.
pub const IN_USE_MS: u64 = 5_000;

/// How long a command may run before its connection is closed, in milliseconds. Until then the connection is
/// kept even if its request has ended, since the endpoint may still hold its side open.
pub const COMMAND_TIMEOUT_MS: u64 = 10_000;

/// Like [`COMMAND_TIMEOUT_MS`], while the lease on permits has expired. The control leader grants the permits
/// to another instance a little later.
pub const UNLEASED_COMMAND_TIMEOUT_MS: u64 = 1_000;

/// Runs maintenance if it is due.
pub fn run_when_due(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if now >= core.next_maintenance_at {
        run(core, now, out);
    }
}

/// Runs maintenance now.
pub fn run(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    core.next_maintenance_at = now + Duration::from_millis(MAINTENANCE_INTERVAL_MS);
    let catalogue = core.freshness.catalogue.clone();
    let names: Vec<EndpointName> = core.pool.endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
    for name in &names {
        let allowed = allowed(core, now, &catalogue, name);
        close_surplus(core, name, allowed, out);
        open_up_to_minimum(core, now, name, allowed, out);
        probe(core, now, name, out);
        reroute_stalled_reads(core, now, name, out);
    }
    close_stuck(core, now, out);
    transaction::end_invalid(core, now, out);
}

/// Returns how many connections to an endpoint may be open; 0 if it may get no new requests.
fn allowed(core: &Core, now: Instant, catalogue: &Catalogue, name: &EndpointName) -> u32 {
    if matches!(core.drain, DrainState::Closing | DrainState::Stopped) {
        return 0;
    }
    match entry(core, catalogue, name) {
        Some(entry) if routing::accepts_new_requests(catalogue, entry) => {
            permits::allowed(&core.permits, now, name)
        }
        _ => 0,
    }
}

fn entry<'a>(core: &Core, catalogue: &'a Catalogue, name: &EndpointName) -> Option<&'a EndpointEntry> {
    let endpoint = core.pool.endpoint(name)?;
    catalogue.group(&endpoint.service)?.endpoints.get(name)
}

fn close_surplus(core: &mut Core, name: &EndpointName, allowed: u32, out: &mut Vec<Effect>) {
    let Some(endpoint) = core.pool.endpoint(name) else {
        return;
    };
    let surplus = (endpoint.connections - endpoint.closing).saturating_sub(allowed) as usize;
    let oldest: Vec<ConnectionId> = endpoint.idle.iter().take(surplus).copied().collect();
    for connection in oldest {
        core.pool.close(connection, out);
    }
}

fn open_up_to_minimum(
    core: &mut Core,
    now: Instant,
    name: &EndpointName,
    allowed: u32,
    out: &mut Vec<Effect>,
) {
    let wanted = allowed.min(MIN_POOL_SIZE);
    let connections = core.pool.endpoint(name).map_or(0, |endpoint| endpoint.connections);
    for _ in connections..wanted {
        if !core.pool.open(now, &core.permits, name, out) {
            return;
        }
    }
}

/// Probes an endpoint if its last reported state is old and no command is in flight there.
pub fn probe(core: &mut Core, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    let Some(endpoint) = core.pool.endpoint(name) else {
        return;
    };
    if !is_probe_due(endpoint, now) {
        return;
    }
    let Some(connection) = endpoint.idle.first().copied() else {
        return;
    };
    core.pool.execute(now, connection, Owner::Pool, EndpointCommand::Probe, out);
}

fn is_probe_due(endpoint: &Endpoint, now: Instant) -> bool {
    let in_use = now.saturating_since(endpoint.used_at) < Duration::from_millis(IN_USE_MS);
    let interval = Duration::from_millis(if in_use { PROBE_INTERVAL_MS } else { IDLE_PROBE_INTERVAL_MS });
    endpoint.in_flight == 0
        && endpoint.observed.is_none_or(|observed| now.saturating_since(observed.at) >= interval)
}

/// Routes the reads that are queued for or run on a stalled endpoint to another one. Late results are
/// dropped.
fn reroute_stalled_reads(core: &mut Core, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    if !core.pool.endpoint(name).is_some_and(|endpoint| endpoint.is_stalled(now)) {
        return;
    }
    for ticket in request::tickets_where(core, |pending| is_read_at(pending, name)) {
        if !core.retry_budget.try_withdraw() {
            return;
        }
        core.counters.retries += 1;
        reroute_away(core, now, ticket, name, out);
    }
}

fn is_read_at(pending: &Pending, name: &EndpointName) -> bool {
    let is_read = pending.kind == Kind::Run
        && pending.admitted.route.access == Access::Read
        && pending.admitted.route.max_staleness_ms > 0;
    let is_here = match &pending.stage {
        Stage::Queued(at) => at == name,
        Stage::Running(run) => run.endpoint == *name,
        _ => false,
    };
    is_read && is_here && pending.attempts < retry::MAX_ATTEMPTS && !pending.tried.contains(name)
}

fn reroute_away(core: &mut Core, now: Instant, ticket: Ticket, name: &EndpointName, out: &mut Vec<Effect>) {
    if let Some(endpoint) = core.pool.endpoints.get_mut(name) {
        endpoint.queue.remove(ticket);
    }
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.tried.push(name.clone());
    }
    dispatch::route(core, now, ticket, out);
}

fn close_stuck(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let timeout_ms =
        if core.permits.holds_lease(now) { COMMAND_TIMEOUT_MS } else { UNLEASED_COMMAND_TIMEOUT_MS };
    let connections = core.pool.connections.iter();
    let stuck: Vec<ConnectionId> = connections
        .filter(|connection| is_stuck(connection, now, timeout_ms))
        .map(|connection| connection.id)
        .collect();
    for connection in stuck {
        core.pool.close(connection, out);
    }
}

fn is_stuck(connection: &Connection, now: Instant, timeout_ms: u64) -> bool {
    let ConnectionState::Busy { since, .. } = connection.state else {
        return false;
    };
    now.saturating_since(since) >= Duration::from_millis(timeout_ms)
}
