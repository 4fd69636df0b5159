//! A monotonic instant. Decisions receive it as an argument, so that they can run on a virtual clock.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// A point in time of a process's monotonic clock, in microseconds. Instants of two processes can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// The start of the process's clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// Returns the instant `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Returns the instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self { micros: millis * 1_000 }
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the milliseconds since the start of the clock, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.micros / 1_000
    }

    /// Returns the instant `span` earlier, or `None` if that is before the start of the clock.
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        let micros = u64::try_from(span.as_micros()).ok()?;
        Some(Self { micros: self.micros.checked_sub(micros)? })
    }

    /// Returns the time since `earlier`; zero if `earlier` is later.
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
