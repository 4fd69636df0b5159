//! Control instances with the real core and simulated storage, and operators who change lists and service state.

use {
    super::{
        DOMAINS, DriftingClock, Simulation, TICK,
        entry::domain_name,
        event::{Event, ProcessIncarnation},
        lists,
    },
    crate::history::{ChangeResponse, Span},
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

/// The number of control instances.
const CONTROLS: usize = DOMAINS;

/// The interval at which operators send their pending changes.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(100);

/// The latency between an operator and a control instance.
const OPERATOR_LATENCY: Duration = Duration::from_millis(3);

/// The time that an endpoint needs for a promotion.
const PROMOTION_DURATION: Duration = Duration::from_millis(50);

/// The time after which a promotion without a response counts as failed.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A control instance across all its incarnations.
#[derive(Debug)]
pub struct ControlNode {
    pub name: InstanceName,
    pub domain: usize,
    clock: DriftingClock,
    process: Option<ControlProcess>,
    stored: Stored,
    /// The number of disks that it has lost.
    lost_disks: u64,
    incarnations: u64,
    /// The inputs queued while the process is frozen; none while it runs.
    frozen_inputs: Option<Vec<Input>>,
}

#[derive(Debug)]
struct ControlProcess {
    core: Core,
    incarnation: ProcessIncarnation,
    pending_heartbeats: Vec<PendingHeartbeat>,
    changes: Vec<ChangeId>,
    next_ticket: u64,
}

/// A heartbeat that has not been answered yet.
#[derive(Debug)]
struct PendingHeartbeat {
    ticket: Ticket,
    entry: usize,
    incarnation: ProcessIncarnation,
}

/// A heartbeat in flight to a control instance.
#[derive(Debug)]
pub struct InFlightHeartbeat {
    pub entry: usize,
    pub incarnation: ProcessIncarnation,
    pub heartbeat: Box<Heartbeat>,
}

/// A promotion in flight to an endpoint.
#[derive(Debug)]
pub struct InFlightPromotion {
    pub promotion: Promotion,
    control: usize,
    incarnation: ProcessIncarnation,
}

/// A response in flight to an operator.
#[derive(Debug)]
pub struct OperatorResponse {
    id: ChangeId,
    result: Result<Outcome, ControlRefusal>,
}

/// The kind of an operator's change. It determines what is recorded once the change is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    InitialLists,
    WithdrawKey(usize),
    GrantKey(usize),
    DomainOut(usize),
    DomainIn(usize),
    ReapplyLists,
}

/// A change that an operator repeats until its outcome arrives.
#[derive(Debug)]
struct PendingChange {
    id: ChangeId,
    kind: ChangeKind,
    change: Option<Change>,
}

/// The operators' state.
#[derive(Debug, Default)]
pub struct Operators {
    pending: Vec<PendingChange>,
    next_id: u64,
    target: usize,
    /// The keys that are missing from the lists because they are withdrawn.
    withdrawn: Vec<usize>,
    lists_revision: ListsRevision,
    rounds: u64,
    /// The number of synchronous replicas in the lists.
    synchronous_replicas: u32,
}

impl Operators {
    /// Returns operators whose lists ask for this many synchronous replicas.
    pub fn new(synchronous_replicas: u32) -> Self {
        Self { synchronous_replicas, ..Self::default() }
    }

    /// Submits a change, which is repeated until its outcome arrives.
    pub fn submit(&mut self, kind: ChangeKind) {
        self.next_id += 1;
        let id = ChangeId(format!("change-{}", self.next_id).into());
        self.pending.push(PendingChange { id, kind, change: None });
    }

    /// Returns whether a change of this kind has no outcome yet.
    fn is_pending(&self, kind: ChangeKind) -> bool {
        self.pending.iter().any(|pending| pending.kind == kind)
    }

    /// Returns whether a change must wait for an earlier one. An operator edits the current lists, which are unknown
    /// while a change of a key has no outcome. Two changes that reapply the same lists may race.
    fn must_wait(&self, index: usize) -> bool {
        let touches_key = |pending: &PendingChange| {
            matches!(pending.kind, ChangeKind::WithdrawKey(_) | ChangeKind::GrantKey(_))
        };
        let edits =
            |pending: &PendingChange| touches_key(pending) || pending.kind == ChangeKind::ReapplyLists;
        let this = &self.pending[index];
        let mut earlier = self.pending[..index].iter();
        edits(this) && earlier.any(|other| touches_key(other) || (touches_key(this) && edits(other)))
    }

    fn build_change(&mut self, index: usize) -> Change {
        let pending = &self.pending[index];
        let action = match pending.kind {
            ChangeKind::DomainOut(domain) => Action::SetDomain { domain: domain_name(domain), out: true },
            ChangeKind::DomainIn(domain) => Action::SetDomain { domain: domain_name(domain), out: false },
            ChangeKind::WithdrawKey(key) => {
                let withdrawn: Vec<_> = self.withdrawn.iter().copied().chain([key]).collect();
                self.apply_lists(&withdrawn)
            }
            ChangeKind::GrantKey(key) => {
                let withdrawn: Vec<_> =
                    self.withdrawn.iter().copied().filter(|known| *known != key).collect();
                self.apply_lists(&withdrawn)
            }
            ChangeKind::InitialLists | ChangeKind::ReapplyLists => self.apply_lists(&self.withdrawn),
        };
        Change { id: pending.id.clone(), action }
    }

    fn apply_lists(&self, withdrawn: &[usize]) -> Action {
        Action::Apply {
            base: self.lists_revision,
            lists: Arc::new(lists::lists(withdrawn, self.synchronous_replicas)),
        }
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
            lost_disks: 0,
            incarnations: 0,
            frozen_inputs: None,
        })
        .collect()
}

fn member(index: usize, disk: DiskId) -> Member {
    let name = format!("control-{index}");
    Member { instance: name.as_str().into(), disk, peer_address: name.into(), domain: None }
}

impl ControlNode {
    /// Returns the current incarnation, if the process runs.
    pub fn incarnation(&self) -> Option<ProcessIncarnation> {
        self.process.as_ref().map(|process| process.incarnation)
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

impl Simulation {
    pub(super) fn start_control(&mut self, index: usize) {
        let seed =
            self.history.seed.wrapping_mul(7_919) + index as u64 * 31 + self.controls[index].incarnations;
        let node = &mut self.controls[index];
        node.incarnations += 1;
        let voters = (0..CONTROLS).map(|other| member(other, DiskId::unbound())).collect();
        let settings = Settings {
            member: member(index, DiskId(format!("disk-{index}-{}", node.lost_disks).into())),
            incarnation: Incarnation(node.incarnations),
            first_members: Members { voters, ..Members::default() },
        };
        let core = Core::open(settings, node.stored.clone(), ChaCha20Rng::seed_from_u64(seed));
        let incarnation = ProcessIncarnation(node.incarnations);
        let process = ControlProcess {
            core,
            incarnation,
            pending_heartbeats: Vec::new(),
            changes: Vec::new(),
            next_ticket: 1,
        };
        node.process = Some(process);
        self.after(Duration::from_micros(50), Event::TickControl(index, incarnation));
    }

    pub(super) fn terminate_control(&mut self, index: usize) {
        self.controls[index].process = None;
        self.controls[index].frozen_inputs = None;
    }

    /// Ends the process and replaces its disk with an empty one.
    pub(super) fn lose_control_disk(&mut self, index: usize) {
        self.terminate_control(index);
        let node = &mut self.controls[index];
        node.stored = Stored::default();
        node.lost_disks += 1;
    }

    pub(super) fn is_leader(&self, index: usize) -> bool {
        let node = &self.controls[index];
        let is_leader = node.process.as_ref().is_some_and(|process| process.core.election.is_leader());
        is_leader && node.frozen_inputs.is_none()
    }

    pub(super) fn freeze_control(&mut self, index: usize) {
        self.controls[index].frozen_inputs.get_or_insert_default();
    }

    /// Resumes a frozen process and passes it the inputs queued meanwhile.
    pub(super) fn resume_control(&mut self, index: usize) {
        let frozen_inputs = self.controls[index].frozen_inputs.take().unwrap_or_default();
        let Some(incarnation) = self.controls[index].incarnation() else { return };
        for input in frozen_inputs {
            self.control_input(index, incarnation, input);
        }
    }

    pub(super) fn tick_control(&mut self, index: usize, incarnation: ProcessIncarnation) {
        if self.controls[index].incarnation() != Some(incarnation) {
            return;
        }
        self.after(TICK, Event::TickControl(index, incarnation));
        if self.controls[index].frozen_inputs.is_none() {
            self.control_input(index, incarnation, Input::Tick);
        }
    }

    pub(super) fn control_input(&mut self, index: usize, incarnation: ProcessIncarnation, input: Input) {
        let node = &mut self.controls[index];
        if let Some(frozen_inputs) = &mut node.frozen_inputs {
            frozen_inputs.push(input);
            return;
        }
        let now = node.clock.read(self.now);
        let Some(process) = node.process.as_mut().filter(|process| process.incarnation == incarnation) else {
            return;
        };
        let mut effects = Vec::new();
        let before = Arc::clone(&process.core.catalogue);
        step(&mut process.core, now, input, &mut effects);
        let after = Arc::clone(&process.core.catalogue);
        if !Arc::ptr_eq(&before, &after) {
            self.record_opened_terms(&after);
        }
        for effect in effects {
            self.control_effect(index, incarnation, effect);
        }
    }

    fn control_effect(&mut self, index: usize, incarnation: ProcessIncarnation, effect: Effect) {
        match effect {
            // Simulated endpoints announce the state of their logs themselves.
            Effect::Probe(_) => {}
            // No simulated control instance has a policy for usage reports.
            Effect::ReportUsage(_) => {}
            Effect::Persist(persist) => self.controls[index].persist(persist),
            Effect::Send(member, message) => self.send_replication(index, &member.instance, message),
            Effect::AnswerHeartbeat(ticket, body) => self.answer_heartbeat(index, ticket, body),
            Effect::AnswerOperator(ticket, result) => self.answer_operator(index, ticket, result),
            Effect::AnswerStatus(..) => {}
            // Simulated endpoints announce themselves and make no reports.
            Effect::AnswerReport(..) => {}
            // No simulated control instance is stopped as planned.
            Effect::Stopped => {}
            Effect::Log(line) => self.log(&self.controls[index].name.clone(), &line),
            Effect::Promote(promotion) => self.send_promotion(index, incarnation, promotion),
        }
    }

    fn send_replication(&mut self, from: usize, to: &InstanceName, message: ReplicationMessage) {
        let Some(target) = self.controls.iter().position(|node| node.name == *to) else { return };
        let (domain, other) = (self.controls[from].domain, self.controls[target].domain);
        let Some(latency) = self.network.deliver(&mut self.random, domain, other) else { return };
        let Some(incarnation) = self.controls[target].incarnation() else { return };
        let input = Input::Replication(self.controls[from].name.clone(), message);
        self.after(latency, Event::ToControl(target, incarnation, Box::new(input)));
    }

    pub(super) fn heartbeat_arrives(&mut self, index: usize, in_flight: InFlightHeartbeat) {
        let Some(process) = &mut self.controls[index].process else {
            self.select_control(in_flight.entry, in_flight.incarnation, None);
            return;
        };
        let ticket = Ticket(process.next_ticket);
        process.next_ticket += 1;
        process.pending_heartbeats.retain(|pending| pending.entry != in_flight.entry);
        process.pending_heartbeats.push(PendingHeartbeat {
            ticket,
            entry: in_flight.entry,
            incarnation: in_flight.incarnation,
        });
        let incarnation = process.incarnation;
        self.control_input(index, incarnation, Input::Heartbeat(ticket, in_flight.heartbeat));
    }

    fn answer_heartbeat(&mut self, index: usize, ticket: Ticket, body: PeerBody) {
        let Some(process) = &self.controls[index].process else { return };
        let Some(pending) = process.pending_heartbeats.iter().find(|pending| pending.ticket == ticket) else {
            return;
        };
        let (entry, incarnation) = (pending.entry, pending.incarnation);
        let (from, to) = (self.controls[index].domain, self.entries[entry].domain);
        let Some(latency) = self.network.deliver(&mut self.random, from, to) else { return };
        let event = match body {
            PeerBody::HeartbeatAnswer(answer) => {
                let input = cumincart_core::entry::Input::HeartbeatAnswer(answer);
                Event::ToEntry(entry, incarnation, Box::new(input))
            }
            PeerBody::NotLeader(leader) => {
                let leader = leader
                    .and_then(|leader| self.controls.iter().position(|node| node.name == leader.instance));
                Event::NotLeader(entry, incarnation, leader.filter(|leader| *leader != index))
            }
            _ => return,
        };
        self.after(latency, event);
    }

    fn send_promotion(&mut self, index: usize, incarnation: ProcessIncarnation, promotion: Promotion) {
        let in_flight = InFlightPromotion { promotion, control: index, incarnation };
        let target = self.endpoints.iter().find(|endpoint| endpoint.name == in_flight.promotion.endpoint);
        let Some(endpoint) = target else { return };
        let (from, to, is_down) = (self.controls[index].domain, endpoint.domain, !endpoint.is_up);
        let frozen = endpoint.is_frozen;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) if is_down => {
                let input = Input::Promoted(in_flight.promotion, Err(PromotionError::NotReached));
                self.after(latency, Event::ToControl(index, incarnation, Box::new(input)));
            }
            Some(latency) => {
                if frozen {
                    let input = Input::Promoted(in_flight.promotion.clone(), Err(PromotionError::Unknown));
                    self.after(PROMOTION_TIMEOUT, Event::ToControl(index, incarnation, Box::new(input)));
                }
                self.after(latency + PROMOTION_DURATION, Event::PromotionArrives(Box::new(in_flight)));
            }
            None => {
                let input = Input::Promoted(in_flight.promotion, Err(PromotionError::NotReached));
                self.after(PROMOTION_TIMEOUT, Event::ToControl(index, incarnation, Box::new(input)));
            }
        }
    }

    /// Sends the outcome of a promotion to the control instance, or a timeout if the network drops it.
    pub(super) fn return_promotion_result(
        &mut self,
        in_flight: InFlightPromotion,
        state: Result<PromotedState, PromotionError>,
    ) {
        let target = self.endpoints.iter().find(|endpoint| endpoint.name == in_flight.promotion.endpoint);
        let Some(from) = target.map(|endpoint| endpoint.domain) else { return };
        let to = self.controls[in_flight.control].domain;
        let (delay, result) = match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => (latency, state),
            None => (PROMOTION_TIMEOUT, Err(PromotionError::Unknown)),
        };
        let input = Input::Promoted(in_flight.promotion, result);
        self.after(delay, Event::ToControl(in_flight.control, in_flight.incarnation, Box::new(input)));
    }

    /// Sends each pending change to the next control instance in turn. Changes whose response was lost are resent.
    pub(super) fn tick_operators(&mut self) {
        self.after(OPERATOR_INTERVAL, Event::TickOperators);
        self.operators.rounds += 1;
        if self.operators.rounds == 1 {
            self.operators.submit(ChangeKind::InitialLists);
        }
        // Periodically, two operators apply lists on the same base revision.
        if self.operators.rounds.is_multiple_of(40) {
            self.operators.submit(ChangeKind::ReapplyLists);
            self.operators.submit(ChangeKind::ReapplyLists);
        }
        self.operators.target = (self.operators.target + 1) % CONTROLS;
        for index in 0..self.operators.pending.len() {
            if self.operators.must_wait(index) {
                continue;
            }
            let change = match self.operators.pending[index].change.clone() {
                Some(change) => change,
                None => self.operators.build_change(index),
            };
            self.operators.pending[index].change = Some(change.clone());
            self.send_change(self.operators.target, change);
        }
    }

    fn send_change(&mut self, target: usize, change: Change) {
        let Some(process) = &mut self.controls[target].process else { return };
        // The ticket is the index in the list of changes that this incarnation received.
        let ticket = Ticket(process.changes.len() as u64);
        process.changes.push(change.id.clone());
        let incarnation = process.incarnation;
        let input = Input::Operator(ticket, change);
        self.after(OPERATOR_LATENCY, Event::ToControl(target, incarnation, Box::new(input)));
    }

    fn answer_operator(&mut self, index: usize, ticket: Ticket, result: Result<Outcome, ControlRefusal>) {
        let Some(process) = &self.controls[index].process else { return };
        let position = usize::try_from(ticket.0).unwrap_or(usize::MAX);
        let Some(id) = process.changes.get(position).cloned() else { return };
        if self.random_chance(20) {
            return;
        }
        self.after(
            OPERATOR_LATENCY,
            Event::OperatorResponseArrives(Box::new(OperatorResponse { id, result })),
        );
    }

    pub(super) fn operator_response_arrives(&mut self, response: OperatorResponse) {
        let Ok(outcome) = response.result else { return };
        self.history
            .change_responses
            .push(ChangeResponse { id: response.id.clone(), outcome: outcome.clone() });
        let Some(position) = self.operators.pending.iter().position(|pending| pending.id == response.id)
        else {
            return;
        };
        let pending = self.operators.pending.remove(position);
        match outcome {
            Outcome::Accepted { lists_revision, .. } => self.record_accepted(pending.kind, lists_revision),
            Outcome::Conflict { current, .. } => {
                self.operators.lists_revision = current.max(self.operators.lists_revision);
                if pending.kind != ChangeKind::ReapplyLists {
                    self.operators.submit(pending.kind);
                }
            }
        }
    }

    fn record_accepted(&mut self, kind: ChangeKind, revision: ListsRevision) {
        let now = self.now;
        self.operators.lists_revision = revision.max(self.operators.lists_revision);
        match kind {
            ChangeKind::WithdrawKey(key) => {
                self.operators.withdrawn.push(key);
                let until = self.operators.is_pending(ChangeKind::GrantKey(key)).then_some(now);
                self.history.keys_withdrawn.push(Span { subject: key, from: now, until });
            }
            ChangeKind::GrantKey(key) => self.operators.withdrawn.retain(|known| *known != key),
            ChangeKind::DomainOut(domain) => {
                let until = self.operators.is_pending(ChangeKind::DomainIn(domain)).then_some(now);
                self.history.domains_out.push(Span { subject: domain, from: now, until });
            }
            ChangeKind::InitialLists | ChangeKind::DomainIn(_) | ChangeKind::ReapplyLists => {}
        }
    }

    /// Submits the reversal of an earlier change. Its period ends now, since the reversal may apply at any time.
    pub(super) fn submit_reversal(&mut self, kind: ChangeKind) {
        let now = self.now;
        self.operators.submit(kind);
        let (spans, subject) = match kind {
            ChangeKind::GrantKey(key) => (&mut self.history.keys_withdrawn, key),
            ChangeKind::DomainIn(domain) => (&mut self.history.domains_out, domain),
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
