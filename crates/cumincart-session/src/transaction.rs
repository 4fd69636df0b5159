//! Transactions of sessions. A transaction begins at an endpoint with its first statement and stays on that connection
//! until it ends.

use {
    crate::{
        session::{
            Answer, Failure, Operation, PREPARE_REFUSED, STOPPING, Session, connect_failure,
            link_failure_text, slot_failure, start_by, statement_commands,
        },
        slot::Slot,
        slot_request::SlotRequest,
    },
    cumincart_core::interactive::{
        command::{Command, EndpointErrorKind, Reply},
        failure::{self, FailureCode, LinkFailure, StatementKind},
        open_transaction::{self, Obstacle, OpenTransaction},
        positions::LogPoint,
        routing::Target,
        statement::{Access, Statement, TransactionState},
    },
    cumincart_protocol::{name::EndpointName, number::Term, time::Instant},
};

/// The maximum number of attempts to begin a transaction, each on another endpoint unless it is the primary.
const BEGIN_ATTEMPTS: usize = 3;

/// The phase of a session's transaction.
#[derive(Debug)]
pub(crate) enum TransactionPhase {
    /// No transaction is open.
    None,
    /// The client has begun the transaction, but it has not begun at an endpoint yet.
    Pending(Transaction),
    /// The transaction is open at an endpoint.
    Open(Transaction),
    /// The transaction has failed and is rolled back, but the client has not ended it yet.
    Failed,
}

/// A transaction that has not failed.
#[derive(Debug)]
pub(crate) struct Transaction {
    operation: Operation,
    read_only: bool,
    wrote: bool,
    pub(crate) slot: Option<Slot>,
    /// When the transaction began or its last statement succeeded; the idle timeout counts from then.
    pub(crate) last_active_at: Instant,
}

impl Transaction {
    pub(crate) fn new(operation: Operation, read_only: bool, now: Instant) -> Self {
        Self { operation, read_only, wrote: false, slot: None, last_active_at: now }
    }
}

impl Session {
    /// Runs a statement in the transaction. The first statement begins the transaction at an endpoint.
    pub(crate) async fn run_in_transaction(&mut self, statement: &Statement, arrived_at: Instant) -> Answer {
        let Some(access) = self.access(statement) else {
            // As at an endpoint, an unknown statement fails the transaction.
            self.abort_transaction().await;
            return self.refuse(FailureCode::UnknownStatement, "no statement has this name");
        };
        self.progress.kind = Some(StatementKind::InTransaction);
        let Some(mut transaction) = self.take_transaction() else {
            return self.refuse(FailureCode::Malformed, "no transaction is open");
        };
        if self.engine.refuses(transaction.operation.timeout()) {
            self.phase = TransactionPhase::Failed;
            roll_back_later(transaction);
            return self.refuse(FailureCode::Aborted, STOPPING);
        }
        transaction.wrote |= access == Access::Write;
        if let Err(failure) = self.check_open_transaction(&transaction) {
            self.phase = TransactionPhase::Failed;
            roll_back_later(transaction);
            return self.fail(failure);
        }
        if let Err(failure) = self.begin_at_endpoint(&mut transaction, arrived_at).await {
            self.phase = TransactionPhase::Failed;
            return self.fail(failure);
        }
        match self.forward(&mut transaction, statement, StatementKind::InTransaction, arrived_at).await {
            Ok((reply, rows)) => {
                transaction.last_active_at = self.engine.now();
                if let Some(slot) = transaction.slot.as_mut() {
                    slot.suspend();
                }
                self.phase = TransactionPhase::Open(transaction);
                Answer { result: Ok(rows), state: TransactionState::Open, point: reply }
            }
            Err(failure) => {
                self.phase = TransactionPhase::Failed;
                roll_back(transaction).await;
                self.fail(failure)
            }
        }
    }

    /// Commits the transaction.
    pub(crate) async fn commit(&mut self, statement: &Statement, arrived_at: Instant) -> Answer {
        match self.phase {
            TransactionPhase::None => return self.refuse(FailureCode::Malformed, "no transaction is open"),
            TransactionPhase::Failed => {
                self.phase = TransactionPhase::None;
                return self.refuse(FailureCode::Aborted, "the transaction has failed and is rolled back");
            }
            TransactionPhase::Pending(_) | TransactionPhase::Open(_) => {}
        }
        let Some(mut transaction) = self.take_transaction() else {
            return self.refuse(FailureCode::Malformed, "no transaction is open");
        };
        self.progress.kind = Some(StatementKind::Commit { wrote: transaction.wrote });
        if self.engine.refuses(transaction.operation.timeout()) {
            roll_back_later(transaction);
            return self.refuse(FailureCode::Aborted, STOPPING);
        }
        if let Err(failure) = self.check_open_transaction(&transaction) {
            roll_back_later(transaction);
            return self.fail(failure);
        }
        if let Err(failure) = self.begin_at_endpoint(&mut transaction, arrived_at).await {
            return self.fail(failure);
        }
        let term = self.commit_term(&transaction);
        if transaction.wrote && term.is_none() {
            roll_back_later(transaction);
            return self.fail(interruption(Obstacle::PrimaryReplaced));
        }
        let kind = StatementKind::Commit { wrote: transaction.wrote };
        self.progress.is_sent = true;
        match self.forward(&mut transaction, statement, kind, arrived_at).await {
            Ok(_) if transaction.wrote && self.commit_term(&transaction) != term => {
                self.fail(unconfirmed_commit())
            }
            Ok((point, rows)) => {
                if transaction.wrote {
                    self.state.committed = self.state.committed.max(point);
                }
                Answer { result: Ok(rows), state: TransactionState::Idle, point }
            }
            Err(failure) => {
                roll_back(transaction).await;
                self.fail(failure)
            }
        }
    }

    /// Rolls the transaction back.
    pub(crate) async fn roll_back(&mut self) -> Answer {
        if matches!(self.phase, TransactionPhase::None) {
            return self.refuse(FailureCode::Malformed, "no transaction is open");
        }
        self.abort_transaction().await;
        self.phase = TransactionPhase::None;
        self.accept()
    }

    fn take_transaction(&mut self) -> Option<Transaction> {
        match std::mem::replace(&mut self.phase, TransactionPhase::None) {
            TransactionPhase::Pending(transaction) | TransactionPhase::Open(transaction) => Some(transaction),
            phase @ (TransactionPhase::None | TransactionPhase::Failed) => {
                self.phase = phase;
                None
            }
        }
    }

    /// Checks that nothing that the transaction relies on has changed since it began.
    fn check_open_transaction(&self, transaction: &Transaction) -> Result<(), Failure> {
        let operation = &transaction.operation;
        let open = OpenTransaction {
            service: &operation.database.service,
            organisation: (!operation.database.open).then_some(&operation.organisation),
            key_digest: self.key_digest.as_ref(),
            endpoint: transaction.slot.as_ref().map(|slot| &slot.endpoint),
            wrote: transaction.wrote,
        };
        let now = self.engine.now();
        let obstacle = open_transaction::obstacle(&self.engine.lock().core.freshness, now, &open);
        obstacle.map_or(Ok(()), |obstacle| Err(interruption(obstacle)))
    }

    /// Returns the term under which the transaction's commit may be acknowledged now.
    fn commit_term(&self, transaction: &Transaction) -> Option<Term> {
        let slot = transaction.slot.as_ref()?;
        self.engine.commit_term(&slot.service, &slot.endpoint)
    }

    /// Begins the transaction at an endpoint if it hasn't begun there yet.
    async fn begin_at_endpoint(
        &self,
        transaction: &mut Transaction,
        arrived_at: Instant,
    ) -> Result<(), Failure> {
        if transaction.slot.is_some() {
            return Ok(());
        }
        let operation = &transaction.operation;
        let start_by = start_by(operation, arrived_at);
        let mut tried: Vec<EndpointName> = Vec::new();
        let mut last = Failure::new(FailureCode::Busy, "no endpoint can serve the transaction now");
        for _ in 0..BEGIN_ATTEMPTS {
            let point = transaction
                .read_only
                .then(|| {
                    self.engine.required_point(
                        &operation.database,
                        operation.arrived_at,
                        self.state.committed,
                    )
                })
                .flatten();
            let request = SlotRequest {
                database: &operation.database,
                organisation: &operation.organisation,
                target: point.map_or(Target::Primary, Target::Anywhere),
                tried: &tried,
                arrived_at,
                start_by,
            };
            let mut slot = self.engine.acquire_slot(&request).await.map_err(slot_failure)?;
            match self.begin_on(&mut slot, transaction, point, arrived_at).await {
                Ok(()) => {
                    transaction.slot = Some(slot);
                    return Ok(());
                }
                Err(failure) => last = failure,
            }
            if !slot.is_primary {
                tried.push(slot.endpoint.clone());
            }
            if self.engine.now() >= start_by {
                break;
            }
        }
        // At most the begin was sent, so nothing can have been committed.
        Err(Failure::new(FailureCode::Aborted, last.text))
    }

    async fn begin_on(
        &self,
        slot: &mut Slot,
        transaction: &Transaction,
        point: Option<LogPoint>,
        arrived_at: Instant,
    ) -> Result<(), Failure> {
        let operation = &transaction.operation;
        let deadline = self.engine.deadline(arrived_at + operation.timeout());
        let connected = slot.connect(&operation.organisation, &self.state, deadline).await;
        connected.map_err(|failure| connect_failure(StatementKind::InTransaction, failure, slot))?;
        // On the primary a read-only transaction runs as read-write, because an endpoint that has been demoted refuses
        // it.
        let read_only = transaction.read_only && !slot.is_primary;
        let after = point.filter(|_| read_only);
        let begin = Command::Begin { read_only, after };
        let replies = slot.exchange(vec![begin], deadline).await;
        let replies = replies.map_err(|failure| {
            let text = format!("{}: {}", slot.endpoint, link_failure_text(failure));
            Failure::new(FailureCode::Aborted, text)
        })?;
        match replies.into_iter().next().map(|reply| reply.result) {
            Some(Ok(_)) => Ok(()),
            Some(Err(error)) => {
                if error.kind == EndpointErrorKind::Lagging {
                    self.engine.metrics().lagging.inc();
                }
                let text = format!("{}: {}", slot.endpoint, error.text);
                Err(Failure::new(FailureCode::Aborted, text))
            }
            None => Err(Failure::new(FailureCode::Aborted, "no reply")),
        }
    }

    /// Sends a statement of the transaction to its endpoint.
    async fn forward(
        &self,
        transaction: &mut Transaction,
        statement: &Statement,
        kind: StatementKind,
        arrived_at: Instant,
    ) -> Result<(Option<LogPoint>, cumincart_core::interactive::command::Rows), Failure> {
        let Some(slot) = transaction.slot.as_mut() else {
            return Err(Failure::new(FailureCode::Aborted, "the transaction has no connection"));
        };
        let deadline = self.engine.deadline(arrived_at + transaction.operation.timeout());
        let link_failure = |slot: &Slot, failure: LinkFailure| {
            let text = format!("{}: {}", slot.endpoint, link_failure_text(failure));
            Failure::new(failure::code_for_link_failure(kind, failure), text)
        };
        slot.apply_session(&self.state, deadline).await.map_err(|failure| {
            let text = format!("{}: {}", slot.endpoint, link_failure_text(failure));
            Failure::new(failure::code_for_link_failure(kind, LinkFailure::NotSent), text)
        })?;
        let name = self.prepare(slot, statement, deadline).await.map_err(|failure| {
            let text = format!("{}: {PREPARE_REFUSED}", slot.endpoint);
            Failure::new(failure::code_for_link_failure(kind, failure), text)
        })?;
        let commands = statement_commands(statement, name, None);
        let mut replies = match slot.exchange(commands, deadline).await {
            Ok(replies) => replies,
            Err(failure) => return Err(link_failure(slot, failure)),
        };
        let Some(Reply { result, point, .. }) = replies.pop() else {
            return Err(link_failure(slot, LinkFailure::Broken));
        };
        let rows = result.map_err(|error| {
            let text = format!("{}: {}", slot.endpoint, error.text);
            Failure::new(failure::code_for_error(kind, error.kind), text)
        })?;
        Ok((point, rows))
    }
}

/// Returns the answer to the statement at which an open transaction had to be rolled back.
fn interruption(obstacle: Obstacle) -> Failure {
    let (code, text) = match obstacle {
        Obstacle::LeaseExpired => (FailureCode::Aborted, "this instance has no lease on the lists"),
        Obstacle::KeyWithdrawn => (FailureCode::Unauthorised, "the key is not known any more"),
        Obstacle::OutOfService => {
            (FailureCode::Aborted, "the failure domain of the transaction's endpoint is out of service")
        }
        Obstacle::PrimaryReplaced => {
            (FailureCode::Aborted, "the transaction's endpoint is not, or may not be, the primary any more")
        }
    };
    Failure::new(code, text)
}

/// Returns the answer to a write or commit that an endpoint confirmed after another one may have been chosen as the
/// primary, perhaps without it.
pub(crate) fn unconfirmed_commit() -> Failure {
    Failure::new(FailureCode::InDoubt, "the primary has changed, or may have changed, during the commit")
}

/// Rolls a transaction back without delaying the client's answer.
fn roll_back_later(transaction: Transaction) {
    tokio::spawn(roll_back(transaction));
}

async fn roll_back(mut transaction: Transaction) {
    if let Some(slot) = transaction.slot.take() {
        slot.roll_back().await;
    }
}
