//! The links to the control instances. Heartbeats go to the control leader; an instance that does not lead names the
//! leader in its answer.
//!
//! Links are kept to the instances that the leader named last, to those in the settings, and to those that another entry
//! instance named while no leader answered.

use {
    cumincart_core::entry::{Input, control_group::NAMED_MAX},
    cumincart_protocol::{heartbeat::Heartbeat, name::InstanceName, peer::PeerBody},
    cumincart_runtime::link::{LinkError, client::PeerLink, handshake::FleetSecret},
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// How long to wait for the answer to a heartbeat before the next heartbeat goes to another control instance. Shorter
/// than a lease, so that no lease expires when the leader hangs and another control instance takes over.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long another entry instance may take to name the control instances that it knows.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// How many control instances one heartbeat is sent to before the attempt fails.
const ATTEMPTS: usize = 3;

/// Sends heartbeats to the control instances. The one that answered the last heartbeat is taken as the leader.
#[derive(Debug, Clone)]
pub struct ControlLinks {
    orders: mpsc::UnboundedSender<Order>,
}

/// What the owner of the links asks for.
#[derive(Debug)]
enum Order {
    /// Send a heartbeat.
    Send(Box<Heartbeat>),
    /// The leader has named the members of the control group.
    SetMembers(Vec<Arc<str>>),
    /// The settings name other control instances.
    SetConfigured(Vec<Arc<str>>),
    /// Another entry instance has named control instances.
    AddCandidates(Vec<Arc<str>>),
}

#[derive(Debug, Clone)]
struct ControlLink {
    address: Arc<str>,
    link: PeerLink,
}

impl ControlLinks {
    /// Starts the links. Answers to heartbeats are sent to the core as inputs.
    pub fn spawn(
        addresses: &[Arc<str>],
        instance: &InstanceName,
        secret: &FleetSecret,
        inputs: mpsc::UnboundedSender<Input>,
        logger: Logger,
    ) -> Self {
        let (unsolicited_sender, unsolicited) = mpsc::unbounded_channel();
        let (instance, secret) = (instance.clone(), secret.clone());
        let links = Links {
            configured: addresses.to_vec(),
            members: Vec::new(),
            links: Vec::new(),
            open: Box::new(move |address| {
                PeerLink::spawn_with(
                    address.clone(),
                    instance.clone(),
                    secret.clone(),
                    unsolicited_sender.clone(),
                )
            }),
        };
        tokio::spawn(forward_unsolicited_answers(unsolicited, inputs.clone()));
        let (orders, queue) = mpsc::unbounded_channel();
        tokio::spawn(send_heartbeats(links, queue, inputs, logger));
        Self { orders }
    }

    /// Sends a heartbeat. Its answer, if there is one, arrives as an input of the core.
    pub fn send(&self, heartbeat: Box<Heartbeat>) {
        self.order(Order::Send(heartbeat));
    }

    /// Opens links to the members of the control group as the leader named them, and closes those to others.
    pub fn set_members(&self, addresses: &[Arc<str>]) {
        self.order(Order::SetMembers(addresses.to_vec()));
    }

    /// Replaces the addresses from the settings.
    pub fn set_configured(&self, addresses: Vec<Arc<str>>) {
        self.order(Order::SetConfigured(addresses));
    }

    /// Opens links to further addresses until the leader names the members again.
    pub fn add_candidates(&self, addresses: Vec<Arc<str>>) {
        self.order(Order::AddCandidates(addresses));
    }

    fn order(&self, order: Order) {
        // An error means that the links have been closed.
        let _ = self.orders.send(order);
    }
}

/// Asks another entry instance for the control instances that it knows, and opens links to them.
pub async fn ask_instance(link: PeerLink, control: ControlLinks, logger: Logger) {
    let Ok(PeerBody::ControlAddresses(mut addresses)) =
        link.request(PeerBody::ControlAddressesRequest, ASK_TIMEOUT).await
    else {
        return;
    };
    addresses.truncate(NAMED_MAX);
    info!(logger, "another entry instance named control instances"; "addresses" => addresses.len());
    control.add_candidates(addresses);
}

/// Forwards answers that match no pending heartbeat to the core: late answers, and the further answer that the leader
/// sends immediately when a change is committed.
async fn forward_unsolicited_answers(
    mut unsolicited: mpsc::UnboundedReceiver<PeerBody>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    while let Some(body) = unsolicited.recv().await {
        let PeerBody::HeartbeatAnswer(answer) = body else { continue };
        if inputs.send(Input::HeartbeatAnswer(answer)).is_err() {
            return;
        }
    }
}

/// An event of an attempt to deliver a heartbeat.
#[derive(Debug)]
enum AttemptEvent {
    /// The control instance at this address answered.
    Answered(Arc<str>),
    /// No control instance answered the heartbeat.
    Failed {
        /// The address that the next heartbeat goes to.
        address: Arc<str>,
        /// Why the last control instance that was tried did not answer.
        reason: &'static str,
        /// When the attempt started. If another attempt was answered since, this failure is ignored.
        began_at: Instant,
    },
    /// The control instance at this address leads, according to another one, and there is no link to it yet.
    NewLeader(Arc<str>),
}

/// Opens a link to a control instance.
type OpenLink = dyn Fn(&Arc<str>) -> PeerLink + Send;

/// The links to the control instances.
struct Links {
    configured: Vec<Arc<str>>,
    members: Vec<Arc<str>>,
    links: Vec<ControlLink>,
    open: Box<OpenLink>,
}

impl Links {
    fn add(&mut self, address: &Arc<str>) {
        if !self.links.iter().any(|link| link.address == *address) {
            self.links.push(ControlLink { address: address.clone(), link: (self.open)(address) });
        }
    }

    fn set_members(&mut self, members: Vec<Arc<str>>) {
        self.members = members;
        self.update();
    }

    fn set_configured(&mut self, configured: Vec<Arc<str>>) {
        self.configured = configured;
        self.update();
    }

    /// Opens links to the members and the configured instances, and closes the others.
    fn update(&mut self) {
        let (members, configured) = (&self.members, &self.configured);
        self.links.retain(|link| members.contains(&link.address) || configured.contains(&link.address));
        for address in members.iter().chain(configured).cloned().collect::<Vec<_>>() {
            self.add(&address);
        }
    }
}

async fn send_heartbeats(
    mut links: Links,
    mut queue: mpsc::UnboundedReceiver<Order>,
    inputs: mpsc::UnboundedSender<Input>,
    logger: Logger,
) {
    let configured = links.configured.clone();
    let Some(mut target) = configured.first().cloned() else { return };
    for address in &configured {
        links.add(address);
    }
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let mut last: Option<Box<Heartbeat>> = None;
    let mut answered_at = Instant::now();
    let mut is_answering = true;
    let start_attempt = |links: &Links, target: &Arc<str>, heartbeat: Box<Heartbeat>| {
        let attempt = Attempt {
            links: links.links.clone(),
            first: target.clone(),
            began_at: Instant::now(),
            inputs: inputs.clone(),
            events: event_sender.clone(),
        };
        tokio::spawn(attempt.run(heartbeat));
    };
    loop {
        tokio::select! {
            order = queue.recv() => match order {
                None => return,
                Some(Order::Send(heartbeat)) => {
                    last = Some(heartbeat.clone());
                    start_attempt(&links, &target, heartbeat);
                }
                Some(Order::SetMembers(members)) => links.set_members(members),
                Some(Order::SetConfigured(configured)) if configured.is_empty() => {}
                Some(Order::SetConfigured(configured)) => links.set_configured(configured),
                Some(Order::AddCandidates(candidates)) => {
                    for address in &candidates {
                        links.add(address);
                    }
                }
            },
            Some(event) = events.recv() => match event {
                AttemptEvent::Answered(address) => {
                    answered_at = Instant::now();
                    if !std::mem::replace(&mut is_answering, true) {
                        info!(logger, "heartbeats are answered again"; "address" => &*address);
                    }
                    if address != target {
                        info!(logger, "heartbeats go to another control instance"; "address" => &*address);
                        target = address;
                    }
                }
                AttemptEvent::Failed { began_at, .. } if answered_at > began_at => {}
                AttemptEvent::Failed { address, reason, .. } => {
                    if std::mem::replace(&mut is_answering, false) {
                        warn!(logger, "a heartbeat was not answered";
                            "address" => &*target, "why" => reason, "next" => &*address);
                    }
                    target = address;
                }
                AttemptEvent::NewLeader(address) => {
                    links.add(&address);
                    target = address;
                    if let Some(heartbeat) = last.take() {
                        start_attempt(&links, &target, heartbeat);
                    }
                }
            }
        }
    }
}

/// An attempt to deliver one heartbeat to the leader.
struct Attempt {
    links: Vec<ControlLink>,
    first: Arc<str>,
    began_at: Instant,
    inputs: mpsc::UnboundedSender<Input>,
    events: mpsc::UnboundedSender<AttemptEvent>,
}

impl Attempt {
    async fn run(self, heartbeat: Box<Heartbeat>) {
        let mut target = self.link_index(&self.first).unwrap_or_default();
        let mut reason = "no control instance leads";
        for _ in 0..ATTEMPTS {
            let body = PeerBody::Heartbeat(heartbeat.clone());
            match self.links[target].link.request(body, ANSWER_TIMEOUT).await {
                Ok(PeerBody::HeartbeatAnswer(answer)) => {
                    self.report(AttemptEvent::Answered(self.links[target].address.clone()));
                    let _ = self.inputs.send(Input::HeartbeatAnswer(answer));
                    return;
                }
                Ok(PeerBody::NotLeader(Some(leader))) => match self.link_index(&leader.peer_address) {
                    Some(known) if known != target => target = known,
                    Some(_) => target = self.next_index(target),
                    None => return self.report(AttemptEvent::NewLeader(leader.peer_address)),
                },
                Ok(_) => target = self.next_index(target),
                Err(LinkError::Down) => {
                    reason = "the link is down";
                    target = self.next_index(target);
                }
                Err(_) => {
                    // The answer may only be late, so this heartbeat is not sent again; the next one goes elsewhere.
                    let next = self.next_index(target);
                    return self.report_failure(next, "no answer came in time");
                }
            }
        }
        self.report_failure(target, reason);
    }

    fn report_failure(&self, next: usize, reason: &'static str) {
        let address = self.links[next].address.clone();
        self.report(AttemptEvent::Failed { address, reason, began_at: self.began_at });
    }

    fn report(&self, event: AttemptEvent) {
        // An error means that the links have been closed.
        let _ = self.events.send(event);
    }

    fn link_index(&self, address: &Arc<str>) -> Option<usize> {
        self.links.iter().position(|link| link.address == *address)
    }

    fn next_index(&self, target: usize) -> usize {
        (target + 1) % self.links.len()
    }
}
