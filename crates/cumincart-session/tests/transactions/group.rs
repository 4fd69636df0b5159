//! An in-memory database group behind the session engine's driver. It records what arrives at each endpoint.

use {
    cumincart_core::{
        control::PromotedState,
        interactive::{
            command::{Command, EndpointError, EndpointErrorKind, Reply, Rows, TransactionState},
            positions::LogPoint,
        },
    },
    cumincart_protocol::{
        announcement::{LogState, Role},
        name::EndpointName,
        number::{LogPosition, Timeline},
        peer::PEER_MAX_BYTES,
    },
    cumincart_session::driver::{Connection, Destination, Driver, Exchange, InvalidDestination, OpenFailure},
    std::{
        future,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::sleep,
    },
};

/// The maximum length of a statement that is sent together with a log point, in bytes.
pub const GUARDED_STATEMENT_MAX_BYTES: usize = 64;

/// A command that arrived at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    pub endpoint: EndpointName,
    /// The instance that holds the connection.
    pub instance: &'static str,
    /// The client's identifier of the statement, or the keyword of a command that the instance issued itself.
    pub what: String,
}

#[derive(Debug)]
struct GroupState {
    primary: EndpointName,
    /// The identifiers of committed writes. All endpoints receive them at once.
    log: Vec<String>,
    arrivals: Vec<Arrival>,
    /// The number of `PREPARE` commands that are still refused.
    refused_prepares: u32,
    /// The names that were prepared while the endpoint held, or may have held, a statement under them.
    prepared_twice: Vec<Arc<str>>,
    /// The identifier of the statement whose answer is longer than instances may send to each other.
    long_answer: Option<String>,
    /// Whether a promotion was requested.
    is_promoting: bool,
}

/// A group that never completes a promotion and holds back selected answers.
#[derive(Debug, Clone)]
pub struct Group {
    state: Arc<Mutex<GroupState>>,
    /// The identifier of the statement whose answer is held back.
    held: watch::Sender<Option<String>>,
}

/// The state of one connection.
struct ConnectionContext {
    instance: &'static str,
    endpoint: EndpointName,
    transaction: Option<Vec<String>>,
    prepared: Vec<Arc<str>>,
    /// The names of statements whose preparing has failed, which the endpoint may hold or not.
    failed_prepares: Vec<Arc<str>>,
}

impl Group {
    pub fn open(primary: &str) -> Self {
        let state = GroupState {
            primary: primary.into(),
            log: Vec::new(),
            arrivals: Vec::new(),
            refused_prepares: 0,
            prepared_twice: Vec::new(),
            long_answer: None,
            is_promoting: false,
        };
        Self { state: Arc::new(Mutex::new(state)), held: watch::Sender::new(None) }
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the driver with which an instance connects to the endpoints.
    pub fn driver(&self, instance: &'static str) -> Driver {
        let group = self.clone();
        Driver {
            fences_terms: true,
            guarded_statement_max_bytes: GUARDED_STATEMENT_MAX_BYTES,
            check: check_destination,
            open: Arc::new(move |destination| {
                let group = group.clone();
                Box::pin(async move {
                    // As an endpoint's driver does that can't write the line.
                    check_destination(&destination).map_err(|_| OpenFailure::Unreachable)?;
                    Ok(group.connect(instance, &destination))
                })
            }),
        }
    }

    fn connect(&self, instance: &'static str, destination: &Destination) -> Connection {
        let (exchanges, queue) = mpsc::unbounded_channel();
        let context = ConnectionContext {
            instance,
            endpoint: destination.endpoint.clone(),
            transaction: None,
            prepared: Vec::new(),
            failed_prepares: Vec::new(),
        };
        tokio::spawn(self.clone().serve(context, queue));
        Connection { exchanges }
    }

    async fn serve(self, mut context: ConnectionContext, mut queue: mpsc::UnboundedReceiver<Exchange>) {
        while let Some(Exchange { commands, replies }) = queue.recv().await {
            let mut answers = Vec::new();
            for command in &commands {
                answers.push(self.run(&mut context, command));
                let id = command.client_id().map(ToOwned::to_owned);
                sleep(duration(id.as_deref())).await;
                let mut held = self.held.subscribe();
                let is_released = |held: &Option<String>| held.is_none() || *held != id;
                held.wait_for(is_released).await.expect("the group outlives its connections");
            }
            // Fails if the instance no longer waits.
            let _ = replies.send(Ok(answers));
        }
    }

    fn run(&self, context: &mut ConnectionContext, command: &Command) -> Reply {
        let mut state = self.lock();
        let arrival = Arrival {
            endpoint: context.endpoint.clone(),
            instance: context.instance,
            what: describe(command),
        };
        state.arrivals.push(arrival);
        let result = state.execute(context, command);
        let transaction_state = match &context.transaction {
            None => TransactionState::Idle,
            Some(_) if result.is_err() => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        };
        Reply { result, state: transaction_state, point: Some(state.point()) }
    }

    /// Answers a probe of the control leader.
    pub fn probe(&self, endpoint: &EndpointName) -> LogState {
        let state = self.lock();
        let role = if state.primary == *endpoint { Role::Primary } else { Role::Replica };
        let LogPoint { timeline, position } = state.point();
        LogState { role, timeline, position, lag_ms: 0 }
    }

    /// Accepts a promotion, which doesn't complete while a test runs.
    pub async fn promote(self) -> PromotedState {
        self.lock().is_promoting = true;
        future::pending().await
    }

    /// Returns whether a promotion was requested. By then the positions of all endpoints have been read.
    pub fn is_promoting(&self) -> bool {
        self.lock().is_promoting
    }

    /// Holds back the answer to a statement.
    pub fn hold_answer(&self, id: &str) {
        self.held.send_replace(Some(id.to_owned()));
    }

    /// Sends the answer that is held back.
    pub fn release_answer(&self) {
        self.held.send_replace(None);
    }

    /// Refuses the next `PREPARE` command.
    pub fn refuse_next_prepare(&self) {
        self.lock().refused_prepares = 1;
    }

    /// Makes the answer to a statement longer than instances may send to each other.
    pub fn lengthen_answer(&self, id: &str) {
        self.lock().long_answer = Some(id.to_owned());
    }

    /// Returns the names that were prepared while the endpoint held, or may have held, a statement under them.
    pub fn prepared_twice(&self) -> Vec<Arc<str>> {
        self.lock().prepared_twice.clone()
    }

    /// Returns what has arrived at the endpoints, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns the endpoint at which a statement arrived.
    pub fn endpoint_of(&self, what: &str) -> Option<EndpointName> {
        let arrivals = self.arrivals();
        arrivals.into_iter().find(|arrival| arrival.what == what).map(|arrival| arrival.endpoint)
    }

    /// Returns the instance over whose connection a statement arrived.
    pub fn instance_of(&self, what: &str) -> Option<&'static str> {
        let arrivals = self.arrivals();
        arrivals.into_iter().find(|arrival| arrival.what == what).map(|arrival| arrival.instance)
    }

    /// Returns the identifiers of the committed writes.
    pub fn log(&self) -> Vec<String> {
        self.lock().log.clone()
    }
}

impl GroupState {
    fn point(&self) -> LogPoint {
        LogPoint { timeline: Timeline(1), position: LogPosition(self.log.len() as u64) }
    }

    fn execute(&mut self, context: &mut ConnectionContext, command: &Command) -> Result<Rows, EndpointError> {
        let is_primary = self.primary == context.endpoint;
        match command {
            Command::Begin { read_only: false, .. } if !is_primary => {
                return Err(error(EndpointErrorKind::ReadOnly));
            }
            Command::Begin { .. } => context.transaction = Some(Vec::new()),
            Command::Rollback => context.transaction = None,
            Command::Commit { .. } => self.log.extend(context.transaction.take().unwrap_or_default()),
            Command::Prepare { name, .. } if self.refused_prepares > 0 => {
                self.refused_prepares -= 1;
                context.failed_prepares.push(name.clone());
                return Err(error(EndpointErrorKind::Failed));
            }
            Command::Prepare { name, .. } => {
                if context.prepared.contains(name) || context.failed_prepares.contains(name) {
                    self.prepared_twice.push(name.clone());
                }
                context.prepared.push(name.clone());
            }
            command if is_too_long(command) => return Err(error(EndpointErrorKind::Malformed)),
            Command::Execute { name, .. } if !context.prepared.contains(name) => {
                return Err(error(EndpointErrorKind::UnknownStatement));
            }
            Command::Run { text, .. } if text.starts_with("WRITE") && !is_primary => {
                return Err(error(EndpointErrorKind::ReadOnly));
            }
            Command::Run { id, text, .. } if text.starts_with("WRITE") => match &mut context.transaction {
                Some(writes) => writes.push(id.to_string()),
                None => self.log.push(id.to_string()),
            },
            Command::Reset => context.prepared.clear(),
            _ => {}
        }
        let confirmation = if command.client_id().is_some() { "proof" } else { "-" };
        let is_long = command.client_id().is_some_and(|id| self.long_answer.as_deref() == Some(id));
        let rows = if is_long { vec!["x".repeat(PEER_MAX_BYTES).into()] } else { Vec::new() };
        Ok(Rows { rows, confirmation: confirmation.into() })
    }
}

/// Returns how long a statement runs: the number of milliseconds after `takes-` in its identifier.
fn duration(id: Option<&str>) -> Duration {
    let number = id.and_then(|id| id.strip_prefix("takes-")?.split('-').next()?.parse().ok());
    Duration::from_millis(number.unwrap_or_default())
}

/// Returns whether a statement and its log point don't fit into one message.
fn is_too_long(command: &Command) -> bool {
    let bytes = match command {
        Command::Run { id, text, after: Some(_) } => id.len() + text.len(),
        Command::Execute { id, name, arguments, after: Some(_) } => id.len() + name.len() + arguments.len(),
        _ => return false,
    };
    bytes > GUARDED_STATEMENT_MAX_BYTES
}

/// Refuses organisations whose names contain a space.
fn check_destination(destination: &Destination) -> Result<(), InvalidDestination> {
    if destination.organisation.as_str().contains(' ') {
        return Err(InvalidDestination { reason: "the organisation contains a space".to_owned() });
    }
    Ok(())
}

fn describe(command: &Command) -> String {
    match command {
        Command::Begin { .. } => "BEGIN".to_owned(),
        Command::Rollback => "ROLLBACK".to_owned(),
        Command::Prepare { .. } => "PREPARE".to_owned(),
        command => command.client_id().unwrap_or("-").to_owned(),
    }
}

fn error(kind: EndpointErrorKind) -> EndpointError {
    EndpointError { kind, text: "refused".into() }
}
