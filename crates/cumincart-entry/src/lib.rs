//! The entry daemon: serves callers and the platform over HTTP.
//!
//! [`daemon::spawn`] starts an entry instance as tasks of the current process and returns its handle. [`program::run`]
//! is the main function of the program `cumincart-entry`.

pub mod control_link;
pub mod daemon;
pub mod engine;
pub mod http;
pub mod metrics;
pub mod options;
pub mod program;
