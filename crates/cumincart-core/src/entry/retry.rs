//! Classifies failed commands: the verdict, the refusal, and whether a retry is allowed.

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

/// The maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// Upper bound of the backoff before the first retry, in milliseconds. It doubles with every attempt.
pub const BACKOFF_BASE_MS: u64 = 5;

/// Upper bound of the backoff before any retry, in milliseconds.
pub const BACKOFF_MAX_MS: u64 = 200;

/// What each new request adds to the budget, in thousandths of a retry.
const BUDGET_PER_REQUEST_MILLI: u64 = 100;

/// The largest balance of the budget, in thousandths of a retry.
const BUDGET_MAX_MILLI: u64 = 20_000;

const ONE_RETRY_MILLI: u64 = 1_000;

/// SQLSTATEs that mean that the endpoint can't serve now although the statement may be valid: a read-only
/// transaction where a primary was expected, a conflict with recovery, a shutdown, too many connections.
const UNAVAILABLE_SQLSTATES: [&str; 6] = ["25006", "40001", "57P01", "57P02", "57P03", "53300"];

/// Limits retries to a fraction of the requests, so that retries can't amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: BUDGET_MAX_MILLI }
    }
}

impl RetryBudget {
    /// Adds the allowance of one new request.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + BUDGET_PER_REQUEST_MILLI).min(BUDGET_MAX_MILLI);
    }

    /// Withdraws one retry. Returns false if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(balance_milli) = self.balance_milli.checked_sub(ONE_RETRY_MILLI) else {
            return false;
        };
        self.balance_milli = balance_milli;
        true
    }
}

/// Returns whether a request whose command failed with this error has run.
pub fn verdict(error: &CommandError) -> Verdict {
    match error {
        CommandError::NotSent | CommandError::Statement { .. } | CommandError::LostBeforeCommit => {
            Verdict::NotRun
        }
        CommandError::AlreadyClaimed => Verdict::Ran,
        CommandError::LostInCommit => Verdict::Unknown,
    }
}

/// Whether the error is due to the endpoint or the connection to it, so that another attempt can succeed.
pub fn is_transient(error: &CommandError) -> bool {
    match error {
        CommandError::NotSent | CommandError::LostBeforeCommit | CommandError::LostInCommit => true,
        CommandError::Statement { code, .. } => UNAVAILABLE_SQLSTATES.contains(&code.as_ref()),
        CommandError::AlreadyClaimed => false,
    }
}

/// Whether the connection can be reused after this error.
pub fn keeps_connection_clean(error: &CommandError) -> bool {
    matches!(error, CommandError::AlreadyClaimed | CommandError::Statement { .. })
}

/// Returns the refusal for a command that failed with this error.
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
            (RefusalCode::ConnectionLost, "the connection was lost while the commit was in flight".into())
        }
    };
    Refusal { verdict: verdict(error), code, message, retry_after_ms: None, session: None }
}

/// Returns when to make the next attempt: after a random pause ("full jitter", M. Brooker, "Exponential
/// Backoff And Jitter").
pub fn next_attempt_at(random: &mut ChaCha20Rng, now: Instant, attempts: u32) -> Instant {
    let doubled = BACKOFF_BASE_MS << attempts.saturating_sub(1).min(10);
    let max_pause_micros = doubled.min(BACKOFF_MAX_MS) * 1_000;
    now + Duration::from_micros(random.random_range(0..=max_pause_micros))
}
