//! The control daemon: the operators' interface and the endpoints' announcements.
//!
//! [`daemon::spawn`] starts a control instance as tasks of this process and returns a running handle; [`program::run`]
//! is the whole program around it.

pub mod daemon;
pub mod engine;
pub mod http;
pub mod metrics;
pub mod options;
pub mod program;
