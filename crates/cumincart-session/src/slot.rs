//! A slot at an endpoint, with the connection that is borrowed for it. Dropping a slot releases both.

use {
    crate::{
        driver::{Connection, Destination, Exchange, OpenFailure},
        engine::Engine,
        metrics::{Opened, OpenedLabels, PrepareOutcome, PreparedLabels},
        relay::{Relay, RelayFailure},
        session::NO_ORGANISATION,
        state::IdleConnection,
    },
    cumincart_core::{
        entry::usage,
        interactive::{
            command::{Command, EndpointError, EndpointErrorKind, Reply},
            failure::LinkFailure,
            held_statements::Assignment,
            pool::{self, ConnectionChoice, IdleInfo},
            primary_guarantee::PrimaryGuarantee,
            routing::LAGGING_BACKOFF_MS,
            session::{ConnectionState, Prepared, SessionState},
            statement::TransactionState,
        },
    },
    cumincart_protocol::{
        name::{EndpointName, OrganisationName, ServiceName},
        relay::RELAYED_STATEMENT,
        time::Instant,
    },
    slog::info,
    std::{sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::timeout_at},
};

/// The timeout for opening a connection or rolling back: enough for a round trip between regions, the endpoint's own
/// time and a lost packet.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct Borrowed {
    connection: Connection,
    /// The number of the connection in log lines.
    number: u64,
    organisation: OrganisationName,
    state: ConnectionState,
}

/// What proves that an endpoint was the primary when a request was sent to it, so that the log point in its answer
/// covers every commit acknowledged before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PrimaryProof {
    /// This instance holds a lease on the endpoint's term.
    TermLease,
    /// The endpoint begins a read-write transaction.
    ReadWriteBegin,
}

/// Returns the commands that prepare a statement under the name that was assigned to it.
fn prepare_commands(prepared: &Prepared, assignment: &Assignment) -> Vec<Command> {
    let released = assignment.released.iter().map(|name| Command::Deallocate { name: name.clone() });
    let prepare = Command::Prepare {
        name: assignment.name.clone(),
        access: prepared.access,
        shape: prepared.shape.clone(),
    };
    released.chain([prepare]).collect()
}

/// Returns whether the commands that were refused certainly did not run.
fn did_not_run(replies: &[Reply]) -> bool {
    let mut errors = replies.iter().filter_map(|reply| reply.result.as_ref().err());
    errors.all(|error| error.kind.guarantees_not_run())
}

/// Returns whether the endpoint began to run the command that it answered.
fn has_begun(reply: &Reply) -> bool {
    let is_refused =
        |error: &EndpointError| error.kind.guarantees_not_run() || error.kind == EndpointErrorKind::Malformed;
    !reply.result.as_ref().is_err_and(is_refused)
}

/// Returns the connection's name of the prepared statement that an exchange's commands execute.
fn executed_name(commands: &[Command]) -> Option<Arc<str>> {
    commands.iter().find_map(|command| match command {
        Command::Execute { name, .. } => Some(name.clone()),
        _ => None,
    })
}

/// Why a slot could not get a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// The connection could not be opened.
    Open(OpenFailure),
    /// The session's values could not be applied to the connection.
    Link(LinkFailure),
}

/// The right to run one statement or transaction at an endpoint.
#[derive(Debug)]
pub(crate) struct Slot {
    engine: Engine,
    pub(crate) service: ServiceName,
    pub(crate) endpoint: EndpointName,
    pub(crate) address: Arc<str>,
    /// Whether the endpoint was guaranteed to be the primary when the slot was acquired.
    pub(crate) is_primary: bool,
    acquired_at: Instant,
    /// The total duration of the slot's exchanges.
    busy: Duration,
    borrowed: Option<Borrowed>,
    /// The route through other instances; `None` if this instance's own connections are used.
    relay: Option<Relay>,
    /// Whether no transaction is open and no reply is outstanding, so that the connection may return to the pool.
    is_reusable: bool,
    /// Whether the slot is idle in transaction.
    is_suspended: bool,
    /// Whether the statement or transaction is counted as usage.
    is_counted: bool,
}

impl Slot {
    pub(crate) fn new(
        engine: Engine,
        service: ServiceName,
        endpoint: EndpointName,
        address: Arc<str>,
        is_primary: bool,
    ) -> Self {
        let acquired_at = engine.now();
        let busy = Duration::ZERO;
        Self {
            engine,
            service,
            endpoint,
            address,
            is_primary,
            acquired_at,
            busy,
            borrowed: None,
            relay: None,
            is_reusable: true,
            is_suspended: false,
            is_counted: false,
        }
    }

    /// Routes the slot's exchanges through other instances.
    pub(crate) fn with_relay(mut self, relay: Relay) -> Self {
        self.relay = Some(relay);
        self
    }

    /// Borrows or opens a connection and applies the session's values to it.
    pub(crate) async fn connect(
        &mut self,
        organisation: &OrganisationName,
        session: &SessionState,
        deadline: tokio::time::Instant,
    ) -> Result<(), ConnectFailure> {
        if let Some(relay) = &mut self.relay {
            relay.apply_session(session);
            return Ok(());
        }
        if !self.borrow_idle(organisation, session) {
            self.open(organisation, deadline).await.map_err(ConnectFailure::Open)?;
        }
        self.apply_session(session, deadline).await.map_err(ConnectFailure::Link)
    }

    /// Applies the session's values to the connection. On failure the connection is closed.
    pub(crate) async fn apply_session(
        &mut self,
        session: &SessionState,
        deadline: tokio::time::Instant,
    ) -> Result<(), LinkFailure> {
        if let Some(relay) = &mut self.relay {
            relay.apply_session(session);
            return Ok(());
        }
        let commands = self.borrowed.as_mut().map(|borrowed| borrowed.state.apply_session(session));
        let commands = commands.unwrap_or_default();
        if commands.is_empty() {
            return Ok(());
        }
        let replies = self.exchange(commands, deadline).await?;
        if replies.iter().all(|reply| reply.result.is_ok()) {
            return Ok(());
        }
        self.close();
        Err(LinkFailure::NotSent)
    }

    /// Takes an idle connection from the pool, or reserves the right to open a new one, which may replace an idle one.
    /// Returns whether it took an idle one.
    fn borrow_idle(&mut self, organisation: &OrganisationName, session: &SessionState) -> bool {
        let mut state = self.engine.lock();
        let now = self.engine.now();
        let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) else { return false };
        let before = endpoint.idle.len();
        endpoint.idle.retain(|idle| !idle.connection.is_lost());
        endpoint.open -= u32::try_from(before - endpoint.idle.len()).unwrap_or_default();
        let limit = endpoint.limiter.limit();
        let idle = endpoint.idle.iter().map(|idle| &idle.info);
        match pool::choose(idle, organisation, session, endpoint.open, limit) {
            ConnectionChoice::Reuse(position) => {
                let reused = endpoint.idle.remove(position);
                self.borrowed = Some(Borrowed {
                    connection: reused.connection,
                    number: reused.number,
                    organisation: reused.info.organisation,
                    state: reused.info.state,
                });
                self.acquired_at = now;
                true
            }
            ConnectionChoice::Open => {
                endpoint.open += 1;
                false
            }
            ConnectionChoice::Replace(position) => {
                endpoint.idle.remove(position);
                false
            }
        }
    }

    async fn open(
        &mut self,
        organisation: &OrganisationName,
        deadline: tokio::time::Instant,
    ) -> Result<(), OpenFailure> {
        let destination = Destination {
            service: self.service.clone(),
            endpoint: self.endpoint.clone(),
            address: self.address.clone(),
            organisation: organisation.clone(),
        };
        let limit = deadline.min(tokio::time::Instant::now() + OPEN_TIMEOUT);
        let opened = timeout_at(limit, (self.engine.driver().open)(destination)).await;
        let opened = opened.unwrap_or(Err(OpenFailure::Unreachable));
        let now = self.engine.now();
        let label = match &opened {
            Ok(_) => Opened::Yes,
            Err(OpenFailure::Refused(_)) => Opened::Refused,
            Err(OpenFailure::Unreachable) => Opened::Unreachable,
        };
        self.engine.metrics().opened.get_or_create(&OpenedLabels { opened: label }).inc();
        match opened {
            Ok(connection) => {
                self.record_reachability(true);
                self.borrowed = Some(Borrowed {
                    connection,
                    number: self.engine.next_connection_number(),
                    organisation: organisation.clone(),
                    state: ConnectionState::default(),
                });
                self.acquired_at = now;
                Ok(())
            }
            Err(failure) => {
                self.decrement_open();
                self.record_reachability(failure.is_endpoint_reached());
                Err(failure)
            }
        }
    }

    /// Prepares a statement on the connection, unless the connection holds it already, and returns its name there. An
    /// execution is sent only after the endpoint has accepted this, so that it never runs without its statement. With a
    /// relay, the statement is sent with its execution, and the other instance does the same. `request` is the identifier
    /// of the statement that needs it.
    pub(crate) async fn prepare(
        &mut self,
        prepared: &Prepared,
        request: &str,
        deadline: tokio::time::Instant,
    ) -> Result<Arc<str>, LinkFailure> {
        if let Some(relay) = &mut self.relay {
            relay.prepare(prepared);
            return Ok(RELAYED_STATEMENT.into());
        }
        let Some(borrowed) = &mut self.borrowed else { return Err(LinkFailure::NotSent) };
        if let Some(name) = borrowed.state.statements.find(prepared) {
            return Ok(name);
        }
        let connection = borrowed.number;
        let assignment = borrowed.state.statements.assign(prepared);
        let result = self.exchange(prepare_commands(prepared, &assignment), deadline).await;
        let outcome = match &result {
            Ok(replies) if replies.iter().all(|reply| reply.result.is_ok()) => PrepareOutcome::Accepted,
            Ok(_) => PrepareOutcome::Refused,
            Err(_) => PrepareOutcome::Lost,
        };
        self.report_prepare(prepared, &assignment.name, request, connection, outcome);
        if outcome != PrepareOutcome::Accepted {
            if !assignment.released.is_empty() || !result.is_ok_and(|replies| did_not_run(&replies)) {
                // The endpoint may hold a statement under a name that counts as free.
                self.close();
            }
            // Whatever happened to it, the execution was not sent.
            return Err(LinkFailure::NotSent);
        }
        if let Some(borrowed) = &mut self.borrowed {
            borrowed.state.statements.record(prepared, &assignment);
        }
        Ok(assignment.name)
    }

    /// Counts and logs an attempt to prepare a statement on a connection, with the name that it has there.
    fn report_prepare(
        &self,
        prepared: &Prepared,
        name: &str,
        request: &str,
        connection: u64,
        outcome: PrepareOutcome,
    ) {
        self.engine.metrics().prepared.get_or_create(&PreparedLabels { prepared: outcome }).inc();
        let Some(suppressed) = self.engine.decisions().try_log_prepare(self.engine.now()) else { return };
        info!(self.engine.logger(), "statement prepared on a connection";
            "request" => request, "endpoint" => self.endpoint.as_str(), "connection" => connection,
            "name" => name, "access" => ?prepared.access,
            "shape" => &*prepared.shape,
            "shape_bytes" => prepared.shape.len(), "outcome" => ?outcome, "lines_left_out" => suppressed);
    }

    /// Sends commands and waits for their replies. On failure the connection is closed.
    pub(crate) async fn exchange(
        &mut self,
        commands: Vec<Command>,
        deadline: tokio::time::Instant,
    ) -> Result<Vec<Reply>, LinkFailure> {
        if self.relay.is_some() {
            return self.exchange_via_relay(commands, deadline).await;
        }
        self.resume();
        let Some(borrowed) = &self.borrowed else { return Err(LinkFailure::NotSent) };
        let sent_at = self.engine.now();
        let primary_proof = self.primary_proof(&commands, sent_at);
        let (replies, receiver) = oneshot::channel();
        let expected = commands.len();
        let executed = executed_name(&commands);
        let is_from_client: Vec<bool> =
            commands.iter().map(|command| command.client_id().is_some()).collect();
        let organisation = borrowed.organisation.clone();
        if borrowed.connection.exchanges.send(Exchange { commands, replies }).is_err() {
            self.close();
            return Err(LinkFailure::NotSent);
        }
        self.is_reusable = false;
        let result = match timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(LinkFailure::Broken),
            Err(_) => Err(LinkFailure::TimedOut),
        };
        let latency = self.engine.now().saturating_since(sent_at);
        self.busy += latency;
        self.observe(latency, &result);
        self.count_usage(&organisation, sent_at, &is_from_client, &result);
        match result {
            Ok(replies) if replies.len() == expected => {
                self.record_unknown(executed.as_ref(), &replies);
                self.record_replies(&replies, sent_at, primary_proof);
                Ok(replies)
            }
            Ok(_) => {
                self.close();
                Err(LinkFailure::Broken)
            }
            Err(failure) => {
                self.close();
                if !failure.is_not_sent() {
                    self.record_reachability(false);
                }
                Err(failure)
            }
        }
    }

    /// Counts the slot's statement or transaction as soon as one of the client's commands has begun to run. A command
    /// without an answer has usually begun.
    fn count_usage(
        &mut self,
        organisation: &OrganisationName,
        sent_at: Instant,
        is_from_client: &[bool],
        result: &Result<Vec<Reply>, LinkFailure>,
    ) {
        let has_begun = match result {
            Ok(replies) => replies
                .iter()
                .zip(is_from_client)
                .any(|(reply, is_from_client)| *is_from_client && has_begun(reply)),
            Err(failure) => !failure.is_not_sent() && is_from_client.contains(&true),
        };
        if !has_begun
            || organisation.as_str() == NO_ORGANISATION
            || std::mem::replace(&mut self.is_counted, true)
        {
            return;
        }
        let mut state = self.engine.lock();
        // Read while no heartbeat can be built, so that the next one contains the change.
        let now = self.engine.now();
        usage::record(&mut state.core.usage, now, sent_at, organisation, 1);
    }

    /// Records that the endpoint does not know the statement that an exchange executed, if its replies say so.
    fn record_unknown(&mut self, executed: Option<&Arc<str>>, replies: &[Reply]) {
        let (Some(borrowed), Some(name)) = (&mut self.borrowed, executed) else { return };
        let is_unknown = |reply: &Reply| {
            reply.result.as_ref().is_err_and(|error| error.kind == EndpointErrorKind::UnknownStatement)
        };
        if replies.iter().any(is_unknown) {
            borrowed.state.statements.forget(name);
        }
    }

    /// Sends commands through another instance. After a failure the slot can only be dropped.
    async fn exchange_via_relay(
        &mut self,
        commands: Vec<Command>,
        deadline: tokio::time::Instant,
    ) -> Result<Vec<Reply>, LinkFailure> {
        let Some(mut relay) = self.relay.take() else { return Err(LinkFailure::NotSent) };
        let sent_at = self.engine.now();
        let primary_proof = self.primary_proof(&commands, sent_at);
        let expected = commands.len();
        self.is_reusable = false;
        let result = relay.exchange(&self.engine, &self.service, &self.endpoint, commands, deadline).await;
        self.relay = Some(relay);
        match result {
            Ok(replies) if replies.len() == expected => {
                self.record_replies(&replies, sent_at, primary_proof);
                Ok(replies)
            }
            Ok(_) => Err(LinkFailure::Broken),
            Err(RelayFailure { failure, is_endpoint_failure }) => {
                if is_endpoint_failure {
                    self.record_reachability(false);
                }
                Err(failure)
            }
        }
    }

    /// Marks the slot as idle in transaction and admits a queued request in its place. The transaction's next statement
    /// resumes the slot.
    pub(crate) fn suspend(&mut self) {
        if self.relay.is_some() || std::mem::replace(&mut self.is_suspended, true) {
            return;
        }
        let now = self.engine.now();
        let mut state = self.engine.lock();
        if let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) {
            endpoint.limiter.suspend();
        }
        state.admit_waiting(now, &self.endpoint);
    }

    fn resume(&mut self) {
        if !std::mem::replace(&mut self.is_suspended, false) {
            return;
        }
        if let Some(endpoint) = self.engine.lock().endpoints.get_mut(&self.endpoint) {
            endpoint.limiter.resume();
        }
    }

    /// Passes the latency and outcome of an exchange to the concurrency limiter.
    fn observe(&self, latency: Duration, result: &Result<Vec<Reply>, LinkFailure>) {
        let is_refusal = result.as_ref().is_ok_and(|replies| {
            let is_busy = |reply: &Reply| {
                reply.result.as_ref().is_err_and(|error| error.kind == EndpointErrorKind::Busy)
            };
            replies.iter().any(is_busy)
        });
        if let Some(endpoint) = self.engine.lock().endpoints.get_mut(&self.endpoint) {
            endpoint.limiter.observe(latency, is_refusal);
        }
    }

    /// Returns what currently guarantees that the endpoint is the primary.
    pub(crate) fn primary_guarantee(&self) -> PrimaryGuarantee {
        if !self.is_primary {
            return PrimaryGuarantee::None;
        }
        self.engine.primary_guarantee(&self.service, &self.endpoint, self.engine.now())
    }

    /// Returns what proves that the endpoint was the primary when the commands were sent, provided that it answers them.
    /// `None` if nothing does.
    fn primary_proof(&self, commands: &[Command], sent_at: Instant) -> Option<PrimaryProof> {
        if !self.is_primary {
            return None;
        }
        if self.engine.primary_guarantee(&self.service, &self.endpoint, sent_at)
            == PrimaryGuarantee::TermLease
        {
            return Some(PrimaryProof::TermLease);
        }
        let begins = matches!(commands.first(), Some(Command::Begin { read_only: false, .. }));
        begins.then_some(PrimaryProof::ReadWriteBegin)
    }

    /// Records the log point, lag and reachability of the endpoint from its replies.
    fn record_replies(&mut self, replies: &[Reply], sent_at: Instant, primary_proof: Option<PrimaryProof>) {
        self.is_reusable = replies.last().is_some_and(|reply| reply.state == TransactionState::Idle);
        let point = replies.iter().filter_map(|reply| reply.point).max();
        let is_lagging = replies
            .iter()
            .any(|reply| reply.result.as_ref().is_err_and(|error| error.kind == EndpointErrorKind::Lagging));
        let now = self.engine.now();
        let mut state = self.engine.lock();
        if let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) {
            endpoint.point = endpoint.point.max(point);
            if is_lagging {
                endpoint.lagging_until = now + Duration::from_millis(LAGGING_BACKOFF_MS);
            }
            if endpoint.record_reachability(now, true) {
                state.needs_heartbeat = true;
            }
        }
        let was_primary = match primary_proof {
            Some(PrimaryProof::TermLease) => true,
            Some(PrimaryProof::ReadWriteBegin) => replies.first().is_some_and(|reply| reply.result.is_ok()),
            None => false,
        };
        if let Some(point) = point.filter(|_| was_primary) {
            state.positions(&self.service).positions.record(sent_at, point);
        }
    }

    fn record_reachability(&self, is_reachable: bool) {
        let now = self.engine.now();
        let mut state = self.engine.lock();
        let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) else { return };
        if endpoint.record_reachability(now, is_reachable) {
            state.needs_heartbeat = true;
        }
    }

    /// Closes the connection.
    pub(crate) fn close(&mut self) {
        if self.borrowed.take().is_some() {
            self.decrement_open();
        }
    }

    fn decrement_open(&self) {
        let mut state = self.engine.lock();
        if let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
    }

    /// Rolls back an open transaction and releases the slot. If the rollback fails, or nothing may be sent to the endpoint
    /// any more, the connection is closed, which rolls back too.
    pub(crate) async fn roll_back(mut self) {
        if self.is_reusable || (self.borrowed.is_none() && self.relay.is_none()) {
            return;
        }
        if self.relay.is_none() && self.engine.is_out_of_service(&self.service, &self.endpoint) {
            self.close();
            return;
        }
        let deadline = tokio::time::Instant::now() + OPEN_TIMEOUT;
        if self.exchange(vec![Command::Rollback], deadline).await.is_err() {
            self.close();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.engine.now();
        let mut state = self.engine.lock();
        let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) else { return };
        if self.relay.is_some() {
            endpoint.relayed = endpoint.relayed.saturating_sub(1);
            return;
        }
        let service = (self.busy > Duration::ZERO).then_some(self.busy);
        if self.is_suspended {
            endpoint.limiter.resume();
        }
        endpoint.limiter.release(service);
        if let Some(borrowed) = self.borrowed.take() {
            let is_excess = endpoint.open > endpoint.limiter.limit();
            if self.is_reusable && !is_excess && !borrowed.connection.is_lost() {
                endpoint.idle.push(IdleConnection {
                    info: IdleInfo {
                        organisation: borrowed.organisation,
                        state: borrowed.state,
                        idle_since: now,
                    },
                    connection: borrowed.connection,
                    number: borrowed.number,
                });
            } else {
                endpoint.open = endpoint.open.saturating_sub(1);
            }
        }
        state.admit_waiting(now, &self.endpoint);
    }
}
