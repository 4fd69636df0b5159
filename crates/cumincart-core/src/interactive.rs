//! Decisions for interactive clients: sessions with values and prepared statements, transactions with pauses between
//! their statements, and reads that accept a stated age.
//!
//! A session keeps its values and statements itself and borrows an endpoint's connection for a statement or a
//! transaction (transaction pooling). Nothing here does input or output.

pub mod admission;
pub mod failure;
pub mod ownership;
pub mod pool;
pub mod positions;
pub mod primary_guarantee;
pub mod routing;
pub mod session;
pub mod statement;

pub use cumincart_protocol::exchange as command;
