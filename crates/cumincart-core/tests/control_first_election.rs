//! The first election, while one of the first control instances is lost.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, set_domain},
    cumincart_core::control::election::FIRST_MEMBERS_WAIT_MS,
    cumincart_protocol::{change::Outcome, replication::Members},
    test_case::test_case,
};

/// The time limit for a first leader: the wait for all first members, and some elections.
const ELECTED_MS: u64 = FIRST_MEMBERS_WAIT_MS + 2_000;

/// How long an instance counts as lost after its start.
const CATCH_UP_MS: u64 = 4_000;

fn start(seed: u64) -> Fleet {
    let config = FleetConfig { entries_per_domain: 1, write_interval_ms: 500, ..FleetConfig::telvara(seed) };
    let mut fleet = Fleet::start(config);
    fleet.set_losses_borne(1);
    for control in &mut fleet.controls {
        control.core.as_mut().expect("it runs").is_first_start_certain = true;
    }
    fleet
}

fn members(fleet: &Fleet) -> Members {
    let leader = fleet.expect_leader();
    fleet.controls[leader].core.as_ref().expect("it runs").log.members().clone()
}

fn change(fleet: &mut Fleet, number: usize) {
    let id = format!("change-{number}");
    let outcome = fleet.submit_change(&id, &set_domain(&id, true));
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

/// Guards against a system that never gets a leader, since one of its first control instances is lost at any moment around
/// the first election. Its successor has its place, and the next loss is borne.
#[test_case(0; "instance 1")]
#[test_case(1; "instance 2")]
#[test_case(2; "instance 3")]
fn a_first_instance_may_be_lost_before_the_first_election(lost: usize) {
    for moment_ms in (0..600).step_by(20) {
        let mut fleet = start(300 + moment_ms);
        fleet.run_ms(moment_ms);
        fleet.crash(lost);
        fleet.run_ms(1_000);
        let successor = fleet.add_successor(lost);
        let case = format!("{lost} is lost after {moment_ms} ms");
        assert!(fleet.run_until(ELECTED_MS, |fleet| fleet.leader().is_some()), "{case}: no leader");
        change(&mut fleet, 1);
        fleet.run_ms(CATCH_UP_MS);
        let found = members(&fleet);
        assert_eq!(found.voters.len(), 3, "{case}: {found:?}");
        let next = (lost + 1) % 3;
        fleet.crash(next);
        fleet.run_ms(2_000);
        change(&mut fleet, 2);
        let leader = fleet.expect_leader();
        for number in 1..=2 {
            let domain = format!("change-{number}").as_str().into();
            assert!(fleet.catalogue(leader).is_domain_out(&domain), "{case}: change {number}");
        }
        assert!(fleet.controls[successor].core.is_some());
    }
}

/// A first member that is only late joins with its disk, and is counted then.
#[test]
fn a_first_instance_that_is_late_becomes_a_voter() {
    for down_ms in [100, 1_000, 3_000, 8_000] {
        let mut fleet = start(400 + down_ms);
        fleet.crash(1);
        fleet.run_ms(down_ms);
        fleet.restart(1);
        fleet.run_ms(ELECTED_MS + CATCH_UP_MS);
        let found = members(&fleet);
        assert_eq!(found.voters.len(), 3, "down for {down_ms} ms: {found:?}");
        assert!(found.voters.iter().all(|voter| voter.disk.is_bound()), "{found:?}");
    }
}

/// Guards against two groups, where an instance that has lost its disk may start as a first member again.
#[test]
fn without_a_certain_first_start_all_first_members_must_vote() {
    let mut fleet = start(500);
    for control in &mut fleet.controls {
        control.core.as_mut().expect("it runs").is_first_start_certain = false;
    }
    fleet.crash(2);
    assert!(!fleet.run_until(10_000, |fleet| fleet.leader().is_some()));
    fleet.restart(2);
    assert!(fleet.run_until(ELECTED_MS, |fleet| fleet.leader().is_some()));
}
