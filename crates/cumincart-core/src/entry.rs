//! The decision logic of an entry instance: admission, quota, sessions, routing, connection pools, fairness,
//! transactions and retries.

pub mod admission;
pub mod control_group;
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
pub mod usage;

pub use {drain::is_ready, dump::dump};

use {
    self::pool::{ConnectionState, Owner},
    crate::{
        endpoint_command::{CommandError, CommandId, CommandOutput, ConnectionId, EndpointCommand},
        stop_schedule::StopSchedule,
    },
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

/// The start-up settings of an entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this instance.
    pub instance: InstanceName,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The failure domain of this instance.
    pub domain: DomainName,
    /// The address at which other entry instances reach it, as `ip:port`.
    pub peer_address: Arc<str>,
}

/// Identifies a request between the runtime and the core. Each ticket is answered at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An event that the runtime reports to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// The timer fired, which it does every `TICK_INTERVAL_MS`.
    Tick,
    /// A request from a caller, or forwarded by another entry instance.
    Request(Ticket, Box<CallerRequest>),
    /// The caller of this request has disconnected.
    CallerDisconnected(Ticket),
    /// The result of a forwarded request. A lost link is reported as a refusal.
    ForwardAnswered(Ticket, Box<CallerResult>),
    /// The control leader's answer to a heartbeat.
    HeartbeatAnswer(Box<HeartbeatAnswer>),
    /// A connection was opened.
    Opened(ConnectionId),
    /// A connection was closed or lost, or could not be opened.
    Closed(ConnectionId),
    /// A command ended. If its connection was lost, `Closed` follows.
    CommandEnded(ConnectionId, CommandId, Result<CommandOutput, CommandError>),
    /// The platform or an operator asks for a planned stop.
    Stop,
}

/// An action for the runtime. Effects are carried out in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Answer a request.
    Answer(Ticket, Box<CallerResult>),
    /// Forward a request to another entry instance. The result comes back as `Input::ForwardAnswered`.
    Forward {
        /// The request.
        ticket: Ticket,
        /// The instance.
        to: InstanceName,
        /// Its address, as `ip:port`.
        address: Arc<str>,
        /// The request to forward.
        request: Box<CallerRequest>,
    },
    /// Open a connection. `Input::Opened` or `Input::Closed` follows.
    Open {
        /// The id of the connection.
        connection: ConnectionId,
        /// The endpoint.
        endpoint: EndpointName,
        /// The endpoint's address, as `ip:port`.
        address: Arc<str>,
    },
    /// Close a connection; a command that runs on it ends with an error. `Input::Closed` follows.
    Close(ConnectionId),
    /// Execute a command on a connection. The result comes back as `Input::CommandEnded`.
    Execute(ConnectionId, CommandId, EndpointCommand),
    /// Send a heartbeat to the control leader.
    Heartbeat(Box<Heartbeat>),
    /// The planned stop is complete; the process may exit.
    Stopped,
    /// Log a change of state.
    Log(Arc<str>),
}

/// All state of an entry instance.
#[derive(Debug)]
pub struct Core {
    /// The start-up settings.
    pub settings: Settings,
    /// The random number generator, for load balancing, backoff and unguessable transaction numbers.
    pub random: ChaCha20Rng,
    /// The catalogue, the leases on it and the other entry instances.
    pub freshness: freshness::Freshness,
    /// The control instances that this instance knows.
    pub control_group: control_group::ControlGroup,
    /// The state of the heartbeat exchange with the control leader.
    pub membership: membership::Membership,
    /// This instance's shares of the organisations' rates.
    pub quota: quota::Quota,
    /// The permits to hold connections to endpoints.
    pub permits: permits::Permits,
    /// The connections, and the observed state of the endpoints.
    pub pool: pool::Pool,
    /// The requests that have no answer yet.
    pub requests: SortedVec<request::Pending>,
    /// The open transactions.
    pub transactions: SortedVec<transaction::Transaction>,
    /// The results that are held back until a replica has confirmed the write.
    pub replications: SortedVec<replication::Replication>,
    /// The requests that were forwarded to another entry instance and have no answer yet.
    pub forwards: SortedVec<transaction::ForwardedRequest>,
    /// The load balancing policy for reads from replicas.
    pub replica_choice: routing::policy::ReplicaChoice,
    /// The budget that bounds retries.
    pub retry_budget: retry::RetryBudget,
    /// The progress of a planned stop.
    pub drain: drain::DrainState,
    /// The times of a planned stop.
    pub stop_schedule: StopSchedule,
    /// Until when a planned stop answers everything; none while no stop was requested.
    pub answer_by: Option<Instant>,
    /// When this instance or its failure domain went out of service; none while both are in service.
    pub out_of_service_since: Option<Instant>,
    /// When the next maintenance run of the pool is due.
    pub next_maintenance_at: Instant,
    /// Event counters since the start of this process.
    pub counters: counters::Counters,
    /// The counts of requests that began to run, for usage reports.
    pub usage: usage::Usage,
}

impl Core {
    /// Creates the state of a freshly started instance.
    pub fn open(settings: Settings, random: ChaCha20Rng) -> Self {
        Self {
            settings,
            random,
            freshness: freshness::Freshness::default(),
            control_group: control_group::ControlGroup::default(),
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
            stop_schedule: StopSchedule::of_grace(drain::KILL_AFTER),
            answer_by: None,
            out_of_service_since: None,
            next_maintenance_at: Instant::ZERO,
            counters: counters::Counters::default(),
            usage: usage::Usage::default(),
        }
    }
}

/// Handles one input and appends the resulting effects to `out`.
pub fn step(core: &mut Core, now: Instant, input: Input, out: &mut Vec<Effect>) {
    match input {
        Input::Tick => on_tick(core, now, out),
        Input::Request(ticket, caller_request) => {
            request::on_request(core, now, ticket, caller_request, out);
        }
        Input::CallerDisconnected(ticket) => on_caller_disconnected(core, ticket, out),
        Input::ForwardAnswered(ticket, result) => on_forward_answered(core, ticket, *result, out),
        Input::HeartbeatAnswer(answer) => heartbeat::on_answer(core, now, &answer, out),
        Input::Opened(connection) => on_opened(core, now, connection, out),
        Input::Closed(connection) => on_closed(core, now, connection, out),
        Input::CommandEnded(connection, command_id, result) => {
            outcome::on_command_ended(core, now, connection, command_id, result, out);
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

fn on_caller_disconnected(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    core.forwards.remove(&ticket);
    request::on_caller_disconnected(core, ticket, out);
    transaction::on_caller_disconnected(core, ticket, out);
}

fn on_forward_answered(core: &mut Core, ticket: Ticket, result: CallerResult, out: &mut Vec<Effect>) {
    if core.forwards.remove(&ticket).is_some() {
        request::answer(core, ticket, result, out);
    }
}

fn on_opened(core: &mut Core, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
    let Some(endpoint) = core.pool.connection_opened(now, connection) else {
        return;
    };
    core.counters.connections_opened += 1;
    dispatch::start_queued(core, now, &endpoint, out);
    maintenance::probe(core, now, &endpoint, out);
}

fn on_closed(core: &mut Core, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
    let Some(closed) = core.pool.connection_closed(now, connection) else {
        return;
    };
    core.counters.connections_closed += 1;
    transaction::on_connection_lost(core, connection, out);
    if let ConnectionState::Busy { command_id, owner: Owner::Request(ticket), .. } = closed.state {
        outcome::apply_result(core, now, ticket, command_id, Err(CommandError::LostInCommit), out);
    }
    dispatch::reroute_queue(core, now, &closed.endpoint);
    dispatch::start_queued(core, now, &closed.endpoint, out);
}
