//! The times of a planned stop, derived from the time that the process has until it is killed.
//!
//! What arrives in the first half of it is taken; later only what ends in time whatever happens, by its own time limit.
//! Anything else is refused before it is sent on. Statements that still run when the time is over are answered with what is
//! certain then.

use std::time::Duration;

/// The time until the kill where the platform names none.
pub const GRACE_DEFAULT: Duration = Duration::from_secs(6);

/// How long sessions continue as before at the most: the time in which a load balancer notices that the instance is not
/// ready, with two probes at an interval of one second.
const UNREADY_MAX: Duration = Duration::from_millis(2_200);

/// The times of a planned stop, all counted from the request to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    grace: Duration,
}

impl StopSchedule {
    /// Returns the schedule of a process that is killed this long after the request to stop.
    pub fn of_grace(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns until when sessions continue as before.
    pub fn unready_until(self) -> Duration {
        UNREADY_MAX.min(self.grace * 3 / 8)
    }

    /// Returns the time over which idle sessions are closed after that, so that their clients don't all reconnect at once.
    pub fn close_spread(self) -> Duration {
        self.grace / 4
    }

    /// Returns until when everything that was taken is answered.
    pub fn answer_by(self) -> Duration {
        self.grace * 7 / 8
    }

    /// Returns when the process ends at the latest: answers are written until then.
    pub fn end_by(self) -> Duration {
        self.grace * 23 / 24
    }

    /// Returns until when a statement with a time limit is taken: in the first half of the time, and later as long as it
    /// ends in time.
    pub fn takes_until(self, limit: Duration) -> Duration {
        self.answer_by().saturating_sub(limit).max(self.grace / 2)
    }
}
