//! Questions that are answered only after a quorum has confirmed the leadership (read-index, Raft 6.4).
//!
//! All questions that wait are served by one round of messages; a new round starts when the one before is confirmed.

use {
    super::{Board, ControlRefusal, Effect, Ticket, commit, election, leases, replicate, runs, status},
    cumincart_protocol::{heartbeat::Heartbeat, peer::PeerBody, time::Instant},
};

/// The questions that wait for a confirmation.
#[derive(Debug, Default)]
pub struct Reads {
    waiting: Vec<WaitingRead>,
    round: Option<Instant>,
}

#[derive(Debug)]
struct WaitingRead {
    /// The first stamp that confirms the leadership after the question came.
    stamp: Instant,
    ticket: Ticket,
    question: Question,
}

/// What is asked of the leader.
#[derive(Debug)]
pub enum Question {
    /// An entry instance's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// An operator's question for the state.
    Status,
}

/// Takes a question; it is answered when a quorum has confirmed the leadership.
pub fn ask(board: &mut Board, now: Instant, ticket: Ticket, question: Question, out: &mut Vec<Effect>) {
    if !board.election.is_leader() {
        refuse(board, ticket, &question, out);
        return;
    }
    let stamp = board.replication.next_stamp();
    board.reads.waiting.push(WaitingRead { stamp, ticket, question });
    if board.reads.round.is_none() {
        board.reads.round = Some(replicate::broadcast(board, now, out));
    }
}

/// Answers the questions that a quorum has confirmed the leadership for.
pub fn serve(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    if board.reads.waiting.is_empty() || !board.replication.has_committed_own_term(&board.log) {
        return;
    }
    let confirmed = commit::quorum_stamp(board);
    let (ready, waiting): (Vec<_>, Vec<_>) =
        std::mem::take(&mut board.reads.waiting).into_iter().partition(|read| read.stamp <= confirmed);
    board.reads.waiting = waiting;
    for read in ready {
        answer(board, now, read, out);
    }
    if board.reads.round.is_some_and(|round| round <= confirmed) {
        let more = !board.reads.waiting.is_empty();
        board.reads.round = more.then(|| replicate::broadcast(board, now, out));
    }
}

/// Refuses all that wait.
pub fn on_leadership_lost(board: &mut Board, out: &mut Vec<Effect>) {
    board.reads.round = None;
    for read in std::mem::take(&mut board.reads.waiting) {
        refuse(board, read.ticket, &read.question, out);
    }
}

fn answer(board: &mut Board, now: Instant, read: WaitingRead, out: &mut Vec<Effect>) {
    match read.question {
        Question::Heartbeat(heartbeat) => {
            if heartbeat.leaving || runs::is_admitted(board, now, &heartbeat, out) {
                leases::grant(board, now, read.ticket, &heartbeat, out);
                return;
            }
            // Asked again with the next round: by then the run is usually written down.
            let stamp = board.replication.next_stamp();
            let question = Question::Heartbeat(heartbeat);
            board.reads.waiting.push(WaitingRead { stamp, ticket: read.ticket, question });
        }
        Question::Status => {
            let status = status::current(board, now);
            out.push(Effect::AnswerStatus(read.ticket, Ok(Box::new(status))));
        }
    }
}

fn refuse(board: &Board, ticket: Ticket, question: &Question, out: &mut Vec<Effect>) {
    let leader = election::leader_hint(board);
    out.push(match question {
        Question::Heartbeat(_) => Effect::AnswerHeartbeat(ticket, PeerBody::NotLeader(leader)),
        Question::Status => Effect::AnswerStatus(ticket, Err(ControlRefusal::NotLeader(leader))),
    });
}
