//! What this instance knows of one endpoint.

use {
    super::{Owner, history::PositionHistory},
    crate::{
        endpoint_command::{ConnectionId, EndpointState},
        entry::fairness::{FairQueue, LaneId},
    },
    cumincart_protocol::{
        catalogue::EndpointEntry,
        name::{EndpointName, ServiceName},
        sorted::Keyed,
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// Over how many works the least mean service time doubles unless it is confirmed.
const LEAST_TIME_WINDOW: u64 = 2_048;

/// The mean service time at which an endpoint counts as congested, in thousandths of the least mean.
const CONGESTED_MILLI: u64 = 1_400;

/// Over how many works an endpoint's mean service time is taken.
const SERVICE_TIME_WINDOW: u64 = 16;

/// How long an endpoint with works under way may stay without an answer before it counts as stalled, in milliseconds.
pub const STALL_TIMEOUT_MS: u64 = 100;

/// An endpoint's state and when its answer came.
#[derive(Debug, Clone, Copy)]
pub struct Observed {
    /// The state.
    pub state: EndpointState,
    /// When the answer came.
    pub at: Instant,
}

/// What this instance knows of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointName,
    /// The service whose group it belongs to.
    pub service: ServiceName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// How many statements it runs at once.
    pub slots: u32,
    /// Connections that are open, opening or closing.
    pub connections: u32,
    /// Connections that are being opened.
    pub opening: u32,
    /// Connections that are being closed.
    pub closing: u32,
    /// Connections that can take a work; the last one was used last.
    pub idle: Vec<ConnectionId>,
    /// Works under way.
    pub in_flight: u32,
    /// Whether a probe is under way.
    pub probing: bool,
    /// The mean time from a work's start to its end, over the last ones, in microseconds.
    pub service_micros: u64,
    /// The least mean time of a work in the last while, in microseconds.
    pub least_service_micros: u64,
    /// Requests that wait for it.
    pub queue: FairQueue,
    /// Its last known state.
    pub observed: Option<Observed>,
    /// Its positions while it is a primary.
    pub history: PositionHistory,
    /// Since when the last attempt to reach it has failed, or has succeeded.
    pub contact: Option<Contact>,
    /// Not before then is another connection opened, after one could not be.
    pub open_again_at: Instant,
    /// When the first of the works under way was sent, since none was.
    pub oldest_work_at: Option<Instant>,
    /// When a request was last sent to it.
    pub used_at: Instant,
    /// When the last answer came.
    pub answered_at: Instant,
}

/// Whether an endpoint could be reached, and since when that has been so.
#[derive(Debug, Clone, Copy)]
pub struct Contact {
    /// Whether the last attempt succeeded.
    pub reachable: bool,
    /// Since when.
    pub since: Instant,
    /// Whether there was an attempt since the last heartbeat.
    pub news: bool,
}

impl Keyed for Endpoint {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.name
    }
}

impl Endpoint {
    pub(super) fn new(service: &ServiceName, entry: &EndpointEntry) -> Self {
        Self {
            name: entry.name.clone(),
            service: service.clone(),
            address: entry.address.clone(),
            slots: entry.slots,
            connections: 0,
            opening: 0,
            closing: 0,
            idle: Vec::new(),
            in_flight: 0,
            probing: false,
            service_micros: 0,
            least_service_micros: u64::MAX,
            queue: FairQueue::default(),
            observed: None,
            history: PositionHistory::default(),
            contact: None,
            open_again_at: Instant::ZERO,
            oldest_work_at: None,
            used_at: Instant::ZERO,
            answered_at: Instant::ZERO,
        }
    }

    /// The number of connections that can take a work.
    pub fn idle_len(&self) -> u32 {
        u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }

    /// Works under way and requests that wait.
    pub fn load(&self) -> usize {
        self.in_flight as usize + self.queue.len()
    }

    /// How long a request with so many before it in the queue is expected to wait.
    pub fn expected_wait(&self, places_ahead: usize) -> Duration {
        let in_parallel = u64::from(self.slots.min(self.connections).max(1));
        let rounds = places_ahead as u64 / in_parallel;
        Duration::from_micros(self.service_micros.saturating_mul(rounds))
    }

    /// Whether works take well longer than they did at best, so that they wait for each other inside the endpoint.
    pub fn is_congested(&self) -> bool {
        self.service_micros.saturating_mul(1_000) > self.least_service_micros.saturating_mul(CONGESTED_MILLI)
    }

    /// Whether works are under way and no answer has come for a while.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let Some(oldest) = self.oldest_work_at else {
            return false;
        };
        let quiet_since = oldest.max(self.answered_at);
        now.saturating_since(quiet_since) >= Duration::from_millis(STALL_TIMEOUT_MS)
    }

    pub(super) fn note_service_time(&mut self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.service_micros = match self.service_micros {
            0 => micros,
            mean => mean - mean / SERVICE_TIME_WINDOW + micros / SERVICE_TIME_WINDOW,
        };
        let forgotten =
            self.least_service_micros.saturating_add(self.least_service_micros / LEAST_TIME_WINDOW);
        self.least_service_micros = forgotten.min(self.service_micros);
    }

    pub(super) fn work_ended(&mut self, owner: Owner, lane: Option<LaneId>) {
        if let Some(lane) = lane {
            self.queue.ended(lane);
        }
        self.in_flight -= 1;
        self.probing &= owner != Owner::Pool;
        if self.in_flight == 0 {
            self.oldest_work_at = None;
        }
    }

    /// Whether the last attempt to reach it did not fail.
    pub fn is_reachable(&self) -> bool {
        self.contact.is_none_or(|contact| contact.reachable)
    }

    /// Notes the outcome of an attempt to reach it.
    pub fn note_contact(&mut self, now: Instant, reachable: bool) {
        let since = match self.contact {
            Some(contact) if contact.reachable == reachable => contact.since,
            _ => now,
        };
        self.contact = Some(Contact { reachable, since, news: true });
    }

    /// Notes its state as an answer gave it.
    pub fn note_state(&mut self, now: Instant, state: EndpointState) {
        self.history.note(now, &state);
        self.observed = Some(Observed { state, at: now });
    }
}
