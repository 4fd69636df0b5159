//! The statements that every connection needs, prepared once when the connection opens.
//!
//! A prepared statement is executed without sending its text and its description again, which saves work on both sides.

use {
    cumincart_protocol::endpoint_sql::STATE_SQL,
    futures_util::try_join,
    tokio_postgres::{Client, Error, Statement},
};

/// A connection's prepared statements.
#[derive(Debug)]
pub(super) struct PreparedStatements {
    pub begin: Statement,
    pub begin_read_only: Statement,
    pub commit: Statement,
    pub rollback: Statement,
    pub state: Statement,
}

impl PreparedStatements {
    /// Prepares the statements in one round trip.
    pub async fn prepare(client: &Client) -> Result<Self, Error> {
        let (begin, begin_read_only, commit, rollback, state) = try_join!(
            client.prepare("BEGIN"),
            client.prepare("BEGIN READ ONLY"),
            client.prepare("COMMIT"),
            client.prepare("ROLLBACK"),
            client.prepare(STATE_SQL),
        )?;
        Ok(Self { begin, begin_read_only, commit, rollback, state })
    }
}

/// A client with its prepared statements, for the execution of commands.
#[derive(Clone, Copy)]
pub(super) struct PreparedClient<'a> {
    pub client: &'a Client,
    pub statements: &'a PreparedStatements,
}
