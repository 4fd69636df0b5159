//! The connections to endpoints, and the observed state of each endpoint.

mod connection;
mod endpoint;
pub mod history;

pub use {
    connection::{Connection, ConnectionState, EndedCommand, Owner},
    endpoint::{Endpoint, ObservedState, Reachability, STALL_TIMEOUT_MS},
};

use {
    super::{
        Effect,
        fairness::FlowId,
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

/// Interval of attempts to connect to an endpoint that can't be reached, in milliseconds.
pub const RECONNECT_INTERVAL_MS: u64 = 200;

/// All connections and endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    /// The connections.
    pub connections: SortedVec<Connection>,
    /// The endpoints.
    pub endpoints: SortedVec<Endpoint>,
    last_connection: u64,
    last_command: u64,
}

impl Pool {
    /// Returns the state of an endpoint.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Adds an endpoint, or updates its service, address and slots.
    pub fn update_endpoint(&mut self, service: &ServiceName, entry: &EndpointEntry) {
        let endpoint = self.endpoints.get_or_insert_with(&entry.name, || Endpoint::new(service, entry));
        if endpoint.service != *service {
            endpoint.service = service.clone();
        }
        endpoint.slots = entry.slots;
        if endpoint.address != entry.address {
            endpoint.address = entry.address.clone();
        }
    }

    /// Opens a connection if the permits allow one more. Returns whether it was opened.
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
        if now < endpoint.reconnect_at || endpoint.connections >= permits::allowed(permits, now, name) {
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
            flow: None,
        });
        out.push(Effect::Open { connection: id, endpoint: name.clone(), address: endpoint.address.clone() });
        true
    }

    /// Marks a connection as open and idle. Returns its endpoint.
    pub fn connection_opened(&mut self, now: Instant, id: ConnectionId) -> Option<EndpointName> {
        let connection = self.connections.get_mut(&id)?;
        if connection.state != ConnectionState::Opening {
            return None;
        }
        connection.state = ConnectionState::Idle;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.opening -= 1;
        endpoint.idle.push(id);
        endpoint.record_reachability(now, true);
        Some(endpoint.name.clone())
    }

    /// Removes a closed connection and returns it with its last state.
    pub fn connection_closed(&mut self, now: Instant, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.connections -= 1;
        match connection.state {
            ConnectionState::Opening => {
                endpoint.opening -= 1;
                endpoint.record_reachability(now, false);
                endpoint.reconnect_at = now + Duration::from_millis(RECONNECT_INTERVAL_MS);
            }
            ConnectionState::Idle => endpoint.idle.retain(|idle| *idle != id),
            ConnectionState::Busy { owner, .. } => endpoint.command_ended(owner, connection.flow.take()),
            ConnectionState::Closing => endpoint.closing -= 1,
            ConnectionState::Pinned => {}
        }
        Some(connection)
    }

    /// Sends a command on an idle or pinned connection. Returns none if the connection is in another state.
    pub fn execute(
        &mut self,
        now: Instant,
        id: ConnectionId,
        owner: Owner,
        command: EndpointCommand,
        out: &mut Vec<Effect>,
    ) -> Option<CommandId> {
        let connection = self.connections.get_mut(&id)?;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        match connection.state {
            ConnectionState::Idle => endpoint.idle.retain(|idle| *idle != id),
            ConnectionState::Pinned => {}
            _ => return None,
        }
        self.last_command += 1;
        let command_id = CommandId(self.last_command);
        connection.state = ConnectionState::Busy { command_id, owner, since: now };
        endpoint.in_flight += 1;
        endpoint.busy_since.get_or_insert(now);
        endpoint.probing |= owner == Owner::Pool;
        if owner != Owner::Pool {
            endpoint.used_at = now;
        }
        out.push(Effect::Execute(id, command_id, command));
        Some(command_id)
    }

    /// Records the flow that the command on a connection came from.
    pub fn set_flow(&mut self, id: ConnectionId, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.flow = Some(flow);
        }
    }

    /// Marks the command on a connection as ended and returns its owner. A result for any other command is
    /// ignored. The connection is pinned afterwards; return it with [`Pool::release`] if it is clean.
    pub fn command_ended(
        &mut self,
        now: Instant,
        id: ConnectionId,
        command_id: CommandId,
    ) -> Option<EndedCommand> {
        let connection = self.connections.get_mut(&id)?;
        let ConnectionState::Busy { command_id: expected, owner, since } = connection.state else {
            return None;
        };
        if expected != command_id {
            return None;
        }
        connection.state = ConnectionState::Pinned;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.command_ended(owner, connection.flow.take());
        endpoint.answered_at = now;
        if owner != Owner::Pool {
            endpoint.record_service_time(now.saturating_since(since));
        }
        Some(EndedCommand { endpoint: endpoint.name.clone(), owner })
    }

    /// Makes a pinned connection idle. The connection must be clean.
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

    /// Closes a connection. It counts against the permits until it is gone.
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
            ConnectionState::Busy { owner, .. } => endpoint.command_ended(owner, connection.flow.take()),
            ConnectionState::Pinned => {}
        }
        connection.state = ConnectionState::Closing;
        endpoint.closing += 1;
        out.push(Effect::Close(id));
    }
}
