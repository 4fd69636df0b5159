//! Moves an admitted request to a connection: chooses an endpoint, queues the request there and sends its
//! command.

use {
    super::{
        Core, Effect, Ticket, admission,
        fairness::QueuedRequest,
        pool::Owner,
        request::{self, Attempt, Kind, Pending, Stage},
        routing::{self, Destination, RoutingRequest},
        session, transaction,
    },
    crate::endpoint_command::{ConnectionId, EndpointCommand},
    cumincart_protocol::{
        catalogue::Group,
        lists::Access,
        name::EndpointName,
        refusal::{Refusal, RefusalCode},
        session::Session,
        time::Instant,
    },
    rand::Rng,
    std::time::Duration,
};

/// Interval at which a request without a usable endpoint is routed again, in milliseconds.
const REROUTE_INTERVAL_MS: u64 = 10;

/// Chooses an endpoint for a request and adds it to that endpoint's queue.
pub fn route(core: &mut Core, now: Instant, ticket: Ticket, out: &mut Vec<Effect>) {
    let draw = core.random.next_u64();
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let Some(group) = catalogue.group(&pending.admitted.service) else {
        return reroute_later(core, now, ticket);
    };
    let routing_request = RoutingRequest {
        group,
        route: &pending.admitted.route,
        kind: pending.kind,
        session: &pending.request.session,
        tried: &pending.tried,
        needs_primary: pending.needs_primary,
        draw,
    };
    match routing::choose(core, now, &routing_request) {
        Destination::Endpoint(endpoint) => enqueue(core, now, ticket, &endpoint, out),
        Destination::Wait => reroute_later(core, now, ticket),
        Destination::WriteLost => {
            let refusal = write_lost(&pending.request.session, group);
            request::finish(core, ticket, Err(refusal), out);
        }
    }
}

/// Returns the refusal for a session that has seen writes which a failover lost. It carries a session token
/// from which the caller can continue.
pub fn write_lost(session: &Session, group: &Group) -> Refusal {
    let refreshed = session::without_lost_points(session, group);
    let message =
        "a failover lost writes that this session has seen: continue with the session in this answer";
    let mut refusal = Refusal::not_run(RefusalCode::WriteLost, message);
    refusal.session = Some(refreshed.encode().into());
    refusal
}

fn reroute_later(core: &mut Core, now: Instant, ticket: Ticket) {
    reroute_at(core, ticket, now + Duration::from_millis(REROUTE_INTERVAL_MS));
}

/// Schedules a request to be routed again at `at`.
pub fn reroute_at(core: &mut Core, ticket: Ticket, at: Instant) {
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.stage = Stage::AwaitingRoute { at };
    }
}

fn enqueue(core: &mut Core, now: Instant, ticket: Ticket, name: &EndpointName, out: &mut Vec<Effect>) {
    let Some(pending) = core.requests.get_mut(&ticket) else {
        return;
    };
    let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
        return reroute_later(core, now, ticket);
    };
    let organisation = pending.admitted.organisation.as_ref();
    let weight = pending.admitted.weight;
    let wait = endpoint.expected_wait(endpoint.queue.requests_ahead(organisation, weight));
    if now + wait > pending.deadline {
        let refusal = Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the expected wait in the endpoint's queue exceeds the deadline",
        )
        .retry_after_ms(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        return request::finish(core, ticket, Err(refusal), out);
    }
    if endpoint.queue.push(now, organisation, weight, ticket).is_err() {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "the endpoint's queue is full");
        return request::finish(core, ticket, Err(refusal), out);
    }
    pending.stage = Stage::Queued(name.clone());
    start_queued(core, now, name, out);
}

/// Starts queued requests of an endpoint while it has free slots and idle connections.
pub fn start_queued(core: &mut Core, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    loop {
        let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
            return;
        };
        if endpoint.queue.is_empty() || endpoint.in_flight >= endpoint.slots.max(1) {
            return;
        }
        let Some(connection) = endpoint.idle.last().copied() else {
            open_for_queue(core, now, name, out);
            return;
        };
        let limit = endpoint.slots.min(endpoint.connections).max(1);
        let Some(queued) = endpoint.queue.pop(now, limit, endpoint.is_congested()) else {
            return;
        };
        start(core, now, queued, name, connection, out);
    }
}

fn open_for_queue(core: &mut Core, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    let missing_connections = core.pool.endpoint(name).map_or(0, |endpoint| {
        let useful = endpoint.slots.saturating_sub(endpoint.in_flight) as usize;
        endpoint.queue.len().min(useful).saturating_sub(endpoint.opening as usize)
    });
    for _ in 0..missing_connections {
        if !core.pool.open(now, &core.permits, name, out) {
            return;
        }
    }
}

/// Schedules the queued requests of an unreachable endpoint to be routed again, unless another connection to
/// it is left.
pub fn reroute_queue(core: &mut Core, now: Instant, name: &EndpointName) {
    let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
        return;
    };
    if endpoint.connections > endpoint.closing {
        return;
    }
    for ticket in endpoint.queue.drain() {
        reroute_later(core, now, ticket);
    }
}

fn start(
    core: &mut Core,
    now: Instant,
    queued: QueuedRequest,
    name: &EndpointName,
    connection: ConnectionId,
    out: &mut Vec<Effect>,
) {
    if try_start(core, now, queued.ticket, name, connection, out) {
        core.pool.set_flow(connection, queued.flow);
    } else if let Some(endpoint) = core.pool.endpoints.get_mut(name) {
        endpoint.queue.command_ended(queued.flow);
    }
}

/// Sends a request's command. Returns false if the request has ended, is refused or must be routed again.
fn try_start(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    name: &EndpointName,
    connection: ConnectionId,
    out: &mut Vec<Effect>,
) -> bool {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return false;
    };
    if let Some(refusal) = queued_refusal(core, now, pending) {
        request::finish(core, ticket, Err(refusal), out);
        return false;
    }
    let group = catalogue.group(&pending.admitted.service);
    let Some(group) = group.filter(|group| may_start(core, now, group, pending, name)) else {
        reroute_at(core, ticket, now);
        return false;
    };
    if pending.kind == Kind::Begin && transaction::is_at_connection_limit(core, now, name) {
        let refusal = Refusal::not_run(
            RefusalCode::Overloaded,
            "open transactions hold too many connections to the endpoint",
        );
        request::finish(core, ticket, Err(refusal), out);
        return false;
    }
    let command = command_for(pending);
    let Some(command_id) = core.pool.execute(now, connection, Owner::Request(ticket), command, out) else {
        reroute_at(core, ticket, now);
        return false;
    };
    let attempt = Attempt { endpoint: name.clone(), connection, command_id, term: group.term };
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.attempts += 1;
        pending.stage = Stage::Running(attempt);
    }
    true
}

/// Returns the refusal for a queued request whose deadline has passed or whose key is no longer confirmed as
/// valid.
fn queued_refusal(core: &Core, now: Instant, pending: &Pending) -> Option<Refusal> {
    if now >= pending.deadline {
        return Some(Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the deadline passed while the request was queued",
        ));
    }
    let organisation = pending.admitted.organisation.as_ref()?;
    let allowed = admission::still_allowed(core, now, pending.request.key_digest.as_ref(), organisation);
    (!allowed)
        .then(|| Refusal::not_run(RefusalCode::KeyRefused, "the key was withdrawn or can't be confirmed now"))
}

/// Whether the endpoint chosen at queueing time may still be used now that the request is sent.
fn may_start(core: &Core, now: Instant, group: &Group, pending: &Pending, name: &EndpointName) -> bool {
    let is_primary = group.primary.as_ref() == Some(name);
    if is_primary || pending.admitted.route.access == Access::Write {
        return routing::usable_primary(core, now, group).as_ref() == Some(name);
    }
    group
        .endpoints
        .get(name)
        .is_some_and(|entry| routing::accepts_new_requests(&core.freshness.catalogue, entry))
}

fn command_for(pending: &Pending) -> EndpointCommand {
    let access = pending.admitted.route.access;
    if pending.kind == Kind::Begin {
        return EndpointCommand::Begin { read_only: access == Access::Read };
    }
    let statement = pending.admitted.statement.clone();
    match access {
        Access::Read => EndpointCommand::Read(statement),
        Access::Write => {
            EndpointCommand::Write(statement, request::claim(&pending.admitted, &pending.request))
        }
    }
}
