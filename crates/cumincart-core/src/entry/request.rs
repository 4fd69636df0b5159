//! The life cycle of a request, from its arrival to its answer.

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
        verdict::Verdict,
    },
    std::time::Duration,
};

/// A request without an answer that is not part of an open transaction.
#[derive(Debug)]
pub struct Pending {
    /// The request's ticket.
    pub ticket: Ticket,
    /// The request.
    pub request: Box<CallerRequest>,
    /// The result of admission.
    pub admitted: Admitted,
    /// The kind of request.
    pub kind: Kind,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The stage that the request has reached.
    pub stage: Stage,
    /// The number of attempts that were sent.
    pub attempts: u32,
    /// Whether an earlier attempt of a write may have been committed.
    pub may_have_run: bool,
    /// The endpoints of failed attempts, and stalled ones that a read was moved off. None is chosen again as a
    /// replica; the primary may be.
    pub tried: Vec<EndpointName>,
    /// Whether a replica was too stale to serve the request, so that only the primary is left.
    pub needs_primary: bool,
}

impl Keyed for Pending {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

/// The kind of a pending request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs a single statement.
    Run,
    /// Begins a transaction.
    Begin,
}

/// The stage of a pending request.
#[derive(Debug)]
pub enum Stage {
    /// Waits for a token of its organisation's rate.
    AwaitingToken,
    /// Waits to be routed: no endpoint is usable now, or the backoff of a retry runs.
    AwaitingRoute {
        /// When to route the request again.
        at: Instant,
    },
    /// Waits in the queue of this endpoint.
    Queued(EndpointName),
    /// An attempt is in flight.
    Running(Attempt),
}

/// An attempt that is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The connection.
    pub connection: ConnectionId,
    /// The id of the command.
    pub command_id: CommandId,
    /// The term of the group when the command was sent.
    pub term: Term,
}

/// Handles a caller's request.
pub fn on_request(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    out: &mut Vec<Effect>,
) {
    core.counters.requests += 1;
    match request.operation.clone() {
        Operation::Run(call) => accept_call(core, now, ticket, request, &call, Kind::Run, out),
        Operation::Begin(call) => accept_call(core, now, ticket, request, &call, Kind::Begin, out),
        Operation::Within(id, call) => {
            transaction::on_statement_request(core, now, ticket, request, &id, &call, out);
        }
        Operation::Commit(id) => transaction::on_commit(core, now, ticket, request, &id, out),
        Operation::Rollback(id) => transaction::on_rollback(core, now, ticket, request, &id, out),
    }
}

fn accept_call(
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
    if let Some(refusal) = route_refusal(&admitted, &request, kind) {
        return answer(core, ticket, Err(refusal), out);
    }
    core.retry_budget.deposit();
    let deadline = drain::cap_deadline(core, deadline(now, &request, admitted.route.deadline_ms));
    let pending = Pending {
        ticket,
        request,
        admitted,
        kind,
        deadline,
        stage: Stage::AwaitingToken,
        attempts: 0,
        may_have_run: false,
        tried: Vec::new(),
        needs_primary: false,
    };
    request_token(core, now, pending, out);
}

/// Returns the earlier of the route's deadline and the caller's own.
pub fn deadline(now: Instant, request: &CallerRequest, route_deadline_ms: u64) -> Instant {
    let deadline_ms = request.deadline_ms.unwrap_or(u64::MAX).min(route_deadline_ms);
    now + Duration::from_millis(deadline_ms)
}

fn route_refusal(admitted: &Admitted, request: &CallerRequest, kind: Kind) -> Option<Refusal> {
    if kind == Kind::Begin && !admitted.route.transaction {
        return Some(Refusal::not_run(RefusalCode::BadRequest, "this route does not allow transactions"));
    }
    needs_request_id(admitted, request).then(|| {
        let message = "this route's requests may not be repeated: send a request id";
        Refusal::not_run(RefusalCode::RequestIdMissing, message)
    })
}

fn needs_request_id(admitted: &Admitted, request: &CallerRequest) -> bool {
    let is_not_repeatable = admitted.route.access == Access::Write && !admitted.route.repeatable;
    is_not_repeatable && request.request_id.is_none()
}

/// Returns the claim that a write inserts; none for reads and for routes whose requests may be repeated.
pub fn claim(admitted: &Admitted, request: &CallerRequest) -> Option<Claim> {
    if admitted.route.access == Access::Read || admitted.route.repeatable {
        return None;
    }
    let request_id = request.request_id.clone()?;
    Some(Claim { organisation: admitted.organisation.clone(), request_id })
}

fn request_token(core: &mut Core, now: Instant, pending: Pending, out: &mut Vec<Effect>) {
    let ticket = pending.ticket;
    let deadline = pending.deadline;
    let organisation = pending.admitted.organisation.clone();
    core.requests.insert(pending);
    let Some(organisation) = organisation else {
        return dispatch::route(core, now, ticket, out);
    };
    let decision = quota::acquire(&mut core.quota, now, &organisation, ticket, deadline);
    on_quota_decision(core, now, ticket, decision, out);
}

fn on_quota_decision(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    decision: QuotaDecision,
    out: &mut Vec<Effect>,
) {
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

/// Handles a tick: quota decisions, deadlines and requests that are due to be routed again.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    apply_quota_decisions(core, now, out);
    for ticket in tickets_where(core, |pending| now >= pending.deadline) {
        expire(core, ticket, out);
    }
    for ticket in
        tickets_where(core, |pending| matches!(pending.stage, Stage::AwaitingRoute { at } if now >= at))
    {
        dispatch::route(core, now, ticket, out);
    }
}

/// Continues the requests that the quota has admitted or refused since the last call.
pub fn apply_quota_decisions(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    for (ticket, decision) in quota::take_decisions(&mut core.quota, now) {
        on_quota_decision(core, now, ticket, decision, out);
    }
}

/// Returns the tickets of the pending requests that match.
pub fn tickets_where(core: &Core, matches: impl Fn(&Pending) -> bool) -> Vec<Ticket> {
    core.requests.iter().filter(|pending| matches(pending)).map(|pending| pending.ticket).collect()
}

fn expire(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let refusal = match &pending.stage {
        Stage::AwaitingToken => Refusal::not_run(
            RefusalCode::OverRate,
            "the organisation is over its rate: no token was available before the deadline",
        ),
        Stage::AwaitingRoute { .. } => Refusal::not_run(
            RefusalCode::NoEndpoint,
            "no endpoint could serve the request before the deadline",
        ),
        Stage::Queued(_) => Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the deadline passed while the request was queued",
        ),
        Stage::Running(_) => running_refusal(pending),
    };
    cancel_wait(core, ticket, out);
    finish(core, ticket, Err(refusal), out);
}

fn running_refusal(pending: &Pending) -> Refusal {
    match pending.kind {
        // The connection is closed without a commit, so the endpoint rolls back.
        Kind::Begin => Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the transaction did not begin before the deadline",
        ),
        Kind::Run => Refusal::unknown(
            RefusalCode::DeadlineExceeded,
            "the deadline passed while the statement was running",
        ),
    }
}

/// Handles a caller's disconnect. A request that was not sent yet never runs, a statement in flight runs to
/// its end, and a transaction that is being opened is rolled back.
pub fn on_caller_disconnected(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    cancel_wait(core, ticket, out);
    core.requests.remove(&ticket);
    core.replications.remove(&ticket);
}

/// Cancels what a request waits for, without an answer: its place in a queue, or the opening of a
/// transaction.
fn cancel_wait(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
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
        Stage::Running(attempt) if pending.kind == Kind::Begin => core.pool.close(attempt.connection, out),
        Stage::AwaitingRoute { .. } | Stage::Running(_) => {}
    }
}

/// Removes a pending request and answers it. A refusal of the last attempt says nothing of an earlier one that may have run.
pub fn finish(core: &mut Core, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    let Some(pending) = core.requests.remove(&ticket) else {
        return;
    };
    let result = result.map_err(|refusal| match refusal.verdict {
        Verdict::NotRun if pending.may_have_run => Refusal { verdict: Verdict::Unknown, ..refusal },
        _ => refusal,
    });
    answer(core, ticket, result, out);
}

/// Answers a request and counts the result.
pub fn answer(core: &mut Core, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    core.counters.count_result(&result);
    out.push(Effect::Answer(ticket, Box::new(result)));
}
