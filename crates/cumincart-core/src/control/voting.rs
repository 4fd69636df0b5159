//! Votes: whether another instance may lead, as this one sees it.

use {
    super::{Board, Effect, Persist, election, replicate},
    cumincart_protocol::{
        replication::{Member, ReplicationBody, VoteAnswer, VoteRequest},
        time::Instant,
    },
};

/// Answers whether a candidate could win.
pub fn on_pre_vote(board: &mut Board, now: Instant, from: &Member, ask: &VoteRequest, out: &mut Vec<Effect>) {
    let granted = ask.term > board.election.ballot.term
        && !board.election.is_leader()
        && !board.election.hears_leader(now)
        && is_up_to_date(board, ask);
    let answer = VoteAnswer { term: ask.term, granted };
    replicate::send(board, from, ReplicationBody::PreVoteAnswer(answer), out);
}

/// Answers a request for a vote.
pub fn on_vote(board: &mut Board, now: Instant, from: &Member, ask: &VoteRequest, out: &mut Vec<Effect>) {
    if board.election.hears_leader(now) {
        return;
    }
    election::observe_term(board, now, ask.term, out);
    let ballot = &board.election.ballot;
    let free = ballot.voted_for.as_ref().is_none_or(|name| *name == from.instance);
    let granted = ask.term == ballot.term && free && is_up_to_date(board, ask);
    if granted && ballot.voted_for.is_none() {
        board.election.ballot.voted_for = Some(from.instance.clone());
        out.push(Effect::Persist(Persist::Ballot(board.election.ballot.clone())));
        election::reset_timeout(board, now);
    }
    let answer = VoteAnswer { term: ask.term, granted };
    replicate::send(board, from, ReplicationBody::VoteAnswer(answer), out);
}

fn is_up_to_date(board: &Board, ask: &VoteRequest) -> bool {
    (ask.last_term, ask.last_index) >= (board.log.last_term(), board.log.last_index())
}
