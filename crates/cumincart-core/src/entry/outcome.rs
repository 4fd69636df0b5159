//! Handles the results of commands: answers the request, retries it or refuses it.

use {
    super::{
        Core, Effect, Ticket, dispatch,
        pool::Owner,
        replication::{self, CommandReport, Replication},
        request::{self, Attempt, Kind, Pending, Stage},
        retry, routing,
        session::{self, PointStatus},
        transaction,
    },
    crate::endpoint_command::{CommandError, CommandId, CommandOutput, ConnectionId, EndpointState},
    cumincart_protocol::{
        announcement::Role,
        catalogue::Group,
        lists::Access,
        name::EndpointName,
        number::{LogPosition, Term},
        refusal::{Refusal, RefusalCode},
        request::{CallerAnswer, CallerResult, Rows},
        session::Session,
        time::Instant,
        verdict::Verdict,
    },
};

/// Handles the result of a command. A result for any other command than the one running on the connection is
/// dropped.
pub fn on_command_ended(
    core: &mut Core,
    now: Instant,
    connection: ConnectionId,
    command_id: CommandId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let Some(ended) = core.pool.command_ended(now, connection, command_id) else {
        core.counters.stray_answers += 1;
        return;
    };
    record_outcome(core, now, &ended.endpoint, &result);
    let state = result.as_ref().ok().and_then(|output| output.state);
    let report = CommandReport { command_id, endpoint: ended.endpoint.clone(), state };
    match ended.owner {
        Owner::Pool => release_or_close(core, connection, &result, out),
        Owner::Request(ticket) => {
            on_request_command_ended(core, now, ticket, connection, command_id, result, out);
        }
        Owner::Transaction(number) => {
            transaction::on_command_ended(core, now, number, connection, result, out);
        }
    }
    replication::on_command_ended(core, now, &report, out);
    dispatch::start_queued(core, now, &ended.endpoint, out);
}

fn record_outcome(
    core: &mut Core,
    now: Instant,
    name: &EndpointName,
    result: &Result<CommandOutput, CommandError>,
) {
    let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
        return;
    };
    let reached = result.as_ref().err().is_none_or(retry::keeps_connection_clean);
    endpoint.record_reachability(now, reached);
    if let Ok(CommandOutput { state: Some(state), .. }) = result {
        endpoint.record_state(now, *state);
    }
}

/// Returns a connection to the pool if it is clean, and closes it otherwise.
fn release_or_close(
    core: &mut Core,
    connection: ConnectionId,
    result: &Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    match result {
        Err(error) if !retry::keeps_connection_clean(error) => core.pool.close(connection, out),
        _ => core.pool.release(connection),
    }
}

fn on_request_command_ended(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    connection: ConnectionId,
    command_id: CommandId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let began = result.is_ok() && is_begin_command(core, ticket, command_id);
    if !began {
        release_or_close(core, connection, &result, out);
    }
    apply_result(core, now, ticket, command_id, result, out);
}

fn is_begin_command(core: &Core, ticket: Ticket, command_id: CommandId) -> bool {
    core.requests.get(&ticket).is_some_and(|pending| {
        pending.kind == Kind::Begin
            && matches!(&pending.stage, Stage::Running(attempt) if attempt.command_id == command_id)
    })
}

/// Applies the result of a command to the request that sent it.
pub fn apply_result(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    command_id: CommandId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let Stage::Running(attempt) = &pending.stage else {
        return;
    };
    if attempt.command_id != command_id {
        return;
    }
    let attempt = attempt.clone();
    match (result, pending.kind, pending.admitted.route.access) {
        (Err(error), _, _) => on_error(core, now, ticket, &attempt, &error, out),
        (Ok(_), Kind::Begin, _) => transaction::on_begun(core, now, ticket, &attempt, out),
        (Ok(output), Kind::Run, Access::Read) => on_read(core, now, ticket, &attempt, output, out),
        (Ok(output), Kind::Run, Access::Write) => on_written(core, now, ticket, &attempt, output, out),
    }
}

fn on_read(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    attempt: &Attempt,
    output: CommandOutput,
    out: &mut Vec<Effect>,
) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get_mut(&ticket) else {
        return;
    };
    let session = pending.request.session.clone();
    let staleness_ms = pending.admitted.route.max_staleness_ms;
    let (Some(group), Some(state)) = (catalogue.group(&pending.admitted.service), output.state) else {
        let refusal = Refusal::unknown(RefusalCode::Internal, "the endpoint returned no state with the rows");
        return request::finish(core, ticket, Err(refusal), out);
    };
    if is_from_primary(core, now, group, attempt.term, &attempt.endpoint, &state)
        && is_in_history(group, &session)
    {
        core.counters.primary_reads += 1;
        return answer_read(core, ticket, group, &state, output.rows, out);
    }
    if is_from_fresh_replica(core, now, group, &session, staleness_ms, &state) {
        core.counters.replica_reads += 1;
        return answer_read(core, ticket, group, &state, output.rows, out);
    }
    core.counters.replica_misses += 1;
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.needs_primary = true;
    }
    dispatch::route(core, now, ticket, out);
}

/// Whether an answer came from the primary of the current term: the command was sent in this term, the term
/// lease is live, and the endpoint itself reports to be the primary.
pub fn is_from_primary(
    core: &Core,
    now: Instant,
    group: &Group,
    sent_term: Term,
    endpoint: &EndpointName,
    state: &EndpointState,
) -> bool {
    is_still_primary(core, now, group, sent_term, endpoint)
        && session::is_primary_state(group, sent_term, state)
}

/// Whether the term in which a command was sent is still current, under a live term lease.
pub fn is_still_primary(
    core: &Core,
    now: Instant,
    group: &Group,
    sent_term: Term,
    endpoint: &EndpointName,
) -> bool {
    sent_term == group.term
        && group.writable
        && group.primary.as_ref() == Some(endpoint)
        && core.freshness.holds_term_lease(now)
}

fn is_from_fresh_replica(
    core: &Core,
    now: Instant,
    group: &Group,
    session: &Session,
    staleness_ms: u64,
    state: &EndpointState,
) -> bool {
    let needed = session::needed_position(&session::seen(session, &group.service));
    state.role == Role::Replica
        && is_in_history(group, session)
        && session::covers(group, state, needed)
        && routing::max_age_ms(core, now, state.lag_ms) <= staleness_ms
}

fn is_in_history(group: &Group, session: &Session) -> bool {
    let seen = session::seen(session, &group.service);
    [seen.write, seen.read]
        .into_iter()
        .all(|point| session::point_status(group, point) == PointStatus::InHistory)
}

fn answer_read(
    core: &mut Core,
    ticket: Ticket,
    group: &Group,
    state: &EndpointState,
    rows: Rows,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let session = session::after_read(&pending.request.session, group, state.position);
    let from_replica = state.role == Role::Replica;
    request::finish(core, ticket, Ok(CallerAnswer { rows, session, transaction: None, from_replica }), out);
}

fn on_written(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    attempt: &Attempt,
    output: CommandOutput,
    out: &mut Vec<Effect>,
) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let service = pending.admitted.service.clone();
    let state = output.state.filter(|state| {
        catalogue
            .group(&service)
            .is_some_and(|group| is_from_primary(core, now, group, attempt.term, &attempt.endpoint, state))
    });
    let Some(state) = state else {
        return request::finish(core, ticket, Err(term_changed()), out);
    };
    let session = session::after_write(&pending.request.session, &service, attempt.term, state.position);
    let replicated = pending.admitted.route.replicated;
    let answer = CallerAnswer { rows: output.rows, session, transaction: None, from_replica: false };
    if !replicated {
        core.counters.writes += 1;
        return request::finish(core, ticket, Ok(answer), out);
    }
    let replication = replication_of(pending, attempt, Some(state.position), Ok(answer));
    replication::hold_back(core, now, replication, attempt.connection, out);
}

fn replication_of(
    pending: &Pending,
    attempt: &Attempt,
    position: Option<LogPosition>,
    result: CallerResult,
) -> Replication {
    Replication {
        ticket: pending.ticket,
        deadline: pending.deadline,
        service: pending.admitted.service.clone(),
        primary: attempt.endpoint.clone(),
        term: attempt.term,
        position,
        probe: None,
        result,
    }
}

/// Returns the refusal for a write that an endpoint has committed but that can't be acknowledged.
pub fn term_changed() -> Refusal {
    Refusal::unknown(
        RefusalCode::TermChanged,
        "the primary changed, or may have changed, while the write was running",
    )
}

fn on_error(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    attempt: &Attempt,
    error: &CommandError,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = core.requests.get_mut(&ticket) else {
        return;
    };
    if *error == CommandError::AlreadyClaimed {
        return on_already_claimed(core, now, ticket, attempt, out);
    }
    let route = &pending.admitted.route;
    let repeatable = pending.kind == Kind::Begin || route.access == Access::Read || route.repeatable;
    let is_safe = repeatable || retry::verdict(error) == Verdict::NotRun;
    let may_retry = retry::is_transient(error) && is_safe && pending.attempts < retry::MAX_ATTEMPTS;
    if !may_retry || !core.retry_budget.try_withdraw() {
        return request::finish(core, ticket, Err(retry::refusal(error)), out);
    }
    let is_write = pending.kind == Kind::Run && route.access == Access::Write;
    pending.may_have_run |= is_write && retry::verdict(error) == Verdict::Unknown;
    pending.tried.push(attempt.endpoint.clone());
    let retry_at = retry::next_attempt_at(&mut core.random, now, pending.attempts);
    core.counters.retries += 1;
    dispatch::reroute_at(core, ticket, retry_at);
}

/// Handles a claim that already exists, which means that the request ran before. This counts only if the
/// endpoint is still the primary, and on a replicated route only once a replica has the claim too.
fn on_already_claimed(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    attempt: &Attempt,
    out: &mut Vec<Effect>,
) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let group = catalogue.group(&pending.admitted.service);
    if !group.is_some_and(|group| is_still_primary(core, now, group, attempt.term, &attempt.endpoint)) {
        return request::finish(core, ticket, Err(term_changed()), out);
    }
    let refusal = retry::refusal(&CommandError::AlreadyClaimed);
    if !pending.admitted.route.replicated {
        return request::finish(core, ticket, Err(refusal), out);
    }
    let replication = replication_of(pending, attempt, None, Err(refusal));
    replication::hold_back(core, now, replication, attempt.connection, out);
}
