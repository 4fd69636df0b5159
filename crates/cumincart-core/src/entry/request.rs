//! A request's way from its arrival to its answer.

use {
    super::{
        Board, Effect, Ticket,
        admission::{self, Admitted},
        drain,
        fairness::Waiting,
        pool::ConnectionState,
        quota::{self, QuotaDecision},
        retry,
        routing::{self, Destination, Question},
        session,
    },
    crate::work::{Claim, ConnectionId, EndpointState, Work, WorkDone, WorkError, WorkId},
    cumincart_protocol::{
        announcement::Role,
        catalogue::Group,
        lists::Access,
        name::EndpointName,
        number::Term,
        refusal::{Refusal, RefusalCode},
        request::{CallerAnswer, CallerRequest, CallerResult, Operation, Rows},
        session::Session,
        sorted::Keyed,
        time::Instant,
        verdict::Verdict,
    },
    std::time::Duration,
};

/// How often a request without an endpoint is routed again, in milliseconds.
const REROUTE_INTERVAL_MS: u64 = 10;

/// A request that has no answer yet.
#[derive(Debug)]
pub struct Pending {
    /// Its identity.
    pub ticket: Ticket,
    /// The request.
    pub request: Box<CallerRequest>,
    /// What its key and plan allow.
    pub admitted: Admitted,
    /// When it must have ended.
    pub deadline: Instant,
    /// How far it has got.
    pub stage: Stage,
    /// Attempts that were sent.
    pub attempts: u32,
    /// The endpoints of failed attempts.
    pub tried: Vec<EndpointName>,
    /// Whether a replica turned out to be too old for it.
    pub missed: bool,
}

impl Keyed for Pending {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

/// How far a request has got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a token of its organisation's rate.
    AwaitingToken,
    /// It waits for an endpoint, or for its next attempt.
    Parked {
        /// When to route it again.
        until: Instant,
    },
    /// It waits in an endpoint's queue.
    Queued(EndpointName),
    /// It runs.
    Running(Run),
}

/// An attempt under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The connection.
    pub connection: ConnectionId,
    /// The work.
    pub work: WorkId,
    /// The group's term when it was sent.
    pub term: Term,
}

/// Takes a caller's request.
pub fn on_request(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    out: &mut Vec<Effect>,
) {
    board.counters.requests += 1;
    if let Some(refusal) = drain::refusal(board) {
        return answer(board, ticket, Err(refusal), out);
    }
    let Operation::Run(call) = &request.operation else {
        let refusal = Refusal::not_run(RefusalCode::TransactionUnknown, "transactions are not served yet");
        return answer(board, ticket, Err(refusal), out);
    };
    let admitted = match admission::admit(board, now, &request, call) {
        Ok(admitted) => admitted,
        Err(refusal) => return answer(board, ticket, Err(refusal), out),
    };
    if let Some(refusal) = missing_request_id(&admitted, &request) {
        return answer(board, ticket, Err(refusal), out);
    }
    board.retry_budget.earn();
    let deadline_ms = request.deadline_ms.unwrap_or(u64::MAX).min(admitted.route.deadline_ms);
    let pending = Pending {
        ticket,
        request,
        admitted,
        deadline: now + Duration::from_millis(deadline_ms),
        stage: Stage::AwaitingToken,
        attempts: 0,
        tried: Vec::new(),
        missed: false,
    };
    take_token(board, now, pending, out);
}

fn missing_request_id(admitted: &Admitted, request: &CallerRequest) -> Option<Refusal> {
    let needed = admitted.route.access == Access::Write && !admitted.route.repeatable;
    (needed && request.request_id.is_none()).then(|| {
        Refusal::not_run(
            RefusalCode::RequestIdMissing,
            "this route's requests may not be repeated and need an id",
        )
    })
}

fn take_token(board: &mut Board, now: Instant, pending: Pending, out: &mut Vec<Effect>) {
    let ticket = pending.ticket;
    let deadline = pending.deadline;
    let organisation = pending.admitted.organisation.clone();
    board.requests.insert(pending);
    let Some(organisation) = organisation else {
        return route(board, now, ticket, out);
    };
    let decision = quota::take(&mut board.quota, now, &organisation, ticket, deadline);
    on_token(board, now, ticket, decision, out);
}

/// Goes on with a request after its organisation's rate was asked.
pub fn on_token(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    decision: QuotaDecision,
    out: &mut Vec<Effect>,
) {
    match decision {
        QuotaDecision::Waiting => {}
        QuotaDecision::Admitted => route(board, now, ticket, out),
        QuotaDecision::Refused { retry_after_ms } => {
            let refusal = Refusal::not_run(RefusalCode::OverRate, "the organisation is over its rate")
                .retry_after_ms(retry_after_ms);
            finish(board, ticket, Err(refusal), out);
        }
    }
}

/// Chooses an endpoint for a request and queues it there.
pub fn route(board: &mut Board, now: Instant, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(pending) = board.requests.get(&ticket) else {
        return;
    };
    let catalogue = board.freshness.catalogue.clone();
    let Some(group) = catalogue.group(&pending.admitted.service) else {
        return park(board, ticket, now + Duration::from_millis(REROUTE_INTERVAL_MS));
    };
    let question = Question {
        group,
        route: &pending.admitted.route,
        session: &pending.request.session,
        tried: &pending.tried,
        missed: pending.missed,
    };
    match routing::choose(board, now, &question) {
        Destination::Endpoint(endpoint) => enqueue(board, now, ticket, &endpoint, out),
        Destination::Wait => park(board, ticket, now + Duration::from_millis(REROUTE_INTERVAL_MS)),
        Destination::Lost => {
            let refusal = write_lost(&pending.request.session, group);
            finish(board, ticket, Err(refusal), out);
        }
    }
}

fn write_lost(session: &Session, group: &Group) -> Refusal {
    let refreshed = session::without_lost_points(session, group);
    let mut refusal = Refusal::not_run(
        RefusalCode::WriteLost,
        "what this session has seen of the service was lost in a failover; go on with the session in this answer",
    );
    refusal.session = Some(refreshed.encode().into());
    refusal
}

fn park(board: &mut Board, ticket: Ticket, until: Instant) {
    if let Some(pending) = board.requests.get_mut(&ticket) {
        pending.stage = Stage::Parked { until };
    }
}

fn enqueue(board: &mut Board, now: Instant, ticket: Ticket, name: &EndpointName, out: &mut Vec<Effect>) {
    let (Some(pending), Some(endpoint)) =
        (board.requests.get_mut(&ticket), board.pool.endpoints.get_mut(name))
    else {
        return;
    };
    let organisation = pending.admitted.organisation.as_ref();
    let waiting = Waiting { ticket, deadline: pending.deadline };
    if endpoint.queue.push(organisation, pending.admitted.weight, waiting).is_err() {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "the endpoint's queue is full");
        return finish(board, ticket, Err(refusal), out);
    }
    pending.stage = Stage::Queued(name.clone());
    pump(board, now, name, out);
}

/// Starts requests that wait for an endpoint, as far as its slots and connections go.
pub fn pump(board: &mut Board, now: Instant, name: &EndpointName, out: &mut Vec<Effect>) {
    loop {
        let Some(endpoint) = board.pool.endpoints.get_mut(name) else {
            return;
        };
        if endpoint.queue.is_empty() || endpoint.in_flight >= endpoint.slots.max(1) {
            return;
        }
        let Some(connection) = endpoint.idle.last().copied() else {
            if (endpoint.opening as usize) < endpoint.queue.len() {
                board.pool.open(now, &board.permits, name, out);
            }
            return;
        };
        let Some(waiting) = endpoint.queue.pop() else {
            return;
        };
        start(board, now, waiting.ticket, name, connection, out);
    }
}

fn start(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    name: &EndpointName,
    connection: ConnectionId,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = board.requests.get(&ticket) else {
        return;
    };
    let catalogue = board.freshness.catalogue.clone();
    let Some(group) = catalogue.group(&pending.admitted.service) else {
        return park(board, ticket, now);
    };
    if !may_start(board, now, group, pending, name) {
        return park(board, ticket, now);
    }
    let work = work_for(pending);
    let Some(work) = board.pool.execute(now, connection, Some(ticket), work, out) else {
        return park(board, ticket, now);
    };
    let run = Run { endpoint: name.clone(), connection, work, term: group.term };
    if let Some(pending) = board.requests.get_mut(&ticket) {
        pending.attempts += 1;
        pending.stage = Stage::Running(run);
    }
}

/// Whether the endpoint that was chosen when the request was queued is still right now that it is sent.
fn may_start(board: &Board, now: Instant, group: &Group, pending: &Pending, name: &EndpointName) -> bool {
    let is_primary = group.primary.as_ref() == Some(name);
    if is_primary || pending.admitted.route.access == Access::Write {
        return routing::usable_primary(board, now, group).as_ref() == Some(name);
    }
    group.endpoints.get(name).is_some_and(|entry| routing::takes_new_work(&board.freshness.catalogue, entry))
}

fn work_for(pending: &Pending) -> Work {
    let statement = pending.admitted.statement.clone();
    match pending.admitted.route.access {
        Access::Read => Work::Read(statement),
        Access::Write => Work::Write(statement, claim_for(pending)),
    }
}

fn claim_for(pending: &Pending) -> Option<Claim> {
    if pending.admitted.route.repeatable {
        return None;
    }
    let request_id = pending.request.request_id.clone()?;
    Some(Claim { organisation: pending.admitted.organisation.clone(), request_id })
}

/// Takes the end of a work.
pub fn on_done(
    board: &mut Board,
    now: Instant,
    connection: ConnectionId,
    work: WorkId,
    result: Result<WorkDone, WorkError>,
    out: &mut Vec<Effect>,
) {
    let Some(ticket) = board.pool.done(now, connection, work) else {
        board.counters.stray_answers += 1;
        return;
    };
    let name = board.pool.connections.get(&connection).map(|connection| connection.endpoint.clone());
    let Some(name) = name else {
        return;
    };
    note_outcome(board, now, &name, &result);
    match &result {
        Err(error) if !retry::leaves_connection_clean(error) => board.pool.close(connection, out),
        _ => board.pool.release(connection),
    }
    if let Some(ticket) = ticket {
        on_outcome(board, now, ticket, work, result, out);
    }
    pump(board, now, &name, out);
}

fn note_outcome(board: &mut Board, now: Instant, name: &EndpointName, result: &Result<WorkDone, WorkError>) {
    let Some(endpoint) = board.pool.endpoints.get_mut(name) else {
        return;
    };
    let reached = result.as_ref().err().is_none_or(retry::leaves_connection_clean);
    endpoint.note_contact(now, reached);
    if let Ok(WorkDone { state: Some(state), .. }) = result {
        endpoint.note_state(now, *state);
    }
}

fn on_outcome(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    work: WorkId,
    result: Result<WorkDone, WorkError>,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = board.requests.get(&ticket) else {
        board.counters.stray_answers += 1;
        return;
    };
    let Stage::Running(run) = pending.stage.clone() else {
        return;
    };
    if run.work != work {
        return;
    }
    let access = pending.admitted.route.access;
    match (result, access) {
        (Ok(done), Access::Read) => on_read(board, now, ticket, &run, done, out),
        (Ok(done), Access::Write) => on_written(board, now, ticket, &run, done, out),
        (Err(error), _) => on_error(board, now, ticket, &run, &error, out),
    }
}

fn on_read(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    run: &Run,
    done: WorkDone,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = board.requests.get_mut(&ticket) else {
        return;
    };
    let catalogue = board.freshness.catalogue.clone();
    let service = pending.admitted.service.clone();
    let (Some(group), Some(state)) = (catalogue.group(&service), done.state) else {
        let refusal = Refusal::unknown(RefusalCode::Internal, "the endpoint gave no state with its answer");
        return finish(board, ticket, Err(refusal), out);
    };
    if is_valid_primary_answer(board, now, group, run, &state) {
        board.counters.primary_reads += 1;
        return answer_read(board, ticket, group, &state, done.rows, false, out);
    }
    if is_valid_replica_answer(board, now, group, ticket, &state) {
        board.counters.replica_reads += 1;
        return answer_read(board, ticket, group, &state, done.rows, true, out);
    }
    board.counters.replica_misses += 1;
    if let Some(pending) = board.requests.get_mut(&ticket) {
        pending.missed = true;
    }
    route(board, now, ticket, out);
}

fn is_valid_primary_answer(
    board: &Board,
    now: Instant,
    group: &Group,
    run: &Run,
    state: &EndpointState,
) -> bool {
    run.term == group.term
        && routing::usable_primary(board, now, group).as_ref() == Some(&run.endpoint)
        && session::is_primary_state(group, run.term, state)
}

fn is_valid_replica_answer(
    board: &Board,
    now: Instant,
    group: &Group,
    ticket: Ticket,
    state: &EndpointState,
) -> bool {
    let Some(pending) = board.requests.get(&ticket) else {
        return false;
    };
    let seen = session::seen(&pending.request.session, &group.service);
    let kept = [seen.write, seen.read]
        .into_iter()
        .all(|point| session::standing(group, point) == session::Standing::Kept);
    kept && state.role == Role::Replica
        && session::covers(group, state, session::needed_position(&seen))
        && routing::age_ms(board, now, state.lag_ms) <= pending.admitted.route.max_staleness_ms
}

fn answer_read(
    board: &mut Board,
    ticket: Ticket,
    group: &Group,
    state: &EndpointState,
    rows: Rows,
    from_replica: bool,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = board.requests.get(&ticket) else {
        return;
    };
    let session = session::after_read(&pending.request.session, group, state.position);
    finish(board, ticket, Ok(CallerAnswer { rows, session, transaction: None, from_replica }), out);
}

fn on_written(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    run: &Run,
    done: WorkDone,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = board.requests.get(&ticket) else {
        return;
    };
    let service = pending.admitted.service.clone();
    let catalogue = board.freshness.catalogue.clone();
    let state = done.state.filter(|state| {
        catalogue.group(&service).is_some_and(|group| is_valid_primary_answer(board, now, group, run, state))
    });
    let Some(state) = state else {
        let refusal = Refusal::unknown(RefusalCode::TermChanged, "the primary changed while the write ran");
        return finish(board, ticket, Err(refusal), out);
    };
    board.counters.writes += 1;
    let session = session::after_write(&pending.request.session, &service, run.term, state.position);
    let answer = CallerAnswer { rows: done.rows, session, transaction: None, from_replica: false };
    finish(board, ticket, Ok(answer), out);
}

fn on_error(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    run: &Run,
    error: &WorkError,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = board.requests.get_mut(&ticket) else {
        return;
    };
    let route = &pending.admitted.route;
    let repeatable = route.access == Access::Read || route.repeatable;
    let allowed = repeatable || retry::verdict(error) == Verdict::NotRun;
    let more = retry::is_transient(error) && allowed && pending.attempts < retry::MAX_ATTEMPTS;
    if !more || !board.retry_budget.spend() {
        return finish(board, ticket, Err(retry::refusal(error)), out);
    }
    pending.tried.push(run.endpoint.clone());
    let until = retry::next_attempt_at(&mut board.random, now, pending.attempts);
    board.counters.retries += 1;
    park(board, ticket, until);
}

/// Carries requests forward as time passes: tokens, deadlines, next attempts.
pub fn on_tick(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    for (ticket, decision) in quota::released(&mut board.quota, now) {
        on_token(board, now, ticket, decision, out);
    }
    let expired: Vec<Ticket> = tickets(board, |pending| now >= pending.deadline);
    for ticket in expired {
        expire(board, ticket, out);
    }
    let due = tickets(board, |pending| matches!(pending.stage, Stage::Parked { until } if now >= until));
    for ticket in due {
        route(board, now, ticket, out);
    }
}

fn tickets(board: &Board, wanted: impl Fn(&Pending) -> bool) -> Vec<Ticket> {
    board.requests.iter().filter(|pending| wanted(pending)).map(|pending| pending.ticket).collect()
}

fn expire(board: &mut Board, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(pending) = board.requests.get(&ticket) else {
        return;
    };
    let refusal = match &pending.stage {
        Stage::AwaitingToken => Refusal::not_run(RefusalCode::OverRate, "no token came before the deadline"),
        Stage::Parked { .. } => {
            Refusal::not_run(RefusalCode::NoEndpoint, "no endpoint could serve it in time")
        }
        Stage::Queued(_) => Refusal::not_run(RefusalCode::DeadlineExceeded, "it waited until its deadline"),
        Stage::Running(_) => Refusal::unknown(RefusalCode::DeadlineExceeded, "it ran until its deadline"),
    };
    leave_queue(board, ticket);
    finish(board, ticket, Err(refusal), out);
}

fn leave_queue(board: &mut Board, ticket: Ticket) {
    let Some(Pending { stage: Stage::Queued(name), .. }) = board.requests.get(&ticket) else {
        return;
    };
    if let Some(endpoint) = board.pool.endpoints.get_mut(name) {
        endpoint.queue.remove(ticket);
    }
}

/// Nobody waits for the answer any more: a request that has not started never does.
pub fn on_caller_gone(board: &mut Board, ticket: Ticket) {
    leave_queue(board, ticket);
    board.requests.remove(&ticket);
}

/// Takes the news that a connection is open.
pub fn on_opened(board: &mut Board, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
    let Some(name) = board.pool.opened(now, connection) else {
        return;
    };
    board.counters.connections_opened += 1;
    pump(board, now, &name, out);
}

/// Takes the news that a connection is gone.
pub fn on_closed(board: &mut Board, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
    let Some(connection) = board.pool.closed(now, connection) else {
        return;
    };
    board.counters.connections_closed += 1;
    if let ConnectionState::Busy { work, ticket: Some(ticket), .. } = connection.state {
        on_outcome(board, now, ticket, work, Err(WorkError::LostInCommit), out);
    }
    if connection.state == ConnectionState::Opening {
        park_queue(board, now, &connection.endpoint);
    }
    pump(board, now, &connection.endpoint, out);
}

/// Has the requests of an endpoint that can't be reached routed again, unless another connection to it is left.
fn park_queue(board: &mut Board, now: Instant, name: &EndpointName) {
    let Some(endpoint) = board.pool.endpoints.get_mut(name) else {
        return;
    };
    if endpoint.connections > 0 {
        return;
    }
    let waiting = endpoint.queue.drain();
    for ticket in waiting {
        let until = now + Duration::from_millis(REROUTE_INTERVAL_MS);
        park(board, ticket, until);
    }
}

fn finish(board: &mut Board, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    if board.requests.remove(&ticket).is_none() {
        return;
    }
    answer(board, ticket, result, out);
}

fn answer(board: &mut Board, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    board.counters.count_result(&result);
    out.push(Effect::Answer(ticket, Box::new(result)));
}
