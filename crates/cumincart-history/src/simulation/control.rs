//! Control instances with the real core and simulated storage, and operators who change lists and service state.

use {
    super::{
        DOMAINS, DriftingClock, TICK, World,
        entry::domain_name,
        event::{Event, ProcessRun},
        lists,
    },
    crate::history::{Span, Told},
    cumincart_core::control::{
        ControlRefusal, Core, Effect, Input, Persist, PromotedState, Promotion, PromotionError, Settings,
        Stored, Ticket, step,
    },
    cumincart_protocol::{
        change::{Action, Change, ChangeId, Outcome},
        heartbeat::Heartbeat,
        name::InstanceName,
        number::{Incarnation, ListsRevision},
        peer::PeerBody,
        replication::{DiskId, Member, Members, ReplicationMessage},
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
};

const CONTROLS: usize = DOMAINS;
const OPERATOR_INTERVAL: Duration = Duration::from_millis(100);
const OPERATOR_LATENCY: Duration = Duration::from_millis(3);
const PROMOTION_TIME: Duration = Duration::from_millis(50);
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A control instance across all its incarnations.
#[derive(Debug)]
pub struct ControlNode {
    pub name: InstanceName,
    pub domain: usize,
    clock: DriftingClock,
    process: Option<ControlProcess>,
    stored: Stored,
    runs: u64,
    /// The inputs queued while the process is frozen; none while it runs.
    held: Option<Vec<Input>>,
}

#[derive(Debug)]
struct ControlProcess {
    core: Core,
    run: ProcessRun,
    beats: Vec<Beat>,
    changes: Vec<ChangeId>,
    next_ticket: u64,
}

/// A heartbeat that has not been answered yet.
#[derive(Debug)]
struct Beat {
    ticket: Ticket,
    entry: usize,
    run: ProcessRun,
}

/// A heartbeat in flight to a control instance.
#[derive(Debug)]
pub struct Asked {
    pub entry: usize,
    pub run: ProcessRun,
    pub heartbeat: Box<Heartbeat>,
}

/// A promotion in flight to an endpoint.
#[derive(Debug)]
pub struct PromoteOrder {
    pub promotion: Promotion,
    control: usize,
    run: ProcessRun,
}

/// A response in flight to an operator.
#[derive(Debug)]
pub struct OperatorTold {
    id: ChangeId,
    result: Result<Outcome, ControlRefusal>,
}

/// The kind of an operator's change. It determines what is recorded once the change is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    FirstLists,
    WithdrawKey(usize),
    GrantKey(usize),
    DomainOut(usize),
    DomainIn(usize),
    Other,
}

/// A change that an operator repeats until its outcome arrives.
#[derive(Debug)]
struct Wanted {
    id: ChangeId,
    purpose: Purpose,
    change: Option<Change>,
}

/// The operators' state.
#[derive(Debug, Default)]
pub struct Operators {
    wanted: Vec<Wanted>,
    next_id: u64,
    target: usize,
    /// The keys that are missing from the lists because they are withdrawn.
    withdrawn: Vec<usize>,
    lists_revision: ListsRevision,
    rounds: u64,
}

impl Operators {
    /// Submits a change, which is repeated until its outcome arrives.
    pub fn want(&mut self, purpose: Purpose) {
        self.next_id += 1;
        let id = ChangeId(format!("change-{}", self.next_id).into());
        self.wanted.push(Wanted { id, purpose, change: None });
    }

    /// Returns whether a change of this kind has no outcome yet.
    fn wants(&self, purpose: Purpose) -> bool {
        self.wanted.iter().any(|wanted| wanted.purpose == purpose)
    }

    /// Returns whether a change must wait for an earlier one. An operator edits the current lists, which are unknown
    /// while a change of a key has no outcome. Two changes that reapply the same lists may race.
    fn must_wait(&self, index: usize) -> bool {
        let touches_key =
            |wanted: &Wanted| matches!(wanted.purpose, Purpose::WithdrawKey(_) | Purpose::GrantKey(_));
        let edits = |wanted: &Wanted| touches_key(wanted) || wanted.purpose == Purpose::Other;
        let this = &self.wanted[index];
        let mut earlier = self.wanted[..index].iter();
        edits(this) && earlier.any(|other| touches_key(other) || (touches_key(this) && edits(other)))
    }

    fn change(&mut self, index: usize) -> Change {
        let wanted = &self.wanted[index];
        let action = match wanted.purpose {
            Purpose::DomainOut(domain) => Action::SetDomain { domain: domain_name(domain), out: true },
            Purpose::DomainIn(domain) => Action::SetDomain { domain: domain_name(domain), out: false },
            Purpose::WithdrawKey(key) => {
                let withdrawn: Vec<_> = self.withdrawn.iter().copied().chain([key]).collect();
                self.apply(&withdrawn)
            }
            Purpose::GrantKey(key) => {
                let withdrawn: Vec<_> =
                    self.withdrawn.iter().copied().filter(|known| *known != key).collect();
                self.apply(&withdrawn)
            }
            Purpose::FirstLists | Purpose::Other => self.apply(&self.withdrawn),
        };
        Change { id: wanted.id.clone(), action }
    }

    fn apply(&self, withdrawn: &[usize]) -> Action {
        Action::Apply { base: self.lists_revision, lists: Arc::new(lists::lists(withdrawn)) }
    }
}

/// Returns the control instances; none of them is started.
pub fn nodes(random: &mut ChaCha20Rng) -> Vec<ControlNode> {
    (0..CONTROLS)
        .map(|index| ControlNode {
            name: format!("control-{index}").into(),
            domain: index % DOMAINS,
            clock: DriftingClock::random(random),
            process: None,
            stored: Stored::default(),
            runs: 0,
            held: None,
        })
        .collect()
}

fn member(index: usize, disk: DiskId) -> Member {
    let name = format!("control-{index}");
    Member { instance: name.as_str().into(), disk, peer_address: name.into() }
}

impl ControlNode {
    /// Returns the current incarnation, if the process runs.
    pub fn run(&self) -> Option<ProcessRun> {
        self.process.as_ref().map(|process| process.run)
    }

    fn persist(&mut self, persist: Persist) {
        let stored = &mut self.stored;
        match persist {
            Persist::Ballot(ballot) => stored.ballot = ballot,
            Persist::Append(records) => stored.records.extend(records),
            Persist::TruncateFrom(index) => stored.records.retain(|record| record.index < index),
            Persist::Snapshot(snapshot) => {
                stored.records.retain(|record| record.index > snapshot.index);
                stored.snapshot = Some(*snapshot);
            }
        }
    }
}

impl World {
    pub(super) fn start_control(&mut self, index: usize) {
        let seed = self.history.seed.wrapping_mul(7_919) + index as u64 * 31 + self.controls[index].runs;
        let node = &mut self.controls[index];
        node.runs += 1;
        let voters = (0..CONTROLS).map(|other| member(other, DiskId::unbound())).collect();
        let settings = Settings {
            member: member(index, DiskId(format!("disk-{index}").into())),
            incarnation: Incarnation(node.runs),
            first_members: Members { voters, ..Members::default() },
        };
        let core = Core::open(settings, node.stored.clone(), ChaCha20Rng::seed_from_u64(seed));
        let run = ProcessRun(node.runs);
        let process = ControlProcess { core, run, beats: Vec::new(), changes: Vec::new(), next_ticket: 1 };
        node.process = Some(process);
        self.after(Duration::from_micros(50), Event::TickControl(index, run));
    }

    pub(super) fn end_control(&mut self, index: usize) {
        self.controls[index].process = None;
        self.controls[index].held = None;
    }

    pub(super) fn leads(&self, index: usize) -> bool {
        let node = &self.controls[index];
        let leads = node.process.as_ref().is_some_and(|process| process.core.election.is_leader());
        leads && node.held.is_none()
    }

    pub(super) fn freeze_control(&mut self, index: usize) {
        self.controls[index].held.get_or_insert_default();
    }

    /// Resumes a frozen process and passes it the inputs queued meanwhile.
    pub(super) fn thaw_control(&mut self, index: usize) {
        let held = self.controls[index].held.take().unwrap_or_default();
        let Some(run) = self.controls[index].run() else { return };
        for input in held {
            self.control_input(index, run, input);
        }
    }

    pub(super) fn tick_control(&mut self, index: usize, run: ProcessRun) {
        if self.controls[index].run() != Some(run) {
            return;
        }
        self.after(TICK, Event::TickControl(index, run));
        if self.controls[index].held.is_none() {
            self.control_input(index, run, Input::Tick);
        }
    }

    pub(super) fn control_input(&mut self, index: usize, run: ProcessRun, input: Input) {
        let node = &mut self.controls[index];
        if let Some(held) = &mut node.held {
            held.push(input);
            return;
        }
        let now = node.clock.read(self.now);
        let Some(process) = node.process.as_mut().filter(|process| process.run == run) else { return };
        let mut effects = Vec::new();
        let before = Arc::clone(&process.core.catalogue);
        step(&mut process.core, now, input, &mut effects);
        let after = Arc::clone(&process.core.catalogue);
        if !Arc::ptr_eq(&before, &after) {
            self.note_terms(&after);
        }
        for effect in effects {
            self.control_effect(index, run, effect);
        }
    }

    fn control_effect(&mut self, index: usize, run: ProcessRun, effect: Effect) {
        match effect {
            // Simulated endpoints announce the state of their logs themselves.
            Effect::Probe(_) => {}
            Effect::Persist(persist) => self.controls[index].persist(persist),
            Effect::Send(member, message) => self.send_replication(index, &member.instance, message),
            Effect::AnswerHeartbeat(ticket, body) => self.answer_beat(index, ticket, body),
            Effect::AnswerOperator(ticket, result) => self.answer_operator(index, ticket, result),
            Effect::AnswerStatus(..) => {}
            Effect::Log(note) => self.note(&self.controls[index].name.clone(), &note),
            Effect::Promote(promotion) => self.send_promotion(index, run, promotion),
        }
    }

    fn send_replication(&mut self, from: usize, to: &InstanceName, message: ReplicationMessage) {
        let Some(target) = self.controls.iter().position(|node| node.name == *to) else { return };
        let (domain, other) = (self.controls[from].domain, self.controls[target].domain);
        let Some(latency) = self.network.deliver(&mut self.random, domain, other) else { return };
        let Some(run) = self.controls[target].run() else { return };
        let input = Input::Replication(self.controls[from].name.clone(), message);
        self.after(latency, Event::ToControl(target, run, Box::new(input)));
    }

    pub(super) fn beat_arrives(&mut self, index: usize, asked: Asked) {
        let Some(process) = &mut self.controls[index].process else {
            self.retarget(asked.entry, asked.run, None);
            return;
        };
        let ticket = Ticket(process.next_ticket);
        process.next_ticket += 1;
        process.beats.retain(|beat| beat.entry != asked.entry);
        process.beats.push(Beat { ticket, entry: asked.entry, run: asked.run });
        let run = process.run;
        self.control_input(index, run, Input::Heartbeat(ticket, asked.heartbeat));
    }

    fn answer_beat(&mut self, index: usize, ticket: Ticket, body: PeerBody) {
        let Some(process) = &self.controls[index].process else { return };
        let Some(beat) = process.beats.iter().find(|beat| beat.ticket == ticket) else { return };
        let (entry, run) = (beat.entry, beat.run);
        let (from, to) = (self.controls[index].domain, self.entries[entry].domain);
        let Some(latency) = self.network.deliver(&mut self.random, from, to) else { return };
        let event = match body {
            PeerBody::HeartbeatAnswer(answer) => {
                let input = cumincart_core::entry::Input::HeartbeatAnswer(answer);
                Event::ToEntry(entry, run, Box::new(input))
            }
            PeerBody::NotLeader(leader) => {
                let leader = leader
                    .and_then(|leader| self.controls.iter().position(|node| node.name == leader.instance));
                Event::NotLeader(entry, run, leader.filter(|leader| *leader != index))
            }
            _ => return,
        };
        self.after(latency, event);
    }

    fn send_promotion(&mut self, index: usize, run: ProcessRun, promotion: Promotion) {
        let order = PromoteOrder { promotion, control: index, run };
        let target = self.endpoints.iter().find(|endpoint| endpoint.name == order.promotion.endpoint);
        let Some(endpoint) = target else { return };
        let (from, to, is_down) = (self.controls[index].domain, endpoint.domain, !endpoint.is_up);
        let frozen = endpoint.is_frozen;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) if is_down => {
                let input = Input::Promoted(order.promotion, Err(PromotionError::NotReached));
                self.after(latency, Event::ToControl(index, run, Box::new(input)));
            }
            Some(latency) => {
                if frozen {
                    let input = Input::Promoted(order.promotion.clone(), Err(PromotionError::Unknown));
                    self.after(PROMOTION_TIMEOUT, Event::ToControl(index, run, Box::new(input)));
                }
                self.after(latency + PROMOTION_TIME, Event::PromoteArrives(Box::new(order)));
            }
            None => {
                let input = Input::Promoted(order.promotion, Err(PromotionError::NotReached));
                self.after(PROMOTION_TIMEOUT, Event::ToControl(index, run, Box::new(input)));
            }
        }
    }

    /// Sends the outcome of a promotion to the control instance, or a timeout if the network drops it.
    pub(super) fn promotion_done(
        &mut self,
        order: PromoteOrder,
        state: Result<PromotedState, PromotionError>,
    ) {
        let target = self.endpoints.iter().find(|endpoint| endpoint.name == order.promotion.endpoint);
        let Some(from) = target.map(|endpoint| endpoint.domain) else { return };
        let to = self.controls[order.control].domain;
        let (span, result) = match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => (latency, state),
            None => (PROMOTION_TIMEOUT, Err(PromotionError::Unknown)),
        };
        let input = Input::Promoted(order.promotion, result);
        self.after(span, Event::ToControl(order.control, order.run, Box::new(input)));
    }

    /// Sends each pending change to the next control instance in turn. Changes whose response was lost are sent again.
    pub(super) fn run_operators(&mut self) {
        self.after(OPERATOR_INTERVAL, Event::Operator);
        self.operators.rounds += 1;
        if self.operators.rounds == 1 {
            self.operators.want(Purpose::FirstLists);
        }
        // Periodically, two operators apply lists on the same base revision.
        if self.operators.rounds.is_multiple_of(40) {
            self.operators.want(Purpose::Other);
            self.operators.want(Purpose::Other);
        }
        self.operators.target = (self.operators.target + 1) % CONTROLS;
        for index in 0..self.operators.wanted.len() {
            if self.operators.must_wait(index) {
                continue;
            }
            let change = match self.operators.wanted[index].change.clone() {
                Some(change) => change,
                None => self.operators.change(index),
            };
            self.operators.wanted[index].change = Some(change.clone());
            self.send_change(self.operators.target, change);
        }
    }

    fn send_change(&mut self, target: usize, change: Change) {
        let Some(process) = &mut self.controls[target].process else { return };
        // The ticket is the index in the list of changes that this incarnation received.
        let ticket = Ticket(process.changes.len() as u64);
        process.changes.push(change.id.clone());
        let run = process.run;
        let input = Input::Operator(ticket, change);
        self.after(OPERATOR_LATENCY, Event::ToControl(target, run, Box::new(input)));
    }

    fn answer_operator(&mut self, index: usize, ticket: Ticket, result: Result<Outcome, ControlRefusal>) {
        let Some(process) = &self.controls[index].process else { return };
        let place = usize::try_from(ticket.0).unwrap_or(usize::MAX);
        let Some(id) = process.changes.get(place).cloned() else { return };
        if self.chance(20) {
            return;
        }
        self.after(OPERATOR_LATENCY, Event::OperatorAnswer(Box::new(OperatorTold { id, result })));
    }

    pub(super) fn operator_told(&mut self, told: OperatorTold) {
        let Ok(outcome) = told.result else { return };
        self.history.told.push(Told { id: told.id.clone(), outcome: outcome.clone() });
        let Some(place) = self.operators.wanted.iter().position(|wanted| wanted.id == told.id) else {
            return;
        };
        let wanted = self.operators.wanted.remove(place);
        match outcome {
            Outcome::Accepted { lists_revision, .. } => self.note_accepted(wanted.purpose, lists_revision),
            Outcome::Conflict { current, .. } => {
                self.operators.lists_revision = current.max(self.operators.lists_revision);
                if wanted.purpose != Purpose::Other {
                    self.operators.want(wanted.purpose);
                }
            }
        }
    }

    fn note_accepted(&mut self, purpose: Purpose, revision: ListsRevision) {
        let now = self.now;
        self.operators.lists_revision = revision.max(self.operators.lists_revision);
        match purpose {
            Purpose::WithdrawKey(key) => {
                self.operators.withdrawn.push(key);
                let until = self.operators.wants(Purpose::GrantKey(key)).then_some(now);
                self.history.keys_withdrawn.push(Span { subject: key, from: now, until });
            }
            Purpose::GrantKey(key) => self.operators.withdrawn.retain(|known| *known != key),
            Purpose::DomainOut(domain) => {
                let until = self.operators.wants(Purpose::DomainIn(domain)).then_some(now);
                self.history.domains_out.push(Span { subject: domain, from: now, until });
            }
            Purpose::FirstLists | Purpose::DomainIn(_) | Purpose::Other => {}
        }
    }

    /// Submits the reversal of an earlier change. Its period ends now, since the reversal may apply at any time.
    pub(super) fn want_end(&mut self, purpose: Purpose) {
        let now = self.now;
        self.operators.want(purpose);
        let (spans, subject) = match purpose {
            Purpose::GrantKey(key) => (&mut self.history.keys_withdrawn, key),
            Purpose::DomainIn(domain) => (&mut self.history.domains_out, domain),
            _ => return,
        };
        end_spans(spans, subject, now);
    }
}

fn end_spans(spans: &mut [Span], subject: usize, now: Instant) {
    for span in spans.iter_mut().filter(|span| span.subject == subject && span.until.is_none()) {
        span.until = Some(now);
    }
}
