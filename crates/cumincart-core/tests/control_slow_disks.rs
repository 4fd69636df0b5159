//! Elections and leadership while disks are slow, as beside heavy writes of other processes. A sync that took longer
//! than an election timeout prevented every election: the candidate gave up before the voters had stored their votes,
//! and each record of the start cost a sync of its own.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, set_domain},
    cumincart_core::control::{
        Effect, Persist, batch_effects,
        response_time::{RESPONSE_TIME_MAX_MS, ResponseTime},
    },
    cumincart_protocol::{
        name::InstanceName,
        number::{ControlTerm, LogIndex},
        replication::{Ballot, Command, Record},
        time::Instant,
    },
    std::time::Duration,
    test_case::test_case,
};

/// How long a start of all instances may take, in milliseconds: a caller's patience.
const START_MAX_MS: u64 = 10_000;

fn start(seed: u64, sync_ms: u64) -> Fleet {
    let mut fleet = Fleet::start(FleetConfig::telvara(seed));
    fleet.set_sync_ms(sync_ms);
    fleet
}

#[test_case(50)]
#[test_case(200)]
#[test_case(400)]
fn a_fleet_with_slow_disks_starts_in_time(sync_ms: u64) {
    for seed in 0..8 {
        let mut fleet = start(seed, sync_ms);
        let serves = fleet.run_until(START_MAX_MS, |fleet| {
            fleet.entries.iter().all(|entry| entry.group().is_some_and(|group| group.writable))
        });
        assert!(serves, "seed {seed}: nothing is served: {:#?}", fleet.log_lines);
        fleet.submit_change("out", &set_domain("nowhere", true));
        fleet.check_writes();
    }
}

#[test]
fn a_leader_with_slow_followers_goes_on_leading() {
    let mut fleet = start(1, 0);
    fleet.wait_until_ready();
    let leader = fleet.expect_leader();
    for control in (0..fleet.controls.len()).filter(|control| *control != leader) {
        fleet.controls[control].sync_ms = 700;
    }
    let before = fleet.controls[leader].core.as_ref().map(|core| core.election.ballot.term);
    for number in 0..3 {
        // The first change may end the leadership, because the delay is not known yet.
        fleet.submit_change(&format!("change-{number}"), &set_domain("nowhere", number % 2 == 0));
    }
    fleet.run_ms(5_000);
    let leader = fleet.expect_leader();
    let term = fleet.controls[leader].core.as_ref().map(|core| core.election.ballot.term);
    let changes = term.map_or(0, |term| term.0) - before.map_or(0, |term| term.0);
    assert!(changes <= 2, "{changes} terms passed: {:#?}", fleet.log_lines);
    fleet.check_writes();
}

#[test]
fn a_dead_leader_is_replaced_after_the_disks_are_fast_again() {
    let mut fleet = start(2, 300);
    assert!(fleet.run_until(START_MAX_MS, |fleet| fleet.leader().is_some()));
    fleet.set_sync_ms(0);
    fleet.run_ms(30_000);
    let leader = fleet.expect_leader();
    fleet.crash(leader);
    assert!(fleet.run_until(2_000, |fleet| fleet.leader().is_some()), "{:#?}", fleet.log_lines);
}

#[test]
fn the_allowance_for_slow_answers_is_bounded_and_ends() {
    let mut response_time = ResponseTime::default();
    let at = |seconds: u64| Instant::from_millis(seconds * 1_000);
    response_time.observe(at(1), Duration::from_millis(400));
    response_time.observe(at(2), Duration::from_millis(10));
    assert_eq!(response_time.allowance(at(3)), Duration::from_millis(800));
    response_time.observe(at(3), Duration::from_secs(60));
    assert_eq!(response_time.allowance(at(3)), Duration::from_millis(2 * RESPONSE_TIME_MAX_MS));
    assert!(response_time.allowance(at(60)) < Duration::from_millis(10));
}

fn ballot(term: u64) -> Effect {
    Effect::Persist(Persist::Ballot(Ballot { term: ControlTerm(term), voted_for: None }))
}

fn append(index: u64) -> Effect {
    let record = Record { index: LogIndex(index), term: ControlTerm(1), command: Command::Open };
    Effect::Persist(Persist::Append(vec![record]))
}

#[test]
fn the_writes_of_several_inputs_share_a_sync() {
    let log = |text: &str| Effect::Log(text.into());
    let mut effects = vec![ballot(1), log("a"), ballot(2), append(1), log("b"), append(2)];
    batch_effects(&mut effects);
    let describe = |effect: &Effect| match effect {
        Effect::Persist(Persist::Ballot(ballot)) => format!("ballot {}", ballot.term),
        Effect::Persist(Persist::Append(records)) => {
            format!("append {:?}", records.iter().map(|record| record.index.0).collect::<Vec<_>>())
        }
        Effect::Log(text) => text.to_string(),
        other => format!("{other:?}"),
    };
    let described: Vec<String> = effects.iter().map(describe).collect();
    assert_eq!(described, ["ballot 2", "append [1, 2]", "a", "b"]);
}

#[test]
fn writes_that_do_not_commute_keep_their_order() {
    let truncate = Effect::Persist(Persist::TruncateFrom(LogIndex(2)));
    let vote = Ballot { term: ControlTerm(3), voted_for: Some(InstanceName::from("control-1")) };
    let mut effects = vec![append(2), truncate, append(2), Effect::Persist(Persist::Ballot(vote)), append(3)];
    let before = format!("{effects:?}");
    batch_effects(&mut effects);
    assert_eq!(format!("{effects:?}"), before);
}
