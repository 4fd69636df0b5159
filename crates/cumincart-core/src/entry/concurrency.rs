//! How many works this instance keeps under way at an endpoint.
//!
//! All entry instances share an endpoint's slots. Works beyond them wait inside the endpoint, in order of arrival,
//! where no weight counts. The limit follows the delay, as TCP Vegas does (L. Brakmo and L. Peterson, "TCP Vegas:
//! End to End Congestion Avoidance on a Global Internet", 1995): it shrinks while the mean time of a work is well
//! above the least mean seen, and grows while it is not and the limit holds requests back.

use std::time::Duration;

/// Works over which a mean is taken.
const WINDOW: u32 = 32;

/// The limit shrinks when the mean is above the least mean by more than this, in thousandths of it.
const TOLERATED_MILLI: u64 = 1_400;

/// What is left of the limit when it shrinks, in thousandths.
const SHRINK_MILLI: u64 = 800;

/// How fast the least mean is forgotten, in thousandths a window.
const FORGET_MILLI: u64 = 2;

/// The least limit, in thousandths of a work.
const LEAST_MILLI: u64 = 1_000;

/// The limit for one endpoint.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit_milli: u64,
    least_mean_micros: Option<u64>,
    sum_micros: u64,
    count: u32,
    was_reached: bool,
}

impl ConcurrencyLimit {
    /// A limit that starts at the endpoint's slots.
    pub fn new(slots: u32) -> Self {
        Self {
            limit_milli: u64::from(slots.max(1)) * 1_000,
            least_mean_micros: None,
            sum_micros: 0,
            count: 0,
            was_reached: false,
        }
    }

    /// The number of works that may be under way.
    pub fn limit(&self) -> u32 {
        u32::try_from(self.limit_milli / 1_000).unwrap_or(u32::MAX)
    }

    /// Notes that a request waits only because of the limit.
    pub fn note_reached(&mut self) {
        self.was_reached = true;
    }

    /// Takes the time that a work took; `slots` bounds the limit.
    pub fn note_work(&mut self, took: Duration, slots: u32) {
        self.sum_micros += u64::try_from(took.as_micros()).unwrap_or(u64::MAX / u64::from(WINDOW));
        self.count += 1;
        if self.count >= WINDOW {
            self.end_window(slots);
        }
    }

    fn end_window(&mut self, slots: u32) {
        let mean = self.sum_micros / u64::from(self.count);
        let least =
            self.least_mean_micros.map_or(mean, |least| least + least * FORGET_MILLI / 1_000).min(mean);
        let is_slow = mean * 1_000 > least * TOLERATED_MILLI;
        if is_slow {
            self.limit_milli = (self.limit_milli * SHRINK_MILLI / 1_000).max(LEAST_MILLI);
        } else if self.was_reached {
            self.limit_milli = (self.limit_milli + 1_000).min(u64::from(slots.max(1)) * 1_000);
        }
        self.least_mean_micros = Some(least);
        self.sum_micros = 0;
        self.count = 0;
        self.was_reached = false;
    }
}
