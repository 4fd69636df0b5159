//! The thread that owns the core and the data folder: it feeds inputs to the core and carries out the effects.
//!
//! It is a thread of its own because a sync of the data folder blocks: effects behind a `Persist` wait for it.

use {
    cumincart_core::{
        control::{
            self, ControlRefusal, Core, Effect, Input, Persist, Probe, PromotedState, Promotion,
            PromotionError, Settings, Status, Stored, Ticket, detection,
        },
        timing::TICK_INTERVAL_MS,
    },
    cumincart_protocol::{
        announcement::{Announcement, LogState, Presence},
        change::{Change, Outcome},
        name::InstanceName,
        peer::PeerBody,
        refusal::{Refusal, RefusalCode},
        replication::{Member, ReplicationMessage},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    cumincart_runtime::{
        clock::{self, Clock},
        data_folder::{DataFolder, DataFolderError},
        endpoint::{self, EndpointLogin},
        link::{
            client::PeerLink,
            handshake::FleetSecret,
            server::{ReceivedMessage, Reply},
        },
        pending::Pending,
    },
    slog::{Logger, crit, info},
    std::{future::Future, pin::Pin, sync::Arc, thread, time::Duration},
    tokio::{
        runtime::Handle,
        sync::{mpsc, oneshot, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// The pause between two attempts to write to a full disk.
const FULL_DISK_RETRY: Duration = Duration::from_millis(200);

/// What the engine needs besides the core's settings.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The core's settings.
    pub core_settings: Settings,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// Control instances to ask for membership where the data folder's own list may be outdated.
    pub seeds: SortedVec<Member>,
    /// What is asked of endpoints.
    pub endpoints: EndpointOperations,
    /// Where log lines go.
    pub logger: Logger,
}

/// A future that runs on any thread.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Asks an endpoint to become the primary, and waits until it is.
pub type PromoteFn = dyn Fn(Promotion) -> BoxFuture<Result<PromotedState, PromotionError>> + Send + Sync;

/// Asks an endpoint for the state of its log; none where it does not answer.
pub type ProbeFn = dyn Fn(Probe) -> BoxFuture<Option<LogState>> + Send + Sync;

/// What a control instance asks of endpoints.
#[derive(Clone)]
pub struct EndpointOperations {
    /// Promotes an endpoint.
    pub promote: Arc<PromoteFn>,
    /// Asks for the state of an endpoint's log; none where endpoints announce it themselves.
    pub probe: Option<Arc<ProbeFn>>,
}

impl std::fmt::Debug for EndpointOperations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointOperations").field("probes", &self.probe.is_some()).finish_non_exhaustive()
    }
}

impl EndpointOperations {
    /// Operations on PostgreSQL endpoints, which announce the state of their logs.
    pub fn postgresql(login: EndpointLogin) -> Self {
        let promote = move |promotion: Promotion| -> BoxFuture<_> {
            let login = login.clone();
            Box::pin(async move { endpoint::promote(&promotion.address, &login).await })
        };
        Self { promote: Arc::new(promote), probe: None }
    }
}

/// The answer to an operator's change.
pub type ChangeResult = Result<Outcome, ControlRefusal>;

/// The answer to a status request.
pub type StatusResult = Result<Box<Status>, ControlRefusal>;

/// Something that is asked of the engine.
enum Message {
    Input(Input),
    Peer(ReceivedMessage),
    Change(Change, oneshot::Sender<ChangeResult>),
    Status(oneshot::Sender<StatusResult>),
    Inspect(Box<ReadCore>),
    Stop,
}

type ReadCore = dyn FnOnce(&Core, Instant) + Send;

/// A running engine. It ends when `stop` is called or its data folder fails.
#[derive(Debug, Clone)]
pub struct Engine {
    messages: mpsc::UnboundedSender<Message>,
    ended: watch::Receiver<bool>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Message(..)")
    }
}

impl Engine {
    /// Starts the engine; messages of other instances come in by `received`.
    pub fn spawn(
        options: EngineOptions,
        folder: DataFolder,
        stored: Stored,
        received: mpsc::UnboundedReceiver<ReceivedMessage>,
    ) -> Self {
        let (messages, queue) = mpsc::unbounded_channel();
        let (ended_sender, ended) = watch::channel(false);
        let state = EngineState::open(options, folder, stored, messages.downgrade());
        tokio::spawn(send_ticks(messages.downgrade()));
        tokio::spawn(pass_peer_messages(received, messages.downgrade()));
        thread::spawn(move || {
            state.run(queue);
            ended_sender.send_replace(true);
        });
        Self { messages, ended }
    }

    /// Asks for a change.
    pub async fn change(&self, change: Change) -> ChangeResult {
        let (answer, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Change(change, answer));
        answered.await.unwrap_or(Err(ControlRefusal::Unknown))
    }

    /// Asks for the state as a quorum confirms it.
    pub async fn status(&self) -> StatusResult {
        let (answer, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Status(answer));
        answered.await.unwrap_or(Err(ControlRefusal::NoQuorum))
    }

    /// Passes an endpoint's announcement on.
    pub fn announce(&self, announcement: Announcement) {
        let _ = self.messages.send(Message::Input(Input::Announced(announcement)));
    }

    /// Reads the core.
    pub async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Core, Instant) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        let call = Box::new(move |core: &Core, now: Instant| {
            let _ = answer.send(read(core, now));
        });
        self.messages.send(Message::Inspect(call)).ok()?;
        answered.await.ok()
    }

    /// Passes on that an endpoint is there.
    pub fn report_presence(&self, presence: Presence) {
        let _ = self.messages.send(Message::Input(Input::Present(presence)));
    }

    /// Ends the engine. What was acknowledged is on the disk.
    pub fn stop(&self) {
        let _ = self.messages.send(Message::Stop);
    }

    /// Waits until the engine has ended.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        // An error says that the thread is gone, which is the same.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

async fn send_ticks(messages: mpsc::WeakUnboundedSender<Message>) {
    let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(messages) = messages.upgrade() else { return };
        if messages.send(Message::Input(Input::Tick)).is_err() {
            return;
        }
    }
}

async fn pass_peer_messages(
    mut received: mpsc::UnboundedReceiver<ReceivedMessage>,
    messages: mpsc::WeakUnboundedSender<Message>,
) {
    while let Some(message) = received.recv().await {
        let Some(messages) = messages.upgrade() else { return };
        if messages.send(Message::Peer(message)).is_err() {
            return;
        }
    }
}

/// A link to another control instance.
struct MemberLink {
    address: Arc<str>,
    link: PeerLink,
}

/// The last heartbeat of an entry instance, which the core may answer more than once.
struct LastHeartbeat {
    instance: InstanceName,
    ticket: u64,
    reply: Reply,
}

impl Keyed for LastHeartbeat {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// Whose heartbeat a ticket is.
struct HeartbeatTicket {
    ticket: u64,
    instance: InstanceName,
}

struct EngineState {
    core: Core,
    /// Whether the data folder holds no snapshot yet.
    is_new: bool,
    folder: DataFolder,
    clock: Clock,
    runtime: Handle,
    messages: mpsc::WeakUnboundedSender<Message>,
    changes: Pending<ChangeResult>,
    statuses: Pending<StatusResult>,
    heartbeats: SortedVec<LastHeartbeat>,
    heartbeat_tickets: Vec<HeartbeatTicket>,
    next_heartbeat: u64,
    links: Vec<MemberLink>,
    me: InstanceName,
    fleet_secret: FleetSecret,
    endpoints: EndpointOperations,
    logger: Logger,
}

impl EngineState {
    fn open(
        options: EngineOptions,
        folder: DataFolder,
        stored: Stored,
        messages: mpsc::WeakUnboundedSender<Message>,
    ) -> Self {
        let me = options.core_settings.member.instance.clone();
        let is_new = stored.snapshot.is_none();
        let mut core = Core::open(options.core_settings, stored, clock::random());
        core.seeds = options.seeds;
        core.probes.is_enabled = options.endpoints.probe.is_some();
        if core.probes.is_enabled {
            core.failover.policy.is_dead = detection::probe_finds_dead;
        }
        Self {
            core,
            is_new,
            folder,
            clock: Clock::start(),
            runtime: Handle::current(),
            messages,
            changes: Pending::default(),
            statuses: Pending::default(),
            heartbeats: SortedVec::new(),
            heartbeat_tickets: Vec::new(),
            next_heartbeat: 1,
            links: Vec::new(),
            me,
            fleet_secret: options.fleet_secret,
            endpoints: options.endpoints,
            logger: options.logger,
        }
    }

    /// Writes the first members down, so that a restart before the first commit still knows them.
    fn write_first_members(&mut self) -> Result<(), DataFolderError> {
        if !self.is_new || self.core.settings.first_members.voters.is_empty() || !self.core.log.is_empty() {
            return Ok(());
        }
        let snapshot = control::snapshot::current(&self.core);
        self.persist(&Persist::Snapshot(Box::new(snapshot)))
    }

    fn run(mut self, mut queue: mpsc::UnboundedReceiver<Message>) {
        if let Err(error) = self.write_first_members() {
            crit!(self.logger, "the data folder failed, so this instance ends"; "error" => %error);
            return;
        }
        while let Some(message) = queue.blocking_recv() {
            let result = match message {
                Message::Input(input) => self.step(input),
                Message::Peer(received) => self.handle_peer(received),
                Message::Change(change, answer) => {
                    let ticket = Ticket(self.changes.add(answer));
                    self.step(Input::Operator(ticket, change))
                }
                Message::Status(answer) => {
                    let ticket = Ticket(self.statuses.add(answer));
                    self.step(Input::Status(ticket))
                }
                Message::Inspect(read) => {
                    read(&self.core, self.clock.now());
                    Ok(())
                }
                Message::Stop => return,
            };
            if let Err(error) = result {
                crit!(self.logger, "the data folder failed, so this instance ends"; "error" => %error);
                return;
            }
        }
    }

    fn handle_peer(&mut self, received: ReceivedMessage) -> Result<(), DataFolderError> {
        match received.body {
            PeerBody::Replication(message) => self.step(Input::Replication(received.from, message)),
            PeerBody::Heartbeat(heartbeat) if heartbeat.instance == received.from => {
                let ticket = self.remember_heartbeat(received.from, received.reply);
                self.step(Input::Heartbeat(ticket, heartbeat))
            }
            _ => {
                let refusal =
                    Refusal::not_run(RefusalCode::BadRequest, "a control instance takes no such message");
                received.reply.send(PeerBody::Refused(refusal));
                Ok(())
            }
        }
    }

    fn step(&mut self, input: Input) -> Result<(), DataFolderError> {
        let mut effects = Vec::new();
        control::step(&mut self.core, self.clock.now(), input, &mut effects);
        for effect in effects {
            self.carry_out(effect)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, effect: Effect) -> Result<(), DataFolderError> {
        match effect {
            Effect::Persist(persist) => self.persist(&persist)?,
            Effect::Send(member, message) => self.send(&member, message),
            Effect::AnswerHeartbeat(ticket, body) => self.answer_heartbeat(ticket, body),
            Effect::AnswerOperator(ticket, result) => {
                self.changes.answer(ticket.0, result);
            }
            Effect::AnswerStatus(ticket, result) => {
                self.statuses.answer(ticket.0, result);
            }
            Effect::Promote(promotion) => self.promote(promotion),
            Effect::Probe(probe) => self.probe(probe),
            Effect::Log(note) => info!(self.logger, "{}", note),
        }
        Ok(())
    }

    /// Writes to the data folder. Where the disk is full, it waits for room: nothing behind this effect may happen before,
    /// and the other instances elect another leader meanwhile.
    fn persist(&mut self, persist: &Persist) -> Result<(), DataFolderError> {
        let mut is_noted = false;
        loop {
            match self.folder.persist(persist) {
                Err(error @ DataFolderError::Full { .. }) => {
                    if !std::mem::replace(&mut is_noted, true) {
                        crit!(self.logger, "this instance waits for room on its disk"; "error" => %error);
                    }
                    thread::sleep(FULL_DISK_RETRY);
                }
                result => {
                    if is_noted {
                        info!(self.logger, "the disk has room again");
                    }
                    return result;
                }
            }
        }
    }

    fn send(&mut self, member: &Member, message: ReplicationMessage) {
        let address = &member.peer_address;
        let index = match self.links.binary_search_by(|known| known.address.cmp(address)) {
            Ok(index) => index,
            Err(index) => {
                let _runtime = self.runtime.enter();
                let link = PeerLink::spawn(address.clone(), self.me.clone(), self.fleet_secret.clone());
                self.links.insert(index, MemberLink { address: address.clone(), link });
                index
            }
        };
        self.links[index].link.send(PeerBody::Replication(message));
    }

    /// Keeps the way back to an entry instance until its next heartbeat.
    fn remember_heartbeat(&mut self, instance: InstanceName, reply: Reply) -> Ticket {
        let ticket = self.next_heartbeat;
        self.next_heartbeat += 1;
        // Tickets only grow, so that pushing keeps them sorted.
        self.heartbeat_tickets.push(HeartbeatTicket { ticket, instance: instance.clone() });
        if let Some(last) = self.heartbeats.insert(LastHeartbeat { instance, ticket, reply }) {
            self.forget_ticket(last.ticket);
        }
        Ticket(ticket)
    }

    fn forget_ticket(&mut self, ticket: u64) {
        if let Ok(index) = self.heartbeat_tickets.binary_search_by_key(&ticket, |known| known.ticket) {
            self.heartbeat_tickets.remove(index);
        }
    }

    fn answer_heartbeat(&self, ticket: Ticket, body: PeerBody) {
        let Ok(index) = self.heartbeat_tickets.binary_search_by_key(&ticket.0, |known| known.ticket) else {
            return;
        };
        if let Some(last) = self.heartbeats.get(&self.heartbeat_tickets[index].instance) {
            last.reply.send(body);
        }
    }

    fn promote(&self, promotion: Promotion) {
        let messages = self.messages.clone();
        let answer = (self.endpoints.promote)(promotion.clone());
        self.runtime.spawn(async move {
            let result = answer.await;
            if let Some(messages) = messages.upgrade() {
                let _ = messages.send(Message::Input(Input::Promoted(promotion, result)));
            }
        });
    }

    fn probe(&self, probe: Probe) {
        let Some(ask) = &self.endpoints.probe else { return };
        let messages = self.messages.clone();
        let answer = ask(probe.clone());
        self.runtime.spawn(async move {
            let state = answer.await;
            if let Some(messages) = messages.upgrade() {
                let _ = messages.send(Message::Input(Input::Probed(probe, state)));
            }
        });
    }
}
