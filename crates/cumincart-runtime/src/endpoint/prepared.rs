//! The statements that every connection needs, prepared once when it opens.
//!
//! A prepared statement is sent without its text and its description, which spares both sides the work.

use {
    cumincart_protocol::endpoint_sql::STATE_SQL,
    futures_util::try_join,
    tokio_postgres::{Client, Error, Statement},
};

/// A connection's prepared statements.
#[derive(Debug)]
pub(super) struct Fixed {
    pub begin: Statement,
    pub begin_read_only: Statement,
    pub commit: Statement,
    pub rollback: Statement,
    pub state: Statement,
}

impl Fixed {
    /// Prepares them in one round trip.
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

/// A connection that works are done on.
#[derive(Clone, Copy)]
pub(super) struct Link<'a> {
    pub client: &'a Client,
    pub fixed: &'a Fixed,
}
