//! Decisions for interactive client sessions: session values, prepared statements, transactions that span several client
//! requests, and reads with bounded staleness.
//!
//! A session keeps its values and prepared statements itself and borrows a connection to an endpoint for one statement or
//! one transaction (transaction pooling). Nothing here does I/O.

pub mod admission;
pub mod failure;
pub mod first_lease;
pub mod held_statements;
pub mod open_transaction;
pub mod ownership;
pub mod pool;
pub mod positions;
pub mod primary_guarantee;
pub mod routing;
pub mod session;
pub mod statement;

pub use cumincart_protocol::exchange as command;
