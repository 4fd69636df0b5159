//! Maps errors and lost connections to the failure codes that clients get. A code states that nothing ran or was
//! committed only where this is certain.

pub use cumincart_protocol::exchange::LinkFailure;

use cumincart_protocol::exchange::EndpointErrorKind;

/// Why a statement did not succeed, as reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCode {
    /// Nothing ran: overload, or no endpoint can serve the statement now.
    Busy,
    /// The transaction is rolled back.
    Aborted,
    /// Nothing ran: no endpoint has reached the log point that the read requires.
    Lagging,
    /// Nothing ran: the endpoint is no longer the primary.
    ReadOnly,
    /// It is unknown whether the statement or the commit took effect.
    InDoubt,
    /// The statement timed out; it may have run.
    Timeout,
    /// No database has this name.
    UnknownDatabase,
    /// The key that the client authenticates with is unknown.
    Unauthorised,
    /// No prepared statement has this name.
    UnknownStatement,
    /// The statement can't be parsed, or is not allowed in the session's current state.
    Malformed,
    /// The statement ran and failed.
    Failed,
}

/// The kind of statement that failed. It determines what a missing answer leaves uncertain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// A statement within a transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit {
        /// Whether the transaction wrote anything.
        wrote: bool,
    },
}

/// Returns the failure code for an error that the endpoint reported.
pub fn code_for_error(statement: StatementKind, kind: EndpointErrorKind) -> FailureCode {
    match statement {
        // A transaction that fails before its commit is sent is always rolled back.
        StatementKind::InTransaction => FailureCode::Aborted,
        StatementKind::Commit { wrote: false } => FailureCode::Aborted,
        StatementKind::Commit { wrote: true } if kind.guarantees_not_run() => FailureCode::Aborted,
        StatementKind::Read | StatementKind::Write | StatementKind::Commit { .. } => code_for_kind(kind),
    }
}

/// Returns the failure code for an exchange that ended without an answer.
pub fn code_for_link_failure(statement: StatementKind, failure: LinkFailure) -> FailureCode {
    match (statement, failure) {
        (StatementKind::InTransaction | StatementKind::Commit { wrote: false }, _) => FailureCode::Aborted,
        (StatementKind::Commit { .. }, LinkFailure::NotSent | LinkFailure::NoSlot) => FailureCode::Aborted,
        (StatementKind::Read | StatementKind::Write, LinkFailure::NotSent | LinkFailure::NoSlot) => {
            FailureCode::Busy
        }
        (StatementKind::Read, LinkFailure::Broken) => FailureCode::Busy,
        (StatementKind::Read, LinkFailure::TimedOut) => FailureCode::Timeout,
        (StatementKind::Write | StatementKind::Commit { .. }, _) => FailureCode::InDoubt,
    }
}

fn code_for_kind(kind: EndpointErrorKind) -> FailureCode {
    match kind {
        EndpointErrorKind::Busy
        | EndpointErrorKind::TooManyConnections
        | EndpointErrorKind::Misrouted
        | EndpointErrorKind::UnknownStatement => FailureCode::Busy,
        EndpointErrorKind::Lagging => FailureCode::Lagging,
        EndpointErrorKind::ReadOnly => FailureCode::ReadOnly,
        EndpointErrorKind::Failed => FailureCode::Failed,
        EndpointErrorKind::TimedOut => FailureCode::Timeout,
        EndpointErrorKind::Malformed | EndpointErrorKind::Other => FailureCode::InDoubt,
    }
}
