//! Measures the arrival rate of one organisation's requests at one instance.

use {super::bucket::millis_between, cumincart_protocol::time::Instant};

/// Converts arrivals per millisecond to thousandths of a request per second.
const MILLI_PER_S: u64 = 1_000_000;

/// The window over which demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: u64 = 1_000;

/// The window over which demand is averaged after a significant change, in milliseconds.
const DEMAND_CHANGE_WINDOW_MS: u64 = 250;

/// The shortest interval over which arrivals are converted to a rate, in milliseconds.
const DEMAND_MIN_INTERVAL_MS: u64 = 100;

/// The arrival rate as a decaying average.
#[derive(Debug)]
pub struct Demand {
    arrivals: u64,
    counted_from: Instant,
    milli_per_s: u64,
}

impl Demand {
    /// Creates a counter without arrivals.
    pub fn new(now: Instant) -> Self {
        Self { arrivals: 0, counted_from: now, milli_per_s: 0 }
    }

    /// Counts one arrival.
    pub fn record_arrival(&mut self, now: Instant) {
        let resumes = self.arrivals == 0 && self.milli_per_s == 0;
        if resumes {
            self.counted_from = now;
        }
        self.arrivals += 1;
    }

    /// Returns the average at the last update, in thousandths of a request per second.
    pub fn last_average(&self) -> u64 {
        self.milli_per_s
    }

    /// Updates the average and returns it, in thousandths of a request per second.
    pub fn average(&mut self, now: Instant) -> u64 {
        let interval_ms = millis_between(self.counted_from, now);
        if interval_ms < DEMAND_MIN_INTERVAL_MS {
            return self.milli_per_s;
        }
        let arrived_milli = self.arrivals * MILLI_PER_S;
        let window_ms = if self.has_changed(interval_ms) {
            DEMAND_CHANGE_WINDOW_MS.saturating_sub(interval_ms)
        } else {
            DEMAND_WINDOW_MS
        };
        self.milli_per_s = (self.milli_per_s * window_ms + arrived_milli) / (window_ms + interval_ms);
        self.arrivals = 0;
        self.counted_from = now;
        self.milli_per_s
    }

    /// Whether demand has changed so much that a heartbeat should report it now.
    pub fn is_significant_change(&self, now: Instant) -> bool {
        let interval_ms = millis_between(self.counted_from, now);
        interval_ms >= DEMAND_MIN_INTERVAL_MS && self.milli_per_s != 0 && self.has_changed(interval_ms)
    }

    /// Whether the arrivals differ from the average by more than three standard deviations of a Poisson process.
    fn has_changed(&self, interval_ms: u64) -> bool {
        let expected = self.milli_per_s * interval_ms / MILLI_PER_S;
        let deviation = self.arrivals.abs_diff(expected);
        self.milli_per_s == 0 || deviation * deviation > 9 * (expected + 1)
    }
}
