//! The end of a work: which answer it gives, or what follows from its failure.

use {
    super::{
        Core, Effect, Ticket, dispatch,
        pool::Owner,
        replication::{self, Ended, Replication},
        request::{self, Kind, Pending, Run, Stage},
        retry, routing,
        session::{self, Standing},
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

/// Takes the end of a work. An answer to anything but the work on the connection is dropped.
pub fn on_done(
    core: &mut Core,
    now: Instant,
    connection: ConnectionId,
    work: CommandId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let Some(finished) = core.pool.done(now, connection, work) else {
        core.counters.stray_answers += 1;
        return;
    };
    note_outcome(core, now, &finished.endpoint, &result);
    let state = result.as_ref().ok().and_then(|done| done.state);
    let ended = Ended { work, endpoint: finished.endpoint.clone(), state };
    match finished.owner {
        Owner::Pool => give_back(core, connection, &result, out),
        Owner::Request(ticket) => on_request_done(core, now, ticket, connection, work, result, out),
        Owner::Transaction(number) => transaction::on_done(core, now, number, connection, result, out),
    }
    replication::on_done(core, now, &ended, out);
    dispatch::pump(core, now, &finished.endpoint, out);
}

fn note_outcome(
    core: &mut Core,
    now: Instant,
    name: &EndpointName,
    result: &Result<CommandOutput, CommandError>,
) {
    let Some(endpoint) = core.pool.endpoints.get_mut(name) else {
        return;
    };
    let reached = result.as_ref().err().is_none_or(retry::leaves_connection_clean);
    endpoint.note_contact(now, reached);
    if let Ok(CommandOutput { state: Some(state), .. }) = result {
        endpoint.note_state(now, *state);
    }
}

/// Gives a connection back when it is clean, closes it otherwise.
fn give_back(
    core: &mut Core,
    connection: ConnectionId,
    result: &Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    match result {
        Err(error) if !retry::leaves_connection_clean(error) => core.pool.close(connection, out),
        _ => core.pool.release(connection),
    }
}

fn on_request_done(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    connection: ConnectionId,
    work: CommandId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let began = result.is_ok() && waits_for_begin(core, ticket, work);
    if !began {
        give_back(core, connection, &result, out);
    }
    on_outcome(core, now, ticket, work, result, out);
}

fn waits_for_begin(core: &Core, ticket: Ticket, work: CommandId) -> bool {
    core.requests.get(&ticket).is_some_and(|pending| {
        pending.kind == Kind::Begin && matches!(&pending.stage, Stage::Running(run) if run.work == work)
    })
}

/// Goes on with a request whose work ended.
pub fn on_outcome(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    work: CommandId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let Stage::Running(run) = &pending.stage else {
        return;
    };
    if run.work != work {
        return;
    }
    let run = run.clone();
    match (result, pending.kind, pending.admitted.route.access) {
        (Err(error), _, _) => on_error(core, now, ticket, &run, &error, out),
        (Ok(_), Kind::Begin, _) => transaction::on_begun(core, now, ticket, &run, out),
        (Ok(done), Kind::Run, Access::Read) => on_read(core, now, ticket, &run, done, out),
        (Ok(done), Kind::Run, Access::Write) => on_written(core, now, ticket, &run, done, out),
    }
}

fn on_read(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    run: &Run,
    done: CommandOutput,
    out: &mut Vec<Effect>,
) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get_mut(&ticket) else {
        return;
    };
    let session = pending.request.session.clone();
    let staleness_ms = pending.admitted.route.max_staleness_ms;
    let (Some(group), Some(state)) = (catalogue.group(&pending.admitted.service), done.state) else {
        let refusal = Refusal::unknown(RefusalCode::Internal, "the endpoint gave no state with its answer");
        return request::finish(core, ticket, Err(refusal), out);
    };
    if is_primary_answer(core, now, group, run.term, &run.endpoint, &state) && is_kept(group, &session) {
        core.counters.primary_reads += 1;
        return answer_read(core, ticket, group, &state, done.rows, out);
    }
    if is_replica_answer(core, now, group, &session, staleness_ms, &state) {
        core.counters.replica_reads += 1;
        return answer_read(core, ticket, group, &state, done.rows, out);
    }
    core.counters.replica_misses += 1;
    if let Some(pending) = core.requests.get_mut(&ticket) {
        pending.missed = true;
    }
    dispatch::route(core, now, ticket, out);
}

/// Whether an answer came from the primary of the present term: the term is the one in which the work was sent, the
/// lease on it is live, and the endpoint itself confirms it.
pub fn is_primary_answer(
    core: &Core,
    now: Instant,
    group: &Group,
    sent_in: Term,
    endpoint: &EndpointName,
    state: &EndpointState,
) -> bool {
    is_still_primary(core, now, group, sent_in, endpoint) && session::is_primary_state(group, sent_in, state)
}

/// Whether the term in which a work was sent is still the present one, under a live lease.
pub fn is_still_primary(
    core: &Core,
    now: Instant,
    group: &Group,
    sent_in: Term,
    endpoint: &EndpointName,
) -> bool {
    sent_in == group.term
        && group.writable
        && group.primary.as_ref() == Some(endpoint)
        && core.freshness.holds_term_lease(now)
}

fn is_replica_answer(
    core: &Core,
    now: Instant,
    group: &Group,
    session: &Session,
    staleness_ms: u64,
    state: &EndpointState,
) -> bool {
    let needed = session::needed_position(&session::seen(session, &group.service));
    state.role == Role::Replica
        && is_kept(group, session)
        && session::covers(group, state, needed)
        && routing::age_ms(core, now, state.lag_ms) <= staleness_ms
}

fn is_kept(group: &Group, session: &Session) -> bool {
    let seen = session::seen(session, &group.service);
    [seen.write, seen.read].into_iter().all(|point| session::standing(group, point) == Standing::Kept)
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
    run: &Run,
    done: CommandOutput,
    out: &mut Vec<Effect>,
) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let service = pending.admitted.service.clone();
    let state = done.state.filter(|state| {
        catalogue
            .group(&service)
            .is_some_and(|group| is_primary_answer(core, now, group, run.term, &run.endpoint, state))
    });
    let Some(state) = state else {
        return request::finish(core, ticket, Err(term_changed()), out);
    };
    let session = session::after_write(&pending.request.session, &service, run.term, state.position);
    let replicated = pending.admitted.route.replicated;
    let answer = CallerAnswer { rows: done.rows, session, transaction: None, from_replica: false };
    if !replicated {
        core.counters.writes += 1;
        return request::finish(core, ticket, Ok(answer), out);
    }
    let waiting = waiting_answer(pending, run, Some(state.position), Ok(answer));
    replication::wait(core, now, waiting, run.connection, out);
}

fn waiting_answer(
    pending: &Pending,
    run: &Run,
    position: Option<LogPosition>,
    result: CallerResult,
) -> Replication {
    Replication {
        ticket: pending.ticket,
        deadline: pending.deadline,
        service: pending.admitted.service.clone(),
        primary: run.endpoint.clone(),
        term: run.term,
        position,
        probe: None,
        result,
    }
}

/// The refusal for a write that an endpoint committed but that can't be acknowledged.
pub fn term_changed() -> Refusal {
    Refusal::unknown(RefusalCode::TermChanged, "the primary changed, or may have, while the write ran")
}

fn on_error(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    run: &Run,
    error: &CommandError,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = core.requests.get_mut(&ticket) else {
        return;
    };
    if *error == CommandError::AlreadyClaimed {
        return on_already_claimed(core, now, ticket, run, out);
    }
    let route = &pending.admitted.route;
    let repeatable = pending.kind == Kind::Begin || route.access == Access::Read || route.repeatable;
    let harmless = repeatable || retry::verdict(error) == Verdict::NotRun;
    let more = retry::is_transient(error) && harmless && pending.attempts < retry::MAX_ATTEMPTS;
    if !more || !core.retry_budget.spend() {
        return request::finish(core, ticket, Err(retry::refusal(error)), out);
    }
    pending.tried.push(run.endpoint.clone());
    let until = retry::next_attempt_at(&mut core.random, now, pending.attempts);
    core.counters.retries += 1;
    dispatch::park(core, ticket, until);
}

/// The claim was there, so the request ran before; that counts only if the endpoint is the present primary, and on a
/// replicated route only once a replica has it.
fn on_already_claimed(core: &mut Core, now: Instant, ticket: Ticket, run: &Run, out: &mut Vec<Effect>) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let group = catalogue.group(&pending.admitted.service);
    if !group.is_some_and(|group| is_still_primary(core, now, group, run.term, &run.endpoint)) {
        return request::finish(core, ticket, Err(term_changed()), out);
    }
    let refusal = retry::refusal(&CommandError::AlreadyClaimed);
    if !pending.admitted.route.replicated {
        return request::finish(core, ticket, Err(refusal), out);
    }
    let waiting = waiting_answer(pending, run, None, Err(refusal));
    replication::wait(core, now, waiting, run.connection, out);
}
