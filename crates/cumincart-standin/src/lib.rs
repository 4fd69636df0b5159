//! A stand-in database group for tests and the demonstration.
//!
//! A [`group::Group`] runs several databases as tasks of one process. Each serves the PostgreSQL wire protocol on top
//! of an in-memory SQLite database; one is the primary, the others apply its committed writes after a configurable lag.
//! The handles inject faults and return what each database received and executed.

pub mod database;
pub mod engine;
pub mod group;
pub mod recording;
pub mod settings;

mod announcer;
mod command;
mod error;
mod handlers;
mod replication;
mod server;
mod session;
mod wire;
