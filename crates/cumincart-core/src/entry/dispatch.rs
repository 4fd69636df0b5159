//! From an admitted request to a work on a connection: routing, the endpoint's queue, the start.

use {
    super::{
        Core, Effect, Ticket, admission,
        fairness::Turn,
        pool::Owner,
        request::{self, Kind, Pending, Run, Stage},
        routing::{self, Destination, Question},
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

/// How often a request without an endpoint is routed again, in milliseconds.
const REROUTE_INTERVAL_MS: u64 = 10;

/// Chooses an endpoint for a request and queues it there.
pub fn route(core: &mut Core, now: Instant, ticket: Ticket, out: &mut Vec<Effect>) {
    let draw = core.random.next_u64();
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let Some(group) = catalogue.group(&pending.admitted.service) else {
        return park_for_a_round(core, now, ticket);
    };
    let question = Question {
        group,
        route: &pending.admitted.route,
        kind: pending.kind,
        session: &pending.request.session,
        tried: &pending.tried,
        missed: pending.missed,
        draw,
    };
    match routing::choose(core, now, &question) {
        Destination::Endpoint(endpoint) => enqueue(core, now, ticket, &endpoint, out),
        Destination::Wait => park_for_a_round(core, now, ticket),
        Destination::Lost => {
            let refusal = write_lost(&pending.request.session, group);
            request::finish(core, ticket, Err(refusal), out);
        }
    }
}

/// Tells a session that something that it has seen is lost, and gives it a token to go on with.
pub fn write_lost(session: &Session, group: &Group) -> Refusal {
    let refreshed = session::without_lost_points(session, group);
    let message = "what this session has seen was lost in a failover: go on with the session in this answer";
    let mut refusal = Refusal::not_run(RefusalCode::WriteLost, message);
    refusal.session = Some(refreshed.encode().into());
    refusal
}

fn park_for_a_round(core: &mut Core, now: Instant, ticket: Ticket) {
    park(core, ticket, now + Duration::from_millis(REROUTE_INTERVAL_MS));
}

/// Has a request routed again at some instant.
pub fn park(core: &mut Core, ticket: Ticket, until: Instant) {
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.stage = Stage::Parked { until };
    }
}

fn enqueue(core: &mut Core, now: Instant, ticket: Ticket, name: &EndpointName, out: &mut Vec<Effect>) {
    let Some(pending) = core.requests.get_mut(&ticket) else {
        return;
    };
    let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
        return park_for_a_round(core, now, ticket);
    };
    let organisation = pending.admitted.organisation.as_ref();
    let weight = pending.admitted.weight;
    let wait = endpoint.expected_wait(endpoint.queue.places_ahead(organisation, weight));
    if now + wait > pending.deadline {
        let refusal =
            Refusal::not_run(RefusalCode::DeadlineExceeded, "its turn would come after its deadline")
                .retry_after_ms(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        return request::finish(core, ticket, Err(refusal), out);
    }
    if endpoint.queue.push(now, organisation, weight, ticket).is_err() {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "the endpoint's queue is full");
        return request::finish(core, ticket, Err(refusal), out);
    }
    pending.stage = Stage::Queued(name.clone());
    pump(core, now, name, out);
}

/// Starts requests that wait for an endpoint, as far as its slots and connections go.
pub fn pump(core: &mut Core, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
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
        let Some(turn) = endpoint.queue.pop(now, limit, endpoint.is_congested()) else {
            return;
        };
        start(core, now, turn, name, connection, out);
    }
}

fn open_for_queue(core: &mut Core, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    let missing = core.pool.endpoint(name).map_or(0, |endpoint| {
        let useful = endpoint.slots.saturating_sub(endpoint.in_flight) as usize;
        endpoint.queue.len().min(useful).saturating_sub(endpoint.opening as usize)
    });
    for _ in 0..missing {
        if !core.pool.open(now, &core.permits, name, out) {
            return;
        }
    }
}

/// Has the requests of an endpoint that can't be reached routed again, unless another connection to it is left.
pub fn park_queue(core: &mut Core, now: Instant, name: &EndpointName) {
    let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
        return;
    };
    if endpoint.connections > endpoint.closing {
        return;
    }
    for ticket in endpoint.queue.drain() {
        park_for_a_round(core, now, ticket);
    }
}

fn start(
    core: &mut Core,
    now: Instant,
    turn: Turn,
    name: &EndpointName,
    connection: ConnectionId,
    out: &mut Vec<Effect>,
) {
    if try_start(core, now, turn.ticket, name, connection, out) {
        core.pool.note_lane(connection, turn.lane);
    } else if let Some(endpoint) = core.pool.endpoints.get_mut(name) {
        endpoint.queue.ended(turn.lane);
    }
}

/// Sends a request's work, unless the request has ended, is too late or belongs elsewhere by now.
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
    if let Some(refusal) = late_refusal(core, now, pending) {
        request::finish(core, ticket, Err(refusal), out);
        return false;
    }
    let group = catalogue.group(&pending.admitted.service);
    let Some(group) = group.filter(|group| may_start(core, now, group, pending, name)) else {
        park(core, ticket, now);
        return false;
    };
    if pending.kind == Kind::Begin && transaction::is_full(core, now, name) {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "transactions hold too many connections");
        request::finish(core, ticket, Err(refusal), out);
        return false;
    }
    let work = work_for(pending);
    let Some(work) = core.pool.execute(now, connection, Owner::Request(ticket), work, out) else {
        park(core, ticket, now);
        return false;
    };
    let run = Run { endpoint: name.clone(), connection, work, term: group.term };
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.attempts += 1;
        pending.stage = Stage::Running(run);
    }
    true
}

/// Why a request that waited can't start any more: its deadline has passed, or its key was withdrawn meanwhile.
fn late_refusal(core: &Core, now: Instant, pending: &Pending) -> Option<Refusal> {
    if now >= pending.deadline {
        return Some(Refusal::not_run(RefusalCode::DeadlineExceeded, "it waited until its deadline"));
    }
    let organisation = pending.admitted.organisation.as_ref()?;
    let allowed = admission::still_allowed(core, now, pending.request.key_digest.as_ref(), organisation);
    (!allowed)
        .then(|| Refusal::not_run(RefusalCode::KeyRefused, "the key was withdrawn or can't be confirmed"))
}

/// Whether the endpoint that was chosen when the request was queued is still right now that it is sent.
fn may_start(core: &Core, now: Instant, group: &Group, pending: &Pending, name: &EndpointName) -> bool {
    let is_primary = group.primary.as_ref() == Some(name);
    if is_primary || pending.admitted.route.access == Access::Write {
        return routing::usable_primary(core, now, group).as_ref() == Some(name);
    }
    group.endpoints.get(name).is_some_and(|entry| routing::takes_new_work(&core.freshness.catalogue, entry))
}

fn work_for(pending: &Pending) -> EndpointCommand {
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
