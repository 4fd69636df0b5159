//! Structured logs on standard error. Only changes of state are logged. Long texts are logged as excerpts.

mod excerpt;

pub use excerpt::{ExcerptDrain, LOGGED_TEXT_MAX_BYTES, excerpt};

use {
    cumincart_config::{LogFormat, LogLevel, LogSettings},
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::{
        io::{self, Write},
        sync::Mutex,
    },
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
            let drain = Mutex::new(slog_json::Json::default(io::stderr())).fuse();
            slog_async::Async::new(drain).build()
        }
    };
    root(drain, settings)
}

/// Creates a logger that writes JSON to standard output from a separate thread. If the reader is too slow, lines are
/// dropped and counted.
pub fn open_stdout(settings: LogSettings) -> Logger {
    let drain = Mutex::new(slog_json::Json::default(io::stdout())).fuse();
    root(slog_async::Async::new(drain).build(), settings)
}

fn root(drain: slog_async::Async, settings: LogSettings) -> Logger {
    let drain = ExcerptDrain::new(drain);
    Logger::root(LevelFilter::new(drain.fuse(), level(settings.level)).fuse(), o!())
}

/// Creates a logger that writes lines as [`open_stdout`] does, but to `out` and without a thread.
pub fn open_writer(out: impl Write + Send + 'static) -> Logger {
    let drain = ExcerptDrain::new(Mutex::new(slog_json::Json::default(out)));
    Logger::root(drain.fuse(), o!())
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
