//! Latency, message loss and partitions between failure domains. Partitions do not affect clients.

use {rand::RngExt, rand_chacha::ChaCha20Rng, std::time::Duration};

const WITHIN_DOMAIN_US: u64 = 200;
const BETWEEN_DOMAINS_US: u64 = 1_500;
const JITTER_US: u64 = 700;

/// The latency between a client and an entry instance.
pub const CLIENT_LATENCY: Duration = Duration::from_millis(3);

/// A one-way partition between two failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// The failure domain whose outgoing messages are dropped.
    pub from: usize,
    /// The failure domain that does not receive them.
    pub to: usize,
}

/// The state of the network.
#[derive(Debug, Default)]
pub struct Network {
    cuts: Vec<Cut>,
    loss_percent: u32,
}

impl Network {
    /// Adds a one-way partition. Equal partitions may overlap; each one must be removed separately.
    pub fn add_cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Removes a one-way partition.
    pub fn remove_cut(&mut self, cut: Cut) {
        if let Some(index) = self.cuts.iter().position(|known| *known == cut) {
            self.cuts.swap_remove(index);
        }
    }

    /// Sets the percentage of dropped messages on transports without retransmission.
    pub fn set_loss_percent(&mut self, percent: u32) {
        self.loss_percent = percent;
    }

    /// Returns the latency of a message, or none if it is dropped.
    pub fn deliver(&self, random: &mut ChaCha20Rng, from: usize, to: usize) -> Option<Duration> {
        if self.loss_percent > 0 && random.random_range(0..100) < self.loss_percent {
            return None;
        }
        self.deliver_reliably(random, from, to)
    }

    /// Returns the latency of a message on a connection with retransmission, or none during a partition.
    pub fn deliver_reliably(&self, random: &mut ChaCha20Rng, from: usize, to: usize) -> Option<Duration> {
        if self.cuts.contains(&Cut { from, to }) {
            return None;
        }
        let base = if from == to { WITHIN_DOMAIN_US } else { BETWEEN_DOMAINS_US };
        Some(Duration::from_micros(base + random.random_range(0..JITTER_US)))
    }
}
