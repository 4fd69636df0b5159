//! The control daemon: the operators' interface and the endpoints' announcements.
//!
//! [`daemon::spawn`] starts a control instance as tasks of this process and returns a running handle; the binary only
//! reads settings, calls it and waits.

pub mod daemon;
pub mod engine;
pub mod http;
pub mod options;
