//! The past positions of a primary, used to predict a replica's position from its lag.

use {
    crate::endpoint_command::EndpointState,
    cumincart_protocol::{
        announcement::Role,
        number::{LogPosition, Timeline},
        time::Instant,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Minimum interval of samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 10;

/// The maximum number of samples: at least ten seconds' worth.
pub const SAMPLES_MAX: usize = 1_024;

/// A position that the primary had reached at some instant.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    position: LogPosition,
}

/// The recent positions of a primary, oldest first; times and positions only grow.
#[derive(Debug, Default)]
pub struct PositionHistory {
    timeline: Timeline,
    samples: VecDeque<Sample>,
}

impl PositionHistory {
    /// Records a state. A replica's state, or one on another timeline, clears the history.
    pub fn record(&mut self, now: Instant, state: &EndpointState) {
        if state.role != Role::Primary || state.timeline != self.timeline {
            self.samples.clear();
            self.timeline = state.timeline;
        }
        if state.role == Role::Primary && self.is_due(now) {
            self.samples.push_back(Sample { at: now, position: state.position });
        }
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(SAMPLE_INTERVAL_MS);
        self.samples.back().is_none_or(|last| now.saturating_since(last.at) >= interval)
    }

    /// Returns the position that a replica on this timeline with this lag has at least reached by now.
    pub fn replica_position(&self, now: Instant, lag: Duration) -> Option<LogPosition> {
        let known_before = now - lag;
        let count = self.samples.partition_point(|sample| sample.at <= known_before);
        let last = self.samples.get(count.checked_sub(1)?)?;
        Some(last.position)
    }
}
