//! The accepting side of peer links.

use {
    super::{
        LinkError, codec,
        handshake::{self, FleetSecret, Hello, Proof},
        lanes::{self, LaneReceiver, LaneSender},
        traffic::{self, Direction},
    },
    crate::socket,
    cumincart_protocol::{
        name::InstanceName,
        peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION, PeerBody},
        refusal::{Refusal, RefusalCode},
    },
    futures_util::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch},
        time::{sleep, timeout},
    },
    tokio_tungstenite::{
        WebSocketStream, accept_async_with_config,
        tungstenite::{Message, protocol::WebSocketConfig},
    },
};

/// The timeout of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The number of connections that may be in the handshake at a time. Others are closed at once; peers try again.
const HANDSHAKES_MAX: usize = 128;

/// The size of a link's read and write buffers, in bytes. Most messages are smaller, and an instance has many links.
const BUFFER_BYTES: usize = 4 * 1_024;

/// The number of answers that may be queued for a slow peer. Further answers are dropped.
const ANSWER_QUEUE: usize = 4_096;

/// A message from a peer, with the handle to answer it.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The sender, as authenticated in the handshake.
    pub from: InstanceName,
    /// The content of the message.
    pub body: PeerBody,
    /// The handle to answer the message.
    pub reply: Reply,
}

/// Answers one message over the link on which it arrived. A message may be answered more than once. Answers
/// overtake each other as [`lanes`] says.
#[derive(Debug)]
pub struct Reply {
    instance: InstanceName,
    request: u64,
    answers: LaneSender<Envelope>,
}

impl Reply {
    /// Sends an answer. It is dropped if the link is lost or the peer does not read. One that is longer than the peer
    /// accepts is replaced by a refusal, which states that the request may have run.
    pub fn send(&self, body: PeerBody) {
        let from = self.instance.clone();
        let envelope = Envelope { version: PEER_VERSION, from, request: self.request, body };
        // A full queue means that the peer has stopped reading. It repeats its request on a new link.
        let is_urgent = lanes::is_urgent(&envelope.body);
        let _ = self.answers.try_send(envelope, is_urgent);
    }
}

/// A server for peer links. Dropping it closes its address and all of its links.
#[derive(Debug)]
pub struct PeerServer {
    /// The bound address.
    pub address: SocketAddr,
    /// Its drop is the signal to close.
    _closing: watch::Sender<()>,
}

/// What the tasks of all links of a server share.
#[derive(Clone)]
struct LinkContext {
    instance: InstanceName,
    secret: FleetSecret,
    received: mpsc::UnboundedSender<ReceivedMessage>,
    closing: watch::Receiver<()>,
}

impl PeerServer {
    /// Binds an address and sends every message from a peer to `received`.
    pub async fn bind(
        address: &str,
        instance: InstanceName,
        secret: FleetSecret,
        received: mpsc::UnboundedSender<ReceivedMessage>,
    ) -> Result<Self, LinkError> {
        let bind_error = |source| LinkError::Bind { address: address.to_owned(), source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (closing_sender, closing) = watch::channel(());
        tokio::spawn(accept_links(listener, LinkContext { instance, secret, received, closing }));
        Ok(Self { address, _closing: closing_sender })
    }
}

async fn accept_links(listener: TcpListener, mut context: LinkContext) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = context.closing.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Without descriptors, accepting would fail again at once.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without a permit the stream is dropped.
        if let Ok(permit) = handshakes.clone().try_acquire_owned() {
            tokio::spawn(serve_link(stream, context.clone(), permit));
        }
    }
}

async fn serve_link(stream: TcpStream, context: LinkContext, permit: OwnedSemaphorePermit) {
    // Without the options the link works, but its loss is detected late.
    let _ = socket::prepare(&stream);
    let Ok(Ok((socket, from))) = timeout(HANDSHAKE_TIMEOUT, accept_handshake(stream, &context.secret)).await
    else {
        return;
    };
    drop(permit);
    let (sink, incoming) = socket.split();
    let (answers, outgoing) = lanes::channel(ANSWER_QUEUE);
    let writer = tokio::spawn(write_answers(sink, outgoing));
    read_messages(incoming, from, answers, context).await;
    // `Reply` handles that still exist would otherwise keep the writer and the socket open.
    writer.abort();
}

async fn read_messages(
    mut incoming: SplitStream<WebSocketStream<TcpStream>>,
    from: InstanceName,
    answers: LaneSender<Envelope>,
    mut context: LinkContext,
) {
    loop {
        let message = tokio::select! {
            message = incoming.next() => message,
            _ = context.closing.changed() => return,
        };
        let Some(Ok(message)) = message else { return };
        let Message::Binary(bytes) = message else { continue };
        let Ok(envelope) = codec::decode(&bytes) else { return };
        traffic::count(Direction::Received, &envelope.body, bytes.len());
        if envelope.from != from {
            return;
        }
        let reply =
            Reply { instance: context.instance.clone(), request: envelope.request, answers: answers.clone() };
        if context.received.send(ReceivedMessage { from: envelope.from, body: envelope.body, reply }).is_err()
        {
            return;
        }
    }
}

async fn accept_handshake(
    stream: TcpStream,
    secret: &FleetSecret,
) -> Result<(WebSocketStream<TcpStream>, InstanceName), LinkError> {
    let mut socket = accept_async_with_config(stream, Some(socket_config()))
        .await
        .map_err(|_| LinkError::Handshake { reason: "the peer does not speak WebSocket" })?;
    let hello: Hello = receive(&mut socket).await?;
    let challenge = handshake::challenge(secret, &hello)?;
    send(&mut socket, &challenge).await?;
    let proof: Proof = receive(&mut socket).await?;
    handshake::check(secret, &hello, &challenge, &proof)?;
    Ok((socket, hello.name))
}

async fn write_answers(
    mut sink: SplitSink<WebSocketStream<TcpStream>, Message>,
    mut outgoing: LaneReceiver<Envelope>,
) {
    while let Some(mut envelope) = outgoing.recv().await {
        let Ok(bytes) = codec::encode(&envelope).or_else(|_| {
            traffic::count_too_long(&envelope.body);
            envelope.body = too_long_answer();
            codec::encode(&envelope)
        }) else {
            continue;
        };
        traffic::count(Direction::Sent, &envelope.body, bytes.len());
        if sink.send(Message::Binary(bytes.into())).await.is_err() {
            return;
        }
    }
}

/// Returns the answer that takes the place of one that is longer than the peer accepts. What was asked for may have run.
fn too_long_answer() -> PeerBody {
    let message = "the answer is longer than instances may send to each other";
    PeerBody::Refused(Refusal::unknown(RefusalCode::Internal, message))
}

/// Returns the WebSocket limits of a peer link.
pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(PEER_MAX_BYTES))
        .max_frame_size(Some(PEER_MAX_BYTES))
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
}

/// Sends one handshake message.
pub(super) async fn send<S>(
    socket: &mut WebSocketStream<S>,
    message: &(impl Serialize + Sync),
) -> Result<(), LinkError>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to a vector can't fail");
    socket.send(Message::Binary(bytes.into())).await.map_err(|_| LinkError::Down)
}

/// Receives one handshake message.
pub(super) async fn receive<S, T>(socket: &mut WebSocketStream<S>) -> Result<T, LinkError>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
    T: DeserializeOwned,
{
    let Some(Ok(Message::Binary(bytes))) = socket.next().await else {
        return Err(LinkError::Down);
    };
    ciborium::from_reader(bytes.as_ref())
        .map_err(|_| LinkError::Handshake { reason: "a handshake message can't be decoded" })
}
