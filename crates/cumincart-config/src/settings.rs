//! Settings of entry and control instances.

mod common;
mod control;
mod entry;

pub use {
    common::{DEFAULT_CONNECT_TIMEOUT_MS, EndpointLogin, LogFormat, LogLevel, LogSettings},
    control::{CONTROL_INSTANCES_MAX, ControlSettings, MemberAddress},
    entry::EntrySettings,
};

use {
    crate::{
        problem::ConfigError,
        read::{Diagnostics, error_if_any, read_document},
        source::Source,
    },
    jsonc_parser::ast::Value,
    std::path::Path,
};

/// Reads and validates the settings of an entry instance. Paths in them are relative to the file's folder.
///
/// # Errors
///
/// Returns `ConfigError::Unreadable`, or `ConfigError::Invalid` with all problems of the file.
pub fn read_entry_settings(path: &Path) -> Result<EntrySettings, ConfigError> {
    parse_entry_settings(&Source::read(path)?, folder_of(path))
}

/// Parses and validates the settings of an entry instance. Paths in them are relative to `folder`.
///
/// # Errors
///
/// Returns `ConfigError::Invalid` with all problems of the text.
pub fn parse_entry_settings(source: &Source, folder: &Path) -> Result<EntrySettings, ConfigError> {
    parse(source, |value, diagnostics| entry::read_entry(value, folder, diagnostics))
}

/// Reads and validates the settings of a control instance. Paths in them are relative to the file's folder.
///
/// # Errors
///
/// Returns `ConfigError::Unreadable`, or `ConfigError::Invalid` with all problems of the file.
pub fn read_control_settings(path: &Path) -> Result<ControlSettings, ConfigError> {
    parse_control_settings(&Source::read(path)?, folder_of(path))
}

/// Parses and validates the settings of a control instance. Paths in them are relative to `folder`.
///
/// # Errors
///
/// Returns `ConfigError::Invalid` with all problems of the text.
pub fn parse_control_settings(source: &Source, folder: &Path) -> Result<ControlSettings, ConfigError> {
    parse(source, |value, diagnostics| control::read_control(value, folder, diagnostics))
}

fn folder_of(path: &Path) -> &Path {
    path.parent().unwrap_or_else(|| Path::new(""))
}

fn parse<T>(
    source: &Source,
    read: impl FnOnce(&Value<'_>, &mut Diagnostics<'_>) -> Option<T>,
) -> Result<T, ConfigError> {
    let mut diagnostics = Diagnostics::new(source);
    let settings = read_document(source, &mut diagnostics, read);
    error_if_any(diagnostics.into_problems())?;
    Ok(settings.expect("a reader that returns nothing has reported a problem"))
}
