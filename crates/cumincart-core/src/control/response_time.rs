//! How long this instance and its peers currently take to answer, which election timeouts allow for.
//!
//! Disks that need longer than an election timeout for a sync would otherwise prevent every election: the candidate
//! gives up before the voters have stored their votes, and the leader steps down while its followers store records.

use {cumincart_protocol::time::Instant, std::time::Duration};

/// The time in which the remembered delay falls by half, in milliseconds.
const HALF_LIFE_MS: u64 = 5_000;

/// The longest delay that timeouts allow for, in milliseconds. It bounds how long a dead leader goes unnoticed.
pub const RESPONSE_TIME_MAX_MS: u64 = 2_000;

/// How many response times an instance waits in addition to its timeout: one for its own disk and one for its peer's.
const RESPONSES_PER_TIMEOUT: u32 = 2;

/// The longest recent delay of a sync or of a peer's answer.
#[derive(Debug, Default)]
pub struct ResponseTime {
    longest: Duration,
    observed_at: Instant,
}

impl ResponseTime {
    /// Records a delay.
    pub fn observe(&mut self, now: Instant, delay: Duration) {
        let delay = delay.min(Duration::from_millis(RESPONSE_TIME_MAX_MS));
        if delay >= self.current(now) {
            self.longest = delay;
            self.observed_at = now;
        }
    }

    /// Returns the time to add to a timeout.
    pub fn allowance(&self, now: Instant) -> Duration {
        self.current(now) * RESPONSES_PER_TIMEOUT
    }

    fn current(&self, now: Instant) -> Duration {
        let half_lives = now.saturating_since(self.observed_at).as_millis() / u128::from(HALF_LIFE_MS);
        let halvings = u32::try_from(half_lives).unwrap_or(u32::MAX);
        self.longest / 2_u32.checked_pow(halvings).unwrap_or(u32::MAX)
    }
}
