//! Linearizable reads: requests that are answered only after a quorum has confirmed the leadership
//! (ReadIndex, Raft section 6.4).
//!
//! One round of messages confirms the leadership for all waiting reads. A new round starts when the previous
//! one is confirmed.

use {
    super::{ControlRefusal, Core, Effect, Ticket, commit, election, leases, replicate, runs, status},
    cumincart_protocol::{heartbeat::Heartbeat, peer::PeerBody, time::Instant},
};

/// The reads that are waiting for a quorum to confirm the leadership.
#[derive(Debug, Default)]
pub struct PendingReads {
    waiting: Vec<PendingRead>,
    /// The stamp of the current round of messages.
    round_stamp: Option<Instant>,
}

#[derive(Debug)]
struct PendingRead {
    /// The lowest stamp of a round that was sent after the read arrived.
    stamp: Instant,
    ticket: Ticket,
    request: Read,
}

/// A read request.
#[derive(Debug)]
pub enum Read {
    /// A heartbeat from an entry instance.
    Heartbeat(Box<Heartbeat>),
    /// An operator's request for the state.
    Status,
}

/// Accepts a read. It is answered once a quorum has confirmed the leadership.
pub fn request_read(core: &mut Core, now: Instant, ticket: Ticket, request: Read, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        refuse(core, ticket, &request, out);
        return;
    }
    let stamp = core.replication.next_stamp();
    core.pending_reads.waiting.push(PendingRead { stamp, ticket, request });
    if core.pending_reads.round_stamp.is_none() {
        core.pending_reads.round_stamp = Some(replicate::broadcast(core, now, out));
    }
}

/// Answers the reads for which a quorum has confirmed the leadership.
pub fn serve_confirmed(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.pending_reads.waiting.is_empty() || !core.replication.has_committed_own_term(&core.log) {
        return;
    }
    let confirmed = commit::quorum_stamp(core);
    let (ready, waiting): (Vec<_>, Vec<_>) =
        std::mem::take(&mut core.pending_reads.waiting).into_iter().partition(|read| read.stamp <= confirmed);
    core.pending_reads.waiting = waiting;
    for read in ready {
        answer(core, now, read, out);
    }
    if core.pending_reads.round_stamp.is_some_and(|round_stamp| round_stamp <= confirmed) {
        let more = !core.pending_reads.waiting.is_empty();
        core.pending_reads.round_stamp = more.then(|| replicate::broadcast(core, now, out));
    }
}

/// Refuses all waiting reads.
pub fn on_leadership_lost(core: &mut Core, out: &mut Vec<Effect>) {
    core.pending_reads.round_stamp = None;
    for read in std::mem::take(&mut core.pending_reads.waiting) {
        refuse(core, read.ticket, &read.request, out);
    }
}

fn answer(core: &mut Core, now: Instant, read: PendingRead, out: &mut Vec<Effect>) {
    match read.request {
        Read::Heartbeat(heartbeat) => {
            if heartbeat.leaving || runs::ensure_recorded(core, now, &heartbeat, out) {
                leases::grant(core, now, read.ticket, &heartbeat, out);
                return;
            }
            // Retried with the next round, since the run is usually recorded by then.
            let stamp = core.replication.next_stamp();
            let request = Read::Heartbeat(heartbeat);
            core.pending_reads.waiting.push(PendingRead { stamp, ticket: read.ticket, request });
        }
        Read::Status => {
            let status = status::current(core, now);
            out.push(Effect::AnswerStatus(read.ticket, Ok(Box::new(status))));
        }
    }
}

fn refuse(core: &Core, ticket: Ticket, request: &Read, out: &mut Vec<Effect>) {
    let leader = election::leader_hint(core);
    out.push(match request {
        Read::Heartbeat(_) => Effect::AnswerHeartbeat(ticket, PeerBody::NotLeader(leader)),
        Read::Status => Effect::AnswerStatus(ticket, Err(ControlRefusal::NotLeader(leader))),
    });
}
