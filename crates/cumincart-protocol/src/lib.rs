//! Names, identifiers, verdicts, session tokens and the messages between processes.
//!
//! All types here are plain data that crosses a process boundary: they derive `serde` traits and contain no behaviour
//! that depends on a clock, a socket or a random source.

pub mod announcement;
pub mod catalogue;
pub mod change;
pub mod control_addresses;
pub mod endpoint_sql;
pub mod excerpt;
pub mod exchange;
pub mod fnv;
pub mod heartbeat;
pub mod instances;
pub mod lists;
pub mod name;
pub mod number;
pub mod operator_api;
pub mod packed;
pub mod patch;
pub mod peer;
pub mod refusal;
pub mod relay;
pub mod replication;
pub mod request;
pub mod session;
pub mod size;
pub mod sorted;
pub mod time;
pub mod token;
pub mod usage;
pub mod verdict;
