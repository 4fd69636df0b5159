//! A token bucket on the arrivals' own clock, to compare refusals with.

use std::time::Duration;

/// A bucket that is full at the start.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, tokens: burst, at: Duration::ZERO }
    }

    /// Takes a token for a request at this time, if there is one; times must not go back.
    pub fn try_take(&mut self, at: Duration) -> bool {
        let grown = (at - self.at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + grown).min(self.burst);
        self.at = at;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
