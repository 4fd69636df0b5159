//! Samples of a primary's log points, from which the point is derived that a replica must have reached before it may
//! serve a read with bounded staleness.
//!
//! A primary's answer to a request sent under a term lease contains a log point that covers every commit acknowledged
//! before the request was sent. A replica that has reached this point may serve reads whose staleness bound reaches
//! back to that instant.

pub use cumincart_protocol::exchange::LogPoint;

use {
    cumincart_protocol::time::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// The minimum interval between two samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 25;

/// How long samples are kept, in milliseconds: longer than the usual staleness bounds.
pub const SAMPLE_KEPT_MS: u64 = 5_000;

/// The greatest age at which a sample is passed on to other instances, in milliseconds. With the interval between two
/// requests it stays well below the usual staleness bounds.
pub const SHARED_AGE_MAX_MS: u64 = 700;

/// The greatest difference between the speeds of two instances' clocks, in thousandths. Leases assume the same.
const CLOCK_DRIFT_PER_MILLE: u64 = 10;

#[derive(Debug, Clone, Copy)]
struct Sample {
    sent_at: Instant,
    point: LogPoint,
}

/// The latest log points of a primary, oldest first.
#[derive(Debug, Default)]
pub struct Positions {
    samples: VecDeque<Sample>,
}

impl Positions {
    /// Records a log point from the primary's answer to a request sent at `sent_at`. Ignores it if less than
    /// [`SAMPLE_INTERVAL_MS`] has passed since the latest sample, and returns whether it was recorded.
    pub fn record(&mut self, sent_at: Instant, point: LogPoint) -> bool {
        if let Some(last) = self.samples.back()
            && sent_at.saturating_since(last.sent_at) < Duration::from_millis(SAMPLE_INTERVAL_MS)
        {
            return false;
        }
        self.samples.push_back(Sample { sent_at, point });
        let kept = Duration::from_millis(SAMPLE_KEPT_MS);
        while self.samples.front().is_some_and(|first| sent_at.saturating_since(first.sent_at) > kept) {
            self.samples.pop_front();
        }
        true
    }

    /// Returns the latest point and its age in milliseconds, rounded up, if it is recent enough for other instances.
    pub fn shared(&self, now: Instant) -> Option<(LogPoint, u64)> {
        let latest = self.samples.back()?;
        let age_us = u64::try_from(now.saturating_since(latest.sent_at).as_micros()).ok()?;
        let age_ms = age_us.div_ceil(1_000);
        (age_ms <= SHARED_AGE_MAX_MS).then_some((latest.point, age_ms))
    }

    /// Records a log point that another instance had sampled this long before it answered a request that was sent at
    /// `asked_at`. The answer may have been on its way for any time, so the age counts from the request. Returns whether
    /// the point is newer than the latest sample.
    ///
    /// A point from before the start of this process's clock is dropped: no instant of the clock says what it covers.
    pub fn record_shared(&mut self, asked_at: Instant, age_ms: u64, point: LogPoint) -> bool {
        if age_ms > SHARED_AGE_MAX_MS {
            return false;
        }
        let drift_ms = (age_ms * CLOCK_DRIFT_PER_MILLE).div_ceil(1_000);
        let sent_at = asked_at.checked_sub(Duration::from_millis(age_ms + drift_ms));
        sent_at.is_some_and(|sent_at| self.record(sent_at, point))
    }

    /// Returns the earliest sampled point that covers every commit acknowledged before `since`: the one that replicas
    /// are most likely to have reached.
    pub fn covering(&self, since: Instant) -> Option<LogPoint> {
        self.samples.iter().find(|sample| sample.sent_at >= since).map(|sample| sample.point)
    }

    /// Returns when the request behind the latest sample was sent.
    pub fn last_sent_at(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.sent_at)
    }

    /// Drops all samples, as required when another primary takes over.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
