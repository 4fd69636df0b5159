//! What clients are promised: a promise that nothing is kept only where nothing can be.

use {
    cumincart_core::interactive::{
        command::EndpointErrorKind,
        failure::{FailureCode, LinkFailure, StatementKind, code_for_error, code_for_link_failure},
    },
    test_case::test_case,
};

/// Whether the code promises that nothing of the attempt is kept.
fn states_nothing_committed(code: FailureCode) -> bool {
    matches!(code, FailureCode::Busy | FailureCode::Aborted | FailureCode::Lagging | FailureCode::ReadOnly)
}

#[test_case(StatementKind::Write, LinkFailure::Broken)]
#[test_case(StatementKind::Write, LinkFailure::TimedOut)]
#[test_case(StatementKind::Commit { wrote: true }, LinkFailure::Broken)]
#[test_case(StatementKind::Commit { wrote: true }, LinkFailure::TimedOut)]
fn a_write_whose_answer_is_missing_is_in_doubt(statement: StatementKind, failure: LinkFailure) {
    assert_eq!(code_for_link_failure(statement, failure), FailureCode::InDoubt);
}

#[test_case(StatementKind::Write, LinkFailure::NotSent)]
#[test_case(StatementKind::Write, LinkFailure::NoSlot)]
#[test_case(StatementKind::Commit { wrote: true }, LinkFailure::NotSent)]
#[test_case(StatementKind::Commit { wrote: false }, LinkFailure::TimedOut)]
#[test_case(StatementKind::InTransaction, LinkFailure::Broken)]
#[test_case(StatementKind::InTransaction, LinkFailure::TimedOut)]
fn what_was_never_committed_is_promised_not_to_be_kept(statement: StatementKind, failure: LinkFailure) {
    assert!(states_nothing_committed(code_for_link_failure(statement, failure)));
}

#[test_case(EndpointErrorKind::Failed)]
#[test_case(EndpointErrorKind::TimedOut)]
#[test_case(EndpointErrorKind::Malformed)]
#[test_case(EndpointErrorKind::Other)]
fn an_error_after_a_run_is_no_promise_for_a_write(kind: EndpointErrorKind) {
    assert!(!states_nothing_committed(code_for_error(StatementKind::Write, kind)));
    assert!(!states_nothing_committed(code_for_error(StatementKind::Commit { wrote: true }, kind)));
}

#[test_case(EndpointErrorKind::Busy)]
#[test_case(EndpointErrorKind::ReadOnly)]
#[test_case(EndpointErrorKind::Lagging)]
#[test_case(EndpointErrorKind::UnknownStatement)]
fn an_error_before_a_run_is_a_promise(kind: EndpointErrorKind) {
    for statement in [
        StatementKind::Read,
        StatementKind::Write,
        StatementKind::InTransaction,
        StatementKind::Commit { wrote: true },
    ] {
        assert!(states_nothing_committed(code_for_error(statement, kind)), "{statement:?}");
    }
}

#[test]
fn a_statement_that_fails_inside_a_transaction_aborts_all_of_it() {
    assert_eq!(code_for_error(StatementKind::InTransaction, EndpointErrorKind::Failed), FailureCode::Aborted);
}
