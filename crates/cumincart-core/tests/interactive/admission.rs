//! Admission during bursts, at slow endpoints and during failovers.

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

/// Guards against a queue that is longer than what can start within the deadlines, as after a burst.
#[test]
fn a_burst_is_refused_immediately_beyond_what_can_start_in_time() {
    let mut limiter = limiter(2);
    let decisions: Vec<Admission> =
        (0..40).map(|ticket| limiter.admit(at(0), request(ticket, 1, 0, 200))).collect();
    let admitted = decisions.iter().filter(|decision| **decision == Admission::Admitted).count();
    let waiting = decisions.iter().filter(|decision| **decision == Admission::Waiting).count();
    assert_eq!(admitted, 2);
    // Two slots with a service time of 40 ms give 10 starts within 200 ms.
    assert_eq!(waiting, 10);
    assert!(matches!(decisions[39], Admission::Refused { retry_after_ms, .. } if retry_after_ms > 200));
}

/// Guards against a burst of low priority that delays requests of higher priority.
#[test]
fn a_higher_priority_starts_first_even_if_it_arrived_later() {
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

/// Guards against a queue that is too long for an endpoint that has become slow.
#[test]
fn the_queue_of_a_slow_endpoint_is_shorter() {
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

/// Guards against late answers to requests that were queued while no slot was free, as in a failover.
#[test]
fn an_expired_request_is_dequeued_before_a_slot_is_granted() {
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
fn a_cancelled_request_gets_no_slot() {
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
fn the_queue_is_bounded_even_if_deadlines_are_far_in_the_future() {
    let mut limiter = limiter(1);
    let far = 1_000_000_000;
    let waiting =
        (0..2_000).filter(|ticket| limiter.admit(at(0), request(*ticket, 1, 0, far)) == Admission::Waiting);
    assert_eq!(waiting.count(), QUEUE_MAX);
}

/// Guards against several instances that keep the endpoint's own queue full, which knows no priorities.
#[test]
fn the_window_shrinks_while_the_latency_is_several_times_the_baseline() {
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

/// Guards against a window that stays too small after a failover, when the new primary's first answers are late and all
/// connections are new.
#[test]
fn an_instance_keeps_its_fair_window_however_late_answers_are() {
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
fn a_fair_window_keeps_the_execution_slots_busy(slots: u32, owner_count: usize, expected: u32) {
    assert_eq!(fair_window(slots, owner_count), expected);
}

/// Guards against sending as much as before to an endpoint that sheds load.
#[test]
fn refusals_by_the_endpoint_shrink_the_window() {
    let mut limiter = limiter(8);
    for _ in 0..20 {
        limiter.observe(Duration::from_millis(1), true);
    }
    assert!(limiter.window() <= 3, "{} slots", limiter.window());
}

/// Guards against transactions that block others while they are idle between two statements.
#[test]
fn a_transaction_idle_between_statements_frees_its_part_of_the_window_but_keeps_its_connection() {
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

/// Guards against needless new connections, where many organisations share few, and against requests that are overtaken
/// for too long.
#[test]
fn among_equals_a_request_with_an_idle_connection_goes_first_for_a_limited_time() {
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
