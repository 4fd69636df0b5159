//! What an entry instance's core asks of a connection to an endpoint, and what comes back.
//!
//! The core knows nothing of the endpoint's protocol; the runtime's adapter turns each work into as few round trips
//! as it can.

use {
    cumincart_protocol::{
        announcement::Role,
        name::OrganisationName,
        number::{LogPosition, Timeline},
        request::{RequestId, Rows, Statement},
    },
    std::sync::Arc,
};

/// Names a connection within one run of an entry instance; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Names a work within one run of an entry instance; never used twice. Answers are matched by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandId(pub u64);

/// Something to do on one connection.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointCommand {
    /// One statement in a read-only transaction, with the endpoint's state as seen inside it. One round trip.
    Read(Statement),
    /// One statement in a transaction of its own, committed, with the endpoint's state after the commit. A claim is
    /// inserted first, in the same transaction.
    Write(Statement, Option<Claim>),
    /// Opens a transaction; read-only when told.
    Begin {
        /// Whether the endpoint must refuse writes in it.
        read_only: bool,
    },
    /// One statement inside the open transaction.
    Statement(Statement),
    /// Commits the open transaction, with the endpoint's state after the commit. A claim is inserted before.
    Commit(Option<Claim>),
    /// Rolls the open transaction back.
    Rollback,
    /// Asks for the endpoint's state alone.
    Probe,
}

/// The mark that a request which may not be repeated leaves in the database, in the transaction of its write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The organisation, so that two organisations' ids can't collide; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// The caller's id.
    pub request_id: RequestId,
}

/// An endpoint's own view of itself, taken on the connection that did the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointState {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// The last position that it has written or applied.
    pub position: LogPosition,
    /// For a replica: time since it was last known to have all of the primary's log.
    pub lag_ms: u64,
}

/// The outcome of a work that the endpoint finished.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandOutput {
    /// The rows.
    pub rows: Rows,
    /// The endpoint's state; absent from works that don't ask for it.
    pub state: Option<EndpointState>,
}

/// Why a work gave no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// Nothing reached the endpoint.
    NotSent,
    /// The claim was there already: this request id has been committed before. Rolled back.
    AlreadyClaimed,
    /// The endpoint refused the statement; nothing of the transaction remains.
    Statement {
        /// The endpoint's SQLSTATE.
        code: Arc<str>,
        /// The endpoint's message.
        message: Arc<str>,
    },
    /// The connection was lost before a commit was sent: the endpoint rolls back.
    LostBeforeCommit,
    /// The connection was lost with a commit on its way.
    LostInCommit,
}
