//! Commands to an endpoint over one connection and their replies, also when another entry instance holds the
//! connection. Field names are short in the encoding because every relayed statement carries them.

use {
    crate::{
        catalogue::TermStart,
        number::{LogPosition, Timeline},
        sorted::Keyed,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes.
    Write,
}

/// Whether a session is inside a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Outside a transaction.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a failed transaction, which can only be ended.
    Failed,
}

/// A point in a group's log. Points are ordered by timeline first, then by position.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPoint {
    /// The timeline.
    #[serde(rename = "t")]
    pub timeline: Timeline,
    /// The position.
    #[serde(rename = "p")]
    pub position: LogPosition,
}

impl fmt::Display for LogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.timeline, self.position)
    }
}

impl LogPoint {
    /// Returns the point without the part of the log that later promotions have discarded, so that an endpoint can
    /// reach it.
    #[must_use]
    pub fn without_lost(self, starts: &[TermStart]) -> Self {
        let next = starts.iter().find(|start| start.timeline > self.timeline);
        match next {
            Some(next) if self.position > next.position => Self { position: next.position, ..self },
            _ => self,
        }
    }
}

/// A value that a client has set for its session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionValue {
    /// Its name.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// The value.
    #[serde(rename = "v")]
    pub value: Arc<str>,
}

impl Keyed for SessionValue {
    type Key = Arc<str>;

    fn key(&self) -> &Arc<str> {
        &self.name
    }
}

/// A statement that a session has prepared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prepared {
    /// The name that the session gave it.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// Whether it reads or writes.
    #[serde(rename = "a")]
    pub access: Access,
    /// The statement, in the endpoint's own syntax.
    #[serde(rename = "s")]
    pub shape: Arc<str>,
}

impl Keyed for Prepared {
    type Key = Arc<str>;

    fn key(&self) -> &Arc<str> {
        &self.name
    }
}

/// The reason why an exchange with an endpoint ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the instance that holds the connections had no free slot in time.
    #[serde(rename = "NoPlace")]
    NoSlot,
    /// The connection broke after something was sent.
    Broken,
    /// No answer arrived in time.
    TimedOut,
}

impl LinkFailure {
    /// Returns whether it is certain that nothing was sent.
    pub fn is_not_sent(self) -> bool {
        matches!(self, Self::NotSent | Self::NoSlot)
    }
}

/// A command to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Discards the connection's session values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Its name.
        #[serde(rename = "n")]
        name: Arc<str>,
        /// The value.
        #[serde(rename = "v")]
        value: Arc<str>,
    },
    /// Prepares a statement on the connection.
    Prepare {
        /// The name.
        #[serde(rename = "n")]
        name: Arc<str>,
        /// Whether it reads or writes.
        #[serde(rename = "a")]
        access: Access,
        /// The statement, in the endpoint's own syntax.
        #[serde(rename = "s")]
        shape: Arc<str>,
    },
    /// Removes a prepared statement from the connection.
    Deallocate {
        /// The name.
        #[serde(rename = "n")]
        name: Arc<str>,
    },
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        #[serde(rename = "r")]
        read_only: bool,
        /// A point that the endpoint's log must have reached.
        #[serde(rename = "f")]
        after: Option<LogPoint>,
    },
    /// Rolls back the transaction, on the initiative of the instance rather than the client.
    Rollback,
    /// Asks for the state of the endpoint's log.
    Status,
    /// Runs a client's statement.
    Run {
        /// The client's identifier of the statement.
        #[serde(rename = "i")]
        id: Arc<str>,
        /// The text of the statement, unchanged.
        #[serde(rename = "t")]
        text: Arc<str>,
        /// A point that the endpoint's log must have reached.
        #[serde(rename = "f")]
        after: Option<LogPoint>,
    },
    /// Executes a prepared statement for a client.
    Execute {
        /// The client's identifier of the statement.
        #[serde(rename = "i")]
        id: Arc<str>,
        /// The name of the prepared statement on the connection. In a relayed exchange it is
        /// [`RELAYED_STATEMENT`](crate::relay::RELAYED_STATEMENT).
        #[serde(rename = "n")]
        name: Arc<str>,
        /// The arguments, as the client sent them.
        #[serde(rename = "g")]
        arguments: Arc<str>,
        /// A point that the endpoint's log must have reached.
        #[serde(rename = "f")]
        after: Option<LogPoint>,
    },
    /// Commits a client's transaction.
    Commit {
        /// The client's identifier of the statement.
        #[serde(rename = "i")]
        id: Arc<str>,
    },
}

impl Command {
    /// Returns the client's identifier of the statement; none for commands that the instance issues itself.
    pub fn client_id(&self) -> Option<&str> {
        match self {
            Self::Run { id, .. } | Self::Execute { id, .. } | Self::Commit { id } => Some(id),
            _ => None,
        }
    }
}

/// An endpoint's reply to one command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The rows and the confirmation that the endpoint ran the command, or the error.
    #[serde(rename = "r")]
    pub result: Result<Rows, EndpointError>,
    /// The transaction state of the connection after the command.
    #[serde(rename = "s")]
    pub state: TransactionState,
    /// The end of the endpoint's log when it replied; none if the reply did not include it.
    #[serde(rename = "p")]
    pub point: Option<LogPoint>,
}

/// The rows of a successful reply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, in order.
    #[serde(rename = "r")]
    pub rows: Vec<Box<str>>,
    /// The endpoint's confirmation that it ran the command, which is opaque to instances and passed to the client
    /// unchanged. It is `-` in an answer that comes from the instance itself.
    #[serde(rename = "p")]
    pub confirmation: Box<str>,
}

/// An error that an endpoint reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointError {
    /// The kind of error.
    #[serde(rename = "k")]
    pub kind: EndpointErrorKind,
    /// The endpoint's message.
    #[serde(rename = "t")]
    pub text: Box<str>,
}

/// The kind of error that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointErrorKind {
    /// The endpoint's queue is full; nothing ran.
    Busy,
    /// The endpoint does not know the prepared statement; nothing ran.
    UnknownStatement,
    /// The endpoint's log has not reached the requested point; nothing ran.
    Lagging,
    /// The endpoint is not the primary; nothing ran.
    ReadOnly,
    /// The connection reached a different endpoint than expected; nothing ran.
    Misrouted,
    /// The endpoint has reached its connection limit; nothing ran.
    TooManyConnections,
    /// The command ran and failed.
    Failed,
    /// The command ran and timed out.
    TimedOut,
    /// The command is malformed, or not allowed in the connection's state.
    Malformed,
    /// Any other error; the command may have run.
    Other,
}

impl EndpointErrorKind {
    /// Returns whether the error guarantees that nothing ran.
    pub fn guarantees_not_run(self) -> bool {
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
