//! When a primary had reached which position, so that a replica's position can be predicted from its lag.

use {
    crate::work::EndpointState,
    cumincart_protocol::{
        announcement::Role,
        number::{LogPosition, Timeline},
        time::Instant,
    },
    std::{collections::VecDeque, time::Duration},
};

/// The least time between two samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 10;

/// The number of samples that are kept: at least ten seconds of them.
pub const SAMPLES_MAX: usize = 1_024;

/// A position that the primary had reached at some instant.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    position: LogPosition,
}

/// The positions of a primary over the last while, oldest first; times and positions only grow.
#[derive(Debug, Default)]
pub struct PositionHistory {
    timeline: Timeline,
    samples: VecDeque<Sample>,
}

impl PositionHistory {
    /// Takes a state in. The state of a replica, or of another timeline, ends what was known before.
    pub fn note(&mut self, now: Instant, state: &EndpointState) {
        if state.role != Role::Primary || state.timeline != self.timeline {
            self.samples.clear();
            self.timeline = state.timeline;
        }
        if state.role == Role::Primary && self.is_due(now) {
            let least = self.samples.back().map_or(state.position, |last| last.position);
            self.samples.push_back(Sample { at: now, position: state.position.max(least) });
        }
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Takes in that a session has seen the primary at a position: it had reached it by now at the latest.
    pub fn note_seen(&mut self, now: Instant, timeline: Timeline, position: LogPosition) {
        let is_due = self.is_due(now);
        let Some(last) = self.samples.back_mut().filter(|_| self.timeline == timeline) else {
            return;
        };
        if position <= last.position {
            return;
        }
        if is_due {
            self.samples.push_back(Sample { at: now, position });
        } else {
            // Too early by less than a sample's interval: the endpoint itself confirms the position.
            last.position = position;
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(SAMPLE_INTERVAL_MS);
        self.samples.back().is_none_or(|last| now.saturating_since(last.at) >= interval)
    }

    /// The position that a replica on this timeline with this lag has reached at least by now.
    pub fn replica_position(&self, now: Instant, lag: Duration) -> Option<LogPosition> {
        let known_before = now - lag;
        let count = self.samples.partition_point(|sample| sample.at <= known_before);
        let last = self.samples.get(count.checked_sub(1)?)?;
        Some(last.position)
    }
}
