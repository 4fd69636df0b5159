//! An entry instance: its engine, its peer server and its HTTP server.

use {
    crate::{
        engine::{Engine, EngineOptions},
        http,
    },
    cumincart_core::entry::Settings,
    cumincart_http::{
        operator::OperatorToken,
        server::{HttpError, HttpServer},
    },
    cumincart_protocol::name::{DomainName, InstanceName},
    cumincart_runtime::{
        clock,
        endpoint::EndpointLogin,
        link::{LinkError, handshake::FleetSecret, server::PeerServer},
    },
    slog::Logger,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
};

/// The options of an entry instance.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The instance's name.
    pub instance: InstanceName,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The HTTP address for callers and the platform. Port 0 binds a free port.
    pub http_address: SocketAddr,
    /// The address for other entry instances. Port 0 binds a free port.
    pub peer_address: SocketAddr,
    /// The control instances' peer addresses.
    pub control_addresses: Vec<Arc<str>>,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// The operator token that the dump requires. Without one, every request for the dump is refused.
    pub operator_token: Option<Arc<str>>,
    /// The credentials for endpoints.
    pub endpoint_login: EndpointLogin,
    /// The logger of the instance.
    pub logger: Logger,
}

/// Why an entry instance could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum EntryError {
    /// The peer address can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkError),
    /// The HTTP address can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Http(#[from] HttpError),
}

/// A handle to a running entry instance.
#[derive(Debug)]
pub struct EntryHandle {
    /// The address for callers, as bound.
    pub http_address: SocketAddr,
    /// The address for other entry instances, as bound.
    pub peer_address: SocketAddr,
    /// The engine.
    pub engine: Engine,
    http: HttpServer,
    _peer_server: PeerServer,
}

impl EntryHandle {
    /// Performs a planned stop: completes the requests in progress and returns when all leases and quota are released.
    pub async fn stop(self) {
        self.engine.stop();
        self.engine.stopped().await;
        self.http.stop().await;
    }

    /// Ends the instance immediately, as a killed process would: drops every task and releases nothing.
    pub fn kill(self) {
        self.engine.kill();
        self.http.kill();
    }
}

/// Starts an entry instance as tasks of the current process.
pub async fn spawn(options: EntryOptions) -> Result<EntryHandle, EntryError> {
    let (received_sender, received) = mpsc::unbounded_channel();
    let peer_address = options.peer_address.to_string();
    let peer_server = PeerServer::bind(
        &peer_address,
        options.instance.clone(),
        options.fleet_secret.clone(),
        received_sender,
    )
    .await?;
    let core_settings = Settings {
        instance: options.instance.clone(),
        incarnation: clock::incarnation(),
        domain: options.domain,
        peer_address: peer_server.address.to_string().into(),
    };
    let engine = Engine::spawn(
        EngineOptions {
            core_settings,
            control_addresses: options.control_addresses,
            fleet_secret: options.fleet_secret,
            endpoint_login: options.endpoint_login,
            logger: options.logger,
        },
        received,
    );
    let http =
        http::bind(options.http_address, engine.clone(), OperatorToken(options.operator_token)).await?;
    Ok(EntryHandle {
        http_address: http.address,
        peer_address: peer_server.address,
        engine,
        http,
        _peer_server: peer_server,
    })
}
