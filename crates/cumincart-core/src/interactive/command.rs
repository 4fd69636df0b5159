//! What is sent to an endpoint over one connection, and what comes back.

use {
    super::{
        positions::LogPoint,
        statement::{Access, TransactionState},
    },
    std::sync::Arc,
};

/// One command to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Drops the connection's session values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Its name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name of the connection.
    Prepare {
        /// The name.
        name: Arc<str>,
        /// Whether it reads or writes.
        access: Access,
        /// What it does, in the endpoint's own words.
        shape: Arc<str>,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// A point that the endpoint's log must have.
        after: Option<LogPoint>,
    },
    /// Rolls the transaction back, on the system's own behalf.
    Rollback,
    /// Asks for the state of the endpoint's log.
    Status,
    /// Passes a client's statement on.
    Run {
        /// The client's identifier.
        id: Arc<str>,
        /// The client's text, unchanged.
        text: Arc<str>,
        /// A point that the endpoint's log must have.
        after: Option<LogPoint>,
    },
    /// Passes a client's use of a prepared statement on.
    Execute {
        /// The client's identifier.
        id: Arc<str>,
        /// The connection's name of the statement.
        name: Arc<str>,
        /// The client's arguments, unchanged.
        arguments: Arc<str>,
        /// A point that the endpoint's log must have.
        after: Option<LogPoint>,
    },
    /// Passes a client's commit on.
    Commit {
        /// The client's identifier.
        id: Arc<str>,
    },
}

/// An endpoint's answer to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The rows and the proof that the endpoint ran the command, or why it did not succeed.
    pub result: Result<Rows, EndpointError>,
    /// Whether the connection is inside a transaction now.
    pub state: TransactionState,
    /// How far the endpoint's log was when it answered; none where it did not say.
    pub point: Option<LogPoint>,
}

/// The rows of a successful answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows, in order.
    pub rows: Vec<Box<str>>,
    /// What the endpoint proves its answer with.
    pub proof: Box<str>,
}

/// An endpoint's refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointError {
    /// What kind it is.
    pub kind: EndpointErrorKind,
    /// The endpoint's own text.
    pub text: Box<str>,
}

/// What kind of error an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointErrorKind {
    /// Its queue is full; nothing ran.
    Busy,
    /// It does not know the prepared statement; nothing ran.
    UnknownStatement,
    /// Its log lacks the point that was asked for; nothing ran.
    Lagging,
    /// It is not the primary; nothing ran.
    ReadOnly,
    /// It is another endpoint than the one that was expected; nothing ran.
    Misrouted,
    /// It has as many connections as it accepts; nothing ran.
    TooManyConnections,
    /// It ran and failed.
    Failed,
    /// It ran and took too long.
    TimedOut,
    /// The command can't be run in the connection's state, or can't be read.
    Malformed,
    /// Something that is not known here; it may have run.
    Other,
}

impl EndpointErrorKind {
    /// Whether the error says that nothing ran.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::UnknownStatement
            | Self::Lagging
            | Self::ReadOnly
            | Self::Misrouted
            | Self::TooManyConnections => true,
            Self::Failed | Self::TimedOut | Self::Malformed | Self::Other => false,
        }
    }
}
