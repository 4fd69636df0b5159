//! The running fleet.

use {
    crate::deployment::Deployment,
    cumincart_config::ConfigError,
    cumincart_control::daemon::{
        self as control, ControlError, ControlHandle, ControlOptions, MemberAddress,
    },
    cumincart_core::{
        control::{ControlRefusal, Status},
        entry::{Core, is_ready, permits},
    },
    cumincart_entry::daemon::{self as entry, EntryError, EntryHandle, EntryOptions},
    cumincart_protocol::{
        change::{Action, Change, ChangeId, Outcome},
        lists::Lists,
        name::{DomainName, InstanceName, ServiceName},
        number::{ListsRevision, Revision},
    },
    cumincart_runtime::{
        endpoint::EndpointLogin,
        link::{LinkError, handshake::FleetSecret},
    },
    cumincart_standin::{
        group::{Group, GroupError},
        settings::GroupSettings,
    },
    slog::{Logger, o},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        sync::Arc,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
    uuid::Uuid,
};

/// The token that opens the operators' interface of a fleet.
pub const OPERATOR_TOKEN: &str = "operator-token-of-this-fleet-only";

/// The pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a condition is waited for before the wait counts as failed.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// How large a fleet is and where its log lines go.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// How many control instances; they stand in the failure domains in turn.
    pub controls: usize,
    /// How many entry instances in each failure domain.
    pub entries_per_domain: usize,
    /// Whether stand-in databases keep what they received and ran.
    pub recording: bool,
    /// Where log lines go.
    pub logger: Logger,
}

impl FleetOptions {
    /// Three control instances and two entry instances in each failure domain.
    pub fn new(logger: Logger) -> Self {
        Self { controls: 3, entries_per_domain: 2, recording: true, logger }
    }
}

/// Why a fleet could not start or do what it was asked.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FleetError {
    /// A control instance could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] ControlError),
    /// An entry instance could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// A stand-in group could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Group(#[from] GroupError),
    /// The deployment's lists are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Lists(#[from] ConfigError),
    /// The fleet secret is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] LinkError),
    /// The operating system refused.
    #[error("the fleet can't start: {0}")]
    #[diagnostic(code(cumincart::fleet::io), help("check the free ports and the temporary folder"))]
    Io(#[from] io::Error),
    /// A condition did not come about.
    #[error("this did not come about within {} s: {what}", CONDITION_TIMEOUT.as_secs())]
    #[diagnostic(code(cumincart::fleet::condition), help("the log lines say what the instances saw"))]
    Condition {
        /// The condition.
        what: String,
    },
}

/// A control instance and what it takes to start it again.
#[derive(Debug)]
pub struct ControlSlot {
    /// What it is started with.
    pub options: ControlOptions,
    /// The running instance; none while it is down.
    pub handle: Option<ControlHandle>,
}

/// An entry instance and what it takes to start it again.
#[derive(Debug)]
pub struct EntrySlot {
    /// What it is started with; after the first start its ports are fixed.
    pub options: EntryOptions,
    /// The running instance; none while it is down.
    pub handle: Option<EntryHandle>,
}

impl EntrySlot {
    /// The base URL for callers.
    pub fn url(&self) -> String {
        format!("http://{}", self.options.http_address)
    }
}

/// A running fleet. Dropping it ends it.
#[derive(Debug)]
pub struct Fleet {
    /// What it was started from.
    pub deployment: Deployment,
    /// The control instances.
    pub controls: Vec<ControlSlot>,
    /// The entry instances, in the order of their failure domains.
    pub entries: Vec<EntrySlot>,
    /// The stand-in groups, one for each service.
    pub groups: Vec<StandinGroup>,
    _folder: TempDir,
}

/// A stand-in group and the service that it stands for.
#[derive(Debug)]
pub struct StandinGroup {
    /// The service.
    pub service: ServiceName,
    /// The group.
    pub group: Group,
}

impl Fleet {
    /// Starts control instances, stand-in groups and entry instances, applies the deployment's lists and waits until
    /// they are in force and every group takes writes.
    pub async fn spawn(deployment: Deployment, options: FleetOptions) -> Result<Self, FleetError> {
        let folder = TempDir::new()?;
        let secret = FleetSecret::new(Uuid::now_v7().to_string().as_bytes())?;
        let controls = spawn_controls(&deployment, &options, &secret, folder.path().to_owned()).await?;
        let groups = spawn_groups(&deployment, &options, &controls).await?;
        let entries = spawn_entries(&deployment, &options, &secret, &controls).await?;
        let fleet = Self { deployment, controls, entries, groups, _folder: folder };
        let lists = fleet.deployment.lists()?;
        fleet.apply(lists).await?;
        fleet.wait_until_serving().await?;
        Ok(fleet)
    }

    /// The base URLs of the running control instances.
    pub fn control_urls(&self) -> Vec<Arc<str>> {
        control_urls(&self.controls)
    }

    /// The stand-in group of a service.
    ///
    /// # Panics
    ///
    /// When the deployment has no such service.
    pub fn group(&self, service: &str) -> &Group {
        let found = self.groups.iter().find(|group| group.service.as_str() == service);
        &found.expect("the deployment has this service").group
    }

    /// Replaces both lists and waits for the outcome.
    pub async fn apply(&self, lists: Lists) -> Result<Outcome, FleetError> {
        let base = self.status().await?.catalogue.lists_revision;
        self.change(Action::Apply { base, lists: Arc::new(lists) }).await
    }

    /// Takes a failure domain out of service or brings it back.
    pub async fn set_domain(&self, domain: &DomainName, out: bool) -> Result<Outcome, FleetError> {
        self.change(Action::SetDomain { domain: domain.clone(), out }).await
    }

    /// Makes a change through whichever control instance leads; resends under the same id.
    pub async fn change(&self, action: Action) -> Result<Outcome, FleetError> {
        let change = Change { id: ChangeId(Uuid::now_v7().to_string().into()), action };
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while Instant::now() < deadline {
            for control in self.running_controls() {
                match control.engine.change(change.clone()).await {
                    Ok(outcome) => return Ok(outcome),
                    Err(
                        ControlRefusal::NotLeader(_) | ControlRefusal::Unknown | ControlRefusal::NoQuorum,
                    ) => {}
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::Condition { what: "a control instance takes the change".to_owned() })
    }

    /// The state as a quorum of control instances confirms it.
    pub async fn status(&self) -> Result<Box<Status>, FleetError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while Instant::now() < deadline {
            for control in self.running_controls() {
                if let Ok(status) = control.engine.status().await {
                    return Ok(status);
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::Condition { what: "a quorum of control instances answers".to_owned() })
    }

    /// Waits until a revision is in force at every running entry instance.
    pub async fn wait_in_force(&self, revision: Revision) -> Result<(), FleetError> {
        for entry in &self.entries {
            let Some(handle) = &entry.handle else { continue };
            let what = format!("revision {revision} is in force at {}", entry.options.instance);
            wait_for(what, async || {
                let seen = handle.engine.inspect(|core, _| core.freshness.revision()).await;
                seen.is_some_and(|seen| seen >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every group has a primary that takes writes and every running entry instance is ready and knows it.
    pub async fn wait_until_serving(&self) -> Result<(), FleetError> {
        let services = self.groups.len();
        wait_for("every group takes writes".to_owned(), async || {
            let Ok(status) = self.status().await else { return false };
            let writable = status.catalogue.groups.iter().filter(|group| group.writable).count();
            writable == services && status.catalogue.lists_revision > ListsRevision::default()
        })
        .await?;
        let revision = self.status().await?.catalogue.revision;
        self.wait_in_force(revision).await?;
        for entry in &self.entries {
            let Some(handle) = &entry.handle else { continue };
            let what = format!("{} is ready", entry.options.instance);
            wait_for(what, async || handle.engine.inspect(can_serve).await == Some(true)).await?;
        }
        Ok(())
    }

    /// Ends an entry instance as a killed process would.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(handle) = self.entries[index].handle.take() {
            handle.kill();
        }
    }

    /// Stops an entry instance as planned.
    pub async fn stop_entry(&mut self, index: usize) {
        if let Some(handle) = self.entries[index].handle.take() {
            handle.stop().await;
        }
    }

    /// Starts an entry instance again, as a new run on the same addresses.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), FleetError> {
        let options = self.entries[index].options.clone();
        self.entries[index].handle = Some(retry_bind(async || entry::spawn(options.clone()).await).await?);
        Ok(())
    }

    /// Ends a control instance as a killed process would.
    pub async fn kill_control(&mut self, index: usize) {
        if let Some(handle) = self.controls[index].handle.take() {
            handle.kill().await;
        }
    }

    /// Starts a control instance again on its data folder.
    pub async fn start_control(&mut self, index: usize) -> Result<(), FleetError> {
        let options = self.controls[index].options.clone();
        self.controls[index].handle = Some(retry_bind(async || control::spawn(options.clone()).await).await?);
        Ok(())
    }

    fn running_controls(&self) -> impl Iterator<Item = &ControlHandle> {
        self.controls.iter().filter_map(|control| control.handle.as_ref())
    }
}

/// Whether an entry instance is ready and may open connections to every endpoint.
fn can_serve(core: &Core, now: cumincart_protocol::time::Instant) -> bool {
    let mut endpoints = core.freshness.catalogue.groups.iter().flat_map(|group| &group.endpoints);
    is_ready(core, now) && endpoints.all(|endpoint| permits::allowed(&core.permits, now, &endpoint.name) > 0)
}

/// Waits until a condition holds.
pub async fn wait_for(what: String, holds: impl AsyncFn() -> bool) -> Result<(), FleetError> {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while Instant::now() < deadline {
        if holds().await {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(FleetError::Condition { what })
}

/// Tries again while the addresses of an earlier run are still being closed.
async fn retry_bind<T, E>(start: impl AsyncFn() -> Result<T, E>) -> Result<T, E> {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        match start().await {
            Err(_) if Instant::now() < deadline => sleep(POLL_INTERVAL).await,
            result => return result,
        }
    }
}

async fn spawn_controls(
    deployment: &Deployment,
    options: &FleetOptions,
    secret: &FleetSecret,
    folder: PathBuf,
) -> Result<Vec<ControlSlot>, FleetError> {
    let peers = free_addresses(options.controls)?;
    let names: Vec<_> = (1..=options.controls).map(|number| format!("control-{number}")).collect();
    let members: Vec<_> = names
        .iter()
        .zip(&peers)
        .map(|(name, peer)| MemberAddress {
            instance: name.as_str().into(),
            peer_address: peer.to_string().into(),
        })
        .collect();
    let mut controls = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let mut options = ControlOptions {
            instance: name.as_str().into(),
            domain: deployment.domains[index % deployment.domains.len()].clone(),
            http_address: loopback(0),
            peer_address: peers[index],
            data_folder: folder.join(name),
            members: members.clone(),
            fleet_secret: secret.clone(),
            operator_token: OPERATOR_TOKEN.into(),
            endpoint_login: login(),
            logger: options.logger.new(o!("instance" => name.clone())),
        };
        let handle = control::spawn(options.clone()).await?;
        options.http_address = handle.http_address;
        controls.push(ControlSlot { options, handle: Some(handle) });
    }
    Ok(controls)
}

async fn spawn_groups(
    deployment: &Deployment,
    options: &FleetOptions,
    controls: &[ControlSlot],
) -> Result<Vec<StandinGroup>, FleetError> {
    let mut groups = Vec::new();
    for (index, service) in deployment.services()?.into_iter().enumerate() {
        // Primaries start in different failure domains.
        let mut domains = deployment.domains.clone();
        domains.rotate_left(index % deployment.domains.len());
        let settings = GroupSettings {
            slots: deployment.slots,
            connection_limit: deployment.connection_limit,
            lag: deployment.lag,
            statement_time: deployment.statement_time,
            connect_time: deployment.connect_time,
            recording: options.recording,
            ..GroupSettings::new(service.clone(), &domains)
        };
        let group = Group::spawn(settings).await?;
        for statement in statements(deployment.tables) {
            group.execute_on_primary(&statement, Vec::new())?;
        }
        group.announce_to(&control_urls(controls));
        groups.push(StandinGroup { service, group });
    }
    Ok(groups)
}

async fn spawn_entries(
    deployment: &Deployment,
    options: &FleetOptions,
    secret: &FleetSecret,
    controls: &[ControlSlot],
) -> Result<Vec<EntrySlot>, FleetError> {
    let mut entries = Vec::new();
    for domain in &deployment.domains {
        for number in 1..=options.entries_per_domain {
            let instance: InstanceName = format!("entry-{domain}-{number}").into();
            let mut options = EntryOptions {
                logger: options.logger.new(o!("instance" => instance.to_string())),
                instance,
                domain: domain.clone(),
                http_address: loopback(0),
                peer_address: loopback(0),
                control_addresses: controls
                    .iter()
                    .map(|control| control.options.peer_address.to_string().into())
                    .collect(),
                fleet_secret: secret.clone(),
                operator_token: Some(OPERATOR_TOKEN.into()),
                endpoint_login: login(),
            };
            let handle = entry::spawn(options.clone()).await?;
            options.http_address = handle.http_address;
            options.peer_address = handle.peer_address;
            entries.push(EntrySlot { options, handle: Some(handle) });
        }
    }
    Ok(entries)
}

fn control_urls(controls: &[ControlSlot]) -> Vec<Arc<str>> {
    controls.iter().map(|control| format!("http://{}", control.options.http_address).into()).collect()
}

/// The statements of a script; comments end with their line and no statement holds a semicolon.
fn statements(script: &str) -> Vec<String> {
    let lines: Vec<_> = script.lines().filter(|line| !line.trim_start().starts_with("--")).collect();
    let text = lines.join("\n");
    text.split(';').map(str::trim).filter(|one| !one.is_empty()).map(str::to_owned).collect()
}

fn login() -> EndpointLogin {
    EndpointLogin {
        user: "cumincart".into(),
        password: None,
        database: "cumincart".into(),
        connect_timeout: Duration::from_secs(1),
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Free ports of loopback, all different.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind(loopback(0))).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
