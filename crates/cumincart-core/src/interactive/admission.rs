//! Admission at one endpoint: how many statements and transactions of this instance use it at once, who waits, and who is
//! refused at once because waiting would not help.
//!
//! Answers bursts, slow endpoints and failover queues: work that could not start in time is refused before it waits,
//! so that what does wait is served within its deadline, and clients come back after a time that the queue explains.

use {
    cumincart_protocol::{name::OrganisationName, time::Instant},
    std::{cmp::Ordering, fmt, time::Duration},
};

/// The weight of the newest service time in the average, in thousandths.
const SERVICE_WEIGHT_PER_MILLE: u64 = 100;

/// The service time that is assumed before any was measured, in microseconds.
const INITIAL_SERVICE_US: u64 = 40_000;

/// The weight of the newest latency in its average, in thousandths.
const LATENCY_WEIGHT_PER_MILLE: u64 = 100;

/// How fast the base latency rises where nothing lower is measured, in millionths an exchange.
const BASELINE_RISE_PPM: u64 = 500;

/// How many times the base latency counts as an overloaded endpoint.
const OVERLOAD_FACTOR: u64 = 3;

/// What an overloaded endpoint leaves of the window with each exchange, in thousandths.
const WINDOW_DECREASE_PER_MILLE: u64 = 950;

/// By how much the window grows over as many exchanges as it holds, in thousandths of a place.
const WINDOW_INCREASE_MILLI: u64 = 250;

/// One place of the window.
const SLOT_MILLI: u64 = 1_000;

/// How many statements an endpoint may have of all instances for each of its slots before they count as a queue: one that
/// runs and one that is on its way.
const STATEMENTS_PER_EXECUTION_SLOT: u32 = 2;

/// How long the first that waits may be passed over by one whose connection is there, in milliseconds.
const BYPASS_MAX_MS: u64 = 100;

/// The longest queue, so that a stalled endpoint costs bounded memory.
pub const QUEUE_MAX: usize = 512;

/// A request for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Names the request.
    pub ticket: u64,
    /// Whose it is.
    pub organisation: OrganisationName,
    /// The order among databases; 0 goes first.
    pub priority: u32,
    /// When the client's statement arrived.
    pub arrived_at: Instant,
    /// Until when it must have a place to be of use.
    pub start_by: Instant,
}

impl AdmissionRequest {
    fn queue_order(&self, other: &Self) -> Ordering {
        (self.priority, self.arrived_at, self.ticket).cmp(&(other.priority, other.arrived_at, other.ticket))
    }
}

/// How many places an instance may always use at once at an endpoint that it shares with others: its part of what keeps the
/// endpoint's slots busy. Answers the wave of new connections and late answers after a failover, from which a smaller
/// window would take seconds to grow back while slots are free.
pub fn fair_window(execution_slots: u32, owner_count: usize) -> u32 {
    let owner_count = u32::try_from(owner_count).unwrap_or(u32::MAX).max(1);
    (STATEMENTS_PER_EXECUTION_SLOT * execution_slots).div_ceil(owner_count).max(1)
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
        /// How full the places were.
        occupancy: Occupancy,
    },
}

/// How full an endpoint's places are: what a refusal rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Places in use.
    pub active: u32,
    /// Places of transactions at rest.
    pub idle_in_transaction: u32,
    /// Places that may be in use at once.
    pub window: u32,
    /// Places in all.
    pub limit: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// The average time for which a place is taken, in milliseconds.
    pub service_ms: u64,
}

impl fmt::Display for Occupancy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { active, idle_in_transaction, window, limit, waiting, service_ms } = self;
        write!(
            f,
            "{active} of {window} slots in use, {idle_in_transaction} idle in transaction, limit {limit}, {waiting} waiting, {service_ms} ms each"
        )
    }
}

/// The places at one endpoint.
///
/// Two bounds hold: connections for all that has a place, and a window for what uses the endpoint at this moment. The
/// window shrinks while answers take several times as long as they do at best, so that work waits here, in the order of
/// its priority, and not in the endpoint's own queue.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    limit: u32,
    active: u32,
    /// Transactions whose client is between two statements.
    idle_in_transaction: u32,
    /// Places in use at once, in thousandths.
    window_milli: u64,
    /// Places in use at once that are left at the least.
    min_window: u32,
    latency_us: u64,
    baseline_us: u64,
    service_us: u64,
    /// In the order in which they get places.
    waiting: Vec<AdmissionRequest>,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        Self {
            limit: 0,
            active: 0,
            idle_in_transaction: 0,
            window_milli: u64::MAX,
            min_window: 1,
            latency_us: INITIAL_SERVICE_US,
            baseline_us: INITIAL_SERVICE_US,
            service_us: INITIAL_SERVICE_US,
            waiting: Vec::new(),
        }
    }
}

impl ConcurrencyLimiter {
    /// How many places are taken, by transactions at rest too.
    pub fn allocated(&self) -> u32 {
        self.active + self.idle_in_transaction
    }

    /// How many places may be in use at once.
    pub fn window(&self) -> u32 {
        let window = u32::try_from(self.window_milli / SLOT_MILLI).unwrap_or(u32::MAX);
        window.max(self.min_window).min(self.limit).max(1)
    }

    /// How many places there are.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// How full it is.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            active: self.active,
            idle_in_transaction: self.idle_in_transaction,
            window: self.window(),
            limit: self.limit,
            waiting: self.waiting.len(),
            service_ms: self.service_us / 1_000,
        }
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
    pub fn has_free_slot(&self) -> bool {
        self.has_capacity() && self.waiting.is_empty()
    }

    fn has_capacity(&self) -> bool {
        self.active < self.window() && self.allocated() < self.limit
    }

    /// How long a request with this priority would wait, as far as can be told.
    pub fn expected_wait(&self, priority: u32) -> Duration {
        if self.has_free_slot() {
            return Duration::ZERO;
        }
        let ahead = self.waiting.iter().filter(|other| other.priority <= priority).count() as u64;
        let slots = u64::from(self.window());
        Duration::from_micros((ahead + 1) * self.service_us / slots)
    }

    /// Asks for a place.
    pub fn admit(&mut self, now: Instant, request: AdmissionRequest) -> Admission {
        if self.has_free_slot() {
            self.active += 1;
            return Admission::Admitted;
        }
        let wait = self.expected_wait(request.priority);
        if now + wait > request.start_by || self.waiting.len() >= QUEUE_MAX {
            let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
            return Admission::Refused { retry_after_ms, occupancy: self.occupancy() };
        }
        let position = self.waiting.partition_point(|other| other.queue_order(&request).is_lt());
        self.waiting.insert(position, request);
        Admission::Waiting
    }

    /// Drops a request that waits. Tells whether it still waited.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.ticket != ticket);
        self.waiting.len() < before
    }

    /// Gives a place back, with the time for which it was taken where it tells how fast the endpoint is.
    pub fn release(&mut self, service: Option<Duration>) {
        self.active = self.active.saturating_sub(1);
        if let Some(service) = service {
            let sample_us = u64::try_from(service.as_micros()).unwrap_or(u64::MAX).min(60_000_000);
            let old = self.service_us * (1_000 - SERVICE_WEIGHT_PER_MILLE);
            self.service_us = (old + sample_us * SERVICE_WEIGHT_PER_MILLE) / 1_000;
        }
    }

    /// Leaves a place to others while its transaction's client thinks.
    pub fn suspend(&mut self) {
        self.active = self.active.saturating_sub(1);
        self.idle_in_transaction += 1;
    }

    /// Takes a place up again for the next statement of its transaction, before all new work.
    pub fn resume(&mut self) {
        self.idle_in_transaction = self.idle_in_transaction.saturating_sub(1);
        self.active += 1;
    }

    /// Learns from an answer's latency, or from the endpoint's refusal because its queue is full.
    pub fn observe(&mut self, latency: Duration, is_refusal: bool) {
        let sample_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).min(60_000_000);
        if !is_refusal {
            let old = self.latency_us * (1_000 - LATENCY_WEIGHT_PER_MILLE);
            self.latency_us = (old + sample_us * LATENCY_WEIGHT_PER_MILLE) / 1_000;
            let raised_us = self.baseline_us + self.baseline_us * BASELINE_RISE_PPM / 1_000_000;
            self.baseline_us = raised_us.min(self.latency_us);
        }
        let max_milli = u64::from(self.limit.max(1)) * SLOT_MILLI;
        let window = self.window_milli.min(max_milli);
        let is_overloaded = is_refusal || self.latency_us > OVERLOAD_FACTOR * self.baseline_us;
        self.window_milli = if is_overloaded {
            (window * WINDOW_DECREASE_PER_MILLE / 1_000).max(u64::from(self.min_window) * SLOT_MILLI)
        } else {
            (window + WINDOW_INCREASE_MILLI * SLOT_MILLI / window.max(1)).min(max_milli)
        };
    }

    /// Changes the number of places.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Changes how many places in use at once are left at the least, however slow the answers are.
    pub fn set_min_window(&mut self, min_window: u32) {
        self.min_window = min_window.max(1);
    }

    /// Gives the next free place to the first that waits and can still start in time; the others are named as late. Of
    /// the same priority one goes first whose organisation `has_connection`, since opening one takes a slot's time.
    pub fn dequeue(
        &mut self,
        now: Instant,
        has_connection: impl Fn(&OrganisationName) -> bool,
    ) -> Option<Dequeued> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.waiting[0].start_by < now {
            return Some(Dequeued::Expired(self.waiting.remove(0).ticket));
        }
        if !self.has_capacity() {
            return None;
        }
        self.active += 1;
        let first = &self.waiting[0];
        let may_be_bypassed = now.saturating_since(first.arrived_at) < Duration::from_millis(BYPASS_MAX_MS);
        let same_priority = self.waiting.iter().take_while(|other| other.priority == first.priority);
        let connected = same_priority
            .enumerate()
            .find(|(_, other)| other.start_by >= now && has_connection(&other.organisation));
        let chosen = connected.filter(|_| may_be_bypassed).map_or(0, |(position, _)| position);
        Some(Dequeued::Admitted(self.waiting.remove(chosen).ticket))
    }
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// It has a place.
    Admitted(u64),
    /// It can't start in time any more.
    Expired(u64),
}
