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
pub struct Reads {
    waiting: Vec<WaitingRead>,
    /// The stamp of the current round of messages.
    round: Option<Instant>,
}

#[derive(Debug)]
struct WaitingRead {
    /// The lowest stamp of a round that was sent after the read arrived.
    stamp: Instant,
    ticket: Ticket,
    question: Question,
}

/// A read request.
#[derive(Debug)]
pub enum Question {
    /// A heartbeat from an entry instance.
    Heartbeat(Box<Heartbeat>),
    /// An operator's request for the state.
    Status,
}

/// Accepts a read. It is answered once a quorum has confirmed the leadership.
pub fn ask(core: &mut Core, now: Instant, ticket: Ticket, question: Question, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        refuse(core, ticket, &question, out);
        return;
    }
    let stamp = core.replication.next_stamp();
    core.reads.waiting.push(WaitingRead { stamp, ticket, question });
    if core.reads.round.is_none() {
        core.reads.round = Some(replicate::broadcast(core, now, out));
    }
}

/// Answers the reads for which a quorum has confirmed the leadership.
pub fn serve(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.reads.waiting.is_empty() || !core.replication.has_committed_own_term(&core.log) {
        return;
    }
    let confirmed = commit::quorum_stamp(core);
    let (ready, waiting): (Vec<_>, Vec<_>) =
        std::mem::take(&mut core.reads.waiting).into_iter().partition(|read| read.stamp <= confirmed);
    core.reads.waiting = waiting;
    for read in ready {
        answer(core, now, read, out);
    }
    if core.reads.round.is_some_and(|round| round <= confirmed) {
        let more = !core.reads.waiting.is_empty();
        core.reads.round = more.then(|| replicate::broadcast(core, now, out));
    }
}

/// Refuses all waiting reads.
pub fn on_leadership_lost(core: &mut Core, out: &mut Vec<Effect>) {
    core.reads.round = None;
    for read in std::mem::take(&mut core.reads.waiting) {
        refuse(core, read.ticket, &read.question, out);
    }
}

fn answer(core: &mut Core, now: Instant, read: WaitingRead, out: &mut Vec<Effect>) {
    match read.question {
        Question::Heartbeat(heartbeat) => {
            if heartbeat.leaving || runs::is_admitted(core, now, &heartbeat, out) {
                leases::grant(core, now, read.ticket, &heartbeat, out);
                return;
            }
            // Retried with the next round, since the run is usually recorded by then.
            let stamp = core.replication.next_stamp();
            let question = Question::Heartbeat(heartbeat);
            core.reads.waiting.push(WaitingRead { stamp, ticket: read.ticket, question });
        }
        Question::Status => {
            let status = status::current(core, now);
            out.push(Effect::AnswerStatus(read.ticket, Ok(Box::new(status))));
        }
    }
}

fn refuse(core: &Core, ticket: Ticket, question: &Question, out: &mut Vec<Effect>) {
    let leader = election::leader_hint(core);
    out.push(match question {
        Question::Heartbeat(_) => Effect::AnswerHeartbeat(ticket, PeerBody::NotLeader(leader)),
        Question::Status => Effect::AnswerStatus(ticket, Err(ControlRefusal::NotLeader(leader))),
    });
}
