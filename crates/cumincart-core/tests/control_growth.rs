//! Endpoints that are discovered through presence messages and probes, configurations by version, and changes
//! of membership.

use {
    cumincart_core::control::{
        Core, Effect, Input, Persist, Probe, Settings, Stored, Ticket,
        catalogue::RecentDeltas,
        detection::{Evidence, PROBE_SILENT_AGREED_MS, probe_finds_dead},
        members::{LEADERLESS_JOIN_MS, REPLACE_AFTER_MS},
        presence::{EXPIRE_AFTER_MS, PROBE_CONNECTIONS},
        probe::{FIRST_PROBES_PER_TICK, PROBE_INTERVAL_MS, URGENT_PROBES_PER_TICK},
        reconfiguration::VOTER_SILENT_MS,
        step,
    },
    cumincart_protocol::{
        announcement::{LogState, Presence, Role},
        catalogue::Catalogue,
        change::{Action, Change, ChangeId, Configuration, ConfigurationContent},
        heartbeat::{CatalogueChange, CatalogueDelta, CatalogueUpdate},
        lists::{InteractiveList, Lists, ServiceLimits},
        number::{ControlTerm, Incarnation, ListsRevision, LogIndex, LogPosition, Revision, Timeline},
        patch::ListsPatch,
        peer::PEER_MAX_BYTES,
        replication::{
            Append, AppendAnswer, Ballot, Command, DiskId, Member, Members, Record, ReplicationBody,
            ReplicationMessage, VoteAnswer,
        },
        size::encoded_bytes,
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::sync::Arc,
    test_case::test_case,
};

const SEED: u64 = 47;

fn member(number: u8) -> Member {
    let name = format!("control-{number}");
    Member {
        instance: name.as_str().into(),
        disk: DiskId(format!("disk-{number}").into()),
        peer_address: name.into(),
        domain: None,
    }
}

/// The first of `voters` members; the test writes the messages of the others.
struct Node {
    core: Core,
    now_ms: u64,
}

impl Node {
    fn open(voters: u8) -> Self {
        let voters = (1..=voters).map(member).collect();
        let first_members = Members { voters, ..Members::default() };
        let settings = Settings { member: member(1), incarnation: Incarnation(1), first_members };
        let random = ChaCha20Rng::seed_from_u64(SEED);
        let mut core = Core::open(settings, Stored::default(), random);
        core.probes.is_enabled = true;
        Self { core, now_ms: 1_000 }
    }

    /// Returns a node that is not a member of a group but knows which instances to contact.
    fn non_member() -> Self {
        let mut node = Self::open(0);
        node.core.settings.member = member(9);
        node.core.seeds = [member(1), member(2)].into_iter().collect();
        node
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        let now = self.now();
        step(&mut self.core, now, input, &mut out);
        out
    }

    fn receive(&mut self, from: &Member, term: ControlTerm, body: ReplicationBody) -> Vec<Effect> {
        let message = ReplicationMessage {
            disk: from.disk.clone(),
            peer_address: from.peer_address.clone(),
            incarnation: Incarnation(1),
            domain: None,
            term,
            body,
        };
        self.step(Input::Replication(from.instance.clone(), message))
    }

    fn term(&self) -> ControlTerm {
        self.core.election.ballot.term
    }

    /// Returns a node that was elected leader by all other voters and has committed its first record.
    fn elected_leader(voters: u8) -> Self {
        let mut node = Self::open(voters);
        node.step(Input::Tick);
        node.now_ms += 1_000;
        node.step(Input::Tick);
        let next = node.term().next();
        let vote = VoteAnswer { term: next, granted: true };
        for number in 2..=voters {
            let term = node.term();
            node.receive(&member(number), term, ReplicationBody::PreVoteAnswer(vote.clone()));
        }
        for number in 2..=voters {
            node.receive(&member(number), next, ReplicationBody::VoteAnswer(vote.clone()));
        }
        node.acknowledge_all_records(2..=voters);
        assert!(node.core.election.is_leader());
        node
    }

    /// Makes members acknowledge all records in the log.
    fn acknowledge_all_records(&mut self, numbers: impl IntoIterator<Item = u8>) -> Vec<Effect> {
        let (term, matched) = (self.term(), self.core.log.last_index());
        let sent_at = self.now();
        let mut effects = Vec::new();
        for number in numbers {
            let answer = AppendAnswer { sent_at, success: true, matched };
            effects.extend(self.receive(&member(number), term, ReplicationBody::AppendAnswer(answer)));
        }
        effects
    }

    /// Advances the time while some members answer.
    fn advance_ms(&mut self, span_ms: u64, answering: &[u8]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for _ in 0..span_ms / 100 {
            self.now_ms += 100;
            effects.extend(self.step(Input::Tick));
            effects.extend(self.acknowledge_all_records(answering.iter().copied()));
        }
        effects
    }

    fn group_is_writable(&self) -> bool {
        self.core.catalogue.group(&"ledger".into()).is_some_and(|group| group.writable)
    }

    fn apply_configuration(&mut self, version: u64, document: &str) -> Vec<Effect> {
        self.apply_configuration_with(version, document, &[2, 3])
    }

    /// Sends a configuration whose record only some members acknowledge.
    fn apply_configuration_with(
        &mut self,
        version: u64,
        document: &str,
        acknowledging: &[u8],
    ) -> Vec<Effect> {
        let limits =
            ServiceLimits { service: "ledger".into(), connection_limit: 30, synchronous_replicas: 0 };
        let interactive =
            InteractiveList { services: [limits].into_iter().collect(), ..InteractiveList::default() };
        let lists = Arc::new(Lists { interactive, ..Lists::default() });
        let content = ConfigurationContent::Whole { lists, document: document.into() };
        let action = Action::Replace(Configuration { version, content });
        let id = ChangeId(format!("change-{}", self.now_ms).into());
        self.now_ms += 1;
        let mut effects = self.step(Input::Operator(Ticket(version), Change { id, action }));
        effects.extend(self.acknowledge_all_records(acknowledging.iter().copied()));
        effects
    }
}

fn presence(endpoint: &str, born_ms: u64, sequence: u64) -> Presence {
    Presence {
        endpoint: endpoint.into(),
        service: "ledger".into(),
        address: format!("10.0.0.{}:5432", endpoint.len()).into(),
        domain: "quay".into(),
        slots: 3,
        leaving: false,
        ended: false,
        born_ms,
        sequence,
    }
}

fn probes(effects: &[Effect]) -> Vec<Probe> {
    let probe = |effect: &Effect| match effect {
        Effect::Probe(probe) => Some(probe.clone()),
        _ => None,
    };
    effects.iter().filter_map(probe).collect()
}

fn endpoints(node: &Node) -> Vec<String> {
    let group = node.core.catalogue.group(&"ledger".into());
    group.map_or_else(Vec::new, |group| group.endpoints.iter().map(|entry| entry.name.to_string()).collect())
}

fn with_endpoint() -> Node {
    let mut node = Node::elected_leader(3);
    node.apply_configuration(1, "{}");
    node.step(Input::Present(presence("db", 100, 1)));
    node.acknowledge_all_records(2..=3);
    node
}

#[test]
fn a_presence_creates_an_entry_that_reserves_connections_for_probes() {
    let node = with_endpoint();
    let group = node.core.catalogue.group(&"ledger".into()).expect("the group exists");
    let entry = group.endpoints.get(&"db".into()).expect("the endpoint has an entry");
    assert_eq!(entry.connection_limit, 30 - PROBE_CONNECTIONS);
}

#[test]
fn a_presence_for_an_unconfigured_service_creates_no_entry() {
    let mut node = Node::elected_leader(3);
    node.apply_configuration(1, "{}");
    node.step(Input::Present(Presence { service: "unknown".into(), ..presence("db", 100, 1) }));
    node.acknowledge_all_records(2..=3);
    assert!(node.core.catalogue.groups.is_empty());
}

fn foreign_presence(endpoint: &str, born_ms: u64) -> Presence {
    Presence {
        service: "unknown".into(),
        address: "10.0.0.2:5432".into(),
        ..presence(endpoint, born_ms, 1_000)
    }
}

fn is_leaving(node: &Node) -> bool {
    let group = node.core.catalogue.group(&"ledger".into()).expect("the group exists");
    group.endpoints.get(&"db".into()).expect("it has an entry").leaving
}

/// Guards against a drain that is acknowledged and ignored, because a message for a service that is not configured names
/// the same address or endpoint.
#[test_case("other"; "at the address of the endpoint")]
#[test_case("db"; "under the name of the endpoint")]
fn a_presence_for_an_unconfigured_service_hides_no_later_one(name: &str) {
    let mut node = with_endpoint();
    node.step(Input::Present(foreign_presence(name, 900)));
    node.step(Input::Present(Presence { leaving: true, ..presence("db", 100, 2) }));
    node.acknowledge_all_records(2..=3);
    assert!(is_leaving(&node));
}

/// Guards against the replacement of a primary, because a message for a service that is not configured names its address.
#[test]
fn a_presence_for_an_unconfigured_service_does_not_replace_a_silent_primary() {
    let mut node = with_primary();
    node.step(Input::Present(foreign_presence("other", 900)));
    node.acknowledge_all_records(2..=3);
    node.advance_ms(PROBE_SILENT_AGREED_MS + 200, &[2, 3]);
    assert!(node.group_is_writable());
}

/// Guards against a drain that is hidden by a message of another endpoint with the same address and a later start, although
/// the endpoint itself answers there.
#[test]
fn a_later_run_at_an_address_hides_no_endpoint_that_answers_there() {
    let mut node = with_endpoint();
    let claimed = Presence { address: "10.0.0.2:5432".into(), ..presence("claimant", 900, 1) };
    node.step(Input::Present(claimed.clone()));
    node.acknowledge_all_records(2..=3);
    let state = LogState { role: Role::Replica, timeline: Timeline(3), position: LogPosition(7), lag_ms: 0 };
    for sequence in 2..10 {
        let asked = probes(&node.advance_ms(PROBE_INTERVAL_MS, &[2, 3]));
        for probe in asked.into_iter().filter(|probe| probe.endpoint.as_str() == "db") {
            node.step(Input::Probed(probe, Some(state)));
        }
        node.step(Input::Present(Presence { sequence, ..claimed.clone() }));
        node.acknowledge_all_records(2..=3);
    }
    node.step(Input::Present(Presence { leaving: true, ..presence("db", 100, 2) }));
    node.acknowledge_all_records(2..=3);
    assert!(is_leaving(&node));
}

/// Endpoints announce themselves before the first configuration arrives.
#[test]
fn a_presence_from_before_the_configuration_creates_an_entry_once_its_service_is_configured() {
    let mut node = Node::elected_leader(3);
    node.step(Input::Present(presence("db", 100, 1)));
    node.apply_configuration(1, "{}");
    node.advance_ms(200, &[2, 3]);
    assert_eq!(endpoints(&node), ["db"]);
}

/// Guards against memory that grows with the messages of other systems.
#[test]
fn presences_for_unconfigured_services_are_dropped_once_silent() {
    let mut node = with_endpoint();
    for number in 0..20 {
        node.step(Input::Present(foreign_presence(&format!("other-{number}"), 900)));
    }
    node.advance_ms(EXPIRE_AFTER_MS + 200, &[2, 3]);
    assert!(
        (0..20).all(|number| node.core.presences.get(&format!("other-{number}").as_str().into()).is_none())
    );
}

#[test_case(presence("db", 100, 1); "the same again")]
#[test_case(presence("db", 50, 9); "an earlier run")]
#[test_case(Presence { address: "10.0.0.2:5432".into(), ..presence("old", 50, 9) }; "an earlier run under another name at the address")]
fn an_outdated_presence_changes_nothing(late: Presence) {
    let mut node = with_endpoint();
    node.step(Input::Present(Presence { leaving: true, ..late }));
    node.acknowledge_all_records(2..=3);
    assert_eq!(endpoints(&node), ["db"]);
    let group = node.core.catalogue.group(&"ledger".into()).expect("the group exists");
    assert!(!group.endpoints.get(&"db".into()).expect("it has an entry").leaving);
}

#[test]
fn a_leader_probes_endpoints_and_records_the_answers_as_announcements() {
    let mut node = with_endpoint();
    let asked = probes(&node.advance_ms(PROBE_INTERVAL_MS, &[2, 3]));
    let probe = asked.last().expect("the endpoint is probed").clone();
    let state =
        LogState { role: Role::Replica, timeline: Timeline(3), position: LogPosition(1_209), lag_ms: 12 };
    node.step(Input::Probed(probe.clone(), Some(state)));
    let received = node.core.announcements.get(&"db".into()).expect("the answer counts");
    assert_eq!(received.announcement.position, LogPosition(1_209));
    assert_eq!(received.received_at, probe.sent_at, "the answer describes the time of the probe or later");
}

/// Load: 200 endpoints whose group has no primary, as at a start of everything.
#[test]
fn the_probes_of_many_endpoints_are_bounded_and_leave_none_out() {
    let mut node = Node::elected_leader(3);
    node.apply_configuration(1, "{}");
    for number in 0..200 {
        let address = format!("10.0.1.{number}:5432").into();
        node.step(Input::Present(Presence { address, ..presence(&format!("db-{number:03}"), 100, 1) }));
    }
    node.acknowledge_all_records(2..=3);
    let mut asked: Vec<Vec<Probe>> = Vec::new();
    for _ in 0..200 {
        node.now_ms += 10;
        let sent = probes(&node.step(Input::Tick));
        let answer =
            LogState { role: Role::Replica, timeline: Timeline(3), position: LogPosition(7), lag_ms: 0 };
        for probe in &sent {
            node.step(Input::Probed(probe.clone(), Some(answer)));
        }
        node.acknowledge_all_records(2..=3);
        asked.push(sent);
    }
    assert!(asked.iter().all(|sent| sent.len() <= FIRST_PROBES_PER_TICK + 2 * URGENT_PROBES_PER_TICK));
    for number in 0..200 {
        let name = format!("db-{number:03}");
        let times: Vec<usize> = (0..asked.len())
            .filter(|tick| asked[*tick].iter().any(|probe| probe.endpoint.as_str() == name))
            .collect();
        assert!(times.first().is_some_and(|first| *first < 30), "{name}: {times:?}");
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        let limit = usize::try_from(PROBE_INTERVAL_MS).expect("it is small") / 10 + 1;
        assert!(gaps.max().is_some_and(|longest| longest <= limit), "{name}: {times:?}");
    }
}

/// An endpoint that has moved no longer counts at its earlier address.
#[test]
fn a_run_at_an_address_that_another_endpoint_has_left_is_not_outdated() {
    let mut node = with_endpoint();
    node.step(Input::Present(Presence { address: "10.0.0.9:5432".into(), ..presence("db", 500, 1) }));
    node.acknowledge_all_records(2..=3);
    node.step(Input::Present(Presence {
        address: presence("db", 1, 1).address,
        ..presence("other", 300, 1)
    }));
    node.acknowledge_all_records(2..=3);
    assert_eq!(endpoints(&node), ["db", "other"]);
    node.step(Input::Present(Presence { address: "10.0.0.9:5432".into(), ..presence("late", 400, 1) }));
    node.acknowledge_all_records(2..=3);
    assert_eq!(endpoints(&node), ["db", "other"], "a later run has that address");
}

#[test]
fn an_endpoint_without_presences_and_answers_is_removed() {
    let mut node = with_endpoint();
    node.advance_ms(EXPIRE_AFTER_MS + 1_000, &[2, 3]);
    assert!(endpoints(&node).is_empty());
}

/// Returns a node whose group has the endpoint as the primary of an open term.
fn with_primary() -> Node {
    let mut node = with_endpoint();
    for _ in 0..10 {
        for probe in probes(&node.advance_ms(100, &[2, 3])) {
            let state =
                LogState { role: Role::Primary, timeline: Timeline(3), position: LogPosition(7), lag_ms: 0 };
            node.step(Input::Probed(probe, Some(state)));
        }
    }
    assert!(node.group_is_writable(), "the primary is adopted");
    node
}

#[test]
fn a_primary_whose_address_a_later_run_has_taken_is_replaced_once_it_is_silent() {
    let mut node = with_primary();
    node.step(Input::Present(Presence { address: "10.0.0.2:5432".into(), ..presence("restarted", 900, 1) }));
    node.acknowledge_all_records(2..=3);
    assert!(node.group_is_writable(), "an announcement alone may be late");
    node.advance_ms(PROBE_SILENT_AGREED_MS + 200, &[2, 3]);
    assert!(!node.group_is_writable(), "its run is over");
}

#[test]
fn a_primary_stays_while_only_an_earlier_run_at_its_address_announces_itself() {
    let mut node = with_primary();
    node.step(Input::Present(Presence { address: "10.0.0.2:5432".into(), ..presence("earlier", 50, 1) }));
    node.acknowledge_all_records(2..=3);
    node.advance_ms(PROBE_SILENT_AGREED_MS + 200, &[2, 3]);
    assert!(node.group_is_writable());
}

#[test_case(1_600, 0, 0, true; "silent, and no instance reaches it")]
#[test_case(1_600, 0, 1, false; "one failure domain still reaches it")]
#[test_case(900, 0, 0, false; "one probe missed")]
#[test_case(700, 2, 0, true; "two failure domains agree")]
#[test_case(700, 1, 0, false; "only one failure domain does not reach it")]
#[test_case(700, 2, 1, false; "one failure domain reaches it")]
#[test_case(500, 2, 0, false; "no probe has timed out yet")]
fn the_evidence_on_a_probed_endpoint(
    silent_ms: u64,
    domains_not_reaching: usize,
    domains_reaching: usize,
    dead: bool,
) {
    let evidence = Evidence { silent_ms, domains: 3, domains_not_reaching, domains_reaching };
    assert_eq!(probe_finds_dead(&evidence), dead);
}

#[test]
fn the_highest_version_is_current_and_a_retry_is_accepted() {
    let mut node = Node::elected_leader(3);
    for (version, document) in [(7, "seven"), (9, "nine"), (8, "eight"), (9, "another nine")] {
        let effects = node.apply_configuration(version, document);
        let accepted = effects.iter().any(|effect| matches!(effect, Effect::AnswerOperator(_, Ok(_))));
        assert!(accepted, "version {version} is acknowledged");
    }
    let document = node.core.document.as_ref().expect("one is in force");
    assert_eq!((document.version, &*document.document), (9, "nine"));
}

#[test]
fn the_log_stores_patches_and_nothing_for_an_outdated_configuration() {
    let mut node = Node::elected_leader(3);
    let long = "x".repeat(100_000);
    node.apply_configuration(1, &format!("{long}1{long}"));
    node.apply_configuration(2, &format!("{long}2{long}"));
    node.apply_configuration(2, &format!("{long}3{long}"));
    let sizes: Vec<usize> = node
        .core
        .log
        .after(LogIndex(0), usize::MAX)
        .iter()
        .filter_map(|record| match &record.command {
            Command::Operator(Change { action: Action::Replace(new), .. }) => Some(new.content.size()),
            _ => None,
        })
        .collect();
    assert_eq!(sizes, [400_002, 2, 0]);
    let document = node.core.document.as_ref().expect("one is in force");
    assert_eq!(&*document.document, format!("{long}2{long}"));
}

#[test]
fn large_configurations_compact_the_log() {
    let mut node = Node::elected_leader(3);
    let mut snapshots = 0;
    for version in 0..8 {
        // The documents have nothing in common, so each patch is nearly as large as the document.
        let document = char::from(b'a' + version).to_string().repeat(400_000);
        let effects = node.apply_configuration(u64::from(version) + 1, &document);
        let is_snapshot = |effect: &&Effect| matches!(effect, Effect::Persist(Persist::Snapshot(_)));
        snapshots += effects.iter().filter(is_snapshot).count();
    }
    assert_eq!(snapshots, 1);
    assert!(node.core.log.configuration_bytes() < 4 * 1024 * 1024);
}

// Guards against a message that joins so many configurations that the receiver drops it, and each later one.
#[test]
fn configurations_that_a_follower_lacks_are_sent_in_messages_that_it_accepts() {
    let mut node = Node::elected_leader(3);
    for version in 0..6 {
        let document = char::from(b'a' + version).to_string().repeat(10 << 20);
        node.apply_configuration_with(u64::from(version) + 1, &document, &[]);
    }
    let term = node.term();
    node.now_ms += 10;
    let last = node.core.log.last_index();
    let mut matched = LogIndex(last.0 - 6);
    let mut messages = 0;
    while matched < last {
        let answer = AppendAnswer { sent_at: node.now(), success: messages > 0, matched };
        let effects = node.receive(&member(2), term, ReplicationBody::AppendAnswer(answer));
        let sent = effects.iter().find_map(|effect| match effect {
            Effect::Send(to, ReplicationMessage { body: ReplicationBody::Append(append), .. })
                if to.instance == member(2).instance =>
            {
                Some(append)
            }
            _ => None,
        });
        let append = sent.expect("the follower is sent what it lacks");
        assert!(encoded_bytes(append) < PEER_MAX_BYTES, "{} bytes", encoded_bytes(append));
        matched = append.records.last().expect("there are records").index;
        messages += 1;
        node.now_ms += 10;
    }
    assert_eq!(messages, 6);
}

// Guards against an update that joins so many changes of the lists that the receiver drops it, and each later one.
#[test]
fn changes_of_the_lists_that_an_instance_lacks_are_sent_in_a_message_that_it_accepts() {
    let lists = |name: &str| {
        let limits = ServiceLimits {
            service: name.repeat(11 << 20).into(),
            connection_limit: 30,
            synchronous_replicas: 0,
        };
        let services = [limits].into_iter().collect();
        Lists { interactive: InteractiveList { services, ..InteractiveList::default() }, ..Lists::default() }
    };
    let mut deltas = RecentDeltas::default();
    let mut current = Lists::default();
    for (revision, name) in (0..).zip(["a", "b", "c", "d"]) {
        let next = lists(name);
        let patch = Arc::new(ListsPatch::between(&current, &next));
        let change = CatalogueChange::ListsPatch(ListsRevision(revision + 1), patch);
        deltas.push(CatalogueDelta { from: Revision(revision), to: Revision(revision + 1), change });
        current = next;
    }
    let catalogue = Catalogue { revision: Revision(4), lists: Arc::new(current), ..Catalogue::default() };
    let catalogue = Arc::new(catalogue);
    for from in 0..4 {
        let update = deltas.update(&catalogue, Revision(from));
        assert!(encoded_bytes(&update) < PEER_MAX_BYTES, "{} bytes", encoded_bytes(&update));
        assert_eq!(matches!(update, CatalogueUpdate::Deltas(_)), from == 3);
    }
}

/// A member resumes after a freeze and rejects each of the many messages that were queued meanwhile.
#[test]
fn a_backlog_of_rejections_is_answered_by_one_message() {
    let mut node = Node::elected_leader(3);
    node.apply_configuration_with(1, &"x".repeat(10_000), &[3]);
    let term = node.term();
    node.now_ms += 10;
    let mut messages_with_records = 0;
    for _ in 0..50 {
        let answer =
            AppendAnswer { sent_at: Instant::from_millis(500), success: false, matched: LogIndex(1) };
        let effects = node.receive(&member(2), term, ReplicationBody::AppendAnswer(answer));
        let carries = |effect: &&Effect| match effect {
            Effect::Send(_, message) => {
                matches!(&message.body, ReplicationBody::Append(append) if !append.records.is_empty())
            }
            _ => false,
        };
        messages_with_records += effects.iter().filter(carries).count();
    }
    assert_eq!(messages_with_records, 1);
}

#[test]
fn a_silent_voter_is_removed_from_an_even_group_but_not_from_three() {
    let mut four = Node::elected_leader(4);
    four.advance_ms(VOTER_SILENT_MS + 500, &[2, 3]);
    let voters: Vec<String> =
        four.core.log.members().voters.iter().map(|voter| voter.instance.to_string()).collect();
    assert_eq!(voters, ["control-1", "control-2", "control-3"]);
    let mut three = Node::elected_leader(3);
    three.advance_ms(60_000, &[2]);
    assert_eq!(three.core.log.members().voters.len(), 3);
}

#[test]
fn a_non_member_asks_the_seeds_and_follows_an_unknown_leader() {
    let mut node = Node::non_member();
    let asked: Vec<Effect> = node.step(Input::Tick);
    let joins = |effect: &&Effect| matches!(effect, Effect::Send(_, message) if matches!(message.body, ReplicationBody::Join(_)));
    assert_eq!(asked.iter().filter(joins).count(), 2);
    let members = Members {
        voters: [member(1), member(2), member(3)].into_iter().collect(),
        learners: [member(9)].into_iter().collect(),
        ..Members::default()
    };
    let record = Record { index: LogIndex(1), term: ControlTerm(4), command: Command::Members(members) };
    let append = Append {
        previous_index: LogIndex(0),
        previous_term: ControlTerm(0),
        records: vec![record],
        commit: LogIndex(1),
        sent_at: Instant::ZERO,
    };
    node.receive(&member(3), ControlTerm(4), ReplicationBody::Append(append));
    assert_eq!(node.core.log.commit, LogIndex(1));
    assert_eq!(node.core.election.leader(), Some(&member(3).instance));
}

#[test]
fn a_member_does_not_follow_a_leader_outside_its_group() {
    let mut node = Node::elected_leader(3);
    let non_member = member(7);
    let append = Append {
        previous_index: LogIndex(0),
        previous_term: ControlTerm(0),
        records: Vec::new(),
        commit: LogIndex(0),
        sent_at: Instant::ZERO,
    };
    node.receive(&non_member, ControlTerm(99), ReplicationBody::Append(append));
    assert!(node.core.election.is_leader());
}

#[test]
fn a_leader_adds_an_unknown_instance_as_a_learner() {
    let mut node = Node::elected_leader(3);
    node.advance_ms(500, &[2, 3]);
    let (new_member, term) = (member(7), ControlTerm(0));
    node.receive(&new_member, term, ReplicationBody::Join(new_member.clone()));
    assert!(node.core.log.members().learners.contains(&new_member.instance));
}

/// Guards against an instance with a new disk that takes itself for a member while the leader does not: it was removed
/// from the learners while it was cut off, and hears the leader in place of its old disk.
#[test]
fn an_answer_from_a_new_disk_of_a_silent_member_adds_it_as_a_learner() {
    let mut node = Node::elected_leader(3);
    node.advance_ms(REPLACE_AFTER_MS + 500, &[2]);
    let repaired = Member { disk: DiskId("new disk".into()), ..member(3) };
    let answer = AppendAnswer { sent_at: node.now(), success: false, matched: LogIndex(0) };
    let term = node.term();
    node.receive(&repaired, term, ReplicationBody::AppendAnswer(answer));
    assert_eq!(node.core.log.members().learners.get(&repaired.instance), Some(&repaired));
}

/// A member that was removed during a network partition still considers itself a member.
#[test]
fn a_member_that_hears_no_leader_sends_join_requests() {
    let mut node = Node::elected_leader(3);
    node.receive(
        &member(2),
        ControlTerm(50),
        ReplicationBody::Append(Append {
            previous_index: LogIndex(0),
            previous_term: ControlTerm(0),
            records: Vec::new(),
            commit: LogIndex(0),
            sent_at: Instant::ZERO,
        }),
    );
    let is_join = |effect: &Effect| matches!(effect, Effect::Send(_, message) if matches!(message.body, ReplicationBody::Join(_)));
    node.now_ms += LEADERLESS_JOIN_MS - 100;
    assert!(!node.step(Input::Tick).iter().any(is_join));
    node.now_ms += 200;
    assert!(node.step(Input::Tick).iter().any(is_join));
}

#[test]
fn an_election_changes_the_ballot_of_a_new_group() {
    let node = Node::elected_leader(3);
    assert_ne!(node.core.election.ballot, Ballot::default());
}
