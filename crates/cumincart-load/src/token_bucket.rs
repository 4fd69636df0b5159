//! A token bucket on simulated time, as the reference for rate-limit refusals.

use std::time::Duration;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, tokens: burst, at: Duration::ZERO }
    }

    /// Takes a token at the given time and returns whether one was available. Times must not decrease.
    pub fn try_take(&mut self, at: Duration) -> bool {
        let refill = (at - self.at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.at = at;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
