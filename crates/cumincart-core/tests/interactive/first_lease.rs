//! Clients that reconnect after a stop of everything, before the first lease.

use {
    cumincart_core::interactive::first_lease::{FIRST_LEASE_EXPECTED_MS, FirstLease, WAITING_SESSIONS_MAX},
    cumincart_protocol::time::Instant,
};

const STARTED_AT_MS: u64 = 5_000;

fn after_start(elapsed_ms: u64) -> Instant {
    Instant::from_millis(STARTED_AT_MS + elapsed_ms)
}

fn open() -> FirstLease {
    FirstLease::open(after_start(0))
}

#[test]
fn clients_that_reconnect_before_the_first_lease_wait_for_it() {
    let mut first_lease = open();
    let until = first_lease.admit(after_start(10), false);
    assert_eq!(until, Some(after_start(FIRST_LEASE_EXPECTED_MS)));
    assert_eq!(first_lease.admit(after_start(400), false), until, "all wait for the same instant");
}

#[test]
fn an_instance_without_a_leader_for_long_refuses_at_once() {
    let mut first_lease = open();
    assert_eq!(first_lease.admit(after_start(FIRST_LEASE_EXPECTED_MS), false), None);
}

#[test]
fn an_instance_that_has_lost_its_lease_refuses_at_once() {
    let mut first_lease = open();
    assert_eq!(first_lease.admit(after_start(10), true), None);
}

#[test]
fn a_wave_of_reconnections_waits_up_to_a_bound() {
    let mut first_lease = open();
    let admitted =
        (0..WAITING_SESSIONS_MAX + 50).filter(|_| first_lease.admit(after_start(10), false).is_some());
    assert_eq!(admitted.count(), WAITING_SESSIONS_MAX);
    first_lease.leave();
    assert!(first_lease.admit(after_start(20), false).is_some(), "a session that left makes room");
    assert!(first_lease.admit(after_start(20), false).is_none());
}
