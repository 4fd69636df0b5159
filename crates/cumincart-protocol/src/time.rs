//! A monotonic instant that is passed in, so that decisions can run on a virtual clock.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// Microseconds on one process's monotonic clock. Two processes' instants can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// The start of the process's clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// An instant `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// An instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self { micros: millis * 1_000 }
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Milliseconds since the start of the clock, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.micros / 1_000
    }

    /// Time since `earlier`; zero when `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self { micros: self.micros.saturating_add(micros) }
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self { micros: self.micros.saturating_sub(micros) }
    }
}
