//! Log lines for decisions about requests, bounded in number: failures up to a rate, successes as a sample.

use {
    cumincart_protocol::time::Instant,
    std::sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// Lines a second that are written at most, so that a storm of refusals costs bounded processor time.
pub const LINES_PER_S: u64 = 20;

/// One of this many successes is written.
pub const SUCCESS_SAMPLE: u64 = 200;

/// Decides which lines are written.
#[derive(Debug, Default)]
pub struct DecisionLog {
    successes: AtomicU64,
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    written: u64,
    suppressed: u64,
}

impl DecisionLog {
    /// Whether a success is written.
    pub fn should_log_success(&self) -> bool {
        self.successes.fetch_add(1, Ordering::Relaxed).is_multiple_of(SUCCESS_SAMPLE)
    }

    /// Whether a failure is written; gives how many lines were left out since the last that was.
    pub fn try_log_failure(&self, now: Instant) -> Option<u64> {
        // A poisoned lock still guards plain counters.
        let mut window = self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let second = now.as_millis() / 1_000;
        if window.second != second {
            window.second = second;
            window.written = 0;
        }
        if window.written >= LINES_PER_S {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
