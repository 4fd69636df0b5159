//! The world of a run: the size of its groups, whether commits wait for replicas, how long commands take and how busy
//! clients are. Every other seed draws one.

use {
    super::{DOMAINS, SESSIONS},
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::time::Duration,
};

/// Separates the draws of the world from those of the faults.
const WORLD_SEED: u64 = 0x005e_ed0f_0a11;

/// The range of a usual command's duration, in microseconds.
const COMMAND_DURATION_US: std::ops::Range<u64> = 200..1_500;

/// The world of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct World {
    /// The number of endpoints of each service.
    pub endpoints: usize,
    /// The number of replicas that must have a commit before it is confirmed.
    pub synchronous_replicas: u32,
    /// The number of client sessions.
    pub sessions: usize,
    /// By how much the pauses of sessions are longer.
    pub pause_factor: u64,
    /// One in this many commands is slow; none if it is 0.
    slow_every: u64,
    /// The duration of a slow command, in milliseconds.
    slow_ms: u64,
}

impl Default for World {
    fn default() -> Self {
        Self {
            endpoints: DOMAINS,
            synchronous_replicas: 0,
            sessions: SESSIONS,
            pause_factor: 1,
            slow_every: 0,
            slow_ms: 0,
        }
    }
}

impl World {
    /// Returns the world of a seed.
    pub fn draw(seed: u64) -> Self {
        if !seed.is_multiple_of(2) {
            return Self::default();
        }
        let mut random = ChaCha20Rng::seed_from_u64(seed ^ WORLD_SEED);
        let endpoints = random.random_range(2..=5);
        let most = u32::try_from(endpoints - 1).unwrap_or_default().min(2);
        Self {
            endpoints,
            synchronous_replicas: if random.random_bool(0.7) { random.random_range(1..=most) } else { 0 },
            sessions: random.random_range(2..=SESSIONS),
            pause_factor: if random.random_bool(0.3) { random.random_range(5..40) } else { 1 },
            slow_every: if random.random_bool(0.5) { random.random_range(20..200) } else { 0 },
            slow_ms: random.random_range(100..3_000),
        }
    }

    /// Returns how much longer a run is watched after its faults than the usual world: a quiet session sends seldom, and a
    /// slow command outlasts its deadline.
    pub fn observation(self) -> Duration {
        let quiet = Duration::from_millis(200 * (self.pause_factor - 1));
        let slow = Duration::from_millis(if self.slow_every > 0 { 2 * self.slow_ms } else { 0 });
        quiet + slow
    }

    /// Returns the duration of a command.
    pub fn command_duration(self, random: &mut ChaCha20Rng) -> Duration {
        let usual = Duration::from_micros(random.random_range(COMMAND_DURATION_US));
        let is_slow = self.slow_every > 0 && random.random_range(0..self.slow_every) == 0;
        if is_slow { Duration::from_millis(self.slow_ms) } else { usual }
    }
}
