//! The times of a planned stop, for every time until the kill, time limit and moment.

use {cumincart_core::stop_schedule::StopSchedule, std::time::Duration};

/// Guards against times that fit one deployment only.
#[test]
fn the_times_are_in_order_for_every_grace() {
    for grace_ms in (100..60_000).step_by(100) {
        let grace = Duration::from_millis(grace_ms);
        let schedule = StopSchedule::of_grace(grace);
        let closed = schedule.unready_until() + schedule.close_spread();
        assert!(closed < schedule.answer_by(), "{grace:?}: idle sessions are closed before the end");
        assert!(schedule.answer_by() < schedule.end_by() && schedule.end_by() < grace, "{grace:?}");
        // An endpoint that is still at work in the last sixth may be left alone.
        assert!(schedule.answer_by() >= grace * 5 / 6, "{grace:?}");
    }
}

/// Guards against statements that are taken too late to end in time, and against those that are refused without need.
#[test]
fn a_statement_is_taken_in_the_first_half_or_if_it_ends_in_time() {
    for grace_ms in [500, 1_000, 3_000, 6_000, 10_000, 40_000] {
        let schedule = StopSchedule::of_grace(Duration::from_millis(grace_ms));
        for limit_ms in [1, 100, 1_000, 3_000, 8_000, 20_000, 60_000] {
            let limit = Duration::from_millis(limit_ms);
            for moment_ms in (0..=grace_ms).step_by(50) {
                let moment = Duration::from_millis(moment_ms);
                let ends_in_time = moment + limit <= schedule.answer_by();
                let is_early = moment_ms * 2 <= grace_ms;
                assert_eq!(
                    moment <= schedule.takes_until(limit),
                    ends_in_time || is_early,
                    "grace {grace_ms} ms, limit {limit_ms} ms, sent at {moment_ms} ms"
                );
            }
        }
    }
}
