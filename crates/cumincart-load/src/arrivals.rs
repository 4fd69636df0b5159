//! Random arrival times and skewed choices, reproducible by seed.

use {
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::time::Duration,
};

/// Returns the arrival times of a Poisson process with the given mean rate, relative to the start of the span.
pub fn poisson(seed: u64, rate_per_s: f64, span: Duration) -> Vec<Duration> {
    let mut random = ChaCha20Rng::seed_from_u64(seed);
    let mut due = Vec::new();
    let mut at_s = 0.0;
    loop {
        // The random number is in [0, 1), so the logarithm's argument is never 0.
        let uniform: f64 = random.random();
        at_s -= (1.0 - uniform).ln() / rate_per_s;
        if at_s >= span.as_secs_f64() {
            return due;
        }
        due.push(Duration::from_secs_f64(at_s));
    }
}

/// Returns a random index below `count`; with a probability of 80 % it is in the first fifth.
pub fn skewed_index(random: &mut ChaCha20Rng, count: usize) -> usize {
    const HOT_SHARE: f64 = 0.8;
    let hot = count.div_ceil(5).min(count);
    if hot == count || random.random_bool(HOT_SHARE) {
        return random.random_range(0..hot);
    }
    random.random_range(hot..count)
}
