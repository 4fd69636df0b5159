//! An entry instance has the newest list of control instances after any order of answers: on time, late, lost, pushed, or
//! of an earlier leader.

use {
    cumincart_core::{
        control::{self, Effect, Input, Persist, Stored, Ticket},
        entry::{
            self,
            control_group::{self, ASK_INTERVAL_MS, LOST_AFTER_MS},
            membership,
        },
    },
    cumincart_protocol::{
        change::{Action, Change, ChangeId},
        heartbeat::{CatalogueUpdate, HeartbeatAnswer, InstanceEntry},
        lists::Lists,
        number::{ControlTerm, Incarnation, Revision},
        peer::PeerBody,
        replication::{DiskId, Member, Members, ReplicationBody, ReplicationMessage},
        sorted::SortedVec,
        time::Instant,
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{collections::VecDeque, sync::Arc},
};

const SEED: u64 = 61;

fn member(number: u64) -> Member {
    let name = format!("control-{number}");
    Member {
        instance: name.as_str().into(),
        disk: DiskId(format!("disk-{number}").into()),
        peer_address: name.into(),
        domain: None,
    }
}

/// What happens next between the leader and the entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The instance sends a heartbeat, which the leader answers.
    Heartbeat,
    /// The instance sends a heartbeat, which is lost.
    LostHeartbeat,
    /// The first answer on its way arrives.
    First,
    /// The last answer on its way arrives before the others.
    Last,
    /// The first answer on its way is lost.
    Lost,
    /// An operator changes the lists, which the leader pushes.
    Lists,
    /// A control instance joins.
    Join,
    /// The leader's process starts again, as the leader of a later term.
    Restart,
    /// So much time passes that the leases in the answers on their way expire.
    Pause,
}

const EVENTS: [Event; 9] = [
    Event::Heartbeat,
    Event::LostHeartbeat,
    Event::First,
    Event::Last,
    Event::Lost,
    Event::Lists,
    Event::Join,
    Event::Restart,
    Event::Pause,
];

struct Pair {
    now_ms: u64,
    leader: control::Core,
    stored: Stored,
    entry: entry::Core,
    answers: VecDeque<HeartbeatAnswer>,
    events: u64,
}

fn open_leader(stored: Stored) -> control::Core {
    let voters = [member(1)].into_iter().collect();
    let first_members = Members { voters, ..Members::default() };
    let settings = control::Settings { member: member(1), incarnation: Incarnation(1), first_members };
    control::Core::open(settings, stored, ChaCha20Rng::seed_from_u64(SEED))
}

fn open_entry() -> entry::Core {
    let settings = entry::Settings {
        instance: "entry-1".into(),
        incarnation: Incarnation(1),
        domain: "sofia-a".into(),
        peer_address: "entry-1".into(),
    };
    entry::Core::open(settings, ChaCha20Rng::seed_from_u64(SEED))
}

impl Pair {
    fn open() -> Self {
        let leader = open_leader(Stored::default());
        let mut pair = Self {
            now_ms: 1_000,
            leader,
            stored: Stored::default(),
            entry: open_entry(),
            answers: VecDeque::new(),
            events: 0,
        };
        pair.elect();
        pair
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn elect(&mut self) {
        while !self.leader.election.is_leader() {
            self.now_ms += 10;
            self.lead(Input::Tick);
        }
    }

    fn lead(&mut self, input: Input) {
        let (now, mut out) = (self.now(), Vec::new());
        control::step(&mut self.leader, now, input, &mut out);
        for effect in out {
            match effect {
                Effect::AnswerHeartbeat(_, PeerBody::HeartbeatAnswer(answer)) => {
                    self.answers.push_back(*answer);
                }
                Effect::Persist(Persist::Ballot(ballot)) => self.stored.ballot = ballot,
                Effect::Persist(Persist::Append(records)) => self.stored.records.extend(records),
                _ => {}
            }
        }
    }

    fn receive(&mut self, answer: Option<HeartbeatAnswer>) {
        let now = self.now();
        if let Some(answer) = answer {
            membership::on_answer(&mut self.entry, now, &answer);
        }
    }

    fn play(&mut self, event: Event) {
        self.now_ms += 10;
        self.events += 1;
        match event {
            Event::Heartbeat | Event::LostHeartbeat => {
                let now = self.now();
                let heartbeat =
                    membership::build_heartbeat(&mut self.entry, now, Vec::new(), &SortedVec::new());
                if event == Event::Heartbeat {
                    self.lead(Input::Heartbeat(Ticket(self.events), Box::new(heartbeat)));
                }
            }
            Event::First => {
                let answer = self.answers.pop_front();
                self.receive(answer);
            }
            Event::Last => {
                let answer = self.answers.pop_back();
                self.receive(answer);
            }
            Event::Lost => {
                self.answers.pop_front();
            }
            Event::Lists => {
                let base = self.leader.catalogue.lists_revision;
                let action = Action::Apply { base, lists: Arc::new(Lists::default()) };
                let id = ChangeId(format!("change-{}", self.events).into());
                self.lead(Input::Operator(Ticket(0), Change { id, action }));
            }
            Event::Join => {
                let joining = member(self.events + 10);
                let message = ReplicationMessage {
                    disk: joining.disk.clone(),
                    peer_address: joining.peer_address.clone(),
                    incarnation: Incarnation(1),
                    term: ControlTerm::default(),
                    domain: None,
                    body: ReplicationBody::Join(joining.clone()),
                };
                self.lead(Input::Replication(joining.instance, message));
            }
            Event::Restart => {
                self.leader = open_leader(self.stored.clone());
                self.elect();
            }
            Event::Pause => self.now_ms += 3_000,
        }
        self.lead(Input::Tick);
    }

    /// Two heartbeats that are answered, which the instance sends within a second.
    fn settle(&mut self) {
        for _ in 0..2 {
            self.answers.clear();
            self.play(Event::Heartbeat);
            while !self.answers.is_empty() {
                self.play(Event::First);
            }
        }
    }

    fn check(&self, events: &[Event]) {
        let members = self.leader.log.members();
        let mut expected: Vec<Arc<str>> =
            control::members::all(members).map(|member| member.peer_address.clone()).collect();
        expected.sort_unstable();
        assert_eq!(self.entry.control_group.addresses(), expected, "after {events:?}");
        assert_eq!(self.entry.freshness.revision(), self.leader.catalogue.revision, "after {events:?}");
    }
}

fn play_all(events: &[Event]) {
    let mut pair = Pair::open();
    for event in events {
        pair.play(*event);
    }
    pair.settle();
    pair.check(events);
}

/// Guards against entry instances that know no live control instance, since a push has taken them past the change of the
/// members without naming them.
#[test]
fn a_push_does_not_hide_a_change_of_the_control_group() {
    play_all(&[Event::Heartbeat, Event::First, Event::Join, Event::Lists, Event::First, Event::First]);
}

/// Guards against any other order of answers that hides a change: all orders of five events.
#[test]
fn an_instance_knows_the_control_group_after_all_orders_of_answers() {
    let mut orders: Vec<Vec<Event>> = vec![Vec::new()];
    for _ in 0..5 {
        orders = orders
            .into_iter()
            .flat_map(|order| EVENTS.map(|event| order.iter().copied().chain([event]).collect()))
            .collect();
    }
    // Nothing is on its way before the first heartbeat.
    orders.retain(|order| order[0] == Event::Heartbeat);
    for order in &orders {
        play_all(order);
    }
}

#[test]
fn an_instance_knows_the_control_group_after_long_drawn_orders() {
    for seed in 0..300 {
        let mut random = ChaCha20Rng::seed_from_u64(seed);
        let order: Vec<Event> = (0..30).map(|_| EVENTS[random.random_range(0..EVENTS.len())]).collect();
        play_all(&order);
    }
}

fn answer(asked_at_ms: u64, control_term: u64, addresses: &[&str]) -> HeartbeatAnswer {
    HeartbeatAnswer {
        asked_at: Instant::from_millis(asked_at_ms),
        incarnation: Incarnation(1),
        control_term: ControlTerm(control_term),
        revision: Revision(0),
        term_lease_ms: 1_500,
        freshness_lease_ms: 2_900,
        update: CatalogueUpdate::None,
        shares: Vec::new(),
        permits: Vec::new(),
        instances: None,
        control_addresses: Some(addresses.iter().map(|address| (*address).into()).collect()),
    }
}

/// Guards against a late answer that replaces the live control instances by earlier ones.
#[test]
fn a_late_answer_does_not_bring_an_earlier_control_group_back() {
    let mut core = open_entry();
    let now = Instant::from_millis(1_300);
    membership::on_answer(&mut core, now, &answer(1_200, 2, &["new"]));
    membership::on_answer(&mut core, now, &answer(1_100, 2, &["old"]));
    membership::on_answer(&mut core, now, &answer(1_250, 1, &["older"]));
    assert_eq!(core.control_group.addresses(), ["new".into()]);
    assert_eq!(core.control_group.take_changed().map(<[_]>::len), Some(1));
    assert_eq!(core.control_group.take_changed(), None, "the links are told once");
}

/// Guards against an instance that was cut off while all control instances were replaced, and refuses for good.
#[test]
fn an_instance_that_no_leader_answers_asks_each_other_instance_in_turn() {
    let mut core = open_entry();
    let instance = |number: u64| InstanceEntry {
        name: format!("entry-{number}").as_str().into(),
        incarnation: Incarnation(1),
        domain: "sofia-a".into(),
        peer_address: format!("entry-{number}").into(),
    };
    core.freshness.instances = (1..=4).map(instance).collect();
    let asked = |core: &mut entry::Core, from_ms: u64, to_ms: u64| -> Vec<(u64, String)> {
        let ask = |at_ms: u64| {
            let asked = control_group::instance_to_ask(core, Instant::from_millis(at_ms));
            asked.map(|asked| (at_ms, asked.name.as_str().to_owned()))
        };
        (from_ms..to_ms).step_by(50).filter_map(ask).collect()
    };
    assert_eq!(asked(&mut core, 1_000, 1_000 + LOST_AFTER_MS), []);
    let from = 1_000 + LOST_AFTER_MS;
    let expected = [2, 3, 4, 2].map(|number: u64| format!("entry-{number}"));
    let found = asked(&mut core, from, from + 4 * ASK_INTERVAL_MS);
    assert_eq!(found.iter().map(|(_, name)| name).collect::<Vec<_>>(), expected.iter().collect::<Vec<_>>());
    membership::on_answer(&mut core, Instant::from_millis(6_000), &answer(5_950, 1, &["new"]));
    assert_eq!(asked(&mut core, 6_000, 6_000 + LOST_AFTER_MS), [], "a leader has answered");
    assert_eq!(asked(&mut core, 6_000 + LOST_AFTER_MS, 6_100 + LOST_AFTER_MS).len(), 1, "and none since");
}

/// An instance that another one asks names what it knows, also while it has no lease itself.
#[test]
fn a_list_in_an_answer_whose_leases_have_expired_counts() {
    let mut core = open_entry();
    membership::on_answer(&mut core, Instant::from_millis(9_000), &answer(1_000, 1, &["new"]));
    assert_eq!(core.control_group.addresses(), ["new".into()]);
    assert_eq!(core.freshness.freshness_lease_until, Instant::ZERO);
}
