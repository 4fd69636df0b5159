//! What clients are promised: a promise that nothing is kept only where nothing can be.

use {
    cumincart_core::interactive::{
        command::EndpointErrorKind,
        verdict::{Asked, FailureCode, LinkFailure, of_error, of_link_failure},
    },
    test_case::test_case,
};

/// Whether the code promises that nothing of the attempt is kept.
fn is_promise(code: FailureCode) -> bool {
    matches!(code, FailureCode::Busy | FailureCode::Aborted | FailureCode::Lagging | FailureCode::ReadOnly)
}

#[test_case(Asked::Write, LinkFailure::Broken)]
#[test_case(Asked::Write, LinkFailure::TimedOut)]
#[test_case(Asked::Commit { wrote: true }, LinkFailure::Broken)]
#[test_case(Asked::Commit { wrote: true }, LinkFailure::TimedOut)]
fn a_write_whose_answer_is_missing_is_in_doubt(asked: Asked, failure: LinkFailure) {
    assert_eq!(of_link_failure(asked, failure), FailureCode::InDoubt);
}

#[test_case(Asked::Write, LinkFailure::NotSent)]
#[test_case(Asked::Write, LinkFailure::NoSlot)]
#[test_case(Asked::Commit { wrote: true }, LinkFailure::NotSent)]
#[test_case(Asked::Commit { wrote: false }, LinkFailure::TimedOut)]
#[test_case(Asked::InTransaction, LinkFailure::Broken)]
#[test_case(Asked::InTransaction, LinkFailure::TimedOut)]
fn what_was_never_committed_is_promised_not_to_be_kept(asked: Asked, failure: LinkFailure) {
    assert!(is_promise(of_link_failure(asked, failure)));
}

#[test_case(EndpointErrorKind::Failed)]
#[test_case(EndpointErrorKind::TimedOut)]
#[test_case(EndpointErrorKind::Malformed)]
#[test_case(EndpointErrorKind::Other)]
fn an_error_after_a_run_is_no_promise_for_a_write(kind: EndpointErrorKind) {
    assert!(!is_promise(of_error(Asked::Write, kind)));
    assert!(!is_promise(of_error(Asked::Commit { wrote: true }, kind)));
}

#[test_case(EndpointErrorKind::Busy)]
#[test_case(EndpointErrorKind::ReadOnly)]
#[test_case(EndpointErrorKind::Lagging)]
#[test_case(EndpointErrorKind::UnknownStatement)]
fn an_error_before_a_run_is_a_promise(kind: EndpointErrorKind) {
    for asked in [Asked::Read, Asked::Write, Asked::InTransaction, Asked::Commit { wrote: true }] {
        assert!(is_promise(of_error(asked, kind)), "{asked:?}");
    }
}

#[test]
fn a_statement_that_fails_inside_a_transaction_aborts_all_of_it() {
    assert_eq!(of_error(Asked::InTransaction, EndpointErrorKind::Failed), FailureCode::Aborted);
}
