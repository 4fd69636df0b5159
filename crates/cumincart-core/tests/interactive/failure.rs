//! Failure codes: a code states that nothing was committed only where this is certain.

use {
    cumincart_core::interactive::{
        command::EndpointErrorKind,
        failure::{FailureCode, LinkFailure, StatementKind, code_for_error, code_for_link_failure},
    },
    test_case::test_case,
};

/// Returns whether the code states that nothing of the attempt was committed.
fn states_nothing_committed(code: FailureCode) -> bool {
    matches!(code, FailureCode::Busy | FailureCode::Aborted | FailureCode::Lagging | FailureCode::ReadOnly)
}

#[test_case(StatementKind::Write, LinkFailure::Broken)]
#[test_case(StatementKind::Write, LinkFailure::TimedOut)]
#[test_case(StatementKind::Commit { wrote: true }, LinkFailure::Broken)]
#[test_case(StatementKind::Commit { wrote: true }, LinkFailure::TimedOut)]
fn a_write_without_an_answer_is_in_doubt(statement: StatementKind, failure: LinkFailure) {
    assert_eq!(code_for_link_failure(statement, failure), FailureCode::InDoubt);
}

#[test_case(StatementKind::Write, LinkFailure::NotSent)]
#[test_case(StatementKind::Write, LinkFailure::NoSlot)]
#[test_case(StatementKind::Commit { wrote: true }, LinkFailure::NotSent)]
#[test_case(StatementKind::Commit { wrote: false }, LinkFailure::TimedOut)]
#[test_case(StatementKind::InTransaction, LinkFailure::Broken)]
#[test_case(StatementKind::InTransaction, LinkFailure::TimedOut)]
fn what_can_not_have_been_committed_is_reported_as_not_committed(
    statement: StatementKind,
    failure: LinkFailure,
) {
    assert!(states_nothing_committed(code_for_link_failure(statement, failure)));
}

#[test_case(EndpointErrorKind::Failed)]
#[test_case(EndpointErrorKind::TimedOut)]
#[test_case(EndpointErrorKind::Malformed)]
#[test_case(EndpointErrorKind::Other)]
fn an_error_after_a_write_ran_does_not_state_that_nothing_was_committed(kind: EndpointErrorKind) {
    assert!(!states_nothing_committed(code_for_error(StatementKind::Write, kind)));
    assert!(!states_nothing_committed(code_for_error(StatementKind::Commit { wrote: true }, kind)));
}

#[test_case(EndpointErrorKind::Busy)]
#[test_case(EndpointErrorKind::ReadOnly)]
#[test_case(EndpointErrorKind::Lagging)]
#[test_case(EndpointErrorKind::UnknownStatement)]
fn an_error_before_a_statement_ran_states_that_nothing_was_committed(kind: EndpointErrorKind) {
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
fn a_statement_that_fails_inside_a_transaction_aborts_the_transaction() {
    assert_eq!(code_for_error(StatementKind::InTransaction, EndpointErrorKind::Failed), FailureCode::Aborted);
}
