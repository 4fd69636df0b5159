//! Endpoints' reports: what is acknowledged is in force, whichever instance is asked and whatever happens to the leader.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig},
    cumincart_protocol::{
        announcement::{Presence, PresenceReport, ReportOutcome},
        change::{Action, Outcome},
        lists::{InteractiveList, Lists, ServiceLimits},
    },
    std::sync::Arc,
    test_case::test_case,
};

const LEDGER: &str = "ledger";

fn presence(endpoint: &str, born_ms: u64, sequence: u64) -> Presence {
    Presence {
        endpoint: endpoint.into(),
        service: LEDGER.into(),
        address: "10.0.0.1:5432".into(),
        domain: "sofia-a".into(),
        slots: 3,
        leaving: false,
        ended: false,
        born_ms,
        sequence,
    }
}

fn leaving(endpoint: &str, born_ms: u64, sequence: u64) -> PresenceReport {
    PresenceReport::Present(Presence { leaving: true, ..presence(endpoint, born_ms, sequence) })
}

/// Starts a group whose lists name the service, with one endpoint.
fn start(seed: u64) -> Fleet {
    let config = FleetConfig { entries_per_domain: 1, write_interval_ms: 500, ..FleetConfig::telvara(seed) };
    let mut fleet = Fleet::start(config);
    fleet.wait_until_ready();
    let limits = ServiceLimits { service: LEDGER.into(), connection_limit: 30, synchronous_replicas: 0 };
    let interactive =
        InteractiveList { services: [limits].into_iter().collect(), ..InteractiveList::default() };
    let lists = Arc::new(Lists { interactive, ..Lists::default() });
    let base = fleet.catalogue(fleet.expect_leader()).lists_revision;
    let outcome = fleet.submit_change("lists", &Action::Apply { base, lists });
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    let ticket = fleet.report(0, PresenceReport::Present(presence("db", 100, 1)));
    fleet.run_ms(200);
    assert!(is_acknowledged(&fleet, ticket));
    fleet
}

fn is_acknowledged(fleet: &Fleet, ticket: u64) -> bool {
    fleet.report_answer(ticket).is_some_and(|answer| answer.outcome == ReportOutcome::InForce)
}

/// Returns whether the leader's catalogue shows that the endpoint leaves; `None` if it has no entry.
fn is_leaving(fleet: &Fleet, endpoint: &str) -> Option<bool> {
    let group = fleet.catalogue(fleet.expect_leader()).group(&LEDGER.into())?;
    group.endpoints.get(&endpoint.into()).map(|entry| entry.leaving)
}

#[test_case(0; "instance 1")]
#[test_case(1; "instance 2")]
#[test_case(2; "instance 3")]
fn a_report_is_acknowledged_by_any_instance_once_it_is_in_force(control: usize) {
    let mut fleet = start(10);
    let ticket = fleet.report(control, leaving("db", 100, 2));
    assert!(fleet.run_until(500, |fleet| is_acknowledged(fleet, ticket)));
    assert_eq!(is_leaving(&fleet, "db"), Some(true));
    let ticket = fleet.report(control, PresenceReport::Left("db".into()));
    assert!(fleet.run_until(500, |fleet| is_acknowledged(fleet, ticket)));
    assert_eq!(is_leaving(&fleet, "db"), None);
}

/// Guards against a drain that is acknowledged and lost with the leader.
#[test_case(0; "instance 1")]
#[test_case(1; "instance 2")]
#[test_case(2; "instance 3")]
fn what_was_acknowledged_outlives_the_leader(control: usize) {
    let mut acknowledged = 0;
    for moment_us in (0..20_000).step_by(500) {
        let mut fleet = start(20 + moment_us);
        let ticket = fleet.report(control, leaving("db", 100, 2));
        fleet.run_us(moment_us);
        let leader = fleet.expect_leader();
        fleet.crash(leader);
        fleet.run_ms(2_000);
        if is_acknowledged(&fleet, ticket) {
            acknowledged += 1;
            assert_eq!(is_leaving(&fleet, "db"), Some(true), "the leader was lost after {moment_us} us");
        }
    }
    assert!((1..40).contains(&acknowledged), "{acknowledged} reports were acknowledged");
}

/// Guards against a report that is acknowledged though no leader has it.
#[test]
fn a_report_is_refused_in_time_while_there_is_no_leader() {
    let mut fleet = start(30);
    let leader = fleet.expect_leader();
    let others: Vec<usize> = (0..3).filter(|control| *control != leader).collect();
    fleet.crash(leader);
    fleet.crash(others[0]);
    let early = fleet.report(others[1], leaving("db", 100, 2));
    fleet.run_ms(1_200);
    let late = fleet.report(others[1], leaving("db", 100, 3));
    fleet.run_ms(100);
    for ticket in [early, late] {
        let answer = fleet.report_answer(ticket).expect("it is answered");
        assert_eq!(answer.outcome, ReportOutcome::NotLeader);
    }
}

/// Guards against a drain that is acknowledged and ignored, because a later run names the same address.
#[test]
fn a_report_is_not_acknowledged_once_a_later_run_has_taken_the_address() {
    let mut fleet = start(40);
    let later = fleet.report(1, PresenceReport::Present(presence("later", 900, 1)));
    fleet.run_ms(200);
    assert!(is_acknowledged(&fleet, later));
    for (control, sequence) in [(0, 2), (1, 3), (2, 4)] {
        let ticket = fleet.report(control, leaving("db", 100, sequence));
        fleet.run_ms(200);
        let outcome = fleet.report_answer(ticket).map(|answer| answer.outcome);
        assert_eq!(outcome, Some(ReportOutcome::Superseded));
    }
    assert_eq!(is_leaving(&fleet, "db"), Some(false));
}

/// The answer to a report may be lost, and the same report is sent again.
#[test]
fn a_report_that_is_sent_again_is_acknowledged_again() {
    let mut fleet = start(50);
    for control in [0, 1, 2] {
        let ticket = fleet.report(control, leaving("db", 100, 2));
        fleet.run_ms(200);
        assert!(is_acknowledged(&fleet, ticket));
    }
}
