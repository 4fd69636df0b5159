//! Settings that entry and control instances share.

use {
    crate::{
        problem::ProblemKind,
        read::{Fields, Notes, Spanned, check_name, near_name, read_text, read_unsigned},
    },
    jsonc_parser::ast::Value,
    schemars::JsonSchema,
    serde::Serialize,
    std::{
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// The default timeout for opening a connection to an endpoint, in milliseconds.
pub const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 1_000;

const CONNECT_TIMEOUT_MAX_MS: u64 = 60_000;

fn default_connect_timeout_ms() -> u64 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

/// The login of an instance for connections to endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct EndpointLogin {
    /// The database user.
    pub user: Arc<str>,
    /// The file with the user's password. Absent if endpoints require no password.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub password_file: Option<PathBuf>,
    /// The database.
    pub database: Arc<str>,
    /// The timeout for opening a connection, in milliseconds.
    #[schemars(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u64,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// The lowest severity of log lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// The instance can't continue.
    Error,
    /// Something needs an operator's attention.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

/// The log settings of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct LogSettings {
    /// The format of log lines.
    #[schemars(default)]
    pub format: LogFormat,
    /// The lowest severity of log lines that are written.
    #[schemars(default)]
    pub level: LogLevel,
}

/// Reads a required name.
pub fn read_name(
    fields: &Fields<'_>,
    field: &'static str,
    what: &'static str,
    notes: &mut Notes<'_>,
) -> Option<Spanned<Arc<str>>> {
    let name = read_text(fields.required(field, notes)?, field, notes)?;
    check_name(&name, what, notes).then_some(name)
}

/// Reads a required path, which is relative to the settings file's folder.
pub fn read_path(
    fields: &Fields<'_>,
    field: &'static str,
    folder: &Path,
    notes: &mut Notes<'_>,
) -> Option<PathBuf> {
    path_of(fields.required(field, notes)?, field, folder, notes)
}

/// Reads a path that may be absent or null.
pub fn read_optional_path(
    fields: &Fields<'_>,
    field: &'static str,
    folder: &Path,
    notes: &mut Notes<'_>,
) -> Option<PathBuf> {
    let value = fields.optional(field).filter(|value| value.as_null_keyword().is_none())?;
    path_of(value, field, folder, notes)
}

fn path_of(value: &Value<'_>, field: &str, folder: &Path, notes: &mut Notes<'_>) -> Option<PathBuf> {
    let text = read_nonempty(value, field, notes)?;
    Some(folder.join(&*text))
}

fn read_nonempty(value: &Value<'_>, field: &str, notes: &mut Notes<'_>) -> Option<Arc<str>> {
    let text = read_text(value, field, notes)?;
    if text.value.is_empty() {
        let kind = ProblemKind::OutOfRange {
            what: format!("`{field}`"),
            expected: "a text with at least one character".to_owned(),
            found: "empty".to_owned(),
            help: "write the value here",
        };
        notes.add(text.range, kind);
        return None;
    }
    Some(text.value)
}

/// Reads the login for connections to endpoints.
pub fn read_login(fields: &Fields<'_>, folder: &Path, notes: &mut Notes<'_>) -> Option<EndpointLogin> {
    let value = fields.required("endpoint_login", notes)?;
    let known = ["user", "password_file", "database", "connect_timeout_ms"];
    let fields = Fields::open(value, "`endpoint_login`", &known, notes)?;
    let user = fields.required("user", notes).and_then(|value| read_nonempty(value, "user", notes));
    let database =
        fields.required("database", notes).and_then(|value| read_nonempty(value, "database", notes));
    let password_file = read_optional_path(&fields, "password_file", folder, notes);
    let connect_timeout_ms = match fields.optional("connect_timeout_ms") {
        Some(value) => {
            let help = "leave the field out for 1000 ms";
            read_unsigned(value, "connect_timeout_ms", 1..=CONNECT_TIMEOUT_MAX_MS, help, notes)
        }
        None => Some(DEFAULT_CONNECT_TIMEOUT_MS),
    };
    Some(EndpointLogin {
        user: user?,
        password_file,
        database: database?,
        connect_timeout_ms: connect_timeout_ms?,
    })
}

/// Reads the log settings; returns the defaults if the field is absent.
pub fn read_log(fields: &Fields<'_>, notes: &mut Notes<'_>) -> LogSettings {
    let Some(value) = fields.optional("log") else { return LogSettings::default() };
    let Some(fields) = Fields::open(value, "`log`", &["format", "level"], notes) else {
        return LogSettings::default();
    };
    let formats = [("terminal", LogFormat::Terminal), ("json", LogFormat::Json)];
    let levels = [
        ("error", LogLevel::Error),
        ("warning", LogLevel::Warning),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
    ];
    LogSettings {
        format: read_choice(&fields, "format", &formats, notes).unwrap_or_default(),
        level: read_choice(&fields, "level", &levels, notes).unwrap_or_default(),
    }
}

fn read_choice<T: Copy>(
    fields: &Fields<'_>,
    field: &'static str,
    choices: &[(&'static str, T)],
    notes: &mut Notes<'_>,
) -> Option<T> {
    let text = read_text(fields.optional(field)?, field, notes)?;
    if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == &*text.value) {
        return Some(*choice);
    }
    let help = near_name(&text.value, choices.iter().map(|(word, _)| *word), "the values are");
    let kind = ProblemKind::UnknownValue { what: format!("`{field}`"), found: text.value.to_string(), help };
    notes.add(text.range, kind);
    None
}

/// Reports addresses that are used twice.
pub fn check_addresses(addresses: &[&Spanned<Arc<str>>], notes: &mut Notes<'_>) {
    for (index, address) in addresses.iter().enumerate() {
        // Port 0 selects any free port, so two such addresses don't collide.
        if address.value.ends_with(":0") {
            continue;
        }
        let first = addresses[..index].iter().find(|earlier| earlier.value == address.value);
        if let Some(first) = first {
            let first_line = notes.line(first.range);
            let kind = ProblemKind::DuplicateAddress { address: address.value.to_string(), first_line };
            notes.add(address.range, kind);
        }
    }
}
