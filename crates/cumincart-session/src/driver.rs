//! How an endpoint is spoken to: a driver opens connections, and each connection carries one exchange at a time.

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

/// Which endpoint a connection goes to, and for whom.
#[derive(Debug, Clone)]
pub struct Destination {
    /// The service that the endpoint must serve.
    pub service: ServiceName,
    /// The endpoint that must answer; addresses are used again by others.
    pub endpoint: EndpointName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// The organisation that the endpoint is told.
    pub organisation: OrganisationName,
}

/// Why a connection could not be opened; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// The endpoint refused it.
    Refused(EndpointErrorKind),
    /// The endpoint was not reached.
    Unreachable,
}

impl OpenFailure {
    /// Whether the endpoint itself was reached. One that is not the one named has taken its address.
    pub fn is_endpoint_reached(self) -> bool {
        match self {
            Self::Refused(kind) => kind != EndpointErrorKind::Misrouted,
            Self::Unreachable => false,
        }
    }
}

/// What came back of an exchange: one reply for each command.
pub type ExchangeResult = Result<Vec<Reply>, LinkFailure>;

/// Commands that are sent together, and where their replies go.
#[derive(Debug)]
pub struct Exchange {
    /// The commands, in order.
    pub commands: Vec<Command>,
    /// Takes the replies.
    pub replies: oneshot::Sender<ExchangeResult>,
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// Takes exchanges, one at a time.
    pub exchanges: mpsc::UnboundedSender<Exchange>,
}

impl Connection {
    /// Whether the connection is known to be lost.
    pub fn is_lost(&self) -> bool {
        self.exchanges.is_closed()
    }
}

/// Opens a connection.
pub type OpenFn = dyn Fn(Destination) -> BoxFuture<Result<Connection, OpenFailure>> + Send + Sync;

/// A way to speak to endpoints.
#[derive(Clone)]
pub struct Driver {
    /// Opens a connection.
    pub open: Arc<OpenFn>,
    /// Whether an endpoint that has lost the lead refuses writes and plain transactions from that moment on.
    pub fences_terms: bool,
}

impl fmt::Debug for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Driver(..)")
    }
}
