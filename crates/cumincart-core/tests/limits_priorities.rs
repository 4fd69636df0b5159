//! Tests of what a request of each priority gets of an organisation's rate, and of the cause that a refusal gives.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

use {
    cumincart_core::entry::quota::{self, RefusalCause},
    fleet::{Clock, Counts, Fleet, STEP_US, organisation},
};

/// How long a request may wait for a token, in milliseconds.
const WAIT_MS: u64 = 300;

/// Starts one instance with one organisation on a plan of 40 requests a second.
fn one_instance() -> Fleet {
    let mut fleet = Fleet::new(21, &[(40.0, 40)]);
    fleet.checks_every_step = false;
    fleet.add_many(1, 1);
    fleet.elect_first(Clock::default());
    fleet.run_ms(3_000);
    fleet
}

const HIGH: u32 = 0;
const LOW: u32 = 2;

/// Sends requests of high and of low priority, one in so many steps each, and returns what has become of them.
fn run(fleet: &mut Fleet, millis: u64, every: [u64; 2]) -> [Counts; 2] {
    fleet.nodes[0].priorities.clear();
    for step in 0..millis * 1_000 / STEP_US {
        for (priority, every) in [HIGH, LOW].into_iter().zip(every) {
            if step % every == 0 {
                fleet.request_with_priority(0, 0, WAIT_MS, priority);
            }
        }
        fleet.step();
    }
    let counts = &fleet.nodes[0].priorities;
    [counts[&HIGH], counts[&LOW]]
}

/// 20 requests a second of the highest priority and 250 of a lower one, at a rate of 40.
#[test]
fn tokens_are_kept_back_for_the_highest_priority_under_a_burst() {
    let mut fleet = one_instance();
    run(&mut fleet, 2_000, [25, 2]);
    let [high, low] = run(&mut fleet, 5_000, [25, 2]);
    assert!(high.at_once * 100 >= high.sent * 95, "the highest priority had to wait: {high:?}");
    assert!(low.admitted >= 70, "the rest of the rate is left unused: {low:?}");
}

/// 20 requests a second of the highest priority and 10 of a lower one, at a rate of 40.
#[test]
fn nothing_is_kept_back_within_the_rate() {
    let mut fleet = one_instance();
    run(&mut fleet, 2_000, [25, 50]);
    let [high, low] = run(&mut fleet, 5_000, [25, 50]);
    assert_eq!((high.at_once, low.at_once), (high.sent, low.sent));
}

#[test]
fn a_refusal_tells_an_excess_from_a_missing_token_and_a_missing_lease() {
    let mut fleet = one_instance();
    let cause = |fleet: &Fleet| {
        let node = &fleet.nodes[0];
        quota::refusal_cause(&node.core.quota, node.clock.at(fleet.now_us), &organisation(0))
    };
    run(&mut fleet, 1_000, [25, 50]);
    assert_eq!(cause(&fleet), RefusalCause::NoToken, "20 of 40 requests a second are within the plan");
    run(&mut fleet, 4_000, [25, 5]);
    assert_eq!(cause(&fleet), RefusalCause::OverLimit, "120 of 40 requests a second are not");
    fleet.silence_leader();
    run(&mut fleet, 4_000, [25, 50]);
    assert_eq!(cause(&fleet), RefusalCause::NoLease);
}
