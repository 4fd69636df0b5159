//! Settings and the two lists: reading, checking and diagnostics.
//!
//! Files are JSON with comments and trailing commas. A file is read and checked whole; every problem in it is
//! reported at once, each with a stable code, the place in the file and what to do about it.

pub mod lists;
pub mod problem;
mod read;
pub mod schema;
pub mod settings;
pub mod source;
pub mod suggestion;

pub use {
    lists::parse_lists,
    problem::{ConfigError, Problem, ProblemKind},
    settings::{
        ControlSettings, EndpointLogin, EntrySettings, LogFormat, LogLevel, LogSettings, MemberAddress,
        read_control_settings, read_entry_settings,
    },
    source::Source,
};
