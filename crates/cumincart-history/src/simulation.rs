//! The simulation: the real cores with models of endpoints, clients, operators and the network, on a virtual clock.
//!
//! All random choices derive from the seed, and events at the same instant run in the order in which they were
//! scheduled, so the same seed gives the same run.

mod clients;
mod control;
mod endpoint;
mod entry;
mod event;
mod faults;
mod lists;
mod network;
mod world;

pub use {faults::Fault, network::Cut, world::World};

use {
    crate::{
        history::{FinalEndpoint, History, RequestNumber, RevisionSample},
        mutation::Mutation,
    },
    clients::{LoadBalancer, Session},
    control::{ControlNode, Operators},
    cumincart_core::timing::TICK_INTERVAL_MS,
    cumincart_protocol::{name::InstanceName, time::Instant},
    endpoint::{Endpoint, UnconfirmedCommit},
    entry::EntryNode,
    event::{Event, Queue},
    faults::Faults,
    network::Network,
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::time::Duration,
};

/// The number of failure domains.
pub const DOMAINS: usize = 3;

/// The number of entry instances in each failure domain.
const ENTRIES_PER_DOMAIN: usize = 2;

/// The number of services. Each one has an endpoint in every failure domain.
const SERVICES: usize = 2;

/// The number of organisations.
pub const ORGANISATIONS: usize = 3;

/// The number of client sessions.
const SESSIONS: usize = 9;

/// The time of the first random fault, in milliseconds.
const FAULTS_FROM_MS: u64 = 3_000;

/// The end of the period of random faults, in milliseconds. Operators' changes may last longer.
const FAULTS_END_MS: u64 = 24_000;

/// The end of a run, in milliseconds.
const END_MS: u64 = 36_000;

/// The maximum time until a client notices that its entry instance has terminated.
pub const CONNECTION_LOSS_NOTICED_WITHIN: Duration = Duration::from_millis(10);

/// The maximum drift of a process's clock, in parts per million. Two clocks may differ by twice this rate.
const DRIFT_PER_MILLION: u64 = 5_000;

const MILLION: u64 = 1_000_000;

/// A process's clock, which runs faster or slower than the virtual clock by a constant factor.
#[derive(Debug, Clone, Copy)]
pub struct DriftingClock {
    per_million: u64,
}

impl DriftingClock {
    fn random(random: &mut ChaCha20Rng) -> Self {
        let range = MILLION - DRIFT_PER_MILLION..=MILLION + DRIFT_PER_MILLION;
        Self { per_million: random.random_range(range) }
    }

    /// Returns the process's time at an instant of the virtual clock.
    fn read(self, now: Instant) -> Instant {
        Instant::from_micros(now.as_micros() * self.per_million / MILLION)
    }
}

/// The simulation of one run.
#[derive(Debug)]
pub struct Simulation {
    now: Instant,
    queue: Queue,
    random: ChaCha20Rng,
    mutation: Option<Mutation>,
    world: World,
    /// The commits that wait for replicas.
    unconfirmed: Vec<UnconfirmedCommit>,
    network: Network,
    controls: Vec<ControlNode>,
    entries: Vec<EntryNode>,
    endpoints: Vec<Endpoint>,
    sessions: Vec<Session>,
    load_balancer: LoadBalancer,
    operators: Operators,
    faults: Faults,
    history: History,
}

impl Simulation {
    /// Creates a simulation, starts its processes and schedules random faults from the seed.
    pub fn with_random_faults(seed: u64, mutation: Option<Mutation>) -> Self {
        // A broken promise must be found in the usual world.
        let world = if mutation.is_some() { World::default() } else { World::draw(seed) };
        let mut simulation = Self::in_world(seed, mutation, world);
        simulation.queue.push(Instant::from_millis(FAULTS_FROM_MS), Event::InjectFault);
        simulation
    }

    /// Creates a simulation and starts its processes, without random faults.
    pub fn without_faults(seed: u64, mutation: Option<Mutation>) -> Self {
        Self::in_world(seed, mutation, World::default())
    }

    fn in_world(seed: u64, mutation: Option<Mutation>, world: World) -> Self {
        let mut random = ChaCha20Rng::seed_from_u64(seed);
        let controls = control::nodes(&mut random);
        let entries = entry::nodes(&mut random);
        let endpoints = endpoint::groups(world.endpoints);
        let mut simulation = Self {
            now: Instant::from_millis(1),
            queue: Queue::default(),
            mutation,
            world,
            unconfirmed: Vec::new(),
            network: Network::default(),
            controls,
            sessions: clients::sessions(world.sessions),
            load_balancer: LoadBalancer::default(),
            operators: Operators::new(world.synchronous_replicas),
            faults: Faults::default(),
            history: History {
                seed,
                synchronous_replicas: world.synchronous_replicas,
                rate_per_s: lists::RATE_PER_S,
                burst: lists::BURST,
                faults_end: Instant::from_millis(FAULTS_END_MS),
                end: Instant::from_millis(END_MS) + world.observation(),
                entry_domains: entries.iter().map(|entry| entry.domain).collect(),
                endpoint_domains: endpoints.iter().map(|endpoint| endpoint.domain).collect(),
                ..History::default()
            },
            entries,
            endpoints,
            random,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        for index in 0..self.controls.len() {
            self.start_control(index);
        }
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
        for index in 0..self.endpoints.len() {
            self.queue.push(self.now, Event::TickEndpoint(index));
        }
        for index in 0..self.sessions.len() {
            let delay = Duration::from_millis(1_500 + 37 * index as u64);
            self.queue.push(self.now + delay, Event::SendNextRequest(index));
        }
        self.queue.push(self.now, Event::TickOperators);
    }

    /// Runs to the end time.
    pub fn run(&mut self) {
        self.run_until(self.history.end);
    }

    /// Runs until an instant.
    pub fn run_until(&mut self, end: Instant) {
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the current instant of the virtual clock.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the history so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Ends the run and returns its history.
    pub fn into_history(mut self) -> History {
        let finals = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| FinalEndpoint {
                service: endpoint.service,
                is_primary: self.current_primary(endpoint.service) == Some(index),
                log: endpoint.log.clone(),
            })
            .collect();
        self.history.endpoints = finals;
        self.history
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::TickControl(index, incarnation) => self.tick_control(index, incarnation),
            Event::TickEntry(index, incarnation) => self.tick_entry(index, incarnation),
            Event::ToControl(index, incarnation, input) => self.control_input(index, incarnation, *input),
            Event::HeartbeatArrives(index, heartbeat) => self.heartbeat_arrives(index, *heartbeat),
            Event::ToEntry(index, incarnation, input) => self.entry_input(index, incarnation, *input),
            Event::NotLeader(index, incarnation, leader) => self.select_control(index, incarnation, leader),
            Event::ConnectArrives(target) => self.connect_arrives(target),
            Event::CommandArrives(command) => self.command_arrives(*command),
            Event::TickEndpoint(index) => self.tick_endpoint(index),
            Event::PromotionArrives(promotion) => self.promotion_arrives(*promotion),
            Event::RequestArrives(request) => self.request_arrives(*request),
            Event::AnswerArrives(number, result) => self.answer_arrives(number, &result),
            Event::AbandonRequest(number) => self.abandon_request(number),
            Event::SendNextRequest(index) => self.send_next_request(index),
            Event::TickOperators => self.tick_operators(),
            Event::OperatorResponseArrives(response) => self.operator_response_arrives(*response),
            Event::InjectFault => self.inject_next_fault(),
            Event::Recover(recovery) => self.recover(recovery),
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.queue.push(self.now + delay, event);
    }

    fn random_chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn random_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    fn is_mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn log(&mut self, from: &InstanceName, line: &str) {
        self.history.log_lines.push(format!("{} ms: {from}: {line}", self.now.as_millis()));
    }

    fn sample_revision(&mut self, index: usize) {
        let entry = &self.entries[index];
        let Some(process) = &entry.process else { return };
        let now = entry.clock.read(self.now);
        if !process.core.freshness.is_fresh(now) {
            return;
        }
        let revision = process.core.freshness.revision();
        let incarnation = process.core.settings.incarnation;
        self.history.samples.push(RevisionSample { entry: index, incarnation, revision, at: self.now });
    }

    fn next_request_number(&self) -> RequestNumber {
        RequestNumber(self.history.requests.len() as u64 + 1)
    }
}

/// The interval between two ticks of a process.
const TICK: Duration = Duration::from_millis(TICK_INTERVAL_MS);
