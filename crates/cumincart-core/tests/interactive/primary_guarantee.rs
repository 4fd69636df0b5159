//! Primaries are used under a term lease, or if endpoints themselves refuse what a former primary must not serve.

use {
    cumincart_core::{
        entry::freshness::Freshness,
        interactive::{
            positions::LogPoint,
            primary_guarantee::{PrimaryGuarantee, ReadGuard, commit_term, primary_guarantee, read_guard},
        },
    },
    cumincart_protocol::{
        catalogue::{Catalogue, Group},
        lists::{InteractiveList, Lists, ServiceLimits},
        number::{LogPosition, Term, Timeline},
        time::Instant,
    },
    std::sync::Arc,
    test_case::test_case,
};

const POINT: LogPoint = LogPoint { timeline: Timeline(3), position: LogPosition(40) };

/// The leases of an instance without contact to the control group: the term lease until 1.5 s, the freshness lease
/// until 2.9 s.
fn leases() -> Freshness {
    Freshness {
        term_lease_until: Instant::from_millis(1_500),
        freshness_lease_until: Instant::from_millis(2_900),
        ..Freshness::default()
    }
}

#[test_case(1_400, false, PrimaryGuarantee::TermLease; "with the term lease")]
#[test_case(1_400, true, PrimaryGuarantee::TermLease; "with the term lease and endpoints that fence")]
#[test_case(1_600, false, PrimaryGuarantee::None; "after the term lease")]
#[test_case(1_600, true, PrimaryGuarantee::SelfFencing; "after the term lease with endpoints that fence")]
#[test_case(3_000, true, PrimaryGuarantee::None; "after the freshness lease")]
fn a_primary_is_used(now_ms: u64, fences_terms: bool, expected: PrimaryGuarantee) {
    assert_eq!(primary_guarantee(&leases(), fences_terms, Instant::from_millis(now_ms)), expected);
}

#[test_case(PrimaryGuarantee::TermLease, true, None, ReadGuard::None; "on a primary with a term lease")]
#[test_case(PrimaryGuarantee::TermLease, true, Some(POINT), ReadGuard::None; "with bounded staleness on a primary with a term lease")]
#[test_case(PrimaryGuarantee::SelfFencing, true, None, ReadGuard::ReadWriteTransaction; "on a primary without a lease")]
#[test_case(PrimaryGuarantee::SelfFencing, true, Some(POINT), ReadGuard::AtLeast(POINT); "with bounded staleness on a primary without a lease")]
#[test_case(PrimaryGuarantee::TermLease, false, Some(POINT), ReadGuard::AtLeast(POINT); "on a replica")]
#[test_case(PrimaryGuarantee::None, false, Some(POINT), ReadGuard::AtLeast(POINT); "on a replica without a lease")]
#[test_case(PrimaryGuarantee::None, true, None, ReadGuard::ReadWriteTransaction; "whose lease has expired since the slot was acquired")]
fn a_read_is_guarded(
    guarantee: PrimaryGuarantee,
    is_primary: bool,
    point: Option<LogPoint>,
    expected: ReadGuard,
) {
    assert_eq!(read_guard(guarantee, is_primary, point), expected);
}

/// The same leases, and a group whose primary is `db-1` in term 3.
fn leases_on_group(synchronous_replicas: u32, writable: bool) -> Freshness {
    let group = Group {
        service: "ledger".into(),
        term: Term(3),
        primary: Some("db-1".into()),
        writable,
        endpoints: Default::default(),
        term_starts: Vec::new(),
        commit_holders: Default::default(),
    };
    let limits = ServiceLimits { service: "ledger".into(), connection_limit: 30, synchronous_replicas };
    let interactive =
        InteractiveList { services: [limits].into_iter().collect(), ..InteractiveList::default() };
    let catalogue = Catalogue {
        lists: Arc::new(Lists { interactive, ..Lists::default() }),
        groups: [group].into_iter().collect(),
        ..Catalogue::default()
    };
    Freshness { catalogue: Arc::new(catalogue), ..leases() }
}

/// Guards against acknowledged commits that a promotion loses, also on an instance without contact to the control group.
#[test_case(1_400, 1, "db-1", Some(Term(3)); "under a lease on the term")]
#[test_case(1_600, 1, "db-1", None; "after the lease on the term with synchronous replicas")]
#[test_case(1_600, 0, "db-1", Some(Term(3)); "after the lease on the term without synchronous replicas")]
#[test_case(3_000, 0, "db-1", None; "after the freshness lease")]
#[test_case(1_400, 1, "db-2", None; "at another endpoint")]
fn a_commit_is_acknowledged(now_ms: u64, synchronous_replicas: u32, endpoint: &str, expected: Option<Term>) {
    let freshness = leases_on_group(synchronous_replicas, true);
    let now = Instant::from_millis(now_ms);
    assert_eq!(commit_term(&freshness, true, &"ledger".into(), &endpoint.into(), now), expected);
}

#[test]
fn no_commit_is_acknowledged_while_a_primary_is_being_chosen() {
    let freshness = leases_on_group(0, false);
    let now = Instant::from_millis(1_400);
    assert_eq!(commit_term(&freshness, true, &"ledger".into(), &"db-1".into(), now), None);
}
