//! Rates and bursts over the whole fleet.

#[path = "limits_support/fleet.rs"]
mod fleet;
#[path = "limits_support/recorder.rs"]
mod recorder;

use fleet::{Clock, Fleet};

const NEVER_OVER: &str = "more was admitted over the fleet than burst + rate × length";

fn assert_never_over(fleet: &Fleet) {
    for recorder in &fleet.recorders {
        assert_eq!(recorder.over, 0, "{NEVER_OVER}: {recorder:?}");
    }
}

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
    assert_never_over(&fleet);
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
    assert_never_over(&fleet);
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
        if step == 3_000 {
            fleet.recorders[0].set(fleet.now_us, 100.0, 20);
        }
        fleet.request(step % 6, 0);
        fleet.step();
    }
    assert_never_over(&fleet);
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
    assert_never_over(&fleet);
    assert!(fleet.recorders[0].admitted - before >= 700, "{:?}", fleet.recorders[0]);
}
