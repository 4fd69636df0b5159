//! Groups with synchronous replicas: no promotion loses a commit that was acknowledged, and none waits for more answers than
//! that takes.

#[path = "support/synchronous_group.rs"]
mod synchronous_group;

use {
    cumincart_core::control::{announcements::Announcements, commit_holders::permit_promotion},
    cumincart_protocol::{
        announcement::{Announcement, Role},
        catalogue::{CommitHolders, EndpointEntry, Group, TermStart},
        number::{LogPosition, Term, Timeline},
    },
    synchronous_group::{Change, Database, World},
    test_case::test_case,
};

const TIMELINE: Timeline = Timeline(3);

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("db-{number}").as_str().into(),
        address: format!("10.0.0.{number}:1").into(),
        domain: "sofia-a".into(),
        slots: 3,
        connection_limit: 30,
        leaving: false,
    }
}

fn group(endpoints: usize, replicas: u32, primary: Option<usize>) -> Group {
    Group {
        service: "ledger".into(),
        term: Term(4),
        primary: None,
        writable: false,
        endpoints: (0..endpoints).map(entry).collect(),
        term_starts: vec![TermStart { term: Term(3), timeline: TIMELINE, position: LogPosition(10) }],
        commit_holders: CommitHolders { primary: primary.map(|number| entry(number).name), replicas },
    }
}

fn answer(number: usize) -> Announcement {
    let entry = entry(number);
    Announcement {
        endpoint: entry.name,
        service: "ledger".into(),
        address: entry.address,
        domain: entry.domain,
        role: Role::Replica,
        timeline: TIMELINE,
        position: LogPosition(20),
        lag_ms: 0,
        slots: 3,
        connection_limit: 30,
        leaving: false,
    }
}

/// Returns all sets of endpoints that may hold an acknowledged commit: a primary and so many replicas.
fn holding_sets(endpoints: usize, replicas: u32, primary: Option<usize>) -> Vec<u32> {
    let primaries: Vec<usize> = primary.map_or_else(|| (0..endpoints).collect(), |primary| vec![primary]);
    let is_held = |set: &u32| {
        set.count_ones() == replicas + 1 && primaries.iter().any(|primary| set & (1 << primary) != 0)
    };
    (0..1_u32 << endpoints).filter(is_held).collect()
}

/// Guards against a promotion that is permitted without an endpoint that holds an acknowledged commit, in every group of up
/// to seven endpoints, and against one that waits although every such commit is held by an endpoint that has answered.
#[test_case(true; "with a known primary")]
#[test_case(false; "without a known primary")]
fn the_answers_that_permit_a_promotion_are_those_that_meet_every_holding_set(is_primary_known: bool) {
    for endpoints in 1..=7 {
        for replicas in 1..endpoints as u32 {
            let primary = is_primary_known.then_some(endpoints / 2);
            let group = group(endpoints, replicas, primary);
            let holding = holding_sets(endpoints, replicas, primary);
            for answered in 0..1_u32 << endpoints {
                let answers: Vec<Announcement> =
                    (0..endpoints).filter(|number| answered & (1 << number) != 0).map(answer).collect();
                let answers: Vec<&Announcement> = answers.iter().collect();
                let permitted = permit_promotion(&group, &Announcements::default(), &answers, 0, TIMELINE);
                let meets_all = holding.iter().all(|set| set & answered != 0);
                assert_eq!(
                    permitted, meets_all,
                    "{endpoints} endpoints, {replicas} replicas, answered {answered:b}"
                );
            }
        }
    }
}

#[test]
fn an_endpoint_that_joins_and_has_not_answered_may_hold_a_commit() {
    let group = group(3, 1, Some(0));
    let answers = [answer(1), answer(2)];
    let answers: Vec<&Announcement> = answers.iter().collect();
    assert!(permit_promotion(&group, &Announcements::default(), &answers, 0, TIMELINE));
    assert!(!permit_promotion(&group, &Announcements::default(), &answers, 1, TIMELINE));
}

#[test]
fn a_former_primary_that_was_rolled_back_holds_no_more_than_others() {
    let group = group(5, 1, Some(0));
    let mut former = answer(0);
    let permits = |former: &Announcement| {
        permit_promotion(&group, &Announcements::default(), &[former, &answer(1)], 0, TIMELINE)
    };
    assert!(permits(&former));
    former.timeline = Timeline(TIMELINE.0 + 1);
    assert!(!permits(&former));
}

#[test]
fn the_log_of_an_endpoint_that_has_ended_is_at_its_address() {
    let mut group = group(4, 1, Some(0));
    let ended = EndpointEntry { leaving: true, ..entry(3) };
    let successor = EndpointEntry { name: "successor".into(), ..entry(3) };
    group.endpoints.insert(ended);
    let permits = |group: &Group, answers: &[&Announcement]| {
        permit_promotion(group, &Announcements::default(), answers, 0, TIMELINE)
    };
    assert!(!permits(&group, &[&answer(1), &answer(2)]));
    group.endpoints.insert(successor);
    let successor = Announcement { endpoint: "successor".into(), ..answer(3) };
    assert!(!permits(&group, &[&answer(1), &answer(2)]));
    assert!(permits(&group, &[&answer(1), &answer(2), &successor]));
}

/// Guards against acknowledged commits that are lost in a group of five with a synchronous replica: the primary and the
/// only replica that has the last commits are down for a while.
#[test]
fn a_promotion_waits_for_the_replica_that_may_have_the_last_commits() {
    for (down_ms, databases, replicas) in
        [(7_000, 5, 1), (40_000, 5, 1), (7_000, 6, 1), (7_000, 6, 2), (7_000, 4, 1)]
    {
        let mut world = World::start(7, databases, replicas);
        // The replica beside the primary has each commit first.
        let near: Vec<usize> = (1..=replicas as usize).collect();
        world.databases[replicas as usize + 1..].iter_mut().for_each(|database| database.lag_ms = 30);
        world.run_ms(3_000);
        world.crash(0);
        near.iter().for_each(|replica| world.crash(*replica));
        world.run_ms(down_ms);
        assert_eq!(world.promotions, 0, "{databases} databases with {replicas} replicas");
        world.restart(near[0]);
        world.run_ms(5_000);
        assert_eq!(world.violations, Vec::<String>::new());
        assert!(world.is_writable(), "{databases} databases with {replicas} replicas: {:?}", world.group());
    }
}

/// Guards against a wait where the answers are enough: all replicas but fewer than hold each commit.
#[test_case(3, 1, 0; "three with one replica")]
#[test_case(5, 1, 0; "five with one replica")]
#[test_case(5, 2, 1; "five with two replicas")]
#[test_case(5, 3, 2; "five with three replicas, fewer than a majority")]
#[test_case(2, 1, 0; "two with one replica")]
fn a_promotion_does_not_wait_for_more(databases: usize, replicas: u32, also_down: usize) {
    let mut world = World::start(8, databases, replicas);
    world.run_ms(3_000);
    for database in 0..=also_down {
        world.crash(database);
    }
    world.run_ms(4_000);
    assert!(world.is_writable(), "{:?}", world.group());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a replica that leaves with the only other copy of a commit.
#[test]
fn a_replica_that_has_left_counts_until_the_others_have_what_it_had() {
    for moment_ms in (0..4_000).step_by(100) {
        let mut world = World::start(9, 3, 1);
        world.databases[2].lag_ms = u64::MAX;
        world.run_ms(3_000);
        world.leave(1, None);
        world.run_ms(moment_ms);
        world.crash(0);
        world.run_ms(5_000);
        assert_eq!(world.promotions, 0, "{moment_ms} ms after the replica has left");
        world.restart(0);
        world.databases.iter_mut().for_each(|database| database.lag_ms = 10);
        world.run_ms(5_000);
        assert!(world.is_writable(), "{moment_ms} ms: {:?}", world.group());
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// Guards against the answer of a replica that has come back under its name without its log, and the only other copy.
#[test]
fn a_replica_that_has_lost_its_log_does_not_count() {
    let mut world = World::start(13, 3, 1);
    world.run_ms(3_000);
    world.databases[2].lag_ms = u64::MAX;
    world.run_ms(3_000);
    world.crash(1);
    world.lose_log(1);
    world.databases[1].lag_ms = u64::MAX;
    world.restart(1);
    world.run_ms(2_000);
    world.crash(0);
    world.run_ms(8_000);
    assert_eq!(world.promotions, 0);
    world.restart(0);
    world.run_ms(5_000);
    assert!(world.is_writable(), "{:?}", world.group());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a group that keeps an endpoint for good, and waits for it at each later failure.
#[test]
fn a_replica_that_has_left_or_is_gone_is_removed_once_others_have_its_log() {
    let mut world = World::start(10, 5, 1);
    world.run_ms(3_000);
    world.leave(1, None);
    world.crash(2);
    world.run_ms(5_000);
    assert_eq!(world.group().endpoints.len(), 4, "the one that has left");
    world.run_ms(20_000);
    assert_eq!(world.group().endpoints.len(), 3, "the silent one");
    world.crash(0);
    world.run_ms(4_000);
    assert!(world.is_writable());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against commits that were acknowledged by fewer replicas than the lists ask for now, or by more.
#[test_case(1, 2; "raised")]
#[test_case(2, 1; "lowered")]
#[test_case(1, 0; "switched off")]
#[test_case(0, 1; "switched on")]
fn a_changed_setting_counts_for_commits_from_then_on(before: u32, after: u32) {
    for moment_ms in (0..3_000).step_by(50) {
        let mut world = World::start(11, 5, before);
        world.run_ms(3_000);
        world.databases[2..].iter_mut().for_each(|database| database.lag_ms = 40);
        world.run_ms(200);
        world.set_replicas(after);
        world.run_ms(moment_ms);
        world.crash(0);
        world.crash(1);
        world.run_ms(6_000);
        world.restart(1);
        world.run_ms(6_000);
        assert_eq!(world.violations, Vec::<String>::new(), "{moment_ms} ms after the change");
        assert!(world.is_writable(), "{moment_ms} ms after the change: {:?}", world.group());
    }
}

/// Operators can give up what only missing endpoints hold.
#[test]
fn operators_can_end_the_wait_for_endpoints_that_are_gone() {
    let mut world = World::start(12, 5, 1);
    world.run_ms(3_000);
    world.crash(0);
    world.crash(1);
    world.run_ms(60_000);
    assert!(!world.is_writable());
    world.set_replicas(0);
    world.run_ms(3_000);
    assert!(world.is_writable());
}

/// Draws a world and what happens in it: crashes, ends, joins, cuts and changes of the setting, which overlap.
#[test]
fn no_drawn_world_loses_an_acknowledged_commit() {
    let (mut promotions, mut commits) = (0, 0);
    for seed in 0..60 {
        let mut world = World::draw(seed);
        let changes = world.draw_changes();
        for (at_ms, change) in &changes {
            world.run_until_ms(*at_ms);
            world.change(change);
        }
        world.restore();
        world.run_ms(30_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}: {changes:?}");
        assert!(world.is_writable(), "seed {seed}: {:?} after {changes:?}", world.group());
        promotions += world.promotions;
        commits += world.acknowledged();
    }
    assert!(promotions >= 30 && commits >= 10_000, "{promotions} promotions, {commits} commits");
}

/// The worlds that are drawn lose commits once promotions go by majorities; otherwise they would prove nothing.
#[test]
fn drawn_worlds_show_a_promotion_that_loses_commits() {
    let shows = |seed: &u64| {
        let mut world = World::draw(*seed);
        world.ignores_holders = true;
        for (at_ms, change) in world.draw_changes() {
            world.run_until_ms(at_ms);
            world.change(&change);
        }
        !world.violations.is_empty()
    };
    assert!((0..60).filter(shows).count() >= 3);
    let _ = (Change::Crash(0), Database::is_alive);
}
