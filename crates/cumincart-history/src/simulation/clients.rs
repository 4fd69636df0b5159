//! Clients: sessions that use any entry instance, behind a load balancer.

use {
    super::{
        ORGANISATIONS, SERVICES, World,
        event::{Event, ProcessRun},
        lists,
        network::CALLER_LATENCY,
    },
    crate::{
        history::{Asked, Ended, Request, RequestNumber, TransactionNumber},
        mutation::Mutation,
    },
    cumincart_core::entry::{Ticket, is_ready},
    cumincart_protocol::{
        request::{
            Argument, Call as RouteCall, CallerRequest, CallerResult, Operation, RequestId, TransactionId,
            Value,
        },
        session::Session as Seen,
        time::Instant,
        verdict::Verdict,
    },
    std::time::Duration,
};

/// The time after which a client stops waiting for an answer.
const PATIENCE: Duration = Duration::from_millis(4_000);

/// The interval between two health checks by the load balancer, in milliseconds.
const HEALTH_INTERVAL_MS: u64 = 200;

/// The maximum number of further retries after the first retry of a record with unknown outcome.
const RESENDS: u32 = 6;

/// The destination of an answer.
#[derive(Debug, Clone, Copy)]
pub enum Origin {
    /// A client.
    Caller(RequestNumber),
    /// Another entry instance, which forwarded the request.
    Entry { entry: usize, run: ProcessRun, ticket: Ticket },
}

/// A request in flight to an entry instance.
#[derive(Debug)]
pub struct Call {
    pub entry: usize,
    pub origin: Origin,
    pub request: Box<CallerRequest>,
}

/// The platform's load balancer, which checks entry instances periodically and sends clients only to ready ones.
#[derive(Debug, Default)]
pub struct Balancer {
    ready: Vec<usize>,
    looked_at: Option<Instant>,
}

/// The next step of a session.
#[derive(Debug, Clone)]
enum Plan {
    /// Send a random operation.
    Free,
    /// Retry a record with its request id.
    Resend { id: String, left: u32 },
    /// Continue a transaction.
    Transaction { number: TransactionNumber, id: TransactionId, writes: u32 },
}

/// A client session.
#[derive(Debug)]
pub struct Session {
    organisation: usize,
    key: usize,
    service: usize,
    seen: Seen,
    value: i64,
    plan: Plan,
    waits_for: Option<RequestNumber>,
    records: u64,
}

/// Returns the sessions, distributed over organisations, keys and services.
pub fn sessions() -> Vec<Session> {
    (0..super::SESSIONS)
        .map(|index| Session {
            organisation: index % ORGANISATIONS,
            key: (index / ORGANISATIONS) % lists::KEYS,
            service: index % SERVICES,
            seen: Seen::default(),
            value: 0,
            plan: Plan::Free,
            waits_for: None,
            records: 0,
        })
        .collect()
}

fn own_key(index: usize) -> String {
    format!("session-{index}")
}

impl World {
    fn pick_entry(&mut self) -> Option<usize> {
        let is_due = self
            .balancer
            .looked_at
            .is_none_or(|at| self.now.saturating_since(at) >= Duration::from_millis(HEALTH_INTERVAL_MS));
        if is_due {
            self.balancer.looked_at = Some(self.now);
            self.balancer.ready = (0..self.entries.len()).filter(|index| self.looks_ready(*index)).collect();
        }
        if self.balancer.ready.is_empty() {
            return None;
        }
        let choice = self.below(self.balancer.ready.len());
        Some(self.balancer.ready[choice])
    }

    fn looks_ready(&self, index: usize) -> bool {
        let node = &self.entries[index];
        let now = node.clock.read(self.now);
        node.process.as_ref().is_some_and(|process| is_ready(&process.core, now))
    }

    /// Sends a session's next request.
    pub(super) fn wake(&mut self, index: usize) {
        if self.sessions[index].waits_for.is_some() {
            return;
        }
        let Some(entry) = self.pick_entry() else {
            self.wake_later(index);
            return;
        };
        let asked = self.next_asked(index);
        self.send(index, entry, asked);
    }

    fn wake_later(&mut self, index: usize) {
        // The sessions of the third organisation send more requests than its rate limit allows.
        let bound = if self.sessions[index].organisation == 2 { 12 } else { 90 };
        let pause = 2 + self.below(bound) as u64;
        self.after(Duration::from_millis(pause), Event::Wake(index));
    }

    fn next_asked(&mut self, index: usize) -> Asked {
        match self.sessions[index].plan.clone() {
            Plan::Resend { id, .. } => Asked::Record { id },
            Plan::Transaction { number, writes, .. } => self.next_in_transaction(index, number, writes),
            Plan::Free => self.next_free(index),
        }
    }

    fn next_in_transaction(&mut self, index: usize, number: TransactionNumber, writes: u32) -> Asked {
        if writes < 2 {
            let key = format!("transaction-{index}-{writes}");
            return Asked::Within { transaction: number, key, value: self.sessions[index].value };
        }
        if self.chance(75) { Asked::Commit(number) } else { Asked::Rollback(number) }
    }

    fn next_free(&mut self, index: usize) -> Asked {
        let roll = self.below(100);
        let session = &mut self.sessions[index];
        match roll {
            0..35 => Asked::Get { key: own_key(index) },
            35..50 => {
                let other = self.below(super::SESSIONS);
                Asked::Get { key: own_key(other) }
            }
            50..75 => {
                session.value += 1;
                Asked::Put { key: own_key(index), value: session.value }
            }
            75..87 => {
                session.records += 1;
                Asked::Record { id: format!("record-{index}-{}", session.records) }
            }
            87..95 => {
                session.value += 1;
                Asked::Begin(TransactionNumber(self.history.requests.len() as u64 + 1))
            }
            _ => Asked::OpenGet { key: own_key(index) },
        }
    }

    fn send(&mut self, index: usize, entry: usize, asked: Asked) {
        let number = self.next_request_number();
        let request = self.caller_request(index, number, &asked);
        let session = &mut self.sessions[index];
        session.waits_for = Some(number);
        let organisation = request.key_digest.map(|_| session.organisation);
        self.history.requests.push(Request {
            number,
            session: index,
            organisation,
            service: session.service,
            key: session.key,
            entry,
            asked,
            sent_at: self.now,
            answered_at: None,
            ended: None,
            ended_at: None,
        });
        let call = Call { entry, origin: Origin::Caller(number), request: Box::new(request) };
        self.after(CALLER_LATENCY, Event::Call(Box::new(call)));
        self.after(PATIENCE, Event::GiveUp(number));
    }

    fn caller_request(&self, index: usize, number: RequestNumber, asked: &Asked) -> CallerRequest {
        let session = &self.sessions[index];
        let key =
            if self.is_mutated(Mutation::KeepWithdrawnKeys) { self.valid_key(session) } else { session.key };
        let digest = lists::key_digest(session.organisation, key);
        let transaction = match &session.plan {
            Plan::Transaction { id, .. } => Some(id.clone()),
            Plan::Free | Plan::Resend { .. } => None,
        };
        let call = |route: &str, key: &str, value: Option<i64>| {
            route_call(session.service, route, number, key, value)
        };
        let (operation, request_id) = match asked {
            Asked::Put { key, value } => (Operation::Run(call("put", key, Some(*value))), None),
            Asked::Record { id } => {
                (Operation::Run(call("record", id, Some(1))), Some(RequestId(id.as_str().into())))
            }
            Asked::Get { key } => (Operation::Run(call("get", key, None)), None),
            Asked::OpenGet { key } => (Operation::Run(call("open-get", key, None)), None),
            Asked::Begin(_) => (Operation::Begin(begin_call(session.service)), None),
            Asked::Within { key, value, .. } => {
                let call = call("put", key, Some(*value));
                (transaction.map_or(Operation::Run(call.clone()), |id| Operation::Within(id, call)), None)
            }
            Asked::Commit(_) => (Operation::Commit(transaction.unwrap_or_else(no_transaction)), None),
            Asked::Rollback(_) => (Operation::Rollback(transaction.unwrap_or_else(no_transaction)), None),
        };
        let is_open = matches!(asked, Asked::OpenGet { .. });
        CallerRequest {
            key_digest: (!is_open).then_some(digest),
            session: if self.is_mutated(Mutation::DropSessions) {
                Seen::default()
            } else {
                session.seen.clone()
            },
            request_id,
            operation,
            deadline_ms: None,
        }
    }

    /// Returns the index of a key of the session's organisation that is not withdrawn.
    fn valid_key(&self, session: &Session) -> usize {
        let is_withdrawn = |key: usize| {
            let subject = session.organisation * lists::KEYS + key;
            self.history.keys_withdrawn.iter().any(|span| span.subject == subject && span.until.is_none())
        };
        if is_withdrawn(session.key) { 1 - session.key } else { session.key }
    }

    /// Records that an entry instance answered a client's request, and sends the answer to the client.
    pub(super) fn answer_caller(&mut self, number: RequestNumber, result: CallerResult) {
        let now = self.now;
        if let Some(request) = self.request_mut(number) {
            request.answered_at = Some(now);
        }
        self.after(CALLER_LATENCY, Event::Answered(number, Box::new(result)));
    }

    /// Closes a client's connection; the client notices it after a delay.
    pub(super) fn break_call(&mut self, number: RequestNumber, span: Duration) {
        self.after(span, Event::GiveUp(number));
    }

    fn request_mut(&mut self, number: RequestNumber) -> Option<&mut Request> {
        let index = usize::try_from(number.0).ok()?.checked_sub(1)?;
        self.history.requests.get_mut(index)
    }

    /// Delivers an answer to its client.
    pub(super) fn answer_arrives(&mut self, number: RequestNumber, result: &CallerResult) {
        let ended = ended(result);
        let Some(session) = self.end_request(number, ended) else { return };
        match result {
            Ok(answer) => self.sessions[session].seen = answer.session.clone(),
            Err(refusal) => {
                let token = refusal.session.as_ref().and_then(|token| Seen::decode(token).ok());
                if let Some(seen) = token {
                    self.sessions[session].seen = seen;
                }
            }
        }
        self.plan_next(session, number, result);
        self.wake_later(session);
    }

    /// Ends a request without an answer after a timeout or a lost connection.
    pub(super) fn give_up(&mut self, number: RequestNumber) {
        let Some(session) = self.end_request(number, Ended::Broken) else { return };
        self.sessions[session].plan = match self.asked(number) {
            Some(Asked::Record { id }) => resend(&self.sessions[session].plan, id),
            _ => Plan::Free,
        };
        self.wake_later(session);
    }

    fn end_request(&mut self, number: RequestNumber, ended: Ended) -> Option<usize> {
        let now = self.now;
        let request = self.request_mut(number)?;
        if request.ended.is_some() {
            return None;
        }
        request.ended = Some(ended);
        request.ended_at = Some(now);
        let session = request.session;
        self.sessions[session].waits_for = None;
        Some(session)
    }

    fn asked(&self, number: RequestNumber) -> Option<Asked> {
        self.history.request(number).map(|request| request.asked.clone())
    }

    fn plan_next(&mut self, session: usize, number: RequestNumber, result: &CallerResult) {
        let Some(asked) = self.asked(number) else { return };
        let plan = &self.sessions[session].plan;
        let next = match (asked, result) {
            (Asked::Begin(number), Ok(answer)) => match &answer.transaction {
                Some(id) => Plan::Transaction { number, id: id.clone(), writes: 0 },
                None => Plan::Free,
            },
            (Asked::Within { .. }, Ok(_)) => match plan.clone() {
                Plan::Transaction { number, id, writes } => {
                    Plan::Transaction { number, id, writes: writes + 1 }
                }
                other => other,
            },
            (Asked::Record { id }, Err(refusal)) if refusal.verdict != Verdict::Ran => resend(plan, id),
            _ => Plan::Free,
        };
        self.sessions[session].plan = next;
    }
}

fn resend(plan: &Plan, id: String) -> Plan {
    match plan {
        Plan::Resend { left: 0, .. } => Plan::Free,
        Plan::Resend { left, .. } => Plan::Resend { id, left: left - 1 },
        _ => Plan::Resend { id, left: RESENDS },
    }
}

fn no_transaction() -> TransactionId {
    TransactionId {
        instance: "none".into(),
        incarnation: cumincart_protocol::number::Incarnation(0),
        number: 0,
    }
}

fn begin_call(service: usize) -> RouteCall {
    RouteCall {
        service: lists::service_name(service),
        route: "put".into(),
        sql: None,
        parameters: Vec::new(),
        arguments: Vec::new(),
    }
}

fn route_call(
    service: usize,
    route: &str,
    number: RequestNumber,
    key: &str,
    value: Option<i64>,
) -> RouteCall {
    let argument = |name: &str, value: Value| Argument { name: name.into(), value };
    let mut arguments = vec![
        argument("request", Value::Int(i64::try_from(number.0).unwrap_or(i64::MAX))),
        argument("key", Value::Text(key.into())),
    ];
    arguments.extend(value.map(|value| argument("value", Value::Int(value))));
    RouteCall { arguments, route: route.into(), ..begin_call(service) }
}

fn ended(result: &CallerResult) -> Ended {
    match result {
        Ok(answer) => {
            let row = answer.rows.rows.first();
            let cell = |index: usize| match row.and_then(|row| row.get(index)) {
                Some(Value::Int(value)) => Some(*value),
                _ => None,
            };
            let echo = cell(0).and_then(|number| u64::try_from(number).ok()).map(RequestNumber);
            Ended::Answered { echo, value: cell(1), from_replica: answer.from_replica }
        }
        Err(refusal) => Ended::Refused { verdict: refusal.verdict, code: refusal.code },
    }
}
