//! Admission at one endpoint: how many statements and transactions of this instance use it at once, who waits, and who is
//! refused at once because waiting would not help.
//!
//! Answers bursts, slow endpoints and failover queues: work that could not start in time is refused before it waits,
//! so that what does wait is served within its deadline, and clients come back after a time that the queue explains.

use {
    cumincart_protocol::time::Instant,
    std::{cmp::Ordering, time::Duration},
};

/// The weight of the newest service time in the average, in thousandths.
const AVERAGE_WEIGHT_PER_MILLE: u64 = 100;

/// The service time that is assumed before any was measured, in microseconds.
const INITIAL_SERVICE_US: u64 = 40_000;

/// The longest queue, so that a stalled endpoint costs bounded memory.
pub const QUEUE_MAX: usize = 512;

/// A request for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Names the request.
    pub ticket: u64,
    /// The order among databases; 0 goes first.
    pub priority: u32,
    /// When the client's statement arrived.
    pub arrived_at: Instant,
    /// Until when it must have a place to be of use.
    pub start_by: Instant,
}

impl Arrival {
    fn order(&self, other: &Self) -> Ordering {
        (self.priority, self.arrived_at, self.ticket).cmp(&(other.priority, other.arrived_at, other.ticket))
    }
}

/// What becomes of a request for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It has a place.
    Admitted,
    /// It waits; a released place may be given to its ticket.
    Waiting,
    /// It could not start in time.
    Refused {
        /// When a place is likely, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The places at one endpoint.
#[derive(Debug)]
pub struct Gate {
    limit: u32,
    running: u32,
    service_us: u64,
    /// In the order in which they get places.
    waiting: Vec<Arrival>,
}

impl Default for Gate {
    fn default() -> Self {
        Self { limit: 0, running: 0, service_us: INITIAL_SERVICE_US, waiting: Vec::new() }
    }
}

impl Gate {
    /// How many places are taken.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many places there are.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The average time for which a place is taken, in microseconds.
    pub fn service_us(&self) -> u64 {
        self.service_us
    }

    /// Whether a request would get a place now.
    pub fn has_place(&self) -> bool {
        self.running < self.limit && self.waiting.is_empty()
    }

    /// How long a request with this priority would wait, as far as can be told.
    pub fn expected_wait(&self, priority: u32) -> Duration {
        if self.has_place() {
            return Duration::ZERO;
        }
        let ahead = self.waiting.iter().filter(|other| other.priority <= priority).count() as u64;
        let places = u64::from(self.limit.max(1));
        Duration::from_micros((ahead + 1) * self.service_us / places)
    }

    /// Asks for a place.
    pub fn ask(&mut self, now: Instant, arrival: Arrival) -> Admission {
        if self.has_place() {
            self.running += 1;
            return Admission::Admitted;
        }
        let wait = self.expected_wait(arrival.priority);
        if now + wait > arrival.start_by || self.waiting.len() >= QUEUE_MAX {
            let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
            return Admission::Refused { retry_after_ms };
        }
        let place = self.waiting.partition_point(|other| other.order(&arrival).is_lt());
        self.waiting.insert(place, arrival);
        Admission::Waiting
    }

    /// Drops a request that waits. Tells whether it still waited.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|arrival| arrival.ticket != ticket);
        self.waiting.len() < before
    }

    /// Gives a place back, with the time for which it was taken where it tells how fast the endpoint is.
    pub fn release(&mut self, service: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(service) = service {
            let measured = u64::try_from(service.as_micros()).unwrap_or(u64::MAX).min(60_000_000);
            let old = self.service_us * (1_000 - AVERAGE_WEIGHT_PER_MILLE);
            self.service_us = (old + measured * AVERAGE_WEIGHT_PER_MILLE) / 1_000;
        }
    }

    /// Changes the number of places.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Gives the next free place to the first that waits and can still start in time. The others are named as late.
    pub fn next(&mut self, now: Instant) -> Option<Next> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.waiting[0].start_by < now {
            return Some(Next::Late(self.waiting.remove(0).ticket));
        }
        if self.running >= self.limit {
            return None;
        }
        self.running += 1;
        Some(Next::Admitted(self.waiting.remove(0).ticket))
    }
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It has a place.
    Admitted(u64),
    /// It can't start in time any more.
    Late(u64),
}
