//! The exact limit of one organisation over the whole fleet.

use cumincart_protocol::heartbeat::Share;

/// One token in billionths.
const TOKEN_NANO: u64 = 1_000_000_000;

const NANO_PER_MILLI: u64 = 1_000_000;

/// A token bucket of the plan's whole rate and burst on true time. It never lacks a token exactly when, in every
/// interval, no more than burst + rate × length was admitted (the virtual scheduling form of the generic cell rate
/// algorithm, ITU-T I.371).
#[derive(Debug)]
pub struct Recorder {
    rate_milli_per_s: u64,
    burst_nano: u64,
    level_nano: u64,
    settled_us: u64,
    pub admitted: u64,
    pub over: u64,
}

impl Recorder {
    pub fn new(now_us: u64, rate_per_s: f64, burst: u32) -> Self {
        let burst_nano = u64::from(burst) * TOKEN_NANO;
        Self {
            rate_milli_per_s: (rate_per_s * 1_000.0) as u64,
            burst_nano,
            level_nano: burst_nano,
            settled_us: now_us,
            admitted: 0,
            over: 0,
        }
    }

    /// Puts another limit in force.
    pub fn set(&mut self, now_us: u64, rate_per_s: f64, burst: u32) {
        self.settle(now_us);
        self.rate_milli_per_s = (rate_per_s * 1_000.0) as u64;
        self.burst_nano = u64::from(burst) * TOKEN_NANO;
        self.level_nano = self.level_nano.min(self.burst_nano);
    }

    /// Raises the limit where another one is higher.
    pub fn raise(&mut self, now_us: u64, rate_per_s: f64, burst: u32) {
        self.settle(now_us);
        self.rate_milli_per_s = self.rate_milli_per_s.max((rate_per_s * 1_000.0) as u64);
        self.burst_nano = self.burst_nano.max(u64::from(burst) * TOKEN_NANO);
    }

    /// The limit, and the level in thousandths of a token.
    pub fn at(&mut self, now_us: u64) -> (Share, u64) {
        self.settle(now_us);
        let limit =
            Share { rate_milli_per_s: self.rate_milli_per_s, burst_milli: self.burst_nano / NANO_PER_MILLI };
        (limit, self.level_nano / NANO_PER_MILLI)
    }

    /// Records one request admitted anywhere.
    pub fn admit(&mut self, now_us: u64) {
        self.settle(now_us);
        self.admitted += 1;
        match self.level_nano.checked_sub(TOKEN_NANO) {
            Some(level) => self.level_nano = level,
            None => self.over += 1,
        }
    }

    /// Admits one request if a token is there.
    pub fn try_admit(&mut self, now_us: u64) -> bool {
        self.settle(now_us);
        let Some(level) = self.level_nano.checked_sub(TOKEN_NANO) else {
            return false;
        };
        self.level_nano = level;
        self.admitted += 1;
        true
    }

    fn settle(&mut self, now_us: u64) {
        let gained = (now_us - self.settled_us).saturating_mul(self.rate_milli_per_s);
        self.level_nano = self.level_nano.saturating_add(gained).min(self.burst_nano);
        self.settled_us = now_us;
    }
}
