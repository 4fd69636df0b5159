//! The connecting side of peer links.

use {
    super::{
        LinkError, codec,
        handshake::{self, Challenge, FleetSecret},
        lanes::{self, LaneReceiver, LaneSender},
        server::{receive, send, socket_config},
        traffic::{self, Direction},
    },
    crate::{pending::Pending, socket},
    cumincart_protocol::{
        name::InstanceName,
        peer::{Envelope, PEER_VERSION, PeerBody},
    },
    futures_util::{SinkExt, StreamExt},
    rand::RngExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        time::{sleep, timeout},
    },
    tokio_tungstenite::{WebSocketStream, client_async_with_config, tungstenite::Message},
};

/// The timeouts of connecting and the handshake, used in turn: several round trips between regions. While a peer has no
/// power, TCP retransmits the first packet only after one second, so short attempts reach a restarted peer sooner. The
/// long attempt is for a slow peer.
pub const CONNECT_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(300), Duration::from_secs(1)];

/// The range of the random delay before a link is reopened, in milliseconds.
const RECONNECT_MS: std::ops::Range<u64> = 50..250;

/// The number of messages that may be queued for a link.
const SEND_QUEUE: usize = 4_096;

/// A link to one peer that reconnects automatically. Dropping all clones closes the link.
#[derive(Debug, Clone)]
pub struct PeerLink {
    outgoing: LaneSender<OutgoingMessage>,
    phase: Arc<AtomicU8>,
}

/// The first attempt to connect is in progress.
const OPENING: u8 = 0;

/// The link is connected.
const UP: u8 = 1;

/// The connection was lost, or an attempt to connect failed.
const DOWN: u8 = 2;

/// A message to the peer, with the channel for its answer if one is expected.
#[derive(Debug)]
struct OutgoingMessage {
    body: PeerBody,
    answer: Option<oneshot::Sender<Result<PeerBody, LinkError>>>,
}

type Answers = Pending<Result<PeerBody, LinkError>>;

impl PeerLink {
    /// Starts a link to the peer at `address`. Messages that match no pending request are dropped.
    pub fn spawn(address: Arc<str>, instance: InstanceName, secret: FleetSecret) -> Self {
        let (unsolicited, _) = mpsc::unbounded_channel();
        Self::spawn_with(address, instance, secret, unsolicited)
    }

    /// Starts a link to the peer at `address`. Messages that match no pending request are sent to `unsolicited`:
    /// further answers to a request, and answers that arrive after the request has timed out.
    pub fn spawn_with(
        address: Arc<str>,
        instance: InstanceName,
        secret: FleetSecret,
        unsolicited: mpsc::UnboundedSender<PeerBody>,
    ) -> Self {
        let (outgoing, queue) = lanes::channel(SEND_QUEUE);
        let phase = Arc::new(AtomicU8::new(OPENING));
        tokio::spawn(run_link(Peer { address, instance, secret, phase: phase.clone() }, queue, unsolicited));
        Self { outgoing, phase }
    }

    /// Returns whether the link is connected or being opened for the first time. Messages are sent without waiting, or
    /// after the handshake. A link that was lost or could not be opened is not usable until it is connected again.
    pub fn is_usable(&self) -> bool {
        self.phase.load(Ordering::Relaxed) != DOWN
    }

    /// Sends a message that needs no answer. The message is dropped while the link is down.
    pub fn send(&self, body: PeerBody) {
        let is_urgent = lanes::is_urgent(&body);
        let _ = self.outgoing.try_send(OutgoingMessage { body, answer: None }, is_urgent);
    }

    /// Sends a message and waits for its answer. [`LinkError::Down`] and [`LinkError::TooLong`] mean that nothing was
    /// sent.
    pub async fn request(&self, body: PeerBody, wait: Duration) -> Result<PeerBody, LinkError> {
        let (answer, answered) = oneshot::channel();
        let is_urgent = lanes::is_urgent(&body);
        self.outgoing
            .try_send(OutgoingMessage { body, answer: Some(answer) }, is_urgent)
            .map_err(|_| LinkError::Down)?;
        match timeout(wait, answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(LinkError::Lost),
        }
    }
}

/// The remote address and the identity that the link uses in the handshake.
struct Peer {
    address: Arc<str>,
    instance: InstanceName,
    secret: FleetSecret,
    phase: Arc<AtomicU8>,
}

async fn run_link(
    peer: Peer,
    mut queue: LaneReceiver<OutgoingMessage>,
    unsolicited: mpsc::UnboundedSender<PeerBody>,
) {
    for limit in CONNECT_TIMEOUTS.into_iter().cycle() {
        if let Ok(Ok(socket)) = timeout(limit, connect(&peer)).await {
            peer.phase.store(UP, Ordering::Relaxed);
            let ended = exchange_messages(socket, &peer.instance, &mut queue, &unsolicited).await;
            if ended.is_none() {
                return;
            }
        }
        peer.phase.store(DOWN, Ordering::Relaxed);
        if !wait_to_reconnect(&mut queue).await {
            return;
        }
    }
}

async fn connect(peer: &Peer) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let stream = TcpStream::connect(&*peer.address).await.map_err(|_| LinkError::Down)?;
    // The link works without the socket options, but then takes longer to detect a lost peer.
    let _ = socket::prepare(&stream);
    let url = format!("ws://{}/", peer.address);
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(|_| LinkError::Handshake { reason: "the peer does not speak WebSocket" })?;
    let hello = handshake::hello(&peer.instance);
    send(&mut socket, &hello).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    let proof = handshake::prove(&peer.secret, &hello, &challenge)?;
    send(&mut socket, &proof).await?;
    Ok(socket)
}

/// Sends and receives messages until the link is lost. Returns `None` when the last handle is dropped.
async fn exchange_messages(
    socket: WebSocketStream<TcpStream>,
    instance: &InstanceName,
    queue: &mut LaneReceiver<OutgoingMessage>,
    unsolicited: &mpsc::UnboundedSender<PeerBody>,
) -> Option<()> {
    let mut answers = Answers::default();
    let (mut sink, mut incoming) = socket.split();
    loop {
        tokio::select! {
            message = queue.recv() => {
                let message = message?;
                // The requester stopped waiting before the link was open; what is sent now would run unnoticed.
                if message.answer.as_ref().is_some_and(oneshot::Sender::is_closed) {
                    continue;
                }
                let envelope = envelope(instance, &mut answers, message);
                let bytes = match codec::encode(&envelope) {
                    Ok(bytes) => bytes,
                    Err(error) => {
                        traffic::count_too_long(&envelope.body);
                        answers.answer(envelope.request, Err(error));
                        continue;
                    }
                };
                traffic::count(Direction::Sent, &envelope.body, bytes.len());
                if sink.send(Message::Binary(bytes.into())).await.is_err() {
                    return Some(());
                }
            }
            message = incoming.next() => {
                let Some(Ok(message)) = message else { return Some(()) };
                let Message::Binary(bytes) = message else { continue };
                let Ok(envelope) = codec::decode(&bytes) else { return Some(()) };
                traffic::count(Direction::Received, &envelope.body, bytes.len());
                dispatch_answer(&mut answers, envelope, unsolicited);
            }
        }
    }
}

fn dispatch_answer(answers: &mut Answers, envelope: Envelope, unsolicited: &mpsc::UnboundedSender<PeerBody>) {
    match answers.remove(envelope.request) {
        Some(sender) => {
            // An error means that the requester no longer waits.
            let _ = sender.send(Ok(envelope.body));
        }
        None => {
            // An error means that unsolicited messages have no receiver.
            let _ = unsolicited.send(envelope.body);
        }
    }
}

fn envelope(instance: &InstanceName, answers: &mut Answers, message: OutgoingMessage) -> Envelope {
    let request = match message.answer {
        Some(answer) => {
            answers.remove_closed();
            answers.add(answer)
        }
        None => 0,
    };
    Envelope { version: PEER_VERSION, from: instance.clone(), request, body: message.body }
}

/// Waits before the next connection attempt and rejects messages sent meanwhile with [`LinkError::Down`]. Returns
/// `false` when the last handle is dropped.
async fn wait_to_reconnect(queue: &mut LaneReceiver<OutgoingMessage>) -> bool {
    let pause_ms = rand::rng().random_range(RECONNECT_MS);
    let pause = sleep(Duration::from_millis(pause_ms));
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return true,
            message = queue.recv() => match message {
                None => return false,
                Some(OutgoingMessage { answer: Some(answer), .. }) => {
                    let _ = answer.send(Err(LinkError::Down));
                }
                Some(_) => {}
            },
        }
    }
}
