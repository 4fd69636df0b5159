//! A fleet of entry cores and control ledgers, connected by a simulated network on a virtual clock.

use {
    super::limit_bucket::LimitBucket,
    cumincart_core::{
        control::{permits as permit_ledger, shares as share_ledger},
        entry::{
            Core, Settings, Ticket, membership,
            permits::ConnectionUse,
            quota::{self, QuotaDecision, RefusalCause},
        },
        interactive::ownership,
        timing::{CLOCK_DRIFT_PER_MILLE, FRESHNESS_LEASE_MS, TERM_LEASE_MS},
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueUpdate, Heartbeat, HeartbeatAnswer, InstanceEntry, Share},
        lists::{Lists, Organisation, Plan},
        name::{DomainName, InstanceName, OrganisationName},
        number::{ControlTerm, Incarnation},
        sorted::SortedVec,
        time::Instant,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha20Rng,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const OVER_LIMIT: &str = "the fleet admitted more than burst + rate × length";

/// The duration of a step of the fleet, in microseconds.
pub const STEP_US: u64 = 2_000;

/// The deadline of each request after it is sent, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;

/// The time that a request for a loan takes, there and back between regions, in microseconds.
const LOAN_ROUND_TRIP_US: u64 = 26_000;

/// A clock with an offset and a speed that may differ from true time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    pub offset_us: u64,
    /// How much faster than true time the clock runs, in millionths.
    pub fast_ppm: i64,
}

impl Clock {
    pub fn at(self, true_us: u64) -> Instant {
        let scaled = i128::from(true_us) * i128::from(1_000_000 + self.fast_ppm) / 1_000_000;
        Instant::from_micros(self.offset_us + u64::try_from(scaled).expect("time is positive"))
    }
}

/// The faults and delays of the network.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    pub lost_per_mille: u32,
    pub duplicated_per_mille: u32,
    pub min_delay_us: u64,
    pub max_delay_us: u64,
}

impl Default for Network {
    fn default() -> Self {
        Self { lost_per_mille: 0, duplicated_per_mille: 0, min_delay_us: 500, max_delay_us: 2_000 }
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
    /// Whether a network partition separates the node from the control leader.
    pub partitioned: bool,
    /// The end of the longest lease in any answer to the node, whether the answer arrived or not.
    leased_until: Instant,
    waiting: Vec<WaitingRequest>,
    /// The connections open and wanted, by endpoint.
    pub connections: SortedVec<ConnectionUse>,
    pub counts: Counts,
    /// The numbers of requests of each priority; refusals and waits aren't counted here.
    pub priorities: BTreeMap<u32, Counts>,
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: Ticket,
    organisation_index: usize,
    sent_us: u64,
    within_limit: bool,
    priority: u32,
    /// Whether the request is in the queue for a token of the own share.
    queued: bool,
    /// The position of the lender to ask next, and when.
    next_lender: usize,
    next_loan_us: u64,
    until_us: u64,
}

/// The numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub admitted: u64,
    pub refused: u64,
    pub sent: u64,
    /// The number of requests that were admitted without a wait.
    pub at_once: u64,
    /// The total time that admitted requests waited for a token, in microseconds.
    pub waited_us: u64,
}

pub struct Leader {
    pub shares: share_ledger::Ledger,
    pub permits: permit_ledger::Ledger,
    pub control_term: ControlTerm,
    pub clock: Clock,
    /// The instances that have adopted this leader.
    reported: Vec<usize>,
}

pub struct Fleet {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub leader: Option<Leader>,
    pub catalogue: Arc<Catalogue>,
    pub network: Network,
    pub limit_buckets: Vec<LimitBucket>,
    limits: Vec<(f64, u32)>,
    /// Whether the invariants are checked after every step.
    pub checks_every_step: bool,
    /// Whether an instance may still act on limits from before the last commit.
    limits_pending: bool,
    /// One bucket for each organisation, which admits what a single bucket for the whole fleet would admit.
    pub ideal_buckets: Vec<LimitBucket>,
    /// The number of requests of each organisation that were refused although its ideal bucket had a token.
    pub wrongly_refused: Vec<u64>,
    /// The number of refused requests of each organisation.
    pub refused: Vec<u64>,
    /// The number of refused requests by cause: no lease, over the limit, no token.
    pub refused_by_cause: [u64; 3],
    /// The instances, if they lend each other tokens of plans that are too small to be split over all of them.
    pub lending: Option<SortedVec<InstanceEntry>>,
    /// Whether a leader ends its recovery once every instance alive has adopted it.
    pub recovers_when_reported: bool,
    /// The retry delay given with the last refusal.
    pub last_retry_after_ms: Option<u64>,
    pub random: ChaCha20Rng,
    pub bytes_to_leader: u64,
    pub bytes_from_leader: u64,
    pub heartbeats: u64,
    pub started_us: u64,
    /// The processor time of the ledgers and of the cores' heartbeats, on the real clock. No decision depends
    /// on it.
    pub leader_time: Duration,
    pub entry_time: Duration,
    in_flight: Vec<(u64, Message)>,
    next_ticket: u64,
    next_control_term: u64,
}

pub fn organisation(index: usize) -> OrganisationName {
    OrganisationName::from(format!("organisation-{index}"))
}

/// Returns lists with one plan for each limit. Organisation `i` is on plan `i`; it is absent if the burst is
/// 0.
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
            limit_buckets: Vec::new(),
            limits: limits.to_vec(),
            checks_every_step: true,
            limits_pending: false,
            ideal_buckets: Vec::new(),
            wrongly_refused: vec![0; limits.len()],
            refused: vec![0; limits.len()],
            refused_by_cause: [0; 3],
            lending: None,
            recovers_when_reported: false,
            last_retry_after_ms: None,
            random: ChaCha20Rng::seed_from_u64(seed),
            bytes_to_leader: 0,
            bytes_from_leader: 0,
            heartbeats: 0,
            started_us: 0,
            leader_time: Duration::ZERO,
            entry_time: Duration::ZERO,
            in_flight: Vec::new(),
            next_ticket: 0,
            next_control_term: 1,
        };
        fleet.started_us = fleet.now_us;
        let limit_bucket = |(rate, burst): &(f64, u32)| LimitBucket::new(fleet.now_us, *rate, *burst);
        fleet.limit_buckets = limits.iter().map(limit_bucket).collect();
        fleet.ideal_buckets = limits.iter().map(limit_bucket).collect();
        fleet
    }

    /// Adds an instance. `incarnation` distinguishes runs of the same name.
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
            partitioned: false,
            leased_until: Instant::ZERO,
            waiting: Vec::new(),
            connections: SortedVec::new(),
            counts: Counts::default(),
            priorities: BTreeMap::new(),
        });
        self.nodes.len() - 1
    }

    /// Adds `count` instances with exact clocks, spread over `domains` failure domains.
    pub fn add_many(&mut self, count: usize, domains: usize) {
        for index in 0..count {
            let domain = format!("domain-{}", index % domains);
            self.add(&format!("entry-{index}"), &domain, 1, Clock::default());
        }
    }

    /// Replaces the leader, if there is one, by a new one with an empty ledger.
    pub fn elect(&mut self, clock: Clock) {
        let control_term = ControlTerm(self.next_control_term);
        self.next_control_term += 1;
        let mut leader = Leader {
            shares: share_ledger::Ledger::default(),
            permits: permit_ledger::Ledger::default(),
            control_term,
            clock,
            reported: Vec::new(),
        };
        let now = clock.at(self.now_us);
        share_ledger::on_elected(&mut leader.shares, now, control_term);
        permit_ledger::on_elected(&mut leader.permits, now, control_term);
        self.leader = Some(leader);
    }

    /// Elects a leader that knows that no earlier one exists, as the first leader of a new control group
    /// does.
    pub fn elect_first(&mut self, clock: Clock) {
        self.elect(clock);
        let leader = self.leader.as_mut().expect("a leader was elected");
        share_ledger::on_first_elected(&mut leader.shares, leader.control_term);
        permit_ledger::on_first_elected(&mut leader.permits, leader.control_term);
    }

    /// Commits new lists. Until they are in force everywhere, the fleet is checked against the highest limits
    /// that may still be in force.
    pub fn commit_limits(&mut self, limits: &[(f64, u32)]) {
        for (limit_bucket, (rate, burst)) in self.limit_buckets.iter_mut().zip(limits) {
            limit_bucket.raise_limit(self.now_us, *rate, *burst);
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
        self.request_within(node, organisation_index, DEADLINE_MS);
    }

    /// Sends one request of an organisation to an instance, which must start within `deadline_ms`.
    pub fn request_within(&mut self, node: usize, organisation_index: usize, deadline_ms: u64) {
        self.request_with_priority(node, organisation_index, deadline_ms, 0);
    }

    /// Sends one request of a priority to an instance, which must start within `deadline_ms`.
    pub fn request_with_priority(
        &mut self,
        index: usize,
        organisation_index: usize,
        deadline_ms: u64,
        priority: u32,
    ) {
        let now_us = self.now_us;
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        node.counts.sent += 1;
        node.priorities.entry(priority).or_default().sent += 1;
        let within_limit = self.ideal_buckets[organisation_index].try_admit(now_us);
        let now = node.clock.at(now_us);
        let deadline = now + Duration::from_millis(deadline_ms);
        let name = organisation(organisation_index);
        let mut request = WaitingRequest {
            ticket,
            organisation_index,
            sent_us: now_us,
            within_limit,
            priority,
            queued: true,
            next_lender: 0,
            next_loan_us: now_us + LOAN_ROUND_TRIP_US,
            until_us: now_us + deadline_ms * 1_000,
        };
        match quota::acquire_with_priority(&mut node.core.quota, now, &name, ticket, deadline, priority) {
            QuotaDecision::Admitted => {
                node.counts.admitted += 1;
                let counts = node.priorities.entry(priority).or_default();
                counts.admitted += 1;
                counts.at_once += 1;
                self.limit_buckets[organisation_index].admit(now_us);
            }
            QuotaDecision::Waiting => node.waiting.push(request),
            QuotaDecision::Refused { retry_after_ms } => {
                self.last_retry_after_ms = Some(retry_after_ms);
                if self.lending.is_some() && quota::may_borrow(&node.core.quota, now, &name) {
                    request.queued = false;
                    node.waiting.push(request);
                } else {
                    self.refuse(index, organisation_index, within_limit);
                }
            }
        }
    }

    fn refuse(&mut self, index: usize, organisation_index: usize, within_limit: bool) {
        let node = &mut self.nodes[index];
        node.counts.refused += 1;
        self.refused[organisation_index] += 1;
        self.wrongly_refused[organisation_index] += u64::from(within_limit);
        let now = node.clock.at(self.now_us);
        let cause = quota::refusal_cause(&node.core.quota, now, &organisation(organisation_index));
        let position = match cause {
            RefusalCause::NoLease => 0,
            RefusalCause::OverLimit => 1,
            RefusalCause::NoToken => 2,
        };
        self.refused_by_cause[position] += 1;
    }

    /// Asks lenders for a token for each request that waits at an instance, one after the other.
    fn borrow(&mut self, index: usize) {
        let Some(instances) = self.lending.clone() else { return };
        let due = |request: &WaitingRequest| {
            request.next_loan_us <= self.now_us || (!request.queued && request.until_us <= self.now_us)
        };
        let tickets: Vec<Ticket> = self.nodes[index]
            .waiting
            .iter()
            .filter(|request| due(request))
            .map(|request| request.ticket)
            .collect();
        for ticket in tickets {
            self.borrow_for(index, ticket, &instances);
        }
    }

    fn borrow_for(&mut self, index: usize, ticket: Ticket, instances: &SortedVec<InstanceEntry>) {
        let now_us = self.now_us;
        let node = &mut self.nodes[index];
        let now = node.clock.at(now_us);
        let position = node.waiting.iter().position(|request| request.ticket == ticket);
        let position = position.expect("the request waits");
        let request = &mut node.waiting[position];
        let organisation_index = request.organisation_index;
        let name = organisation(organisation_index);
        let (rate, burst) = self.limits[organisation_index];
        let plan = Share { rate_milli_per_s: (rate * 1_000.0) as u64, burst_milli: u64::from(burst) * 1_000 };
        let lenders = ownership::token_lenders(instances, &node.core.settings.domain, &name);
        let is_small = ownership::has_token_owners(instances, plan);
        let may_borrow =
            is_small && request.until_us > now_us && quota::may_borrow(&node.core.quota, now, &name);
        if let Some(lender) = lenders.get(request.next_lender).filter(|_| may_borrow) {
            request.next_lender += 1;
            request.next_loan_us = now_us + LOAN_ROUND_TRIP_US;
            let is_cut_off = node.partitioned;
            let is_reachable = |other: &Node| other.alive && other.partitioned == is_cut_off;
            let found = self.nodes.iter_mut().find(|other| other.core.settings.instance == lender.name);
            let lent = found.filter(|other| is_reachable(other)).is_some_and(|other| {
                let now = other.clock.at(now_us);
                quota::lend(&mut other.core.quota, now, &name)
            });
            if lent {
                let node = &mut self.nodes[index];
                let request = node.waiting.swap_remove(position);
                quota::cancel(&mut node.core.quota, ticket);
                node.counts.admitted += 1;
                node.counts.waited_us += now_us - request.sent_us;
                self.limit_buckets[organisation_index].admit(now_us);
            }
            return;
        }
        if may_borrow {
            quota::on_no_loan(&mut node.core.quota, now, &name);
        }
        request.next_loan_us = u64::MAX;
        if !request.queued {
            let request = node.waiting.swap_remove(position);
            self.refuse(index, organisation_index, request.within_limit);
        }
    }

    /// Advances true time by one step: delivers messages, releases waiting requests, sends heartbeats and
    /// checks the invariants.
    pub fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver();
        for index in 0..self.nodes.len() {
            self.release(index);
            self.borrow(index);
            self.send_heartbeat(index);
        }
        self.apply_pending_limits();
        if self.checks_every_step {
            self.check_invariants();
        }
    }

    pub fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis * 1_000 / STEP_US {
            self.step();
        }
    }

    /// Ends the leader without a successor.
    pub fn silence_leader(&mut self) -> Option<Leader> {
        self.leader.take()
    }

    /// Returns the counts of all instances together.
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
        let mut refused = Vec::new();
        for (ticket, decision) in quota::take_decisions(&mut node.core.quota, now) {
            let position = node.waiting.iter().position(|waiting| waiting.ticket == ticket);
            let request = node.waiting.swap_remove(position.expect("only waiting requests are released"));
            match decision {
                QuotaDecision::Admitted => {
                    node.counts.admitted += 1;
                    node.counts.waited_us += now_us - request.sent_us;
                    node.priorities.entry(request.priority).or_default().admitted += 1;
                    self.limit_buckets[request.organisation_index].admit(now_us);
                }
                QuotaDecision::Refused { retry_after_ms } => {
                    self.last_retry_after_ms = Some(retry_after_ms);
                    refused.push(request);
                }
                QuotaDecision::Waiting => panic!("a released request is still waiting"),
            }
        }
        for request in refused {
            self.refuse(index, request.organisation_index, request.within_limit);
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[index];
        let now = node.clock.at(now_us);
        if !node.alive || !membership::is_heartbeat_due(&node.core, now) {
            return;
        }
        let started = std::time::Instant::now();
        let heartbeat = membership::build_heartbeat(&mut node.core, now, Vec::new(), &node.connections);
        self.entry_time += started.elapsed();
        self.heartbeats += 1;
        self.send(&Message::Heartbeat(index, heartbeat));
    }

    fn send(&mut self, message: &Message) {
        if self.random.random_range(0..1_000) < self.network.lost_per_mille {
            return;
        }
        let duplicated = self.random.random_range(0..1_000) < self.network.duplicated_per_mille;
        for _ in 0..=u32::from(duplicated) {
            let delay_us = self.random.random_range(self.network.min_delay_us..=self.network.max_delay_us);
            self.in_flight.push((self.now_us + delay_us, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now_us = self.now_us;
        let (mut due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now_us);
        self.in_flight = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            match message {
                Message::Heartbeat(from, heartbeat) => self.answer(from, &heartbeat),
                Message::Answer(to, answer) => self.apply_answer(to, &answer),
            }
        }
    }

    fn answer(&mut self, from: usize, heartbeat: &Heartbeat) {
        let Some(leader) = self.leader.as_mut().filter(|_| !self.nodes[from].partitioned) else {
            return;
        };
        self.bytes_to_leader += encoded_bytes(heartbeat);
        let now = leader.clock.at(self.now_us);
        let started = std::time::Instant::now();
        let shares = share_ledger::on_heartbeat(&mut leader.shares, now, &self.catalogue, heartbeat);
        let permits = permit_ledger::on_heartbeat(&mut leader.permits, now, &self.catalogue, heartbeat);
        self.leader_time += started.elapsed();
        if self.recovers_when_reported
            && heartbeat.grants_term == Some(leader.control_term)
            && !leader.reported.contains(&from)
        {
            leader.reported.push(from);
            if self
                .nodes
                .iter()
                .enumerate()
                .all(|(index, node)| !node.alive || leader.reported.contains(&index))
            {
                share_ledger::end_lease_recovery(&mut leader.shares, now);
                permit_ledger::end_lease_recovery(&mut leader.permits, now);
            }
        }
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
        self.send(&Message::Answer(from, answer));
    }

    fn apply_answer(&mut self, to: usize, answer: &HeartbeatAnswer) {
        let node = &mut self.nodes[to];
        if node.alive && !node.partitioned {
            let started = std::time::Instant::now();
            membership::on_answer(&mut node.core, node.clock.at(self.now_us), answer);
            self.entry_time += started.elapsed();
        }
    }

    /// Sets the committed limits in the limit buckets once no instance may act on older lists.
    fn apply_pending_limits(&mut self) {
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
        for (limit_bucket, (rate, burst)) in self.limit_buckets.iter_mut().zip(&self.limits) {
            limit_bucket.set_limit(self.now_us, *rate, *burst);
        }
    }

    /// Checks that the ledger's totals are right, that all shares in force are within the plan, that all
    /// tokens held are within what a single bucket with the whole plan holds now, and that no more was
    /// admitted than that bucket allows.
    pub fn check_invariants(&mut self) {
        if let Some(leader) = &self.leader {
            assert_eq!(share_ledger::find_violations(&leader.shares), Vec::new(), "at {} us", self.now_us);
        }
        for index in 0..self.limit_buckets.len() {
            let (held, tokens_milli) = self.held(index);
            let limit_bucket = &mut self.limit_buckets[index];
            let (limit, level_milli) = limit_bucket.limit_and_level(self.now_us);
            let allowed_milli_per_s = limit.rate_milli_per_s * 1_000 / (1_000 + CLOCK_DRIFT_PER_MILLE);
            let context = format!("organisation {index} at {} us: {limit_bucket:?}", self.now_us);
            assert!(
                held.rate_milli_per_s <= allowed_milli_per_s,
                "rates in force exceed the plan: {held:?}, {context}"
            );
            assert!(
                held.burst_milli <= limit.burst_milli,
                "bursts in force exceed the plan: {held:?}, {context}"
            );
            assert!(
                tokens_milli <= level_milli,
                "tokens held exceed the plan's tokens: {tokens_milli} thousandths, {context}"
            );
            assert_eq!(limit_bucket.over_limit, 0, "{OVER_LIMIT}, {context}");
        }
    }

    /// Returns the sum of the shares in force and of the tokens of one organisation over all instances.
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
