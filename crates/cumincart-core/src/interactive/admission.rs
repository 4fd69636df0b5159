//! Admission control for one endpoint: limits how many statements and transactions of this instance run there
//! concurrently, queues the excess, and refuses requests that could not start before their deadline.
//!
//! Protects against bursts, slow endpoints and queues that build up during a failover. A request that could not start
//! in time is refused immediately, so queued requests are served within their deadlines, and the refusal carries a
//! retry delay estimated from the queue.

use {
    cumincart_protocol::{name::OrganisationName, time::Instant},
    std::{cmp::Ordering, fmt, time::Duration},
};

/// The weight of a new sample in the moving average of the service time, in thousandths.
const SERVICE_WEIGHT_PER_MILLE: u64 = 100;

/// The service time assumed before the first sample, in microseconds.
const INITIAL_SERVICE_US: u64 = 40_000;

/// The weight of a new sample in the moving average of the latency, in thousandths.
const LATENCY_WEIGHT_PER_MILLE: u64 = 100;

/// How fast the baseline latency rises while no lower latency is measured, in millionths per exchange.
const BASELINE_RISE_PPM: u64 = 500;

/// The ratio of average to baseline latency above which the endpoint counts as overloaded.
const OVERLOAD_FACTOR: u64 = 3;

/// The factor by which the window shrinks with each exchange while the endpoint is overloaded, in thousandths.
const WINDOW_DECREASE_PER_MILLE: u64 = 950;

/// How much the window grows over one window's worth of exchanges, in thousandths of a slot.
const WINDOW_INCREASE_MILLI: u64 = 250;

/// One slot of the window, in thousandths.
const SLOT_MILLI: u64 = 1_000;

/// The number of statements that all instances together may have in flight for each execution slot of an endpoint: one
/// that runs and one in transit. More would queue at the endpoint.
const STATEMENTS_PER_EXECUTION_SLOT: u32 = 2;

/// How long requests that have an idle connection may overtake the head of the queue, in milliseconds.
const BYPASS_MAX_MS: u64 = 100;

/// The maximum queue length, which bounds the memory that a stalled endpoint can cost.
pub const QUEUE_MAX: usize = 512;

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifies the request.
    pub ticket: u64,
    /// The organisation that the request belongs to.
    pub organisation: OrganisationName,
    /// The priority of the request's database; 0 is the highest.
    pub priority: u32,
    /// When the client's statement arrived at this instance.
    pub arrived_at: Instant,
    /// The deadline for getting a slot.
    pub start_by: Instant,
}

impl AdmissionRequest {
    fn queue_order(&self, other: &Self) -> Ordering {
        (self.priority, self.arrived_at, self.ticket).cmp(&(other.priority, other.arrived_at, other.ticket))
    }
}

/// Returns the number of slots that an instance may always use concurrently at an endpoint which `owner_count`
/// instances share: its part of the statements that keep the endpoint's execution slots busy.
///
/// After a failover, new connections and late answers would shrink the window below this, and it would take seconds to
/// grow back while execution slots are free.
pub fn fair_window(execution_slots: u32, owner_count: usize) -> u32 {
    let owner_count = u32::try_from(owner_count).unwrap_or(u32::MAX).max(1);
    (STATEMENTS_PER_EXECUTION_SLOT * execution_slots).div_ceil(owner_count).max(1)
}

/// The result of a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request got a slot.
    Admitted,
    /// The request is queued; [`ConcurrencyLimiter::dequeue`] returns its ticket later.
    Waiting,
    /// The request could not start before its deadline, or the queue is full.
    Refused {
        /// The estimated time until a slot is free, in milliseconds.
        retry_after_ms: u64,
        /// The utilisation of the endpoint's slots at the time of the refusal.
        occupancy: Occupancy,
    },
}

/// The utilisation of an endpoint's slots, which explains a refusal in logs and to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Slots in use.
    pub active: u32,
    /// Slots of transactions that are idle between two statements.
    pub idle_in_transaction: u32,
    /// The concurrency window: how many slots may be in use at once.
    pub window: u32,
    /// The total number of slots.
    pub limit: u32,
    /// Queued requests.
    pub waiting: usize,
    /// The average time for which a slot is in use, in milliseconds.
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

/// An adaptive concurrency limiter for one endpoint.
///
/// Two bounds apply. `limit` is the number of connections and bounds all slots, those of transactions idle between two
/// statements included. The window bounds the slots that are in use at the same time. It shrinks while the latency is
/// several times the baseline, so that requests queue here, ordered by priority, instead of in the endpoint's own
/// queue, which knows no priorities.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    limit: u32,
    active: u32,
    /// Slots of transactions that are idle between two statements.
    idle_in_transaction: u32,
    /// The concurrency window, in thousandths of a slot.
    window_milli: u64,
    /// The lower bound of the window, in slots.
    min_window: u32,
    latency_us: u64,
    baseline_us: u64,
    service_us: u64,
    /// The queue: by priority, then time of arrival, then ticket.
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
    /// Returns the number of allocated slots, those of transactions idle between two statements included.
    pub fn allocated(&self) -> u32 {
        self.active + self.idle_in_transaction
    }

    /// Returns the number of slots that may be in use at once.
    pub fn window(&self) -> u32 {
        let window = u32::try_from(self.window_milli / SLOT_MILLI).unwrap_or(u32::MAX);
        window.max(self.min_window).min(self.limit).max(1)
    }

    /// Returns the total number of slots.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the current utilisation.
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

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the average time for which a slot is in use, in microseconds.
    pub fn service_us(&self) -> u64 {
        self.service_us
    }

    /// Returns whether a new request would get a slot immediately.
    pub fn has_free_slot(&self) -> bool {
        self.has_capacity() && self.waiting.is_empty()
    }

    fn has_capacity(&self) -> bool {
        self.active < self.window() && self.allocated() < self.limit
    }

    /// Estimates how long a new request with this priority would wait.
    pub fn expected_wait(&self, priority: u32) -> Duration {
        if self.has_free_slot() {
            return Duration::ZERO;
        }
        let ahead = self.waiting.iter().filter(|other| other.priority <= priority).count() as u64;
        let slots = u64::from(self.window());
        Duration::from_micros((ahead + 1) * self.service_us / slots)
    }

    /// Grants a slot, queues the request, or refuses it.
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

    /// Removes a queued request. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.ticket != ticket);
        self.waiting.len() < before
    }

    /// Releases a slot. `service` is the time for which the endpoint was busy with it, or `None` if nothing was
    /// measured.
    pub fn release(&mut self, service: Option<Duration>) {
        self.active = self.active.saturating_sub(1);
        if let Some(service) = service {
            let sample_us = u64::try_from(service.as_micros()).unwrap_or(u64::MAX).min(60_000_000);
            let old = self.service_us * (1_000 - SERVICE_WEIGHT_PER_MILLE);
            self.service_us = (old + sample_us * SERVICE_WEIGHT_PER_MILLE) / 1_000;
        }
    }

    /// Marks a slot as idle in transaction, so that another request may use its share of the window.
    pub fn suspend(&mut self) {
        self.active = self.active.saturating_sub(1);
        self.idle_in_transaction += 1;
    }

    /// Marks a suspended slot as in use again for the next statement of its transaction. It doesn't queue: open
    /// transactions go before new requests, even where this exceeds the window.
    pub fn resume(&mut self) {
        self.idle_in_transaction = self.idle_in_transaction.saturating_sub(1);
        self.active += 1;
    }

    /// Adjusts the window to the latency of an answer, or to the endpoint's refusal because its own queue is full.
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

    /// Sets the total number of slots.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Sets the lower bound of the window, which holds however slow the answers are.
    pub fn set_min_window(&mut self, min_window: u32) {
        self.min_window = min_window.max(1);
    }

    /// Takes the next request off the queue: its head if its deadline has passed, otherwise a request that gets a free
    /// slot. Returns `None` if no request can be taken off now.
    ///
    /// Among requests of the highest queued priority, one whose organisation has an idle connection (`has_connection`)
    /// goes first, because opening a connection takes up an execution slot of the endpoint. This ends once the head of
    /// the queue has waited for `BYPASS_MAX_MS`.
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

/// A request that was taken off the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// The request with this ticket got a slot.
    Admitted(u64),
    /// The deadline of the request with this ticket has passed.
    Expired(u64),
}
