//! Leader election: pre-vote, votes, randomised timeouts and check-quorum, after Raft (Ongaro 2014, chapters 3, 4
//! and 9.6).

use {
    super::{
        Core, Effect, announcements::Announcements, failover, leases, members, operators, permits, presence,
        probe, read_index, replicate, replicate::LEADER_HEARTBEAT_MS, runs, shares,
    },
    cumincart_protocol::{
        name::InstanceName,
        number::{ControlTerm, LogIndex},
        peer::Leader,
        replication::{
            Ballot, Command, DiskId, Member, ReplicationBody, ReplicationMessage, VoteAnswer, VoteRequest,
        },
        time::Instant,
    },
    rand::RngExt,
    std::time::Duration,
};

/// The shortest time without a leader's message after which an instance stands for election, in milliseconds.
pub const ELECTION_TIMEOUT_MIN_MS: u64 = 300;

/// The longest such time, in milliseconds.
pub const ELECTION_TIMEOUT_MAX_MS: u64 = 600;

/// The longest time after a start before the first stand for election, in milliseconds. A leader that lives is heard by
/// then, and others refuse the pre-vote; where all instances start at once, nobody waits for a whole timeout.
pub const FIRST_ELECTION_MAX_MS: u64 = 200;

/// How long a leader goes on without hearing from a quorum, in milliseconds.
pub const CHECK_QUORUM_MS: u64 = 600;

/// What this instance is in the current term.
#[derive(Debug)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win, with those who said yes.
    PreCandidate(Vec<Member>),
    /// Asks for votes, with those who gave theirs.
    Candidate(Vec<Member>),
    /// Leads.
    Leader,
}

/// The state of elections.
#[derive(Debug)]
pub struct Election {
    /// The term and the vote in it, as they are on disk.
    pub ballot: Ballot,
    /// What this instance is.
    pub role: Role,
    leader: Option<InstanceName>,
    heard_at: Option<Instant>,
    due_at: Option<Instant>,
}

impl Election {
    /// The state after a start.
    pub fn open(ballot: Ballot) -> Self {
        Self { ballot, role: Role::Follower, leader: None, heard_at: None, due_at: None }
    }

    /// Whether this instance leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader)
    }

    /// The leader that was last heard of in this term.
    pub fn leader(&self) -> Option<&InstanceName> {
        self.leader.as_ref()
    }

    /// How long no leader was heard; the whole run where none was.
    pub fn leaderless_for(&self, now: Instant) -> Duration {
        now.saturating_since(self.heard_at.unwrap_or_default())
    }

    /// Whether a leader was heard within the shortest election time-out.
    pub fn hears_leader(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(ELECTION_TIMEOUT_MIN_MS);
        self.heard_at.is_some_and(|at| now.saturating_since(at) < limit)
    }
}

/// Where the leader is, as far as it is known here.
pub fn leader_hint(core: &Core) -> Option<Leader> {
    let name = core.election.leader()?;
    let member = members::all(core.log.members()).find(|member| member.instance == *name)?;
    Some(Leader { instance: member.instance.clone(), peer_address: member.peer_address.clone() })
}

/// Stands for election when the leader is silent; as the leader, steps down without a quorum.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.election.is_leader() {
        check_quorum(core, now, out);
        return;
    }
    if core.log.members().voters.len() == 1 && is_voter(core) {
        stand(core, now, out);
        return;
    }
    match core.election.due_at {
        None => {
            let timeout_ms = core.random.random_range(LEADER_HEARTBEAT_MS / 2..=FIRST_ELECTION_MAX_MS);
            core.election.due_at = Some(now + Duration::from_millis(timeout_ms));
        }
        Some(due) if due <= now => {
            reset_timeout(core, now);
            stand(core, now, out);
        }
        Some(_) => {}
    }
}

/// Takes notice of a term seen in a message. A greater one makes this instance a follower of it.
pub fn observe_term(core: &mut Core, now: Instant, term: ControlTerm, out: &mut Vec<Effect>) {
    if term > core.election.ballot.term {
        become_follower(core, now, term, out);
    }
}

/// Notes that the leader of the current term is alive.
pub fn on_leader_heard(core: &mut Core, now: Instant, leader: &InstanceName, out: &mut Vec<Effect>) {
    if core.election.leader.as_ref() != Some(leader) {
        out.push(Effect::Log(format!("{leader} leads in term {}", core.election.ballot.term).into()));
    }
    core.election.role = Role::Follower;
    core.election.leader = Some(leader.clone());
    core.election.heard_at = Some(now);
    reset_timeout(core, now);
}

/// Counts a pre-vote.
pub fn on_pre_vote_answer(
    core: &mut Core,
    now: Instant,
    from: &Member,
    answer: &VoteAnswer,
    out: &mut Vec<Effect>,
) {
    let expected = core.election.ballot.term.next();
    let Role::PreCandidate(votes) = &mut core.election.role else { return };
    if !answer.granted || answer.term != expected {
        return;
    }
    add_vote(votes, from);
    if wins(core) {
        campaign(core, now, out);
    }
}

/// Counts a vote.
pub fn on_vote_answer(
    core: &mut Core,
    now: Instant,
    from: &Member,
    answer: &VoteAnswer,
    out: &mut Vec<Effect>,
) {
    let term = core.election.ballot.term;
    let Role::Candidate(votes) = &mut core.election.role else { return };
    if !answer.granted || answer.term != term {
        return;
    }
    add_vote(votes, from);
    if wins(core) {
        become_leader(core, now, out);
    }
}

/// The sender of a message as a member: its name and disk, at the address that the group knows.
///
/// A sender that the group does not know counts only where it asks to be taken in, or where this instance is outside
/// and hears from the group for the first time.
pub fn sender(core: &Core, from: &InstanceName, message: &ReplicationMessage) -> Option<Member> {
    let known = members::all(core.log.members()).find(|member| member.instance == *from);
    let first = || core.settings.first_members.voters.get(from);
    if let Some(known) = known.or_else(first) {
        return Some(Member { disk: message.disk.clone(), ..known.clone() });
    }
    let is_greeting = match message.body {
        ReplicationBody::Join(_) => true,
        ReplicationBody::Append(_) | ReplicationBody::Install(_) => members::is_outside(core),
        _ => false,
    };
    is_greeting.then(|| Member {
        instance: from.clone(),
        disk: message.disk.clone(),
        peer_address: message.peer_address.clone(),
    })
}

fn is_voter(core: &Core) -> bool {
    let own = &core.settings.member;
    members::voter(core.log.members(), &own.instance, &own.disk).is_some()
}

fn stand(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !is_voter(core) {
        return;
    }
    core.election.leader = None;
    core.election.role = Role::PreCandidate(vec![core.settings.member.clone()]);
    if wins(core) {
        campaign(core, now, out);
        return;
    }
    let ask = vote_request(core, core.election.ballot.term.next());
    ask_voters(core, &ReplicationBody::PreVote(ask), out);
}

fn campaign(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let term = core.election.ballot.term.next();
    let own = core.settings.member.clone();
    core.election.ballot = Ballot { term, voted_for: Some(own.instance.clone()) };
    out.push(Effect::Persist(super::Persist::Ballot(core.election.ballot.clone())));
    core.election.role = Role::Candidate(vec![own]);
    reset_timeout(core, now);
    if wins(core) {
        become_leader(core, now, out);
        return;
    }
    let ask = vote_request(core, term);
    ask_voters(core, &ReplicationBody::Vote(ask), out);
}

/// A leader before this one would have left its opening record: it grants nothing before that is committed.
fn begin_ledgers(core: &mut Core, now: Instant, term: ControlTerm) {
    if core.log.last_index() == LogIndex::default() {
        shares::on_first_elected(&mut core.shares, term);
        permits::on_first_elected(&mut core.permits, term);
    } else {
        shares::on_elected(&mut core.shares, now, term);
        permits::on_elected(&mut core.permits, now, term);
    }
}

fn become_leader(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let Role::Candidate(votes) = std::mem::replace(&mut core.election.role, Role::Leader) else { return };
    let term = core.election.ballot.term;
    core.election.leader = Some(core.settings.member.instance.clone());
    out.push(Effect::Log(format!("this instance leads in term {term}").into()));
    leases::on_elected(&mut core.leases, now);
    failover::on_elected(core);
    core.announcements = Announcements::default();
    presence::on_elected(core);
    runs::on_elected(&mut core.runs);
    probe::on_elected(core);
    begin_ledgers(core, now, term);
    replicate::on_elected(core, now);
    replicate::propose(core, now, Command::Open, out);
    members::bind(core, now, &votes, out);
}

fn become_follower(core: &mut Core, now: Instant, term: ControlTerm, out: &mut Vec<Effect>) {
    core.election.ballot = Ballot { term, voted_for: None };
    out.push(Effect::Persist(super::Persist::Ballot(core.election.ballot.clone())));
    step_down(core, now, out);
}

/// Ends leadership or candidacy in the current term.
fn step_down(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let led = core.election.is_leader();
    core.election.role = Role::Follower;
    core.election.leader = None;
    reset_timeout(core, now);
    if !led {
        return;
    }
    out.push(Effect::Log("this instance no longer leads".into()));
    operators::on_leadership_lost(core, out);
    read_index::on_leadership_lost(core, out);
}

fn check_quorum(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let limit = Duration::from_millis(CHECK_QUORUM_MS);
    let own = &core.settings.member.instance;
    let heard = |member: &Member| {
        member.instance == *own || now.saturating_since(core.replication.heard_at(&member.instance)) < limit
    };
    if members::is_quorum(core.log.members(), heard) {
        return;
    }
    out.push(Effect::Log("no quorum answers".into()));
    step_down(core, now, out);
}

fn add_vote(votes: &mut Vec<Member>, from: &Member) {
    if !votes.iter().any(|vote| vote.instance == from.instance) {
        votes.push(from.clone());
    }
}

fn wins(core: &Core) -> bool {
    let (Role::PreCandidate(votes) | Role::Candidate(votes)) = &core.election.role else { return false };
    members::is_quorum(core.log.members(), |member| has_voted(votes, &member.instance, &member.disk))
}

fn has_voted(votes: &[Member], instance: &InstanceName, disk: &DiskId) -> bool {
    votes.iter().any(|vote| vote.instance == *instance && (!disk.is_bound() || vote.disk == *disk))
}

fn vote_request(core: &Core, term: ControlTerm) -> VoteRequest {
    VoteRequest { term, last_index: core.log.last_index(), last_term: core.log.last_term() }
}

fn ask_voters(core: &Core, body: &ReplicationBody, out: &mut Vec<Effect>) {
    for voter in core.log.members().voters.iter() {
        if voter.instance != core.settings.member.instance {
            replicate::send(core, voter, body.clone(), out);
        }
    }
}

pub(super) fn reset_timeout(core: &mut Core, now: Instant) {
    let timeout_ms = core.random.random_range(ELECTION_TIMEOUT_MIN_MS..=ELECTION_TIMEOUT_MAX_MS);
    core.election.due_at = Some(now + Duration::from_millis(timeout_ms));
}
