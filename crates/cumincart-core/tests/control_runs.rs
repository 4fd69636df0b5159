//! A new leader and the leases granted by earlier leaders: it waits only for leases that it cannot account
//! for.

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

/// The only control instance of a group, restarted with the runs recorded in its log.
struct Node {
    core: Core,
    now_ms: u64,
}

fn run(instance: &str, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation { instance: instance.into(), incarnation: Incarnation(incarnation) }
}

fn member() -> Member {
    Member {
        instance: "control-1".into(),
        disk: DiskId("disk".into()),
        peer_address: "control-1".into(),
        domain: None,
    }
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

    fn send_heartbeat(&mut self, instance: &str, incarnation: u64, complete: bool) -> Vec<Effect> {
        self.send_heartbeat_at(instance, incarnation, complete, Revision(0))
    }

    fn send_heartbeat_at(
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
            accepts_packed: false,
            asked_at: Instant::from_millis(self.now_ms),
            revision,
            leaving: false,
            complete,
            grants_term: None,
            instances_digest: 0,
            control_digest: 0,
            endpoints: Vec::new(),
            shares: Vec::new(),
            permits: Vec::new(),
            usage: None,
        };
        self.step(Input::Heartbeat(Ticket(self.now_ms), Box::new(heartbeat)))
    }

    fn is_waiting_for_earlier_leases(&self) -> bool {
        self.core.leases.earlier_leases_until() > Instant::from_millis(self.now_ms)
    }
}

fn has_lease(effects: &[Effect]) -> bool {
    let is_lease = |effect: &Effect| matches!(effect, Effect::AnswerHeartbeat(_, PeerBody::HeartbeatAnswer(answer)) if answer.term_lease_ms > 0);
    effects.iter().any(is_lease)
}

#[test]
fn a_run_is_recorded_before_its_first_lease() {
    let mut node = Node::restarted(&[]);
    let effects = node.send_heartbeat("entry-1", 7, true);
    let written = effects.iter().position(|effect| matches!(effect, Effect::Persist(_)));
    let leased = effects.iter().position(|effect| matches!(effect, Effect::AnswerHeartbeat(..)));
    assert!(has_lease(&effects));
    assert!(written < leased, "{effects:?}");
    assert_eq!(node.core.runs.known.get(&"entry-1".into()), Some(&run("entry-1", 7)));
}

#[test]
fn a_leader_waits_while_a_run_is_not_accounted_for() {
    let mut node = Node::restarted(&[run("entry-1", 7), run("entry-2", 7)]);
    node.send_heartbeat("entry-1", 7, true);
    assert!(node.is_waiting_for_earlier_leases(), "entry-2 may hold a lease");
}

#[test]
fn a_leader_stops_waiting_once_every_run_has_reported_everything_or_was_replaced() {
    let mut node = Node::restarted(&[run("entry-1", 7), run("entry-2", 7)]);
    node.send_heartbeat("entry-1", 7, true);
    node.send_heartbeat("entry-2", 8, true);
    assert!(!node.is_waiting_for_earlier_leases());
}

#[test]
fn a_heartbeat_with_only_changes_does_not_account_for_its_run() {
    let mut node = Node::restarted(&[run("entry-1", 7)]);
    node.send_heartbeat("entry-1", 7, false);
    assert!(node.is_waiting_for_earlier_leases());
    node.send_heartbeat("entry-1", 7, true);
    assert!(!node.is_waiting_for_earlier_leases());
}

/// A delayed heartbeat of an earlier run arrives, or the clock stepped back over a restart.
#[test]
fn a_heartbeat_of_an_earlier_run_does_not_end_a_later_one() {
    let mut node = Node::restarted(&[run("entry-1", 7)]);
    node.send_heartbeat("entry-1", 6, false);
    assert!(node.is_waiting_for_earlier_leases());
}

#[test]
fn a_restarted_instance_ends_the_lease_of_its_earlier_run() {
    let mut node = Node::restarted(&[]);
    node.send_heartbeat("entry-1", 7, true);
    node.send_heartbeat("entry-1", 8, true);
    let holders = node.core.leases.holders();
    assert_eq!(holders.len(), 1);
    assert!(holders.iter().all(|holder| holder.key.incarnation == Incarnation(8)));
}

#[test]
fn a_new_leadership_resets_the_accounting() {
    let mut node = Node::restarted(&[run("entry-1", 7)]);
    node.send_heartbeat("entry-1", 7, true);
    runs::on_elected(&mut node.core.runs);
    let known = std::mem::take(&mut node.core.runs).known;
    assert_eq!(Runs::open(known).known.len(), 1);
}

/// A primary fails together with the leader: the next leader fences the old term while leases of the earlier
/// leader may still be valid.
#[test]
fn a_fence_ends_once_every_earlier_holder_has_confirmed_it() {
    let mut node = Node::restarted(&[run("entry-1", 7), run("entry-2", 7)]);
    let fence = Fence::begin(&node.core.leases, Revision(1));
    let is_done = |node: &Node| fence.is_done(&node.core.leases, Instant::from_millis(node.now_ms));
    node.send_heartbeat_at("entry-1", 7, true, Revision(1));
    assert!(!is_done(&node), "entry-2 may hold a lease");
    node.send_heartbeat_at("entry-2", 7, true, Revision(0));
    assert!(!is_done(&node), "entry-2 may still act on the earlier revision");
    node.send_heartbeat_at("entry-2", 7, true, Revision(1));
    assert!(is_done(&node));
}
