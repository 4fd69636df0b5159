//! One connection, and what waits for the work on it.

use {
    crate::{
        endpoint_command::{CommandId, ConnectionId},
        entry::{Ticket, fairness::LaneId},
    },
    cumincart_protocol::{name::EndpointName, sorted::Keyed, time::Instant},
};

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
        work: CommandId,
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
