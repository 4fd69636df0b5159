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
pub enum Asked {
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
pub fn of_error(asked: Asked, kind: EndpointErrorKind) -> FailureCode {
    match asked {
        // Before its commit is sent, a transaction that fails is always rolled back.
        Asked::InTransaction => FailureCode::Aborted,
        Asked::Commit { wrote: false } => FailureCode::Aborted,
        Asked::Commit { wrote: true } if kind.is_not_run() => FailureCode::Aborted,
        Asked::Read | Asked::Write | Asked::Commit { .. } => of_kind(kind),
    }
}

/// What a client is told after an exchange without an answer.
pub fn of_link_failure(asked: Asked, failure: LinkFailure) -> FailureCode {
    match (asked, failure) {
        (Asked::InTransaction | Asked::Commit { wrote: false }, _) => FailureCode::Aborted,
        (Asked::Commit { .. }, LinkFailure::NotSent | LinkFailure::NoSlot) => FailureCode::Aborted,
        (Asked::Read | Asked::Write, LinkFailure::NotSent | LinkFailure::NoSlot) => FailureCode::Busy,
        (Asked::Read, LinkFailure::Broken) => FailureCode::Busy,
        (Asked::Read, LinkFailure::TimedOut) => FailureCode::Timeout,
        (Asked::Write | Asked::Commit { .. }, _) => FailureCode::InDoubt,
    }
}

fn of_kind(kind: EndpointErrorKind) -> FailureCode {
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
