//! The control daemon: serves operators and the announcements of endpoints over HTTP.
//!
//! [`daemon::spawn`] starts a control instance within the current process and returns its handle. [`program::run`] is
//! the main function of the program `cumincart-control`.

pub mod daemon;
pub mod engine;
pub mod heartbeat_replies;
pub mod http;
pub mod inbox;
pub mod metrics;
pub mod options;
pub mod program;
