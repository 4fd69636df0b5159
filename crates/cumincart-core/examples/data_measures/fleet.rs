//! A fleet on virtual time: entry instances' cores, scripted endpoints with slots, lag and stalls, and callers.

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

/// Something that happens at one instant.
#[derive(Debug)]
enum Happening {
    Input(usize, Box<Input>),
    Arrive(usize, Arrived),
    Complete(usize, Arrived),
    Wake(u64),
}

#[derive(Debug)]
struct Event {
    at: u64,
    number: u64,
    happening: Happening,
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

/// A work at an endpoint, with where its answer goes.
#[derive(Debug)]
struct Arrived {
    instance: usize,
    connection: ConnectionId,
    id: CommandId,
    work: EndpointCommand,
}

/// One endpoint.
#[derive(Debug)]
pub struct FakeEndpoint {
    group: usize,
    domain: usize,
    primary: bool,
    running: u32,
    waiting: VecDeque<Arrived>,
    /// It does nothing from the first to the second, in microseconds.
    pub stall: Option<Stall>,
}

/// A span in which an endpoint does nothing.
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

/// What a caller gets back.
#[derive(Debug)]
pub struct Returned {
    pub ticket: Ticket,
    pub at_micros: u64,
    pub result: CallerResult,
}

/// What the fleet tells whoever drives it.
#[derive(Debug)]
pub enum Told {
    Returned(Returned),
    Wake(u64),
}

/// The fleet.
pub struct Fleet {
    pub now: u64,
    pub cores: Vec<Core>,
    pub endpoints: Vec<FakeEndpoint>,
    pub random: ChaCha20Rng,
    pub lag_micros: u64,
    pub service_micros: f64,
    deployment: Deployment,
    homes: Vec<Vec<Home>>,
    logs: Vec<Log>,
    events: BinaryHeap<Reverse<Event>>,
    numbers: u64,
    told: VecDeque<Told>,
}

#[derive(Debug, Clone, Copy)]
struct Home {
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
            FakeEndpoint { group, domain, primary, running: 0, waiting: VecDeque::new(), stall: None }
        });
        let mut fleet = Self {
            now: 0,
            cores: cores.collect(),
            endpoints: endpoints.collect(),
            random: ChaCha20Rng::seed_from_u64(seed ^ 0xff),
            lag_micros: 10_000,
            service_micros: deployment.service_micros,
            deployment: deployment.clone(),
            homes: vec![Vec::new(); deployment.instances],
            logs: (0..deployment.groups).map(|_| Log::default()).collect(),
            events: BinaryHeap::new(),
            numbers: 0,
            told: VecDeque::new(),
        };
        for index in 0..deployment.instances {
            fleet.push(index as u64 * 1_300, Happening::Input(index, Box::new(Input::Tick)));
        }
        fleet
    }

    fn push(&mut self, at: u64, happening: Happening) {
        self.numbers += 1;
        self.events.push(Reverse(Event { at, number: self.numbers, happening }));
    }

    /// Has the driver told of this instant.
    pub fn wake_at(&mut self, at_micros: u64, token: u64) {
        self.push(at_micros, Happening::Wake(token));
    }

    /// Sends a request to an instance; it arrives after the callers' latency.
    pub fn ask(&mut self, instance: usize, ticket: Ticket, request: CallerRequest) {
        let input = Input::Request(ticket, Box::new(request));
        self.push(self.now + self.deployment.caller_micros, Happening::Input(instance, Box::new(input)));
    }

    /// Runs until there is something to tell or the end is reached.
    pub fn next(&mut self, end_micros: u64) -> Option<Told> {
        loop {
            if let Some(told) = self.told.pop_front() {
                return Some(told);
            }
            let Reverse(event) = self.events.pop()?;
            if event.at > end_micros {
                return None;
            }
            self.now = event.at;
            self.happen(event.happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Input(instance, input) => self.input(instance, *input),
            Happening::Arrive(endpoint, arrived) => self.arrive(endpoint, arrived),
            Happening::Complete(endpoint, arrived) => self.complete(endpoint, arrived),
            Happening::Wake(token) => self.told.push_back(Told::Wake(token)),
        }
    }

    fn input(&mut self, instance: usize, input: Input) {
        if matches!(input, Input::Tick) {
            let next = self.now + TICK_INTERVAL_MS * 1_000;
            self.push(next, Happening::Input(instance, Box::new(Input::Tick)));
        }
        let mut effects = Vec::new();
        step(&mut self.cores[instance], Instant::from_micros(self.now), input, &mut effects);
        for effect in effects {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Answer(ticket, result) => {
                let at_micros = self.now + self.deployment.caller_micros;
                self.told.push_back(Told::Returned(Returned { ticket, at_micros, result: *result }));
            }
            Effect::Open { connection, endpoint, .. } => {
                let endpoint = self.deployment.endpoint_index(endpoint.as_str());
                self.homes[instance].push(Home { connection, endpoint });
                let at = self.now + self.deployment.open_micros;
                self.push(at, Happening::Input(instance, Box::new(Input::Opened(connection))));
            }
            Effect::Close(connection) => {
                let at = self.now + 100;
                self.push(at, Happening::Input(instance, Box::new(Input::Closed(connection))));
            }
            Effect::Execute(connection, id, work) => {
                let endpoint = self.home(instance, connection);
                let at = self.now + self.latency(instance, endpoint);
                self.push(at, Happening::Arrive(endpoint, Arrived { instance, connection, id, work }));
            }
            Effect::Heartbeat(heartbeat) => self.answer_heartbeat(instance, heartbeat.asked_at),
            Effect::Forward { .. } | Effect::Stopped | Effect::Log(_) => {}
        }
    }

    fn home(&self, instance: usize, connection: ConnectionId) -> usize {
        let homes = &self.homes[instance];
        let index = homes.binary_search_by_key(&connection, |home| home.connection).expect("it was opened");
        homes[index].endpoint
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
        self.push(at, Happening::Input(instance, Box::new(Input::HeartbeatAnswer(Box::new(answer)))));
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
                if arrived.work == EndpointCommand::Probe { PROBE_MICROS } else { self.service_time() };
            self.push(self.now + took, Happening::Complete(endpoint, arrived));
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
            self.push(stall.until_micros, Happening::Complete(endpoint, arrived));
            return;
        }
        self.endpoints[endpoint].running -= 1;
        let group = self.endpoints[endpoint].group;
        if matches!(arrived.work, EndpointCommand::Write(..)) {
            self.logs[group].write(self.now);
        }
        let done = CommandOutput { rows: Rows::default(), state: Some(self.state(endpoint)) };
        let at = self.now + self.latency(arrived.instance, endpoint);
        let input = Input::CommandEnded(arrived.connection, arrived.id, Ok(done));
        self.push(at, Happening::Input(arrived.instance, Box::new(input)));
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

    /// The position that the replicas of a group have now, and their lag.
    pub fn replica_position(&self, group: usize) -> u64 {
        self.logs[group].position_at(self.now.saturating_sub(self.lag_micros))
    }
}
