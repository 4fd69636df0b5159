//! Settings that entry and control instances share.

use {
    crate::{
        problem::ProblemKind,
        read::{Diagnostics, Fields, Spanned, check_name, read_text, read_unsigned, suggest_name},
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
    subject: &'static str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Spanned<Arc<str>>> {
    let name = read_text(fields.required(field, diagnostics)?, field, diagnostics)?;
    check_name(&name, subject, diagnostics).then_some(name)
}

/// Reads a required path, which is relative to the settings file's folder.
pub fn read_path(
    fields: &Fields<'_>,
    field: &'static str,
    folder: &Path,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<PathBuf> {
    path_of(fields.required(field, diagnostics)?, field, folder, diagnostics)
}

/// Reads a path that may be absent or null.
pub fn read_optional_path(
    fields: &Fields<'_>,
    field: &'static str,
    folder: &Path,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<PathBuf> {
    let value = fields.optional(field).filter(|value| value.as_null_keyword().is_none())?;
    path_of(value, field, folder, diagnostics)
}

fn path_of(
    value: &Value<'_>,
    field: &str,
    folder: &Path,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<PathBuf> {
    let text = read_nonempty(value, field, diagnostics)?;
    Some(folder.join(&*text))
}

fn read_nonempty(value: &Value<'_>, field: &str, diagnostics: &mut Diagnostics<'_>) -> Option<Arc<str>> {
    let text = read_text(value, field, diagnostics)?;
    if text.value.is_empty() {
        let kind = ProblemKind::OutOfRange {
            subject: format!("`{field}`"),
            expected: "a non-empty string".to_owned(),
            found: "empty".to_owned(),
            help: "set a value",
        };
        diagnostics.add(text.range, kind);
        return None;
    }
    Some(text.value)
}

/// Reads the login for connections to endpoints.
pub fn read_login(
    fields: &Fields<'_>,
    folder: &Path,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<EndpointLogin> {
    let value = fields.required("endpoint_login", diagnostics)?;
    let known = ["user", "password_file", "database", "connect_timeout_ms"];
    let fields = Fields::read(value, "`endpoint_login`", &known, diagnostics)?;
    let user =
        fields.required("user", diagnostics).and_then(|value| read_nonempty(value, "user", diagnostics));
    let database = fields
        .required("database", diagnostics)
        .and_then(|value| read_nonempty(value, "database", diagnostics));
    let password_file = read_optional_path(&fields, "password_file", folder, diagnostics);
    let connect_timeout_ms = match fields.optional("connect_timeout_ms") {
        Some(value) => {
            let help = "leave the field out for the default of 1000 ms";
            read_unsigned(value, "connect_timeout_ms", 1..=CONNECT_TIMEOUT_MAX_MS, help, diagnostics)
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
pub fn read_log(fields: &Fields<'_>, diagnostics: &mut Diagnostics<'_>) -> LogSettings {
    let Some(value) = fields.optional("log") else { return LogSettings::default() };
    let Some(fields) = Fields::read(value, "`log`", &["format", "level"], diagnostics) else {
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
        format: read_choice(&fields, "format", &formats, diagnostics).unwrap_or_default(),
        level: read_choice(&fields, "level", &levels, diagnostics).unwrap_or_default(),
    }
}

fn read_choice<T: Copy>(
    fields: &Fields<'_>,
    field: &'static str,
    choices: &[(&'static str, T)],
    diagnostics: &mut Diagnostics<'_>,
) -> Option<T> {
    let text = read_text(fields.optional(field)?, field, diagnostics)?;
    if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == &*text.value) {
        return Some(*choice);
    }
    let help = suggest_name(&text.value, choices.iter().map(|(word, _)| *word), "the values are");
    let kind =
        ProblemKind::UnknownValue { subject: format!("`{field}`"), found: text.value.to_string(), help };
    diagnostics.add(text.range, kind);
    None
}

/// Reports addresses that are used twice.
pub fn check_addresses(addresses: &[&Spanned<Arc<str>>], diagnostics: &mut Diagnostics<'_>) {
    for (index, address) in addresses.iter().enumerate() {
        // Port 0 selects any free port, so two such addresses don't collide.
        if address.value.ends_with(":0") {
            continue;
        }
        let first = addresses[..index].iter().find(|earlier| earlier.value == address.value);
        if let Some(first) = first {
            let first_line = diagnostics.line(first.range);
            let kind = ProblemKind::DuplicateAddress { address: address.value.to_string(), first_line };
            diagnostics.add(address.range, kind);
        }
    }
}
