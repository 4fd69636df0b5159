//! A control group of one and entry instances that count, on clocks of their own.

use {
    cumincart_core::{
        control::{
            Core, Effect, Input, Persist, Settings, Stored, Ticket, UsageAnswer, UsageCall, snapshot, step,
            usage::Policy,
        },
        entry::usage,
    },
    cumincart_protocol::{
        heartbeat::Heartbeat,
        number::{ControlTerm, Incarnation, Revision},
        peer::PeerBody,
        replication::{DiskId, Member, Members},
        time::Instant,
        usage::{WindowNumber, WindowOutcome},
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
};

pub const WINDOW_MS: u64 = 5_000;
pub const LATE_MS: u64 = 10_000;
pub const TAKEOVER_MS: u64 = 3_000;

/// The window in which a test begins.
pub const EPOCH_WINDOW: WindowNumber = 350_000_000;

const SEED: u64 = 11;

/// The only control instance of a group. Its steady clock is the time of the test in milliseconds.
pub struct Leader {
    pub core: Core,
    pub now_ms: u64,
    stored: Stored,
}

fn open(stored: Stored) -> Core {
    let member = Member {
        instance: "control-1".into(),
        disk: DiskId("disk-1".into()),
        peer_address: "10.0.0.1:1".into(),
        domain: None,
    };
    let voters = std::iter::once(member.clone()).collect();
    let first_members = Members { voters, ..Members::default() };
    let settings = Settings { member, incarnation: Incarnation(1), first_members };
    let mut core = Core::open(settings, stored, ChaCha20Rng::seed_from_u64(SEED));
    core.usage.policy = Some(Policy { window_ms: WINDOW_MS, late_ms: LATE_MS, takeover_ms: TAKEOVER_MS });
    core
}

impl Leader {
    pub fn start() -> Self {
        let mut leader = Self { core: open(Stored::default()), now_ms: 0, stored: Stored::default() };
        leader.tick();
        leader
    }

    /// Starts the process again with what its disk holds, until it leads in a new term.
    pub fn restart(&mut self) {
        self.core = open(self.stored.clone());
        self.tick();
        assert!(self.core.election.is_leader());
    }

    pub fn take_snapshot(&mut self) {
        self.stored.snapshot = Some(snapshot::current(&self.core));
        self.stored.records.clear();
    }

    /// Returns the calls that are to be made.
    pub fn tick(&mut self) -> Vec<UsageCall> {
        let effects = self.step(Input::Tick);
        let calls = effects.into_iter().filter_map(|effect| match effect {
            Effect::ReportUsage(call) => Some(call),
            _ => None,
        });
        calls.collect()
    }

    pub fn answer(&mut self, call: UsageCall, answer: UsageAnswer) {
        self.step(Input::UsageReported(call, answer));
    }

    pub fn outcome(&self, window: WindowNumber) -> Option<WindowOutcome> {
        self.core.usage.windows.get(&window).and_then(|window| self.core.usage.outcome(window))
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        step(&mut self.core, Instant::from_millis(self.now_ms), input, &mut out);
        for effect in &out {
            match effect {
                Effect::Persist(Persist::Append(records)) => self.stored.records.extend(records.clone()),
                Effect::Persist(Persist::Ballot(ballot)) => self.stored.ballot = ballot.clone(),
                Effect::Persist(other) => panic!("a group of one has no reason for {other:?}"),
                _ => {}
            }
        }
        out
    }
}

/// An entry instance. Its steady clock starts at `started_ms` of the test.
pub struct Entry {
    name: String,
    incarnation: u64,
    started_ms: u64,
    /// The error of its time of day.
    pub skew_ms: i64,
    pub is_leaving: bool,
    pub is_heartbeat_lost: bool,
    pub is_answer_lost: bool,
    counts: usage::Usage,
    /// The term whose leader has acknowledged, and until when.
    acknowledged: Option<(ControlTerm, Instant)>,
    last: Option<Heartbeat>,
}

impl Entry {
    pub fn start(name: &str, started_ms: u64, skew_ms: i64) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: 1,
            started_ms,
            skew_ms,
            is_leaving: false,
            is_heartbeat_lost: false,
            is_answer_lost: false,
            counts: usage::Usage::open(true),
            acknowledged: None,
            last: None,
        }
    }

    pub fn restart(name: &str, started_ms: u64) -> Self {
        Self { incarnation: 2, ..Self::start(name, started_ms, 0) }
    }

    fn clock(&self, at_ms: u64) -> Instant {
        Instant::from_millis(at_ms.saturating_sub(self.started_ms))
    }

    /// Counts requests that began and were answered at a time of the test.
    pub fn count(&mut self, organisation: &str, at_ms: u64, requests: u32) {
        self.count_at(organisation, at_ms, at_ms, requests);
    }

    pub fn count_at(&mut self, organisation: &str, began_ms: u64, known_ms: u64, requests: u32) {
        let (began_at, known_at) = (self.clock(began_ms), self.clock(known_ms));
        usage::record(&mut self.counts, known_at, began_at, &organisation.into(), requests);
    }

    /// Sends a heartbeat and receives its answer.
    pub fn exchange_heartbeat(&mut self, leader: &mut Leader) {
        let now = self.clock(leader.now_ms);
        let unix_ms = EPOCH_WINDOW * WINDOW_MS + leader.now_ms;
        self.counts.unix_ms = unix_ms.saturating_add_signed(self.skew_ms);
        let acknowledged_until = self.acknowledged.map(|(_, at)| at);
        let heartbeat = Heartbeat {
            instance: self.name.as_str().into(),
            incarnation: Incarnation(self.incarnation),
            domain: "sofia-a".into(),
            peer_address: "10.0.0.9:1".into(),
            accepts_packed: false,
            asked_at: now,
            revision: Revision(0),
            leaving: self.is_leaving,
            complete: acknowledged_until.is_none(),
            grants_term: None,
            instances_digest: 0,
            control_digest: 0,
            endpoints: Vec::new(),
            shares: Vec::new(),
            permits: Vec::new(),
            usage: usage::report(&mut self.counts, now, acknowledged_until),
        };
        self.last = Some(heartbeat.clone());
        if self.is_heartbeat_lost {
            return;
        }
        let effects = leader.step(Input::Heartbeat(Ticket(1), Box::new(heartbeat)));
        let answers = effects.into_iter().filter_map(|effect| match effect {
            Effect::AnswerHeartbeat(_, PeerBody::HeartbeatAnswer(answer)) => Some(answer.control_term),
            _ => None,
        });
        let term = answers.last().expect("the heartbeat was answered");
        if self.is_answer_lost {
            return;
        }
        // A new leader has not received the earlier reports, unless this one was full.
        let knows_all = self.acknowledged.is_none_or(|(known, _)| known == term);
        self.acknowledged = knows_all.then_some((term, now));
    }

    /// Delivers the last heartbeat once more.
    pub fn repeat_heartbeat(&mut self, leader: &mut Leader) {
        let Some(heartbeat) = self.last.clone().filter(|_| !self.is_heartbeat_lost) else { return };
        leader.step(Input::Heartbeat(Ticket(2), Box::new(heartbeat)));
    }
}
