//! The links to the control instances: heartbeats go to the leader, found by asking.

use {
    cumincart_core::entry::Input,
    cumincart_protocol::{
        heartbeat::Heartbeat,
        name::InstanceName,
        peer::{Leader, PeerBody},
    },
    cumincart_runtime::link::{LinkError, client::PeerLink, handshake::FleetSecret},
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
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
        let links = addresses
            .iter()
            .map(|address| ControlLink {
                address: address.clone(),
                link: PeerLink::spawn_with(address.clone(), me.clone(), secret.clone(), unasked.clone()),
            })
            .collect();
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

async fn carry_heartbeats(
    links: Vec<ControlLink>,
    mut queue: mpsc::UnboundedReceiver<Box<Heartbeat>>,
    inputs: mpsc::UnboundedSender<Input>,
    logger: Logger,
) {
    if links.is_empty() {
        return;
    }
    let (targets, mut found) = mpsc::unbounded_channel();
    let mut target = 0;
    loop {
        tokio::select! {
            heartbeat = queue.recv() => {
                let Some(heartbeat) = heartbeat else { return };
                let attempt = Attempt {
                    links: links.clone(),
                    first: target,
                    inputs: inputs.clone(),
                    targets: targets.clone(),
                };
                tokio::spawn(attempt.run(heartbeat));
            }
            Some(next) = found.recv() => {
                if next != target {
                    target = next;
                    info!(logger, "heartbeats go to another control instance"; "address" => &*links[target].address);
                }
            }
        }
    }
}

/// One heartbeat on its way to the leader.
struct Attempt {
    links: Vec<ControlLink>,
    first: usize,
    inputs: mpsc::UnboundedSender<Input>,
    targets: mpsc::UnboundedSender<usize>,
}

impl Attempt {
    async fn run(self, heartbeat: Box<Heartbeat>) {
        let mut target = self.first;
        for _ in 0..ATTEMPTS {
            let body = PeerBody::Heartbeat(heartbeat.clone());
            match self.links[target].link.ask(body, ANSWER_TIMEOUT).await {
                Ok(PeerBody::HeartbeatAnswer(answer)) => {
                    let _ = self.targets.send(target);
                    let _ = self.inputs.send(Input::HeartbeatAnswer(answer));
                    return;
                }
                Ok(PeerBody::NotLeader(Some(leader))) => target = self.leader_or_next(&leader, target),
                Ok(_) | Err(LinkError::Down) => target = self.next(target),
                Err(_) => {
                    // The answer may only be late: the next heartbeat tries elsewhere.
                    let _ = self.targets.send(self.next(target));
                    return;
                }
            }
        }
        let _ = self.targets.send(target);
    }

    fn leader_or_next(&self, leader: &Leader, target: usize) -> usize {
        let known = self.links.iter().position(|link| link.address == leader.peer_address);
        known.filter(|known| *known != target).unwrap_or_else(|| self.next(target))
    }

    fn next(&self, target: usize) -> usize {
        (target + 1) % self.links.len()
    }
}
