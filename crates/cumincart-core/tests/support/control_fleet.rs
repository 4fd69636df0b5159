//! Simulates control instances, entry instances and one database group on a virtual clock and a network with
//! faults.
//!
//! The control instances run the real core. Entry instances and endpoints are simple models: an entry
//! instance holds the lease, confirms revisions and attempts a write every few milliseconds; an endpoint
//! announces itself, replicates and can be promoted.

#![allow(dead_code, reason = "each test file and the example use their own part")]

use {
    cumincart_core::{
        control::{
            ControlRefusal, Core, Effect, Input, Persist, PromotedState, Promotion, PromotionError, Settings,
            Status, Stored, Ticket, batch_effects, detection::Policy, members::voters_for, step,
        },
        timing::{ANNOUNCEMENT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS, TICK_INTERVAL_MS},
    },
    cumincart_protocol::{
        announcement::{Announcement, PresenceReport, ReportOutcome, Role},
        catalogue::Catalogue,
        change::{Action, Change, ChangeId, Outcome},
        heartbeat::{CatalogueChange, CatalogueUpdate, EndpointReport, Heartbeat, HeartbeatAnswer},
        name::{DomainName, EndpointName},
        number::{Incarnation, LogIndex, LogPosition, Revision, Term, Timeline},
        peer::PeerBody,
        replication::{DiskId, Member, Members},
        sorted::SortedVec,
        time::Instant,
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration},
};

/// The service of the simulated group.
pub const SERVICE: &str = "pbx";

const WRITE_TIMEOUT_MS: u64 = 300;
const PROMOTION_MS: u64 = 50;

/// The configuration of a simulation: topology, latencies, losses and the seed.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The seed of all random choices.
    pub seed: u64,
    /// The names of the failure domains. Each gets entry instances and an endpoint; the control instances are
    /// assigned to them in turn.
    pub domains: Vec<&'static str>,
    /// The number of control instances.
    pub controls: usize,
    /// The number of entry instances in each failure domain.
    pub entries_per_domain: usize,
    /// The one-way latency between failure domains, in microseconds.
    pub latency_us: u64,
    /// The fraction of messages that are lost, in thousandths.
    pub loss_per_mille: u32,
    /// The replication lag of the last endpoint, in milliseconds. Each endpoint before it lags by this much
    /// more.
    pub replica_lag_ms: u64,
    /// The interval between two writes of an entry instance, in milliseconds.
    pub write_interval_ms: u64,
    /// Whether an entry instance receives a second answer to the same heartbeat.
    pub push: bool,
}

impl FleetConfig {
    /// Returns the failure domains and latencies of Telvara, with three control and six entry instances.
    pub fn telvara(seed: u64) -> Self {
        Self {
            seed,
            domains: vec!["sofia-a", "plovdiv-a", "varna-a"],
            controls: 3,
            entries_per_domain: 2,
            latency_us: 1_500,
            loss_per_mille: 0,
            replica_lag_ms: 5,
            write_interval_ms: 5,
            push: true,
        }
    }
}

/// A control instance: its core while the process runs, and its disk.
pub struct Control {
    pub name: Arc<str>,
    pub domain: &'static str,
    pub core: Option<Core>,
    pub disk: DiskId,
    pub stored: Stored,
    pub frozen: bool,
    /// How long a sync of the disk takes, in milliseconds. The process handles no input meanwhile.
    pub sync_ms: u64,
    /// The end of the current sync.
    syncing_until: Instant,
    incarnation: u64,
    queued_inputs: Vec<Input>,
    first_members: Members,
    /// The instances that it asks for the members of the group.
    seeds: SortedVec<Member>,
}

/// The model of an entry instance.
pub struct Entry {
    pub name: Arc<str>,
    pub domain: &'static str,
    pub alive: bool,
    pub catalogue: Catalogue,
    pub term_lease_until: Instant,
    pub fresh_until: Instant,
    target: usize,
    is_awaiting_answer: bool,
    endpoint_reports: Vec<EndpointReport>,
    write_in_flight: Option<u64>,
}

/// The model of an endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: Arc<str>,
    pub domain: &'static str,
    pub alive: bool,
    pub role: Role,
    pub timeline: u64,
    pub position: u64,
    pub leaving: bool,
    /// The terms for which it was promoted, one for each promotion.
    pub promoted: Vec<Term>,
}

/// A write acknowledged to an entry instance.
#[derive(Debug, Clone)]
pub struct AcknowledgedWrite {
    pub at: Instant,
    pub entry: Arc<str>,
    pub endpoint: Arc<str>,
    pub term: Term,
    pub timeline: u64,
    pub position: u64,
}

/// The answer to an operator's change.
#[derive(Debug, Clone)]
pub struct OperatorAnswer {
    pub ticket: u64,
    pub result: Result<Outcome, ControlRefusal>,
}

/// The answer to an endpoint's report.
#[derive(Debug, Clone)]
pub struct ReportAnswer {
    pub ticket: u64,
    pub outcome: ReportOutcome,
}

/// The answer to a status request.
#[derive(Debug, Clone)]
pub struct StatusAnswer {
    pub ticket: u64,
    pub result: Result<Box<Status>, ControlRefusal>,
}

struct Event {
    at: Instant,
    number: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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

/// A write in flight.
#[derive(Debug, Clone, Copy)]
struct WriteAttempt {
    number: u64,
    entry: usize,
    endpoint: usize,
    term: Term,
}

enum EventKind {
    Tick(usize),
    Input(usize, u64, Box<Input>),
    /// A disk has completed its syncs.
    Synced(usize, u64, Duration),
    SendHeartbeat(usize),
    HeartbeatAnswer(usize, Box<HeartbeatAnswer>),
    NotLeader(usize, Option<Arc<str>>),
    Announce(usize),
    Write(usize),
    WriteArrives(WriteAttempt),
    WriteAnswer(WriteAttempt, Option<Box<AcknowledgedWrite>>),
    Replicate(usize, usize, u64, u64),
    Promote(usize, Promotion),
    PromotionDone(usize, usize, Promotion),
}

/// The simulated system.
pub struct Fleet {
    pub config: FleetConfig,
    pub now: Instant,
    pub controls: Vec<Control>,
    pub entries: Vec<Entry>,
    pub endpoints: Vec<Endpoint>,
    pub writes: Vec<AcknowledgedWrite>,
    pub answers: Vec<OperatorAnswer>,
    pub statuses: Vec<StatusAnswer>,
    pub report_answers: Vec<ReportAnswer>,
    pub log_lines: Vec<String>,
    /// The size of all messages that entry instances sent or received, in bytes of CBOR.
    pub entry_bytes: u64,
    pub count_bytes: bool,
    /// Whether the answers to promotions are lost; the promotions themselves are carried out.
    pub lose_promotion_answers: bool,
    cuts: Vec<(Arc<str>, Arc<str>)>,
    random: ChaCha20Rng,
    queue: BinaryHeap<Reverse<Event>>,
    number: u64,
    next_ticket: u64,
    tickets: Vec<(u64, usize)>,
    policy: Option<Policy>,
    losses_borne: Option<usize>,
}

impl Fleet {
    /// Starts all processes. The first endpoint is the primary.
    pub fn start(config: FleetConfig) -> Self {
        let random = ChaCha20Rng::seed_from_u64(config.seed);
        let mut fleet = Self {
            now: Instant::from_millis(1),
            controls: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            writes: Vec::new(),
            answers: Vec::new(),
            statuses: Vec::new(),
            report_answers: Vec::new(),
            log_lines: Vec::new(),
            entry_bytes: 0,
            count_bytes: false,
            lose_promotion_answers: false,
            cuts: Vec::new(),
            random,
            queue: BinaryHeap::new(),
            number: 0,
            next_ticket: 1,
            tickets: Vec::new(),
            policy: None,
            losses_borne: None,
            config,
        };
        let config = fleet.config.clone();
        let names: Vec<Arc<str>> = (1..=config.controls).map(|n| format!("control-{n}").into()).collect();
        let voters = names.iter().map(|name| member(name, DiskId::unbound())).collect();
        let first_members = Members { voters, ..Members::default() };
        for (index, name) in names.iter().enumerate() {
            fleet.add_control(name, config.domains[index % config.domains.len()], first_members.clone());
        }
        for domain in &config.domains {
            for number in 1..=config.entries_per_domain {
                fleet.add_entry(format!("entry-{domain}-{number}").into(), domain);
            }
        }
        for (index, domain) in config.domains.iter().enumerate() {
            let role = if index == 0 { Role::Primary } else { Role::Replica };
            fleet.add_endpoint(format!("pbx-{}", index + 1).into(), domain, role);
        }
        fleet
    }

    /// Sets the failover policy of all control instances.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = Some(policy);
        for control in &mut self.controls {
            if let Some(core) = &mut control.core {
                core.failover.policy = policy;
            }
        }
    }

    /// Runs the simulation for a time span.
    pub fn run_ms(&mut self, span_ms: u64) {
        self.run_us(span_ms * 1_000);
    }

    /// Runs the simulation for a time span in microseconds.
    pub fn run_us(&mut self, span_us: u64) {
        let end = self.now + Duration::from_micros(span_us);
        while self.queue.peek().is_some_and(|event| event.0.at <= end) {
            let Some(Reverse(event)) = self.queue.pop() else { break };
            self.now = event.at;
            self.handle(event.kind);
        }
        self.now = end;
    }

    /// Runs the simulation until a condition holds. Returns whether it held within the limit.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit_ms {
            if holds(self) {
                return true;
            }
            self.run_ms(1);
        }
        holds(self)
    }

    /// Runs until every entry instance knows a writable primary and a write was acknowledged.
    pub fn wait_until_ready(&mut self) {
        let became_ready = self.run_until(10_000, |fleet| {
            let all_ready =
                fleet.entries.iter().all(|entry| entry.group().is_some_and(|group| group.writable));
            all_ready && !fleet.writes.is_empty()
        });
        assert!(
            became_ready,
            "seed {}: the fleet did not become ready: {:#?}",
            self.config.seed, self.log_lines
        );
        self.run_ms(500);
    }

    /// Returns the leading control instance, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let leads = |control: &&Control| {
            !control.frozen && control.core.as_ref().is_some_and(|core| core.election.is_leader())
        };
        let terms = |control: &Control| control.core.as_ref().map(|core| core.election.ballot.term);
        let leader = self.controls.iter().filter(leads).max_by_key(|control| terms(control))?;
        self.controls.iter().position(|control| control.name == leader.name)
    }

    /// Returns the leading control instance; panics if there is none.
    pub fn expect_leader(&self) -> usize {
        self.leader()
            .unwrap_or_else(|| panic!("seed {}: there is no leader: {:#?}", self.config.seed, self.log_lines))
    }

    /// Returns the catalogue of a control instance.
    pub fn catalogue(&self, control: usize) -> &Catalogue {
        &self.controls[control].core.as_ref().expect("the instance runs").catalogue
    }

    /// Returns the endpoint that is the writable primary in the leader's catalogue.
    pub fn primary(&self) -> Option<usize> {
        let group = self.catalogue(self.leader()?).group(&SERVICE.into())?;
        let name = group.primary.as_ref().filter(|_| group.writable)?;
        self.endpoints.iter().position(|endpoint| *endpoint.name == *name.as_str())
    }

    /// Sends an operator's change to a control instance. Returns the ticket.
    pub fn send_change(&mut self, control: usize, id: &str, action: Action) -> u64 {
        let ticket = self.ticket(0);
        let change = Change { id: ChangeId(id.into()), action };
        self.input(control, Input::Operator(Ticket(ticket), change));
        ticket
    }

    /// Sends a status request to a control instance. Returns the ticket.
    pub fn request_status(&mut self, control: usize) -> u64 {
        let ticket = self.ticket(0);
        self.input(control, Input::Status(Ticket(ticket)));
        ticket
    }

    /// Returns the answer to an operator's change.
    pub fn answer(&self, ticket: u64) -> Option<&Result<Outcome, ControlRefusal>> {
        self.answers.iter().find(|answer| answer.ticket == ticket).map(|answer| &answer.result)
    }

    /// Sends a change to the leader, and sends it again as an operator would until it has an outcome.
    pub fn submit_change(&mut self, id: &str, action: &Action) -> Outcome {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                let ticket = self.send_change(leader, id, action.clone());
                self.run_until(2_000, |fleet| fleet.answer(ticket).is_some());
                if let Some(Ok(outcome)) = self.answer(ticket) {
                    return outcome.clone();
                }
            }
            self.run_ms(50);
        }
        panic!("seed {}: no outcome: {:#?}", self.config.seed, self.log_lines);
    }

    /// Drops all messages from one process to another.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cuts.push((from.into(), to.into()));
    }

    /// Drops all messages between two processes.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Drops all messages between a process and all others.
    pub fn isolate(&mut self, name: &str) {
        for other in self.names() {
            self.cut(name, &other);
        }
    }

    /// Drops all messages between a failure domain and the others.
    pub fn cut_domain(&mut self, domain: &str) {
        let inside: Vec<_> = self.names().into_iter().filter(|name| self.domain_of(name) == domain).collect();
        let outside: Vec<_> =
            self.names().into_iter().filter(|name| self.domain_of(name) != domain).collect();
        for one in &inside {
            for other in &outside {
                self.cut(one, other);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Stops the process of a control instance. Its disk is kept.
    pub fn crash(&mut self, control: usize) {
        self.controls[control].core = None;
        self.controls[control].syncing_until = Instant::ZERO;
        self.controls[control].queued_inputs.clear();
    }

    /// Starts the process of a control instance from its disk.
    pub fn restart(&mut self, control: usize) {
        let seed: u64 = self.random.random();
        let policy = self.policy;
        let control = &mut self.controls[control];
        control.incarnation += 1;
        let settings = Settings {
            member: member(&control.name, control.disk.clone()),
            incarnation: Incarnation(control.incarnation),
            first_members: control.first_members.clone(),
        };
        let mut core = Core::open(settings, control.stored.clone(), ChaCha20Rng::seed_from_u64(seed));
        if let Some(policy) = policy {
            core.failover.policy = policy;
        }
        core.seeds = control.seeds.clone();
        if let Some(losses) = self.losses_borne {
            core.voters_target = voters_for(losses);
        }
        control.core = Some(core);
    }

    /// Sets how many control instances may be lost at once.
    pub fn set_losses_borne(&mut self, losses: usize) {
        self.losses_borne = Some(losses);
        for control in &mut self.controls {
            if let Some(core) = &mut control.core {
                core.voters_target = voters_for(losses);
            }
        }
    }

    /// Starts a control instance with an empty disk that is no member yet, in the failure domain of another one.
    pub fn add_successor(&mut self, of: usize) -> usize {
        let name: Arc<str> = format!("control-{}", self.controls.len() + 1).into();
        let seeds = self.controls.iter().map(|control| member(&control.name, DiskId::unbound())).collect();
        self.add_control(&name, self.controls[of].domain, Members::default());
        let index = self.controls.len() - 1;
        self.controls[index].seeds = seeds;
        self.restart(index);
        index
    }

    /// Sends an endpoint's report to a control instance. Returns the ticket of its answer.
    pub fn report(&mut self, control: usize, report: PresenceReport) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.input(control, Input::Reported(Ticket(ticket), report));
        ticket
    }

    /// Returns the answer to an endpoint's report.
    pub fn report_answer(&self, ticket: u64) -> Option<&ReportAnswer> {
        self.report_answers.iter().find(|answer| answer.ticket == ticket)
    }

    /// Requests the planned stop of a control instance, which ends by itself.
    pub fn stop(&mut self, control: usize) {
        self.step_or_queue(control, Input::Stop);
    }

    /// Stops the process of a control instance and replaces its disk with an empty one.
    pub fn wipe_disk(&mut self, control: usize) {
        self.crash(control);
        let number = self.controls[control].incarnation;
        let control = &mut self.controls[control];
        control.disk = DiskId(format!("{}-disk-{number}", control.name).into());
        control.stored = Stored::default();
    }

    /// Pauses the process of a control instance. Its inputs are queued.
    pub fn freeze(&mut self, control: usize) {
        self.controls[control].frozen = true;
    }

    /// Resumes a paused process, which first handles the queued inputs.
    pub fn unfreeze(&mut self, control: usize) {
        self.controls[control].frozen = false;
        self.handle_queued(control);
    }

    /// Handles the inputs that were queued while the process was paused or waited for its disk.
    fn handle_queued(&mut self, control: usize) {
        let inputs = std::mem::take(&mut self.controls[control].queued_inputs);
        self.step(control, inputs);
    }

    /// Passes an input to the core, or queues it while the process is paused or waits for its disk.
    fn step_or_queue(&mut self, control: usize, input: Input) {
        let now = self.now;
        let node = &mut self.controls[control];
        if node.frozen || now < node.syncing_until {
            node.queued_inputs.push(input);
            return;
        }
        self.step(control, vec![input]);
    }

    /// Sets how long a sync takes on every control instance's disk, in milliseconds.
    pub fn set_sync_ms(&mut self, sync_ms: u64) {
        for control in &mut self.controls {
            control.sync_ms = sync_ms;
        }
    }

    /// Returns the longest time without an acknowledged write since an instant, in milliseconds.
    pub fn longest_gap_ms(&self, since: Instant) -> u64 {
        self.longest_gap_of(since, |_| true)
    }

    /// Returns the same for entry instances outside a failure domain; writes acknowledged inside it are not
    /// counted.
    pub fn longest_gap_outside_ms(&self, since: Instant, domain: &str) -> u64 {
        self.longest_gap_of(since, |write| self.domain_of(&write.entry) != domain)
    }

    fn longest_gap_of(&self, since: Instant, counts: impl Fn(&AcknowledgedWrite) -> bool) -> u64 {
        let counted = self.writes.iter().filter(|write| write.at >= since && counts(write));
        let times: Vec<Instant> = counted.map(|write| write.at).collect();
        let gaps = std::iter::once(&since).chain(&times).zip(times.iter().chain(std::iter::once(&self.now)));
        let longest = gaps.map(|(before, after)| after.saturating_since(*before)).max().unwrap_or_default();
        u64::try_from(longest.as_millis()).unwrap_or(u64::MAX)
    }

    /// Panics if an acknowledged write violates a guarantee: there is one primary per term, and the terms of
    /// the writes never decrease.
    pub fn check_writes(&self) {
        let mut primaries: Vec<(Term, Arc<str>)> = Vec::new();
        for write in &self.writes {
            match primaries.iter().find(|(term, _)| *term == write.term) {
                Some((_, primary)) => {
                    assert_eq!(*primary, write.endpoint, "two primaries in {:?}", write.term);
                }
                None => primaries.push((write.term, write.endpoint.clone())),
            }
        }
        let terms: Vec<Term> = self.writes.iter().map(|write| write.term).collect();
        assert!(terms.is_sorted(), "seed {}: a write in an old term was acknowledged", self.config.seed);
    }

    fn names(&self) -> Vec<Arc<str>> {
        let controls = self.controls.iter().map(|control| control.name.clone());
        let entries = self.entries.iter().map(|entry| entry.name.clone());
        controls.chain(entries).chain(self.endpoints.iter().map(|endpoint| endpoint.name.clone())).collect()
    }

    fn domain_of(&self, name: &str) -> &'static str {
        let control =
            self.controls.iter().find(|control| *control.name == *name).map(|control| control.domain);
        let entry = self.entries.iter().find(|entry| *entry.name == *name).map(|entry| entry.domain);
        let endpoint = self.endpoints.iter().find(|endpoint| *endpoint.name == *name);
        control.or(entry).or(endpoint.map(|endpoint| endpoint.domain)).expect("the process is known")
    }

    fn add_control(&mut self, name: &Arc<str>, domain: &'static str, first_members: Members) {
        self.controls.push(Control {
            name: name.clone(),
            domain,
            core: None,
            disk: DiskId(format!("{name}-disk").into()),
            stored: Stored::default(),
            frozen: false,
            sync_ms: 0,
            syncing_until: Instant::ZERO,
            incarnation: 0,
            queued_inputs: Vec::new(),
            first_members,
            seeds: SortedVec::new(),
        });
        let index = self.controls.len() - 1;
        self.restart(index);
        let first = self.random.random_range(1..TICK_INTERVAL_MS * 1_000);
        self.after_us(first, EventKind::Tick(index));
    }

    fn add_entry(&mut self, name: Arc<str>, domain: &'static str) {
        self.entries.push(Entry {
            name,
            domain,
            alive: true,
            catalogue: Catalogue::default(),
            term_lease_until: Instant::ZERO,
            fresh_until: Instant::ZERO,
            target: 0,
            is_awaiting_answer: false,
            endpoint_reports: Vec::new(),
            write_in_flight: None,
        });
        let index = self.entries.len() - 1;
        let first = self.random.random_range(1..HEARTBEAT_INTERVAL_MS * 1_000);
        self.after_us(first, EventKind::SendHeartbeat(index));
        self.after_us(first, EventKind::Write(index));
    }

    fn add_endpoint(&mut self, name: Arc<str>, domain: &'static str, role: Role) {
        self.endpoints.push(Endpoint {
            name,
            domain,
            alive: true,
            role,
            timeline: 1,
            position: 1_000,
            leaving: false,
            promoted: Vec::new(),
        });
        let index = self.endpoints.len() - 1;
        let first = self.random.random_range(1..ANNOUNCEMENT_INTERVAL_MS * 1_000);
        self.after_us(first, EventKind::Announce(index));
    }

    fn after_us(&mut self, span_us: u64, kind: EventKind) {
        self.number += 1;
        let at = self.now + Duration::from_micros(span_us);
        self.queue.push(Reverse(Event { at, number: self.number, kind }));
    }

    /// Sends a message over the network, which may drop it.
    fn send(&mut self, from: &Arc<str>, to: &Arc<str>, kind: EventKind) {
        self.send_delayed(from, to, kind, 0);
    }

    fn send_delayed(&mut self, from: &Arc<str>, to: &Arc<str>, kind: EventKind, delay_us: u64) {
        let is_cut = self.cuts.iter().any(|(one, other)| one == from && other == to);
        let is_lost = self.random.random_range(0..1_000) < self.config.loss_per_mille;
        if is_cut || is_lost {
            return;
        }
        let base = if self.domain_of(from) == self.domain_of(to) { 200 } else { self.config.latency_us };
        let jitter = self.random.random_range(0..=base / 5);
        self.after_us(delay_us + base + jitter, kind);
    }

    fn input(&mut self, control: usize, input: Input) {
        let incarnation = self.controls[control].incarnation;
        self.after_us(1, EventKind::Input(control, incarnation, Box::new(input)));
    }

    fn ticket(&mut self, entry: usize) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push((ticket, entry));
        ticket
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Tick(control) => {
                self.after_us(TICK_INTERVAL_MS * 1_000, EventKind::Tick(control));
                if !self.controls[control].frozen {
                    self.step_or_queue(control, Input::Tick);
                }
            }
            EventKind::Input(control, incarnation, input) => {
                if self.controls[control].incarnation == incarnation {
                    self.step_or_queue(control, *input);
                }
            }
            EventKind::Synced(control, incarnation, duration) => {
                if self.controls[control].incarnation == incarnation {
                    self.controls[control].queued_inputs.insert(0, Input::Synced(duration));
                    if !self.controls[control].frozen {
                        self.handle_queued(control);
                    }
                }
            }
            EventKind::SendHeartbeat(entry) => self.send_periodic_heartbeat(entry),
            EventKind::HeartbeatAnswer(entry, answer) => self.on_heartbeat_answer(entry, *answer),
            EventKind::NotLeader(entry, hint) => self.on_not_leader(entry, hint.as_ref()),
            EventKind::Announce(endpoint) => self.announce(endpoint),
            EventKind::Write(entry) => self.write(entry),
            EventKind::WriteArrives(attempt) => self.execute(attempt),
            EventKind::WriteAnswer(attempt, done) => self.finish_write(attempt, done),
            EventKind::Replicate(source, endpoint, timeline, position) => {
                self.replicate(source, endpoint, timeline, position);
            }
            EventKind::Promote(control, promotion) => self.promote(control, promotion),
            EventKind::PromotionDone(control, endpoint, promotion) => {
                self.finish_promotion(control, endpoint, promotion);
            }
        }
    }

    /// Passes inputs to the core. As in the runtime, their writes share a sync.
    fn step(&mut self, control: usize, inputs: Vec<Input>) {
        let now = self.now;
        let Some(core) = &mut self.controls[control].core else { return };
        let mut effects = Vec::new();
        for input in inputs {
            step(core, now, input, &mut effects);
        }
        batch_effects(&mut effects);
        // As in the runtime, the effects after a sync wait for it, and so does the next input.
        let mut delay_us = 0;
        for effect in effects {
            if matches!(effect, Effect::Persist(_)) {
                delay_us += self.controls[control].sync_ms * 1_000;
            }
            self.apply_effect(control, effect, delay_us);
        }
        if delay_us > 0 {
            let incarnation = self.controls[control].incarnation;
            self.controls[control].syncing_until = now + Duration::from_micros(delay_us);
            let duration = Duration::from_micros(delay_us);
            self.after_us(delay_us, EventKind::Synced(control, incarnation, duration));
        }
    }

    /// Carries out an effect after a delay.
    fn apply_effect(&mut self, control: usize, effect: Effect, delay_us: u64) {
        let from = self.controls[control].name.clone();
        match effect {
            // The simulated endpoints announce the state of their logs themselves.
            Effect::Probe(_) => {}
            // No simulated control instance has a policy for usage reports.
            Effect::ReportUsage(_) => {}
            Effect::Persist(persist) => persist_to(&mut self.controls[control].stored, persist),
            Effect::Send(to, message) => {
                let Some(index) = self.controls.iter().position(|c| *c.name == *to.instance.as_str()) else {
                    return;
                };
                let name = self.controls[index].name.clone();
                let input = Box::new(Input::Replication((&*from).into(), message));
                let incarnation = self.controls[index].incarnation;
                self.send_delayed(&from, &name, EventKind::Input(index, incarnation, input), delay_us);
            }
            Effect::AnswerHeartbeat(ticket, body) => self.deliver_answer(&from, ticket, body, delay_us),
            Effect::AnswerOperator(ticket, result) => {
                self.answers.push(OperatorAnswer { ticket: ticket.0, result });
            }
            Effect::AnswerStatus(ticket, result) => {
                self.statuses.push(StatusAnswer { ticket: ticket.0, result });
            }
            Effect::Promote(promotion) => {
                let name: Arc<str> = promotion.endpoint.as_str().into();
                self.send_delayed(&from, &name, EventKind::Promote(control, promotion), delay_us);
            }
            Effect::AnswerReport(ticket, outcome) => {
                self.report_answers.push(ReportAnswer { ticket: ticket.0, outcome });
            }
            Effect::Stopped => self.crash(control),
            Effect::Log(line) => self.log_lines.push(format!("{} ms {from}: {line}", self.now.as_millis())),
        }
    }

    fn deliver_answer(&mut self, from: &Arc<str>, ticket: Ticket, body: PeerBody, delay_us: u64) {
        let Some(position) = self.tickets.iter().position(|(known, _)| *known == ticket.0) else { return };
        let entry = self.tickets[position].1;
        if !self.config.push {
            self.tickets.remove(position);
        }
        self.count_entry_bytes(&body);
        let name = self.entries[entry].name.clone();
        match body {
            PeerBody::HeartbeatAnswer(answer) => {
                self.send_delayed(from, &name, EventKind::HeartbeatAnswer(entry, answer), delay_us);
            }
            PeerBody::NotLeader(leader) => {
                let hint = leader.map(|leader| leader.instance.as_str().into());
                self.send_delayed(from, &name, EventKind::NotLeader(entry, hint), delay_us);
            }
            _ => {}
        }
    }

    fn count_entry_bytes(&mut self, body: &PeerBody) {
        if self.count_bytes {
            let mut bytes = Vec::new();
            ciborium::into_writer(body, &mut bytes).expect("writing to a vector can't fail");
            self.entry_bytes += bytes.len() as u64;
        }
    }

    fn send_periodic_heartbeat(&mut self, entry: usize) {
        self.after_us(HEARTBEAT_INTERVAL_MS * 1_000, EventKind::SendHeartbeat(entry));
        let node = &mut self.entries[entry];
        if !node.alive {
            return;
        }
        if node.is_awaiting_answer {
            node.target = (node.target + 1) % self.controls.len();
        }
        self.send_heartbeat(entry);
    }

    fn send_heartbeat(&mut self, entry: usize) {
        self.tickets.retain(|(_, owner)| *owner != entry);
        let ticket = self.ticket(entry);
        let now = self.now;
        let node = &mut self.entries[entry];
        node.is_awaiting_answer = true;
        let heartbeat = Heartbeat {
            instance: (&*node.name).into(),
            incarnation: Incarnation(1),
            domain: node.domain.into(),
            peer_address: "10.0.0.1:7000".into(),
            accepts_packed: false,
            asked_at: now,
            revision: node.catalogue.revision,
            leaving: false,
            complete: true,
            grants_term: None,
            instances_digest: 0,
            control_digest: 0,
            endpoints: std::mem::take(&mut node.endpoint_reports),
            shares: Vec::new(),
            permits: Vec::new(),
            usage: None,
        };
        let (target, name) = (node.target, node.name.clone());
        self.count_entry_bytes(&PeerBody::Heartbeat(Box::new(heartbeat.clone())));
        let control = self.controls[target].name.clone();
        let incarnation = self.controls[target].incarnation;
        let input = Box::new(Input::Heartbeat(Ticket(ticket), Box::new(heartbeat)));
        self.send(&name, &control, EventKind::Input(target, incarnation, input));
    }

    fn on_heartbeat_answer(&mut self, entry: usize, answer: HeartbeatAnswer) {
        let node = &mut self.entries[entry];
        if !node.alive {
            return;
        }
        node.is_awaiting_answer = false;
        let before = node.catalogue.revision;
        let lists_before = node.catalogue.lists_revision;
        apply_update(&mut node.catalogue, answer.update);
        assert!(
            node.catalogue.revision >= before && node.catalogue.lists_revision >= lists_before,
            "the catalogue went back to an older revision"
        );
        if node.catalogue.revision >= answer.revision {
            let lease = |length_ms| answer.asked_at + Duration::from_millis(length_ms);
            node.term_lease_until = node.term_lease_until.max(lease(answer.term_lease_ms));
            node.fresh_until = node.fresh_until.max(lease(answer.freshness_lease_ms));
        }
        if node.catalogue.revision > before {
            self.send_heartbeat(entry);
        }
    }

    fn on_not_leader(&mut self, entry: usize, hint: Option<&Arc<str>>) {
        let known = hint.and_then(|hint| self.controls.iter().position(|control| control.name == *hint));
        let node = &mut self.entries[entry];
        let is_new_target = known.is_some_and(|known| known != node.target);
        node.target = known.unwrap_or((node.target + 1) % self.controls.len());
        if is_new_target {
            self.send_heartbeat(entry);
        }
    }

    fn announce(&mut self, endpoint: usize) {
        self.after_us(ANNOUNCEMENT_INTERVAL_MS * 1_000, EventKind::Announce(endpoint));
        let node = &self.endpoints[endpoint];
        if !node.alive {
            return;
        }
        let announcement = Announcement {
            endpoint: (&*node.name).into(),
            service: SERVICE.into(),
            address: "10.0.0.2:5432".into(),
            domain: node.domain.into(),
            role: node.role,
            timeline: Timeline(node.timeline),
            position: LogPosition(node.position),
            lag_ms: self.lag_ms(endpoint),
            slots: 5,
            connection_limit: 30,
            leaving: node.leaving,
        };
        let name = node.name.clone();
        for control in 0..self.controls.len() {
            let to = self.controls[control].name.clone();
            let incarnation = self.controls[control].incarnation;
            let input = Box::new(Input::Announced(announcement.clone()));
            self.send(&name, &to, EventKind::Input(control, incarnation, input));
        }
    }

    fn write(&mut self, entry: usize) {
        self.after_us(self.config.write_interval_ms * 1_000, EventKind::Write(entry));
        let node = &self.entries[entry];
        let Some(group) = node.group().filter(|group| group.writable) else { return };
        let Some(primary) = &group.primary else { return };
        let Some(endpoint) = self.endpoints.iter().position(|e| *e.name == *primary.as_str()) else { return };
        if !node.alive || node.write_in_flight.is_some() || self.now >= node.term_lease_until {
            return;
        }
        let (term, name, to) = (group.term, node.name.clone(), self.endpoints[endpoint].name.clone());
        let attempt = WriteAttempt { number: self.number, entry, endpoint, term };
        self.entries[entry].write_in_flight = Some(attempt.number);
        self.after_us(WRITE_TIMEOUT_MS * 1_000, EventKind::WriteAnswer(attempt, None));
        self.send(&name, &to, EventKind::WriteArrives(attempt));
    }

    fn execute(&mut self, attempt: WriteAttempt) {
        let node = &mut self.endpoints[attempt.endpoint];
        if !node.alive || node.role != Role::Primary {
            return;
        }
        node.position += 1;
        let (timeline, position) = (node.timeline, node.position);
        let from = node.name.clone();
        let to = self.entries[attempt.entry].name.clone();
        let done = AcknowledgedWrite {
            at: self.now,
            entry: to.clone(),
            endpoint: from.clone(),
            term: attempt.term,
            timeline,
            position,
        };
        for replica in 0..self.endpoints.len() {
            if self.endpoints[replica].role == Role::Replica {
                let name = self.endpoints[replica].name.clone();
                let is_cut = self.cuts.iter().any(|(one, other)| *one == from && *other == name);
                let span_us = self.lag_ms(replica) * 1_000 + self.config.latency_us;
                if !is_cut {
                    self.after_us(
                        span_us,
                        EventKind::Replicate(attempt.endpoint, replica, timeline, position),
                    );
                }
            }
        }
        self.send(&from, &to, EventKind::WriteAnswer(attempt, Some(Box::new(done))));
    }

    fn finish_write(&mut self, attempt: WriteAttempt, done: Option<Box<AcknowledgedWrite>>) {
        let now = self.now;
        let endpoint: EndpointName = (&*self.endpoints[attempt.endpoint].name).into();
        let node = &mut self.entries[attempt.entry];
        if node.write_in_flight != Some(attempt.number) {
            return;
        }
        node.write_in_flight = None;
        let since_ms = if done.is_some() { 0 } else { WRITE_TIMEOUT_MS };
        node.report(EndpointReport { endpoint, reachable: done.is_some(), since_ms });
        let Some(done) = done else { return };
        let is_current = node.group().is_some_and(|group| group.term == done.term && group.writable);
        if is_current && now < node.term_lease_until {
            self.writes.push(AcknowledgedWrite { at: now, ..*done });
        }
    }

    /// Returns the replication lag. The last endpoint has the smallest lag, so that the order by name differs
    /// from the order by position.
    fn lag_ms(&self, endpoint: usize) -> u64 {
        self.config.replica_lag_ms * (self.endpoints.len() - endpoint) as u64
    }

    /// Applies replicated records to an endpoint. Records that a primary had not sent before it failed are
    /// lost.
    fn replicate(&mut self, source: usize, endpoint: usize, timeline: u64, position: u64) {
        if !self.endpoints[source].alive {
            return;
        }
        let node = &mut self.endpoints[endpoint];
        if node.alive && node.role == Role::Replica && timeline >= node.timeline {
            node.timeline = timeline;
            node.position = node.position.max(position);
        }
    }

    fn promote(&mut self, control: usize, promotion: Promotion) {
        let name: Arc<str> = promotion.endpoint.as_str().into();
        let Some(endpoint) = self.endpoints.iter().position(|endpoint| endpoint.name == name) else { return };
        if !self.endpoints[endpoint].alive {
            self.input(control, Input::Promoted(promotion, Err(PromotionError::NotReached)));
            return;
        }
        self.after_us(PROMOTION_MS * 1_000, EventKind::PromotionDone(control, endpoint, promotion));
    }

    fn finish_promotion(&mut self, control: usize, endpoint: usize, promotion: Promotion) {
        let node = &mut self.endpoints[endpoint];
        if !node.alive {
            self.input(control, Input::Promoted(promotion, Err(PromotionError::Unknown)));
            return;
        }
        if node.role == Role::Replica {
            node.role = Role::Primary;
            node.timeline += 1;
            node.promoted.push(promotion.term);
        }
        let (timeline, start, from) = (node.timeline, node.position, node.name.clone());
        for other in 0..self.endpoints.len() {
            if other != endpoint && self.endpoints[other].role == Role::Replica {
                self.endpoints[other].position = self.endpoints[other].position.min(start);
                self.after_us(self.config.latency_us, EventKind::Replicate(endpoint, other, timeline, start));
            }
        }
        let state = PromotedState { timeline: Timeline(timeline), start: LogPosition(start) };
        let result = if self.lose_promotion_answers { Err(PromotionError::Unknown) } else { Ok(state) };
        let to = self.controls[control].name.clone();
        let incarnation = self.controls[control].incarnation;
        self.send(
            &from,
            &to,
            EventKind::Input(control, incarnation, Box::new(Input::Promoted(promotion, result))),
        );
    }
}

impl Entry {
    /// Returns the group as known to this instance.
    pub fn group(&self) -> Option<&cumincart_protocol::catalogue::Group> {
        self.catalogue.group(&SERVICE.into())
    }

    fn report(&mut self, report: EndpointReport) {
        self.endpoint_reports.retain(|known| known.endpoint != report.endpoint);
        self.endpoint_reports.push(report);
    }
}

/// Returns the action that sets whether a failure domain is out of service.
pub fn set_domain(domain: &str, out: bool) -> Action {
    Action::SetDomain { domain: DomainName::from(domain), out }
}

fn member(name: &Arc<str>, disk: DiskId) -> Member {
    Member { instance: (&**name).into(), disk, peer_address: (&**name).into(), domain: None }
}

fn persist_to(stored: &mut Stored, persist: Persist) {
    match persist {
        Persist::Ballot(ballot) => stored.ballot = ballot,
        Persist::Append(records) => stored.records.extend(records),
        Persist::TruncateFrom(index) => stored.records.retain(|record| record.index < index),
        Persist::Snapshot(snapshot) => {
            let continues = stored
                .records
                .iter()
                .any(|record| record.index == snapshot.index && record.term == snapshot.term);
            let first_kept = if continues { snapshot.index.next() } else { LogIndex(u64::MAX) };
            stored.records.retain(|record| record.index >= first_kept);
            stored.snapshot = Some(*snapshot);
        }
    }
}

fn apply_update(catalogue: &mut Catalogue, update: CatalogueUpdate) {
    match update {
        CatalogueUpdate::None => {}
        CatalogueUpdate::Packed(packed) => apply_update(catalogue, packed.unpack().expect("it is valid")),
        CatalogueUpdate::Snapshot(snapshot) if snapshot.revision > catalogue.revision => {
            *catalogue = (*snapshot).clone();
        }
        CatalogueUpdate::Snapshot(_) => {}
        CatalogueUpdate::Deltas(deltas) => {
            for delta in deltas {
                if delta.from > catalogue.revision {
                    return;
                }
                if delta.to <= catalogue.revision {
                    continue;
                }
                apply_change(catalogue, delta.change);
                catalogue.revision = Revision(delta.to.0);
            }
        }
    }
}

fn apply_change(catalogue: &mut Catalogue, change: CatalogueChange) {
    match change {
        CatalogueChange::Nothing => {}
        CatalogueChange::Lists(revision, lists) => {
            catalogue.lists_revision = revision;
            catalogue.lists = lists;
        }
        CatalogueChange::ListsPatch(revision, patch) => {
            catalogue.lists_revision = revision;
            catalogue.lists = Arc::new(patch.apply(&catalogue.lists));
        }
        CatalogueChange::DomainsOut(domains) => catalogue.domains_out = domains,
        CatalogueChange::InstancesOut(instances) => catalogue.instances_out = instances,
        CatalogueChange::Group(group) => {
            catalogue.groups.insert(*group);
        }
    }
}
