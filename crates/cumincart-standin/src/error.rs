//! Refusals with PostgreSQL's codes.

use {
    pgwire::error::{ErrorInfo, PgWireError},
    rusqlite::ffi,
};

/// SQLSTATE: a unique key is there already.
pub const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE: a write in a read-only transaction or on a replica.
pub const READ_ONLY: &str = "25006";
/// SQLSTATE: the transaction has failed; only its end is accepted.
pub const TRANSACTION_FAILED: &str = "25P02";
/// SQLSTATE: a commit could not repeat what its transaction saw.
pub const SERIALIZATION_FAILURE: &str = "40001";
/// SQLSTATE: the connection limit is reached.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE: a promotion of what is a primary already.
pub const NOT_IN_RECOVERY: &str = "55000";

/// A refused statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// One sentence.
    pub message: String,
}

impl SqlError {
    /// A refusal.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// The refusal as a message of the protocol.
    pub fn to_wire(&self, severity: &str) -> PgWireError {
        let info = ErrorInfo::new(severity.to_owned(), self.code.to_owned(), self.message.clone());
        PgWireError::UserError(Box::new(info))
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let extended = match &error {
            rusqlite::Error::SqliteFailure(failure, _) => failure.extended_code,
            rusqlite::Error::SqlInputError { error, .. } => error.extended_code,
            _ => 0,
        };
        Self { code: sqlstate(extended, &message), message }
    }
}

fn sqlstate(extended: i32, message: &str) -> &'static str {
    match extended {
        ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => UNIQUE_VIOLATION,
        ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        _ if message.contains("no such table") => "42P01",
        _ if message.contains("no such column") => "42703",
        _ if message.contains("syntax error") => "42601",
        _ => "XX000",
    }
}
