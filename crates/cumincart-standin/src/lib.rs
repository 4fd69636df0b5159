//! A stand-in database group for tests and the demonstration.
//!
//! A [`group::Group`] runs a few databases as tasks of one process. Each serves the PostgreSQL wire protocol before an
//! in-memory SQLite database; one is the primary, the others apply its committed writes after a set lag. The handle
//! brings faults about and shows what each database received and ran.

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
