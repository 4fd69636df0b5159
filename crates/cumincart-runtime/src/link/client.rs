//! The connecting side of peer links.

use {
    super::{
        LinkError, codec,
        handshake::{self, Challenge, FleetSecret},
        server::{receive, send, socket_config},
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
            atomic::{AtomicBool, Ordering},
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

/// How long connecting and the handshake may take, by turns: several round trips between regions. A peer without power
/// does not answer, and the first packet is sent again only after a second, so that a new attempt reaches one that
/// is back sooner; the longest is for a peer that is slow.
pub const CONNECT_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(300), Duration::from_secs(1)];

/// The shortest and longest pause before a link is opened again, in milliseconds.
const RECONNECT_MS: std::ops::Range<u64> = 50..250;

/// How many messages may wait for a link.
const SEND_QUEUE: usize = 4_096;

/// A link to one peer that opens itself again when it is lost. Dropping all clones of it closes the link.
#[derive(Debug, Clone)]
pub struct PeerLink {
    outgoing: mpsc::Sender<OutgoingMessage>,
    is_up: Arc<AtomicBool>,
}

#[derive(Debug)]
struct OutgoingMessage {
    body: PeerBody,
    answer: Option<oneshot::Sender<Result<PeerBody, LinkError>>>,
}

type Answers = Pending<Result<PeerBody, LinkError>>;

impl PeerLink {
    /// Starts a link to the peer at this address. Messages that answer no waiting request are dropped.
    pub fn spawn(address: Arc<str>, me: InstanceName, secret: FleetSecret) -> Self {
        let (unasked, _) = mpsc::unbounded_channel();
        Self::spawn_with(address, me, secret, unasked)
    }

    /// Starts a link to the peer at this address. Messages that answer no waiting request go to `unasked`: a second
    /// answer, or one that came too late.
    pub fn spawn_with(
        address: Arc<str>,
        me: InstanceName,
        secret: FleetSecret,
        unasked: mpsc::UnboundedSender<PeerBody>,
    ) -> Self {
        let (outgoing, queue) = mpsc::channel(SEND_QUEUE);
        let is_up = Arc::new(AtomicBool::new(false));
        tokio::spawn(run_link(Peer { address, me, secret, is_up: is_up.clone() }, queue, unasked));
        Self { outgoing, is_up }
    }

    /// Whether the link is open, as far as is known: a message would be sent at once.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Sends a message that needs no answer; it is lost while the link is down.
    pub fn send(&self, body: PeerBody) {
        let _ = self.outgoing.try_send(OutgoingMessage { body, answer: None });
    }

    /// Sends a message and waits for its answer. [`LinkError::Down`] says that nothing was sent.
    pub async fn request(&self, body: PeerBody, wait: Duration) -> Result<PeerBody, LinkError> {
        let (answer, answered) = oneshot::channel();
        self.outgoing
            .try_send(OutgoingMessage { body, answer: Some(answer) })
            .map_err(|_| LinkError::Down)?;
        match timeout(wait, answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(LinkError::Lost),
        }
    }
}

/// Who is at the other end, and as whom to greet it.
struct Peer {
    address: Arc<str>,
    me: InstanceName,
    secret: FleetSecret,
    is_up: Arc<AtomicBool>,
}

async fn run_link(
    peer: Peer,
    mut queue: mpsc::Receiver<OutgoingMessage>,
    unasked: mpsc::UnboundedSender<PeerBody>,
) {
    for limit in CONNECT_TIMEOUTS.into_iter().cycle() {
        if let Ok(Ok(socket)) = timeout(limit, connect(&peer)).await {
            peer.is_up.store(true, Ordering::Relaxed);
            let ended = carry(socket, &peer.me, &mut queue, &unasked).await;
            peer.is_up.store(false, Ordering::Relaxed);
            if ended.is_none() {
                return;
            }
        }
        if !refuse_waiting(&mut queue).await {
            return;
        }
    }
}

async fn connect(peer: &Peer) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let stream = TcpStream::connect(&*peer.address).await.map_err(|_| LinkError::Down)?;
    // Where the options can't be set, the link works and its loss is noticed late.
    let _ = socket::prepare(&stream);
    let url = format!("ws://{}/", peer.address);
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(|_| LinkError::Handshake { reason: "the peer does not speak WebSocket" })?;
    let hello = handshake::hello(&peer.me);
    send(&mut socket, &hello).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    let proof = handshake::prove(&peer.secret, &hello, &challenge)?;
    send(&mut socket, &proof).await?;
    Ok(socket)
}

/// Carries messages until the link is lost. Gives `None` when the last handle is dropped.
async fn carry(
    socket: WebSocketStream<TcpStream>,
    me: &InstanceName,
    queue: &mut mpsc::Receiver<OutgoingMessage>,
    unasked: &mpsc::UnboundedSender<PeerBody>,
) -> Option<()> {
    let mut answers = Answers::default();
    let (mut sink, mut incoming) = socket.split();
    loop {
        tokio::select! {
            message = queue.recv() => {
                let envelope = envelope(me, &mut answers, message?);
                let bytes = codec::encode(&envelope);
                if sink.send(Message::Binary(bytes.into())).await.is_err() {
                    return Some(());
                }
            }
            message = incoming.next() => {
                let Some(Ok(message)) = message else { return Some(()) };
                let Message::Binary(bytes) = message else { continue };
                let Ok(envelope) = codec::decode(&bytes) else { return Some(()) };
                take_answer(&mut answers, envelope, unasked);
            }
        }
    }
}

fn take_answer(answers: &mut Answers, envelope: Envelope, unasked: &mpsc::UnboundedSender<PeerBody>) {
    match answers.remove(envelope.request) {
        Some(waiting) => {
            // An error says that the asker has given up.
            let _ = waiting.send(Ok(envelope.body));
        }
        None => {
            // An error says that nobody listens to such messages.
            let _ = unasked.send(envelope.body);
        }
    }
}

fn envelope(me: &InstanceName, answers: &mut Answers, message: OutgoingMessage) -> Envelope {
    let request = match message.answer {
        Some(answer) => {
            answers.remove_closed();
            answers.add(answer)
        }
        None => 0,
    };
    Envelope { version: PEER_VERSION, from: me.clone(), request, body: message.body }
}

/// Pauses before the next attempt; messages that come meanwhile are refused as not sent.
async fn refuse_waiting(queue: &mut mpsc::Receiver<OutgoingMessage>) -> bool {
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
