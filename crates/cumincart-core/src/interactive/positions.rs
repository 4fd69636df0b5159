//! How far a group's log was, and when: what a replica must have before it may serve a read that accepts an age.
//!
//! An answer of the primary, asked for under a term lease, names a point that covers every commit acknowledged before it
//! was asked for. So a replica that has this point may serve reads whose bound reaches back to that moment.

pub use cumincart_protocol::exchange::LogPoint;

use {
    cumincart_protocol::time::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// The shortest time between two samples that are kept, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 25;

/// How long samples are kept, in milliseconds: longer than any age that reads usually accept.
pub const SAMPLE_KEPT_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct Sample {
    sent_at: Instant,
    point: LogPoint,
}

/// The primary's last points, oldest first.
#[derive(Debug, Default)]
pub struct Positions {
    samples: VecDeque<Sample>,
}

impl Positions {
    /// Takes a point that the primary answered to a question of `asked_at`.
    pub fn record(&mut self, sent_at: Instant, point: LogPoint) {
        if let Some(last) = self.samples.back()
            && sent_at.saturating_since(last.sent_at) < Duration::from_millis(SAMPLE_INTERVAL_MS)
        {
            return;
        }
        self.samples.push_back(Sample { sent_at, point });
        let kept = Duration::from_millis(SAMPLE_KEPT_MS);
        while self.samples.front().is_some_and(|first| sent_at.saturating_since(first.sent_at) > kept) {
            self.samples.pop_front();
        }
    }

    /// The earliest known point that covers every commit acknowledged before `since`: the one that a replica is most
    /// likely to have.
    pub fn covering(&self, since: Instant) -> Option<LogPoint> {
        self.samples.iter().find(|sample| sample.sent_at >= since).map(|sample| sample.point)
    }

    /// When the last sample was asked for.
    pub fn last_sent_at(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.sent_at)
    }

    /// Forgets all samples, when another primary takes over.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
