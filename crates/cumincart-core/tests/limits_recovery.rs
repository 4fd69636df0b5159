//! Tests of what a new control leader grants before every lease of an earlier leader has ended. After every step the fleet
//! checks that all shares in force, also those of instances that are cut off, are within the plan.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

use {
    fleet::{Clock, Fleet, Network},
    test_case::test_case,
};

/// The instances of the two failure domains that stay in touch with the leader, and one of the third.
const FIRST: [usize; 2] = [0, 3];
const SECOND: [usize; 2] = [1, 4];
const CUT_OFF: [usize; 2] = [2, 5];

/// Sends 320 requests a second of organisation 0 to some instances, and returns the number of those refused.
fn run_load_at(fleet: &mut Fleet, nodes: &[usize], millis: u64) -> u64 {
    let before = fleet.counts().refused;
    for step in 0..millis as usize / 2 {
        if step % 25 < 16 {
            fleet.request(nodes[step % nodes.len()], 0);
        }
        fleet.step();
    }
    fleet.counts().refused - before
}

#[test]
fn reported_shares_follow_demand_while_others_are_cut_off() {
    let mut fleet = Fleet::new(31, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_load_at(&mut fleet, &FIRST, 4_000);
    for node in CUT_OFF {
        fleet.nodes[node].partitioned = true;
    }
    fleet.elect(Clock::default());
    run_load_at(&mut fleet, &SECOND, 1_000);
    let refused = run_load_at(&mut fleet, &SECOND, 1_800);
    assert_eq!(refused, 0, "the shares of a failure domain without demand were not moved before 2.9 s");
}

/// The cut-off instances spend what they have while the others ask for more than the whole rate.
#[test_case(Network::default(); "good network")]
#[test_case(Network { lost_per_mille: 100, duplicated_per_mille: 100, min_delay_us: 500, max_delay_us: 400_000 }; "slow and lossy network")]
fn a_cut_off_holder_and_a_new_leader_stay_within_the_limit_together(network: Network) {
    let mut fleet = Fleet::new(32, &[(400.0, 80)]);
    fleet.add_many(6, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(6_000);
    run_load_at(&mut fleet, &CUT_OFF, 4_000);
    fleet.network = network;
    for node in CUT_OFF {
        fleet.nodes[node].partitioned = true;
    }
    for _ in 0..4 {
        fleet.elect(Clock::default());
        for step in 0..400 {
            fleet.request(CUT_OFF[step % 2], 0);
            fleet.request(FIRST[step % 2], 0);
            fleet.request(SECOND[step % 2], 0);
            fleet.step();
        }
    }
    assert_eq!(fleet.limit_buckets[0].over_limit, 0);
}

/// A plan below one request a second is never divided, so all its tokens come from the reserve.
#[test]
fn the_reserve_fills_as_soon_as_every_instance_has_reported() {
    let mut fleet = Fleet::new(33, &[(0.9, 4)]);
    fleet.recovers_when_reported = true;
    fleet.add_many(6, 3);
    fleet.elect_first(Clock::default());
    fleet.run_ms(4_000);
    fleet.elect(Clock::default());
    fleet.run_ms(1_100);
    for index in 0..2 {
        fleet.request(index, 0);
        fleet.run_ms(1_100);
    }
    let counts = fleet.counts();
    assert_eq!((counts.sent, counts.refused), (2, 0));
}
