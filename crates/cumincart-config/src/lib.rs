//! Reading, validation and diagnostics of settings files and of the two lists.
//!
//! Files are JSON with comments and trailing commas. A file is read and validated as a whole, and all its problems are
//! reported at once, each with a stable code, its position in the file and a help text.

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
