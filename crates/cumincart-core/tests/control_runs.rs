//! A new leader and the leases that earlier leaders gave: it waits for those it can't account for, and for no others.

use {
    cumincart_core::control::{
        Core, Effect, Input, Settings, Stored, Ticket,
        leases::Fence,
        runs::{self, Runs},
        step,
    },
    cumincart_protocol::{
        heartbeat::Heartbeat,
        number::{ControlTerm, LogIndex},
        number::{Incarnation, Revision},
        peer::PeerBody,
        replication::{Ballot, Command, DiskId, InstanceIncarnation, Member, Members, Record},
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
};

/// A control instance alone, that starts again with the runs that its log holds.
struct Node {
    core: Core,
    now_ms: u64,
}

fn run(instance: &str, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation { instance: instance.into(), incarnation: Incarnation(incarnation) }
}

fn member() -> Member {
    Member { instance: "control-1".into(), disk: DiskId("disk".into()), peer_address: "control-1".into() }
}

impl Node {
    fn restarted(known: &[InstanceIncarnation]) -> Self {
        let first_members = Members { voters: [member()].into_iter().collect(), ..Members::default() };
        let settings = Settings { member: member(), incarnation: Incarnation(2), first_members };
        let put = |(run, index): (&InstanceIncarnation, u64)| Record {
            index: LogIndex(index),
            term: ControlTerm(1),
            command: Command::PutRun(run.clone()),
        };
        let records = known.iter().zip(1..).map(put).collect();
        let ballot = Ballot { term: ControlTerm(1), voted_for: None };
        let stored = Stored { ballot, records, ..Stored::default() };
        let core = Core::open(settings, stored, ChaCha20Rng::seed_from_u64(3));
        let mut node = Self { core, now_ms: 10_000 };
        node.step(Input::Tick);
        assert!(node.core.election.is_leader());
        node
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        step(&mut self.core, Instant::from_millis(self.now_ms), input, &mut out);
        out
    }

    fn beat(&mut self, instance: &str, incarnation: u64, complete: bool) -> Vec<Effect> {
        self.beat_at(instance, incarnation, complete, Revision(0))
    }

    fn beat_at(
        &mut self,
        instance: &str,
        incarnation: u64,
        complete: bool,
        revision: Revision,
    ) -> Vec<Effect> {
        self.now_ms += 1;
        let heartbeat = Heartbeat {
            instance: instance.into(),
            incarnation: Incarnation(incarnation),
            domain: "quay".into(),
            peer_address: instance.into(),
            asked_at: Instant::from_millis(self.now_ms),
            revision,
            leaving: false,
            complete,
            instances_digest: 0,
            endpoints: Vec::new(),
            shares: Vec::new(),
            permits: Vec::new(),
        };
        self.step(Input::Heartbeat(Ticket(self.now_ms), Box::new(heartbeat)))
    }

    fn waits(&self) -> bool {
        self.core.leases.earlier_until() > Instant::from_millis(self.now_ms)
    }
}

fn has_lease(effects: &[Effect]) -> bool {
    let is_lease = |effect: &Effect| matches!(effect, Effect::AnswerHeartbeat(_, PeerBody::HeartbeatAnswer(answer)) if answer.term_lease_ms > 0);
    effects.iter().any(is_lease)
}

#[test]
fn a_run_is_written_down_before_its_first_lease() {
    let mut node = Node::restarted(&[]);
    let effects = node.beat("entry-1", 7, true);
    let written = effects.iter().position(|effect| matches!(effect, Effect::Persist(_)));
    let leased = effects.iter().position(|effect| matches!(effect, Effect::AnswerHeartbeat(..)));
    assert!(has_lease(&effects));
    assert!(written < leased, "{effects:?}");
    assert_eq!(node.core.runs.known.get(&"entry-1".into()), Some(&run("entry-1", 7)));
}

#[test]
fn a_leader_waits_while_a_run_is_not_accounted_for() {
    let mut node = Node::restarted(&[run("entry-1", 7), run("entry-2", 7)]);
    node.beat("entry-1", 7, true);
    assert!(node.waits(), "entry-2 may hold a lease");
}

#[test]
fn a_leader_waits_no_longer_once_every_run_has_told_all_or_was_replaced() {
    let mut node = Node::restarted(&[run("entry-1", 7), run("entry-2", 7)]);
    node.beat("entry-1", 7, true);
    node.beat("entry-2", 8, true);
    assert!(!node.waits());
}

#[test]
fn a_heartbeat_that_tells_only_changes_accounts_for_nothing() {
    let mut node = Node::restarted(&[run("entry-1", 7)]);
    node.beat("entry-1", 7, false);
    assert!(node.waits());
    node.beat("entry-1", 7, true);
    assert!(!node.waits());
}

/// A delayed heartbeat of an earlier run, or a clock that stepped back over a restart.
#[test]
fn an_earlier_run_does_not_show_that_a_later_one_is_gone() {
    let mut node = Node::restarted(&[run("entry-1", 7)]);
    node.beat("entry-1", 6, false);
    assert!(node.waits());
}

#[test]
fn a_restarted_instance_frees_what_its_former_run_held() {
    let mut node = Node::restarted(&[]);
    node.beat("entry-1", 7, true);
    node.beat("entry-1", 8, true);
    let holders = node.core.leases.holders();
    assert_eq!(holders.len(), 1);
    assert!(holders.iter().all(|holder| holder.key.incarnation == Incarnation(8)));
}

#[test]
fn a_new_leadership_forgets_who_was_accounted_for() {
    let mut node = Node::restarted(&[run("entry-1", 7)]);
    node.beat("entry-1", 7, true);
    runs::on_elected(&mut node.core.runs);
    let known = std::mem::take(&mut node.core.runs).known;
    assert_eq!(Runs::open(known).known.len(), 1);
}

/// A primary that dies beside the leader: the next leader fences its term while earlier leases may run.
#[test]
fn a_fence_waits_no_longer_than_until_every_earlier_holder_has_confirmed_it() {
    let mut node = Node::restarted(&[run("entry-1", 7), run("entry-2", 7)]);
    let fence = Fence::begin(&node.core.leases, Revision(1));
    let is_done = |node: &Node| fence.is_done(&node.core.leases, Instant::from_millis(node.now_ms));
    node.beat_at("entry-1", 7, true, Revision(1));
    assert!(!is_done(&node), "entry-2 may hold a lease");
    node.beat_at("entry-2", 7, true, Revision(0));
    assert!(!is_done(&node), "entry-2 may act on what it held before");
    node.beat_at("entry-2", 7, true, Revision(1));
    assert!(is_done(&node));
}
