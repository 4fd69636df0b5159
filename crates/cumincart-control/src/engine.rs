//! The thread that owns the core and the data folder: it passes inputs to the core and applies the effects that the
//! core returns.
//!
//! It is a separate thread because syncing the data folder blocks: the effects after a `Persist` wait for the sync.

use {
    crate::{
        heartbeat_replies::HeartbeatReplies,
        inbox::{Inbox, Priority},
    },
    cumincart_core::{
        control::{
            self, ControlRefusal, Core, Effect, Input, Persist, Probe, PromotedState, Promotion,
            PromotionError, Settings, Status, Stored, Ticket, UsageAnswer, UsageCall, detection, usage,
        },
        timing::TICK_INTERVAL_MS,
    },
    cumincart_protocol::{
        announcement::{Announcement, LogState, Presence, PresenceReport, ReportOutcome},
        change::{Change, Outcome},
        excerpt::Excerpt,
        name::InstanceName,
        peer::PeerBody,
        refusal::{Refusal, RefusalCode},
        replication::{Member, ReplicationBody, ReplicationMessage},
        sorted::SortedVec,
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

/// The delay between two attempts to write to a full disk.
const FULL_DISK_RETRY: Duration = Duration::from_millis(200);

/// See [`control::SLOW_SYNC_MS`].
const SLOW_SYNC: Duration = Duration::from_millis(control::SLOW_SYNC_MS);

/// The maximum number of messages whose writes share a sync. It bounds how long the first of them waits.
const MESSAGES_PER_SYNC: usize = 256;

/// The options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The core's settings.
    pub core_settings: Settings,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// The control instances that are asked for the group's members when the member list in the data folder may be
    /// outdated.
    pub seeds: SortedVec<Member>,
    /// The operations on endpoints.
    pub endpoints: EndpointOperations,
    /// How usage is reported; `None` if it is not.
    pub usage: Option<UsageReporting>,
    /// How many control instances may be lost at once, which decides the number of voters. `None`: as many as the first
    /// members of the settings bear.
    pub losses_borne: Option<usize>,
    /// Whether an instance that has lost its disk never starts as one of the first members again.
    pub is_first_start_certain: bool,
    /// The logger of the instance.
    pub logger: Logger,
}

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Promotes an endpoint to primary and waits for the promotion to complete.
pub type PromoteFn = dyn Fn(Promotion) -> BoxFuture<Result<PromotedState, PromotionError>> + Send + Sync;

/// Asks an endpoint for the state of its log. Returns `None` if it does not answer.
pub type ProbeFn = dyn Fn(Probe) -> BoxFuture<Option<LogState>> + Send + Sync;

/// Reports the usage of an accounting window to the platform.
pub type ReportUsageFn = dyn Fn(UsageCall) -> BoxFuture<UsageAnswer> + Send + Sync;

/// How a control instance reports usage.
#[derive(Clone)]
pub struct UsageReporting {
    /// When it is reported.
    pub policy: usage::Policy,
    /// Makes one call. It ends within a few seconds.
    pub report: Arc<ReportUsageFn>,
}

impl std::fmt::Debug for UsageReporting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UsageReporting").field("policy", &self.policy).finish_non_exhaustive()
    }
}

/// The operations of a control instance on endpoints.
#[derive(Clone)]
pub struct EndpointOperations {
    /// Promotes an endpoint.
    pub promote: Arc<PromoteFn>,
    /// Asks an endpoint for the state of its log; `None` where endpoints announce it themselves.
    pub probe: Option<Arc<ProbeFn>>,
}

impl std::fmt::Debug for EndpointOperations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointOperations").field("probes", &self.probe.is_some()).finish_non_exhaustive()
    }
}

impl EndpointOperations {
    /// Returns the operations for PostgreSQL endpoints, which announce the state of their logs.
    pub fn postgresql(login: EndpointLogin) -> Self {
        let promote = move |promotion: Promotion| -> BoxFuture<_> {
            let login = login.clone();
            Box::pin(async move { endpoint::promote(&promotion.address, &login).await })
        };
        Self { promote: Arc::new(promote), probe: None }
    }
}

/// The result of an operator's change.
pub type ChangeResult = Result<Outcome, ControlRefusal>;

/// The result of a status request.
pub type StatusResult = Result<Box<Status>, ControlRefusal>;

/// A message to the engine's thread.
enum Message {
    Input(Input),
    Peer(ReceivedMessage),
    Change(Change, oneshot::Sender<ChangeResult>),
    Status(oneshot::Sender<StatusResult>),
    Report(PresenceReport, oneshot::Sender<ReportOutcome>),
    Inspect(Box<ReadCore>),
    Seeds(SortedVec<Member>),
    End,
}

/// Messages of other control instances and ticks keep the leadership: they don't wait behind the heartbeats and
/// announcements of a whole fleet.
fn priority(message: &Message) -> Priority {
    match message {
        Message::Input(Input::Tick) => Priority::FirstOnce,
        Message::Peer(ReceivedMessage { body: PeerBody::Replication(message), .. }) => match message.body {
            ReplicationBody::Announcements(_)
            | ReplicationBody::Presences(_)
            | ReplicationBody::Report(..)
            | ReplicationBody::ReportOutcome(..) => Priority::InOrder,
            _ => Priority::First,
        },
        _ => Priority::InOrder,
    }
}

type ReadCore = dyn FnOnce(&Core, Instant) + Send;

/// A handle to a running engine. The engine ends on [`Engine::stop`], on [`Engine::kill`] or when its data folder fails.
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
    /// Starts the engine. Messages from other instances arrive on `received`.
    pub fn spawn(
        options: EngineOptions,
        folder: DataFolder,
        stored: Stored,
        received: mpsc::UnboundedReceiver<ReceivedMessage>,
    ) -> Self {
        let (messages, queue) = mpsc::unbounded_channel();
        let (ended_sender, ended) = watch::channel(false);
        let state = EngineThread::new(options, folder, stored, messages.downgrade());
        tokio::spawn(send_ticks(messages.downgrade()));
        tokio::spawn(forward_peer_messages(received, messages.downgrade()));
        thread::spawn(move || {
            state.run(Inbox::new(queue, priority));
            ended_sender.send_replace(true);
        });
        Self { messages, ended }
    }

    /// Submits an operator's change.
    pub async fn change(&self, change: Change) -> ChangeResult {
        let (answer, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Change(change, answer));
        answered.await.unwrap_or(Err(ControlRefusal::Unknown))
    }

    /// Returns the state as confirmed by a quorum.
    pub async fn status(&self) -> StatusResult {
        let (answer, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Status(answer));
        answered.await.unwrap_or(Err(ControlRefusal::NoQuorum))
    }

    /// Passes an endpoint's announcement to the core.
    pub fn announce(&self, announcement: Announcement) {
        let _ = self.messages.send(Message::Input(Input::Announced(announcement)));
    }

    /// Runs a closure with read access to the core and returns its result; `None` if the engine has ended.
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

    /// Replaces the instances that this one asks for the members of the group.
    pub fn set_seeds(&self, seeds: SortedVec<Member>) {
        let _ = self.messages.send(Message::Seeds(seeds));
    }

    /// Reports to the core that an endpoint is present.
    pub fn report_presence(&self, presence: Presence) {
        let _ = self.messages.send(Message::Input(Input::Present(presence)));
    }

    /// Passes an endpoint's report to the core and waits until it is in force.
    pub async fn report(&self, report: PresenceReport) -> ReportOutcome {
        let (answer, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Report(report, answer));
        answered.await.unwrap_or(ReportOutcome::NotLeader)
    }

    /// Begins a planned stop: the engine ends once another instance has its place as a voter, or after a few seconds.
    /// It ends at once if no other instance could take the place. Everything that was acknowledged is synced to disk.
    pub fn stop(&self) {
        let _ = self.messages.send(Message::Input(Input::Stop));
    }

    /// Ends the engine at once. Everything that was acknowledged is synced to disk.
    pub fn kill(&self) {
        let _ = self.messages.send(Message::End);
    }

    /// Waits until the engine has ended.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        // An error means that the thread has ended, so the engine has ended as well.
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

async fn forward_peer_messages(
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

/// The link to another control instance.
struct MemberLink {
    address: Arc<str>,
    link: PeerLink,
}

struct EngineThread {
    core: Core,
    /// Whether the data folder contains no snapshot yet.
    is_new: bool,
    /// Whether a planned stop is complete.
    is_stopped: bool,
    folder: DataFolder,
    clock: Clock,
    runtime: Handle,
    messages: mpsc::WeakUnboundedSender<Message>,
    changes: Pending<ChangeResult>,
    statuses: Pending<StatusResult>,
    reports: Pending<ReportOutcome>,
    heartbeats: HeartbeatReplies<Reply>,
    links: Vec<MemberLink>,
    instance: InstanceName,
    fleet_secret: FleetSecret,
    endpoints: EndpointOperations,
    usage: Option<UsageReporting>,
    logger: Logger,
}

impl EngineThread {
    fn new(
        options: EngineOptions,
        folder: DataFolder,
        stored: Stored,
        messages: mpsc::WeakUnboundedSender<Message>,
    ) -> Self {
        let instance = options.core_settings.member.instance.clone();
        let is_new = stored.snapshot.is_none();
        let mut core = Core::open(options.core_settings, stored, clock::random());
        core.seeds = options.seeds;
        if let Some(losses) = options.losses_borne {
            core.voters_target = control::members::voters_for(losses);
        }
        core.is_first_start_certain = options.is_first_start_certain;
        core.probes.is_enabled = options.endpoints.probe.is_some();
        if core.probes.is_enabled {
            core.failover.policy.is_dead = detection::probe_finds_dead;
        }
        core.usage.policy = options.usage.as_ref().map(|usage| usage.policy);
        Self {
            core,
            is_new,
            is_stopped: false,
            folder,
            clock: Clock::start(),
            runtime: Handle::current(),
            messages,
            changes: Pending::default(),
            statuses: Pending::default(),
            reports: Pending::default(),
            heartbeats: HeartbeatReplies::default(),
            links: Vec::new(),
            instance,
            fleet_secret: options.fleet_secret,
            endpoints: options.endpoints,
            usage: options.usage,
            logger: options.logger,
        }
    }

    /// Persists the first members, so that they are known after a restart before the first commit.
    fn write_first_members(&mut self) -> Result<(), DataFolderError> {
        if !self.is_new || self.core.settings.first_members.voters.is_empty() || !self.core.log.is_empty() {
            return Ok(());
        }
        let snapshot = control::snapshot::current(&self.core);
        self.persist(&Persist::Snapshot(Box::new(snapshot)))
    }

    fn run(mut self, mut queue: Inbox<Message>) {
        if let Err(error) = self.write_first_members() {
            crit!(self.logger, "data folder failed; stopping this instance"; "error" => %error);
            return;
        }
        // The links are opened before the first election needs them.
        let own = self.instance.clone();
        let members: Vec<Member> = control::members::all(self.core.log.members()).cloned().collect();
        for member in members.iter().filter(|member| member.instance != own) {
            self.link(member);
        }
        while let Some(message) = queue.blocking_recv() {
            match self.handle_batch(message, &mut queue) {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    crit!(self.logger, "data folder failed; stopping this instance"; "error" => %error);
                    return;
                }
            }
        }
    }

    /// Handles a message and, if it needs a sync of the data folder, the messages that are queued behind it, so that one
    /// sync serves all of them. Returns whether the engine goes on.
    fn handle_batch(&mut self, first: Message, queue: &mut Inbox<Message>) -> Result<bool, DataFolderError> {
        let mut effects = Vec::new();
        let mut next = Some(first);
        let mut handled = 0;
        while let Some(message) = next {
            match message {
                Message::Input(input) => self.step(input, &mut effects),
                Message::Peer(received) => self.handle_peer_message(received, &mut effects),
                Message::Change(change, answer) => {
                    let ticket = Ticket(self.changes.add(answer));
                    self.step(Input::Operator(ticket, change), &mut effects);
                }
                Message::Status(answer) => {
                    let ticket = Ticket(self.statuses.add(answer));
                    self.step(Input::Status(ticket), &mut effects);
                }
                Message::Report(report, answer) => {
                    let ticket = Ticket(self.reports.add(answer));
                    self.step(Input::Reported(ticket, report), &mut effects);
                }
                Message::Seeds(seeds) => self.core.seeds = seeds,
                Message::Inspect(read) => {
                    // Nothing is shown that a crash could still undo.
                    self.apply_effects(&mut effects)?;
                    read(&self.core, self.clock.now());
                }
                Message::End => {
                    self.apply_effects(&mut effects)?;
                    return Ok(false);
                }
            }
            handled += 1;
            let needs_sync = effects.iter().any(|effect| matches!(effect, Effect::Persist(_)));
            next = if needs_sync && handled < MESSAGES_PER_SYNC { queue.try_recv() } else { None };
        }
        self.apply_effects(&mut effects)?;
        Ok(!self.is_stopped)
    }

    fn handle_peer_message(&mut self, received: ReceivedMessage, effects: &mut Vec<Effect>) {
        match received.body {
            PeerBody::Replication(message) => {
                self.step(Input::Replication(received.from, message), effects);
            }
            PeerBody::Heartbeat(heartbeat) if heartbeat.instance == received.from => {
                let ticket = Ticket(self.heartbeats.register(received.from, received.reply));
                self.step(Input::Heartbeat(ticket, heartbeat), effects);
            }
            _ => {
                let refusal = Refusal::not_run(
                    RefusalCode::BadRequest,
                    "a control instance does not accept this type of message",
                );
                received.reply.send(PeerBody::Refused(refusal));
            }
        }
    }

    fn step(&mut self, input: Input, effects: &mut Vec<Effect>) {
        control::step(&mut self.core, self.clock.now(), input, effects);
    }

    /// Applies the effects, and reports to the core if its data folder was slow.
    fn apply_effects(&mut self, effects: &mut Vec<Effect>) -> Result<(), DataFolderError> {
        while !effects.is_empty() {
            control::batch_effects(effects);
            let mut synced = Duration::ZERO;
            for effect in std::mem::take(effects) {
                let started_at = self.clock.now();
                let is_sync = matches!(effect, Effect::Persist(_));
                self.apply_effect(effect)?;
                if is_sync {
                    synced += self.clock.now().saturating_since(started_at);
                }
            }
            if synced >= SLOW_SYNC {
                self.step(Input::Synced(synced), effects);
            }
        }
        self.heartbeats.forget_outdated();
        Ok(())
    }

    fn apply_effect(&mut self, effect: Effect) -> Result<(), DataFolderError> {
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
            Effect::AnswerReport(ticket, outcome) => {
                self.reports.answer(ticket.0, outcome);
            }
            Effect::Stopped => self.is_stopped = true,
            Effect::Promote(promotion) => self.promote(promotion),
            Effect::Probe(probe) => self.probe(probe),
            Effect::ReportUsage(call) => self.report_usage(call),
            // The names in it may be of any length.
            Effect::Log(message) => info!(self.logger, "{}", Excerpt(&message)),
        }
        Ok(())
    }

    /// Writes to the data folder. While the disk is full, this blocks and retries, because the effects after this one
    /// may not be applied before it. Meanwhile the other control instances elect another leader.
    fn persist(&mut self, persist: &Persist) -> Result<(), DataFolderError> {
        let mut is_logged = false;
        loop {
            match self.folder.persist(persist) {
                Err(error @ DataFolderError::Full { .. }) => {
                    if !std::mem::replace(&mut is_logged, true) {
                        crit!(self.logger, "disk of the data folder is full; waiting for free space";
                            "error" => %error);
                    }
                    thread::sleep(FULL_DISK_RETRY);
                }
                result => {
                    if is_logged {
                        info!(self.logger, "disk of the data folder has free space again");
                    }
                    return result;
                }
            }
        }
    }

    fn send(&mut self, member: &Member, message: ReplicationMessage) {
        self.link(member).send(PeerBody::Replication(message));
    }

    /// Returns the link to a member, which is opened on first use.
    fn link(&mut self, member: &Member) -> &PeerLink {
        let address = &member.peer_address;
        let index = match self.links.binary_search_by(|known| known.address.cmp(address)) {
            Ok(index) => index,
            Err(index) => {
                let _runtime = self.runtime.enter();
                let link = PeerLink::spawn(address.clone(), self.instance.clone(), self.fleet_secret.clone());
                self.links.insert(index, MemberLink { address: address.clone(), link });
                index
            }
        };
        &self.links[index].link
    }

    fn answer_heartbeat(&self, ticket: Ticket, body: PeerBody) {
        if let Some(reply) = self.heartbeats.reply(ticket.0) {
            reply.send(body);
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

    fn report_usage(&self, call: UsageCall) {
        let Some(usage) = &self.usage else { return };
        let messages = self.messages.clone();
        let answer = (usage.report)(call.clone());
        self.runtime.spawn(async move {
            let answer = answer.await;
            if let Some(messages) = messages.upgrade() {
                let _ = messages.send(Message::Input(Input::UsageReported(call, answer)));
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
