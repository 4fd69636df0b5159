//! Peer links, data folder, endpoint adapter, logs, metrics and the state dump.
//!
//! The runtime turns sockets, files and timers into inputs of the core and carries out the core's effects. It decides
//! nothing.

pub mod clock;
pub mod data_folder;
pub mod endpoint;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod pending;
pub mod secret_files;
pub mod signal;
pub mod socket;
