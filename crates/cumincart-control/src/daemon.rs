//! A control instance: its engine, its peer server and its HTTP server.

use {
    crate::{
        engine::{EndpointOperations, Engine, EngineOptions},
        http,
    },
    cumincart_core::control::Settings,
    cumincart_http::{
        operator::OperatorToken,
        server::{HttpError, HttpServer},
    },
    cumincart_protocol::{
        name::{DomainName, InstanceName},
        replication::{DiskId, Member, Members},
        sorted::SortedVec,
    },
    cumincart_runtime::{
        clock,
        data_folder::{DataFolder, DataFolderError},
        endpoint::EndpointLogin,
        link::{LinkError, handshake::FleetSecret, server::PeerServer},
    },
    slog::Logger,
    std::{net::SocketAddr, path::PathBuf, sync::Arc},
    tokio::sync::mpsc,
};

/// The options of a control instance.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// The instance's name.
    pub instance: InstanceName,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The HTTP address for operators and endpoints. Port 0 binds a free port.
    pub http_address: SocketAddr,
    /// The address for other instances. Its port must be fixed, because it is in the settings of the other members.
    pub peer_address: SocketAddr,
    /// The folder of the instance's durable state.
    pub data_folder: PathBuf,
    /// The control instances of a new group, including this one.
    pub members: Vec<MemberAddress>,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// The operator token.
    pub operator_token: Arc<str>,
    /// The credentials for promotions of endpoints.
    pub endpoint_login: EndpointLogin,
    /// The logger of the instance.
    pub logger: Logger,
}

/// A control instance of a new group.
#[derive(Debug, Clone)]
pub struct MemberAddress {
    /// The instance's name.
    pub instance: InstanceName,
    /// The instance's peer address, as `ip:port`.
    pub peer_address: Arc<str>,
}

/// Why a control instance could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ControlError {
    /// The peer address can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkError),
    /// The data folder can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    DataFolder(#[from] DataFolderError),
    /// The HTTP address can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Http(#[from] HttpError),
}

/// A handle to a running control instance.
#[derive(Debug)]
pub struct ControlHandle {
    /// The address for operators and endpoints, as bound.
    pub http_address: SocketAddr,
    /// The address for other instances, as bound.
    pub peer_address: SocketAddr,
    /// The engine.
    pub engine: Engine,
    http: HttpServer,
    _peer_server: PeerServer,
}

impl ControlHandle {
    /// Stops the instance. Everything that was acknowledged is synced to disk.
    pub async fn stop(self) {
        self.engine.stop();
        self.engine.ended().await;
        self.http.stop().await;
    }

    /// Ends the instance immediately, as a killed process would, and waits until the data folder is unlocked.
    pub async fn kill(self) {
        self.engine.kill();
        self.http.kill();
        self.engine.ended().await;
    }
}

/// Starts a control instance within the current process.
pub async fn spawn(options: ControlOptions) -> Result<ControlHandle, ControlError> {
    let (folder, disk, stored) = DataFolder::open(&options.data_folder)?;
    let (received_sender, received) = mpsc::unbounded_channel();
    let peer_address = options.peer_address.to_string();
    let peer_server = PeerServer::bind(
        &peer_address,
        options.instance.clone(),
        options.fleet_secret.clone(),
        received_sender,
    )
    .await?;
    let member = Member {
        instance: options.instance.clone(),
        disk,
        peer_address: peer_server.address.to_string().into(),
        domain: Some(options.domain.clone()),
    };
    let core_settings = Settings {
        first_members: first_members(&options.members),
        member,
        incarnation: clock::incarnation(),
    };
    let engine = Engine::spawn(
        EngineOptions {
            core_settings,
            fleet_secret: options.fleet_secret,
            seeds: SortedVec::new(),
            endpoints: EndpointOperations::postgresql(options.endpoint_login),
            usage: None,
            losses_borne: None,
            is_first_start_certain: false,
            logger: options.logger,
        },
        folder,
        stored,
        received,
    );
    let http =
        http::bind(options.http_address, engine.clone(), OperatorToken(Some(options.operator_token))).await?;
    Ok(ControlHandle {
        http_address: http.address,
        peer_address: peer_server.address,
        engine,
        http,
        _peer_server: peer_server,
    })
}

/// Returns the members of a new group. Their disk ids become known when all of them have voted for the first leader.
fn first_members(addresses: &[MemberAddress]) -> Members {
    let member = |address: &MemberAddress| Member {
        instance: address.instance.clone(),
        disk: DiskId::unbound(),
        peer_address: address.peer_address.clone(),
        domain: None,
    };
    Members { voters: addresses.iter().map(member).collect(), ..Members::default() }
}
