//! A client's session: its values and prepared statements, and the statement or transaction that is under way.
//!
//! A session asks for one statement at a time and gets one answer to each.

use {
    crate::{
        engine::{Engine, StopPhase, own_rows},
        metrics::{Outcome, StatementLabels},
        place::{ConnectFailure, Place},
        placing::{NoPlace, PlaceRequest},
        stop,
        transaction::{Phase, Transaction},
    },
    cumincart_core::interactive::{
        authority::{self, ReadGuard},
        command::{Command, EndpointErrorKind, Reply, Rows},
        positions::LogPoint,
        routing::Target,
        session::{Prepared, SessionState},
        statement::{Access, Action, Statement, TransactionState},
        verdict::{self, Asked, FailureCode, LinkFailure},
    },
    cumincart_protocol::{
        lists::Database,
        name::{EndpointName, OrganisationName},
        time::Instant,
    },
    rand::RngExt,
    sha2::{Digest, Sha256},
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The part of a statement's timeout within which it must have a place, in thousandths: what is left is for the endpoint
/// to run it.
const START_BY_PER_MILLE: u32 = 600;

/// The part of the latency objective for which an operation waits for a token of its organisation's rate, in thousandths.
/// A share can move here meanwhile; where the whole rate is used up, waiting longer only makes all of the organisation's
/// operations late.
const TOKEN_WAIT_PER_MILLE: u32 = 400;

/// How many endpoints a read is tried on.
const READ_ATTEMPTS: usize = 3;

/// How many times a write that was not sent is tried.
const WRITE_ATTEMPTS: usize = 2;

/// The organisation that endpoints are told where a database is open to all.
const NO_ORGANISATION: &str = "-";

/// What a client gets for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The rows, or why there are none.
    pub result: Result<Rows, Failure>,
    /// Whether the session is inside a transaction now.
    pub state: TransactionState,
    /// How far the endpoint's log was; none where no endpoint was asked.
    pub point: Option<LogPoint>,
}

/// Why a statement did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What kind it is, and with it what it promises.
    pub code: FailureCode,
    /// One sentence for a person.
    pub text: Arc<str>,
}

impl Failure {
    pub(crate) fn new(code: FailureCode, text: impl Into<Arc<str>>) -> Self {
        Self { code, text: text.into() }
    }
}

/// What an operation runs as: the database and the organisation as they were when it began.
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

/// An open session. Dropping it ends it and rolls an open transaction back.
#[derive(Debug)]
pub struct Session {
    pub(crate) engine: Engine,
    database: Arc<str>,
    key_digest: Option<[u8; 32]>,
    pub(crate) state: SessionState,
    pub(crate) phase: Phase,
}

impl Session {
    /// Opens a session on a database, for whoever the key stands for.
    pub fn open(engine: &Engine, database: &str, key: Option<&str>) -> Result<Self, Failure> {
        let session = Self {
            engine: engine.clone(),
            database: database.into(),
            key_digest: key.map(|key| Sha256::digest(key.as_bytes()).into()),
            state: SessionState::default(),
            phase: Phase::None,
        };
        engine.count_session(true);
        let found = if engine.refuses_sessions() {
            Err(Failure::new(FailureCode::Busy, "this instance is stopping"))
        } else {
            session.identify(engine.now()).map(|_| ())
        };
        if let Err(failure) = found {
            if let Some(left_out) = engine.decisions().takes_failure(engine.now()) {
                info!(engine.logger(), "session refused";
                    "database" => database, "why" => &*failure.text, "lines_left_out" => left_out);
            }
            return Err(failure);
        }
        Ok(session)
    }

    /// The database and the organisation as the lists in force have them.
    fn identify(&self, now: Instant) -> Result<Operation, Failure> {
        // Read before the lock: the phase is not part of the state.
        let is_stopping = self.engine.refuses_operations();
        let state = self.engine.lock();
        let freshness = &state.fleet.freshness;
        if is_stopping {
            return Err(Failure::new(FailureCode::Busy, "this instance is stopping"));
        }
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
        Ok(Operation { database: database.clone(), organisation, arrived_at: now })
    }

    /// Begins an operation: whose it is, and whether its organisation's rate allows it.
    async fn begin_operation(&self, arrived_at: Instant) -> Result<Operation, Failure> {
        let operation = Operation { arrived_at, ..self.identify(self.engine.now())? };
        if operation.database.open {
            return Ok(operation);
        }
        let wait = Duration::from_millis(operation.database.objective_ms) * TOKEN_WAIT_PER_MILLE / 1_000;
        let priority = operation.database.priority;
        if self.engine.take_token(&operation.organisation, arrived_at + wait, priority).await {
            return Ok(operation);
        }
        let text = format!("the rate of {} is used up here", operation.organisation);
        Err(Failure::new(FailureCode::Busy, text))
    }

    /// Runs a statement.
    pub async fn run(&mut self, statement: Statement) -> Answer {
        let arrived_at = self.engine.now();
        let answer = self.run_action(&statement, arrived_at).await;
        self.note(&statement, arrived_at, &answer);
        answer
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
                Phase::None => self.run_single(statement, arrived_at).await,
                Phase::Failed => self.refuse(FailureCode::Malformed, "the transaction has failed"),
                Phase::Pending(_) | Phase::Open(_) => self.run_in_transaction(statement, arrived_at).await,
            },
        }
    }

    /// Changes what the session itself holds.
    fn change_session(&mut self, action: &Action) -> Answer {
        if matches!(self.phase, Phase::Failed) {
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
        self.refuse(FailureCode::Malformed, "the session holds as many values and statements as it may")
    }

    async fn begin(&mut self, read_only: bool, arrived_at: Instant) -> Answer {
        if !matches!(self.phase, Phase::None) {
            return self.refuse(FailureCode::Malformed, "a transaction is open");
        }
        match self.begin_operation(arrived_at).await {
            Ok(operation) => {
                self.phase = Phase::Pending(Transaction::new(operation, read_only, self.engine.now()));
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
        let asked = if access == Access::Read { Asked::Read } else { Asked::Write };
        let attempts = if access == Access::Read { READ_ATTEMPTS } else { WRITE_ATTEMPTS };
        let mut tried: Vec<EndpointName> = Vec::new();
        let mut last = Failure::new(FailureCode::Busy, "no endpoint can serve the statement now");
        for _ in 0..attempts {
            match self.attempt(statement, &operation, asked, &mut tried).await {
                Attempt::Answered(answer) => return answer,
                Attempt::TryAgain(failure) => last = failure,
            }
            if self.engine.now() >= start_by(&operation, arrived_at) {
                break;
            }
        }
        self.fail(last)
    }

    /// Tries a single statement on one endpoint.
    async fn attempt(
        &mut self,
        statement: &Statement,
        operation: &Operation,
        asked: Asked,
        tried: &mut Vec<EndpointName>,
    ) -> Attempt {
        let database = &operation.database;
        let point = match asked {
            Asked::Read => self.engine.needed_point(database, operation.arrived_at, self.state.committed),
            _ => None,
        };
        let request = PlaceRequest {
            database,
            organisation: &operation.organisation,
            target: point.map_or(Target::Primary, Target::Anywhere),
            tried,
            arrived_at: operation.arrived_at,
            start_by: start_by(operation, operation.arrived_at),
        };
        let mut place = match self.engine.place(&request).await {
            Ok(place) => place,
            Err(refusal) => return Attempt::Answered(self.fail(no_place(refusal))),
        };
        let deadline = self.engine.deadline(operation.arrived_at + operation.timeout());
        if let Err(failure) = place.connect(&operation.organisation, &self.state, deadline).await {
            tried_unless_primary(tried, &place);
            return Attempt::TryAgain(connect_failure(asked, failure, &place));
        }
        let guard = match asked {
            Asked::Read => authority::read_guard(place.authority(), place.is_primary, point),
            _ => ReadGuard::None,
        };
        match self.exchange_guarded(&mut place, statement, guard, deadline).await {
            Ok(mut replies) => {
                let reply = replies.pop();
                self.finish_attempt(asked, reply, &place, tried)
            }
            Err(failure) => {
                tried_unless_primary(tried, &place);
                let text = format!("{}: {}", place.endpoint, link_text(failure));
                let failed = Failure::new(verdict::of_link_failure(asked, failure), text);
                let may_repeat = asked == Asked::Read && failure != LinkFailure::TimedOut;
                if may_repeat || failure.is_not_sent() {
                    return Attempt::TryAgain(failed);
                }
                Attempt::Answered(self.fail(failed))
            }
        }
    }

    /// Sends a statement with what guards it. The last reply is the statement's, or that of the guard which failed.
    async fn exchange_guarded(
        &self,
        place: &mut Place,
        statement: &Statement,
        guard: ReadGuard,
        deadline: tokio::time::Instant,
    ) -> Result<Vec<Reply>, LinkFailure> {
        let after = match guard {
            ReadGuard::After(point) => Some(point),
            ReadGuard::None | ReadGuard::Transaction => None,
        };
        if guard == ReadGuard::Transaction {
            // The read goes out only after the endpoint has shown that it leads.
            let begin = Command::Begin { read_only: false, after: None };
            let replies = place.exchange(vec![begin], deadline).await?;
            if replies.iter().any(|reply| reply.result.is_err()) {
                return Ok(replies);
            }
        }
        let mut commands = self.commands(place, statement, after);
        if guard == ReadGuard::Transaction {
            commands.push(Command::Rollback);
        }
        let mut replies = place.exchange(commands, deadline).await?;
        if guard == ReadGuard::Transaction {
            replies.pop();
        }
        Ok(replies)
    }

    fn finish_attempt(
        &mut self,
        asked: Asked,
        reply: Option<Reply>,
        place: &Place,
        tried: &mut Vec<EndpointName>,
    ) -> Attempt {
        let Some(reply) = reply else {
            let text = format!("{}: no reply", place.endpoint);
            return Attempt::Answered(self.fail(Failure::new(FailureCode::InDoubt, text)));
        };
        match reply.result {
            Ok(rows) => {
                self.count_read(asked, place);
                if asked == Asked::Write {
                    self.state.committed = self.state.committed.max(reply.point);
                }
                let state = TransactionState::Idle;
                Attempt::Answered(Answer { result: Ok(rows), state, point: reply.point })
            }
            Err(error) => {
                let text = format!("{}: {}", place.endpoint, error.text);
                let failure = Failure::new(verdict::of_error(asked, error.kind), text);
                let is_elsewhere_possible = matches!(
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
                if asked == Asked::Read && is_elsewhere_possible {
                    tried.push(place.endpoint.clone());
                    return Attempt::TryAgain(failure);
                }
                Attempt::Answered(self.fail(failure))
            }
        }
    }

    fn count_read(&self, asked: Asked, place: &Place) {
        let metrics = self.engine.metrics();
        match (asked, place.is_primary) {
            (Asked::Read, false) => metrics.reads_on_replica.inc(),
            (Asked::Read, true) => metrics.reads_on_primary.inc(),
            _ => 0,
        };
    }

    /// The commands that run a statement on a place's connection.
    pub(crate) fn commands(
        &self,
        place: &mut Place,
        statement: &Statement,
        after: Option<LogPoint>,
    ) -> Vec<Command> {
        let id = statement.id.clone();
        match &statement.action {
            Action::Execute { name, arguments } => {
                let Some(prepared) = self.state.prepared(name) else { return Vec::new() };
                let run = Command::Execute {
                    id,
                    name: prepared.shared_name(),
                    arguments: arguments.clone(),
                    after,
                };
                place.prepare(prepared).into_iter().chain([run]).collect()
            }
            Action::Run { text, .. } => vec![Command::Run { id, text: text.clone(), after }],
            Action::Commit => vec![Command::Commit { id }],
            _ => Vec::new(),
        }
    }

    /// Whether a statement reads or writes; none where it names a prepared statement that is not known.
    pub(crate) fn access(&self, statement: &Statement) -> Option<Access> {
        match &statement.action {
            Action::Run { access, .. } => Some(*access),
            Action::Execute { name, .. } => self.state.prepared(name).map(|prepared| prepared.access),
            _ => Some(Access::Read),
        }
    }

    /// The answer to a statement that can't be read.
    pub fn malformed(&self) -> Answer {
        self.refuse(FailureCode::Malformed, "the statement can't be read")
    }

    /// Until when the open transaction may rest.
    pub fn rests_until(&self) -> Option<tokio::time::Instant> {
        let (Phase::Pending(transaction) | Phase::Open(transaction)) = &self.phase else { return None };
        let idle_ms = self.engine.lock().fleet.freshness.catalogue.lists.interactive.idle_transaction_ms;
        let until = transaction.active_at + Duration::from_millis(idle_ms);
        (idle_ms > 0).then(|| self.engine.deadline(until))
    }

    /// Ends a transaction that has rested too long, or that a planned stop has no time for.
    pub async fn abandon_transaction(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Failed);
        if let Phase::Open(mut transaction) = phase
            && let Some(place) = transaction.place.take()
        {
            place.roll_back().await;
        }
    }

    /// Whether a transaction is open, so that closing the session would cut it.
    pub fn is_in_transaction(&self) -> bool {
        matches!(self.phase, Phase::Pending(_) | Phase::Open(_))
    }

    /// Waits until a planned stop wants this session closed, which is at rest.
    pub async fn stop_wanted(&self) {
        let mut phase = self.engine.phase();
        let (from, spread) = match self.phase {
            Phase::Pending(_) | Phase::Open(_) => (StopPhase::Ending, Duration::ZERO),
            Phase::None | Phase::Failed => (StopPhase::Closing, stop::CLOSING),
        };
        // An error says that the engine is gone.
        let _ = phase.wait_for(|phase| *phase >= from).await;
        if spread > Duration::ZERO {
            let pause_ms = rand::rng().random_range(0..u64::try_from(spread.as_millis()).unwrap_or(1));
            let pause = Duration::from_millis(pause_ms);
            // A timeout says that this session's turn has come before the end of all sessions at rest.
            let _ = timeout(pause, phase.wait_for(|phase| *phase >= StopPhase::Ending)).await;
        }
    }

    pub(crate) fn transaction_state(&self) -> TransactionState {
        match self.phase {
            Phase::None => TransactionState::Idle,
            Phase::Pending(_) | Phase::Open(_) => TransactionState::Open,
            Phase::Failed => TransactionState::Failed,
        }
    }

    pub(crate) fn accept(&self) -> Answer {
        Answer { result: Ok(own_rows()), state: self.transaction_state(), point: None }
    }

    pub(crate) fn refuse(&self, code: FailureCode, text: &str) -> Answer {
        self.fail(Failure::new(code, text))
    }

    pub(crate) fn fail(&self, failure: Failure) -> Answer {
        Answer { result: Err(failure), state: self.transaction_state(), point: None }
    }

    fn note(&self, statement: &Statement, arrived_at: Instant, answer: &Answer) {
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
            Ok(_) if !self.engine.decisions().takes_success() => {}
            Ok(_) => {
                info!(self.engine.logger(), "statement succeeded";
                    "request" => &*statement.id, "database" => &*self.database, "took_ms" => took_ms);
            }
            Err(failure) => {
                let Some(left_out) = self.engine.decisions().takes_failure(now) else { return };
                let (revision, term_lease_ms) = self.inputs(now);
                warn!(self.engine.logger(), "statement failed";
                    "request" => &*statement.id, "database" => &*self.database, "took_ms" => took_ms,
                    "code" => ?failure.code, "why" => &*failure.text, "revision" => revision,
                    "term_lease_ms" => term_lease_ms, "lines_left_out" => left_out);
            }
        }
    }

    /// What decisions rested on: the catalogue's revision, and how long the lease on terms still runs.
    fn inputs(&self, now: Instant) -> (u64, u64) {
        let state = self.engine.lock();
        let freshness = &state.fleet.freshness;
        let left = freshness.term_lease_until.saturating_since(now);
        (freshness.revision().0, u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.engine.count_session(false);
        let phase = std::mem::replace(&mut self.phase, Phase::None);
        if let Phase::Open(mut transaction) = phase
            && let Some(place) = transaction.place.take()
        {
            tokio::spawn(place.roll_back());
        }
    }
}

enum Attempt {
    Answered(Answer),
    TryAgain(Failure),
}

/// Until when a statement that arrived at this instant must have a place.
pub(crate) fn start_by(operation: &Operation, arrived_at: Instant) -> Instant {
    arrived_at + operation.timeout() * START_BY_PER_MILLE / 1_000
}

/// The primary stays a candidate: nobody else may take its place, but its successor.
fn tried_unless_primary(tried: &mut Vec<EndpointName>, place: &Place) {
    if !place.is_primary {
        tried.push(place.endpoint.clone());
    }
}

pub(crate) fn no_place(refusal: NoPlace) -> Failure {
    match refusal {
        NoPlace::NoEndpoint => Failure::new(FailureCode::Busy, "no endpoint can serve the statement now"),
        NoPlace::Busy { retry_after_ms, occupancy } => {
            let text = format!("overloaded ({occupancy}), retry after {retry_after_ms} ms");
            Failure::new(FailureCode::Busy, text)
        }
        NoPlace::Late => Failure::new(FailureCode::Busy, "no place came in time"),
    }
}

pub(crate) fn connect_failure(asked: Asked, failure: ConnectFailure, place: &Place) -> Failure {
    let text = match failure {
        ConnectFailure::Open(failure) => format!("{}: no connection ({failure:?})", place.endpoint),
        ConnectFailure::Link(failure) => format!("{}: {}", place.endpoint, link_text(failure)),
    };
    // Nothing of the statement was sent yet, whatever became of the connection.
    Failure::new(verdict::of_link_failure(asked, LinkFailure::NotSent), text)
}

pub(crate) fn link_text(failure: LinkFailure) -> &'static str {
    match failure {
        LinkFailure::NotSent => "nothing could be sent",
        LinkFailure::NoSlot => "the instance that holds the connections has no place in time",
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
