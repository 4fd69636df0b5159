//! Admission under a burst, at a slow endpoint and in a failover queue.

use {
    cumincart_core::interactive::admission::{
        Admission, AdmissionRequest, ConcurrencyLimiter, Dequeued, QUEUE_MAX, fair_window,
    },
    cumincart_protocol::time::Instant,
    std::time::Duration,
    test_case::test_case,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn request(ticket: u64, priority: u32, arrived_ms: u64, start_by_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        organisation: "clinic".into(),
        priority,
        arrived_at: at(arrived_ms),
        start_by: at(start_by_ms),
    }
}

fn limiter(limit: u32) -> ConcurrencyLimiter {
    let mut limiter = ConcurrencyLimiter::default();
    limiter.set_limit(limit);
    limiter
}

/// Pattern: a burst of more work than can start within its deadline.
#[test]
fn a_burst_is_cut_at_what_can_start_in_time_and_the_rest_is_refused_at_once() {
    let mut limiter = limiter(2);
    let decisions: Vec<Admission> =
        (0..40).map(|ticket| limiter.admit(at(0), request(ticket, 1, 0, 200))).collect();
    let admitted = decisions.iter().filter(|decision| **decision == Admission::Admitted).count();
    let waiting = decisions.iter().filter(|decision| **decision == Admission::Waiting).count();
    assert_eq!(admitted, 2);
    // Two places of 40 ms each give 10 starts within 200 ms.
    assert_eq!(waiting, 10);
    assert!(matches!(decisions[39], Admission::Refused { retry_after_ms, .. } if retry_after_ms > 200));
}

/// Pattern: a burst of low priority ahead of work that matters more.
#[test]
fn the_higher_priority_starts_first_whatever_came_before() {
    let mut limiter = limiter(1);
    limiter.admit(at(0), request(1, 2, 0, 1_000));
    limiter.admit(at(1), request(2, 2, 1, 1_000));
    limiter.admit(at(2), request(3, 1, 2, 1_000));
    limiter.admit(at(3), request(4, 2, 3, 1_000));
    let mut order = Vec::new();
    for _ in 0..3 {
        limiter.release(Some(Duration::from_millis(10)));
        if let Some(Dequeued::Admitted(ticket)) = limiter.dequeue(at(10), |_| false) {
            order.push(ticket);
        }
    }
    assert_eq!(order, [3, 2, 4]);
}

/// Pattern: an endpoint that turns slow while work waits for it.
#[test]
fn a_slow_endpoint_lets_fewer_wait() {
    let mut fast = limiter(1);
    let mut slow = limiter(1);
    for _ in 0..60 {
        for (limiter, ms) in [(&mut fast, 10), (&mut slow, 400)] {
            limiter.admit(at(0), request(0, 1, 0, 1_000));
            limiter.release(Some(Duration::from_millis(ms)));
        }
    }
    let waiting = |limiter: &mut ConcurrencyLimiter| {
        (1..200)
            .filter(|ticket| limiter.admit(at(0), request(*ticket, 1, 0, 1_000)) == Admission::Waiting)
            .count()
    };
    let (fast, slow) = (waiting(&mut fast), waiting(&mut slow));
    assert!(fast >= 80, "{fast} wait at the fast endpoint");
    assert!((1..=3).contains(&slow), "{slow} wait at the slow endpoint");
}

/// Pattern: a queue that formed while no place was free, as in a failover.
#[test]
fn whoever_can_not_start_in_time_any_more_is_told_so_first() {
    let mut limiter = limiter(1);
    limiter.admit(at(0), request(1, 1, 0, 1_000));
    limiter.admit(at(0), request(2, 1, 0, 100));
    limiter.admit(at(0), request(3, 1, 0, 1_000));
    limiter.release(None);
    assert_eq!(limiter.dequeue(at(500), |_| false), Some(Dequeued::Expired(2)));
    assert_eq!(limiter.dequeue(at(500), |_| false), Some(Dequeued::Admitted(3)));
    assert_eq!(limiter.dequeue(at(500), |_| false), None);
}

#[test]
fn a_request_that_nobody_waits_for_takes_no_place() {
    let mut limiter = limiter(1);
    limiter.admit(at(0), request(1, 1, 0, 1_000));
    limiter.admit(at(0), request(2, 1, 0, 1_000));
    assert!(limiter.cancel(2));
    assert!(!limiter.cancel(2));
    limiter.release(None);
    assert_eq!(limiter.dequeue(at(1), |_| false), None);
    assert!(limiter.has_free_slot());
}

#[test]
fn the_queue_is_bounded_even_where_deadlines_are_far() {
    let mut limiter = limiter(1);
    let far = 1_000_000_000;
    let waiting =
        (0..2_000).filter(|ticket| limiter.admit(at(0), request(*ticket, 1, 0, far)) == Admission::Waiting);
    assert_eq!(waiting.count(), QUEUE_MAX);
}

/// Pattern: several instances that keep an endpoint's own queue full, where priorities don't count.
#[test]
fn the_window_shrinks_while_answers_take_several_times_as_long_as_at_best() {
    let mut limiter = limiter(8);
    for _ in 0..100 {
        limiter.observe(Duration::from_millis(20), false);
    }
    assert_eq!(limiter.window(), 8);
    for _ in 0..100 {
        limiter.observe(Duration::from_millis(200), false);
    }
    assert_eq!(limiter.window(), 1, "one slot is always left");
    for _ in 0..200 {
        limiter.observe(Duration::from_millis(20), false);
    }
    assert_eq!(limiter.window(), 8);
}

/// Pattern: a failover, whose first answers from the new primary are late and whose connections are all new.
#[test]
fn an_instance_keeps_its_part_of_the_slots_however_late_answers_are() {
    let mut limiter = limiter(30);
    limiter.set_min_window(fair_window(5, 2));
    for _ in 0..20 {
        limiter.observe(Duration::from_millis(20), false);
    }
    for _ in 0..200 {
        limiter.observe(Duration::from_millis(900), false);
    }
    assert_eq!(limiter.window(), 5);
}

#[test_case(5, 1, 10; "alone")]
#[test_case(5, 3, 4; "one of three")]
#[test_case(6, 60, 1; "one of many")]
fn a_fair_window_keeps_the_slots_busy(slots: u32, owner_count: usize, expected: u32) {
    assert_eq!(fair_window(slots, owner_count), expected);
}

/// Pattern: an endpoint that sheds load.
#[test]
fn refusals_of_the_endpoint_shrink_the_window() {
    let mut limiter = limiter(8);
    for _ in 0..20 {
        limiter.observe(Duration::from_millis(1), true);
    }
    assert!(limiter.window() <= 3, "{} slots", limiter.window());
}

/// Pattern: long transactions whose clients think between statements.
#[test]
fn a_transaction_at_rest_leaves_its_place_but_keeps_its_connection() {
    let mut limiter = limiter(2);
    for _ in 0..60 {
        limiter.observe(Duration::from_millis(20), false);
    }
    for _ in 0..80 {
        limiter.observe(Duration::from_millis(1), true);
    }
    assert_eq!(limiter.window(), 1);
    assert_eq!(limiter.admit(at(0), request(1, 1, 0, 1_000)), Admission::Admitted);
    assert_eq!(limiter.admit(at(0), request(2, 1, 0, 1_000)), Admission::Waiting);
    limiter.suspend();
    assert_eq!(limiter.dequeue(at(0), |_| false), Some(Dequeued::Admitted(2)));
    limiter.suspend();
    assert_eq!(
        limiter.admit(at(0), request(3, 1, 0, 1_000)),
        Admission::Waiting,
        "both connections are taken"
    );
    limiter.resume();
    limiter.release(None);
    assert_eq!(limiter.dequeue(at(0), |_| false), Some(Dequeued::Admitted(3)));
}

/// Pattern: many organisations over few connections.
#[test]
fn of_equals_one_goes_first_whose_connection_is_there_but_nobody_is_passed_over_for_long() {
    let mut limiter = limiter(1);
    limiter.admit(at(0), request(1, 1, 0, 5_000));
    for ticket in 2..6 {
        let organisation = if ticket % 2 == 0 { "clinic" } else { "taxi" };
        let request = AdmissionRequest { organisation: organisation.into(), ..request(ticket, 1, 0, 5_000) };
        limiter.admit(at(0), request);
    }
    let is_taxi = |organisation: &cumincart_protocol::name::OrganisationName| organisation.as_str() == "taxi";
    limiter.release(None);
    assert_eq!(limiter.dequeue(at(10), is_taxi), Some(Dequeued::Admitted(3)));
    limiter.release(None);
    assert_eq!(limiter.dequeue(at(500), is_taxi), Some(Dequeued::Admitted(2)), "it has waited long enough");
}
