//! The connections to endpoints, and what is known of each endpoint.

mod connection;
mod endpoint;
pub mod history;

pub use {
    connection::{Connection, ConnectionState, Finished, Owner},
    endpoint::{Contact, Endpoint, Observed, STALL_TIMEOUT_MS},
};

use {
    super::{
        Effect,
        fairness::LaneId,
        permits::{self, Permits},
    },
    crate::endpoint_command::{CommandId, ConnectionId, EndpointCommand},
    cumincart_protocol::{
        catalogue::EndpointEntry,
        name::{EndpointName, ServiceName},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// Time between two attempts to connect to an endpoint that can't be reached, in milliseconds.
pub const REOPEN_INTERVAL_MS: u64 = 200;

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
        work: EndpointCommand,
        out: &mut Vec<Effect>,
    ) -> Option<CommandId> {
        let connection = self.connections.get_mut(&id)?;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        match connection.state {
            ConnectionState::Idle => endpoint.idle.retain(|idle| *idle != id),
            ConnectionState::Pinned => {}
            _ => return None,
        }
        self.last_work += 1;
        let work_id = CommandId(self.last_work);
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
    pub fn done(&mut self, now: Instant, id: ConnectionId, work: CommandId) -> Option<Finished> {
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
