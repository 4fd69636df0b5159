//! The connections to endpoints, and what is known of each endpoint.

pub mod history;

use {
    self::history::PositionHistory,
    super::{
        Effect, Ticket,
        fairness::{FairQueue, LaneId},
        permits::{self, Permits},
    },
    crate::work::{ConnectionId, EndpointState, Work, WorkId},
    cumincart_protocol::{
        catalogue::EndpointEntry,
        name::{EndpointName, ServiceName},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// Time between two attempts to connect to an endpoint that can't be reached, in milliseconds.
pub const REOPEN_INTERVAL_MS: u64 = 200;

/// Over how many works the least mean service time doubles unless it is confirmed.
const LEAST_TIME_WINDOW: u64 = 2_048;

/// The mean service time at which an endpoint counts as congested, in thousandths of the least mean.
const CONGESTED_MILLI: u64 = 1_400;

/// Over how many works an endpoint's mean service time is taken.
const SERVICE_TIME_WINDOW: u64 = 16;

/// How long an endpoint with works under way may stay without an answer before it counts as stalled, in milliseconds.
pub const STALL_MS: u64 = 100;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is being opened.
    Opening,
    /// It can take a work.
    Idle,
    /// A work is on it, for a request or for the pool itself.
    Busy {
        /// The work.
        work: WorkId,
        /// What waits for it.
        owner: Owner,
        /// When the work was sent.
        since: Instant,
    },
    /// A transaction holds it and runs nothing now.
    Pinned,
    /// It is to be closed; its place is not free before it is.
    Closing,
}

/// What waits for a work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// A request that is not part of an open transaction.
    Request(Ticket),
    /// The open transaction with this number.
    Transaction(u64),
    /// The pool itself, for the endpoint's state.
    Pool,
}

/// A work that ended.
#[derive(Debug)]
pub struct Finished {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// What waited for it.
    pub owner: Owner,
}

/// One connection.
#[derive(Debug)]
pub struct Connection {
    /// Its id.
    pub id: ConnectionId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// What it is doing.
    pub state: ConnectionState,
    /// The lane of the endpoint's queue that the work on it came from.
    pub lane: Option<LaneId>,
}

impl Keyed for Connection {
    type Key = ConnectionId;

    fn key(&self) -> &ConnectionId {
        &self.id
    }
}

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
    fn new(service: &ServiceName, entry: &EndpointEntry) -> Self {
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
        now.saturating_since(quiet_since) >= Duration::from_millis(STALL_MS)
    }

    fn note_service_time(&mut self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.service_micros = match self.service_micros {
            0 => micros,
            mean => mean - mean / SERVICE_TIME_WINDOW + micros / SERVICE_TIME_WINDOW,
        };
        let forgotten =
            self.least_service_micros.saturating_add(self.least_service_micros / LEAST_TIME_WINDOW);
        self.least_service_micros = forgotten.min(self.service_micros);
    }

    fn work_ended(&mut self, owner: Owner, lane: Option<LaneId>) {
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

/// All connections and endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    /// The connections.
    pub connections: SortedVec<Connection>,
    /// The endpoints.
    pub endpoints: SortedVec<Endpoint>,
    last_connection: u64,
    last_work: u64,
}

impl Pool {
    /// What is known of an endpoint.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Takes an endpoint in, or its new address and slots.
    pub fn learn(&mut self, service: &ServiceName, entry: &EndpointEntry) {
        let endpoint = self.endpoints.get_or_insert_with(&entry.name, || Endpoint::new(service, entry));
        if endpoint.service != *service {
            endpoint.service = service.clone();
        }
        endpoint.slots = entry.slots;
        if endpoint.address != entry.address {
            endpoint.address = entry.address.clone();
        }
    }

    /// Opens a connection where the permits leave room.
    pub fn open(
        &mut self,
        now: Instant,
        permits: &Permits,
        name: &EndpointName,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return false;
        };
        if now < endpoint.open_again_at || endpoint.connections >= permits::allowed(permits, now, name) {
            return false;
        }
        self.last_connection += 1;
        let id = ConnectionId(self.last_connection);
        endpoint.connections += 1;
        endpoint.opening += 1;
        self.connections.insert(Connection {
            id,
            endpoint: name.clone(),
            state: ConnectionState::Opening,
            lane: None,
        });
        out.push(Effect::Open { connection: id, endpoint: name.clone(), address: endpoint.address.clone() });
        true
    }

    /// A connection is open; gives its endpoint.
    pub fn opened(&mut self, now: Instant, id: ConnectionId) -> Option<EndpointName> {
        let connection = self.connections.get_mut(&id)?;
        if connection.state != ConnectionState::Opening {
            return None;
        }
        connection.state = ConnectionState::Idle;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.opening -= 1;
        endpoint.idle.push(id);
        endpoint.note_contact(now, true);
        Some(endpoint.name.clone())
    }

    /// A connection is gone; gives what it was.
    pub fn closed(&mut self, now: Instant, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.connections -= 1;
        match connection.state {
            ConnectionState::Opening => {
                endpoint.opening -= 1;
                endpoint.note_contact(now, false);
                endpoint.open_again_at = now + Duration::from_millis(REOPEN_INTERVAL_MS);
            }
            ConnectionState::Idle => endpoint.idle.retain(|idle| *idle != id),
            ConnectionState::Busy { owner, .. } => endpoint.work_ended(owner, connection.lane.take()),
            ConnectionState::Closing => endpoint.closing -= 1,
            ConnectionState::Pinned => {}
        }
        Some(connection)
    }

    /// Sends a work on an idle or pinned connection.
    pub fn execute(
        &mut self,
        now: Instant,
        id: ConnectionId,
        owner: Owner,
        work: Work,
        out: &mut Vec<Effect>,
    ) -> Option<WorkId> {
        let connection = self.connections.get_mut(&id)?;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        match connection.state {
            ConnectionState::Idle => endpoint.idle.retain(|idle| *idle != id),
            ConnectionState::Pinned => {}
            _ => return None,
        }
        self.last_work += 1;
        let work_id = WorkId(self.last_work);
        connection.state = ConnectionState::Busy { work: work_id, owner, since: now };
        endpoint.in_flight += 1;
        endpoint.oldest_work_at.get_or_insert(now);
        endpoint.probing |= owner == Owner::Pool;
        if owner != Owner::Pool {
            endpoint.used_at = now;
        }
        out.push(Effect::Execute(id, work_id, work));
        Some(work_id)
    }

    /// Notes the lane that the work on a connection came from.
    pub fn note_lane(&mut self, id: ConnectionId, lane: LaneId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.lane = Some(lane);
        }
    }

    /// A work ended: gives what waited for it. An answer to anything but the work on the connection is
    /// dropped. The connection is pinned afterwards; give it back with [`Pool::release`] when it is clean.
    pub fn done(&mut self, now: Instant, id: ConnectionId, work: WorkId) -> Option<Finished> {
        let connection = self.connections.get_mut(&id)?;
        let ConnectionState::Busy { work: expected, owner, since } = connection.state else {
            return None;
        };
        if expected != work {
            return None;
        }
        connection.state = ConnectionState::Pinned;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.work_ended(owner, connection.lane.take());
        endpoint.answered_at = now;
        if owner != Owner::Pool {
            endpoint.note_service_time(now.saturating_since(since));
        }
        Some(Finished { endpoint: endpoint.name.clone(), owner })
    }

    /// Gives a clean connection back.
    pub fn release(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state != ConnectionState::Pinned {
            return;
        }
        connection.state = ConnectionState::Idle;
        if let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) {
            endpoint.idle.push(id);
        }
    }

    /// Closes a connection; its place is free once it is gone.
    pub fn close(&mut self, id: ConnectionId, out: &mut Vec<Effect>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) else {
            return;
        };
        match connection.state {
            ConnectionState::Closing => return,
            ConnectionState::Opening => endpoint.opening -= 1,
            ConnectionState::Idle => endpoint.idle.retain(|idle| *idle != id),
            ConnectionState::Busy { owner, .. } => endpoint.work_ended(owner, connection.lane.take()),
            ConnectionState::Pinned => {}
        }
        connection.state = ConnectionState::Closing;
        endpoint.closing += 1;
        out.push(Effect::Close(id));
    }
}
