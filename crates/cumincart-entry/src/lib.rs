//! The entry daemon: callers' and the platform's interface.
//!
//! [`daemon::spawn`] starts an entry instance as tasks of this process and returns a running handle; the binary only
//! reads settings, calls it and waits.

pub mod control_link;
pub mod daemon;
pub mod engine;
pub mod http;
pub mod options;
