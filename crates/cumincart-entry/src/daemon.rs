//! One entry instance: its engine, its peer address and its HTTP address.

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

/// What an entry instance is started with.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Its name.
    pub instance: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address for callers and the platform; port 0 takes a free one.
    pub http_address: SocketAddr,
    /// The address for other entry instances; port 0 takes a free one.
    pub peer_address: SocketAddr,
    /// The control instances' peer addresses.
    pub control_addresses: Vec<Arc<str>>,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// The token that opens the dump; without one it stays closed.
    pub operator_token: Option<Arc<str>>,
    /// How to log in to endpoints.
    pub endpoint_login: EndpointLogin,
    /// Where log lines go.
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

/// A running entry instance.
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
    /// Stops as planned: cuts no request and returns when all is given back.
    pub async fn stop(self) {
        self.engine.stop();
        self.engine.stopped().await;
        self.http.stop().await;
    }

    /// Ends at once, as a killed process would: every task is dropped and nothing is given back.
    pub fn kill(self) {
        self.engine.kill();
        self.http.kill();
    }
}

/// Starts an entry instance as tasks of this process.
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
