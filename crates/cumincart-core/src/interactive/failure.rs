//! What a client is told when its statement did not succeed: a promise only where it is true.

pub use cumincart_protocol::exchange::LinkFailure;

use cumincart_protocol::exchange::EndpointErrorKind;

/// Why a statement did not succeed, as the client is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCode {
    /// Nothing ran: too much work, or nobody can serve it now.
    Busy,
    /// Nothing is kept of the transaction.
    Aborted,
    /// Nothing ran: no endpoint has the point that the read needs.
    Lagging,
    /// Nothing ran: the endpoint is not the primary any more.
    ReadOnly,
    /// It is not known whether it ran.
    InDoubt,
    /// It took too long; it may have run.
    Timeout,
    /// No database has this name.
    UnknownDatabase,
    /// The key is not known.
    Unauthorised,
    /// The prepared statement is not known.
    UnknownStatement,
    /// The statement can't be read, or not in this state.
    Malformed,
    /// It ran and failed.
    Failed,
}

/// What was asked of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// A single read.
    Read,
    /// A single write.
    Write,
    /// A statement within a transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit {
        /// Whether the transaction wrote anything.
        wrote: bool,
    },
}

/// What a client is told after an endpoint's error.
pub fn code_for_error(statement: StatementKind, kind: EndpointErrorKind) -> FailureCode {
    match statement {
        // Before its commit is sent, a transaction that fails is always rolled back.
        StatementKind::InTransaction => FailureCode::Aborted,
        StatementKind::Commit { wrote: false } => FailureCode::Aborted,
        StatementKind::Commit { wrote: true } if kind.is_not_run() => FailureCode::Aborted,
        StatementKind::Read | StatementKind::Write | StatementKind::Commit { .. } => code_for_kind(kind),
    }
}

/// What a client is told after an exchange without an answer.
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
