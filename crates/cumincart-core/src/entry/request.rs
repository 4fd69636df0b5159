//! A request's way from its arrival to its answer.

use {
    super::{
        Core, Effect, Ticket,
        admission::{self, Admitted},
        dispatch, drain,
        quota::{self, QuotaDecision},
        transaction,
    },
    crate::endpoint_command::{Claim, CommandId, ConnectionId},
    cumincart_protocol::{
        lists::Access,
        name::EndpointName,
        number::Term,
        refusal::{Refusal, RefusalCode},
        request::{Call, CallerRequest, CallerResult, Operation},
        sorted::Keyed,
        time::Instant,
    },
    std::time::Duration,
};

/// A request that has no answer yet and is not part of an open transaction.
#[derive(Debug)]
pub struct Pending {
    /// Its identity.
    pub ticket: Ticket,
    /// The request.
    pub request: Box<CallerRequest>,
    /// What its key and plan allow.
    pub admitted: Admitted,
    /// What it asks for.
    pub kind: Kind,
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

/// What a pending request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// To run one statement on its own.
    Run,
    /// To begin a transaction.
    Begin,
}

/// How far a request has got.
#[derive(Debug)]
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
    pub work: CommandId,
    /// The group's term when it was sent.
    pub term: Term,
}

/// Takes a caller's request.
pub fn on_request(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    out: &mut Vec<Effect>,
) {
    core.counters.requests += 1;
    match request.operation.clone() {
        Operation::Run(call) => take_call(core, now, ticket, request, &call, Kind::Run, out),
        Operation::Begin(call) => take_call(core, now, ticket, request, &call, Kind::Begin, out),
        Operation::Within(id, call) => transaction::on_within(core, now, ticket, request, &id, &call, out),
        Operation::Commit(id) => transaction::on_commit(core, now, ticket, request, &id, out),
        Operation::Rollback(id) => transaction::on_rollback(core, now, ticket, request, &id, out),
    }
}

fn take_call(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    call: &Call,
    kind: Kind,
    out: &mut Vec<Effect>,
) {
    if let Some(refusal) = drain::refusal(core, now, kind) {
        return answer(core, ticket, Err(refusal), out);
    }
    let admitted = match admission::admit(core, now, &request, call) {
        Ok(admitted) => admitted,
        Err(refusal) => return answer(core, ticket, Err(refusal), out),
    };
    if let Some(refusal) = unsuitable(&admitted, &request, kind) {
        return answer(core, ticket, Err(refusal), out);
    }
    core.retry_budget.earn();
    let deadline = deadline(now, &request, admitted.route.deadline_ms);
    let pending = Pending {
        ticket,
        request,
        admitted,
        kind,
        deadline,
        stage: Stage::AwaitingToken,
        attempts: 0,
        tried: Vec::new(),
        missed: false,
    };
    take_token(core, now, pending, out);
}

/// The earlier of the route's deadline and the caller's own.
pub fn deadline(now: Instant, request: &CallerRequest, route_deadline_ms: u64) -> Instant {
    let deadline_ms = request.deadline_ms.unwrap_or(u64::MAX).min(route_deadline_ms);
    now + Duration::from_millis(deadline_ms)
}

fn unsuitable(admitted: &Admitted, request: &CallerRequest, kind: Kind) -> Option<Refusal> {
    if kind == Kind::Begin && !admitted.route.transaction {
        return Some(Refusal::not_run(RefusalCode::BadRequest, "this route does not allow transactions"));
    }
    needs_request_id(admitted, request).then(|| {
        let message = "this route's requests may not be repeated: send a request id";
        Refusal::not_run(RefusalCode::RequestIdMissing, message)
    })
}

fn needs_request_id(admitted: &Admitted, request: &CallerRequest) -> bool {
    let once = admitted.route.access == Access::Write && !admitted.route.repeatable;
    once && request.request_id.is_none()
}

/// The claim that a write leaves; none where the route's requests may be repeated.
pub fn claim(admitted: &Admitted, request: &CallerRequest) -> Option<Claim> {
    if admitted.route.access == Access::Read || admitted.route.repeatable {
        return None;
    }
    let request_id = request.request_id.clone()?;
    Some(Claim { organisation: admitted.organisation.clone(), request_id })
}

fn take_token(core: &mut Core, now: Instant, pending: Pending, out: &mut Vec<Effect>) {
    let ticket = pending.ticket;
    let deadline = pending.deadline;
    let organisation = pending.admitted.organisation.clone();
    core.requests.insert(pending);
    let Some(organisation) = organisation else {
        return dispatch::route(core, now, ticket, out);
    };
    let decision = quota::acquire(&mut core.quota, now, &organisation, ticket, deadline);
    on_token(core, now, ticket, decision, out);
}

fn on_token(core: &mut Core, now: Instant, ticket: Ticket, decision: QuotaDecision, out: &mut Vec<Effect>) {
    match decision {
        QuotaDecision::Waiting => {}
        QuotaDecision::Admitted => dispatch::route(core, now, ticket, out),
        QuotaDecision::Refused { retry_after_ms } => {
            let refusal = Refusal::not_run(RefusalCode::OverRate, "the organisation is over its rate")
                .retry_after_ms(retry_after_ms);
            finish(core, ticket, Err(refusal), out);
        }
    }
}

/// Carries requests forward as time passes: tokens, deadlines, next attempts.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    release_tokens(core, now, out);
    for ticket in tickets(core, |pending| now >= pending.deadline) {
        expire(core, ticket, out);
    }
    for ticket in tickets(core, |pending| matches!(pending.stage, Stage::Parked { until } if now >= until)) {
        dispatch::route(core, now, ticket, out);
    }
}

/// Goes on with the requests that a token has reached.
pub fn release_tokens(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    for (ticket, decision) in quota::take_decisions(&mut core.quota, now) {
        on_token(core, now, ticket, decision, out);
    }
}

/// The pending requests that a condition holds for.
pub fn tickets(core: &Core, wanted: impl Fn(&Pending) -> bool) -> Vec<Ticket> {
    core.requests.iter().filter(|pending| wanted(pending)).map(|pending| pending.ticket).collect()
}

fn expire(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let refusal = match &pending.stage {
        Stage::AwaitingToken => Refusal::not_run(RefusalCode::OverRate, "no token came before the deadline"),
        Stage::Parked { .. } => {
            Refusal::not_run(RefusalCode::NoEndpoint, "no endpoint could serve it in time")
        }
        Stage::Queued(_) => Refusal::not_run(RefusalCode::DeadlineExceeded, "it waited until its deadline"),
        Stage::Running(_) => expired_running(pending),
    };
    withdraw(core, ticket, out);
    finish(core, ticket, Err(refusal), out);
}

fn expired_running(pending: &Pending) -> Refusal {
    match pending.kind {
        // The connection is closed without a commit, so the endpoint rolls back.
        Kind::Begin => {
            Refusal::not_run(RefusalCode::DeadlineExceeded, "the transaction did not begin in time")
        }
        Kind::Run => Refusal::unknown(RefusalCode::DeadlineExceeded, "it ran until its deadline"),
    }
}

/// Nobody waits for the answer any more: a request that has not started never does, and a write that runs ends.
pub fn on_caller_gone(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    withdraw(core, ticket, out);
    core.requests.remove(&ticket);
    core.replications.remove(&ticket);
}

/// Takes a request out of where it stands, without an answer.
fn withdraw(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    match &pending.stage {
        Stage::AwaitingToken => quota::cancel(&mut core.quota, ticket),
        Stage::Queued(name) => {
            if let Some(endpoint) = core.pool.endpoints.get_mut(name) {
                endpoint.queue.remove(ticket);
            }
        }
        Stage::Running(run) if pending.kind == Kind::Begin => core.pool.close(run.connection, out),
        Stage::Parked { .. } | Stage::Running(_) => {}
    }
}

/// Ends a request with its answer.
pub fn finish(core: &mut Core, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    if core.requests.remove(&ticket).is_none() {
        return;
    }
    answer(core, ticket, result, out);
}

/// Answers and counts.
pub fn answer(core: &mut Core, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    core.counters.count_result(&result);
    out.push(Effect::Answer(ticket, Box::new(result)));
}
