//! The commands that an entry instance's core executes on endpoint connections, and their results.
//!
//! The core knows nothing of the endpoint's protocol. The runtime's adapter executes each command in as few round
//! trips as it can.

use {
    cumincart_protocol::{
        announcement::Role,
        name::OrganisationName,
        number::{LogPosition, Timeline},
        request::{RequestId, Rows, Statement},
    },
    std::sync::Arc,
};

/// Identifies a connection within one incarnation of an entry instance; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies a command within one incarnation of an entry instance; never reused. Results are matched by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandId(pub u64);

/// A command to execute on one connection.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointCommand {
    /// Executes one statement in a read-only transaction and returns the endpoint's state as seen inside it. Takes
    /// one round trip.
    Read(Statement),
    /// Executes one statement in its own transaction, commits it and returns the endpoint's state after the commit.
    /// A claim is inserted first, in the same transaction.
    Write(Statement, Option<Claim>),
    /// Opens a transaction.
    Begin {
        /// Whether the endpoint must refuse writes in it.
        read_only: bool,
    },
    /// Executes one statement in the open transaction.
    Statement(Statement),
    /// Inserts the claim, commits the open transaction and returns the endpoint's state after the commit.
    Commit(Option<Claim>),
    /// Rolls the open transaction back.
    Rollback,
    /// Queries the endpoint's state only.
    Probe,
}

/// The row that a non-repeatable request inserts in the transaction of its write, so that a second execution of the
/// request is detected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The organisation, so that two organisations' ids can't collide; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// The caller's request id.
    pub request_id: RequestId,
}

/// The state that an endpoint reports of itself, on the connection that executed the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointState {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// The last position that it has written or applied.
    pub position: LogPosition,
    /// For a replica: the time since it was last known to have all of the primary's log, in milliseconds.
    pub lag_ms: u64,
}

/// The output of a command that the endpoint completed.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandOutput {
    /// The rows.
    pub rows: Rows,
    /// The endpoint's state; none for commands that don't query it.
    pub state: Option<EndpointState>,
}

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// The command was not sent to the endpoint.
    NotSent,
    /// The claim already exists, so this request id has been committed before. The transaction is rolled back.
    AlreadyClaimed,
    /// The endpoint returned an error; nothing of the transaction is committed.
    Statement {
        /// The endpoint's SQLSTATE.
        code: Arc<str>,
        /// The endpoint's message.
        message: Arc<str>,
    },
    /// The connection was lost before a commit was sent, so the endpoint rolls back.
    LostBeforeCommit,
    /// The connection was lost while a commit was in flight.
    LostInCommit,
}
