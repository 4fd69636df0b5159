//! SQL errors with PostgreSQL's SQLSTATE codes.

use {
    pgwire::error::{ErrorInfo, PgWireError},
    rusqlite::ffi,
};

/// SQLSTATE `unique_violation`: a unique or primary key exists already.
pub const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE `read_only_sql_transaction`: a write in a read-only transaction or on a replica.
pub const READ_ONLY: &str = "25006";
/// SQLSTATE `in_failed_sql_transaction`: the transaction has failed and accepts only COMMIT or ROLLBACK.
pub const TRANSACTION_FAILED: &str = "25P02";
/// SQLSTATE `serialization_failure`: a write of the transaction failed when it was applied at the commit.
pub const SERIALIZATION_FAILURE: &str = "40001";
/// SQLSTATE `too_many_connections`: the connection limit is reached.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE `object_not_in_prerequisite_state`: promotion of a database that is a primary already.
pub const NOT_IN_RECOVERY: &str = "55000";

/// The error of a failed statement or a rejected connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The error message.
    pub message: String,
}

impl SqlError {
    /// Creates an error.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// Converts the error into a protocol error message of the given severity.
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
