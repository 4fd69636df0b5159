//! Structured logs on standard error. Only changes of state are logged.

use {
    cumincart_config::{LogFormat, LogLevel, LogSettings},
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::{borrow::Cow, sync::Mutex},
};

/// The length up to which a text of somebody else is logged as it is, in bytes. Identifiers and names are shorter.
pub const EXCERPT_MAX_BYTES: usize = 256;

/// Returns a text that a client, an endpoint, a peer or an operator chose in the form in which it is logged: unchanged
/// if it is short, otherwise its beginning and its length.
pub fn excerpt(text: &str) -> Cow<'_, str> {
    if text.len() <= EXCERPT_MAX_BYTES {
        return Cow::Borrowed(text);
    }
    let beginning = &text[..text.floor_char_boundary(EXCERPT_MAX_BYTES)];
    Cow::Owned(format!("{beginning}... ({} bytes)", text.len()))
}

/// Creates a logger that writes to standard error from a separate thread.
pub fn open(settings: LogSettings) -> Logger {
    let drain = match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).build()
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            slog_async::Async::new(drain).build()
        }
    };
    Logger::root(LevelFilter::new(drain.fuse(), level(settings.level)).fuse(), o!())
}

/// Creates a logger that writes JSON to standard output from a separate thread. If the reader is too slow, lines are
/// dropped and counted.
pub fn open_stdout(settings: LogSettings) -> Logger {
    let drain = Mutex::new(slog_json::Json::default(std::io::stdout())).fuse();
    let drain = slog_async::Async::new(drain).build();
    Logger::root(LevelFilter::new(drain.fuse(), level(settings.level)).fuse(), o!())
}

/// Creates a logger that discards everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
