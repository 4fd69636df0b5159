//! What is sent to an endpoint over one connection and what comes back, also where another entry instance holds the
//! connection. Names are short in the encoding, since every statement that is passed on carries them.

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
    /// In none.
    Idle,
    /// In one.
    Open,
    /// In one that has failed; it can only be ended.
    Failed,
}

/// A point of a group's log: a later timeline goes before a greater position.
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
    /// The point with what promotions have rolled back taken off, so that some endpoint can have it.
    #[must_use]
    pub fn without_lost(self, starts: &[TermStart]) -> Self {
        let next = starts.iter().find(|start| start.timeline > self.timeline);
        match next {
            Some(next) if self.position > next.position => Self { position: next.position, ..self },
            _ => self,
        }
    }
}

/// A value of a session.
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
    /// The session's name of it.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// Whether it reads or writes.
    #[serde(rename = "a")]
    pub access: Access,
    /// What it does, in the endpoint's own words.
    #[serde(rename = "s")]
    pub shape: Arc<str>,
}

impl Keyed for Prepared {
    type Key = Arc<str>;

    fn key(&self) -> &Arc<str> {
        &self.name
    }
}

impl Prepared {
    /// The name under which connections hold this statement: the same for every session that prepared the same, since
    /// sessions' own names collide.
    pub fn shared_name(&self) -> Arc<str> {
        let access = match self.access {
            Access::Read => 'r',
            Access::Write => 'w',
        };
        format!("{access}_{}", self.shape).into()
    }
}

/// How an exchange with an endpoint ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the instance that holds the connections had no place in time.
    #[serde(rename = "NoPlace")]
    NoSlot,
    /// The connection broke after something was sent.
    Broken,
    /// No answer came in time.
    TimedOut,
}

impl LinkFailure {
    /// Whether it is certain that nothing was sent.
    pub fn is_not_sent(self) -> bool {
        matches!(self, Self::NotSent | Self::NoSlot)
    }
}

/// One command to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Drops the connection's session values and prepared statements.
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
    /// Prepares a statement under a name of the connection.
    Prepare {
        /// The name.
        #[serde(rename = "n")]
        name: Arc<str>,
        /// Whether it reads or writes.
        #[serde(rename = "a")]
        access: Access,
        /// What it does, in the endpoint's own words.
        #[serde(rename = "s")]
        shape: Arc<str>,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        #[serde(rename = "r")]
        read_only: bool,
        /// A point that the endpoint's log must have.
        #[serde(rename = "f")]
        after: Option<LogPoint>,
    },
    /// Rolls the transaction back, on the system's own behalf.
    Rollback,
    /// Asks for the state of the endpoint's log.
    Status,
    /// Passes a client's statement on.
    Run {
        /// The client's identifier.
        #[serde(rename = "i")]
        id: Arc<str>,
        /// The client's text, unchanged.
        #[serde(rename = "t")]
        text: Arc<str>,
        /// A point that the endpoint's log must have.
        #[serde(rename = "f")]
        after: Option<LogPoint>,
    },
    /// Passes a client's use of a prepared statement on.
    Execute {
        /// The client's identifier.
        #[serde(rename = "i")]
        id: Arc<str>,
        /// The connection's name of the statement.
        #[serde(rename = "n")]
        name: Arc<str>,
        /// The client's arguments, unchanged.
        #[serde(rename = "g")]
        arguments: Arc<str>,
        /// A point that the endpoint's log must have.
        #[serde(rename = "f")]
        after: Option<LogPoint>,
    },
    /// Passes a client's commit on.
    Commit {
        /// The client's identifier.
        #[serde(rename = "i")]
        id: Arc<str>,
    },
}

impl Command {
    /// The client's identifier of its statement; none for the system's own commands.
    pub fn client_id(&self) -> Option<&str> {
        match self {
            Self::Run { id, .. } | Self::Execute { id, .. } | Self::Commit { id } => Some(id),
            _ => None,
        }
    }
}

/// An endpoint's answer to one command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The rows and the proof that the endpoint ran the command, or why it did not succeed.
    #[serde(rename = "r")]
    pub result: Result<Rows, EndpointError>,
    /// Whether the connection is inside a transaction now.
    #[serde(rename = "s")]
    pub state: TransactionState,
    /// How far the endpoint's log was when it answered; none where it did not say.
    #[serde(rename = "p")]
    pub point: Option<LogPoint>,
}

/// The rows of a successful answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, in order.
    #[serde(rename = "r")]
    pub rows: Vec<Box<str>>,
    /// What the endpoint proves its answer with.
    #[serde(rename = "p")]
    pub proof: Box<str>,
}

/// An endpoint's refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointError {
    /// What kind it is.
    #[serde(rename = "k")]
    pub kind: EndpointErrorKind,
    /// The endpoint's own text.
    #[serde(rename = "t")]
    pub text: Box<str>,
}

/// What kind of error an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
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
