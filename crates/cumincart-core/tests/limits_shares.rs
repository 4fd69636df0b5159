//! Rates and bursts over the whole fleet.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/recorder.rs"]
#[allow(dead_code)]
mod recorder;

use {
    cumincart_protocol::catalogue::Catalogue,
    fleet::{Clock, Fleet, Network},
    std::sync::Arc,
    test_case::test_case,
};

#[test]
fn an_even_load_within_the_rate_is_admitted() {
    let mut fleet = Fleet::new(1, &[(400.0, 80)]);
    fleet.add_many(8, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    for step in 0..5_000 {
        if step % 2 == 0 {
            fleet.request(step / 2 % 8, 0);
        }
        fleet.step();
    }
    let counts = fleet.counts();
    assert_eq!((counts.sent, counts.refused), (2_500, 0));
}

#[test]
fn five_times_the_rate_admits_no_more_than_the_plan() {
    let mut fleet = Fleet::new(2, &[(100.0, 20)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    for step in 0..5_000 {
        fleet.request(step % 6, 0);
        fleet.step();
    }
    assert!(fleet.recorders[0].admitted >= 900, "{:?}", fleet.recorders[0]);
}

#[test]
fn a_plan_lowered_in_full_traffic_holds_once_it_is_in_force() {
    let mut fleet = Fleet::new(3, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    for step in 0..6_000 {
        if step == 2_000 {
            fleet.apply(&[(100.0, 20)]);
        }
        fleet.request(step % 6, 0);
        fleet.step();
    }
}

#[test]
fn a_killed_instance_gives_its_share_back_after_its_lease() {
    let mut fleet = Fleet::new(4, &[(400.0, 80)]);
    fleet.add_many(4, 2);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    fleet.kill(0);
    fleet.add("entry-0", "domain-0", 2, Clock::default());
    for step in 0..3_000 {
        fleet.request(1 + step % 4, 0);
        fleet.step();
    }
    let before = fleet.recorders[0].admitted;
    for step in 0..1_000 {
        fleet.request(1 + step % 4, 0);
        fleet.step();
    }
    assert!(fleet.recorders[0].admitted - before >= 700, "{:?}", fleet.recorders[0]);
}

/// Tokens that a lower plan takes away must not come back through the leader's reserve.
#[test]
fn a_plan_lowered_after_a_pause_frees_no_tokens() {
    for pause_ms in (0..900).step_by(60) {
        let mut fleet = Fleet::new(5, &[(400.0, 400)]);
        fleet.add_many(6, 3);
        fleet.elect(Clock::default());
        fleet.run_ms(6_000);
        for step in 0..1_000 {
            if step % 3 == 0 {
                fleet.request(step / 3 % 6, 0);
            }
            fleet.step();
        }
        fleet.network = Network { min_delay_us: 300_000, max_delay_us: 300_000, ..Network::default() };
        fleet.run_ms(200 + pause_ms);
        fleet.apply(&[(20.0, 100)]);
        fleet.run_ms(1_200);
        for step in 0..1_500 {
            fleet.request(step % 6, 0);
            fleet.step();
        }
    }
}

/// Takes a failure domain out of service, or brings it back.
fn set_domain(fleet: &mut Fleet, domain: &str, out: bool) {
    let mut catalogue = Catalogue::clone(&fleet.catalogue);
    catalogue.revision = catalogue.revision.next();
    if out {
        catalogue.domains_out.insert(domain.into());
    } else {
        catalogue.domains_out.remove(&domain.into());
    }
    fleet.catalogue = Arc::new(catalogue);
}

/// Sends nine tenths of organisation 0's 400 requests a second to these instances.
fn run_at_nodes(fleet: &mut Fleet, nodes: &[usize], millis: u64) {
    for step in 0..millis as usize / 2 {
        if step % 25 < 18 {
            fleet.request(nodes[step % nodes.len()], 0);
        }
        fleet.step();
    }
}

fn refused_at_nodes(fleet: &mut Fleet, nodes: &[usize], millis: u64) -> u64 {
    let before = fleet.counts().refused;
    run_at_nodes(fleet, nodes, millis);
    fleet.counts().refused - before
}

#[test]
fn shares_settle_within_2_s_after_demand_has_moved() {
    let mut fleet = Fleet::new(6, &[(400.0, 80)]);
    fleet.add_many(8, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    for nodes in [[0, 1], [6, 7], [3, 4], [2, 5]] {
        run_at_nodes(&mut fleet, &nodes, 2_000);
        assert_eq!(refused_at_nodes(&mut fleet, &nodes, 4_000), 0, "{nodes:?}");
    }
}

#[test]
fn a_failure_domain_out_and_back_moves_its_part_within_2_s() {
    let mut fleet = Fleet::new(7, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_at_nodes(&mut fleet, &[0, 3], 3_000);
    set_domain(&mut fleet, "domain-0", true);
    run_at_nodes(&mut fleet, &[1, 5], 2_000);
    assert_eq!(refused_at_nodes(&mut fleet, &[1, 5], 4_000), 0);
    set_domain(&mut fleet, "domain-0", false);
    run_at_nodes(&mut fleet, &[0, 3], 2_000);
    assert_eq!(refused_at_nodes(&mut fleet, &[0, 3], 4_000), 0);
}

#[test]
fn a_joining_instance_serves_within_2_s() {
    let mut fleet = Fleet::new(8, &[(400.0, 80)]);
    fleet.add_many(4, 2);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_at_nodes(&mut fleet, &[0, 1, 2, 3], 3_000);
    let joined = fleet.add("entry-9", "domain-1", 1, Clock::default());
    run_at_nodes(&mut fleet, &[0, joined], 2_000);
    assert_eq!(refused_at_nodes(&mut fleet, &[0, joined], 4_000), 0);
}

#[test]
fn a_rate_below_one_a_second_serves_whichever_instance_is_asked() {
    let mut fleet = Fleet::new(9, &[(0.5, 2)]);
    fleet.add_many(8, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(10_000);
    for round in 0..40 {
        fleet.request(round * 3 % 8, 0);
        fleet.run_ms(2_100);
    }
    let counts = fleet.counts();
    assert_eq!((counts.sent, counts.admitted, counts.refused), (40, 40, 0));
}

#[test_case(0.5, 1; "one token every 2 s")]
#[test_case(20.0, 40; "twenty a second")]
fn a_refused_request_succeeds_after_the_time_it_is_told(rate: f64, burst: u32) {
    let mut fleet = Fleet::new(10, &[(rate, burst)]);
    fleet.add_many(8, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(10_000);
    for _ in 0..burst * 3 {
        fleet.request(2, 0);
        fleet.run_ms(10);
    }
    fleet.run_ms(1_500);
    let retry_after_ms = fleet.last_retry_after_ms.expect("some were refused");
    fleet.run_ms(retry_after_ms);
    let before = fleet.counts();
    fleet.request(2, 0);
    fleet.run_ms(1_000);
    assert_eq!(fleet.counts().admitted, before.admitted + 1, "after {retry_after_ms} ms");
}

/// Sends half of organisation 0's 400 requests a second evenly to all six instances.
fn run_half_even(fleet: &mut Fleet, millis: u64) -> u64 {
    let before = fleet.counts().refused;
    for step in 0..millis as usize / 2 {
        if step % 5 < 2 {
            fleet.request(step % 6, 0);
        }
        fleet.step();
    }
    fleet.counts().refused - before
}

/// Under an even load heartbeats tell only what has changed; a new leader must still learn of every share.
#[test]
fn a_leader_change_under_an_even_load_loses_no_share() {
    let mut fleet = Fleet::new(11, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_half_even(&mut fleet, 5_000);
    for _ in 0..3 {
        fleet.elect(Clock::default());
        assert_eq!(run_half_even(&mut fleet, 4_500), 0);
        run_half_even(&mut fleet, 1_000);
    }
}

#[test]
fn a_lost_heartbeat_is_told_again() {
    let mut fleet = Fleet::new(12, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_half_even(&mut fleet, 3_000);
    fleet.network.lost_per_mille = 300;
    run_at_nodes(&mut fleet, &[0, 1], 4_000);
    fleet.network.lost_per_mille = 0;
    run_at_nodes(&mut fleet, &[0, 1], 1_000);
    assert_eq!(refused_at_nodes(&mut fleet, &[0, 1], 4_000), 0);
}

#[test]
fn a_plan_raised_in_full_traffic_is_given_out_within_2_s() {
    let mut fleet = Fleet::new(13, &[(100.0, 20)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_at_nodes(&mut fleet, &[0, 1, 2, 3, 4, 5], 4_000);
    fleet.apply(&[(400.0, 80)]);
    run_at_nodes(&mut fleet, &[0, 1, 2, 3, 4, 5], 2_000);
    assert_eq!(refused_at_nodes(&mut fleet, &[0, 1, 2, 3, 4, 5], 4_000), 0);
}

#[test_case(1e15, u32::MAX; "a rate beyond any machine")]
#[test_case(f64::MAX, u32::MAX; "the greatest number")]
fn an_enormous_plan_is_divided_like_any_other(rate: f64, burst: u32) {
    let mut fleet = Fleet::new(14, &[(rate, burst)]);
    fleet.checked = false;
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_at_nodes(&mut fleet, &[0, 1], 2_000);
    assert_eq!(refused_at_nodes(&mut fleet, &[0, 1], 2_000), 0);
}

/// Many small organisations on many instances: one instance of each failure domain holds the domain's tokens.
#[test]
fn a_small_plan_held_by_few_of_many_instances_serves_without_the_leader() {
    const HOLDERS: usize = 6;
    let mut fleet = Fleet::new(12, &[(26.0, 26)]);
    fleet.add_many(60, HOLDERS);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    let request_each_ms = |fleet: &mut Fleet, interval_ms: usize, count: usize| {
        for request in 0..count {
            fleet.request(request % HOLDERS, 0);
            fleet.run_ms(interval_ms as u64);
        }
    };
    // 16 a second of 26, for longer than shares take to settle.
    request_each_ms(&mut fleet, 62, 100);
    fleet.leader = None;
    let before = fleet.counts();
    request_each_ms(&mut fleet, 62, 24);
    let after = fleet.counts();
    assert_eq!(after.refused, before.refused, "all are within the rate and served from shares at hand");
}
