//! The monotonic clock and the random generator of a process.

use {
    cumincart_protocol::{number::Incarnation, time::Instant},
    rand::{SeedableRng, rngs::SysRng},
    rand_chacha::ChaCha20Rng,
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that starts at its creation. It includes the time for which the machine was suspended, because
/// leases expire during that time as well.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Timespec,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: clock_gettime(ClockId::Boottime) }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Instant {
        let now = clock_gettime(ClockId::Boottime);
        let nanos = (now.tv_sec - self.start.tv_sec) * 1_000_000_000 + (now.tv_nsec - self.start.tv_nsec);
        Instant::from_micros(u64::try_from(nanos / 1_000).unwrap_or_default())
    }
}

/// Returns the incarnation of a process that starts now: greater than that of every earlier run, provided that the wall
/// clock does not step back across a restart.
pub fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the time of day, in milliseconds since the start of 1970. It may jump.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Creates a random generator seeded by the operating system.
pub fn random() -> ChaCha20Rng {
    ChaCha20Rng::try_from_rng(&mut SysRng).expect("the operating system's random source works")
}
