//! A client's session: its values and prepared statements, and its current statement or transaction.
//!
//! A session runs one statement at a time and returns one answer to each.

use {
    crate::{
        engine::{Engine, StopPhase, empty_rows},
        metrics::{Outcome, StatementLabels, TokenRefusalLabels},
        slot::{ConnectFailure, Slot},
        slot_request::{SlotError, SlotRequest},
        transaction::{Transaction, TransactionPhase, unconfirmed_commit},
    },
    cumincart_core::interactive::{
        command::{Command, EndpointErrorKind, Reply, Rows},
        failure::{self, FailureCode, LinkFailure, StatementKind},
        positions::LogPoint,
        primary_guarantee::{self, ReadGuard},
        routing::Target,
        session::{Prepared, SessionState},
        statement::{Access, Action, Statement, TransactionState},
    },
    cumincart_protocol::{
        lists::Database,
        name::{EndpointName, OrganisationName},
        number::Term,
        time::Instant,
    },
    rand::RngExt,
    sha2::{Digest, Sha256},
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
};

/// The part of a statement's timeout within which it must get a slot, in thousandths. The rest is left for running it
/// at the endpoint.
const START_BY_PER_MILLE: u32 = 600;

/// The part of the latency objective for which an operation waits for a token of its organisation's rate, in
/// thousandths. The wait gives a larger share of the rate time to be granted to this instance. Once the whole rate is
/// used up, waiting longer would only make all of the organisation's operations late.
const TOKEN_WAIT_PER_MILLE: u32 = 400;

/// The maximum number of attempts of a read.
const READ_ATTEMPTS: usize = 3;

/// The maximum number of attempts of a write that was not sent.
const WRITE_ATTEMPTS: usize = 2;

/// The organisation that is sent to endpoints if the database is open to everyone.
pub(crate) const NO_ORGANISATION: &str = "-";

/// Why a statement was not sent whose preparing the endpoint refused.
pub(crate) const PREPARE_REFUSED: &str = "the statement could not be prepared";

/// Why a statement is refused during a planned stop.
pub(crate) const STOPPING: &str = "this instance is stopping";

/// The answer to a client's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The rows, or the reason for a failure.
    pub result: Result<Rows, Failure>,
    /// The session's transaction state after the statement.
    pub state: TransactionState,
    /// The endpoint's log point; `None` if no endpoint was involved or it reported none.
    pub point: Option<LogPoint>,
}

/// Why a statement did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The failure code, which states whether the statement can have taken effect.
    pub code: FailureCode,
    /// A description for operators and users.
    pub text: Arc<str>,
}

impl Failure {
    pub(crate) fn new(code: FailureCode, text: impl Into<Arc<str>>) -> Self {
        Self { code, text: text.into() }
    }
}

/// An operation, which is a single statement or a transaction: its database and organisation as they were when it
/// began.
#[derive(Debug, Clone)]
pub(crate) struct Operation {
    pub(crate) database: Database,
    pub(crate) organisation: OrganisationName,
    pub(crate) arrived_at: Instant,
}

impl Operation {
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.database.statement_timeout_ms)
    }
}

/// An open session. Dropping it closes the session and rolls back an open transaction.
#[derive(Debug)]
pub struct Session {
    pub(crate) engine: Engine,
    database: Arc<str>,
    pub(crate) key_digest: Option<[u8; 32]>,
    pub(crate) state: SessionState,
    pub(crate) phase: TransactionPhase,
    /// How far the current statement has come.
    pub(crate) progress: Progress,
    /// Whether it was opened while a planned stop closes idle sessions.
    is_opened_late: bool,
}

/// How far a statement has come.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Its kind, once that is known.
    pub(crate) kind: Option<StatementKind>,
    /// Whether it may have been sent to an endpoint.
    pub(crate) is_sent: bool,
}

impl Session {
    /// Opens a session on a database for the organisation that the key belongs to. On an instance that has just started it
    /// waits for the first lease on the lists.
    pub async fn open(engine: &Engine, database: &str, key: Option<&str>) -> Result<Self, Failure> {
        let session = Self {
            engine: engine.clone(),
            database: database.into(),
            key_digest: key.map(|key| Sha256::digest(key.as_bytes()).into()),
            state: SessionState::default(),
            phase: TransactionPhase::None,
            progress: Progress::default(),
            is_opened_late: *engine.phase().borrow() >= StopPhase::Closing,
        };
        engine.count_session(true);
        engine.await_first_lease().await;
        if let Err(failure) = session.authorise(engine.now()) {
            if let Some(suppressed) = engine.decisions().try_log_failure(engine.now()) {
                info!(engine.logger(), "session refused";
                    "database" => database, "why" => &*failure.text, "lines_left_out" => suppressed);
            }
            return Err(failure);
        }
        Ok(session)
    }

    /// Returns an operation with the database and the organisation from the lists in force, or why the session may not
    /// run one.
    fn authorise(&self, now: Instant) -> Result<Operation, Failure> {
        let state = self.engine.lock();
        let freshness = &state.core.freshness;
        if !freshness.is_fresh(now) {
            return Err(Failure::new(FailureCode::Busy, "this instance has no lease on the lists"));
        }
        let Some(database) = freshness.catalogue.lists.interactive.databases.get(&self.database) else {
            return Err(Failure::new(FailureCode::UnknownDatabase, "no database has this name"));
        };
        let organisation = if database.open {
            NO_ORGANISATION.into()
        } else {
            let digest = self.key_digest.as_ref();
            let known = digest.and_then(|digest| freshness.index.organisation_by_key(digest));
            let refused = || Failure::new(FailureCode::Unauthorised, "the key is not known");
            known.ok_or_else(refused)?.name.clone()
        };
        let operation = Operation { database: database.clone(), organisation, arrived_at: now };
        drop(state);
        if self.engine.refuses(operation.timeout()) {
            return Err(Failure::new(FailureCode::Busy, STOPPING));
        }
        Ok(operation)
    }

    /// Begins an operation: authorises it and takes a token of its organisation's rate.
    async fn begin_operation(&self, arrived_at: Instant) -> Result<Operation, Failure> {
        let operation = Operation { arrived_at, ..self.authorise(self.engine.now())? };
        if operation.database.open {
            return Ok(operation);
        }
        let wait = Duration::from_millis(operation.database.objective_ms) * TOKEN_WAIT_PER_MILLE / 1_000;
        let priority = operation.database.priority;
        match self.engine.take_token(&operation.organisation, arrived_at + wait, priority).await {
            Ok(()) => Ok(operation),
            Err(cause) => {
                self.engine.metrics().token_refusals.get_or_create(&TokenRefusalLabels { cause }).inc();
                Err(Failure::new(FailureCode::Busy, cause.text(&operation.organisation)))
            }
        }
    }

    /// Runs a statement.
    pub async fn run(&mut self, statement: Statement) -> Answer {
        let arrived_at = self.engine.now();
        self.progress = Progress::default();
        let engine = self.engine.clone();
        let is_in_transaction = self.is_in_transaction();
        let answer = tokio::select! {
            answer = self.run_action(&statement, arrived_at) => answer,
            () = engine.out_of_time() => self.interrupt(&statement, is_in_transaction),
        };
        self.log_outcome(&statement, arrived_at, &answer);
        answer
    }

    /// Answers a statement for which a planned stop has no time left. The connection that it ran on is closed.
    fn interrupt(&mut self, statement: &Statement, is_in_transaction: bool) -> Answer {
        let ends_transaction = matches!(statement.action, Action::Commit | Action::Rollback);
        let is_failed = is_in_transaction && !ends_transaction;
        self.phase = if is_failed { TransactionPhase::Failed } else { TransactionPhase::None };
        let sent = if self.progress.is_sent { LinkFailure::Broken } else { LinkFailure::NotSent };
        let kind = self.progress.kind.unwrap_or(StatementKind::Read);
        self.refuse(failure::code_for_link_failure(kind, sent), STOPPING)
    }

    async fn run_action(&mut self, statement: &Statement, arrived_at: Instant) -> Answer {
        match &statement.action {
            Action::Set { .. } | Action::Prepare { .. } | Action::Deallocate { .. } => {
                self.change_session(&statement.action)
            }
            Action::Begin { read_only } => self.begin(*read_only, arrived_at).await,
            Action::Rollback => self.roll_back().await,
            Action::Commit => self.commit(statement, arrived_at).await,
            Action::Run { .. } | Action::Execute { .. } => match self.phase {
                TransactionPhase::None => self.run_single(statement, arrived_at).await,
                TransactionPhase::Failed => self.refuse(FailureCode::Malformed, "the transaction has failed"),
                TransactionPhase::Pending(_) | TransactionPhase::Open(_) => {
                    self.run_in_transaction(statement, arrived_at).await
                }
            },
        }
    }

    /// Changes a value or a prepared statement of the session.
    fn change_session(&mut self, action: &Action) -> Answer {
        if matches!(self.phase, TransactionPhase::Failed) {
            return self.refuse(FailureCode::Malformed, "the transaction has failed");
        }
        let done = match action {
            Action::Set { name, value } => self.state.set(name.clone(), value.clone()),
            Action::Prepare { name, access, shape } => {
                let prepared = Prepared { name: name.clone(), access: *access, shape: shape.clone() };
                self.state.prepare(prepared)
            }
            Action::Deallocate { name } => {
                if !self.state.deallocate(name) {
                    return self.refuse(FailureCode::UnknownStatement, "no statement has this name");
                }
                true
            }
            _ => true,
        };
        if done {
            return self.accept();
        }
        self.refuse(
            FailureCode::Malformed,
            "the session has reached its limit of values and prepared statements",
        )
    }

    async fn begin(&mut self, read_only: bool, arrived_at: Instant) -> Answer {
        if !matches!(self.phase, TransactionPhase::None) {
            return self.refuse(FailureCode::Malformed, "a transaction is open");
        }
        match self.begin_operation(arrived_at).await {
            Ok(operation) => {
                self.phase =
                    TransactionPhase::Pending(Transaction::new(operation, read_only, self.engine.now()));
                self.accept()
            }
            Err(failure) => self.fail(failure),
        }
    }

    async fn run_single(&mut self, statement: &Statement, arrived_at: Instant) -> Answer {
        let Some(access) = self.access(statement) else {
            return self.refuse(FailureCode::UnknownStatement, "no statement has this name");
        };
        let operation = match self.begin_operation(arrived_at).await {
            Ok(operation) => operation,
            Err(failure) => return self.fail(failure),
        };
        let kind = if access == Access::Read { StatementKind::Read } else { StatementKind::Write };
        self.progress.kind = Some(kind);
        let attempts = if access == Access::Read { READ_ATTEMPTS } else { WRITE_ATTEMPTS };
        let mut tried: Vec<EndpointName> = Vec::new();
        let mut last = Failure::new(FailureCode::Busy, "no endpoint can serve the statement now");
        for _ in 0..attempts {
            match self.attempt(statement, &operation, kind, &mut tried).await {
                Attempt::Answered(answer) => return answer,
                Attempt::Retry(failure) => last = failure,
            }
            if self.engine.now() >= start_by(&operation, arrived_at) {
                break;
            }
        }
        self.fail(last)
    }

    /// Attempts a statement outside a transaction on one endpoint.
    async fn attempt(
        &mut self,
        statement: &Statement,
        operation: &Operation,
        kind: StatementKind,
        tried: &mut Vec<EndpointName>,
    ) -> Attempt {
        let database = &operation.database;
        let point = match kind {
            StatementKind::Read => {
                self.engine.required_point(database, operation.arrived_at, self.state.committed)
            }
            _ => None,
        };
        let request = SlotRequest {
            database,
            organisation: &operation.organisation,
            target: point.map_or(Target::Primary, Target::Anywhere),
            tried,
            arrived_at: operation.arrived_at,
            start_by: start_by(operation, operation.arrived_at),
        };
        let mut slot = match self.engine.acquire_slot(&request).await {
            Ok(slot) => slot,
            Err(refusal) => return Attempt::Answered(self.fail(slot_failure(refusal))),
        };
        let deadline = self.engine.deadline(operation.arrived_at + operation.timeout());
        if let Err(failure) = slot.connect(&operation.organisation, &self.state, deadline).await {
            exclude_unless_primary(tried, &slot);
            return Attempt::Retry(connect_failure(kind, failure, &slot));
        }
        let name = match self.prepare(&mut slot, statement, deadline).await {
            Ok(name) => name,
            Err(failure) => {
                exclude_unless_primary(tried, &slot);
                let text = format!("{}: {PREPARE_REFUSED}", slot.endpoint);
                return Attempt::Retry(Failure::new(failure::code_for_link_failure(kind, failure), text));
            }
        };
        let term = self.write_term(kind, &slot);
        if kind == StatementKind::Write && term.is_none() {
            let text = format!("{}: no longer the primary", slot.endpoint);
            let code = failure::code_for_link_failure(kind, LinkFailure::NotSent);
            return Attempt::Retry(Failure::new(code, text));
        }
        let guard = match kind {
            StatementKind::Read => {
                primary_guarantee::read_guard(slot.primary_guarantee(), slot.is_primary, point)
            }
            _ => ReadGuard::None,
        };
        self.progress.is_sent = true;
        match self.exchange_guarded(&mut slot, statement, name, guard, deadline).await {
            Ok(mut replies) => {
                let reply = replies.pop();
                let is_confirmed = reply.as_ref().is_some_and(|reply| reply.result.is_ok());
                if is_confirmed && self.write_term(kind, &slot) != term {
                    return Attempt::Answered(self.fail(unconfirmed_commit()));
                }
                self.finish_attempt(kind, reply, &slot, tried)
            }
            Err(failure) => {
                exclude_unless_primary(tried, &slot);
                let text = format!("{}: {}", slot.endpoint, link_failure_text(failure));
                let failed = Failure::new(failure::code_for_link_failure(kind, failure), text);
                let may_repeat = kind == StatementKind::Read && failure != LinkFailure::TimedOut;
                if may_repeat || failure.is_not_sent() {
                    self.progress.is_sent = false;
                    return Attempt::Retry(failed);
                }
                Attempt::Answered(self.fail(failed))
            }
        }
    }

    /// Returns the term under which a write may be acknowledged now; `None` for a read.
    fn write_term(&self, kind: StatementKind, slot: &Slot) -> Option<Term> {
        (kind == StatementKind::Write)
            .then(|| self.engine.commit_term(&slot.service, &slot.endpoint))
            .flatten()
    }

    /// Sends a statement together with its guard. The last reply is the statement's, or the guard's if that failed.
    async fn exchange_guarded(
        &self,
        slot: &mut Slot,
        statement: &Statement,
        name: Option<Arc<str>>,
        guard: ReadGuard,
        deadline: tokio::time::Instant,
    ) -> Result<Vec<Reply>, LinkFailure> {
        let is_long = statement.length_bytes() > self.engine.driver().guarded_statement_max_bytes;
        let (begin, after) = match guard {
            ReadGuard::None => (None, None),
            ReadGuard::AtLeast(point) if is_long => {
                (Some(Command::Begin { read_only: true, after: Some(point) }), None)
            }
            ReadGuard::AtLeast(point) => (None, Some(point)),
            ReadGuard::ReadWriteTransaction => (Some(Command::Begin { read_only: false, after: None }), None),
        };
        let mut commands = statement_commands(statement, name, after);
        let Some(begin) = begin else { return slot.exchange(commands, deadline).await };
        // The read is sent only after the endpoint has proven that it may serve it.
        let replies = slot.exchange(vec![begin], deadline).await?;
        if replies.iter().any(|reply| reply.result.is_err()) {
            return Ok(replies);
        }
        commands.push(Command::Rollback);
        let mut replies = slot.exchange(commands, deadline).await?;
        replies.pop();
        Ok(replies)
    }

    fn finish_attempt(
        &mut self,
        kind: StatementKind,
        reply: Option<Reply>,
        slot: &Slot,
        tried: &mut Vec<EndpointName>,
    ) -> Attempt {
        let Some(reply) = reply else {
            let text = format!("{}: no reply", slot.endpoint);
            return Attempt::Answered(self.fail(Failure::new(FailureCode::InDoubt, text)));
        };
        match reply.result {
            Ok(rows) => {
                self.count_read(kind, slot);
                if kind == StatementKind::Write {
                    self.state.committed = self.state.committed.max(reply.point);
                }
                let state = TransactionState::Idle;
                Attempt::Answered(Answer { result: Ok(rows), state, point: reply.point })
            }
            Err(error) => {
                let text = format!("{}: {}", slot.endpoint, error.text);
                let failure = Failure::new(failure::code_for_error(kind, error.kind), text);
                let is_retryable_elsewhere = matches!(
                    error.kind,
                    EndpointErrorKind::Lagging
                        | EndpointErrorKind::Busy
                        | EndpointErrorKind::Misrouted
                        | EndpointErrorKind::TooManyConnections
                        | EndpointErrorKind::ReadOnly
                        | EndpointErrorKind::Failed
                );
                if error.kind == EndpointErrorKind::Lagging {
                    self.engine.metrics().lagging.inc();
                }
                if error.kind == EndpointErrorKind::UnknownStatement {
                    // The connection has lost the statement; the next attempt prepares it again.
                    return Attempt::Retry(failure);
                }
                if kind == StatementKind::Read && is_retryable_elsewhere {
                    tried.push(slot.endpoint.clone());
                    return Attempt::Retry(failure);
                }
                Attempt::Answered(self.fail(failure))
            }
        }
    }

    fn count_read(&self, kind: StatementKind, slot: &Slot) {
        let metrics = self.engine.metrics();
        match (kind, slot.is_primary) {
            (StatementKind::Read, false) => metrics.reads_on_replica.inc(),
            (StatementKind::Read, true) => metrics.reads_on_primary.inc(),
            _ => 0,
        };
    }

    /// Prepares what a statement executes on a slot's connection, and returns its name there. `None` if the statement
    /// executes no prepared one.
    pub(crate) async fn prepare(
        &self,
        slot: &mut Slot,
        statement: &Statement,
        deadline: tokio::time::Instant,
    ) -> Result<Option<Arc<str>>, LinkFailure> {
        let Action::Execute { name, .. } = &statement.action else { return Ok(None) };
        match self.state.prepared(name) {
            Some(prepared) => slot.prepare(prepared, &statement.id, deadline).await.map(Some),
            None => Ok(None),
        }
    }

    /// Returns whether a statement reads or writes, or `None` if it names an unknown prepared statement.
    pub(crate) fn access(&self, statement: &Statement) -> Option<Access> {
        match &statement.action {
            Action::Run { access, .. } => Some(*access),
            Action::Execute { name, .. } => self.state.prepared(name).map(|prepared| prepared.access),
            _ => Some(Access::Read),
        }
    }

    /// Returns whether the client's key belongs to an organisation on the lists in force.
    pub fn has_credential(&self) -> bool {
        let state = self.engine.lock();
        let index = &state.core.freshness.index;
        self.key_digest.as_ref().is_some_and(|digest| index.organisation_by_key(digest).is_some())
    }

    /// Returns the bytes that the session's values and prepared statements use.
    pub fn held_bytes(&self) -> usize {
        self.state.held_bytes()
    }

    /// Refuses a statement that this instance has no memory for. An open transaction is rolled back, because the client is
    /// told that nothing is kept.
    pub async fn refuse_for_memory(&mut self) -> Answer {
        if self.is_in_transaction() {
            self.abort_transaction().await;
        }
        self.refuse(FailureCode::Busy, "this instance has no memory for the statement")
    }

    /// Returns the answer to a statement that can't be parsed.
    pub fn malformed(&self) -> Answer {
        self.refuse(FailureCode::Malformed, "the statement can't be read")
    }

    /// Returns the deadline for the next statement of the open transaction; `None` if there is no open transaction or
    /// no limit.
    pub fn idle_deadline(&self) -> Option<tokio::time::Instant> {
        let (TransactionPhase::Pending(transaction) | TransactionPhase::Open(transaction)) = &self.phase
        else {
            return None;
        };
        let idle_ms = self.engine.lock().core.freshness.catalogue.lists.interactive.idle_transaction_ms;
        let until = transaction.last_active_at + Duration::from_millis(idle_ms);
        (idle_ms > 0).then(|| self.engine.deadline(until))
    }

    /// Rolls back the open transaction and marks it as failed: on a client's rollback, when it has been idle for too
    /// long, or when the endpoint would fail it.
    pub async fn abort_transaction(&mut self) {
        let phase = std::mem::replace(&mut self.phase, TransactionPhase::Failed);
        if let TransactionPhase::Open(mut transaction) = phase
            && let Some(slot) = transaction.slot.take()
        {
            slot.roll_back().await;
        }
    }

    /// Returns whether a transaction is open, which closing the session would roll back.
    pub fn is_in_transaction(&self) -> bool {
        matches!(self.phase, TransactionPhase::Pending(_) | TransactionPhase::Open(_))
    }

    /// Waits until a planned stop requires this session to be closed. Called between two statements only.
    pub async fn close_requested(&self) {
        // A late session is about to get the statement that it was opened for.
        let is_about_to_run = self.is_opened_late && matches!(self.phase, TransactionPhase::None);
        if self.is_in_transaction() || is_about_to_run {
            // Statements that come too late are refused until then.
            return self.engine.out_of_time().await;
        }
        let schedule = self.engine.stop_schedule();
        let spread_ms = u64::try_from(schedule.close_spread().as_millis()).unwrap_or(1).max(1);
        let pause = Duration::from_millis(rand::rng().random_range(0..spread_ms));
        self.engine.stop_reaches(schedule.unready_until() + pause).await;
    }

    pub(crate) fn transaction_state(&self) -> TransactionState {
        match self.phase {
            TransactionPhase::None => TransactionState::Idle,
            TransactionPhase::Pending(_) | TransactionPhase::Open(_) => TransactionState::Open,
            TransactionPhase::Failed => TransactionState::Failed,
        }
    }

    pub(crate) fn accept(&self) -> Answer {
        Answer { result: Ok(empty_rows()), state: self.transaction_state(), point: None }
    }

    pub(crate) fn refuse(&self, code: FailureCode, text: &str) -> Answer {
        self.fail(Failure::new(code, text))
    }

    pub(crate) fn fail(&self, failure: Failure) -> Answer {
        Answer { result: Err(failure), state: self.transaction_state(), point: None }
    }

    fn log_outcome(&self, statement: &Statement, arrived_at: Instant, answer: &Answer) {
        let now = self.engine.now();
        let took = now.saturating_since(arrived_at);
        let metrics = self.engine.metrics();
        let outcome = match &answer.result {
            Ok(_) => Outcome::Success,
            Err(failure) => outcome(failure.code),
        };
        metrics.statements.get_or_create(&StatementLabels { outcome }).inc();
        metrics.latency.observe(took.as_secs_f64());
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        match &answer.result {
            Ok(_) if !self.engine.decisions().should_log_success() => {}
            Ok(_) => {
                info!(self.engine.logger(), "statement succeeded";
                    "request" => &*statement.id, "database" => &*self.database, "took_ms" => took_ms);
            }
            Err(failure) => {
                let Some(suppressed) = self.engine.decisions().try_log_failure(now) else { return };
                let (revision, term_lease_ms) = self.decision_inputs(now);
                warn!(self.engine.logger(), "statement failed";
                    "request" => &*statement.id, "database" => &*self.database, "took_ms" => took_ms,
                    "code" => ?failure.code, "why" => &*failure.text, "revision" => revision,
                    "term_lease_ms" => term_lease_ms, "lines_left_out" => suppressed);
            }
        }
    }

    /// Returns what decisions are based on: the catalogue's revision and the remaining term lease in milliseconds.
    fn decision_inputs(&self, now: Instant) -> (u64, u64) {
        let state = self.engine.lock();
        let freshness = &state.core.freshness;
        let left = freshness.term_lease_until.saturating_since(now);
        (freshness.revision().0, u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.engine.count_session(false);
        let phase = std::mem::replace(&mut self.phase, TransactionPhase::None);
        if let TransactionPhase::Open(mut transaction) = phase
            && let Some(slot) = transaction.slot.take()
        {
            tokio::spawn(slot.roll_back());
        }
    }
}

/// Returns the commands that run a statement on a connection. `name` is the connection's name of the prepared statement
/// that it executes.
pub(crate) fn statement_commands(
    statement: &Statement,
    name: Option<Arc<str>>,
    after: Option<LogPoint>,
) -> Vec<Command> {
    let id = statement.id.clone();
    match &statement.action {
        Action::Execute { arguments, .. } => {
            let Some(name) = name else { return Vec::new() };
            vec![Command::Execute { id, name, arguments: arguments.clone(), after }]
        }
        Action::Run { text, .. } => vec![Command::Run { id, text: text.clone(), after }],
        Action::Commit => vec![Command::Commit { id }],
        _ => Vec::new(),
    }
}

enum Attempt {
    Answered(Answer),
    Retry(Failure),
}

/// Returns the deadline for getting a slot for a statement that arrived at this instant.
pub(crate) fn start_by(operation: &Operation, arrived_at: Instant) -> Instant {
    arrived_at + operation.timeout() * START_BY_PER_MILLE / 1_000
}

/// Excludes an endpoint from further attempts. The primary stays a candidate, since only it or its successor can serve
/// what requires the primary.
fn exclude_unless_primary(tried: &mut Vec<EndpointName>, slot: &Slot) {
    if !slot.is_primary {
        tried.push(slot.endpoint.clone());
    }
}

pub(crate) fn slot_failure(refusal: SlotError) -> Failure {
    match refusal {
        SlotError::NoEndpoint => Failure::new(FailureCode::Busy, "no endpoint can serve the statement now"),
        SlotError::Overloaded { retry_after_ms, occupancy } => {
            let text = format!("overloaded ({occupancy}), retry after {retry_after_ms} ms");
            Failure::new(FailureCode::Busy, text)
        }
        SlotError::TimedOut => Failure::new(FailureCode::Busy, "no slot became free in time"),
    }
}

pub(crate) fn connect_failure(kind: StatementKind, failure: ConnectFailure, slot: &Slot) -> Failure {
    let text = match failure {
        ConnectFailure::Open(failure) => format!("{}: no connection ({failure:?})", slot.endpoint),
        ConnectFailure::Link(failure) => format!("{}: {}", slot.endpoint, link_failure_text(failure)),
    };
    // Nothing of the statement was sent yet, whatever happened to the connection.
    Failure::new(failure::code_for_link_failure(kind, LinkFailure::NotSent), text)
}

pub(crate) fn link_failure_text(failure: LinkFailure) -> &'static str {
    match failure {
        LinkFailure::NotSent => "nothing could be sent",
        LinkFailure::NoSlot => "the instance that owns the connections had no free slot in time",
        LinkFailure::Broken => "the connection was lost before the answer came",
        LinkFailure::TimedOut => "no answer came in time",
    }
}

fn outcome(code: FailureCode) -> Outcome {
    match code {
        FailureCode::InDoubt | FailureCode::Timeout => Outcome::Unknown,
        FailureCode::Failed => Outcome::Failed,
        _ => Outcome::NotKept,
    }
}
