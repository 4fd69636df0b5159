//! Primaries are used on a lease, or by endpoints that refuse what a former primary must not serve.

use {
    cumincart_core::{
        entry::freshness::Freshness,
        interactive::{
            positions::LogPoint,
            primary_guarantee::{PrimaryGuarantee, ReadGuard, primary_guarantee, read_guard},
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
        fresh_until: Instant::from_millis(2_900),
        ..Freshness::default()
    }
}

#[test_case(1_400, false, PrimaryGuarantee::TermLease; "under the lease")]
#[test_case(1_400, true, PrimaryGuarantee::TermLease; "under the lease, with endpoints that fence")]
#[test_case(1_600, false, PrimaryGuarantee::None; "after it")]
#[test_case(1_600, true, PrimaryGuarantee::SelfFencing; "after it, with endpoints that fence")]
#[test_case(3_000, true, PrimaryGuarantee::None; "after the lease on keys")]
fn a_primary_is_used(now_ms: u64, fences_terms: bool, expected: PrimaryGuarantee) {
    assert_eq!(primary_guarantee(&leases(), fences_terms, Instant::from_millis(now_ms)), expected);
}

#[test_case(PrimaryGuarantee::TermLease, true, None, ReadGuard::None; "on the leased primary")]
#[test_case(PrimaryGuarantee::TermLease, true, Some(POINT), ReadGuard::None; "of some age on the leased primary")]
#[test_case(PrimaryGuarantee::SelfFencing, true, None, ReadGuard::ReadWriteTransaction; "on a primary without a lease")]
#[test_case(PrimaryGuarantee::SelfFencing, true, Some(POINT), ReadGuard::AtLeast(POINT); "of some age on a primary without a lease")]
#[test_case(PrimaryGuarantee::TermLease, false, Some(POINT), ReadGuard::AtLeast(POINT); "on a replica")]
#[test_case(PrimaryGuarantee::None, false, Some(POINT), ReadGuard::AtLeast(POINT); "on a replica without a lease")]
#[test_case(PrimaryGuarantee::None, true, None, ReadGuard::ReadWriteTransaction; "whose lease has run out since the place was given")]
fn a_read_is_guarded(held: PrimaryGuarantee, is_primary: bool, point: Option<LogPoint>, expected: ReadGuard) {
    assert_eq!(read_guard(held, is_primary, point), expected);
}
