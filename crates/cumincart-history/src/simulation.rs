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

pub use {faults::Fault, network::Cut};

use {
    crate::{
        history::{FinalEndpoint, History, RequestNumber, Sample},
        mutation::Mutation,
    },
    clients::{Balancer, Session},
    control::{ControlNode, Operators},
    cumincart_core::timing::TICK_INTERVAL_MS,
    cumincart_protocol::{name::InstanceName, time::Instant},
    endpoint::Endpoint,
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
const CALM_FROM_MS: u64 = 24_000;

/// The end of a run, in milliseconds.
const END_MS: u64 = 36_000;

/// The maximum time until a client notices that its entry instance has terminated.
pub const BROKEN_WITHIN: Duration = Duration::from_millis(10);

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
        let span = MILLION - DRIFT_PER_MILLION..=MILLION + DRIFT_PER_MILLION;
        Self { per_million: random.random_range(span) }
    }

    /// Returns the process's time at an instant of the virtual clock.
    fn read(self, now: Instant) -> Instant {
        Instant::from_micros(now.as_micros() * self.per_million / MILLION)
    }
}

/// The simulation of one run.
#[derive(Debug)]
pub struct World {
    now: Instant,
    queue: Queue,
    random: ChaCha20Rng,
    mutation: Option<Mutation>,
    network: Network,
    controls: Vec<ControlNode>,
    entries: Vec<EntryNode>,
    endpoints: Vec<Endpoint>,
    sessions: Vec<Session>,
    balancer: Balancer,
    operators: Operators,
    faults: Faults,
    history: History,
}

impl World {
    /// Creates a simulation, starts its processes and schedules random faults from the seed.
    pub fn open(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut world = Self::open_calm(seed, mutation);
        world.queue.push(Instant::from_millis(FAULTS_FROM_MS), Event::Fault);
        world
    }

    /// Creates a simulation and starts its processes, without random faults.
    pub fn open_calm(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut random = ChaCha20Rng::seed_from_u64(seed);
        let controls = control::nodes(&mut random);
        let entries = entry::nodes(&mut random);
        let endpoints = endpoint::groups();
        let mut world = Self {
            now: Instant::from_millis(1),
            queue: Queue::default(),
            mutation,
            network: Network::default(),
            controls,
            sessions: clients::sessions(),
            balancer: Balancer::default(),
            operators: Operators::default(),
            faults: Faults::default(),
            history: History {
                seed,
                rate_per_s: lists::RATE_PER_S,
                burst: lists::BURST,
                calm_from: Instant::from_millis(CALM_FROM_MS),
                end: Instant::from_millis(END_MS),
                entry_domains: entries.iter().map(|entry| entry.domain).collect(),
                endpoint_domains: endpoints.iter().map(|endpoint| endpoint.domain).collect(),
                ..History::default()
            },
            entries,
            endpoints,
            random,
        };
        world.start();
        world
    }

    fn start(&mut self) {
        for index in 0..self.controls.len() {
            self.start_control(index);
        }
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
        for index in 0..self.endpoints.len() {
            self.queue.push(self.now, Event::Endpoint(index));
        }
        for index in 0..self.sessions.len() {
            let wake = Duration::from_millis(1_500 + 37 * index as u64);
            self.queue.push(self.now + wake, Event::Wake(index));
        }
        self.queue.push(self.now, Event::Operator);
    }

    /// Runs to the end time.
    pub fn run(&mut self) {
        self.run_until(Instant::from_millis(END_MS));
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
            Event::TickControl(index, run) => self.tick_control(index, run),
            Event::TickEntry(index, run) => self.tick_entry(index, run),
            Event::ToControl(index, run, input) => self.control_input(index, run, *input),
            Event::Beat(index, asked) => self.beat_arrives(index, *asked),
            Event::ToEntry(index, run, input) => self.entry_input(index, run, *input),
            Event::NotLeader(index, run, leader) => self.retarget(index, run, leader),
            Event::OpenArrives(link) => self.open_arrives(link),
            Event::WorkArrives(arrival) => self.work_arrives(&arrival),
            Event::Endpoint(index) => self.run_endpoint(index),
            Event::PromoteArrives(order) => self.promote_arrives(*order),
            Event::Call(call) => self.call_arrives(*call),
            Event::Answered(number, result) => self.answer_arrives(number, &result),
            Event::GiveUp(number) => self.give_up(number),
            Event::Wake(index) => self.wake(index),
            Event::Operator => self.run_operators(),
            Event::OperatorAnswer(answer) => self.operator_told(*answer),
            Event::Fault => self.next_fault(),
            Event::Mend(mend) => self.mend(mend),
        }
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.queue.push(self.now + span, event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    fn is_mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn note(&mut self, from: &InstanceName, note: &str) {
        self.history.notes.push(format!("{} ms: {from}: {note}", self.now.as_millis()));
    }

    fn sample_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        let Some(process) = &entry.process else { return };
        let now = entry.clock.read(self.now);
        if !process.core.freshness.is_fresh(now) {
            return;
        }
        let revision = process.core.freshness.revision();
        let incarnation = process.core.settings.incarnation;
        self.history.samples.push(Sample { entry: index, incarnation, revision, at: self.now });
    }

    fn next_request_number(&self) -> RequestNumber {
        RequestNumber(self.history.requests.len() as u64 + 1)
    }
}

/// The interval between two ticks of a process.
const TICK: Duration = Duration::from_millis(TICK_INTERVAL_MS);
