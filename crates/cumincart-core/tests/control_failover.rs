//! Changes of primary under failures: failover, planned switchovers, and failures during them.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, SERVICE, set_domain},
    cumincart_protocol::{announcement::Role, catalogue::Group, number::Term},
    test_case::test_case,
};

const FAILOVER_LIMIT_MS: u64 = 10_000;

fn group(fleet: &Fleet) -> &Group {
    fleet.catalogue(fleet.expect_leader()).group(&SERVICE.into()).expect("the group is known")
}

fn wait_for_other_primary(fleet: &mut Fleet, old: usize) -> usize {
    let moved = fleet.run_until(20_000, |fleet| fleet.primary().is_some_and(|primary| primary != old));
    assert!(moved, "seed {}: no new primary: {:#?}", fleet.config.seed, fleet.log_lines);
    fleet.primary().expect("there is a primary")
}

fn ready_fleet(seed: u64) -> (Fleet, usize) {
    let mut fleet = Fleet::start(FleetConfig::telvara(seed));
    fleet.wait_until_ready();
    let primary = fleet.primary().expect("there is a primary");
    (fleet, primary)
}

/// Checks that every acknowledged write of an earlier term has a position before the start of the next term.
fn check_nothing_lost(fleet: &Fleet) {
    let starts = &group(fleet).term_starts;
    for write in &fleet.writes {
        let next = starts.iter().find(|start| start.term > write.term && start.timeline.0 > write.timeline);
        let kept = next.is_none_or(|next| write.position <= next.position.0);
        assert!(kept, "seed {}: {write:?} was lost: {starts:?}", fleet.config.seed);
    }
}

#[test]
fn a_dead_primary_is_replaced_by_the_replica_with_the_highest_position() {
    for seed in 0..20 {
        let (mut fleet, old) = ready_fleet(seed);
        let ahead = (old + 1) % 3;
        let behind = (old + 2) % 3;
        let (from, to) = (fleet.endpoints[old].name.clone(), fleet.endpoints[behind].name.clone());
        fleet.cut_one_way(&from, &to);
        fleet.run_ms(300);
        let since = fleet.now;
        fleet.endpoints[old].alive = false;
        let new = wait_for_other_primary(&mut fleet, old);
        assert_eq!(new, ahead, "seed {seed}: {:#?}", fleet.log_lines);
        fleet.run_ms(2_000);
        assert!(fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS, "seed {seed}");
        fleet.check_writes();
    }
}

#[test_case(0; "with a log that ends where the next timeline begins")]
#[test_case(10_000; "with a longer log")]
fn an_old_primary_that_returns_is_never_primary_again(beyond: u64) {
    let (mut fleet, old) = ready_fleet(30);
    fleet.endpoints[old].alive = false;
    let new = wait_for_other_primary(&mut fleet, old);
    fleet.endpoints[old].alive = true;
    fleet.endpoints[old].position = group(&fleet).term_starts[1].position.0 + beyond;
    fleet.run_ms(5_000);
    assert_eq!(fleet.primary(), Some(new));
    fleet.endpoints[new].alive = false;
    fleet.run_ms(20_000);
    // The third endpoint alone is not a majority, and the log of the old primary has diverged from the
    // group's.
    assert_eq!(fleet.primary(), None, "{:#?}", fleet.log_lines);
    assert!(fleet.endpoints[old].promoted.is_empty());
    fleet.check_writes();
}

#[test]
fn a_primary_partitioned_with_its_domain_acknowledges_nothing_after_the_next_is_promoted() {
    for seed in 40..50 {
        let (mut fleet, old) = ready_fleet(seed);
        let domain = fleet.endpoints[old].domain;
        let since = fleet.now;
        fleet.cut_domain(domain);
        let new = wait_for_other_primary(&mut fleet, old);
        assert_ne!(fleet.endpoints[new].domain, domain);
        fleet.run_ms(10_000);
        let gap_ms = fleet.longest_gap_outside_ms(since, domain);
        assert!(gap_ms < FAILOVER_LIMIT_MS, "seed {seed}: {gap_ms} ms");
        fleet.heal();
        fleet.run_ms(5_000);
        assert_eq!(fleet.primary(), Some(new));
        fleet.check_writes();
    }
}

#[test]
fn a_primary_that_only_entry_instances_reach_is_not_replaced() {
    let (mut fleet, old) = ready_fleet(50);
    let name = fleet.endpoints[old].name.clone();
    for control in ["control-1", "control-2", "control-3"] {
        fleet.cut_one_way(&name, control);
    }
    fleet.run_ms(30_000);
    assert_eq!(fleet.primary(), Some(old), "{:#?}", fleet.log_lines);
    assert_eq!(group(&fleet).term, Term(1));
}

#[test]
fn a_primary_that_one_domain_does_not_reach_is_not_replaced() {
    let (mut fleet, old) = ready_fleet(51);
    let name = fleet.endpoints[old].name.clone();
    for number in 1..=2 {
        fleet.cut(&name, &format!("entry-varna-a-{number}"));
    }
    fleet.run_ms(30_000);
    assert_eq!(group(&fleet).term, Term(1), "{:#?}", fleet.log_lines);
}

#[test]
fn a_control_leader_without_a_quorum_promotes_no_endpoint() {
    let (mut fleet, _) = ready_fleet(52);
    let leader = fleet.expect_leader();
    let name = fleet.controls[leader].name.clone();
    fleet.isolate(&name);
    fleet.run_ms(10_000);
    let promoted: usize = fleet.endpoints.iter().map(|endpoint| endpoint.promoted.len()).sum();
    assert_eq!(promoted, 0, "{:#?}", fleet.log_lines);
    fleet.check_writes();
}

#[test]
fn a_primary_that_was_demoted_from_outside_is_replaced() {
    for seed in 0..10 {
        let (mut fleet, old) = ready_fleet(seed);
        fleet.endpoints[old].role = Role::Replica;
        let since = fleet.now;
        let term = group(&fleet).term;
        let opened = fleet.run_until(20_000, |fleet| group(fleet).writable && group(fleet).term > term);
        assert!(opened, "seed {seed}: no term was opened: {:#?}", fleet.log_lines);
        fleet.run_ms(2_000);
        assert!(fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS, "seed {seed}");
    }
}

#[test]
fn two_failovers_in_a_row() {
    for seed in 60..70 {
        let (mut fleet, first) = ready_fleet(seed);
        fleet.endpoints[first].alive = false;
        let second = wait_for_other_primary(&mut fleet, first);
        // The platform rebuilds the old primary as a replica of the new one.
        let (timeline, position) = (fleet.endpoints[second].timeline, fleet.endpoints[second].position);
        let rebuilt = &mut fleet.endpoints[first];
        (rebuilt.alive, rebuilt.role, rebuilt.timeline, rebuilt.position) =
            (true, Role::Replica, timeline, position);
        fleet.run_ms(500);
        let since = fleet.now;
        fleet.endpoints[second].alive = false;
        let third = wait_for_other_primary(&mut fleet, second);
        fleet.run_ms(2_000);
        assert_ne!(third, second);
        assert!(fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS, "seed {seed}");
        fleet.check_writes();
    }
}

#[test]
fn the_control_leader_crashes_at_any_time_during_a_failover() {
    for delay_ms in (0..2_000).step_by(50) {
        let (mut fleet, old) = ready_fleet(100 + delay_ms);
        let since = fleet.now;
        fleet.endpoints[old].alive = false;
        fleet.run_ms(delay_ms);
        if let Some(leader) = fleet.leader() {
            fleet.crash(leader);
        }
        wait_for_other_primary(&mut fleet, old);
        fleet.run_ms(2_000);
        assert!(
            fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS,
            "{delay_ms}: {} ms",
            fleet.longest_gap_ms(since)
        );
        check_one_promotion_per_term(&fleet);
        fleet.check_writes();
    }
}

#[test]
fn the_control_leader_crashes_at_any_time_during_a_switchover() {
    for delay_ms in (0..600).step_by(20) {
        let (mut fleet, old) = ready_fleet(200 + delay_ms);
        let domain = fleet.endpoints[old].domain;
        let since = fleet.now;
        fleet.submit_change("out", &set_domain(domain, true));
        fleet.run_ms(delay_ms);
        if let Some(leader) = fleet.leader() {
            fleet.crash(leader);
        }
        wait_for_other_primary(&mut fleet, old);
        fleet.run_ms(2_000);
        assert!(
            fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS,
            "{delay_ms}: {} ms",
            fleet.longest_gap_ms(since)
        );
        check_nothing_lost(&fleet);
        check_one_promotion_per_term(&fleet);
        fleet.check_writes();
    }
}

#[test]
fn the_old_primary_fails_at_any_time_during_a_switchover() {
    for delay_ms in (0..600).step_by(20) {
        let (mut fleet, old) = ready_fleet(300 + delay_ms);
        let domain = fleet.endpoints[old].domain;
        fleet.submit_change("out", &set_domain(domain, true));
        fleet.run_ms(delay_ms);
        let since = fleet.now;
        fleet.endpoints[old].alive = false;
        wait_for_other_primary(&mut fleet, old);
        fleet.run_ms(2_000);
        assert!(
            fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS,
            "{delay_ms}: {} ms",
            fleet.longest_gap_ms(since)
        );
        fleet.check_writes();
    }
}

#[test]
fn a_switchover_loses_no_write() {
    for seed in 400..420 {
        let mut fleet = Fleet::start(FleetConfig { replica_lag_ms: 900, ..FleetConfig::telvara(seed) });
        fleet.wait_until_ready();
        let old = fleet.primary().expect("there is a primary");
        let domain = fleet.endpoints[old].domain;
        let since = fleet.now;
        fleet.submit_change("out", &set_domain(domain, true));
        wait_for_other_primary(&mut fleet, old);
        fleet.run_ms(3_000);
        assert!(fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS, "seed {seed}");
        check_nothing_lost(&fleet);
        fleet.check_writes();
    }
}

#[test]
fn a_leaving_primary_is_replaced_without_loss() {
    let (mut fleet, old) = ready_fleet(420);
    fleet.endpoints[old].leaving = true;
    wait_for_other_primary(&mut fleet, old);
    fleet.run_ms(1_000);
    check_nothing_lost(&fleet);
    fleet.check_writes();
}

#[test]
fn a_switchover_whose_replicas_stop_is_cancelled_and_tried_again() {
    let (mut fleet, old) = ready_fleet(430);
    let name = fleet.endpoints[old].name.clone();
    for replica in ["pbx-2", "pbx-3"] {
        fleet.cut_one_way(&name, replica);
    }
    fleet.run_ms(200);
    let since = fleet.now;
    fleet.endpoints[old].leaving = true;
    fleet.run_ms(8_000);
    assert_eq!(fleet.primary(), Some(old), "{:#?}", fleet.log_lines);
    assert!(
        fleet.longest_gap_ms(since) < 4_000,
        "writes were blocked for {} ms",
        fleet.longest_gap_ms(since)
    );
    fleet.heal();
    wait_for_other_primary(&mut fleet, old);
    fleet.run_ms(1_000);
    check_nothing_lost(&fleet);
    fleet.check_writes();
}

#[test_case(0)]
#[test_case(20)]
#[test_case(100)]
#[test_case(300)]
#[test_case(1_000)]
fn a_domain_taken_out_and_back_in_loses_no_write(between_ms: u64) {
    for seed in 500..510 {
        let (mut fleet, old) = ready_fleet(seed);
        let domain = fleet.endpoints[old].domain;
        let since = fleet.now;
        fleet.submit_change("out", &set_domain(domain, true));
        fleet.run_ms(between_ms);
        fleet.submit_change("in", &set_domain(domain, false));
        fleet.run_ms(5_000);
        assert!(fleet.primary().is_some(), "seed {seed}: {:#?}", fleet.log_lines);
        assert!(fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS, "seed {seed}");
        check_nothing_lost(&fleet);
        fleet.check_writes();
    }
}

#[test]
fn a_domain_taken_out_during_a_partition_gets_no_writes_when_it_returns() {
    let (mut fleet, old) = ready_fleet(520);
    let domain = fleet.endpoints[old].domain;
    fleet.cut_domain(domain);
    fleet.run_ms(5);
    assert!(
        fleet.run_until(5_000, |fleet| fleet.leader().is_some_and(|l| fleet.controls[l].domain != domain))
    );
    fleet.submit_change("out", &set_domain(domain, true));
    let new = wait_for_other_primary(&mut fleet, old);
    fleet.run_ms(5_000);
    fleet.heal();
    let since = fleet.now;
    fleet.run_ms(10_000);
    assert_eq!(fleet.primary(), Some(new));
    assert!(
        fleet
            .writes
            .iter()
            .filter(|write| write.at >= since)
            .all(|write| *write.endpoint == *fleet.endpoints[new].name)
    );
    fleet.check_writes();
}

#[test]
fn a_promotion_whose_answer_is_lost_is_requested_from_the_same_endpoint_again() {
    for seed in 600..610 {
        let (mut fleet, old) = ready_fleet(seed);
        fleet.lose_promotion_answers = true;
        fleet.endpoints[old].alive = false;
        fleet.run_ms(6_000);
        fleet.lose_promotion_answers = false;
        wait_for_other_primary(&mut fleet, old);
        check_one_promotion_per_term(&fleet);
        let promoted: usize = fleet.endpoints.iter().map(|endpoint| endpoint.promoted.len()).sum();
        assert_eq!(promoted, 1, "seed {seed}: {:#?}", fleet.log_lines);
        assert_eq!(group(&fleet).term, Term(2), "seed {seed}: {:#?}", fleet.log_lines);
        fleet.check_writes();
    }
}

#[test]
fn the_chosen_replica_fails_before_it_is_promoted() {
    for seed in 700..710 {
        let domains = vec!["a", "b", "c", "d", "e"];
        let mut fleet =
            Fleet::start(FleetConfig { domains, entries_per_domain: 1, ..FleetConfig::telvara(seed) });
        fleet.wait_until_ready();
        let old = fleet.primary().expect("there is a primary");
        let since = fleet.now;
        fleet.endpoints[old].alive = false;
        let chosen = |fleet: &Fleet| {
            let leader = fleet.leader()?;
            let group = fleet.catalogue(leader).group(&SERVICE.into())?;
            let name = group.primary.clone().filter(|_| !group.writable)?;
            fleet.endpoints.iter().position(|endpoint| *endpoint.name == *name.as_str())
        };
        assert!(fleet.run_until(10_000, |fleet| chosen(fleet).is_some()));
        let dead = chosen(&fleet).expect("one is chosen");
        fleet.endpoints[dead].alive = false;
        let new = wait_for_other_primary(&mut fleet, old);
        assert_ne!(new, dead);
        fleet.run_ms(1_000);
        assert!(fleet.longest_gap_ms(since) < FAILOVER_LIMIT_MS, "seed {seed}");
        fleet.check_writes();
    }
}

fn check_one_promotion_per_term(fleet: &Fleet) {
    let mut terms: Vec<Term> =
        fleet.endpoints.iter().flat_map(|endpoint| endpoint.promoted.clone()).collect();
    terms.sort_unstable();
    let total = terms.len();
    terms.dedup();
    assert_eq!(
        terms.len(),
        total,
        "seed {}: two promotions in one term: {:#?}",
        fleet.config.seed,
        fleet.log_lines
    );
}
