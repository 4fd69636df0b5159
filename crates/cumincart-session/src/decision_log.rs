//! Rate limiting of log lines about statements: failures and prepared statements are logged up to a rate, successes are
//! sampled.

use {
    cumincart_protocol::time::Instant,
    cumincart_runtime::clock::Clock,
    slog::Logger,
    std::sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// The maximum number of failure lines per second, which bounds the processor time that a burst of refusals costs.
pub const LINES_PER_S: u64 = 20;

/// The maximum number of lines per second about statements that are prepared on connections.
pub const PREPARE_LINES_PER_S: u64 = 1;

/// One in this many successes is logged.
pub const SUCCESS_SAMPLE: u64 = 200;

/// Decides which lines are logged.
#[derive(Debug, Default)]
pub struct DecisionLog {
    successes: AtomicU64,
    failures: Mutex<Window>,
    prepares: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    written: u64,
    suppressed: u64,
}

impl DecisionLog {
    /// Returns whether a success is logged.
    pub fn should_log_success(&self) -> bool {
        self.successes.fetch_add(1, Ordering::Relaxed).is_multiple_of(SUCCESS_SAMPLE)
    }

    /// Returns the number of failure lines suppressed since the last logged one, or `None` if this failure is not
    /// logged.
    pub fn try_log_failure(&self, now: Instant) -> Option<u64> {
        try_log(&self.failures, now, LINES_PER_S)
    }

    /// Returns the number of lines about prepared statements suppressed since the last logged one, or `None` if this one
    /// is not logged.
    pub fn try_log_prepare(&self, now: Instant) -> Option<u64> {
        try_log(&self.prepares, now, PREPARE_LINES_PER_S)
    }
}

fn try_log(window: &Mutex<Window>, now: Instant, lines_per_s: u64) -> Option<u64> {
    // A poisoned lock is harmless: it only guards counters.
    let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
    let second = now.as_millis() / 1_000;
    if window.second != second {
        window.second = second;
        window.written = 0;
    }
    if window.written >= lines_per_s {
        window.suppressed += 1;
        return None;
    }
    window.written += 1;
    Some(std::mem::take(&mut window.suppressed))
}

/// A logger for failures that clients or endpoints can cause as often as they like. Its volume is bounded as in
/// [`DecisionLog`].
#[derive(Debug)]
pub struct FailureLog {
    logger: Logger,
    clock: Clock,
    decisions: DecisionLog,
}

impl FailureLog {
    /// Opens a log that writes to a logger.
    pub fn open(logger: Logger) -> Self {
        Self { logger, clock: Clock::start(), decisions: DecisionLog::default() }
    }

    /// Returns the logger without a bound.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the logger for one line, and the number of lines suppressed before it; `None` if this failure is not
    /// logged.
    pub fn admit(&self) -> Option<(&Logger, u64)> {
        let suppressed = self.decisions.try_log_failure(self.clock.now())?;
        Some((&self.logger, suppressed))
    }
}
