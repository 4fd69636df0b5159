//! Clients: sessions that use any entry instance, behind a load balancer.

use {
    super::{
        ORGANISATIONS, SERVICES, Simulation,
        event::{Event, ProcessIncarnation},
        lists,
        network::CLIENT_LATENCY,
    },
    crate::{
        history::{ClientOperation, Request, RequestNumber, RequestOutcome, TransactionNumber},
        mutation::Mutation,
    },
    cumincart_core::entry::{Ticket, is_ready},
    cumincart_protocol::{
        request::{
            Argument, Call as RouteCall, CallerRequest, CallerResult, Operation, RequestId, TransactionId,
            Value,
        },
        session::Session as SessionState,
        time::Instant,
        verdict::Verdict,
    },
    std::time::Duration,
};

/// The time after which a client stops waiting for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The interval between two health checks by the load balancer, in milliseconds.
const HEALTH_CHECK_INTERVAL_MS: u64 = 200;

/// The maximum number of further retries after the first retry of a record with unknown outcome.
const MAX_FURTHER_RETRIES: u32 = 6;

/// The destination of an answer.
#[derive(Debug, Clone, Copy)]
pub enum Origin {
    /// A client.
    Client(RequestNumber),
    /// Another entry instance, which forwarded the request.
    Entry { entry: usize, incarnation: ProcessIncarnation, ticket: Ticket },
}

/// A request in flight to an entry instance.
#[derive(Debug)]
pub struct InFlightRequest {
    pub entry: usize,
    pub origin: Origin,
    pub request: Box<CallerRequest>,
}

/// The platform's load balancer, which checks entry instances periodically and sends clients only to ready ones.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    ready: Vec<usize>,
    checked_at: Option<Instant>,
}

/// The next step of a session.
#[derive(Debug, Clone)]
enum NextStep {
    /// Send a random operation.
    Any,
    /// Retry a record with its request id.
    Retry { id: String, left: u32 },
    /// Continue a transaction.
    Transaction { number: TransactionNumber, id: TransactionId, writes: u32 },
}

/// A client session.
#[derive(Debug)]
pub struct Session {
    organisation: usize,
    key: usize,
    service: usize,
    state: SessionState,
    value: i64,
    next_step: NextStep,
    pending_request: Option<RequestNumber>,
    records: u64,
}

/// Returns the sessions, distributed over organisations, keys and services.
pub fn sessions(count: usize) -> Vec<Session> {
    (0..count)
        .map(|index| Session {
            organisation: index % ORGANISATIONS,
            key: (index / ORGANISATIONS) % lists::KEYS,
            service: index % SERVICES,
            state: SessionState::default(),
            value: 0,
            next_step: NextStep::Any,
            pending_request: None,
            records: 0,
        })
        .collect()
}

fn own_key(index: usize) -> String {
    format!("session-{index}")
}

impl Simulation {
    fn pick_entry(&mut self) -> Option<usize> {
        let is_due = self.load_balancer.checked_at.is_none_or(|at| {
            self.now.saturating_since(at) >= Duration::from_millis(HEALTH_CHECK_INTERVAL_MS)
        });
        if is_due {
            self.load_balancer.checked_at = Some(self.now);
            self.load_balancer.ready =
                (0..self.entries.len()).filter(|index| self.is_entry_ready(*index)).collect();
        }
        if self.load_balancer.ready.is_empty() {
            return None;
        }
        let choice = self.random_below(self.load_balancer.ready.len());
        Some(self.load_balancer.ready[choice])
    }

    fn is_entry_ready(&self, index: usize) -> bool {
        let node = &self.entries[index];
        let now = node.clock.read(self.now);
        node.process.as_ref().is_some_and(|process| is_ready(&process.core, now))
    }

    /// Sends a session's next request.
    pub(super) fn send_next_request(&mut self, index: usize) {
        if self.sessions[index].pending_request.is_some() {
            return;
        }
        let Some(entry) = self.pick_entry() else {
            self.schedule_next_request(index);
            return;
        };
        let operation = self.next_operation(index);
        self.send(index, entry, operation);
    }

    fn schedule_next_request(&mut self, index: usize) {
        // The sessions of the third organisation send more requests than its rate limit allows.
        let bound = if self.sessions[index].organisation == 2 { 12 } else { 90 };
        let pause = (2 + self.random_below(bound) as u64) * self.world.pause_factor;
        self.after(Duration::from_millis(pause), Event::SendNextRequest(index));
    }

    fn next_operation(&mut self, index: usize) -> ClientOperation {
        match self.sessions[index].next_step.clone() {
            NextStep::Retry { id, .. } => ClientOperation::Record { id },
            NextStep::Transaction { number, writes, .. } => {
                self.next_transaction_operation(index, number, writes)
            }
            NextStep::Any => self.random_operation(index),
        }
    }

    fn next_transaction_operation(
        &mut self,
        index: usize,
        number: TransactionNumber,
        writes: u32,
    ) -> ClientOperation {
        if writes < 2 {
            let key = format!("transaction-{index}-{writes}");
            return ClientOperation::PutInTransaction {
                transaction: number,
                key,
                value: self.sessions[index].value,
            };
        }
        if self.random_chance(75) {
            ClientOperation::Commit(number)
        } else {
            ClientOperation::Rollback(number)
        }
    }

    fn random_operation(&mut self, index: usize) -> ClientOperation {
        let roll = self.random_below(100);
        let other_count = self.sessions.len();
        let session = &mut self.sessions[index];
        match roll {
            0..35 => ClientOperation::Get { key: own_key(index) },
            35..50 => {
                let other = self.random_below(other_count);
                ClientOperation::Get { key: own_key(other) }
            }
            50..75 => {
                session.value += 1;
                ClientOperation::Put { key: own_key(index), value: session.value }
            }
            75..87 => {
                session.records += 1;
                ClientOperation::Record { id: format!("record-{index}-{}", session.records) }
            }
            87..95 => {
                session.value += 1;
                ClientOperation::Begin(TransactionNumber(self.history.requests.len() as u64 + 1))
            }
            _ => ClientOperation::OpenGet { key: own_key(index) },
        }
    }

    fn send(&mut self, index: usize, entry: usize, operation: ClientOperation) {
        let number = self.next_request_number();
        let request = self.client_request(index, number, &operation);
        let session = &mut self.sessions[index];
        session.pending_request = Some(number);
        let organisation = request.key_digest.map(|_| session.organisation);
        self.history.requests.push(Request {
            number,
            session: index,
            organisation,
            service: session.service,
            key: session.key,
            entry,
            operation,
            sent_at: self.now,
            answered_at: None,
            outcome: None,
            ended_at: None,
        });
        let in_flight = InFlightRequest { entry, origin: Origin::Client(number), request: Box::new(request) };
        self.after(CLIENT_LATENCY, Event::RequestArrives(Box::new(in_flight)));
        self.after(CLIENT_TIMEOUT, Event::AbandonRequest(number));
    }

    fn client_request(
        &self,
        index: usize,
        number: RequestNumber,
        operation: &ClientOperation,
    ) -> CallerRequest {
        let session = &self.sessions[index];
        let key = if self.is_mutated(Mutation::AcceptWithdrawnKeys) {
            self.valid_key(session)
        } else {
            session.key
        };
        let digest = lists::key_digest(session.organisation, key);
        let transaction = match &session.next_step {
            NextStep::Transaction { id, .. } => Some(id.clone()),
            NextStep::Any | NextStep::Retry { .. } => None,
        };
        let call = |route: &str, key: &str, value: Option<i64>| {
            route_call(session.service, route, number, key, value)
        };
        let (route_operation, request_id) = match operation {
            ClientOperation::Put { key, value } => (Operation::Run(call("put", key, Some(*value))), None),
            ClientOperation::Record { id } => {
                (Operation::Run(call("record", id, Some(1))), Some(RequestId(id.as_str().into())))
            }
            ClientOperation::Get { key } => (Operation::Run(call("get", key, None)), None),
            ClientOperation::OpenGet { key } => (Operation::Run(call("open-get", key, None)), None),
            ClientOperation::Begin(_) => (Operation::Begin(begin_call(session.service)), None),
            ClientOperation::PutInTransaction { key, value, .. } => {
                let call = call("put", key, Some(*value));
                (transaction.map_or(Operation::Run(call.clone()), |id| Operation::Within(id, call)), None)
            }
            ClientOperation::Commit(_) => {
                (Operation::Commit(transaction.unwrap_or_else(no_transaction)), None)
            }
            ClientOperation::Rollback(_) => {
                (Operation::Rollback(transaction.unwrap_or_else(no_transaction)), None)
            }
        };
        let is_open = matches!(operation, ClientOperation::OpenGet { .. });
        CallerRequest {
            key_digest: (!is_open).then_some(digest),
            session: if self.is_mutated(Mutation::DropSessions) {
                SessionState::default()
            } else {
                session.state.clone()
            },
            request_id,
            operation: route_operation,
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
    pub(super) fn answer_client(&mut self, number: RequestNumber, result: CallerResult) {
        let now = self.now;
        if let Some(request) = self.request_mut(number) {
            request.answered_at = Some(now);
        }
        self.after(CLIENT_LATENCY, Event::AnswerArrives(number, Box::new(result)));
    }

    /// Closes a client's connection; the client notices it after a delay.
    pub(super) fn lose_client_connection(&mut self, number: RequestNumber, delay: Duration) {
        self.after(delay, Event::AbandonRequest(number));
    }

    fn request_mut(&mut self, number: RequestNumber) -> Option<&mut Request> {
        let index = usize::try_from(number.0).ok()?.checked_sub(1)?;
        self.history.requests.get_mut(index)
    }

    /// Delivers an answer to its client.
    pub(super) fn answer_arrives(&mut self, number: RequestNumber, result: &CallerResult) {
        let outcome = request_outcome(result);
        let Some(session) = self.end_request(number, outcome) else { return };
        match result {
            Ok(answer) => self.sessions[session].state = answer.session.clone(),
            Err(refusal) => {
                let token = refusal.session.as_ref().and_then(|token| SessionState::decode(token).ok());
                if let Some(state) = token {
                    self.sessions[session].state = state;
                }
            }
        }
        self.choose_next_step(session, number, result);
        self.schedule_next_request(session);
    }

    /// Ends a request without an answer after a timeout or a lost connection.
    pub(super) fn abandon_request(&mut self, number: RequestNumber) {
        let Some(session) = self.end_request(number, RequestOutcome::NoAnswer) else { return };
        self.sessions[session].next_step = match self.operation(number) {
            Some(ClientOperation::Record { id }) => retry_record(&self.sessions[session].next_step, id),
            _ => NextStep::Any,
        };
        self.schedule_next_request(session);
    }

    fn end_request(&mut self, number: RequestNumber, outcome: RequestOutcome) -> Option<usize> {
        let now = self.now;
        let request = self.request_mut(number)?;
        if request.outcome.is_some() {
            return None;
        }
        request.outcome = Some(outcome);
        request.ended_at = Some(now);
        let session = request.session;
        self.sessions[session].pending_request = None;
        Some(session)
    }

    fn operation(&self, number: RequestNumber) -> Option<ClientOperation> {
        self.history.request(number).map(|request| request.operation.clone())
    }

    fn choose_next_step(&mut self, session: usize, number: RequestNumber, result: &CallerResult) {
        let Some(operation) = self.operation(number) else { return };
        let next_step = &self.sessions[session].next_step;
        let next = match (operation, result) {
            (ClientOperation::Begin(number), Ok(answer)) => match &answer.transaction {
                Some(id) => NextStep::Transaction { number, id: id.clone(), writes: 0 },
                None => NextStep::Any,
            },
            (ClientOperation::PutInTransaction { .. }, Ok(_)) => match next_step.clone() {
                NextStep::Transaction { number, id, writes } => {
                    NextStep::Transaction { number, id, writes: writes + 1 }
                }
                other => other,
            },
            (ClientOperation::Record { id }, Err(refusal)) if refusal.verdict != Verdict::Ran => {
                retry_record(next_step, id)
            }
            _ => NextStep::Any,
        };
        self.sessions[session].next_step = next;
    }
}

fn retry_record(next_step: &NextStep, id: String) -> NextStep {
    match next_step {
        NextStep::Retry { left: 0, .. } => NextStep::Any,
        NextStep::Retry { left, .. } => NextStep::Retry { id, left: left - 1 },
        _ => NextStep::Retry { id, left: MAX_FURTHER_RETRIES },
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

fn request_outcome(result: &CallerResult) -> RequestOutcome {
    match result {
        Ok(answer) => {
            let row = answer.rows.rows.first();
            let cell = |index: usize| match row.and_then(|row| row.get(index)) {
                Some(Value::Int(value)) => Some(*value),
                _ => None,
            };
            let echo = cell(0).and_then(|number| u64::try_from(number).ok()).map(RequestNumber);
            RequestOutcome::Answered { echo, value: cell(1), from_replica: answer.from_replica }
        }
        Err(refusal) => RequestOutcome::Refused { verdict: refusal.verdict, code: refusal.code },
    }
}
