//! The replicated log under partitions, freezes, restarts and lost disks.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, Plan, set_domain},
    cumincart_core::control::{ControlRefusal, snapshot::SNAPSHOT_AFTER_RECORDS},
    cumincart_protocol::{
        change::{Action, Outcome},
        lists::Lists,
        number::ListsRevision,
    },
    std::sync::Arc,
    test_case::test_case,
};

fn apply(base: u64) -> Action {
    Action::Apply { base: ListsRevision(base), lists: Arc::new(Lists::default()) }
}

/// An accepted change to a failure domain that has no endpoints.
fn flip(fleet: &mut Fleet, id: &str, out: bool) -> Outcome {
    fleet.change(id, &set_domain("nowhere", out))
}

fn revision(fleet: &Fleet, control: usize) -> u64 {
    fleet.catalogue(control).revision.0
}

fn followers(fleet: &Fleet) -> (usize, Vec<usize>) {
    let leader = fleet.the_leader();
    (leader, (0..fleet.controls.len()).filter(|index| *index != leader).collect())
}

#[test_case(1; "one")]
#[test_case(3; "three")]
#[test_case(5; "five")]
fn a_group_elects_a_leader_and_all_apply_the_same(controls: usize) {
    let mut fleet = Fleet::start(Plan { controls, ..Plan::telvara(1) });
    fleet.settle();
    flip(&mut fleet, "a", true);
    fleet.run_ms(500);
    let leader = fleet.the_leader();
    for control in 0..controls {
        assert_eq!(fleet.catalogue(control), fleet.catalogue(leader), "{}", fleet.controls[control].name);
    }
    fleet.check_writes();
}

#[test]
fn the_first_leader_needs_all_members_so_that_a_wiped_one_cannot_vote_again() {
    let mut fleet = Fleet::start(Plan::telvara(2));
    fleet.isolate("control-3");
    fleet.run_ms(5_000);
    assert_eq!(fleet.leader(), None);
    fleet.heal();
    fleet.settle();
}

#[test]
fn a_leader_isolated_for_long_loses_nothing_and_accepts_nothing() {
    let mut fleet = Fleet::start(Plan::telvara(3));
    fleet.settle();
    let (old, _) = followers(&fleet);
    let name = fleet.controls[old].name.clone();
    fleet.isolate(&name);
    fleet.run_ms(5);
    let lost = fleet.ask(old, "lost", set_domain("elsewhere", true));
    fleet.run_ms(3_000);
    assert!(matches!(fleet.answer(lost), Some(Err(ControlRefusal::Unknown))), "{:?}", fleet.answer(lost));
    for number in 0..300 {
        flip(&mut fleet, &format!("change-{number}"), number % 2 == 0);
    }
    fleet.run_ms(600_000);
    fleet.heal();
    fleet.run_ms(2_000);
    let leader = fleet.the_leader();
    assert_eq!(fleet.catalogue(old), fleet.catalogue(leader));
    assert!(fleet.catalogue(leader).domains_out.is_empty(), "{:?}", fleet.catalogue(leader).domains_out);
    fleet.check_writes();
}

#[test]
fn a_leader_that_was_frozen_gives_no_lease_when_it_wakes() {
    let mut fleet = Fleet::start(Plan::telvara(4));
    fleet.settle();
    let (old, _) = followers(&fleet);
    fleet.freeze(old);
    fleet.run_ms(10);
    let late = fleet.ask(old, "late", set_domain("elsewhere", true));
    fleet.ask_status(old);
    fleet.run_ms(8_000);
    let leader = fleet.the_leader();
    assert_ne!(leader, old);
    fleet.change("out", &set_domain("sofia-a", true));
    fleet.run_ms(3_000);
    let before = fleet.statuses.len();
    fleet.thaw(old);
    fleet.run_ms(2_000);
    assert!(
        fleet.statuses[before..].iter().all(|status| status.result.is_err()),
        "an old leader answered for the present"
    );
    assert!(fleet.answer(late).is_some_and(Result::is_err), "{:?}", fleet.answer(late));
    assert_eq!(fleet.catalogue(old), fleet.catalogue(fleet.the_leader()));
    fleet.check_writes();
}

#[test]
fn all_restarted_at_once_keep_every_accepted_change() {
    let mut fleet = Fleet::start(Plan::telvara(5));
    fleet.settle();
    let outcome = flip(&mut fleet, "a", true);
    for control in 0..3 {
        fleet.crash(control);
    }
    fleet.run_ms(100);
    for control in 0..3 {
        fleet.restart(control);
    }
    assert!(fleet.run_until(3_000, |fleet| fleet.leader().is_some()));
    assert_eq!(flip(&mut fleet, "a", true), outcome);
    fleet.run_ms(1_000);
    assert!(fleet.catalogue(fleet.the_leader()).is_domain_out(&"nowhere".into()));
    fleet.check_writes();
}

#[test]
fn a_wiped_disk_comes_back_as_a_learner_and_then_counts() {
    let mut fleet = Fleet::start(Plan::telvara(6));
    fleet.settle();
    let (leader, others) = followers(&fleet);
    flip(&mut fleet, "a", true);
    fleet.wipe(others[0]);
    fleet.restart(others[0]);
    let joined = fleet.run_until(10_000, |fleet| {
        let control = &fleet.controls[others[0]];
        let members = fleet.controls[leader].core.as_ref().expect("it runs").log.members();
        members.voters.iter().any(|voter| voter.disk == control.disk) && members.voters.len() == 3
    });
    assert!(joined, "{:#?}", fleet.notes);
    // The second loss right after the repair: the repaired one and the leader must hold everything.
    let second = others[1];
    fleet.wipe(second);
    flip(&mut fleet, "b", true);
    fleet.crash(leader);
    fleet.restart(second);
    fleet.run_ms(3_000);
    fleet.restart(leader);
    assert!(fleet.run_until(5_000, |fleet| fleet.leader().is_some()), "{:#?}", fleet.notes);
    fleet.run_ms(1_000);
    assert!(fleet.catalogue(fleet.the_leader()).is_domain_out(&"nowhere".into()));
    fleet.check_writes();
}

#[test]
fn a_wiped_voter_does_not_help_to_elect_a_leader_without_the_changes() {
    let mut fleet = Fleet::start(Plan::telvara(7));
    fleet.settle();
    let (leader, others) = followers(&fleet);
    let (behind, wiped) = (others[0], others[1]);
    let name = fleet.controls[behind].name.clone();
    fleet.isolate(&name);
    let accepted = flip(&mut fleet, "a", true);
    assert!(matches!(accepted, Outcome::Accepted { .. }));
    fleet.crash(leader);
    fleet.wipe(wiped);
    fleet.heal();
    fleet.restart(wiped);
    fleet.run_ms(20_000);
    assert_eq!(fleet.leader(), None, "two of three without the change elected a leader");
    fleet.restart(leader);
    assert!(fleet.run_until(10_000, |fleet| fleet.leader().is_some()));
    fleet.run_ms(1_000);
    assert!(fleet.catalogue(fleet.the_leader()).is_domain_out(&"nowhere".into()));
}

#[test]
fn one_that_missed_hundreds_of_changes_is_brought_up_by_a_snapshot() {
    let mut fleet = Fleet::start(Plan::telvara(8));
    fleet.settle();
    let (leader, others) = followers(&fleet);
    let first = flip(&mut fleet, "change-0", true);
    fleet.crash(others[0]);
    let missed = SNAPSHOT_AFTER_RECORDS + 300;
    for number in 1..missed {
        flip(&mut fleet, &format!("change-{number}"), number % 2 == 0);
    }
    fleet.restart(others[0]);
    let leader_revision = revision(&fleet, leader);
    assert!(fleet.run_until(5_000, |fleet| revision(fleet, others[0]) >= leader_revision));
    assert!(fleet.controls[others[0]].stored.snapshot.is_some(), "no snapshot was installed");
    assert_eq!(flip(&mut fleet, "change-0", true), first);
    assert_eq!(revision(&fleet, leader), leader_revision, "a resend was run again");
    for control in 0..3 {
        fleet.crash(control);
        fleet.restart(control);
    }
    assert!(fleet.run_until(3_000, |fleet| fleet.leader().is_some()));
    assert_eq!(flip(&mut fleet, "change-0", true), first, "a resend after a restart from a snapshot");
}

#[test]
fn a_one_way_cut_of_the_leader_does_not_stop_the_group() {
    for to_leader in [false, true] {
        let mut fleet = Fleet::start(Plan::telvara(9));
        fleet.settle();
        let (leader, others) = followers(&fleet);
        for other in &others {
            let (one, two) = (fleet.controls[leader].name.clone(), fleet.controls[*other].name.clone());
            let (from, to) = if to_leader { (two, one) } else { (one, two) };
            fleet.cut_one_way(&from, &to);
        }
        let since = fleet.now;
        fleet.run_ms(5_000);
        let outcome = flip(&mut fleet, "a", true);
        assert!(matches!(outcome, Outcome::Accepted { .. }));
        assert!(fleet.longest_gap_ms(since) < 3_000, "writes stood for {} ms", fleet.longest_gap_ms(since));
        fleet.check_writes();
    }
}

#[test]
fn of_two_operators_with_equal_numbers_one_wins_and_resends_get_the_first_outcome() {
    let mut fleet = Fleet::start(Plan::telvara(10));
    fleet.settle();
    let (leader, others) = followers(&fleet);
    let (first, second) = (fleet.ask(leader, "one", apply(0)), fleet.ask(leader, "two", apply(0)));
    fleet.run_ms(100);
    let first = fleet.answer(first).cloned().expect("answered").expect("decided");
    let second = fleet.answer(second).cloned().expect("answered").expect("decided");
    assert!(matches!(first, Outcome::Accepted { lists_revision: ListsRevision(1), .. }));
    assert_eq!(second, Outcome::Conflict { base: ListsRevision(0), current: ListsRevision(1) });
    let other = fleet.ask(others[0], "two", apply(0));
    fleet.run_ms(10);
    assert!(matches!(fleet.answer(other), Some(Err(ControlRefusal::NotLeader(Some(_))))));
    fleet.crash(leader);
    fleet.run_ms(3_000);
    assert_eq!(fleet.change("one", &apply(0)), first);
    assert_eq!(fleet.change("two", &apply(0)), second);
    fleet.restart(leader);
    fleet.run_ms(3_000);
    assert_eq!(fleet.change("two", &apply(0)), second);
    let leader = fleet.the_leader();
    assert_eq!(fleet.catalogue(leader).lists_revision, ListsRevision(1));
}

#[test]
fn a_change_whose_leader_was_lost_before_the_answer_runs_once() {
    for seed in 0..20 {
        let mut fleet = Fleet::start(Plan::telvara(seed));
        fleet.settle();
        let leader = fleet.the_leader();
        fleet.ask(leader, "one", apply(0));
        fleet.run_ms(seed % 5);
        fleet.crash(leader);
        let outcome = fleet.change("one", &apply(0));
        assert!(matches!(outcome, Outcome::Accepted { lists_revision: ListsRevision(1), .. }), "{outcome:?}");
        fleet.restart(leader);
        fleet.run_ms(2_000);
        assert_eq!(fleet.change("one", &apply(0)), outcome, "seed {seed}");
    }
}
