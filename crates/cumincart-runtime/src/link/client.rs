//! The connecting side of peer links.

use {
    super::{
        LinkError, codec,
        handshake::{self, Challenge, FleetSecret},
        server::{receive, send, socket_config},
    },
    crate::pending::Pending,
    cumincart_protocol::{
        name::InstanceName,
        peer::{Envelope, PEER_VERSION, PeerBody},
    },
    futures_util::{SinkExt, StreamExt},
    rand::RngExt,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        time::{sleep, timeout},
    },
    tokio_tungstenite::{WebSocketStream, client_async_with_config, tungstenite::Message},
};

/// How long connecting and the handshake may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The shortest and longest pause before a link is opened again, in milliseconds.
const RECONNECT_MS: std::ops::Range<u64> = 50..250;

/// How many messages may wait for a link.
const SEND_QUEUE: usize = 4_096;

/// A link to one peer that opens itself again when it is lost. Dropping all clones of it closes the link.
#[derive(Debug, Clone)]
pub struct PeerLink {
    orders: mpsc::Sender<Order>,
}

#[derive(Debug)]
struct Order {
    body: PeerBody,
    answer: Option<oneshot::Sender<Result<PeerBody, LinkError>>>,
}

type Answers = Pending<Result<PeerBody, LinkError>>;

impl PeerLink {
    /// Starts a link to the peer at this address.
    pub fn spawn(address: Arc<str>, me: InstanceName, secret: FleetSecret) -> Self {
        let (orders, queue) = mpsc::channel(SEND_QUEUE);
        tokio::spawn(run_link(address, me, secret, queue));
        Self { orders }
    }

    /// Sends a message that needs no answer; it is lost while the link is down.
    pub fn send(&self, body: PeerBody) {
        let _ = self.orders.try_send(Order { body, answer: None });
    }

    /// Sends a message and waits for its answer. [`LinkError::Down`] says that nothing was sent.
    pub async fn ask(&self, body: PeerBody, wait: Duration) -> Result<PeerBody, LinkError> {
        let (answer, answered) = oneshot::channel();
        self.orders.try_send(Order { body, answer: Some(answer) }).map_err(|_| LinkError::Down)?;
        match timeout(wait, answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(LinkError::Lost),
        }
    }
}

async fn run_link(
    address: Arc<str>,
    me: InstanceName,
    secret: FleetSecret,
    mut queue: mpsc::Receiver<Order>,
) {
    loop {
        if let Ok(Ok(socket)) = timeout(CONNECT_TIMEOUT, connect(&address, &me, &secret)).await
            && carry(socket, &me, &mut queue).await.is_none()
        {
            return;
        }
        if !refuse_waiting(&mut queue).await {
            return;
        }
    }
}

async fn connect(
    address: &str,
    me: &InstanceName,
    secret: &FleetSecret,
) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let stream = TcpStream::connect(address).await.map_err(|_| LinkError::Down)?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(|_| LinkError::Handshake { reason: "the peer does not speak WebSocket" })?;
    let hello = handshake::hello(me);
    send(&mut socket, &hello).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    let proof = handshake::prove(secret, &hello, &challenge)?;
    send(&mut socket, &proof).await?;
    Ok(socket)
}

/// Carries messages until the link is lost. Gives `None` when the last handle is dropped.
async fn carry(
    socket: WebSocketStream<TcpStream>,
    me: &InstanceName,
    queue: &mut mpsc::Receiver<Order>,
) -> Option<()> {
    let mut answers = Answers::default();
    let (mut sink, mut incoming) = socket.split();
    loop {
        tokio::select! {
            order = queue.recv() => {
                let envelope = envelope(me, &mut answers, order?);
                let bytes = codec::encode(&envelope);
                if sink.send(Message::Binary(bytes.into())).await.is_err() {
                    return Some(());
                }
            }
            message = incoming.next() => {
                let Some(Ok(message)) = message else { return Some(()) };
                let Message::Binary(bytes) = message else { continue };
                let Ok(envelope) = codec::decode(&bytes) else { return Some(()) };
                answers.answer(envelope.request, Ok(envelope.body));
            }
        }
    }
}

fn envelope(me: &InstanceName, answers: &mut Answers, order: Order) -> Envelope {
    let request = match order.answer {
        Some(answer) => {
            answers.forget_closed();
            answers.add(answer)
        }
        None => 0,
    };
    Envelope { version: PEER_VERSION, from: me.clone(), request, body: order.body }
}

/// Pauses before the next attempt; messages that come meanwhile are refused as not sent.
async fn refuse_waiting(queue: &mut mpsc::Receiver<Order>) -> bool {
    let pause_ms = rand::rng().random_range(RECONNECT_MS);
    let pause = sleep(Duration::from_millis(pause_ms));
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return true,
            order = queue.recv() => match order {
                None => return false,
                Some(Order { answer: Some(answer), .. }) => {
                    let _ = answer.send(Err(LinkError::Down));
                }
                Some(_) => {}
            },
        }
    }
}
