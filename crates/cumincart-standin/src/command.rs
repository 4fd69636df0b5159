//! Classifies the statements that the stand-in executes itself instead of passing them to SQLite.

use cumincart_protocol::endpoint_sql::{STATE_SQL, TIMELINE_START_SQL};

/// The command that a statement stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction rejects writes.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Returns the database's role, timeline, log position and lag.
    State,
    /// Returns the log position at which the database's timeline began.
    TimelineStart,
    /// Promotes this replica to primary.
    Promote,
    /// Sets a connection parameter; accepted and ignored.
    Set,
    /// Any other statement; executed by SQLite.
    Run,
}

/// Classifies a statement by its text.
pub fn classify(sql: &str) -> Command {
    if sql == STATE_SQL {
        return Command::State;
    }
    if sql == TIMELINE_START_SQL {
        return Command::TimelineStart;
    }
    let text = sql.trim().trim_end_matches(';').to_ascii_lowercase();
    let mut words = text.split_ascii_whitespace();
    match words.next().unwrap_or_default() {
        "begin" | "start" => Command::Begin { read_only: text.contains("read only") },
        "commit" | "end" => Command::Commit,
        "rollback" | "abort" => Command::Rollback,
        "set" => Command::Set,
        "select" if words.next().is_some_and(|word| word.starts_with("pg_promote(")) => Command::Promote,
        _ => Command::Run,
    }
}
