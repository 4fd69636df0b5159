//! Which statements the stand-in treats itself, before SQLite sees them.

use cumincart_protocol::endpoint_sql::{STATE_SQL, TIMELINE_START_SQL};

/// What a statement asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Open a transaction.
    Begin {
        /// Whether it must not write.
        read_only: bool,
    },
    /// Commit the open transaction.
    Commit,
    /// Roll the open transaction back.
    Rollback,
    /// The database's state.
    State,
    /// Where the database's timeline began.
    TimelineStart,
    /// Make this replica the primary.
    Promote,
    /// A setting of the connection, accepted and ignored.
    Set,
    /// Anything else.
    Run,
}

/// Recognises a statement by its text.
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
