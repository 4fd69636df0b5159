//! What an interactive client asks for, one statement at a time.

pub use cumincart_protocol::exchange::{Access, TransactionState};

use std::sync::Arc;

/// One statement of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The client's identifier of it, which goes to the endpoint unchanged.
    pub id: Arc<str>,
    /// What it asks for.
    pub action: Action,
}

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Begins a transaction.
    Begin {
        /// Whether it only reads, so that a replica may serve it.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Runs a text as it is.
    Run {
        /// Whether it reads or writes.
        access: Access,
        /// The text, which goes to the endpoint unchanged.
        text: Arc<str>,
    },
    /// Sets a value of the session.
    Set {
        /// Its name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: Arc<str>,
        /// Whether it reads or writes.
        access: Access,
        /// What it does, in the endpoint's own words.
        shape: Arc<str>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name of it.
        name: Arc<str>,
        /// The arguments, which go to the endpoint unchanged.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The session's name of it.
        name: Arc<str>,
    },
}
