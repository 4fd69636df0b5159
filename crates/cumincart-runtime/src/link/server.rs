//! The accepting side of peer links.

use {
    super::{
        LinkError, codec,
        handshake::{self, FleetSecret, Hello, Proof},
    },
    crate::socket,
    cumincart_protocol::{
        name::InstanceName,
        peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION, PeerBody},
    },
    futures_util::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        time::timeout,
    },
    tokio_tungstenite::{
        WebSocketStream, accept_async_with_config,
        tungstenite::{Message, protocol::WebSocketConfig},
    },
};

/// How long a peer may take for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The buffers of a link, in bytes: most messages are smaller, and an instance has many links.
const BUFFER_BYTES: usize = 4 * 1_024;

/// How many answers may wait for a slow peer before its link is closed.
const ANSWER_QUEUE: usize = 4_096;

/// A message that came in, and the way back to its sender.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The sender, as it proved in the handshake.
    pub from: InstanceName,
    /// The content.
    pub body: PeerBody,
    /// Answers the message.
    pub reply: Reply,
}

/// Answers one message over the link that it came by, once or again.
#[derive(Debug)]
pub struct Reply {
    me: InstanceName,
    request: u64,
    answers: mpsc::Sender<Envelope>,
}

impl Reply {
    /// Sends the answer; it is lost where the link is lost or its peer does not read.
    pub fn send(&self, body: PeerBody) {
        let from = self.me.clone();
        let envelope = Envelope { version: PEER_VERSION, from, request: self.request, body };
        // A full queue means that the peer has stopped reading; it will ask again on a new link.
        let _ = self.answers.try_send(envelope);
    }
}

/// A bound peer address. Dropping it closes the address and all of its links.
#[derive(Debug)]
pub struct PeerServer {
    /// The address that was bound.
    pub address: SocketAddr,
    _open: watch::Sender<()>,
}

#[derive(Clone)]
struct Shared {
    me: InstanceName,
    secret: FleetSecret,
    received: mpsc::UnboundedSender<ReceivedMessage>,
    open: watch::Receiver<()>,
}

impl PeerServer {
    /// Binds an address and hands every message to `received`.
    pub async fn bind(
        address: &str,
        me: InstanceName,
        secret: FleetSecret,
        received: mpsc::UnboundedSender<ReceivedMessage>,
    ) -> Result<Self, LinkError> {
        let bind_error = |source| LinkError::Bind { address: address.to_owned(), source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (open_sender, open) = watch::channel(());
        tokio::spawn(accept_links(listener, Shared { me, secret, received, open }));
        Ok(Self { address, _open: open_sender })
    }
}

async fn accept_links(listener: TcpListener, mut shared: Shared) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shared.open.changed() => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(serve_link(stream, shared.clone()));
        }
    }
}

async fn serve_link(stream: TcpStream, shared: Shared) {
    // Where the options can't be set, the link works and its loss is noticed late.
    let _ = socket::prepare(&stream);
    let Ok(Ok((socket, from))) = timeout(HANDSHAKE_TIMEOUT, accept_handshake(stream, &shared.secret)).await
    else {
        return;
    };
    let (sink, incoming) = socket.split();
    let (answers, outgoing) = mpsc::channel(ANSWER_QUEUE);
    let writer = tokio::spawn(write_answers(sink, outgoing));
    read_messages(incoming, from, answers, shared).await;
    // Replies that are still held would keep the writer, and with it the socket, open.
    writer.abort();
}

async fn read_messages(
    mut incoming: SplitStream<WebSocketStream<TcpStream>>,
    from: InstanceName,
    answers: mpsc::Sender<Envelope>,
    mut shared: Shared,
) {
    loop {
        let message = tokio::select! {
            message = incoming.next() => message,
            _ = shared.open.changed() => return,
        };
        let Some(Ok(message)) = message else { return };
        let Message::Binary(bytes) = message else { continue };
        let Ok(envelope) = codec::decode(&bytes) else { return };
        if envelope.from != from {
            return;
        }
        let reply = Reply { me: shared.me.clone(), request: envelope.request, answers: answers.clone() };
        if shared.received.send(ReceivedMessage { from: envelope.from, body: envelope.body, reply }).is_err()
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
    mut outgoing: mpsc::Receiver<Envelope>,
) {
    while let Some(envelope) = outgoing.recv().await {
        let bytes = codec::encode(&envelope);
        if sink.send(Message::Binary(bytes.into())).await.is_err() {
            return;
        }
    }
}

/// The limits of a peer link's messages.
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
        .map_err(|_| LinkError::Handshake { reason: "a handshake message can't be read" })
}
