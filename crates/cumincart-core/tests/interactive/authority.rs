//! Primaries are used on a lease, or by endpoints that refuse what a former primary must not serve.

use {
    cumincart_core::{
        entry::freshness::Freshness,
        interactive::{
            authority::{Authority, ReadGuard, authority, read_guard},
            positions::LogPoint,
        },
    },
    cumincart_protocol::{
        number::{LogPosition, Timeline},
        time::Instant,
    },
    test_case::test_case,
};

const POINT: LogPoint = LogPoint { timeline: Timeline(3), position: LogPosition(40) };

/// The leases of an instance that has lost its control group: on terms until 1.5 s, on keys until 2.9 s.
fn leases() -> Freshness {
    Freshness {
        term_lease_until: Instant::from_millis(1_500),
        freshness_lease_until: Instant::from_millis(2_900),
        ..Freshness::default()
    }
}

#[test_case(1_400, false, Authority::Lease; "under the lease")]
#[test_case(1_400, true, Authority::Lease; "under the lease, with endpoints that fence")]
#[test_case(1_600, false, Authority::None; "after it")]
#[test_case(1_600, true, Authority::Endpoint; "after it, with endpoints that fence")]
#[test_case(3_000, true, Authority::None; "after the lease on keys")]
fn a_primary_is_used(now_ms: u64, fences_terms: bool, expected: Authority) {
    assert_eq!(authority(&leases(), fences_terms, Instant::from_millis(now_ms)), expected);
}

#[test_case(Authority::Lease, true, None, ReadGuard::None; "on the leased primary")]
#[test_case(Authority::Lease, true, Some(POINT), ReadGuard::None; "of some age on the leased primary")]
#[test_case(Authority::Endpoint, true, None, ReadGuard::Transaction; "on a primary without a lease")]
#[test_case(Authority::Endpoint, true, Some(POINT), ReadGuard::After(POINT); "of some age on a primary without a lease")]
#[test_case(Authority::Lease, false, Some(POINT), ReadGuard::After(POINT); "on a replica")]
#[test_case(Authority::None, false, Some(POINT), ReadGuard::After(POINT); "on a replica without a lease")]
#[test_case(Authority::None, true, None, ReadGuard::Transaction; "whose lease has run out since the place was given")]
fn a_read_is_guarded(held: Authority, is_primary: bool, point: Option<LogPoint>, expected: ReadGuard) {
    assert_eq!(read_guard(held, is_primary, point), expected);
}
