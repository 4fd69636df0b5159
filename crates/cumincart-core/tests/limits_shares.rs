//! Rates and bursts over the whole fleet.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/recorder.rs"]
#[allow(dead_code)]
mod recorder;

use fleet::{Clock, Fleet, Network};

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
