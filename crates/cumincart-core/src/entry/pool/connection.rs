//! One connection and the owner of the command on it.

use {
    crate::{
        endpoint_command::{CommandId, ConnectionId},
        entry::{Ticket, fairness::FlowId},
    },
    cumincart_protocol::{name::EndpointName, sorted::Keyed, time::Instant},
};

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being opened.
    Opening,
    /// The connection can execute a command.
    Idle,
    /// A command runs on the connection, for a request, a transaction or the pool itself.
    Busy {
        /// The id of the command.
        command_id: CommandId,
        /// The owner of the command.
        owner: Owner,
        /// When the command was sent.
        since: Instant,
    },
    /// The connection is reserved, usually by a transaction, and executes nothing.
    Pinned,
    /// The connection is being closed. It counts against the permits until it is gone.
    Closing,
}

/// The owner of a command, which gets its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// A request that is not part of an open transaction.
    Request(Ticket),
    /// The open transaction with this number.
    Transaction(u64),
    /// The pool itself, which probes the endpoint's state.
    Pool,
}

/// A command that has ended.
#[derive(Debug)]
pub struct EndedCommand {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The owner of the command.
    pub owner: Owner,
}

/// One connection.
#[derive(Debug)]
pub struct Connection {
    /// The id.
    pub id: ConnectionId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The state of the connection.
    pub state: ConnectionState,
    /// The flow of the endpoint's queue that the command on it came from.
    pub flow: Option<FlowId>,
}

impl Keyed for Connection {
    type Key = ConnectionId;

    fn key(&self) -> &ConnectionId {
        &self.id
    }
}
