//! Structured logs: lines for changes of state only, on standard error.

use {
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::sync::Mutex,
};

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For a person at a terminal.
    Terminal,
    /// One JSON object a line.
    Json,
}

/// A logger that writes lines of `level` and above to standard error from a thread of its own.
pub fn open(format: LogFormat, level: Level) -> Logger {
    let drain = match format {
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
    Logger::root(LevelFilter::new(drain.fuse(), level).fuse(), o!())
}

/// A logger that writes nothing.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
