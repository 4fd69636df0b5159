//! Large configurations for many instances on slow links: the leader paces them, and no lease is lost meanwhile.

use {
    cumincart_core::{
        control::{
            self, Core, Effect, Input, Settings, Stored, Ticket,
            catalogue::{DELTA_WINDOW, RecentDeltas},
            delivery::{BURST_BYTES, BYTES_PER_TICK, HOLD_MS, LARGE_UPDATE_BYTES, UNCONFIRMED_MAX_BYTES},
            step,
        },
        entry::freshness::{self, AnswerOutcome, Freshness},
        timing::{HEARTBEAT_INTERVAL_MS, TICK_INTERVAL_MS, grantor_lease_ms},
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        change::{Action, Change, ChangeId, Configuration, ConfigurationContent},
        heartbeat::{CatalogueChange, CatalogueDelta, CatalogueUpdate, Heartbeat, HeartbeatAnswer},
        instances,
        lists::{Consistency, Database, InteractiveList, Lists},
        number::{Incarnation, ListsRevision, Revision},
        peer::PeerBody,
        replication::{DiskId, Member, Members},
        size::encoded_bytes,
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    test_case::test_case,
};

const SEED: u64 = 53;

/// The rate of an entry instance's link, in bytes per millisecond: 1.4 Mbit/s.
const LINK_BYTES_PER_MS: usize = 175;

/// The delay of a link, in milliseconds.
const LATENCY_MS: u64 = 12;

/// The interval between two heartbeats of an instance without a term lease, in milliseconds.
const RETRY_MS: u64 = 100;

const DOMAINS: [&str; 6] = ["santander-a", "oviedo-a", "bilbao-a", "torrelavega-b", "gijon-b", "vitoria-b"];

/// A database in its `edit`-th form.
fn database(number: usize, edit: u64) -> Database {
    Database {
        name: format!("reservas-{number:04}").into(),
        service: "reservas-core".into(),
        consistency: Consistency::ReadYourWrites { max_staleness_ms: 2_000 },
        statement_timeout_ms: 4_000 + edit,
        objective_ms: 400,
        priority: 1,
        open: false,
    }
}

/// Returns lists in which a version has edited the last `edited` databases.
fn lists(databases: usize, edited: usize, version: u64) -> Lists {
    let database = |number| {
        let is_edited = number + edited >= databases;
        database(number, if is_edited { version } else { 0 })
    };
    let databases = (0..databases).map(database).collect();
    Lists { interactive: InteractiveList { databases, ..InteractiveList::default() }, ..Lists::default() }
}

fn configuration(version: u64, lists: Lists) -> Action {
    let content = ConfigurationContent::Whole { lists: Arc::new(lists), document: "{}".into() };
    Action::Replace(Configuration { version, content })
}

/// An entry instance on a slow link. Answers with an update wait behind each other, and others overtake them.
struct Holder {
    name: String,
    domain: &'static str,
    incarnation: Incarnation,
    accepts_packed: bool,
    freshness: Freshness,
    next_heartbeat_at: u64,
    /// Whether its heartbeats and answers are lost.
    is_cut: bool,
    confirmed: Revision,
    updates: VecDeque<(usize, HeartbeatAnswer)>,
    /// The rest of the update that is being transmitted, in bytes.
    left_bytes: usize,
    arriving: VecDeque<(u64, HeartbeatAnswer)>,
    received_bytes: usize,
    had_term_lease: bool,
    had_freshness_lease: bool,
    lost_leases: Vec<(u64, &'static str)>,
}

struct Fleet {
    now_ms: u64,
    leader: Core,
    holders: Vec<Holder>,
    changes: u64,
    log_lines: Vec<String>,
    /// The bytes of large messages that the leader handed to links, for each millisecond in which it did.
    handed: Vec<(u64, usize)>,
}

impl Fleet {
    fn start(instances: usize, first: Lists) -> Self {
        Self::start_with(instances, first, false)
    }

    fn start_with(instances: usize, first: Lists, accepts_packed: bool) -> Self {
        let member = Member {
            instance: "control-1".into(),
            disk: DiskId("disk-1".into()),
            peer_address: "control-1".into(),
            domain: None,
        };
        let first_members = Members { voters: [member.clone()].into_iter().collect(), ..Members::default() };
        let settings = Settings { member, incarnation: Incarnation(1), first_members };
        let random = ChaCha20Rng::seed_from_u64(SEED);
        let leader = Core::open(settings, Stored::default(), random);
        let mut fleet = Self {
            now_ms: 1_000,
            leader,
            holders: Vec::new(),
            changes: 0,
            log_lines: Vec::new(),
            handed: Vec::new(),
        };
        while !fleet.leader.election.is_leader() {
            fleet.run_ms(10);
        }
        fleet.run_ms(10);
        fleet.operate(configuration(1, first));
        fleet.holders = (0..instances)
            .map(|number| Holder { accepts_packed, ..Holder::new(number, fleet.now_ms) })
            .collect();
        fleet
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn operate(&mut self, action: Action) {
        self.changes += 1;
        let id = ChangeId(format!("change-{}", self.changes).into());
        self.input(Input::Operator(Ticket(0), Change { id, action }));
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        let now = self.now();
        step(&mut self.leader, now, input, &mut out);
        for effect in out {
            match effect {
                Effect::AnswerHeartbeat(ticket, PeerBody::HeartbeatAnswer(answer)) => {
                    self.hand_over(usize::try_from(ticket.0).expect("it is small"), *answer);
                }
                Effect::Log(line) => self.log_lines.push(format!("{} ms: {line}", self.now_ms)),
                _ => {}
            }
        }
    }

    fn hand_over(&mut self, holder: usize, answer: HeartbeatAnswer) {
        let bytes = encoded_bytes(&answer);
        if answer.update != CatalogueUpdate::None && bytes > LARGE_UPDATE_BYTES {
            self.handed.push((self.now_ms, bytes));
        }
        self.holders[holder].receive(self.now_ms, bytes, answer);
    }

    fn run_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now_ms += 1;
            if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
                self.input(Input::Tick);
            }
            for index in 0..self.holders.len() {
                if let Some(heartbeat) = self.holders[index].advance(self.now_ms) {
                    self.input(Input::Heartbeat(Ticket(index as u64), Box::new(heartbeat)));
                }
            }
        }
    }

    fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let since = self.now_ms;
        while !holds(self) {
            assert!(self.now_ms < since + limit_ms, "not after {limit_ms} ms: {:#?}", self.log_lines);
            self.run_ms(1);
        }
        self.now_ms - since
    }

    fn all_have(&self, databases: usize) -> bool {
        let count = |holder: &Holder| holder.freshness.catalogue.lists.interactive.databases.len();
        self.holders.iter().all(|holder| count(holder) == databases)
    }

    fn all_hold_leases(&self) -> bool {
        self.holders.iter().all(|holder| holder.had_term_lease && holder.had_freshness_lease)
    }

    fn all_are_current(&self) -> bool {
        self.holders.iter().all(|holder| holder.freshness.revision() == self.leader.catalogue.revision)
    }

    /// Returns the greatest sum of bytes that the leader handed to links within a time span.
    fn most_handed_in(&self, span_ms: u64) -> usize {
        let within = |at: u64| {
            let inside = self.handed.iter().filter(|(other, _)| (at..at + span_ms).contains(other));
            inside.map(|(_, bytes)| bytes).sum()
        };
        self.handed.iter().map(|(at, _)| within(*at)).max().unwrap_or_default()
    }

    fn received_bytes(&self) -> usize {
        self.holders.iter().map(|holder| holder.received_bytes).sum()
    }

    fn lost_leases(&self) -> Vec<String> {
        let of = |holder: &Holder| {
            let name = holder.name.clone();
            holder.lost_leases.clone().into_iter().map(move |lost| format!("{name}: {lost:?}"))
        };
        self.holders.iter().flat_map(of).collect()
    }

    fn forget_counts(&mut self) {
        self.handed.clear();
        for holder in &mut self.holders {
            holder.received_bytes = 0;
            holder.lost_leases.clear();
        }
    }
}

impl Holder {
    fn new(number: usize, now_ms: u64) -> Self {
        Self {
            name: format!("entry-{number:03}"),
            domain: DOMAINS[number % DOMAINS.len()],
            incarnation: Incarnation(1),
            accepts_packed: false,
            freshness: Freshness::default(),
            next_heartbeat_at: now_ms + number as u64 * 7 % HEARTBEAT_INTERVAL_MS,
            is_cut: false,
            confirmed: Revision(0),
            updates: VecDeque::new(),
            left_bytes: 0,
            arriving: VecDeque::new(),
            received_bytes: 0,
            had_term_lease: false,
            had_freshness_lease: false,
            lost_leases: Vec::new(),
        }
    }

    fn receive(&mut self, now_ms: u64, bytes: usize, answer: HeartbeatAnswer) {
        if self.is_cut {
            return;
        }
        self.received_bytes += bytes;
        if answer.update == CatalogueUpdate::None {
            self.arriving.push_back((now_ms + LATENCY_MS, answer));
        } else {
            self.updates.push_back((bytes, answer));
        }
    }

    /// Advances the link by a millisecond, applies what arrived, and returns the heartbeat that is due.
    fn advance(&mut self, now_ms: u64) -> Option<Heartbeat> {
        let now = Instant::from_millis(now_ms);
        let mut budget = LINK_BYTES_PER_MS;
        while budget > 0
            && let Some((bytes, _)) = self.updates.front()
        {
            let left = if self.left_bytes == 0 { *bytes } else { self.left_bytes };
            self.left_bytes = left.saturating_sub(budget);
            budget = budget.saturating_sub(left);
            if self.left_bytes == 0
                && let Some((_, answer)) = self.updates.pop_front()
            {
                self.arriving.push_back((now_ms + LATENCY_MS, answer));
            }
        }
        while let Some(index) = self.arriving.iter().position(|(at, _)| *at <= now_ms) {
            let Some((_, answer)) = self.arriving.remove(index) else { break };
            freshness::apply_answer(&mut self.freshness, now, self.incarnation, &answer);
        }
        self.watch_leases(now_ms);
        let is_due = self.next_heartbeat_at <= now_ms || self.confirmed < self.freshness.revision();
        if !is_due || self.is_cut {
            return None;
        }
        self.confirmed = self.freshness.revision();
        let interval_ms = if self.had_term_lease { HEARTBEAT_INTERVAL_MS } else { RETRY_MS };
        self.next_heartbeat_at = now_ms + interval_ms;
        Some(Heartbeat {
            instance: self.name.as_str().into(),
            incarnation: self.incarnation,
            domain: self.domain.into(),
            peer_address: "10.0.0.1:7000".into(),
            accepts_packed: self.accepts_packed,
            asked_at: now,
            revision: self.confirmed,
            leaving: false,
            complete: true,
            grants_term: None,
            instances_digest: instances::digest(&self.freshness.instances),
            control_digest: 0,
            endpoints: Vec::new(),
            shares: Vec::new(),
            permits: Vec::new(),
            usage: None,
        })
    }

    fn watch_leases(&mut self, now_ms: u64) {
        let now = Instant::from_millis(now_ms);
        let (has_term, has_freshness) = (self.freshness.holds_term_lease(now), self.freshness.is_fresh(now));
        if self.had_term_lease && !has_term {
            self.lost_leases.push((now_ms, "term"));
        }
        if self.had_freshness_lease && !has_freshness {
            self.lost_leases.push((now_ms, "freshness"));
        }
        (self.had_term_lease, self.had_freshness_lease) = (has_term, has_freshness);
    }
}

/// Load: 145 instances on links of 1.4 Mbit/s; 1,004 routes more, then 24 more versions within 1.5 s.
#[test_case(false, 1_500; "by instances of an earlier version")]
#[test_case(true, 200; "packed")]
fn a_storm_of_large_configurations_costs_no_lease_and_sends_the_newest(
    accepts_packed: bool,
    most_per_mille: usize,
) {
    let mut fleet = Fleet::start_with(145, lists(608, 0, 1), accepts_packed);
    fleet.run_until(20_000, |fleet| fleet.all_have(608) && fleet.all_hold_leases());
    fleet.run_ms(2_000);
    fleet.forget_counts();
    let newest = lists(1_612, 40, 26);
    let patch_bytes = encoded_bytes(&newest) - encoded_bytes(&lists(608, 0, 1));
    for version in 2..=26 {
        fleet.operate(configuration(version, lists(1_612, 40, version)));
        fleet.run_ms(60);
    }
    let after_ms = fleet.run_until(2_500, Fleet::all_are_current);
    let catalogue = &fleet.leader.catalogue;
    assert!(fleet.holders.iter().all(|holder| holder.freshness.catalogue.lists == catalogue.lists));
    fleet.run_ms(3_000);
    assert_eq!(fleet.lost_leases(), Vec::<String>::new());
    assert!(fleet.leader.election.is_leader());
    let each = fleet.received_bytes() / fleet.holders.len();
    assert!(
        each < patch_bytes * most_per_mille / 1_000,
        "{each} bytes for each instance; the change has {patch_bytes}"
    );
    let most = fleet.most_handed_in(100);
    let allowed = usize::try_from(BURST_BYTES + BYTES_PER_TICK * 11).expect("it is positive");
    assert!(most <= allowed + 2 * patch_bytes, "{most} bytes in a tenth of a second");
    println!("{after_ms} ms after the last version; {each} bytes for each of 145 instances");
}

/// Load: 300 instances ask for all lists at the same time and ask again while they have no lease.
#[test_case(false, 1_500; "to instances of an earlier version")]
#[test_case(true, 250; "packed")]
fn a_start_of_300_instances_sends_each_the_lists_once(accepts_packed: bool, most_per_mille: usize) {
    let mut fleet = Fleet::start_with(300, lists(1_612, 0, 1), accepts_packed);
    let took_ms = fleet.run_until(20_000, |fleet| fleet.all_have(1_612) && fleet.all_hold_leases());
    let whole = encoded_bytes(&*fleet.leader.catalogue);
    let each = fleet.received_bytes() / 300;
    assert!(
        each < whole * most_per_mille / 1_000,
        "{each} bytes for each instance; the catalogue has {whole}"
    );
    let unconfirmed = fleet.most_handed_in(500);
    assert!(unconfirmed <= UNCONFIRMED_MAX_BYTES + whole, "{unconfirmed} bytes within half a second");
    println!("{took_ms} ms until all are served; {each} bytes for each, {whole} in the catalogue");
}

/// A holder that never gets the new lists acts on the earlier ones no longer than one that was cut off when they were
/// applied.
#[test]
fn earlier_lists_are_held_no_longer_than_by_a_holder_that_is_cut_off() {
    let mut fleet = Fleet::start(2, lists(10, 0, 1));
    fleet.run_until(5_000, |fleet| fleet.all_have(10) && fleet.all_hold_leases());
    fleet.run_ms(1_000);
    fleet.forget_counts();
    fleet.operate(configuration(2, lists(1_612, 0, 2)));
    let applied_at = fleet.now_ms;
    let held_before = fleet.leader.deliveries.counters.held;
    // The updates never arrive, other answers do.
    for _ in 0..HOLD_MS + 2_000 {
        for holder in &mut fleet.holders {
            holder.updates.clear();
            holder.left_bytes = 0;
        }
        fleet.run_ms(1);
    }
    assert!(fleet.leader.deliveries.counters.held > held_before, "no heartbeat was answered meanwhile");
    for holder in &fleet.holders {
        let ends = [holder.freshness.term_lease_until, holder.freshness.freshness_lease_until];
        let latest = ends.into_iter().max().expect("there are two");
        assert!(latest <= Instant::from_millis(applied_at + HOLD_MS), "{}: until {latest:?}", holder.name);
        assert!(
            latest > Instant::from_millis(applied_at + HOLD_MS - 600),
            "{}: until {latest:?}",
            holder.name
        );
    }
}

/// The first lease of a fence decides what the leader may do next, so no lease on a revision before it may be extended.
#[test]
fn no_lease_on_earlier_lists_is_extended_past_a_change_that_a_fence_may_wait_for() {
    let mut fleet = Fleet::start(2, lists(10, 0, 1));
    fleet.run_until(5_000, |fleet| fleet.all_have(10) && fleet.all_hold_leases());
    fleet.run_ms(1_000);
    fleet.operate(configuration(2, lists(1_612, 0, 2)));
    fleet.operate(control_set_domain("oviedo-a"));
    let changed_at = fleet.now();
    for _ in 0..3_000 {
        for holder in &mut fleet.holders {
            holder.updates.clear();
            holder.left_bytes = 0;
        }
        fleet.run_ms(1);
    }
    for holder in &fleet.holders {
        // Leases that were granted before the change, and counted by the holder from when it asked.
        let granted_before = changed_at + Duration::from_millis(grantor_lease_ms(1_500));
        assert!(holder.freshness.term_lease_until <= granted_before, "{}: extended", holder.name);
    }
}

fn control_set_domain(domain: &str) -> Action {
    Action::SetDomain { domain: domain.into(), out: true }
}

/// A leader cannot know when an earlier leader acknowledged a change, so it holds back none of them.
#[test]
fn a_new_leader_grants_no_lease_on_lists_that_an_earlier_leader_replaced() {
    let mut fleet = Fleet::start(1, lists(10, 0, 1));
    fleet.run_until(5_000, |fleet| fleet.all_have(10) && fleet.all_hold_leases());
    fleet.operate(configuration(2, lists(1_612, 0, 2)));
    let from = fleet.holders[0].freshness.revision();
    assert!(control::delivery::gap(&mut fleet.leader, from).hold_until.is_some());
    fleet.leader.election.ballot.term = fleet.leader.election.ballot.term.next();
    let gap = control::delivery::gap(&mut fleet.leader, from);
    assert!(gap.is_large());
    assert_eq!(gap.hold_until, None);
}

/// The update is lost with its link. The holder gets it again.
#[test]
fn an_update_that_is_not_confirmed_is_sent_again() {
    let mut fleet = Fleet::start(1, lists(10, 0, 1));
    fleet.run_until(5_000, |fleet| fleet.all_have(10) && fleet.all_hold_leases());
    fleet.operate(configuration(2, lists(1_612, 0, 2)));
    fleet.run_ms(20);
    assert!(!fleet.holders[0].updates.is_empty(), "it is on its way");
    fleet.holders[0].updates.clear();
    fleet.holders[0].left_bytes = 0;
    fleet.run_until(10_000, |fleet| fleet.all_have(1_612) && fleet.all_hold_leases());
    assert_eq!(fleet.leader.deliveries.counters.resent, 1);
}

/// A restarted instance asks with a new incarnation and has lost what was on its way.
#[test]
fn a_restarted_instance_does_not_wait_for_the_update_of_its_earlier_run() {
    let mut fleet = Fleet::start(2, lists(1_612, 0, 1));
    fleet.run_until(5_000, |fleet| fleet.all_have(1_612));
    let now_ms = fleet.now_ms;
    fleet.holders[0] = Holder { incarnation: Incarnation(2), ..Holder::new(0, now_ms) };
    let took_ms = fleet.run_until(5_000, |fleet| fleet.all_have(1_612) && fleet.all_hold_leases());
    assert!(took_ms < 2_000, "{took_ms} ms");
}

/// The lease that was granted while the update was on its way counts once the update is there, and not before.
#[test]
fn a_lease_on_a_revision_that_is_on_its_way_counts_once_it_arrives() {
    let mut fleet = Fleet::start(1, lists(1_612, 0, 1));
    fleet.run_until(2_000, |fleet| !fleet.holders[0].updates.is_empty());
    fleet.run_ms(200);
    let holder = &fleet.holders[0];
    assert!(!holder.updates.is_empty(), "the update is still on its way");
    let awaited = holder.freshness.awaited.expect("later heartbeats were answered");
    assert_eq!(holder.freshness.freshness_lease_until, Instant::ZERO);
    let update = holder.updates[0].1.clone();
    assert!(
        update.asked_at + Duration::from_millis(update.freshness_lease_ms) < awaited.freshness_lease_until
    );
    let mut freshness = Freshness { awaited: Some(awaited), ..Freshness::default() };
    let outcome = freshness::apply_answer(&mut freshness, fleet.now(), Incarnation(1), &update);
    assert_eq!(outcome, AnswerOutcome::Leased);
    assert_eq!(freshness.freshness_lease_until, awaited.freshness_lease_until);
}

/// Load: hundreds of instances start after a stop of everything, and the log gets a record for each of their runs.
#[test]
fn the_whole_catalogue_is_packed_once_until_the_lists_change() {
    let lists = Arc::new(lists(500, 0, 0));
    let mut catalogue =
        Arc::new(Catalogue { lists: lists.clone(), revision: Revision(100), ..Catalogue::default() });
    let mut deltas = RecentDeltas::default();
    let first = deltas.large_update(&catalogue, Revision::default(), true);
    assert_eq!(first.to, Revision(100));
    let mut apply = |deltas: &mut RecentDeltas, change: CatalogueChange| {
        deltas.forget_updates();
        let catalogue = Arc::make_mut(&mut catalogue);
        let from = catalogue.revision;
        catalogue.revision = Revision(from.0 + 1);
        deltas.push(CatalogueDelta { from, to: catalogue.revision, change });
        deltas.large_update(&Arc::new(catalogue.clone()), Revision::default(), true)
    };
    for _ in 0..300 {
        let update = apply(&mut deltas, CatalogueChange::Nothing);
        assert_eq!((update.to, &update.update), (first.to, &first.update));
    }
    let update = apply(&mut deltas, CatalogueChange::Lists(ListsRevision(2), lists));
    assert_eq!(update.to, Revision(401), "the lists have changed");
    for _ in 0..DELTA_WINDOW {
        apply(&mut deltas, CatalogueChange::Nothing);
    }
    let update = apply(&mut deltas, CatalogueChange::Nothing);
    assert!(update.to > Revision(401), "the changes since are not retained any more");
}
