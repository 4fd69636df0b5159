//! Peer links, data folder, endpoint adapter, logs and metrics.
//!
//! The runtime turns events of sockets, files and timers into inputs of the core and applies the core's effects. All
//! decisions are made in the core.

pub mod clock;
pub mod data_folder;
pub mod endpoint;
pub mod link;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod pending;
pub mod secret_files;
pub mod signal;
pub mod socket;
