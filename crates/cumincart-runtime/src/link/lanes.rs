//! The two queues of a link's writer: what keeps leases and elections going overtakes large messages that wait.

use {
    cumincart_protocol::{heartbeat::CatalogueUpdate, peer::PeerBody, replication::ReplicationBody},
    tokio::sync::mpsc::{self, error::TrySendError},
};

/// The number of urgent messages that may be queued for a link. They are small, and each of them is outdated by a later
/// one.
const URGENT_QUEUE: usize = 1_024;

/// Returns whether a message overtakes others. Messages whose order matters are on the same side: updates of the
/// catalogue, and records of the log.
pub fn is_urgent(body: &PeerBody) -> bool {
    match body {
        PeerBody::Replication(message) => matches!(
            message.body,
            ReplicationBody::PreVote(_)
                | ReplicationBody::PreVoteAnswer(_)
                | ReplicationBody::Vote(_)
                | ReplicationBody::VoteAnswer(_)
                | ReplicationBody::AppendAnswer(_)
        ),
        PeerBody::HeartbeatAnswer(answer) => matches!(answer.update, CatalogueUpdate::None),
        PeerBody::Heartbeat(_)
        | PeerBody::NotLeader(_)
        | PeerBody::Token(_)
        | PeerBody::TokenAnswer(_)
        | PeerBody::ControlAddressesRequest
        | PeerBody::ControlAddresses(_) => true,
        PeerBody::Forward(_)
        | PeerBody::ForwardAnswer(_)
        | PeerBody::Relay(_)
        | PeerBody::RelayAnswer(_)
        | PeerBody::Refused(_) => false,
    }
}

/// The sending half of a link's queues.
#[derive(Debug)]
pub(super) struct LaneSender<T> {
    urgent: mpsc::Sender<T>,
    ordinary: mpsc::Sender<T>,
}

impl<T> Clone for LaneSender<T> {
    fn clone(&self) -> Self {
        Self { urgent: self.urgent.clone(), ordinary: self.ordinary.clone() }
    }
}

/// The receiving half of a link's queues.
#[derive(Debug)]
pub(super) struct LaneReceiver<T> {
    urgent: mpsc::Receiver<T>,
    ordinary: mpsc::Receiver<T>,
}

/// Returns queues with room for this many ordinary messages.
pub(super) fn channel<T>(ordinary_len: usize) -> (LaneSender<T>, LaneReceiver<T>) {
    let (urgent_sender, urgent) = mpsc::channel(URGENT_QUEUE.min(ordinary_len));
    let (ordinary_sender, ordinary) = mpsc::channel(ordinary_len);
    let sender = LaneSender { urgent: urgent_sender, ordinary: ordinary_sender };
    (sender, LaneReceiver { urgent, ordinary })
}

impl<T> LaneSender<T> {
    /// Queues a message. Fails if its queue is full or the link has ended.
    pub(super) fn try_send(&self, message: T, is_urgent: bool) -> Result<(), TrySendError<T>> {
        let queue = if is_urgent { &self.urgent } else { &self.ordinary };
        queue.try_send(message)
    }
}

impl<T> LaneReceiver<T> {
    /// Returns the next message, urgent ones first; `None` once all senders are dropped and the queues are empty.
    /// Cancelling it loses no message.
    pub(super) async fn recv(&mut self) -> Option<T> {
        tokio::select! {
            biased;
            Some(message) = self.urgent.recv() => Some(message),
            Some(message) = self.ordinary.recv() => Some(message),
            else => None,
        }
    }
}
