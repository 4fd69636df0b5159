//! The state of one endpoint, as this instance observes it.

use {
    super::{Owner, history::PositionHistory},
    crate::{
        endpoint_command::{ConnectionId, EndpointState},
        entry::fairness::{FairQueue, FlowId},
    },
    cumincart_protocol::{
        catalogue::EndpointEntry,
        name::{EndpointName, ServiceName},
        sorted::Keyed,
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// The number of commands over which the minimum of the mean service time doubles unless it is measured
/// again.
const MIN_SERVICE_TIME_WINDOW: u64 = 2_048;

/// The mean service time above which an endpoint counts as congested, in thousandths of the minimum.
const CONGESTED_MILLI: u64 = 1_400;

/// The number of commands over which the mean service time is averaged.
const SERVICE_TIME_WINDOW: u64 = 16;

/// How long an endpoint with commands in flight may give no answer before it counts as stalled, in
/// milliseconds.
pub const STALL_TIMEOUT_MS: u64 = 100;

/// A state that an endpoint reported, and when its answer came.
#[derive(Debug, Clone, Copy)]
pub struct ObservedState {
    /// The state.
    pub state: EndpointState,
    /// When the answer came.
    pub at: Instant,
}

/// The state of one endpoint, as this instance observes it.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointName,
    /// The service whose group it belongs to.
    pub service: ServiceName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// Connections that are open, opening or closing.
    pub connections: u32,
    /// Connections that are being opened.
    pub opening: u32,
    /// Connections that are being closed.
    pub closing: u32,
    /// Idle connections; the most recently used one is last.
    pub idle: Vec<ConnectionId>,
    /// The number of commands in flight.
    pub in_flight: u32,
    /// Whether a probe is in flight.
    pub probing: bool,
    /// The moving average of the time from sending a command to its result, in microseconds.
    pub service_micros: u64,
    /// The recent minimum of `service_micros`, in microseconds.
    pub min_service_micros: u64,
    /// The queue of requests for it.
    pub queue: FairQueue,
    /// The state that it last reported.
    pub observed: Option<ObservedState>,
    /// Its past positions while it is a primary.
    pub history: PositionHistory,
    /// Whether it could be reached; none before the first attempt.
    pub reachability: Option<Reachability>,
    /// When the next connection may be opened, after an attempt has failed.
    pub reconnect_at: Instant,
    /// When it last went from no commands in flight to one; none while none is in flight.
    pub busy_since: Option<Instant>,
    /// When a request was last sent to it.
    pub used_at: Instant,
    /// When the last result came.
    pub answered_at: Instant,
}

/// Whether an endpoint could be reached, and since when that has been so.
#[derive(Debug, Clone, Copy)]
pub struct Reachability {
    /// Whether the last attempt succeeded.
    pub reachable: bool,
    /// When `reachable` last changed.
    pub since: Instant,
    /// Whether there was an attempt since the last heartbeat.
    pub unreported: bool,
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
            min_service_micros: u64::MAX,
            queue: FairQueue::default(),
            observed: None,
            history: PositionHistory::default(),
            reachability: None,
            reconnect_at: Instant::ZERO,
            busy_since: None,
            used_at: Instant::ZERO,
            answered_at: Instant::ZERO,
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_len(&self) -> u32 {
        u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of commands in flight and queued requests.
    pub fn load(&self) -> usize {
        self.in_flight as usize + self.queue.len()
    }

    /// Returns the expected wait of a request with this many requests ahead of it in the queue.
    pub fn expected_wait(&self, requests_ahead: usize) -> Duration {
        let in_parallel = u64::from(self.slots.min(self.connections).max(1));
        let rounds = requests_ahead as u64 / in_parallel;
        Duration::from_micros(self.service_micros.saturating_mul(rounds))
    }

    /// Whether commands take much longer than at best, which means that they wait for each other inside the
    /// endpoint.
    pub fn is_congested(&self) -> bool {
        self.service_micros.saturating_mul(1_000) > self.min_service_micros.saturating_mul(CONGESTED_MILLI)
    }

    /// Whether commands are in flight and no answer has come for a while.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let Some(busy_since) = self.busy_since else {
            return false;
        };
        let silent_since = busy_since.max(self.answered_at);
        now.saturating_since(silent_since) >= Duration::from_millis(STALL_TIMEOUT_MS)
    }

    pub(super) fn record_service_time(&mut self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.service_micros = match self.service_micros {
            0 => micros,
            mean => mean - mean / SERVICE_TIME_WINDOW + micros / SERVICE_TIME_WINDOW,
        };
        let decayed =
            self.min_service_micros.saturating_add(self.min_service_micros / MIN_SERVICE_TIME_WINDOW);
        self.min_service_micros = decayed.min(self.service_micros);
    }

    pub(super) fn command_ended(&mut self, owner: Owner, flow: Option<FlowId>) {
        if let Some(flow) = flow {
            self.queue.command_ended(flow);
        }
        self.in_flight -= 1;
        self.probing &= owner != Owner::Pool;
        if self.in_flight == 0 {
            self.busy_since = None;
        }
    }

    /// Whether the last attempt to reach it succeeded; true before the first.
    pub fn is_reachable(&self) -> bool {
        self.reachability.is_none_or(|reachability| reachability.reachable)
    }

    /// Records the result of an attempt to reach it.
    pub fn record_reachability(&mut self, now: Instant, reachable: bool) {
        let since = match self.reachability {
            Some(reachability) if reachability.reachable == reachable => reachability.since,
            _ => now,
        };
        self.reachability = Some(Reachability { reachable, since, unreported: true });
    }

    /// Records the state that came with an answer.
    pub fn record_state(&mut self, now: Instant, state: EndpointState) {
        self.history.record(now, &state);
        self.observed = Some(ObservedState { state, at: now });
    }
}
