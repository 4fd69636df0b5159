//! Drivers, which implement the protocol of endpoints. A driver opens connections; each connection carries one exchange
//! at a time.

use {
    cumincart_core::interactive::{
        command::{Command, EndpointErrorKind, Reply},
        failure::LinkFailure,
    },
    cumincart_protocol::name::{EndpointName, OrganisationName, ServiceName},
    std::{fmt, future::Future, pin::Pin, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// A future that runs on any thread.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The endpoint to connect to, and the organisation to connect for.
#[derive(Debug, Clone)]
pub struct Destination {
    /// The service that the endpoint must serve.
    pub service: ServiceName,
    /// The endpoint that must answer; its address may meanwhile belong to another endpoint.
    pub endpoint: EndpointName,
    /// The endpoint's address, as `ip:port`.
    pub address: Arc<str>,
    /// The organisation, which is sent to the endpoint.
    pub organisation: OrganisationName,
}

/// Why a connection could not be opened; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// The endpoint refused the connection.
    Refused(EndpointErrorKind),
    /// The endpoint was not reached.
    Unreachable,
}

impl OpenFailure {
    /// Returns whether the endpoint itself was reached. On `Misrouted`, another endpoint answered at its address.
    pub fn is_endpoint_reached(self) -> bool {
        match self {
            Self::Refused(kind) => kind != EndpointErrorKind::Misrouted,
            Self::Unreachable => false,
        }
    }
}

/// The result of an exchange: one reply per command.
pub type ExchangeResult = Result<Vec<Reply>, LinkFailure>;

/// Commands that are sent together, with the channel for their replies.
#[derive(Debug)]
pub struct Exchange {
    /// The commands, in order.
    pub commands: Vec<Command>,
    /// Receives the replies.
    pub replies: oneshot::Sender<ExchangeResult>,
}

/// An open connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    /// The queue of exchanges, which the connection carries out one at a time.
    pub exchanges: mpsc::UnboundedSender<Exchange>,
}

impl Connection {
    /// Returns whether the connection is known to be lost.
    pub fn is_lost(&self) -> bool {
        self.exchanges.is_closed()
    }
}

/// Why no connection can be opened to a destination: the endpoints' protocol can't express it. This says nothing about
/// whether the endpoint is reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidDestination {
    /// What is wrong with it, without the name itself.
    pub reason: String,
}

/// Opens a connection.
pub type OpenFn = dyn Fn(Destination) -> BoxFuture<Result<Connection, OpenFailure>> + Send + Sync;

/// An implementation of the endpoints' protocol.
#[derive(Clone)]
pub struct Driver {
    /// Checks whether a connection can be opened to a destination, if its endpoint is reachable.
    pub check: fn(&Destination) -> Result<(), InvalidDestination>,
    /// Opens a connection.
    pub open: Arc<OpenFn>,
    /// Whether an endpoint refuses writes and read-write transactions once it has been demoted.
    pub fences_terms: bool,
    /// The maximum length of a statement that is sent in one message with the log point that it needs, in bytes: its
    /// identifier and its text. The log point of a longer one goes ahead, with the begin of a transaction for it alone.
    pub guarded_statement_max_bytes: usize,
}

impl fmt::Debug for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Driver(..)")
    }
}
