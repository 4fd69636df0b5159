//! Starts and controls a fleet.

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

/// The token for the operator interface of a fleet.
pub const OPERATOR_TOKEN: &str = "operator-token-of-this-fleet-only";

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time after which waiting for a condition fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// The size of a fleet and its logger.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// The number of control instances, which are distributed over the failure domains in turn.
    pub controls: usize,
    /// The number of entry instances in each failure domain.
    pub entries_per_domain: usize,
    /// Whether stand-in databases record the statements that they receive and run.
    pub recording: bool,
    /// The logger of the instances.
    pub logger: Logger,
}

impl FleetOptions {
    /// Returns options with three control instances and two entry instances in each failure domain.
    pub fn new(logger: Logger) -> Self {
        Self { controls: 3, entries_per_domain: 2, recording: true, logger }
    }
}

/// An error when starting or controlling a fleet.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FleetError {
    /// A control instance failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] ControlError),
    /// An entry instance failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// A stand-in group failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Group(#[from] GroupError),
    /// The deployment's lists are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Lists(#[from] ConfigError),
    /// The fleet secret is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] LinkError),
    /// An I/O error of the operating system.
    #[error("cannot start the fleet: {0}")]
    #[diagnostic(code(cumincart::fleet::io), help("check the available ports and the temporary folder"))]
    Io(#[from] io::Error),
    /// A condition was not met in time.
    #[error("condition not met within {} s: {what}", CONDITION_TIMEOUT.as_secs())]
    #[diagnostic(code(cumincart::fleet::condition), help("check the log lines of the instances"))]
    Condition {
        /// The condition.
        what: String,
    },
}

/// A control instance and the options to restart it.
#[derive(Debug)]
pub struct ControlNode {
    /// The options to start it with.
    pub options: ControlOptions,
    /// The running instance; none while it is stopped.
    pub handle: Option<ControlHandle>,
}

/// An entry instance and the options to restart it.
#[derive(Debug)]
pub struct EntryNode {
    /// The options to start it with. They contain its fixed ports after the first start.
    pub options: EntryOptions,
    /// The running instance; none while it is stopped.
    pub handle: Option<EntryHandle>,
}

impl EntryNode {
    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.options.http_address)
    }
}

/// A running fleet. Dropping it stops the instances.
#[derive(Debug)]
pub struct Fleet {
    /// The deployment that it was started from.
    pub deployment: Deployment,
    /// The control instances.
    pub controls: Vec<ControlNode>,
    /// The entry instances, ordered by failure domain.
    pub entries: Vec<EntryNode>,
    /// The stand-in groups, one for each service.
    pub groups: Vec<StandinGroup>,
    _folder: TempDir,
}

/// A stand-in group and its service.
#[derive(Debug)]
pub struct StandinGroup {
    /// The service.
    pub service: ServiceName,
    /// The group.
    pub group: Group,
}

impl Fleet {
    /// Starts control instances, stand-in groups and entry instances, applies the deployment's lists and waits until
    /// they are in force and every group accepts writes.
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

    /// Returns the base URLs of all control instances.
    pub fn control_urls(&self) -> Vec<Arc<str>> {
        control_urls(&self.controls)
    }

    /// Returns the stand-in group of a service.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such service.
    pub fn group(&self, service: &str) -> &Group {
        let group = self.groups.iter().find(|group| group.service.as_str() == service);
        &group.expect("the deployment has this service").group
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

    /// Sends a change to the running control instances until one returns an outcome. Retries use the same
    /// change id.
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
        Err(FleetError::Condition { what: "a control instance accepts the change".to_owned() })
    }

    /// Returns the status that a quorum of control instances has confirmed.
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

    /// Waits until every running entry instance uses a revision or a later one.
    pub async fn wait_in_force(&self, revision: Revision) -> Result<(), FleetError> {
        for entry in &self.entries {
            let Some(handle) = &entry.handle else { continue };
            let what = format!("revision {revision} is in force at {}", entry.options.instance);
            wait_for(what, async || {
                let current = handle.engine.inspect(|core, _| core.freshness.revision()).await;
                current.is_some_and(|current| current >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every group has a writable primary and every running entry instance is ready and
    /// knows the primaries.
    pub async fn wait_until_serving(&self) -> Result<(), FleetError> {
        let services = self.groups.len();
        wait_for("every group accepts writes".to_owned(), async || {
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

    /// Terminates an entry instance without a planned stop, like a killed process.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(handle) = self.entries[index].handle.take() {
            handle.kill();
        }
    }

    /// Performs a planned stop of an entry instance.
    pub async fn stop_entry(&mut self, index: usize) {
        if let Some(handle) = self.entries[index].handle.take() {
            handle.stop().await;
        }
    }

    /// Restarts an entry instance as a new incarnation on the same addresses.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), FleetError> {
        let options = self.entries[index].options.clone();
        self.entries[index].handle = Some(retry_bind(async || entry::spawn(options.clone()).await).await?);
        Ok(())
    }

    /// Terminates a control instance like a killed process.
    pub async fn kill_control(&mut self, index: usize) {
        if let Some(handle) = self.controls[index].handle.take() {
            handle.kill().await;
        }
    }

    /// Restarts a control instance on its data folder.
    pub async fn start_control(&mut self, index: usize) -> Result<(), FleetError> {
        let options = self.controls[index].options.clone();
        self.controls[index].handle = Some(retry_bind(async || control::spawn(options.clone()).await).await?);
        Ok(())
    }

    fn running_controls(&self) -> impl Iterator<Item = &ControlHandle> {
        self.controls.iter().filter_map(|control| control.handle.as_ref())
    }
}

/// Returns whether an entry instance is ready and has permits for connections to every endpoint.
fn can_serve(core: &Core, now: cumincart_protocol::time::Instant) -> bool {
    let mut endpoints = core.freshness.catalogue.groups.iter().flat_map(|group| &group.endpoints);
    is_ready(core, now) && endpoints.all(|endpoint| permits::allowed(&core.permits, now, &endpoint.name) > 0)
}

/// Waits until a condition holds.
pub async fn wait_for(what: String, condition: impl AsyncFn() -> bool) -> Result<(), FleetError> {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while Instant::now() < deadline {
        if condition().await {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(FleetError::Condition { what })
}

/// The second byte of the loopback addresses that fleets choose.
const OWN_LOOPBACK: u8 = 10;

/// Retries a start, since the previous incarnation may not have released its addresses yet.
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
) -> Result<Vec<ControlNode>, FleetError> {
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
        controls.push(ControlNode { options, handle: Some(handle) });
    }
    Ok(controls)
}

async fn spawn_groups(
    deployment: &Deployment,
    options: &FleetOptions,
    controls: &[ControlNode],
) -> Result<Vec<StandinGroup>, FleetError> {
    let mut groups = Vec::new();
    for (index, service) in deployment.services()?.into_iter().enumerate() {
        // The initial primaries are in different failure domains.
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
        for statement in split_statements(deployment.tables) {
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
    controls: &[ControlNode],
) -> Result<Vec<EntryNode>, FleetError> {
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
            entries.push(EntryNode { options, handle: Some(handle) });
        }
    }
    Ok(entries)
}

fn control_urls(controls: &[ControlNode]) -> Vec<Arc<str>> {
    controls.iter().map(|control| format!("http://{}", control.options.http_address).into()).collect()
}

/// Splits a script into statements. Comments must be on lines of their own, and semicolons may only end statements.
fn split_statements(script: &str) -> Vec<String> {
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

/// Returns loopback addresses with distinct free ports. They are bound again later, so they are at a loopback address of
/// their own where the system has more than one: a connection of another process can't take a port of it meanwhile.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let [third, fourth] = rand::random();
    let own = Ipv4Addr::new(127, OWN_LOOPBACK, third, fourth);
    free_addresses_at(own, count).or_else(|_| free_addresses_at(Ipv4Addr::LOCALHOST, count))
}

fn free_addresses_at(ip: Ipv4Addr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((ip, 0));
    let listeners: Vec<_> = (0..count).map(bind).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
