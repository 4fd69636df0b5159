//! The replicated log under network partitions, frozen processes, restarts and lost disks.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, set_domain},
    cumincart_core::control::{ControlRefusal, snapshot::SNAPSHOT_AFTER_RECORDS},
    cumincart_protocol::{
        change::{Action, Outcome},
        lists::Lists,
        number::ListsRevision,
    },
    std::sync::Arc,
    test_case::test_case,
};

fn apply_lists(base: u64) -> Action {
    Action::Apply { base: ListsRevision(base), lists: Arc::new(Lists::default()) }
}

/// Sets whether a failure domain without endpoints is out of service, and returns the outcome.
fn set_out_of_service(fleet: &mut Fleet, id: &str, out: bool) -> Outcome {
    fleet.submit_change(id, &set_domain("nowhere", out))
}

fn revision(fleet: &Fleet, control: usize) -> u64 {
    fleet.catalogue(control).revision.0
}

fn followers(fleet: &Fleet) -> (usize, Vec<usize>) {
    let leader = fleet.expect_leader();
    (leader, (0..fleet.controls.len()).filter(|index| *index != leader).collect())
}

#[test_case(1; "one")]
#[test_case(3; "three")]
#[test_case(5; "five")]
fn a_group_elects_a_leader_and_all_members_apply_the_same_records(controls: usize) {
    let mut fleet = Fleet::start(FleetConfig { controls, ..FleetConfig::telvara(1) });
    fleet.wait_until_ready();
    set_out_of_service(&mut fleet, "a", true);
    fleet.run_ms(500);
    let leader = fleet.expect_leader();
    for control in 0..controls {
        assert_eq!(fleet.catalogue(control), fleet.catalogue(leader), "{}", fleet.controls[control].name);
    }
    fleet.check_writes();
}

#[test]
fn the_first_leader_needs_the_votes_of_all_members() {
    let mut fleet = Fleet::start(FleetConfig::telvara(2));
    fleet.isolate("control-3");
    fleet.run_ms(5_000);
    assert_eq!(fleet.leader(), None);
    fleet.heal();
    fleet.wait_until_ready();
}

#[test]
fn a_leader_isolated_for_long_accepts_no_change_and_catches_up_afterwards() {
    let mut fleet = Fleet::start(FleetConfig::telvara(3));
    fleet.wait_until_ready();
    let (old, _) = followers(&fleet);
    let name = fleet.controls[old].name.clone();
    fleet.isolate(&name);
    fleet.run_ms(5);
    let lost = fleet.send_change(old, "lost", set_domain("elsewhere", true));
    fleet.run_ms(3_000);
    assert!(matches!(fleet.answer(lost), Some(Err(ControlRefusal::Unknown))), "{:?}", fleet.answer(lost));
    for number in 0..300 {
        set_out_of_service(&mut fleet, &format!("change-{number}"), number % 2 == 0);
    }
    fleet.run_ms(600_000);
    fleet.heal();
    fleet.run_ms(2_000);
    let leader = fleet.expect_leader();
    assert_eq!(fleet.catalogue(old), fleet.catalogue(leader));
    assert!(fleet.catalogue(leader).domains_out.is_empty(), "{:?}", fleet.catalogue(leader).domains_out);
    fleet.check_writes();
}

#[test]
fn a_leader_that_was_frozen_answers_nothing_after_it_resumes() {
    let mut fleet = Fleet::start(FleetConfig::telvara(4));
    fleet.wait_until_ready();
    let (old, _) = followers(&fleet);
    fleet.freeze(old);
    fleet.run_ms(10);
    let late = fleet.send_change(old, "late", set_domain("elsewhere", true));
    fleet.request_status(old);
    fleet.run_ms(8_000);
    let leader = fleet.expect_leader();
    assert_ne!(leader, old);
    fleet.submit_change("out", &set_domain("sofia-a", true));
    fleet.run_ms(3_000);
    let before = fleet.statuses.len();
    fleet.unfreeze(old);
    fleet.run_ms(2_000);
    assert!(
        fleet.statuses[before..].iter().all(|status| status.result.is_err()),
        "a former leader answered a status request"
    );
    assert!(fleet.answer(late).is_some_and(Result::is_err), "{:?}", fleet.answer(late));
    assert_eq!(fleet.catalogue(old), fleet.catalogue(fleet.expect_leader()));
    fleet.check_writes();
}

/// The time in which instances that start together have no links to each other yet, in milliseconds: a refused
/// connection, the pause before the next, and a handshake between regions.
const LINKS_DOWN_MS: u64 = 280;

/// How long after that a leader must stand, in milliseconds: the repetition of a lost request, a pre-vote and a vote.
const ELECTION_MS: u64 = 120;

#[test]
fn a_restart_of_all_instances_does_not_wait_for_an_election_timeout_when_the_first_messages_are_lost() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(FleetConfig::telvara(seed));
        fleet.wait_until_ready();
        for control in 0..3 {
            fleet.crash(control);
        }
        fleet.run_ms(100);
        fleet.config.loss_per_mille = 1_000;
        for control in 0..3 {
            fleet.restart(control);
        }
        fleet.run_ms(LINKS_DOWN_MS);
        fleet.config.loss_per_mille = 0;
        let elected = fleet.run_until(ELECTION_MS, |fleet| fleet.leader().is_some());
        assert!(elected, "seed {seed}: {:#?}", fleet.log_lines);
        fleet.run_ms(1_000);
        fleet.check_writes();
    }
}

/// How long an election without an earlier leader may take, in milliseconds: the longest first timeout (200 ms), two
/// ticks, a pre-vote and a vote, each with a round trip between regions (29 ms with jitter).
const FIRST_ELECTION_MS: u64 = 280;

#[test]
fn two_candidates_at_once_do_not_split_the_votes_of_the_first_election() {
    for seed in 0..30 {
        let mut fleet = Fleet::start(FleetConfig { latency_us: 12_000, ..FleetConfig::telvara(seed) });
        fleet.wait_until_ready();
        for control in 0..3 {
            fleet.crash(control);
        }
        fleet.run_ms(2_000);
        // The third instance stays down, so that each of the others needs the other's vote.
        fleet.restart(0);
        fleet.restart(1);
        let elected = fleet.run_until(FIRST_ELECTION_MS, |fleet| fleet.leader().is_some());
        assert!(elected, "seed {seed}: {:#?}", fleet.log_lines);
        fleet.run_ms(1_000);
        fleet.check_writes();
    }
}

/// The interval at which the instances of a group of six start after a power failure, in milliseconds.
const START_INTERVAL_MS: u64 = 110;

#[test]
fn candidates_that_wait_for_a_quorum_do_not_split_the_votes_when_it_starts() {
    for seed in 0..30 {
        let config = FleetConfig { controls: 6, latency_us: 12_000, ..FleetConfig::telvara(seed) };
        let mut fleet = Fleet::start(config);
        fleet.wait_until_ready();
        for control in 0..6 {
            fleet.crash(control);
        }
        fleet.run_ms(2_000);
        for control in [4, 5, 2, 0] {
            fleet.run_ms(START_INTERVAL_MS);
            fleet.restart(control);
        }
        let elected = fleet.run_until(FIRST_ELECTION_MS, |fleet| fleet.leader().is_some());
        assert!(elected, "seed {seed}: {:#?}", fleet.log_lines);
        fleet.run_ms(1_000);
        fleet.check_writes();
    }
}

#[test]
fn a_candidate_that_reaches_no_quorum_does_not_keep_another_from_leading() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(FleetConfig { latency_us: 12_000, ..FleetConfig::telvara(seed) });
        fleet.wait_until_ready();
        for control in 0..3 {
            fleet.crash(control);
        }
        fleet.run_ms(2_000);
        for control in 0..3 {
            fleet.restart(control);
        }
        // The first instance goes before the others by its name, but reaches only the second, which does not hear it
        // answer.
        fleet.cut("control-1", "control-3");
        fleet.cut_one_way("control-2", "control-1");
        assert!(
            fleet.run_until(3_000, |fleet| fleet.leader().is_some()),
            "seed {seed}: {:#?}",
            fleet.log_lines
        );
    }
}

#[test]
fn accepted_changes_survive_a_restart_of_all_instances() {
    let mut fleet = Fleet::start(FleetConfig::telvara(5));
    fleet.wait_until_ready();
    let outcome = set_out_of_service(&mut fleet, "a", true);
    for control in 0..3 {
        fleet.crash(control);
    }
    fleet.run_ms(100);
    for control in 0..3 {
        fleet.restart(control);
    }
    assert!(fleet.run_until(3_000, |fleet| fleet.leader().is_some()));
    assert_eq!(set_out_of_service(&mut fleet, "a", true), outcome);
    fleet.run_ms(1_000);
    assert!(fleet.catalogue(fleet.expect_leader()).is_domain_out(&"nowhere".into()));
    fleet.check_writes();
}

#[test]
fn an_instance_with_a_wiped_disk_rejoins_as_a_learner_and_becomes_a_voter() {
    let mut fleet = Fleet::start(FleetConfig::telvara(6));
    fleet.wait_until_ready();
    let (leader, others) = followers(&fleet);
    set_out_of_service(&mut fleet, "a", true);
    fleet.wipe_disk(others[0]);
    fleet.restart(others[0]);
    let joined = fleet.run_until(10_000, |fleet| {
        let control = &fleet.controls[others[0]];
        let members = fleet.controls[leader].core.as_ref().expect("the instance runs").log.members();
        let is_voter = members.voters.iter().any(|voter| voter.disk == control.disk);
        is_voter && members.outgoing.is_empty() && members.voters.len() == 3
    });
    assert!(joined, "{:#?}", fleet.log_lines);
    // A second failure right after the repair: the repaired instance and the leader must hold all changes.
    let second = others[1];
    fleet.wipe_disk(second);
    set_out_of_service(&mut fleet, "b", true);
    fleet.crash(leader);
    fleet.restart(second);
    fleet.run_ms(3_000);
    fleet.restart(leader);
    assert!(fleet.run_until(5_000, |fleet| fleet.leader().is_some()), "{:#?}", fleet.log_lines);
    fleet.run_ms(1_000);
    assert!(fleet.catalogue(fleet.expect_leader()).is_domain_out(&"nowhere".into()));
    fleet.check_writes();
}

#[test]
fn a_wiped_voter_does_not_help_to_elect_a_leader_without_the_changes() {
    let mut fleet = Fleet::start(FleetConfig::telvara(7));
    fleet.wait_until_ready();
    let (leader, others) = followers(&fleet);
    let (behind, wiped) = (others[0], others[1]);
    let name = fleet.controls[behind].name.clone();
    fleet.isolate(&name);
    let accepted = set_out_of_service(&mut fleet, "a", true);
    assert!(matches!(accepted, Outcome::Accepted { .. }));
    fleet.crash(leader);
    fleet.wipe_disk(wiped);
    fleet.heal();
    fleet.restart(wiped);
    fleet.run_ms(20_000);
    assert_eq!(fleet.leader(), None, "two of three voters without the change elected a leader");
    fleet.restart(leader);
    assert!(fleet.run_until(10_000, |fleet| fleet.leader().is_some()));
    fleet.run_ms(1_000);
    assert!(fleet.catalogue(fleet.expect_leader()).is_domain_out(&"nowhere".into()));
}

#[test]
fn an_instance_that_missed_hundreds_of_changes_is_sent_a_snapshot() {
    let mut fleet = Fleet::start(FleetConfig::telvara(8));
    fleet.wait_until_ready();
    let (leader, others) = followers(&fleet);
    let first = set_out_of_service(&mut fleet, "change-0", true);
    fleet.crash(others[0]);
    let missed = SNAPSHOT_AFTER_RECORDS + 300;
    for number in 1..missed {
        set_out_of_service(&mut fleet, &format!("change-{number}"), number % 2 == 0);
    }
    fleet.restart(others[0]);
    let leader_revision = revision(&fleet, leader);
    assert!(fleet.run_until(5_000, |fleet| revision(fleet, others[0]) >= leader_revision));
    assert!(fleet.controls[others[0]].stored.snapshot.is_some(), "no snapshot was installed");
    assert_eq!(set_out_of_service(&mut fleet, "change-0", true), first);
    assert_eq!(revision(&fleet, leader), leader_revision, "the change was applied twice");
    for control in 0..3 {
        fleet.crash(control);
        fleet.restart(control);
    }
    assert!(fleet.run_until(3_000, |fleet| fleet.leader().is_some()));
    assert_eq!(
        set_out_of_service(&mut fleet, "change-0", true),
        first,
        "the outcome was lost in a restart from a snapshot"
    );
}

#[test]
fn a_one_way_partition_of_the_leader_does_not_stop_the_group() {
    for to_leader in [false, true] {
        let mut fleet = Fleet::start(FleetConfig::telvara(9));
        fleet.wait_until_ready();
        let (leader, others) = followers(&fleet);
        for other in &others {
            let (one, two) = (fleet.controls[leader].name.clone(), fleet.controls[*other].name.clone());
            let (from, to) = if to_leader { (two, one) } else { (one, two) };
            fleet.cut_one_way(&from, &to);
        }
        let since = fleet.now;
        fleet.run_ms(5_000);
        let outcome = set_out_of_service(&mut fleet, "a", true);
        assert!(matches!(outcome, Outcome::Accepted { .. }));
        assert!(
            fleet.longest_gap_ms(since) < 3_000,
            "no write was acknowledged for {} ms",
            fleet.longest_gap_ms(since)
        );
        fleet.check_writes();
    }
}

#[test]
fn of_two_changes_with_the_same_base_one_wins_and_retries_get_the_first_outcome() {
    let mut fleet = Fleet::start(FleetConfig::telvara(10));
    fleet.wait_until_ready();
    let (leader, others) = followers(&fleet);
    let (first, second) =
        (fleet.send_change(leader, "one", apply_lists(0)), fleet.send_change(leader, "two", apply_lists(0)));
    fleet.run_ms(100);
    let first = fleet.answer(first).cloned().expect("answered").expect("decided");
    let second = fleet.answer(second).cloned().expect("answered").expect("decided");
    assert!(matches!(first, Outcome::Accepted { lists_revision: ListsRevision(1), .. }));
    assert_eq!(second, Outcome::Conflict { base: ListsRevision(0), current: ListsRevision(1) });
    let other = fleet.send_change(others[0], "two", apply_lists(0));
    fleet.run_ms(10);
    assert!(matches!(fleet.answer(other), Some(Err(ControlRefusal::NotLeader(Some(_))))));
    fleet.crash(leader);
    fleet.run_ms(3_000);
    assert_eq!(fleet.submit_change("one", &apply_lists(0)), first);
    assert_eq!(fleet.submit_change("two", &apply_lists(0)), second);
    fleet.restart(leader);
    fleet.run_ms(3_000);
    assert_eq!(fleet.submit_change("two", &apply_lists(0)), second);
    let leader = fleet.expect_leader();
    assert_eq!(fleet.catalogue(leader).lists_revision, ListsRevision(1));
}

#[test]
fn a_change_whose_leader_crashes_before_it_answers_is_applied_once() {
    for seed in 0..20 {
        let mut fleet = Fleet::start(FleetConfig::telvara(seed));
        fleet.wait_until_ready();
        let leader = fleet.expect_leader();
        fleet.send_change(leader, "one", apply_lists(0));
        fleet.run_ms(seed % 5);
        fleet.crash(leader);
        let outcome = fleet.submit_change("one", &apply_lists(0));
        assert!(matches!(outcome, Outcome::Accepted { lists_revision: ListsRevision(1), .. }), "{outcome:?}");
        fleet.restart(leader);
        fleet.run_ms(2_000);
        assert_eq!(fleet.submit_change("one", &apply_lists(0)), outcome, "seed {seed}");
    }
}
