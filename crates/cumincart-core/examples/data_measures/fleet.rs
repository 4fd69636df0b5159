//! A fleet in virtual time: the cores of entry instances, simulated endpoints with slots, lag and stalls, and
//! callers.

use {
    crate::deployment::Deployment,
    cumincart_core::{
        endpoint_command::{CommandId, CommandOutput, ConnectionId, EndpointCommand, EndpointState},
        entry::{Core, Effect, Input, Settings, Ticket, routing::policy::ReplicaChoice, step},
        timing::{FRESHNESS_LEASE_MS, TERM_LEASE_MS, TICK_INTERVAL_MS},
    },
    cumincart_protocol::{
        announcement::Role,
        heartbeat::{CatalogueUpdate, HeartbeatAnswer},
        number::{ControlTerm, Incarnation, LogPosition, Timeline},
        request::{CallerRequest, CallerResult, Rows},
        time::Instant,
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

const CONTROL_ROUND_TRIP_MICROS: u64 = 4_000;
const PROBE_MICROS: u64 = 50;
const WRITE_BYTES: u64 = 200;

/// The type of a simulation event.
#[derive(Debug)]
enum EventKind {
    Input(usize, Box<Input>),
    Arrive(usize, Arrived),
    Complete(usize, Arrived),
    Wake(u64),
}

#[derive(Debug)]
struct Event {
    at: u64,
    number: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A command that has arrived at an endpoint, with the connection to answer on.
#[derive(Debug)]
struct Arrived {
    instance: usize,
    connection: ConnectionId,
    id: CommandId,
    command: EndpointCommand,
}

/// A simulated endpoint.
#[derive(Debug)]
pub struct SimulatedEndpoint {
    group: usize,
    domain: usize,
    primary: bool,
    running: u32,
    waiting: VecDeque<Arrived>,
    /// When the endpoint is stalled; none for never.
    pub stall: Option<Stall>,
}

/// An interval in which an endpoint completes nothing.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    pub from_micros: u64,
    pub until_micros: u64,
}

/// A group's log: when each position was written.
#[derive(Debug, Default)]
struct Log {
    writes: Vec<Written>,
}

#[derive(Debug, Clone, Copy)]
struct Written {
    at: u64,
    position: u64,
}

impl Log {
    fn position_at(&self, at: u64) -> u64 {
        let index = self.writes.partition_point(|written| written.at <= at);
        index.checked_sub(1).map_or(1, |last| self.writes[last].position)
    }

    fn write(&mut self, at: u64) -> u64 {
        let position = self.writes.last().map_or(1, |last| last.position) + WRITE_BYTES;
        self.writes.push(Written { at, position });
        position
    }
}

/// A result that has reached its caller.
#[derive(Debug)]
pub struct Returned {
    pub ticket: Ticket,
    pub at_micros: u64,
    pub result: CallerResult,
}

/// A notification for the load generator that drives the fleet.
#[derive(Debug)]
pub enum Notification {
    Returned(Returned),
    Wake(u64),
}

/// The simulated fleet.
pub struct Fleet {
    pub now: u64,
    pub cores: Vec<Core>,
    pub endpoints: Vec<SimulatedEndpoint>,
    pub random: ChaCha20Rng,
    pub lag_micros: u64,
    pub service_micros: f64,
    deployment: Deployment,
    connections: Vec<Vec<OpenConnection>>,
    logs: Vec<Log>,
    events: BinaryHeap<Reverse<Event>>,
    last_event_number: u64,
    notifications: VecDeque<Notification>,
}

#[derive(Debug, Clone, Copy)]
struct OpenConnection {
    connection: ConnectionId,
    endpoint: usize,
}

impl Fleet {
    pub fn open(deployment: &Deployment, choice: ReplicaChoice, seed: u64) -> Self {
        let cores = (0..deployment.instances).map(|index| {
            let settings = Settings {
                instance: format!("entry-{index}").into(),
                incarnation: Incarnation(1),
                domain: deployment.domains[index % deployment.domains.len()].into(),
                peer_address: format!("127.0.0.1:{index}").into(),
            };
            let mut core = Core::open(settings, ChaCha20Rng::seed_from_u64(seed + index as u64));
            core.replica_choice = choice;
            core
        });
        let endpoints = (0..deployment.groups * deployment.domains.len()).map(|index| {
            let (group, domain) = (index / deployment.domains.len(), index % deployment.domains.len());
            let primary = domain == group % deployment.domains.len();
            SimulatedEndpoint { group, domain, primary, running: 0, waiting: VecDeque::new(), stall: None }
        });
        let mut fleet = Self {
            now: 0,
            cores: cores.collect(),
            endpoints: endpoints.collect(),
            random: ChaCha20Rng::seed_from_u64(seed ^ 0xff),
            lag_micros: 10_000,
            service_micros: deployment.service_micros,
            deployment: deployment.clone(),
            connections: vec![Vec::new(); deployment.instances],
            logs: (0..deployment.groups).map(|_| Log::default()).collect(),
            events: BinaryHeap::new(),
            last_event_number: 0,
            notifications: VecDeque::new(),
        };
        for index in 0..deployment.instances {
            fleet.push(index as u64 * 1_300, EventKind::Input(index, Box::new(Input::Tick)));
        }
        fleet
    }

    fn push(&mut self, at: u64, kind: EventKind) {
        self.last_event_number += 1;
        self.events.push(Reverse(Event { at, number: self.last_event_number, kind }));
    }

    /// Schedules a `Notification::Wake` with this token.
    pub fn wake_at(&mut self, at_micros: u64, token: u64) {
        self.push(at_micros, EventKind::Wake(token));
    }

    /// Sends a request to an instance. It arrives after the callers' latency.
    pub fn send(&mut self, instance: usize, ticket: Ticket, request: CallerRequest) {
        let input = Input::Request(ticket, Box::new(request));
        self.push(self.now + self.deployment.caller_micros, EventKind::Input(instance, Box::new(input)));
    }

    /// Runs the simulation until the next notification. Returns none at the end.
    pub fn next(&mut self, end_micros: u64) -> Option<Notification> {
        loop {
            if let Some(notification) = self.notifications.pop_front() {
                return Some(notification);
            }
            let Reverse(event) = self.events.pop()?;
            if event.at > end_micros {
                return None;
            }
            self.now = event.at;
            self.handle(event.kind);
        }
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Input(instance, input) => self.input(instance, *input),
            EventKind::Arrive(endpoint, arrived) => self.arrive(endpoint, arrived),
            EventKind::Complete(endpoint, arrived) => self.complete(endpoint, arrived),
            EventKind::Wake(token) => self.notifications.push_back(Notification::Wake(token)),
        }
    }

    fn input(&mut self, instance: usize, input: Input) {
        if matches!(input, Input::Tick) {
            let next = self.now + TICK_INTERVAL_MS * 1_000;
            self.push(next, EventKind::Input(instance, Box::new(Input::Tick)));
        }
        let mut effects = Vec::new();
        step(&mut self.cores[instance], Instant::from_micros(self.now), input, &mut effects);
        for effect in effects {
            self.apply_effect(instance, effect);
        }
    }

    fn apply_effect(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Answer(ticket, result) => {
                let at_micros = self.now + self.deployment.caller_micros;
                self.notifications.push_back(Notification::Returned(Returned {
                    ticket,
                    at_micros,
                    result: *result,
                }));
            }
            Effect::Open { connection, endpoint, .. } => {
                let endpoint = self.deployment.endpoint_index(endpoint.as_str());
                self.connections[instance].push(OpenConnection { connection, endpoint });
                let at = self.now + self.deployment.open_micros;
                self.push(at, EventKind::Input(instance, Box::new(Input::Opened(connection))));
            }
            Effect::Close(connection) => {
                let at = self.now + 100;
                self.push(at, EventKind::Input(instance, Box::new(Input::Closed(connection))));
            }
            Effect::Execute(connection, id, command) => {
                let endpoint = self.endpoint_of(instance, connection);
                let at = self.now + self.latency(instance, endpoint);
                self.push(at, EventKind::Arrive(endpoint, Arrived { instance, connection, id, command }));
            }
            Effect::Heartbeat(heartbeat) => self.answer_heartbeat(instance, heartbeat.asked_at),
            Effect::Forward { .. } | Effect::Stopped | Effect::Log(_) => {}
        }
    }

    fn endpoint_of(&self, instance: usize, connection: ConnectionId) -> usize {
        let connections = &self.connections[instance];
        let index =
            connections.binary_search_by_key(&connection, |open| open.connection).expect("it was opened");
        connections[index].endpoint
    }

    fn latency(&self, instance: usize, endpoint: usize) -> u64 {
        let same = instance % self.deployment.domains.len() == self.endpoints[endpoint].domain;
        if same { self.deployment.local_micros } else { self.deployment.distant_micros }
    }

    fn answer_heartbeat(&mut self, instance: usize, asked_at: Instant) {
        let first = self.cores[instance].freshness.revision().0 == 0;
        let catalogue = self.deployment.catalogue.clone();
        let answer = HeartbeatAnswer {
            asked_at,
            incarnation: Incarnation(1),
            control_term: ControlTerm(1),
            revision: catalogue.revision,
            term_lease_ms: TERM_LEASE_MS,
            freshness_lease_ms: FRESHNESS_LEASE_MS,
            update: if first { CatalogueUpdate::Snapshot(catalogue) } else { CatalogueUpdate::None },
            shares: if first { self.deployment.shares() } else { Vec::new() },
            permits: if first { self.deployment.permits() } else { Vec::new() },
            instances: None,
            control_addresses: None,
        };
        let at = self.now + CONTROL_ROUND_TRIP_MICROS;
        self.push(at, EventKind::Input(instance, Box::new(Input::HeartbeatAnswer(Box::new(answer)))));
    }

    fn arrive(&mut self, endpoint: usize, arrived: Arrived) {
        self.endpoints[endpoint].waiting.push_back(arrived);
        self.start_waiting(endpoint);
    }

    fn start_waiting(&mut self, endpoint: usize) {
        while self.endpoints[endpoint].running < self.deployment.slots {
            let Some(arrived) = self.endpoints[endpoint].waiting.pop_front() else {
                return;
            };
            self.endpoints[endpoint].running += 1;
            let took =
                if arrived.command == EndpointCommand::Probe { PROBE_MICROS } else { self.service_time() };
            self.push(self.now + took, EventKind::Complete(endpoint, arrived));
        }
    }

    fn service_time(&mut self) -> u64 {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        (-uniform.ln() * self.service_micros) as u64 + 1
    }

    fn complete(&mut self, endpoint: usize, arrived: Arrived) {
        if let Some(stall) = self.endpoints[endpoint].stall
            && (stall.from_micros..stall.until_micros).contains(&self.now)
        {
            self.push(stall.until_micros, EventKind::Complete(endpoint, arrived));
            return;
        }
        self.endpoints[endpoint].running -= 1;
        let group = self.endpoints[endpoint].group;
        if matches!(arrived.command, EndpointCommand::Write(..)) {
            self.logs[group].write(self.now);
        }
        let done = CommandOutput { rows: Rows::default(), state: Some(self.state(endpoint)) };
        let at = self.now + self.latency(arrived.instance, endpoint);
        let input = Input::CommandEnded(arrived.connection, arrived.id, Ok(done));
        self.push(at, EventKind::Input(arrived.instance, Box::new(input)));
        self.start_waiting(endpoint);
    }

    fn state(&self, endpoint: usize) -> EndpointState {
        let known = &self.endpoints[endpoint];
        let log = &self.logs[known.group];
        if known.primary {
            let position = LogPosition(log.position_at(self.now));
            return EndpointState { role: Role::Primary, timeline: Timeline(1), position, lag_ms: 0 };
        }
        let position = LogPosition(log.position_at(self.now.saturating_sub(self.lag_micros)));
        EndpointState {
            role: Role::Replica,
            timeline: Timeline(1),
            position,
            lag_ms: self.lag_micros.div_ceil(1_000),
        }
    }

    /// Returns the current position of a group's replicas.
    pub fn replica_position(&self, group: usize) -> u64 {
        self.logs[group].position_at(self.now.saturating_sub(self.lag_micros))
    }
}
