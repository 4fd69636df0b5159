//! What follows from a work that gave no outcome: the verdict, and whether another attempt is allowed.

use {
    crate::endpoint_command::CommandError,
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        time::Instant,
        verdict::Verdict,
    },
    rand::RngExt,
    rand_chacha::ChaCha20Rng,
    std::{sync::Arc, time::Duration},
};

/// Attempts for one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// The longest pause before the first repeat, in milliseconds; it doubles with every attempt.
pub const BACKOFF_BASE_MS: u64 = 5;

/// The longest pause before any repeat, in milliseconds.
pub const BACKOFF_MAX_MS: u64 = 200;

/// Thousandths of a repeat that every new request allows.
const BUDGET_PER_REQUEST_MILLI: u64 = 100;

/// Thousandths of repeats that can be saved up.
const BUDGET_MAX_MILLI: u64 = 20_000;

const ONE_REPEAT_MILLI: u64 = 1_000;

/// SQLSTATEs by which an endpoint says that it can't serve now although the statement may be right: a read-only
/// transaction where a primary was expected, a conflict with recovery, a shutdown, too many connections.
const ENDPOINT_CODES: [&str; 6] = ["25006", "40001", "57P01", "57P02", "57P03", "53300"];

/// Bounds repeats to a fraction of the requests, so that they can't multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    saved_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_milli: BUDGET_MAX_MILLI }
    }
}

impl RetryBudget {
    /// Counts a new request.
    pub fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + BUDGET_PER_REQUEST_MILLI).min(BUDGET_MAX_MILLI);
    }

    /// Takes one repeat, where one is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.saved_milli.checked_sub(ONE_REPEAT_MILLI) else {
            return false;
        };
        self.saved_milli = left;
        true
    }
}

/// Whether a request whose work ended like this may have run.
pub fn verdict(error: &CommandError) -> Verdict {
    match error {
        CommandError::NotSent | CommandError::Statement { .. } | CommandError::LostBeforeCommit => {
            Verdict::NotRun
        }
        CommandError::AlreadyClaimed => Verdict::Ran,
        CommandError::LostInCommit => Verdict::Unknown,
    }
}

/// Whether the cause lies with the endpoint or the way to it, so that another attempt can succeed.
pub fn is_transient(error: &CommandError) -> bool {
    match error {
        CommandError::NotSent | CommandError::LostBeforeCommit | CommandError::LostInCommit => true,
        CommandError::Statement { code, .. } => ENDPOINT_CODES.contains(&code.as_ref()),
        CommandError::AlreadyClaimed => false,
    }
}

/// Whether the connection is clean after a work that ended like this.
pub fn leaves_connection_clean(error: &CommandError) -> bool {
    matches!(error, CommandError::AlreadyClaimed | CommandError::Statement { .. })
}

/// The refusal for a work that ended like this.
pub fn refusal(error: &CommandError) -> Refusal {
    let (code, message): (_, Arc<str>) = match error {
        CommandError::NotSent => (RefusalCode::ConnectionLost, "the endpoint could not be reached".into()),
        CommandError::AlreadyClaimed => {
            (RefusalCode::AlreadyRun, "this request id has been committed before".into())
        }
        CommandError::Statement { code, message } => {
            (RefusalCode::StatementFailed, format!("SQLSTATE {code}: {message}").into())
        }
        CommandError::LostBeforeCommit => {
            (RefusalCode::ConnectionLost, "the connection was lost before the commit was sent".into())
        }
        CommandError::LostInCommit => {
            (RefusalCode::ConnectionLost, "the connection was lost with the commit on its way".into())
        }
    };
    Refusal { verdict: verdict(error), code, message, retry_after_ms: None, session: None }
}

/// When to make the next attempt: after a random pause ("full jitter", M. Brooker, "Exponential Backoff And Jitter").
pub fn next_attempt_at(random: &mut ChaCha20Rng, now: Instant, attempts: u32) -> Instant {
    let doubled = BACKOFF_BASE_MS << attempts.saturating_sub(1).min(10);
    let longest_micros = doubled.min(BACKOFF_MAX_MS) * 1_000;
    now + Duration::from_micros(random.random_range(0..=longest_micros))
}
