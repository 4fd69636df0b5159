//! Answers to pre-votes and vote requests.

use {
    super::{Core, Effect, Persist, election, replicate},
    cumincart_protocol::{
        replication::{Member, ReplicationBody, VoteAnswer, VoteRequest},
        time::Instant,
    },
};

/// Answers whether this instance would vote for the candidate, without changing any state.
pub fn on_pre_vote(core: &mut Core, now: Instant, from: &Member, ask: &VoteRequest, out: &mut Vec<Effect>) {
    let granted = ask.term > core.election.ballot.term
        && !core.election.is_leader()
        && !core.election.hears_leader(now)
        && is_up_to_date(core, ask);
    let answer = VoteAnswer { term: ask.term, granted };
    replicate::send(core, from, ReplicationBody::PreVoteAnswer(answer), out);
}

/// Answers a vote request and persists a granted vote.
pub fn on_vote(core: &mut Core, now: Instant, from: &Member, ask: &VoteRequest, out: &mut Vec<Effect>) {
    if core.election.hears_leader(now) {
        return;
    }
    election::observe_term(core, now, ask.term, out);
    let ballot = &core.election.ballot;
    let free = ballot.voted_for.as_ref().is_none_or(|name| *name == from.instance);
    let granted = ask.term == ballot.term && free && is_up_to_date(core, ask);
    if granted && ballot.voted_for.is_none() {
        core.election.ballot.voted_for = Some(from.instance.clone());
        out.push(Effect::Persist(Persist::Ballot(core.election.ballot.clone())));
        election::reset_timeout(core, now);
    }
    let answer = VoteAnswer { term: ask.term, granted };
    replicate::send(core, from, ReplicationBody::VoteAnswer(answer), out);
}

fn is_up_to_date(core: &Core, ask: &VoteRequest) -> bool {
    (ask.last_term, ask.last_index) >= (core.log.last_term(), core.log.last_index())
}
