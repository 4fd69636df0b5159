//! The transaction of a session: begun at an endpoint with its first statement, and bound to that connection until it ends.

use {
    crate::{
        session::{Answer, Failure, Operation, Session, connect_failure, link_text, no_place, start_by},
        slot::Place,
        slot_request::PlaceRequest,
    },
    cumincart_core::interactive::{
        command::{Command, EndpointErrorKind, Reply},
        failure::{self, Asked, FailureCode, LinkFailure},
        positions::LogPoint,
        routing::Target,
        statement::{Access, Statement, TransactionState},
    },
    cumincart_protocol::{name::EndpointName, time::Instant},
};

/// How many endpoints the begin of a transaction is tried on.
const BEGIN_ATTEMPTS: usize = 3;

/// How far a session's transaction has got.
#[derive(Debug)]
pub(crate) enum Phase {
    /// There is none.
    None,
    /// It has begun for the client, and no endpoint knows of it.
    Pending(Transaction),
    /// It has a connection.
    Open(Transaction),
    /// It has failed, nothing of it is kept, and the client has not ended it yet.
    Failed,
}

/// A transaction that has not failed.
#[derive(Debug)]
pub(crate) struct Transaction {
    operation: Operation,
    read_only: bool,
    wrote: bool,
    pub(crate) place: Option<Place>,
    /// When the client last asked for or got something.
    pub(crate) active_at: Instant,
}

impl Transaction {
    pub(crate) fn new(operation: Operation, read_only: bool, now: Instant) -> Self {
        Self { operation, read_only, wrote: false, place: None, active_at: now }
    }
}

impl Session {
    /// Runs a statement in the transaction; the first one begins it at an endpoint.
    pub(crate) async fn run_in_transaction(&mut self, statement: &Statement, arrived_at: Instant) -> Answer {
        let Some(access) = self.access(statement) else {
            // The endpoint would fail the transaction as well.
            self.abandon_transaction().await;
            return self.refuse(FailureCode::UnknownStatement, "no statement has this name");
        };
        let Some(mut transaction) = self.take_transaction() else {
            return self.refuse(FailureCode::Malformed, "no transaction is open");
        };
        if let Err(failure) = self.begin_at_endpoint(&mut transaction, arrived_at).await {
            self.phase = Phase::Failed;
            return self.fail(failure);
        }
        transaction.wrote |= access == Access::Write;
        match self.pass_on(&mut transaction, statement, Asked::InTransaction, arrived_at).await {
            Ok((reply, rows)) => {
                transaction.active_at = self.engine.now();
                if let Some(place) = transaction.place.as_mut() {
                    place.rest();
                }
                self.phase = Phase::Open(transaction);
                Answer { result: Ok(rows), state: TransactionState::Open, point: reply }
            }
            Err(failure) => {
                self.phase = Phase::Failed;
                roll_back(transaction).await;
                self.fail(failure)
            }
        }
    }

    /// Commits the transaction.
    pub(crate) async fn commit(&mut self, statement: &Statement, arrived_at: Instant) -> Answer {
        match self.phase {
            Phase::None => return self.refuse(FailureCode::Malformed, "no transaction is open"),
            Phase::Failed => {
                self.phase = Phase::None;
                return self.refuse(FailureCode::Aborted, "the transaction has failed and is rolled back");
            }
            Phase::Pending(_) | Phase::Open(_) => {}
        }
        let Some(mut transaction) = self.take_transaction() else {
            return self.refuse(FailureCode::Malformed, "no transaction is open");
        };
        if let Err(failure) = self.begin_at_endpoint(&mut transaction, arrived_at).await {
            return self.fail(failure);
        }
        let asked = Asked::Commit { wrote: transaction.wrote };
        match self.pass_on(&mut transaction, statement, asked, arrived_at).await {
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
        if matches!(self.phase, Phase::None) {
            return self.refuse(FailureCode::Malformed, "no transaction is open");
        }
        self.abandon_transaction().await;
        self.phase = Phase::None;
        self.accept()
    }

    fn take_transaction(&mut self) -> Option<Transaction> {
        match std::mem::replace(&mut self.phase, Phase::None) {
            Phase::Pending(transaction) | Phase::Open(transaction) => Some(transaction),
            phase @ (Phase::None | Phase::Failed) => {
                self.phase = phase;
                None
            }
        }
    }

    /// Begins the transaction at an endpoint, unless that is done.
    async fn begin_at_endpoint(
        &self,
        transaction: &mut Transaction,
        arrived_at: Instant,
    ) -> Result<(), Failure> {
        if transaction.place.is_some() {
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
                    self.engine.needed_point(&operation.database, operation.arrived_at, self.state.committed)
                })
                .flatten();
            let request = PlaceRequest {
                database: &operation.database,
                organisation: &operation.organisation,
                target: point.map_or(Target::Primary, Target::Anywhere),
                tried: &tried,
                arrived_at,
                start_by,
            };
            let mut place = self.engine.place(&request).await.map_err(no_place)?;
            match self.begin_on(&mut place, transaction, point, arrived_at).await {
                Ok(()) => {
                    transaction.place = Some(place);
                    return Ok(());
                }
                Err(failure) => last = failure,
            }
            if !place.is_primary {
                tried.push(place.endpoint.clone());
            }
            if self.engine.now() >= start_by {
                break;
            }
        }
        // Nothing was sent but the begin: nothing is kept.
        Err(Failure::new(FailureCode::Aborted, last.text))
    }

    async fn begin_on(
        &self,
        place: &mut Place,
        transaction: &Transaction,
        point: Option<LogPoint>,
        arrived_at: Instant,
    ) -> Result<(), Failure> {
        let operation = &transaction.operation;
        let deadline = self.engine.deadline(arrived_at + operation.timeout());
        let connected = place.connect(&operation.organisation, &self.state, deadline).await;
        connected.map_err(|failure| connect_failure(Asked::InTransaction, failure, place))?;
        // A plain transaction on the primary is refused by an endpoint that has lost the lead meanwhile.
        let read_only = transaction.read_only && !place.is_primary;
        let after = point.filter(|_| read_only);
        let begin = Command::Begin { read_only, after };
        let replies = place.exchange(vec![begin], deadline).await;
        let replies = replies.map_err(|failure| {
            let text = format!("{}: {}", place.endpoint, link_text(failure));
            Failure::new(FailureCode::Aborted, text)
        })?;
        match replies.into_iter().next().map(|reply| reply.result) {
            Some(Ok(_)) => Ok(()),
            Some(Err(error)) => {
                if error.kind == EndpointErrorKind::Lagging {
                    self.engine.metrics().lagging.inc();
                }
                let text = format!("{}: {}", place.endpoint, error.text);
                Err(Failure::new(FailureCode::Aborted, text))
            }
            None => Err(Failure::new(FailureCode::Aborted, "no reply")),
        }
    }

    /// Sends a statement of the transaction to its endpoint.
    async fn pass_on(
        &self,
        transaction: &mut Transaction,
        statement: &Statement,
        asked: Asked,
        arrived_at: Instant,
    ) -> Result<(Option<LogPoint>, cumincart_core::interactive::command::Rows), Failure> {
        let Some(place) = transaction.place.as_mut() else {
            return Err(Failure::new(FailureCode::Aborted, "the transaction has no connection"));
        };
        let deadline = self.engine.deadline(arrived_at + transaction.operation.timeout());
        let link_failure = |place: &Place, failure: LinkFailure| {
            let text = format!("{}: {}", place.endpoint, link_text(failure));
            Failure::new(failure::of_link_failure(asked, failure), text)
        };
        place.adopt(&self.state, deadline).await.map_err(|failure| {
            let text = format!("{}: {}", place.endpoint, link_text(failure));
            Failure::new(failure::of_link_failure(asked, LinkFailure::NotSent), text)
        })?;
        let commands = self.commands(place, statement, None);
        let mut replies = match place.exchange(commands, deadline).await {
            Ok(replies) => replies,
            Err(failure) => return Err(link_failure(place, failure)),
        };
        let Some(Reply { result, point, .. }) = replies.pop() else {
            return Err(link_failure(place, LinkFailure::Broken));
        };
        let rows = result.map_err(|error| {
            let text = format!("{}: {}", place.endpoint, error.text);
            Failure::new(failure::of_error(asked, error.kind), text)
        })?;
        Ok((point, rows))
    }
}

async fn roll_back(mut transaction: Transaction) {
    if let Some(place) = transaction.place.take() {
        place.roll_back().await;
    }
}
