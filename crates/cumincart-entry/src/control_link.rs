//! The links to the control instances: heartbeats go to the leader, found by asking.

use {
    cumincart_core::entry::Input,
    cumincart_protocol::{heartbeat::Heartbeat, name::InstanceName, peer::PeerBody},
    cumincart_runtime::link::{LinkError, client::PeerLink, handshake::FleetSecret},
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// How long an answer to a heartbeat is waited for before the next one goes to another control instance. Shorter than
/// a lease, so that a leader that is frozen costs no lease where another leads.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// How many control instances are tried in a row before the next heartbeat.
const ATTEMPTS: usize = 3;

/// The links to all control instances, with the one that answered last as leader.
#[derive(Debug)]
pub struct ControlLinks {
    heartbeats: mpsc::UnboundedSender<Box<Heartbeat>>,
}

#[derive(Debug, Clone)]
struct ControlLink {
    address: Arc<str>,
    link: PeerLink,
}

impl ControlLinks {
    /// Starts the links; answers come as inputs of the core.
    pub fn spawn(
        addresses: &[Arc<str>],
        me: &InstanceName,
        secret: &FleetSecret,
        inputs: mpsc::UnboundedSender<Input>,
        logger: Logger,
    ) -> Self {
        let (unasked, pushed) = mpsc::unbounded_channel();
        let (me, secret) = (me.clone(), secret.clone());
        let links = Links {
            named: addresses.to_vec(),
            links: Vec::new(),
            open: Box::new(move |address| {
                PeerLink::spawn_with(address.clone(), me.clone(), secret.clone(), unasked.clone())
            }),
        };
        tokio::spawn(take_pushed(pushed, inputs.clone()));
        let (heartbeats, queue) = mpsc::unbounded_channel();
        tokio::spawn(carry_heartbeats(links, queue, inputs, logger));
        Self { heartbeats }
    }

    /// Sends a heartbeat; its answer comes as an input, or not at all.
    pub fn send(&self, heartbeat: Box<Heartbeat>) {
        let _ = self.heartbeats.send(heartbeat);
    }
}

/// Takes second answers to a heartbeat: the leader sends one at once when something was committed.
async fn take_pushed(mut pushed: mpsc::UnboundedReceiver<PeerBody>, inputs: mpsc::UnboundedSender<Input>) {
    while let Some(body) = pushed.recv().await {
        let PeerBody::HeartbeatAnswer(answer) = body else { continue };
        if inputs.send(Input::HeartbeatAnswer(answer)).is_err() {
            return;
        }
    }
}

/// What an attempt learned about the control instances.
#[derive(Debug)]
enum Learned {
    /// This one answered.
    Answered(Arc<str>),
    /// None that was asked answered usefully; this one is the next to try.
    Next {
        /// Its address.
        address: Arc<str>,
        /// Why the last one that was asked did not answer the heartbeat.
        why: &'static str,
        /// When the attempt began; an answer since then says that a leader is known.
        began_at: Instant,
    },
    /// This one is said to lead, and there is no link to it yet.
    UnknownLeader(Arc<str>),
    /// These form the group.
    Members(Vec<Arc<str>>),
}

/// Opens a link to an address.
type OpenLink = dyn Fn(&Arc<str>) -> PeerLink + Send;

/// The links to the control instances: to those that settings name, and to those that answers name.
struct Links {
    named: Vec<Arc<str>>,
    links: Vec<ControlLink>,
    open: Box<OpenLink>,
}

impl Links {
    fn add(&mut self, address: &Arc<str>) {
        if !self.links.iter().any(|link| link.address == *address) {
            self.links.push(ControlLink { address: address.clone(), link: (self.open)(address) });
        }
    }

    /// Keeps links to the group's members and to the named addresses only.
    fn set_members(&mut self, members: &[Arc<str>]) {
        let named = &self.named;
        self.links.retain(|link| members.contains(&link.address) || named.contains(&link.address));
        for address in members {
            self.add(address);
        }
    }
}

async fn carry_heartbeats(
    mut links: Links,
    mut queue: mpsc::UnboundedReceiver<Box<Heartbeat>>,
    inputs: mpsc::UnboundedSender<Input>,
    logger: Logger,
) {
    let named = links.named.clone();
    let Some(mut target) = named.first().cloned() else { return };
    for address in &named {
        links.add(address);
    }
    let (learned_sender, mut learned) = mpsc::unbounded_channel();
    let mut last: Option<Box<Heartbeat>> = None;
    let mut answered_at = Instant::now();
    let mut is_answered = true;
    let start = |links: &Links, target: &Arc<str>, heartbeat: Box<Heartbeat>| {
        let attempt = Attempt {
            links: links.links.clone(),
            first: target.clone(),
            began_at: Instant::now(),
            inputs: inputs.clone(),
            learned: learned_sender.clone(),
        };
        tokio::spawn(attempt.run(heartbeat));
    };
    loop {
        tokio::select! {
            heartbeat = queue.recv() => {
                let Some(heartbeat) = heartbeat else { return };
                last = Some(heartbeat.clone());
                start(&links, &target, heartbeat);
            }
            Some(learned) = learned.recv() => match learned {
                Learned::Answered(address) => {
                    answered_at = Instant::now();
                    if !std::mem::replace(&mut is_answered, true) {
                        info!(logger, "heartbeats are answered again"; "address" => &*address);
                    }
                    if address != target {
                        info!(logger, "heartbeats go to another control instance"; "address" => &*address);
                        target = address;
                    }
                }
                Learned::Next { began_at, .. } if answered_at > began_at => {}
                Learned::Next { address, why, .. } => {
                    if std::mem::replace(&mut is_answered, false) {
                        warn!(logger, "a heartbeat was not answered";
                            "address" => &*target, "why" => why, "next" => &*address);
                    }
                    target = address;
                }
                Learned::UnknownLeader(address) => {
                    links.add(&address);
                    target = address;
                    if let Some(heartbeat) = last.take() {
                        start(&links, &target, heartbeat);
                    }
                }
                Learned::Members(members) => links.set_members(&members),
            }
        }
    }
}

/// One heartbeat on its way to the leader.
struct Attempt {
    links: Vec<ControlLink>,
    first: Arc<str>,
    began_at: Instant,
    inputs: mpsc::UnboundedSender<Input>,
    learned: mpsc::UnboundedSender<Learned>,
}

impl Attempt {
    async fn run(self, heartbeat: Box<Heartbeat>) {
        let mut target = self.position(&self.first).unwrap_or_default();
        let mut why = "none leads";
        for _ in 0..ATTEMPTS {
            let body = PeerBody::Heartbeat(heartbeat.clone());
            match self.links[target].link.request(body, ANSWER_TIMEOUT).await {
                Ok(PeerBody::HeartbeatAnswer(answer)) => {
                    self.learn(Learned::Answered(self.links[target].address.clone()));
                    if let Some(members) = &answer.control_addresses {
                        self.learn(Learned::Members(members.clone()));
                    }
                    let _ = self.inputs.send(Input::HeartbeatAnswer(answer));
                    return;
                }
                Ok(PeerBody::NotLeader(Some(leader))) => match self.position(&leader.peer_address) {
                    Some(known) if known != target => target = known,
                    Some(_) => target = self.next(target),
                    None => return self.learn(Learned::UnknownLeader(leader.peer_address)),
                },
                Ok(_) => target = self.next(target),
                Err(LinkError::Down) => {
                    why = "the link is down";
                    target = self.next(target);
                }
                Err(_) => {
                    // The answer may only be late: the next heartbeat tries elsewhere.
                    let next = self.next(target);
                    return self.learn_next(next, "no answer came in time");
                }
            }
        }
        self.learn_next(target, why);
    }

    fn learn_next(&self, next: usize, why: &'static str) {
        let address = self.links[next].address.clone();
        self.learn(Learned::Next { address, why, began_at: self.began_at });
    }

    /// An error says that the links have been closed.
    fn learn(&self, learned: Learned) {
        let _ = self.learned.send(learned);
    }

    fn position(&self, address: &Arc<str>) -> Option<usize> {
        self.links.iter().position(|link| link.address == *address)
    }

    fn next(&self, target: usize) -> usize {
        (target + 1) % self.links.len()
    }
}
