//! Latency, loss and partitions between failure domains. Callers reach every failure domain.

use {rand::RngExt, rand_chacha::ChaCha20Rng, std::time::Duration};

const WITHIN_DOMAIN_US: u64 = 200;
const BETWEEN_DOMAINS_US: u64 = 1_500;
const JITTER_US: u64 = 700;

/// The time that a message takes between a caller and an entry instance.
pub const CALLER_LATENCY: Duration = Duration::from_millis(3);

/// A direction between two failure domains in which nothing arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// The failure domain whose messages don't arrive.
    pub from: usize,
    /// Where they don't arrive.
    pub to: usize,
}

/// The state of the network.
#[derive(Debug, Default)]
pub struct Network {
    cuts: Vec<Cut>,
    loss_percent: u32,
}

impl Network {
    /// Cuts one direction. Cuts add up: each is mended by itself.
    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Mends one cut.
    pub fn mend(&mut self, cut: Cut) {
        if let Some(index) = self.cuts.iter().position(|known| *known == cut) {
            self.cuts.swap_remove(index);
        }
    }

    /// Loses this share of messages that nothing repeats by itself.
    pub fn set_loss_percent(&mut self, percent: u32) {
        self.loss_percent = percent;
    }

    /// The time that a message takes, or none when it does not arrive.
    pub fn deliver(&self, random: &mut ChaCha20Rng, from: usize, to: usize) -> Option<Duration> {
        if self.loss_percent > 0 && random.random_range(0..100) < self.loss_percent {
            return None;
        }
        self.deliver_reliably(random, from, to)
    }

    /// The same for a connection that repeats what is lost.
    pub fn deliver_reliably(&self, random: &mut ChaCha20Rng, from: usize, to: usize) -> Option<Duration> {
        if self.cuts.contains(&Cut { from, to }) {
            return None;
        }
        let base = if from == to { WITHIN_DOMAIN_US } else { BETWEEN_DOMAINS_US };
        Some(Duration::from_micros(base + random.random_range(0..JITTER_US)))
    }
}
