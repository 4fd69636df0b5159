//! How many requests of one organisation arrive at one instance.

use {super::bucket::millis_between, cumincart_protocol::time::Instant};

/// One request in thousandths, times milliseconds a second: arrivals a millisecond in thousandths a second.
const MILLI_PER_S: u64 = 1_000_000;

/// The time over which demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: u64 = 1_000;

/// The shortest time over which demand that has moved is averaged anew, in milliseconds.
const DEMAND_MOVED_WINDOW_MS: u64 = 250;

/// The shortest time over which arrivals are counted as a rate, in milliseconds.
const DEMAND_MIN_INTERVAL_MS: u64 = 100;

/// How many requests arrive, as a decaying average.
#[derive(Debug)]
pub struct Demand {
    arrivals: u64,
    counted_from: Instant,
    milli_per_s: u64,
}

impl Demand {
    /// No arrivals, counted from now on.
    pub fn new(now: Instant) -> Self {
        Self { arrivals: 0, counted_from: now, milli_per_s: 0 }
    }

    /// Counts one arrival.
    pub fn count(&mut self, now: Instant) {
        let resumes = self.arrivals == 0 && self.milli_per_s == 0;
        if resumes {
            self.counted_from = now;
        }
        self.arrivals += 1;
    }

    /// The average up to now, in thousandths of a request a second.
    pub fn average(&mut self, now: Instant) -> u64 {
        let interval_ms = millis_between(self.counted_from, now);
        if interval_ms < DEMAND_MIN_INTERVAL_MS {
            return self.milli_per_s;
        }
        let arrived_milli = self.arrivals * MILLI_PER_S;
        let memory_ms = if self.has_moved(interval_ms) {
            DEMAND_MOVED_WINDOW_MS.saturating_sub(interval_ms)
        } else {
            DEMAND_WINDOW_MS
        };
        self.milli_per_s = (self.milli_per_s * memory_ms + arrived_milli) / (memory_ms + interval_ms);
        self.arrivals = 0;
        self.counted_from = now;
        self.milli_per_s
    }

    /// Whether the leader should hear now that demand has moved.
    pub fn is_news(&self, now: Instant) -> bool {
        let interval_ms = millis_between(self.counted_from, now);
        interval_ms >= DEMAND_MIN_INTERVAL_MS && self.milli_per_s != 0 && self.has_moved(interval_ms)
    }

    /// Whether the arrivals differ from the average by more than three standard deviations of a Poisson process.
    fn has_moved(&self, interval_ms: u64) -> bool {
        let expected = self.milli_per_s * interval_ms / MILLI_PER_S;
        let deviation = self.arrivals.abs_diff(expected);
        self.milli_per_s == 0 || deviation * deviation > 9 * (expected + 1)
    }
}
