//! Tests of rates and bursts over the whole fleet.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

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
    assert!(fleet.limit_buckets[0].admitted >= 900, "{:?}", fleet.limit_buckets[0]);
}

#[test]
fn a_plan_lowered_under_load_is_respected_once_in_force() {
    let mut fleet = Fleet::new(3, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    for step in 0..6_000 {
        if step == 2_000 {
            fleet.commit_limits(&[(100.0, 20)]);
        }
        fleet.request(step % 6, 0);
        fleet.step();
    }
}

#[test]
fn the_share_of_a_killed_instance_is_released_after_its_lease() {
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
    let before = fleet.limit_buckets[0].admitted;
    for step in 0..1_000 {
        fleet.request(1 + step % 4, 0);
        fleet.step();
    }
    assert!(fleet.limit_buckets[0].admitted - before >= 700, "{:?}", fleet.limit_buckets[0]);
}

/// Tokens that a lowered plan removes must not be added again through the leader's reserve.
#[test]
fn a_plan_lowered_after_a_pause_releases_no_tokens() {
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
        fleet.commit_limits(&[(20.0, 100)]);
        fleet.run_ms(1_200);
        for step in 0..1_500 {
            fleet.request(step % 6, 0);
            fleet.step();
        }
    }
}

/// Takes a failure domain out of service, or puts it back into service.
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

/// Sends 90 % of organisation 0's rate of 400 requests a second to the given instances.
fn run_load_at(fleet: &mut Fleet, nodes: &[usize], millis: u64) {
    for step in 0..millis as usize / 2 {
        if step % 25 < 18 {
            fleet.request(nodes[step % nodes.len()], 0);
        }
        fleet.step();
    }
}

fn refused_under_load_at(fleet: &mut Fleet, nodes: &[usize], millis: u64) -> u64 {
    let before = fleet.counts().refused;
    run_load_at(fleet, nodes, millis);
    fleet.counts().refused - before
}

#[test]
fn shares_converge_within_2_s_after_demand_moves() {
    let mut fleet = Fleet::new(6, &[(400.0, 80)]);
    fleet.add_many(8, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    for nodes in [[0, 1], [6, 7], [3, 4], [2, 5]] {
        run_load_at(&mut fleet, &nodes, 2_000);
        assert_eq!(refused_under_load_at(&mut fleet, &nodes, 4_000), 0, "{nodes:?}");
    }
}

#[test]
fn shares_follow_a_failure_domain_out_of_and_into_service_within_2_s() {
    let mut fleet = Fleet::new(7, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_load_at(&mut fleet, &[0, 3], 3_000);
    set_domain(&mut fleet, "domain-0", true);
    run_load_at(&mut fleet, &[1, 5], 2_000);
    assert_eq!(refused_under_load_at(&mut fleet, &[1, 5], 4_000), 0);
    set_domain(&mut fleet, "domain-0", false);
    run_load_at(&mut fleet, &[0, 3], 2_000);
    assert_eq!(refused_under_load_at(&mut fleet, &[0, 3], 4_000), 0);
}

#[test]
fn a_joining_instance_serves_within_2_s() {
    let mut fleet = Fleet::new(8, &[(400.0, 80)]);
    fleet.add_many(4, 2);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_load_at(&mut fleet, &[0, 1, 2, 3], 3_000);
    let joined = fleet.add("entry-9", "domain-1", 1, Clock::default());
    run_load_at(&mut fleet, &[0, joined], 2_000);
    assert_eq!(refused_under_load_at(&mut fleet, &[0, joined], 4_000), 0);
}

#[test]
fn a_rate_below_one_per_second_is_served_by_any_instance() {
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
#[test_case(20.0, 40; "20 tokens a second")]
fn a_refused_request_succeeds_after_retry_after(rate: f64, burst: u32) {
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

/// Sends half of organisation 0's rate of 400 requests a second evenly to all six instances, and returns the
/// number of refused requests.
fn refused_under_half_load(fleet: &mut Fleet, millis: u64) -> u64 {
    let before = fleet.counts().refused;
    for step in 0..millis as usize / 2 {
        if step % 5 < 2 {
            fleet.request(step % 6, 0);
        }
        fleet.step();
    }
    fleet.counts().refused - before
}

/// Under an even load, heartbeats report only what has changed. A new leader must still learn of every share.
#[test]
fn a_leader_change_under_an_even_load_loses_no_share() {
    let mut fleet = Fleet::new(11, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    refused_under_half_load(&mut fleet, 5_000);
    for _ in 0..3 {
        fleet.elect(Clock::default());
        assert_eq!(refused_under_half_load(&mut fleet, 4_500), 0);
        refused_under_half_load(&mut fleet, 1_000);
    }
}

#[test]
fn reports_of_lost_heartbeats_are_sent_again() {
    let mut fleet = Fleet::new(12, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    refused_under_half_load(&mut fleet, 3_000);
    fleet.network.lost_per_mille = 300;
    run_load_at(&mut fleet, &[0, 1], 4_000);
    fleet.network.lost_per_mille = 0;
    run_load_at(&mut fleet, &[0, 1], 1_000);
    assert_eq!(refused_under_load_at(&mut fleet, &[0, 1], 4_000), 0);
}

#[test]
fn a_plan_raised_under_load_is_granted_within_2_s() {
    let mut fleet = Fleet::new(13, &[(100.0, 20)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_load_at(&mut fleet, &[0, 1, 2, 3, 4, 5], 4_000);
    fleet.commit_limits(&[(400.0, 80)]);
    run_load_at(&mut fleet, &[0, 1, 2, 3, 4, 5], 2_000);
    assert_eq!(refused_under_load_at(&mut fleet, &[0, 1, 2, 3, 4, 5], 4_000), 0);
}

#[test_case(1e15, u32::MAX; "1e15 requests a second")]
#[test_case(f64::MAX, u32::MAX; "the maximum f64")]
fn an_enormous_plan_is_divided_like_any_other(rate: f64, burst: u32) {
    let mut fleet = Fleet::new(14, &[(rate, burst)]);
    fleet.checks_every_step = false;
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_load_at(&mut fleet, &[0, 1], 2_000);
    assert_eq!(refused_under_load_at(&mut fleet, &[0, 1], 2_000), 0);
}

/// Guards small plans on a fleet of many instances: one instance of each failure domain holds the domain's
/// tokens.
#[test]
fn a_small_plan_on_few_of_many_instances_is_served_without_the_leader() {
    const HOLDERS: usize = 6;
    let mut fleet = Fleet::new(12, &[(26.0, 26)]);
    fleet.add_many(60, HOLDERS);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    let send_requests = |fleet: &mut Fleet, interval_ms: usize, count: usize| {
        for request in 0..count {
            fleet.request(request % HOLDERS, 0);
            fleet.run_ms(interval_ms as u64);
        }
    };
    // 16 requests a second of a rate of 26, for longer than shares take to converge.
    send_requests(&mut fleet, 62, 100);
    fleet.leader = None;
    let before = fleet.counts();
    send_requests(&mut fleet, 62, 24);
    let after = fleet.counts();
    assert_eq!(
        after.refused, before.refused,
        "all requests are within the rate and are served from granted shares"
    );
}
