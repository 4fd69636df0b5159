//! Counts the messages and bytes that this process exchanges with other instances, by the kind of message.

use {
    crate::metrics::{Label, Metric},
    cumincart_protocol::peer::PeerBody,
    slog::{Logger, info, warn},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// The interval at which a process logs its traffic.
pub const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The kinds of messages, as metrics and logs name them.
const KINDS: [&str; 9] = [
    "replication",
    "heartbeat",
    "heartbeat_answer",
    "forward",
    "forward_answer",
    "relay",
    "relay_answer",
    "token",
    "refusal",
];

/// The direction of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From this process to another instance.
    Sent,
    /// From another instance to this process.
    Received,
}

/// The messages and bytes of one kind.
struct Count {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Count {
    const fn new() -> Self {
        Self { messages: AtomicU64::new(0), bytes: AtomicU64::new(0) }
    }
}

/// The messages of each kind that were too long to be sent.
static TOO_LONG: [AtomicU64; KINDS.len()] = [const { AtomicU64::new(0) }; KINDS.len()];

/// The sum of [`TOO_LONG`] at the last log line about it.
static TOO_LONG_LOGGED: AtomicU64 = AtomicU64::new(0);

static SENT: [Count; KINDS.len()] = [const { Count::new() }; KINDS.len()];
static RECEIVED: [Count; KINDS.len()] = [const { Count::new() }; KINDS.len()];

/// The traffic of one kind of message since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// The kind of message.
    pub kind: &'static str,
    /// The messages sent.
    pub sent: u64,
    /// The bytes sent, without those of the transport.
    pub sent_bytes: u64,
    /// The messages received.
    pub received: u64,
    /// The bytes received, without those of the transport.
    pub received_bytes: u64,
    /// The messages that were not sent, because the peer would not have accepted their length.
    pub too_long: u64,
}

/// Counts an encoded message.
pub fn count(direction: Direction, body: &PeerBody, bytes: usize) {
    let counts = if direction == Direction::Sent { &SENT } else { &RECEIVED };
    let count = &counts[kind_index(body)];
    count.messages.fetch_add(1, Ordering::Relaxed);
    count.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Counts a message that was too long to be sent.
pub fn count_too_long(body: &PeerBody) {
    TOO_LONG[kind_index(body)].fetch_add(1, Ordering::Relaxed);
}

/// Returns the traffic of each kind.
pub fn snapshot() -> Vec<Traffic> {
    let of_kind = |(index, kind): (usize, &&'static str)| Traffic {
        kind,
        sent: SENT[index].messages.load(Ordering::Relaxed),
        sent_bytes: SENT[index].bytes.load(Ordering::Relaxed),
        received: RECEIVED[index].messages.load(Ordering::Relaxed),
        received_bytes: RECEIVED[index].bytes.load(Ordering::Relaxed),
        too_long: TOO_LONG[index].load(Ordering::Relaxed),
    };
    KINDS.iter().enumerate().map(of_kind).collect()
}

/// Logs the traffic since the start of the process, and which messages since the last line were too long to be sent.
pub fn log(logger: &Logger) {
    let too_long: Vec<Traffic> = snapshot().into_iter().filter(|traffic| traffic.too_long > 0).collect();
    let total = too_long.iter().map(|traffic| traffic.too_long).sum();
    if TOO_LONG_LOGGED.swap(total, Ordering::Relaxed) != total {
        let kinds: Vec<String> =
            too_long.iter().map(|traffic| format!("{} {}", traffic.kind, traffic.too_long)).collect();
        warn!(logger, "messages to other instances were too long to be sent"; "since_start" => kinds.join("; "));
    }
    info!(logger, "peer traffic"; "since_start" => summary());
}

/// Returns the traffic as one line, without kinds that did not occur.
fn summary() -> String {
    let occurred = snapshot().into_iter().filter(|traffic| traffic.sent + traffic.received > 0);
    let lines = occurred.map(|traffic| {
        let Traffic { kind, sent, sent_bytes, received, received_bytes, .. } = traffic;
        format!("{kind} sent {sent} with {sent_bytes} bytes, received {received} with {received_bytes} bytes")
    });
    lines.collect::<Vec<_>>().join("; ")
}

/// Returns the bytes of each kind, and the messages that were too long, as metrics.
pub fn metrics() -> Vec<Metric> {
    let of_kind = |traffic: Traffic| {
        let label = || Label::new("kind", traffic.kind);
        [
            Metric::counter("peer_sent_bytes", "Bytes sent to other instances", traffic.sent_bytes)
                .with(label()),
            Metric::counter(
                "peer_received_bytes",
                "Bytes received from other instances",
                traffic.received_bytes,
            )
            .with(label()),
            Metric::counter(
                "peer_too_long_messages",
                "Messages to other instances that were too long to be sent",
                traffic.too_long,
            )
            .with(label()),
        ]
    };
    snapshot().into_iter().flat_map(of_kind).collect()
}

fn kind_index(body: &PeerBody) -> usize {
    match body {
        PeerBody::Replication(_) => 0,
        PeerBody::Heartbeat(_) | PeerBody::ControlAddressesRequest => 1,
        PeerBody::HeartbeatAnswer(_) | PeerBody::NotLeader(_) | PeerBody::ControlAddresses(_) => 2,
        PeerBody::Forward(_) => 3,
        PeerBody::ForwardAnswer(_) => 4,
        PeerBody::Relay(_) => 5,
        PeerBody::RelayAnswer(_) => 6,
        PeerBody::Token(_) | PeerBody::TokenAnswer(_) => 7,
        PeerBody::Refused(_) => 8,
    }
}
