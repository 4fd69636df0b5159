//! Control instances, entry instances and one database group on a virtual clock and a network that can fail.
//!
//! The control instances run the real core. Entry instances and endpoints are small models: an entry instance holds
//! the lease, confirms revisions and tries a write every few milliseconds; an endpoint announces itself, replicates
//! and can be promoted.

#![allow(dead_code, reason = "each test file and the example use their own part")]

use {
    cumincart_core::{
        control::{
            ControlRefusal, Core, Effect, Input, Persist, PromotedState, Promotion, PromotionError, Settings,
            Status, Stored, Ticket, detection::Policy, step,
        },
        timing::{ANNOUNCEMENT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS, TICK_INTERVAL_MS},
    },
    cumincart_protocol::{
        announcement::{Announcement, Role},
        catalogue::Catalogue,
        change::{Action, Change, ChangeId, Outcome},
        heartbeat::{CatalogueChange, CatalogueUpdate, EndpointReport, Heartbeat, HeartbeatAnswer},
        name::{DomainName, EndpointName},
        number::{Incarnation, LogIndex, LogPosition, Revision, Term, Timeline},
        peer::PeerBody,
        replication::{DiskId, Member, Members},
        time::Instant,
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration},
};

/// The service whose group is modelled.
pub const SERVICE: &str = "pbx";

const WRITE_TIMEOUT_MS: u64 = 300;
const PROMOTION_MS: u64 = 50;

/// Latencies, sizes and the seed of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of every random choice.
    pub seed: u64,
    /// Names of the failure domains; each gets control instances in turn, entry instances and an endpoint.
    pub domains: Vec<&'static str>,
    /// How many control instances there are.
    pub controls: usize,
    /// How many entry instances each failure domain has.
    pub entries_per_domain: usize,
    /// One-way latency between failure domains, in microseconds.
    pub latency_us: u64,
    /// How many of a thousand messages are lost.
    pub loss_per_mille: u32,
    /// How far the last replica is behind, in milliseconds; each one before it is that much further behind.
    pub replica_lag_ms: u64,
    /// Time between two writes of an entry instance, in milliseconds.
    pub write_interval_ms: u64,
    /// Whether a second answer to a heartbeat reaches the entry instance.
    pub push: bool,
}

impl Plan {
    /// Telvara's failure domains and latencies, with three control and six entry instances.
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

/// A control instance: its core while it runs, and its disk.
pub struct Control {
    pub name: Arc<str>,
    pub domain: &'static str,
    pub core: Option<Core>,
    pub disk: DiskId,
    pub stored: Stored,
    pub frozen: bool,
    incarnation: u64,
    held: Vec<Input>,
    first_members: Members,
}

/// An entry instance's model.
pub struct Entry {
    pub name: Arc<str>,
    pub domain: &'static str,
    pub alive: bool,
    pub catalogue: Catalogue,
    pub term_lease_until: Instant,
    pub fresh_until: Instant,
    target: usize,
    awaits_answer: bool,
    reached: Vec<EndpointReport>,
    writing: Option<u64>,
}

/// An endpoint's model.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: Arc<str>,
    pub domain: &'static str,
    pub alive: bool,
    pub role: Role,
    pub timeline: u64,
    pub position: u64,
    pub leaving: bool,
    /// How often it was promoted, with the term of each.
    pub promoted: Vec<Term>,
}

/// A write that an entry instance acknowledged.
#[derive(Debug, Clone)]
pub struct Acknowledged {
    pub at: Instant,
    pub entry: Arc<str>,
    pub endpoint: Arc<str>,
    pub term: Term,
    pub timeline: u64,
    pub position: u64,
}

/// An operator's answer.
#[derive(Debug, Clone)]
pub struct OperatorAnswer {
    pub ticket: u64,
    pub result: Result<Outcome, ControlRefusal>,
}

/// An answer to a question for the status.
#[derive(Debug, Clone)]
pub struct StatusAnswer {
    pub ticket: u64,
    pub result: Result<Box<Status>, ControlRefusal>,
}

struct Event {
    at: Instant,
    number: u64,
    what: What,
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

/// A write on its way.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    number: u64,
    entry: usize,
    endpoint: usize,
    term: Term,
}

enum What {
    Tick(usize),
    Input(usize, u64, Box<Input>),
    Beat(usize),
    HeartbeatAnswer(usize, Box<HeartbeatAnswer>),
    NotLeader(usize, Option<Arc<str>>),
    Announce(usize),
    Write(usize),
    WriteArrives(Attempt),
    WriteAnswer(Attempt, Option<Box<Acknowledged>>),
    Replicate(usize, usize, u64, u64),
    Promote(usize, Promotion),
    PromotionDone(usize, usize, Promotion),
}

/// All of it.
pub struct Fleet {
    pub plan: Plan,
    pub now: Instant,
    pub controls: Vec<Control>,
    pub entries: Vec<Entry>,
    pub endpoints: Vec<Endpoint>,
    pub writes: Vec<Acknowledged>,
    pub answers: Vec<OperatorAnswer>,
    pub statuses: Vec<StatusAnswer>,
    pub notes: Vec<String>,
    /// Bytes of messages that entry instances received or sent, in CBOR.
    pub entry_bytes: u64,
    pub count_bytes: bool,
    /// A promotion is carried out, but its answer is lost.
    pub lose_promotion_answers: bool,
    cuts: Vec<(Arc<str>, Arc<str>)>,
    random: ChaCha20Rng,
    queue: BinaryHeap<Reverse<Event>>,
    number: u64,
    next_ticket: u64,
    tickets: Vec<(u64, usize)>,
    policy: Option<Policy>,
}

impl Fleet {
    /// A fleet whose processes have just started; the first endpoint is the primary.
    pub fn start(plan: Plan) -> Self {
        let random = ChaCha20Rng::seed_from_u64(plan.seed);
        let mut fleet = Self {
            now: Instant::from_millis(1),
            controls: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            writes: Vec::new(),
            answers: Vec::new(),
            statuses: Vec::new(),
            notes: Vec::new(),
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
            plan,
        };
        let plan = fleet.plan.clone();
        let names: Vec<Arc<str>> = (1..=plan.controls).map(|n| format!("control-{n}").into()).collect();
        let voters = names.iter().map(|name| member(name, DiskId::unbound())).collect();
        let first_members = Members { voters, ..Members::default() };
        for (index, name) in names.iter().enumerate() {
            fleet.add_control(name, plan.domains[index % plan.domains.len()], first_members.clone());
        }
        for domain in &plan.domains {
            for number in 1..=plan.entries_per_domain {
                fleet.add_entry(format!("entry-{domain}-{number}").into(), domain);
            }
        }
        for (index, domain) in plan.domains.iter().enumerate() {
            let role = if index == 0 { Role::Primary } else { Role::Replica };
            fleet.add_endpoint(format!("pbx-{}", index + 1).into(), domain, role);
        }
        fleet
    }

    /// Decides by another policy on every control instance.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = Some(policy);
        for control in &mut self.controls {
            if let Some(core) = &mut control.core {
                core.failover.policy = policy;
            }
        }
    }

    /// Runs for a time.
    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now + Duration::from_millis(span_ms);
        while self.queue.peek().is_some_and(|event| event.0.at <= end) {
            let Some(Reverse(event)) = self.queue.pop() else { break };
            self.now = event.at;
            self.handle(event.what);
        }
        self.now = end;
    }

    /// Runs until something holds; tells whether it did within the time.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit_ms {
            if holds(self) {
                return true;
            }
            self.run_ms(1);
        }
        holds(self)
    }

    /// Runs until every entry instance knows a primary that may take writes and a write was acknowledged.
    pub fn settle(&mut self) {
        let settled = self.run_until(10_000, |fleet| {
            let know = fleet.entries.iter().all(|entry| entry.group().is_some_and(|group| group.writable));
            know && !fleet.writes.is_empty()
        });
        assert!(settled, "seed {}: the fleet did not settle: {:#?}", self.plan.seed, self.notes);
        self.run_ms(500);
    }

    /// The control instance that leads, where one does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |control: &&Control| {
            !control.frozen && control.core.as_ref().is_some_and(|core| core.election.is_leader())
        };
        let terms = |control: &Control| control.core.as_ref().map(|core| core.election.ballot.term);
        let leader = self.controls.iter().filter(leads).max_by_key(|control| terms(control))?;
        self.controls.iter().position(|control| control.name == leader.name)
    }

    /// The leader, which must be there.
    pub fn the_leader(&self) -> usize {
        self.leader().unwrap_or_else(|| panic!("seed {}: nobody leads: {:#?}", self.plan.seed, self.notes))
    }

    /// The catalogue of a control instance.
    pub fn catalogue(&self, control: usize) -> &Catalogue {
        &self.controls[control].core.as_ref().expect("the instance runs").catalogue
    }

    /// The endpoint that the leader's catalogue names as the primary.
    pub fn primary(&self) -> Option<usize> {
        let group = self.catalogue(self.leader()?).group(&SERVICE.into())?;
        let name = group.primary.as_ref().filter(|_| group.writable)?;
        self.endpoints.iter().position(|endpoint| *endpoint.name == *name.as_str())
    }

    /// Sends an operator's change to a control instance; gives the ticket.
    pub fn ask(&mut self, control: usize, id: &str, action: Action) -> u64 {
        let ticket = self.ticket(0);
        let change = Change { id: ChangeId(id.into()), action };
        self.input(control, Input::Operator(Ticket(ticket), change));
        ticket
    }

    /// Asks a control instance for its status; gives the ticket.
    pub fn ask_status(&mut self, control: usize) -> u64 {
        let ticket = self.ticket(0);
        self.input(control, Input::Status(Ticket(ticket)));
        ticket
    }

    /// The answer to an operator's ticket.
    pub fn answer(&self, ticket: u64) -> Option<&Result<Outcome, ControlRefusal>> {
        self.answers.iter().find(|answer| answer.ticket == ticket).map(|answer| &answer.result)
    }

    /// Asks the leader for a change and waits for the outcome, sending it again as an operator would.
    pub fn change(&mut self, id: &str, action: &Action) -> Outcome {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                let ticket = self.ask(leader, id, action.clone());
                self.run_until(2_000, |fleet| fleet.answer(ticket).is_some());
                if let Some(Ok(outcome)) = self.answer(ticket) {
                    return outcome.clone();
                }
            }
            self.run_ms(50);
        }
        panic!("seed {}: no outcome: {:#?}", self.plan.seed, self.notes);
    }

    /// Loses every message from one process to another.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cuts.push((from.into(), to.into()));
    }

    /// Loses every message between two processes.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Loses every message between a process and all others.
    pub fn isolate(&mut self, name: &str) {
        for other in self.names() {
            self.cut(name, &other);
        }
    }

    /// Loses every message between a failure domain and the others.
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

    /// Mends all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Ends a control instance's process; its disk stays.
    pub fn crash(&mut self, control: usize) {
        self.controls[control].core = None;
        self.controls[control].held.clear();
    }

    /// Starts a control instance's process from its disk.
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
        control.core = Some(core);
    }

    /// Replaces a control instance's disk by an empty one, with the process stopped.
    pub fn wipe(&mut self, control: usize) {
        self.crash(control);
        let number = self.controls[control].incarnation;
        let control = &mut self.controls[control];
        control.disk = DiskId(format!("{}-disk-{number}", control.name).into());
        control.stored = Stored::default();
    }

    /// Stops a control instance's process without ending it; what is sent to it waits.
    pub fn freeze(&mut self, control: usize) {
        self.controls[control].frozen = true;
    }

    /// Lets a frozen process go on: it first sees all that waited.
    pub fn thaw(&mut self, control: usize) {
        self.controls[control].frozen = false;
        for input in std::mem::take(&mut self.controls[control].held) {
            self.step(control, input);
        }
    }

    /// The longest time without an acknowledged write, among those that end after an instant, in milliseconds.
    pub fn longest_gap_ms(&self, since: Instant) -> u64 {
        self.longest_gap_of(since, |_| true)
    }

    /// The same for callers outside a failure domain: writes that are acknowledged inside it don't count.
    pub fn longest_gap_outside_ms(&self, since: Instant, domain: &str) -> u64 {
        self.longest_gap_of(since, |write| self.domain_of(&write.entry) != domain)
    }

    fn longest_gap_of(&self, since: Instant, counts: impl Fn(&Acknowledged) -> bool) -> u64 {
        let counted = self.writes.iter().filter(|write| write.at >= since && counts(write));
        let times: Vec<Instant> = counted.map(|write| write.at).collect();
        let gaps = std::iter::once(&since).chain(&times).zip(times.iter().chain(std::iter::once(&self.now)));
        let longest = gaps.map(|(before, after)| after.saturating_since(*before)).max().unwrap_or_default();
        u64::try_from(longest.as_millis()).unwrap_or(u64::MAX)
    }

    /// Panics where an acknowledged write broke a promise: one primary a term, terms in the order of the fences.
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
        assert!(terms.is_sorted(), "seed {}: an old primary's write was acknowledged", self.plan.seed);
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
            incarnation: 0,
            held: Vec::new(),
            first_members,
        });
        let index = self.controls.len() - 1;
        self.restart(index);
        let first = self.random.random_range(1..TICK_INTERVAL_MS * 1_000);
        self.after_us(first, What::Tick(index));
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
            awaits_answer: false,
            reached: Vec::new(),
            writing: None,
        });
        let index = self.entries.len() - 1;
        let first = self.random.random_range(1..HEARTBEAT_INTERVAL_MS * 1_000);
        self.after_us(first, What::Beat(index));
        self.after_us(first, What::Write(index));
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
        self.after_us(first, What::Announce(index));
    }

    fn after_us(&mut self, span_us: u64, what: What) {
        self.number += 1;
        let at = self.now + Duration::from_micros(span_us);
        self.queue.push(Reverse(Event { at, number: self.number, what }));
    }

    /// Sends over the network; the message may be lost.
    fn send(&mut self, from: &Arc<str>, to: &Arc<str>, what: What) {
        let is_cut = self.cuts.iter().any(|(one, other)| one == from && other == to);
        let is_lost = self.random.random_range(0..1_000) < self.plan.loss_per_mille;
        if is_cut || is_lost {
            return;
        }
        let base = if self.domain_of(from) == self.domain_of(to) { 200 } else { self.plan.latency_us };
        let jitter = self.random.random_range(0..=base / 5);
        self.after_us(base + jitter, what);
    }

    fn input(&mut self, control: usize, input: Input) {
        let incarnation = self.controls[control].incarnation;
        self.after_us(1, What::Input(control, incarnation, Box::new(input)));
    }

    fn ticket(&mut self, entry: usize) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push((ticket, entry));
        ticket
    }

    fn handle(&mut self, what: What) {
        match what {
            What::Tick(control) => {
                self.after_us(TICK_INTERVAL_MS * 1_000, What::Tick(control));
                if !self.controls[control].frozen {
                    self.step(control, Input::Tick);
                }
            }
            What::Input(control, incarnation, input) => {
                let node = &mut self.controls[control];
                if node.incarnation != incarnation {
                    return;
                }
                if node.frozen {
                    node.held.push(*input);
                    return;
                }
                self.step(control, *input);
            }
            What::Beat(entry) => self.beat_regularly(entry),
            What::HeartbeatAnswer(entry, answer) => self.take_answer(entry, *answer),
            What::NotLeader(entry, hint) => self.follow_hint(entry, hint.as_ref()),
            What::Announce(endpoint) => self.announce(endpoint),
            What::Write(entry) => self.write(entry),
            What::WriteArrives(attempt) => self.execute(attempt),
            What::WriteAnswer(attempt, done) => self.finish_write(attempt, done),
            What::Replicate(source, endpoint, timeline, position) => {
                self.replicate(source, endpoint, timeline, position);
            }
            What::Promote(control, promotion) => self.promote(control, promotion),
            What::PromotionDone(control, endpoint, promotion) => self.promoted(control, endpoint, promotion),
        }
    }

    fn step(&mut self, control: usize, input: Input) {
        let now = self.now;
        let Some(core) = &mut self.controls[control].core else { return };
        let mut effects = Vec::new();
        step(core, now, input, &mut effects);
        for effect in effects {
            self.carry_out(control, effect);
        }
    }

    fn carry_out(&mut self, control: usize, effect: Effect) {
        let from = self.controls[control].name.clone();
        match effect {
            // The fleet's endpoints announce their logs' states themselves.
            Effect::Probe(_) => {}
            Effect::Persist(persist) => persist_to(&mut self.controls[control].stored, persist),
            Effect::Send(to, message) => {
                let Some(index) = self.controls.iter().position(|c| *c.name == *to.instance.as_str()) else {
                    return;
                };
                let name = self.controls[index].name.clone();
                let input = Box::new(Input::Replication((&*from).into(), message));
                let incarnation = self.controls[index].incarnation;
                self.send(&from, &name, What::Input(index, incarnation, input));
            }
            Effect::AnswerHeartbeat(ticket, body) => self.carry_answer(&from, ticket, body),
            Effect::AnswerOperator(ticket, result) => {
                self.answers.push(OperatorAnswer { ticket: ticket.0, result });
            }
            Effect::AnswerStatus(ticket, result) => {
                self.statuses.push(StatusAnswer { ticket: ticket.0, result });
            }
            Effect::Promote(promotion) => {
                let name: Arc<str> = promotion.endpoint.as_str().into();
                self.send(&from, &name, What::Promote(control, promotion));
            }
            Effect::Log(note) => self.notes.push(format!("{} ms {from}: {note}", self.now.as_millis())),
        }
    }

    fn carry_answer(&mut self, from: &Arc<str>, ticket: Ticket, body: PeerBody) {
        let Some(position) = self.tickets.iter().position(|(known, _)| *known == ticket.0) else { return };
        let entry = self.tickets[position].1;
        if !self.plan.push {
            self.tickets.remove(position);
        }
        self.count(&body);
        let name = self.entries[entry].name.clone();
        match body {
            PeerBody::HeartbeatAnswer(answer) => self.send(from, &name, What::HeartbeatAnswer(entry, answer)),
            PeerBody::NotLeader(leader) => {
                let hint = leader.map(|leader| leader.instance.as_str().into());
                self.send(from, &name, What::NotLeader(entry, hint));
            }
            _ => {}
        }
    }

    fn count(&mut self, body: &PeerBody) {
        if self.count_bytes {
            let mut bytes = Vec::new();
            ciborium::into_writer(body, &mut bytes).expect("writing to a vector can't fail");
            self.entry_bytes += bytes.len() as u64;
        }
    }

    fn beat_regularly(&mut self, entry: usize) {
        self.after_us(HEARTBEAT_INTERVAL_MS * 1_000, What::Beat(entry));
        let node = &mut self.entries[entry];
        if !node.alive {
            return;
        }
        if node.awaits_answer {
            node.target = (node.target + 1) % self.controls.len();
        }
        self.beat(entry);
    }

    fn beat(&mut self, entry: usize) {
        self.tickets.retain(|(_, owner)| *owner != entry);
        let ticket = self.ticket(entry);
        let now = self.now;
        let node = &mut self.entries[entry];
        node.awaits_answer = true;
        let heartbeat = Heartbeat {
            instance: (&*node.name).into(),
            incarnation: Incarnation(1),
            domain: node.domain.into(),
            peer_address: "10.0.0.1:7000".into(),
            asked_at: now,
            revision: node.catalogue.revision,
            leaving: false,
            complete: true,
            instances_digest: 0,
            endpoints: std::mem::take(&mut node.reached),
            shares: Vec::new(),
            permits: Vec::new(),
        };
        let (target, name) = (node.target, node.name.clone());
        self.count(&PeerBody::Heartbeat(Box::new(heartbeat.clone())));
        let control = self.controls[target].name.clone();
        let incarnation = self.controls[target].incarnation;
        let input = Box::new(Input::Heartbeat(Ticket(ticket), Box::new(heartbeat)));
        self.send(&name, &control, What::Input(target, incarnation, input));
    }

    fn take_answer(&mut self, entry: usize, answer: HeartbeatAnswer) {
        let node = &mut self.entries[entry];
        if !node.alive {
            return;
        }
        node.awaits_answer = false;
        let before = node.catalogue.revision;
        let lists_before = node.catalogue.lists_revision;
        apply_update(&mut node.catalogue, answer.update);
        assert!(
            node.catalogue.revision >= before && node.catalogue.lists_revision >= lists_before,
            "reverted"
        );
        if node.catalogue.revision >= answer.revision {
            let lease = |length_ms| answer.asked_at + Duration::from_millis(length_ms);
            node.term_lease_until = node.term_lease_until.max(lease(answer.term_lease_ms));
            node.fresh_until = node.fresh_until.max(lease(answer.freshness_lease_ms));
        }
        if node.catalogue.revision > before {
            self.beat(entry);
        }
    }

    fn follow_hint(&mut self, entry: usize, hint: Option<&Arc<str>>) {
        let known = hint.and_then(|hint| self.controls.iter().position(|control| control.name == *hint));
        let node = &mut self.entries[entry];
        let is_news = known.is_some_and(|known| known != node.target);
        node.target = known.unwrap_or((node.target + 1) % self.controls.len());
        if is_news {
            self.beat(entry);
        }
    }

    fn announce(&mut self, endpoint: usize) {
        self.after_us(ANNOUNCEMENT_INTERVAL_MS * 1_000, What::Announce(endpoint));
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
            self.send(&name, &to, What::Input(control, incarnation, input));
        }
    }

    fn write(&mut self, entry: usize) {
        self.after_us(self.plan.write_interval_ms * 1_000, What::Write(entry));
        let node = &self.entries[entry];
        let Some(group) = node.group().filter(|group| group.writable) else { return };
        let Some(primary) = &group.primary else { return };
        let Some(endpoint) = self.endpoints.iter().position(|e| *e.name == *primary.as_str()) else { return };
        if !node.alive || node.writing.is_some() || self.now >= node.term_lease_until {
            return;
        }
        let (term, name, to) = (group.term, node.name.clone(), self.endpoints[endpoint].name.clone());
        let attempt = Attempt { number: self.number, entry, endpoint, term };
        self.entries[entry].writing = Some(attempt.number);
        self.after_us(WRITE_TIMEOUT_MS * 1_000, What::WriteAnswer(attempt, None));
        self.send(&name, &to, What::WriteArrives(attempt));
    }

    fn execute(&mut self, attempt: Attempt) {
        let node = &mut self.endpoints[attempt.endpoint];
        if !node.alive || node.role != Role::Primary {
            return;
        }
        node.position += 1;
        let (timeline, position) = (node.timeline, node.position);
        let from = node.name.clone();
        let to = self.entries[attempt.entry].name.clone();
        let done = Acknowledged {
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
                let span_us = self.lag_ms(replica) * 1_000 + self.plan.latency_us;
                if !is_cut {
                    self.after_us(span_us, What::Replicate(attempt.endpoint, replica, timeline, position));
                }
            }
        }
        self.send(&from, &to, What::WriteAnswer(attempt, Some(Box::new(done))));
    }

    fn finish_write(&mut self, attempt: Attempt, done: Option<Box<Acknowledged>>) {
        let now = self.now;
        let endpoint: EndpointName = (&*self.endpoints[attempt.endpoint].name).into();
        let node = &mut self.entries[attempt.entry];
        if node.writing != Some(attempt.number) {
            return;
        }
        node.writing = None;
        let since_ms = if done.is_some() { 0 } else { WRITE_TIMEOUT_MS };
        node.report(EndpointReport { endpoint, reachable: done.is_some(), since_ms });
        let Some(done) = done else { return };
        let is_current = node.group().is_some_and(|group| group.term == done.term && group.writable);
        if is_current && now < node.term_lease_until {
            self.writes.push(Acknowledged { at: now, ..*done });
        }
    }

    /// The last endpoint is the least behind, so that an order by name is not the order by position.
    fn lag_ms(&self, endpoint: usize) -> u64 {
        self.plan.replica_lag_ms * (self.endpoints.len() - endpoint) as u64
    }

    /// What a primary had not sent when it died is lost.
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
        self.after_us(PROMOTION_MS * 1_000, What::PromotionDone(control, endpoint, promotion));
    }

    fn promoted(&mut self, control: usize, endpoint: usize, promotion: Promotion) {
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
                self.after_us(self.plan.latency_us, What::Replicate(endpoint, other, timeline, start));
            }
        }
        let state = PromotedState { timeline: Timeline(timeline), start: LogPosition(start) };
        let result = if self.lose_promotion_answers { Err(PromotionError::Unknown) } else { Ok(state) };
        let to = self.controls[control].name.clone();
        let incarnation = self.controls[control].incarnation;
        self.send(
            &from,
            &to,
            What::Input(control, incarnation, Box::new(Input::Promoted(promotion, result))),
        );
    }
}

impl Entry {
    /// The group as this instance knows it.
    pub fn group(&self) -> Option<&cumincart_protocol::catalogue::Group> {
        self.catalogue.group(&SERVICE.into())
    }

    fn report(&mut self, report: EndpointReport) {
        self.reached.retain(|known| known.endpoint != report.endpoint);
        self.reached.push(report);
    }
}

/// The action that takes a failure domain out or brings it back.
pub fn set_domain(domain: &str, out: bool) -> Action {
    Action::SetDomain { domain: DomainName::from(domain), out }
}

fn member(name: &Arc<str>, disk: DiskId) -> Member {
    Member { instance: (&**name).into(), disk, peer_address: (&**name).into() }
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
