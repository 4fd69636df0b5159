//! The entry instances' decisions: admission, quota, sessions, routing, pools, fairness, transactions, retries.

pub mod admission;
pub mod counters;
pub mod dispatch;
pub mod drain;
pub mod dump;
pub mod fairness;
pub mod freshness;
pub mod heartbeat;
pub mod maintenance;
pub mod membership;
pub mod outcome;
pub mod permits;
pub mod pool;
pub mod quota;
pub mod replication;
pub mod request;
pub mod retry;
pub mod routing;
pub mod session;
pub mod transaction;

pub use {drain::is_ready, dump::dump};

use {
    self::pool::{ConnectionState, Owner},
    crate::endpoint_command::{CommandError, CommandId, CommandOutput, ConnectionId, EndpointCommand},
    cumincart_protocol::{
        heartbeat::{Heartbeat, HeartbeatAnswer},
        name::{DomainName, EndpointName, InstanceName},
        number::Incarnation,
        request::{CallerRequest, CallerResult},
        sorted::SortedVec,
        time::Instant,
    },
    rand_chacha::ChaCha20Rng,
    std::sync::Arc,
};

/// What an entry instance is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub instance: InstanceName,
    /// This run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address at which other entry instances reach it, as `ip:port`.
    pub peer_address: Arc<str>,
}

/// The identity of a request that the runtime will get an answer for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed; comes every `TICK_INTERVAL_MS`.
    Tick,
    /// A caller's request, from a caller or passed on by another entry instance.
    Request(Ticket, Box<CallerRequest>),
    /// Nobody waits for this request's answer any more.
    ClientDisconnected(Ticket),
    /// The answer to a request that was passed on; a lost link gives a refusal here.
    ForwardAnswered(Ticket, Box<CallerResult>),
    /// The control leader's answer to a heartbeat.
    HeartbeatAnswer(Box<HeartbeatAnswer>),
    /// A connection is open.
    Opened(ConnectionId),
    /// A connection could not be opened, or was lost while idle.
    Closed(ConnectionId),
    /// A work ended. After a lost connection, `Closed` follows.
    CommandEnded(ConnectionId, CommandId, Result<CommandOutput, CommandError>),
    /// The platform or an operator asks for a planned stop.
    Stop,
}

/// Something that the runtime must do, in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Answer a request.
    Answer(Ticket, Box<CallerResult>),
    /// Pass a request on to another entry instance, and report with `Input::Forwarded`.
    Forward {
        /// The request.
        ticket: Ticket,
        /// The instance.
        to: InstanceName,
        /// Its address, as `ip:port`.
        address: Arc<str>,
        /// What to pass on.
        request: Box<CallerRequest>,
    },
    /// Open a connection, and report with `Input::Opened` or `Input::Closed`.
    Open {
        /// Its id.
        connection: ConnectionId,
        /// The endpoint.
        endpoint: EndpointName,
        /// The endpoint's address, as `ip:port`.
        address: Arc<str>,
    },
    /// Close a connection; a work on it ends with an error. `Input::Closed` follows.
    Close(ConnectionId),
    /// Do a work on a connection, and report with `Input::Done`.
    Execute(ConnectionId, CommandId, EndpointCommand),
    /// Send a heartbeat to the control leader.
    Heartbeat(Box<Heartbeat>),
    /// A planned stop is complete: the process may end.
    Stopped,
    /// A change of state worth a log line.
    Log(Arc<str>),
}

/// All state of an entry instance.
#[derive(Debug)]
pub struct Core {
    /// What it was told at the start.
    pub settings: Settings,
    /// Source of random choices and unguessable numbers.
    pub random: ChaCha20Rng,
    /// The catalogue, the leases on it and the other entry instances.
    pub freshness: freshness::Freshness,
    /// The heartbeats to the control leader.
    pub membership: membership::Membership,
    /// The shares of organisations' rates.
    pub quota: quota::Quota,
    /// The permits for connections.
    pub permits: permits::Permits,
    /// The connections and what is known of endpoints.
    pub pool: pool::Pool,
    /// The requests that have no answer yet.
    pub requests: SortedVec<request::Pending>,
    /// The open transactions.
    pub transactions: SortedVec<transaction::Transaction>,
    /// Answers that wait for a replica.
    pub replications: SortedVec<replication::Replication>,
    /// Requests that were passed on to another entry instance.
    pub forwards: SortedVec<transaction::Forwarded>,
    /// How a replica is chosen for a read.
    pub replica_choice: routing::policy::ReplicaChoice,
    /// What bounds further attempts.
    pub retry_budget: retry::RetryBudget,
    /// How far a planned stop has got.
    pub drain: drain::DrainState,
    /// Since when this instance or its failure domain is out of service.
    pub out_since: Option<Instant>,
    /// When the next round of the pool's upkeep is due.
    pub next_maintenance_at: Instant,
    /// What has happened in this run.
    pub counters: counters::Counters,
}

impl Core {
    /// A core that knows nothing yet.
    pub fn open(settings: Settings, random: ChaCha20Rng) -> Self {
        Self {
            settings,
            random,
            freshness: freshness::Freshness::default(),
            membership: membership::Membership::default(),
            quota: quota::Quota::default(),
            permits: permits::Permits::default(),
            pool: pool::Pool::default(),
            requests: SortedVec::new(),
            transactions: SortedVec::new(),
            replications: SortedVec::new(),
            forwards: SortedVec::new(),
            replica_choice: routing::policy::two_choices_local,
            retry_budget: retry::RetryBudget::default(),
            drain: drain::DrainState::default(),
            out_since: None,
            next_maintenance_at: Instant::ZERO,
            counters: counters::Counters::default(),
        }
    }
}

/// Takes one input and appends what the runtime must do.
pub fn step(core: &mut Core, now: Instant, input: Input, out: &mut Vec<Effect>) {
    match input {
        Input::Tick => on_tick(core, now, out),
        Input::Request(ticket, caller_request) => {
            request::on_request(core, now, ticket, caller_request, out);
        }
        Input::ClientDisconnected(ticket) => on_caller_gone(core, ticket, out),
        Input::ForwardAnswered(ticket, result) => on_forwarded(core, ticket, *result, out),
        Input::HeartbeatAnswer(answer) => heartbeat::on_answer(core, now, &answer, out),
        Input::Opened(connection) => on_opened(core, now, connection, out),
        Input::Closed(connection) => on_closed(core, now, connection, out),
        Input::CommandEnded(connection, work, result) => {
            outcome::on_done(core, now, connection, work, result, out)
        }
        Input::Stop => drain::begin(core, now, out),
    }
}

fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    request::on_tick(core, now, out);
    replication::on_tick(core, now, out);
    maintenance::run_when_due(core, now, out);
    drain::advance(core, now, out);
    heartbeat::send_when_due(core, now, out);
}

fn on_caller_gone(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    core.forwards.remove(&ticket);
    request::on_caller_gone(core, ticket, out);
    transaction::on_caller_gone(core, ticket, out);
}

fn on_forwarded(core: &mut Core, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    if core.forwards.remove(&ticket).is_some() {
        request::answer(core, ticket, result, out);
    }
}

fn on_opened(core: &mut Core, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
    let Some(endpoint) = core.pool.opened(now, connection) else {
        return;
    };
    core.counters.connections_opened += 1;
    dispatch::pump(core, now, &endpoint, out);
    maintenance::probe(core, now, &endpoint, out);
}

fn on_closed(core: &mut Core, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
    let Some(lost) = core.pool.closed(now, connection) else {
        return;
    };
    core.counters.connections_closed += 1;
    transaction::end_with_connection(core, connection, out);
    if let ConnectionState::Busy { work, owner: Owner::Request(ticket), .. } = lost.state {
        outcome::on_outcome(core, now, ticket, work, Err(CommandError::LostInCommit), out);
    }
    dispatch::park_queue(core, now, &lost.endpoint);
    dispatch::pump(core, now, &lost.endpoint, out);
}
