//! The entry daemon: callers' and the platform's interface.
//!
//! [`daemon::spawn`] starts an entry instance as tasks of this process and returns a running handle; [`program::run`]
//! is the whole program around it.

pub mod control_link;
pub mod daemon;
pub mod engine;
pub mod http;
pub mod metrics;
pub mod options;
pub mod program;
