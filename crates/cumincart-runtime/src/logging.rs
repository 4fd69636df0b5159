//! Structured logs on standard error. Only changes of state are logged.

use {
    cumincart_config::{LogFormat, LogLevel, LogSettings},
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::sync::Mutex,
};

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
