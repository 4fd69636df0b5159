//! Entry cores and control ledgers joined by a small network on a virtual clock.

use {
    super::recorder::Recorder,
    cumincart_core::{
        control::{permits as permit_ledger, shares as share_ledger},
        entry::{
            Core, Settings, Ticket, membership,
            permits::ConnectionUse,
            quota::{self, QuotaDecision},
        },
        timing::{CLOCK_DRIFT_PER_MILLE, FRESHNESS_LEASE_MS, TERM_LEASE_MS},
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueUpdate, Heartbeat, HeartbeatAnswer, Share},
        lists::{Lists, Organisation, Plan},
        name::{DomainName, InstanceName, OrganisationName},
        number::{ControlTerm, Incarnation},
        sorted::SortedVec,
        time::Instant,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha20Rng,
    std::{sync::Arc, time::Duration},
};

const NEVER_OVER: &str = "more was admitted over the fleet than burst + rate × length";

/// Time between two steps of the fleet, in microseconds.
pub const STEP_US: u64 = 2_000;

/// How long a request may wait, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;

/// A clock that runs beside true time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    pub offset_us: u64,
    /// How much faster than true time it runs, in millionths.
    pub fast_ppm: i64,
}

impl Clock {
    pub fn at(self, true_us: u64) -> Instant {
        let scaled = i128::from(true_us) * i128::from(1_000_000 + self.fast_ppm) / 1_000_000;
        Instant::from_micros(self.offset_us + u64::try_from(scaled).expect("time is positive"))
    }
}

/// What the network does to messages.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    pub lost_per_mille: u32,
    pub doubled_per_mille: u32,
    pub min_delay_us: u64,
    pub max_delay_us: u64,
}

impl Default for Network {
    fn default() -> Self {
        Self { lost_per_mille: 0, doubled_per_mille: 0, min_delay_us: 500, max_delay_us: 2_000 }
    }
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(usize, Heartbeat),
    Answer(usize, HeartbeatAnswer),
}

#[derive(Debug)]
pub struct Node {
    pub core: Core,
    pub clock: Clock,
    pub alive: bool,
    /// Whether a partition cuts it off from the control leader.
    pub cut: bool,
    /// The end of the longest lease that an answer gave, arrived or not.
    leased_until: Instant,
    waiting: Vec<WaitingRequest>,
    /// Connections to each endpoint: open and wanted.
    pub connections: SortedVec<ConnectionUse>,
    pub counts: Counts,
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: Ticket,
    organisation_index: usize,
    sent_us: u64,
    within: bool,
}

/// What became of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub admitted: u64,
    pub refused: u64,
    pub sent: u64,
    /// Time that admitted requests waited for a token, in microseconds.
    pub waited_us: u64,
}

pub struct Leader {
    pub shares: share_ledger::Ledger,
    pub permits: permit_ledger::Ledger,
    pub control_term: ControlTerm,
    pub clock: Clock,
}

pub struct Fleet {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub leader: Option<Leader>,
    pub catalogue: Arc<Catalogue>,
    pub network: Network,
    pub recorders: Vec<Recorder>,
    limits: Vec<(f64, u32)>,
    /// Whether every step is checked.
    pub checked: bool,
    /// Whether the limits committed last are not yet in force everywhere.
    limits_pending: bool,
    /// What a single bucket for the whole fleet would admit.
    pub ideals: Vec<Recorder>,
    /// Requests of each organisation that were refused although a single bucket had a token.
    pub wrongly_refused: Vec<u64>,
    /// What the last refused request was told.
    pub last_retry_after_ms: Option<u64>,
    pub random: ChaCha20Rng,
    pub bytes_to_leader: u64,
    pub bytes_from_leader: u64,
    pub heartbeats: u64,
    pub started_us: u64,
    /// Processor time of the ledgers and of the cores' heartbeats; measured, never decided upon.
    pub leader_time: Duration,
    pub entry_time: Duration,
    mail: Vec<(u64, Message)>,
    next_ticket: u64,
    next_control_term: u64,
}

pub fn organisation(index: usize) -> OrganisationName {
    OrganisationName::from(format!("organisation-{index}"))
}

/// Lists with one plan for each limit; organisation `i` is on plan `i`, and absent if its burst is 0.
pub fn lists(limits: &[(f64, u32)]) -> Lists {
    let mut lists = Lists::default();
    for (index, (rate_per_s, burst)) in limits.iter().enumerate() {
        if *burst == 0 {
            continue;
        }
        let plan = format!("plan-{index}");
        lists.plans.plans.push(Plan {
            name: plan.as_str().into(),
            routes: Vec::new(),
            rate_per_s: *rate_per_s,
            burst: *burst,
            weight: 1,
        });
        lists.organisations.organisations.push(Organisation {
            name: organisation(index),
            plan: plan.as_str().into(),
            keys: Vec::new(),
        });
    }
    lists
}

impl Fleet {
    pub fn new(seed: u64, limits: &[(f64, u32)]) -> Self {
        let mut catalogue = Catalogue::default();
        catalogue.revision = catalogue.revision.next();
        catalogue.lists = Arc::new(lists(limits));
        let mut fleet = Self {
            now_us: 10_000_000,
            nodes: Vec::new(),
            leader: None,
            catalogue: Arc::new(catalogue),
            network: Network::default(),
            recorders: Vec::new(),
            limits: limits.to_vec(),
            checked: true,
            limits_pending: false,
            ideals: Vec::new(),
            wrongly_refused: vec![0; limits.len()],
            last_retry_after_ms: None,
            random: ChaCha20Rng::seed_from_u64(seed),
            bytes_to_leader: 0,
            bytes_from_leader: 0,
            heartbeats: 0,
            started_us: 0,
            leader_time: Duration::ZERO,
            entry_time: Duration::ZERO,
            mail: Vec::new(),
            next_ticket: 0,
            next_control_term: 1,
        };
        fleet.started_us = fleet.now_us;
        let recorder = |(rate, burst): &(f64, u32)| Recorder::new(fleet.now_us, *rate, *burst);
        fleet.recorders = limits.iter().map(recorder).collect();
        fleet.ideals = limits.iter().map(recorder).collect();
        fleet
    }

    /// Adds an instance; `incarnation` tells runs of the same name apart.
    pub fn add(&mut self, name: &str, domain: &str, incarnation: u64, clock: Clock) -> usize {
        let settings = Settings {
            instance: InstanceName::from(name),
            incarnation: Incarnation(incarnation),
            domain: DomainName::from(domain),
            peer_address: "127.0.0.1:1".into(),
        };
        let random = ChaCha20Rng::seed_from_u64(self.nodes.len() as u64);
        self.nodes.push(Node {
            core: Core::open(settings, random),
            clock,
            alive: true,
            cut: false,
            leased_until: Instant::ZERO,
            waiting: Vec::new(),
            connections: SortedVec::new(),
            counts: Counts::default(),
        });
        self.nodes.len() - 1
    }

    /// Adds `count` instances over `domains` failure domains with exact clocks.
    pub fn add_many(&mut self, count: usize, domains: usize) {
        for index in 0..count {
            let domain = format!("domain-{}", index % domains);
            self.add(&format!("entry-{index}"), &domain, 1, Clock::default());
        }
    }

    /// Deposes the leader, if there is one, and elects another with an empty ledger.
    pub fn elect(&mut self, clock: Clock) {
        let control_term = ControlTerm(self.next_control_term);
        self.next_control_term += 1;
        let mut leader = Leader {
            shares: share_ledger::Ledger::default(),
            permits: permit_ledger::Ledger::default(),
            control_term,
            clock,
        };
        let now = clock.at(self.now_us);
        share_ledger::on_elected(&mut leader.shares, now, control_term);
        permit_ledger::on_elected(&mut leader.permits, now, control_term);
        self.leader = Some(leader);
    }

    /// Puts a leader in place that knows of no earlier one, as the first of a new control group does.
    pub fn elect_first(&mut self, clock: Clock) {
        self.elect(clock);
        let leader = self.leader.as_mut().expect("one was elected");
        share_ledger::on_first_elected(&mut leader.shares, leader.control_term);
        permit_ledger::on_first_elected(&mut leader.permits, leader.control_term);
    }

    /// Commits new lists. Until they are in force everywhere, the greatest of the limits since the last time holds.
    pub fn apply(&mut self, limits: &[(f64, u32)]) {
        for (recorder, (rate, burst)) in self.recorders.iter_mut().zip(limits) {
            recorder.raise(self.now_us, *rate, *burst);
        }
        self.limits = limits.to_vec();
        self.limits_pending = true;
        let mut catalogue = Catalogue::clone(&self.catalogue);
        catalogue.revision = catalogue.revision.next();
        catalogue.lists = Arc::new(lists(limits));
        self.catalogue = Arc::new(catalogue);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].waiting.clear();
        self.nodes[node].connections = SortedVec::new();
    }

    /// Sends one request of an organisation to an instance.
    pub fn request(&mut self, node: usize, organisation_index: usize) {
        let now_us = self.now_us;
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let node = &mut self.nodes[node];
        if !node.alive {
            return;
        }
        node.counts.sent += 1;
        let within = self.ideals[organisation_index].try_admit(now_us);
        let now = node.clock.at(now_us);
        let deadline = now + Duration::from_millis(DEADLINE_MS);
        let name = organisation(organisation_index);
        match quota::take(&mut node.core.quota, now, &name, ticket, deadline) {
            QuotaDecision::Admitted => {
                node.counts.admitted += 1;
                self.recorders[organisation_index].admit(now_us);
            }
            QuotaDecision::Waiting => {
                node.waiting.push(WaitingRequest { ticket, organisation_index, sent_us: now_us, within });
            }
            QuotaDecision::Refused { retry_after_ms } => {
                self.last_retry_after_ms = Some(retry_after_ms);
                node.counts.refused += 1;
                self.wrongly_refused[organisation_index] += u64::from(within);
            }
        }
    }

    /// Advances true time by one step: delivers messages, releases waiting requests, sends heartbeats, checks.
    pub fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver();
        for index in 0..self.nodes.len() {
            self.release(index);
            self.send_heartbeat(index);
        }
        self.settle_limits();
        if self.checked {
            self.check();
        }
    }

    pub fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis * 1_000 / STEP_US {
            self.step();
        }
    }

    /// The counts of all instances together.
    pub fn counts(&self) -> Counts {
        let mut sum = Counts::default();
        for node in &self.nodes {
            sum.admitted += node.counts.admitted;
            sum.refused += node.counts.refused;
            sum.sent += node.counts.sent;
            sum.waited_us += node.counts.waited_us;
        }
        sum
    }

    fn release(&mut self, index: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        let now = node.clock.at(now_us);
        for (ticket, decision) in quota::released(&mut node.core.quota, now) {
            let position = node.waiting.iter().position(|waiting| waiting.ticket == ticket);
            let request = node.waiting.swap_remove(position.expect("only waiting requests are released"));
            match decision {
                QuotaDecision::Admitted => {
                    node.counts.admitted += 1;
                    node.counts.waited_us += now_us - request.sent_us;
                    self.recorders[request.organisation_index].admit(now_us);
                }
                QuotaDecision::Refused { retry_after_ms } => {
                    self.last_retry_after_ms = Some(retry_after_ms);
                    node.counts.refused += 1;
                    self.wrongly_refused[request.organisation_index] += u64::from(request.within);
                }
                QuotaDecision::Waiting => panic!("a released request waits no longer"),
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[index];
        let now = node.clock.at(now_us);
        if !node.alive || !membership::due(&node.core, now) {
            return;
        }
        let started = std::time::Instant::now();
        let heartbeat = membership::heartbeat(&mut node.core, now, Vec::new(), &node.connections);
        self.entry_time += started.elapsed();
        self.heartbeats += 1;
        self.post(&Message::Heartbeat(index, heartbeat));
    }

    fn post(&mut self, message: &Message) {
        if self.random.random_range(0..1_000) < self.network.lost_per_mille {
            return;
        }
        let doubled = self.random.random_range(0..1_000) < self.network.doubled_per_mille;
        for _ in 0..=u32::from(doubled) {
            let delay_us = self.random.random_range(self.network.min_delay_us..=self.network.max_delay_us);
            self.mail.push((self.now_us + delay_us, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now_us = self.now_us;
        let (mut due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|(at, _)| *at <= now_us);
        self.mail = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            match message {
                Message::Heartbeat(from, heartbeat) => self.answer(from, &heartbeat),
                Message::Answer(to, answer) => self.take_answer(to, &answer),
            }
        }
    }

    fn answer(&mut self, from: usize, heartbeat: &Heartbeat) {
        let Some(leader) = self.leader.as_mut().filter(|_| !self.nodes[from].cut) else {
            return;
        };
        self.bytes_to_leader += encoded_bytes(heartbeat);
        let now = leader.clock.at(self.now_us);
        let started = std::time::Instant::now();
        let shares = share_ledger::on_heartbeat(&mut leader.shares, now, &self.catalogue, heartbeat);
        let permits = permit_ledger::on_heartbeat(&mut leader.permits, now, &self.catalogue, heartbeat);
        self.leader_time += started.elapsed();
        let current = heartbeat.revision == self.catalogue.revision;
        let update =
            if current { CatalogueUpdate::None } else { CatalogueUpdate::Snapshot(self.catalogue.clone()) };
        let answer = HeartbeatAnswer {
            asked_at: heartbeat.asked_at,
            incarnation: heartbeat.incarnation,
            control_term: leader.control_term,
            revision: self.catalogue.revision,
            term_lease_ms: TERM_LEASE_MS,
            freshness_lease_ms: FRESHNESS_LEASE_MS,
            update,
            shares,
            permits,
            instances: None,
            control_addresses: None,
        };
        self.bytes_from_leader += encoded_bytes(&answer);
        let until = heartbeat.asked_at + Duration::from_millis(FRESHNESS_LEASE_MS);
        self.nodes[from].leased_until = self.nodes[from].leased_until.max(until);
        self.post(&Message::Answer(from, answer));
    }

    fn take_answer(&mut self, to: usize, answer: &HeartbeatAnswer) {
        let node = &mut self.nodes[to];
        if node.alive && !node.cut {
            let started = std::time::Instant::now();
            membership::on_answer(&mut node.core, node.clock.at(self.now_us), answer);
            self.entry_time += started.elapsed();
        }
    }

    /// Puts the committed limits into the recorders once no instance may act on older lists.
    fn settle_limits(&mut self) {
        if !self.limits_pending {
            return;
        }
        let behind = self.nodes.iter().any(|node| {
            let may_be_fresh = node.clock.at(self.now_us) < node.leased_until;
            node.alive && may_be_fresh && node.core.freshness.revision() < self.catalogue.revision
        });
        if behind {
            return;
        }
        self.limits_pending = false;
        for (recorder, (rate, burst)) in self.recorders.iter_mut().zip(&self.limits) {
            recorder.set(self.now_us, *rate, *burst);
        }
    }

    /// Checks the ledger's sums, that all shares in force are within the plan, that all tokens held are within what
    /// the plan's whole bucket holds now, and that no more was admitted than it gave.
    fn check(&mut self) {
        if let Some(leader) = &self.leader {
            assert_eq!(share_ledger::find_violations(&leader.shares), Vec::new(), "at {} us", self.now_us);
        }
        for index in 0..self.recorders.len() {
            let (held, tokens_milli) = self.held(index);
            let recorder = &mut self.recorders[index];
            let (limit, level_milli) = recorder.at(self.now_us);
            let allowed_milli_per_s = limit.rate_milli_per_s * 1_000 / (1_000 + CLOCK_DRIFT_PER_MILLE);
            let at = format!("organisation {index} at {} us: {recorder:?}", self.now_us);
            assert!(
                held.rate_milli_per_s <= allowed_milli_per_s,
                "rates in force exceed the plan: {held:?}, {at}"
            );
            assert!(held.burst_milli <= limit.burst_milli, "bursts in force exceed the plan: {held:?}, {at}");
            assert!(tokens_milli <= level_milli, "tokens held exceed the plan's: {tokens_milli}, {at}");
            assert_eq!(recorder.over, 0, "{NEVER_OVER}, {at}");
        }
    }

    /// The shares in force and the tokens of one organisation, over all instances.
    fn held(&self, organisation_index: usize) -> (Share, u64) {
        let name = organisation(organisation_index);
        let mut sum = Share::default();
        let mut sum_milli = 0;
        for node in self.nodes.iter().filter(|node| node.alive) {
            let now = node.clock.at(self.now_us);
            if let Some((share, tokens_milli)) = quota::held(&node.core.quota, now, &name) {
                sum.rate_milli_per_s += share.rate_milli_per_s;
                sum.burst_milli += share.burst_milli;
                sum_milli += tokens_milli;
            }
        }
        (sum, sum_milli)
    }
}

fn encoded_bytes<T: serde::Serialize>(message: &T) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to a vector can't fail");
    bytes.len() as u64
}
