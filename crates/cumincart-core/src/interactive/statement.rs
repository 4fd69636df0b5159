//! Statements of interactive clients.

pub use cumincart_protocol::exchange::{Access, TransactionState};

use std::sync::Arc;

/// One statement of a client session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The client's identifier of the statement, which goes to the endpoint unchanged.
    pub id: Arc<str>,
    /// What the statement does.
    pub action: Action,
}

impl Statement {
    /// Returns the length of the identifier and the text as they are sent to an endpoint, in bytes. It is that of the
    /// client's own text if a prepared statement is executed, whose name at the endpoint is not longer.
    pub fn length_bytes(&self) -> usize {
        let text_bytes = match &self.action {
            Action::Run { text, .. } => text.len(),
            Action::Execute { name, arguments } => name.len() + arguments.len(),
            _ => 0,
        };
        self.id.len() + text_bytes
    }
}

/// The action of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only, so that a replica may serve it.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Runs a statement text.
    Run {
        /// Whether the statement reads or writes.
        access: Access,
        /// The text, which goes to the endpoint unchanged.
        text: Arc<str>,
    },
    /// Sets a session value.
    Set {
        /// The name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name local to the session.
    Prepare {
        /// The name.
        name: Arc<str>,
        /// Whether the statement reads or writes.
        access: Access,
        /// What the statement does, in the endpoint's own notation.
        shape: Arc<str>,
    },
    /// Executes a prepared statement.
    Execute {
        /// The session's name of the statement.
        name: Arc<str>,
        /// The arguments, which go to the endpoint unchanged.
        arguments: Arc<str>,
    },
    /// Removes a prepared statement from the session.
    Deallocate {
        /// The session's name of the statement.
        name: Arc<str>,
    },
}
