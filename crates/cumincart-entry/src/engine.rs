//! The task that owns the core: it passes inputs to the core and applies the effects that the core returns.

use {
    crate::control_link::{self, ControlLinks},
    cumincart_core::{
        endpoint_command::ConnectionId,
        entry::{self, Core, Effect, Input, Settings, Ticket, control_group},
        timing::TICK_INTERVAL_MS,
    },
    cumincart_protocol::{
        excerpt::Excerpt,
        name::InstanceName,
        peer::PeerBody,
        refusal::{Refusal, RefusalCode},
        request::{CallerRequest, CallerResult},
        time::Instant,
    },
    cumincart_runtime::{
        clock::{self, Clock},
        endpoint::{self, CommandRequest, EndpointLogin},
        link::{LinkError, client::PeerLink, handshake::FleetSecret, server::ReceivedMessage},
        pending::Pending,
    },
    slog::{Logger, info},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// How long a forwarded request may take before its outcome counts as unknown.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// The options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The core's settings.
    pub core_settings: Settings,
    /// The control instances' peer addresses.
    pub control_addresses: Vec<Arc<str>>,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// The credentials for endpoints.
    pub endpoint_login: EndpointLogin,
    /// The logger of the instance.
    pub logger: Logger,
}

/// A message to the engine's task.
#[derive(Debug)]
enum Message {
    Request(Ticket, Box<CallerRequest>, oneshot::Sender<CallerResult>),
    CallerDisconnected(Ticket),
    Inspect(InspectionCall),
    Stop,
    Kill,
}

/// A closure that runs on the engine's task with read access to the core.
struct InspectionCall(Box<ReadCore>);

type ReadCore = dyn FnOnce(&Core, Instant) + Send;

impl std::fmt::Debug for InspectionCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("InspectionCall(..)")
    }
}

/// A handle to a running engine. The engine's task ends on [`Engine::kill`] or when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Engine {
    messages: mpsc::UnboundedSender<Message>,
    tickets: Arc<AtomicU64>,
    stopped: watch::Receiver<bool>,
}

impl Engine {
    /// Starts the engine. Messages from other entry instances arrive on `received`.
    pub fn spawn(options: EngineOptions, received: mpsc::UnboundedReceiver<ReceivedMessage>) -> Self {
        let (messages, queue) = mpsc::unbounded_channel();
        let (stopped_sender, stopped) = watch::channel(false);
        let tickets = Arc::new(AtomicU64::new(1));
        let task = EngineTask::new(options, tickets.clone(), stopped_sender);
        tokio::spawn(task.run(queue, received));
        Self { messages, tickets, stopped }
    }

    /// Executes a caller's request. Dropping the returned future reports to the core that the caller has disconnected.
    pub async fn execute_request(&self, request: CallerRequest) -> CallerResult {
        let (answer, answered) = oneshot::channel();
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        if self.messages.send(Message::Request(ticket, Box::new(request), answer)).is_err() {
            return Err(Refusal::not_run(RefusalCode::OutOfService, "the instance has stopped"));
        }
        let mut guard = DisconnectGuard { messages: &self.messages, ticket: Some(ticket) };
        let result = answered.await;
        guard.ticket = None;
        result.unwrap_or_else(|_| Err(Refusal::unknown(RefusalCode::Internal, "the instance has stopped")))
    }

    /// Runs a closure with read access to the core and returns its result; `None` if the engine has ended.
    pub async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Core, Instant) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        let call = InspectionCall(Box::new(move |core, now| {
            let _ = answer.send(read(core, now));
        }));
        self.messages.send(Message::Inspect(call)).ok()?;
        answered.await.ok()
    }

    /// Starts a planned stop; [`Engine::stopped`] waits for its end.
    pub fn stop(&self) {
        let _ = self.messages.send(Message::Stop);
    }

    /// Ends the engine immediately: closes connections and links without releasing quota or leases.
    pub fn kill(&self) {
        let _ = self.messages.send(Message::Kill);
    }

    /// Waits until a planned stop is complete.
    pub async fn stopped(&self) {
        let mut stopped = self.stopped.clone();
        // An error means that the engine's task has ended, so it has stopped as well.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}

/// Reports on drop that the caller has disconnected. The ticket is cleared once the answer has arrived.
struct DisconnectGuard<'a> {
    messages: &'a mpsc::UnboundedSender<Message>,
    ticket: Option<Ticket>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let _ = self.messages.send(Message::CallerDisconnected(ticket));
        }
    }
}

/// A connection's command channel. Dropping it closes the connection.
struct OpenConnection {
    id: ConnectionId,
    requests: mpsc::UnboundedSender<CommandRequest>,
}

/// The link to another entry instance.
struct InstanceLink {
    address: Arc<str>,
    link: PeerLink,
}

struct EngineTask {
    core: Core,
    clock: Clock,
    effects: Vec<Effect>,
    tickets: Arc<AtomicU64>,
    pending: Pending<CallerResult>,
    inputs: mpsc::UnboundedSender<Input>,
    input_queue: mpsc::UnboundedReceiver<Input>,
    connections: Vec<OpenConnection>,
    instance_links: Vec<InstanceLink>,
    control_links: ControlLinks,
    instance: InstanceName,
    fleet_secret: FleetSecret,
    endpoint_login: EndpointLogin,
    logger: Logger,
    stopped: watch::Sender<bool>,
}

impl EngineTask {
    fn new(options: EngineOptions, tickets: Arc<AtomicU64>, stopped: watch::Sender<bool>) -> Self {
        let (inputs, input_queue) = mpsc::unbounded_channel();
        let instance = options.core_settings.instance.clone();
        let control_links = ControlLinks::spawn(
            &options.control_addresses,
            &instance,
            &options.fleet_secret,
            inputs.clone(),
            options.logger.clone(),
        );
        Self {
            core: Core::open(options.core_settings, clock::random()),
            clock: Clock::start(),
            effects: Vec::new(),
            tickets,
            pending: Pending::default(),
            inputs,
            input_queue,
            connections: Vec::new(),
            instance_links: Vec::new(),
            control_links,
            instance,
            fleet_secret: options.fleet_secret,
            endpoint_login: options.endpoint_login,
            logger: options.logger,
            stopped,
        }
    }

    async fn run(
        mut self,
        mut queue: mpsc::UnboundedReceiver<Message>,
        mut received: mpsc::UnboundedReceiver<ReceivedMessage>,
    ) {
        let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.step(Input::Tick);
                    self.ask_for_control_instances();
                }
                input = self.input_queue.recv() => match input {
                    Some(input) => self.step(input),
                    None => return,
                },
                message = queue.recv() => match message {
                    Some(Message::Kill) | None => return,
                    Some(message) => self.handle_message(message),
                },
                Some(received) = received.recv() => self.handle_peer_message(received),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request(ticket, request, answer) => self.submit_request(ticket, request, answer),
            Message::CallerDisconnected(ticket) => {
                self.pending.remove(ticket.0);
                self.step(Input::CallerDisconnected(ticket));
            }
            Message::Inspect(call) => (call.0)(&self.core, self.clock.now()),
            Message::Stop => self.step(Input::Stop),
            Message::Kill => {}
        }
    }

    fn submit_request(
        &mut self,
        ticket: Ticket,
        request: Box<CallerRequest>,
        answer: oneshot::Sender<CallerResult>,
    ) {
        self.pending.insert(ticket.0, answer);
        self.step(Input::Request(ticket, request));
    }

    /// Asks another entry instance for control instances if none of those that are known answers.
    fn ask_for_control_instances(&mut self) {
        let now = self.clock.now();
        let Some(asked) = control_group::instance_to_ask(&mut self.core, now) else { return };
        let link = self.instance_link(&asked.peer_address);
        tokio::spawn(control_link::ask_instance(link, self.control_links.clone(), self.logger.clone()));
    }

    fn handle_peer_message(&mut self, received: ReceivedMessage) {
        let request = match received.body {
            PeerBody::Forward(request) => request,
            PeerBody::ControlAddressesRequest => {
                let addresses = self.core.control_group.addresses().to_vec();
                received.reply.send(PeerBody::ControlAddresses(addresses));
                return;
            }
            _ => {
                let refusal = Refusal::not_run(
                    RefusalCode::BadRequest,
                    "an entry instance accepts only forwarded requests",
                );
                received.reply.send(PeerBody::Refused(refusal));
                return;
            }
        };
        let (answer, answered) = oneshot::channel();
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        tokio::spawn(async move {
            if let Ok(result) = answered.await {
                received.reply.send(PeerBody::forward_answer(result));
            }
        });
        self.submit_request(ticket, request, answer);
    }

    fn step(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        entry::step(&mut self.core, self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
        if let Some(addresses) = self.core.control_group.take_changed() {
            self.control_links.set_members(addresses);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(ticket, result) => {
                self.pending.answer(ticket.0, *result);
            }
            Effect::Forward { ticket, address, request, .. } => self.forward(ticket, &address, request),
            Effect::Open { connection, address, .. } => self.open_connection(connection, address),
            Effect::Close(connection) => self.close_connection(connection),
            Effect::Execute(connection, id, command) => {
                self.execute(connection, CommandRequest { id, command });
            }
            Effect::Heartbeat(heartbeat) => self.control_links.send(heartbeat),
            Effect::Stopped => {
                self.stopped.send_replace(true);
            }
            // The names in it may be of any length.
            Effect::Log(message) => info!(self.logger, "{}", Excerpt(&message)),
        }
    }

    fn open_connection(&mut self, id: ConnectionId, address: Arc<str>) {
        let (requests, queue) = mpsc::unbounded_channel();
        endpoint::spawn(id, address, self.endpoint_login.clone(), queue, self.inputs.clone());
        // Connection ids increase, so the vector stays sorted by id.
        self.connections.push(OpenConnection { id, requests });
    }

    fn close_connection(&mut self, id: ConnectionId) {
        if let Ok(index) = self.connections.binary_search_by_key(&id, |open| open.id) {
            self.connections.remove(index);
        }
    }

    fn execute(&mut self, id: ConnectionId, request: CommandRequest) {
        let Ok(index) = self.connections.binary_search_by_key(&id, |open| open.id) else {
            return;
        };
        // A closed channel belongs to a lost connection, whose task reports the outcome of every command it received.
        let _ = self.connections[index].requests.send(request);
    }

    fn forward(&mut self, ticket: Ticket, address: &Arc<str>, request: Box<CallerRequest>) {
        let link = self.instance_link(address);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let answer = link.request(PeerBody::Forward(request), FORWARD_TIMEOUT).await;
            let _ = inputs.send(Input::ForwardAnswered(ticket, Box::new(forward_result(answer))));
        });
    }

    fn instance_link(&mut self, address: &Arc<str>) -> PeerLink {
        match self.instance_links.binary_search_by(|known| known.address.cmp(address)) {
            Ok(index) => self.instance_links[index].link.clone(),
            Err(index) => {
                let link = PeerLink::spawn(address.clone(), self.instance.clone(), self.fleet_secret.clone());
                self.instance_links
                    .insert(index, InstanceLink { address: address.clone(), link: link.clone() });
                link
            }
        }
    }
}

/// Converts the peer's answer to a forwarded request into the caller's result.
fn forward_result(answer: Result<PeerBody, LinkError>) -> CallerResult {
    match answer {
        Ok(PeerBody::ForwardAnswer(result)) => *result,
        Ok(PeerBody::Refused(refusal)) => Err(refusal),
        Err(LinkError::Down) => Err(Refusal::not_run(
            RefusalCode::ConnectionLost,
            "the instance that holds the transaction is down",
        )),
        Ok(_) | Err(_) => Err(Refusal::unknown(
            RefusalCode::ConnectionLost,
            "the link to the instance that holds the transaction was lost",
        )),
    }
}
