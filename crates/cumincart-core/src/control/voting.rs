//! Answers to pre-votes and vote requests.

use {
    super::{
        Core, Effect, Persist,
        election::{self, Precedence},
        replicate,
    },
    cumincart_protocol::{
        replication::{Member, ReplicationBody, VoteAnswer, VoteRequest},
        time::Instant,
    },
};

/// Answers whether this instance would vote for the candidate. Of two competing candidates, one gives up.
pub fn on_pre_vote(
    core: &mut Core,
    now: Instant,
    from: &Member,
    request: &VoteRequest,
    out: &mut Vec<Effect>,
) {
    let granted = request.term > core.election.ballot.term
        && !core.election.is_leader()
        && !core.election.heard_leader_recently(now)
        && is_up_to_date(core, request);
    let precedence = election::precedence(core, now, from, request);
    let granted = granted && precedence != Precedence::Own;
    if granted && precedence == Precedence::Other {
        election::defer(core, now);
    }
    let answer = VoteAnswer { term: request.term, granted };
    replicate::send(core, from, ReplicationBody::PreVoteAnswer(answer), out);
}

/// Answers a vote request and persists a granted vote.
pub fn on_vote(core: &mut Core, now: Instant, from: &Member, request: &VoteRequest, out: &mut Vec<Effect>) {
    if core.election.heard_leader_recently(now) {
        return;
    }
    election::observe_term(core, now, request.term, out);
    let ballot = &core.election.ballot;
    let can_vote = ballot.voted_for.as_ref().is_none_or(|name| *name == from.instance);
    let granted = request.term == ballot.term && can_vote && is_up_to_date(core, request);
    if granted && ballot.voted_for.is_none() {
        core.election.ballot.voted_for = Some(from.instance.clone());
        out.push(Effect::Persist(Persist::Ballot(core.election.ballot.clone())));
        election::reset_timeout(core, now);
    }
    let answer = VoteAnswer { term: request.term, granted };
    replicate::send(core, from, ReplicationBody::VoteAnswer(answer), out);
}

fn is_up_to_date(core: &Core, request: &VoteRequest) -> bool {
    (request.last_term, request.last_index) >= (core.log.last_term(), core.log.last_index())
}
