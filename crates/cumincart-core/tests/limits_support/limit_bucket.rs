//! The exact limit of one organisation over the whole fleet.

use cumincart_protocol::heartbeat::Share;

/// One token, in billionths.
const TOKEN_NANO: u64 = 1_000_000_000;

const NANO_PER_MILLI: u64 = 1_000_000;

/// A token bucket with the plan's whole rate and burst, on true time. It always has a token for each admitted
/// request if and only if no more than burst + rate × length was admitted in any interval (the virtual
/// scheduling form of the generic cell rate algorithm, ITU-T I.371).
#[derive(Debug)]
pub struct LimitBucket {
    rate_milli_per_s: u64,
    burst_nano: u64,
    level_nano: u64,
    refilled_us: u64,
    pub admitted: u64,
    pub over_limit: u64,
}

impl LimitBucket {
    pub fn new(now_us: u64, rate_per_s: f64, burst: u32) -> Self {
        let burst_nano = u64::from(burst) * TOKEN_NANO;
        Self {
            rate_milli_per_s: (rate_per_s * 1_000.0) as u64,
            burst_nano,
            level_nano: burst_nano,
            refilled_us: now_us,
            admitted: 0,
            over_limit: 0,
        }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, now_us: u64, rate_per_s: f64, burst: u32) {
        self.refill(now_us);
        self.rate_milli_per_s = (rate_per_s * 1_000.0) as u64;
        self.burst_nano = u64::from(burst) * TOKEN_NANO;
        self.level_nano = self.level_nano.min(self.burst_nano);
    }

    /// Raises the rate and the burst to those of another limit where these are higher.
    pub fn raise_limit(&mut self, now_us: u64, rate_per_s: f64, burst: u32) {
        self.refill(now_us);
        self.rate_milli_per_s = self.rate_milli_per_s.max((rate_per_s * 1_000.0) as u64);
        self.burst_nano = self.burst_nano.max(u64::from(burst) * TOKEN_NANO);
    }

    /// Returns the limit, and the level in thousandths of a token.
    pub fn limit_and_level(&mut self, now_us: u64) -> (Share, u64) {
        self.refill(now_us);
        let limit =
            Share { rate_milli_per_s: self.rate_milli_per_s, burst_milli: self.burst_nano / NANO_PER_MILLI };
        (limit, self.level_nano / NANO_PER_MILLI)
    }

    /// Records a request that was admitted by any instance.
    pub fn admit(&mut self, now_us: u64) {
        self.refill(now_us);
        self.admitted += 1;
        match self.level_nano.checked_sub(TOKEN_NANO) {
            Some(level) => self.level_nano = level,
            None => self.over_limit += 1,
        }
    }

    /// Admits a request if there is a token for it.
    pub fn try_admit(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        let Some(level) = self.level_nano.checked_sub(TOKEN_NANO) else {
            return false;
        };
        self.level_nano = level;
        self.admitted += 1;
        true
    }

    fn refill(&mut self, now_us: u64) {
        let gained = (now_us - self.refilled_us).saturating_mul(self.rate_milli_per_s);
        self.level_nano = self.level_nano.saturating_add(gained).min(self.burst_nano);
        self.refilled_us = now_us;
    }
}
