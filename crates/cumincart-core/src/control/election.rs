//! Leader election with pre-vote, randomised timeouts and check-quorum, following Raft (Ongaro 2014, chapters
//! 3, 4 and 9.6).

use {
    super::{
        Core, Effect, announcements::Announcements, failover, leases, members, operators, permits, presence,
        probe, read_index, replicate, replicate::LEADER_HEARTBEAT_MS, reports, response_time::ResponseTime,
        runs, shares, usage,
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

/// The minimum election timeout: an instance starts an election after this time without a message from the
/// leader, in milliseconds.
pub const ELECTION_TIMEOUT_MIN_MS: u64 = 300;

/// The maximum election timeout, in milliseconds.
pub const ELECTION_TIMEOUT_MAX_MS: u64 = 600;

/// The maximum delay between a start and the first election, in milliseconds. A live leader is heard within
/// this time, and the other instances then refuse the pre-vote. If all instances start at once, a leader is
/// elected without waiting for a full election timeout.
pub const FIRST_ELECTION_MAX_MS: u64 = 200;

/// How long competing candidates are ordered, in milliseconds. Instances that regain power one after the other form a
/// quorum within this time.
const CONTENTION_MS: u64 = 1_000;

/// The interval at which a candidate repeats its request to voters that have not answered, in milliseconds. Requests
/// are lost while links are still being opened, as after a restart of all instances.
pub const VOTE_RETRY_MS: u64 = 50;

/// How long the first election waits for all first members before a majority may decide it, in milliseconds. All of them
/// start within less.
pub const FIRST_MEMBERS_WAIT_MS: u64 = 2_000;

/// How long a leader stays leader without hearing from a quorum, in milliseconds.
pub const CHECK_QUORUM_MS: u64 = 600;

/// The role of this instance in the current term.
#[derive(Debug)]
pub enum Role {
    /// Follows a leader, or waits to hear from one.
    Follower,
    /// Runs a pre-vote; holds the members that granted it.
    PreCandidate(Vec<Member>),
    /// Runs an election; holds the members that voted for this instance.
    Candidate(Vec<Member>),
    /// Leads the group.
    Leader,
}

/// The election state.
#[derive(Debug)]
pub struct Election {
    /// The current term and the vote in it, as persisted.
    pub ballot: Ballot,
    /// The current role.
    pub role: Role,
    leader: Option<InstanceName>,
    leader_heard_at: Option<Instant>,
    timeout_at: Option<Instant>,
    /// Until when competing candidates are ordered; `None` while a leader is known. See [`precedence`].
    contention_until: Option<Instant>,
    /// When this instance first stood for election since its start.
    stood_at: Option<Instant>,
    /// When a candidate repeats its requests.
    retry_at: Instant,
    /// The last term that this instance campaigned in, and when it sent its vote requests.
    campaign: Option<(ControlTerm, Instant)>,
    response_time: ResponseTime,
}

impl Election {
    /// Returns the state after a start.
    pub fn open(ballot: Ballot) -> Self {
        Self {
            ballot,
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            timeout_at: None,
            contention_until: None,
            stood_at: None,
            retry_at: Instant::ZERO,
            campaign: None,
            response_time: ResponseTime::default(),
        }
    }

    /// Returns whether this instance considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader)
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<&InstanceName> {
        self.leader.as_ref()
    }

    /// Returns the time since a leader was last heard, or since the start if none was heard.
    pub fn leaderless_for(&self, now: Instant) -> Duration {
        now.saturating_since(self.leader_heard_at.unwrap_or_default())
    }

    /// Returns the time that is added to timeouts for slow disks.
    pub fn response_allowance(&self, now: Instant) -> Duration {
        self.response_time.allowance(now)
    }

    /// Returns whether a leader was heard within the minimum election timeout.
    pub fn heard_leader_recently(&self, now: Instant) -> bool {
        let timeout = Duration::from_millis(ELECTION_TIMEOUT_MIN_MS);
        self.leader_heard_at.is_some_and(|at| now.saturating_since(at) < timeout)
    }
}

/// Returns the leader as a member, if it is known.
pub fn leader_member(core: &Core) -> Option<&Member> {
    let name = core.election.leader()?;
    members::all(core.log.members()).find(|member| member.instance == *name)
}

/// Returns the address of the leader, if it is known.
pub fn leader_hint(core: &Core) -> Option<Leader> {
    let member = leader_member(core)?;
    Some(Leader { instance: member.instance.clone(), peer_address: member.peer_address.clone() })
}

/// Starts an election when the election timeout has passed. On a leader, steps down if no quorum answers.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.election.is_leader() {
        check_quorum(core, now, out);
        return;
    }
    if members::all_voters(core.log.members()).count() == 1 && is_voter(core) {
        start_pre_vote(core, now, out);
        return;
    }
    match core.election.timeout_at {
        None => {
            let timeout_ms = core.random.random_range(LEADER_HEARTBEAT_MS / 2..=FIRST_ELECTION_MAX_MS);
            core.election.timeout_at = Some(now + Duration::from_millis(timeout_ms));
        }
        Some(timeout_at) if timeout_at <= now => {
            reset_timeout(core, now);
            start_pre_vote(core, now, out);
        }
        Some(_) if core.election.retry_at <= now => request_votes(core, now, out),
        Some(_) => {}
    }
}

/// Handles the end of a sync during which this instance could not read messages: the time doesn't count as silence of
/// its peers.
pub fn on_synced(core: &mut Core, now: Instant, duration: Duration) {
    core.election.response_time.observe(now, duration);
    if let Some(timeout_at) = &mut core.election.timeout_at {
        *timeout_at = *timeout_at + duration;
    }
    if let Some((_, campaigned_at)) = &mut core.election.campaign {
        // The vote requests are sent after the sync.
        *campaigned_at = now;
    }
}

/// Records how long a peer took to answer a message.
pub fn on_peer_answered(core: &mut Core, now: Instant, sent_at: Instant) {
    core.election.response_time.observe(now, now.saturating_since(sent_at));
}

/// Handles a term seen in a message: a higher term makes this instance a follower in it.
pub fn observe_term(core: &mut Core, now: Instant, term: ControlTerm, out: &mut Vec<Effect>) {
    if term > core.election.ballot.term {
        become_follower(core, now, term, out);
    }
}

/// Records a message from the leader of the current term.
pub fn on_leader_heard(core: &mut Core, now: Instant, leader: &InstanceName, out: &mut Vec<Effect>) {
    if core.election.leader.as_ref() != Some(leader) {
        out.push(Effect::Log(format!("{leader} leads in term {}", core.election.ballot.term).into()));
    }
    core.election.role = Role::Follower;
    core.election.contention_until = None;
    core.election.leader = Some(leader.clone());
    core.election.leader_heard_at = Some(now);
    reset_timeout(core, now);
}

/// How a candidate treats the pre-vote of a competing one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// There is no competition, or it has lasted for too long to be decided by an order.
    Undecided,
    /// The other candidate goes first.
    Other,
    /// This instance goes first.
    Own,
}

/// Orders this instance and another candidate for the same term: the one with the longer log goes first, among equals
/// the one with the lower name. Two candidates that grant each other's pre-vote would both campaign and split the
/// votes.
///
/// The order holds only for the start of a leaderless time, since the candidate that goes first may reach no quorum.
pub fn precedence(core: &Core, now: Instant, from: &Member, request: &VoteRequest) -> Precedence {
    let is_competing = matches!(core.election.role, Role::PreCandidate(_))
        && request.term == core.election.ballot.term.next()
        && core.election.contention_until.is_some_and(|until| now < until);
    if !is_competing {
        return Precedence::Undecided;
    }
    let other_log = (request.last_term, request.last_index);
    let own_log = (core.log.last_term(), core.log.last_index());
    let is_other_first = own_log.cmp(&other_log).then(from.instance.cmp(&core.settings.member.instance));
    if is_other_first.is_lt() { Precedence::Other } else { Precedence::Own }
}

/// Gives up a candidacy in favour of another candidate.
pub fn defer(core: &mut Core, now: Instant) {
    core.election.role = Role::Follower;
    reset_timeout(core, now);
}

/// Counts an answer to a pre-vote.
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
    if has_vote_quorum(core, now) {
        campaign(core, now, out);
    }
}

/// Counts an answer to a vote request.
pub fn on_vote_answer(
    core: &mut Core,
    now: Instant,
    from: &Member,
    answer: &VoteAnswer,
    out: &mut Vec<Effect>,
) {
    let term = core.election.ballot.term;
    if let Some((_, sent_at)) = core.election.campaign.filter(|(campaign, _)| *campaign == answer.term) {
        on_peer_answered(core, now, sent_at);
    }
    let Role::Candidate(votes) = &mut core.election.role else { return };
    if !answer.granted || answer.term != term {
        return;
    }
    add_vote(votes, from);
    if has_vote_quorum(core, now) {
        become_leader(core, now, out);
    }
}

/// Returns the sender of a message as a member: its name and disk, with the address recorded in the log.
///
/// Messages from unknown senders are accepted only if they are join requests, or if this instance is not a
/// member yet and receives its first message from the group.
pub fn resolve_sender(core: &Core, from: &InstanceName, message: &ReplicationMessage) -> Option<Member> {
    let known = members::all(core.log.members()).find(|member| member.instance == *from);
    let initial = || core.settings.first_members.voters.get(from);
    if let Some(known) = known.or_else(initial) {
        let domain = message.domain.clone().or_else(|| known.domain.clone());
        return Some(Member { disk: message.disk.clone(), domain, ..known.clone() });
    }
    let may_be_unknown = match message.body {
        ReplicationBody::Join(_) => true,
        ReplicationBody::Append(_) | ReplicationBody::Install(_) => members::is_not_member(core),
        _ => false,
    };
    may_be_unknown.then(|| Member {
        instance: from.clone(),
        disk: message.disk.clone(),
        peer_address: message.peer_address.clone(),
        domain: message.domain.clone(),
    })
}

fn is_voter(core: &Core) -> bool {
    let own = &core.settings.member;
    members::voter(core.log.members(), &own.instance, &own.disk).is_some()
}

fn start_pre_vote(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !is_voter(core) {
        return;
    }
    core.election.leader = None;
    core.election.stood_at.get_or_insert(now);
    core.election.role = Role::PreCandidate(vec![core.settings.member.clone()]);
    if has_vote_quorum(core, now) {
        campaign(core, now, out);
        return;
    }
    core.election.contention_until.get_or_insert(now + Duration::from_millis(CONTENTION_MS));
    let term = core.election.ballot.term.next();
    out.push(Effect::Log(format!("no leader is known; asking whether term {term} may start").into()));
    request_votes(core, now, out);
}

/// Sends the request of the current candidacy to the voters that have not granted it yet.
fn request_votes(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let (granted, body) = match &core.election.role {
        Role::PreCandidate(votes) => {
            (votes, ReplicationBody::PreVote(vote_request(core, core.election.ballot.term.next())))
        }
        Role::Candidate(votes) => {
            (votes, ReplicationBody::Vote(vote_request(core, core.election.ballot.term)))
        }
        Role::Follower | Role::Leader => return,
    };
    let members = core.log.members();
    let is_voter = |member: &&Member| members::all_voters(members).any(|v| v.instance == member.instance);
    for voter in members::all(members).filter(is_voter) {
        if !granted.iter().any(|vote| vote.instance == voter.instance) {
            replicate::send(core, voter, body.clone(), out);
        }
    }
    core.election.retry_at = now + Duration::from_millis(VOTE_RETRY_MS);
}

fn campaign(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let term = core.election.ballot.term.next();
    let own = core.settings.member.clone();
    core.election.ballot = Ballot { term, voted_for: Some(own.instance.clone()) };
    out.push(Effect::Persist(super::Persist::Ballot(core.election.ballot.clone())));
    core.election.role = Role::Candidate(vec![own]);
    core.election.campaign = Some((term, now));
    reset_timeout(core, now);
    if has_vote_quorum(core, now) {
        become_leader(core, now, out);
        return;
    }
    request_votes(core, now, out);
}

/// Initialises the quota ledgers for a new leadership. An empty log shows that there was no earlier leader: a
/// leader commits its opening record before it grants anything.
fn initialise_ledgers(core: &mut Core, now: Instant, term: ControlTerm) {
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
    core.election.contention_until = None;
    out.push(Effect::Log(format!("this instance leads in term {term}").into()));
    leases::on_elected(&mut core.leases, now);
    failover::on_elected(core);
    core.announcements = Announcements::default();
    core.leaving.clear();
    presence::on_elected(core);
    runs::on_elected(&mut core.runs);
    probe::on_elected(core);
    usage::on_elected(&mut core.usage);
    initialise_ledgers(core, now, term);
    replicate::on_elected(core, now);
    replicate::append(core, Command::Open, out);
    members::record_voter_disks(core, &votes, out);
    replicate::broadcast(core, now, out);
}

fn become_follower(core: &mut Core, now: Instant, term: ControlTerm, out: &mut Vec<Effect>) {
    core.election.ballot = Ballot { term, voted_for: None };
    out.push(Effect::Persist(super::Persist::Ballot(core.election.ballot.clone())));
    step_down(core, now, out);
}

/// Ends leadership or candidacy in the current term.
fn step_down(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let was_leader = core.election.is_leader();
    core.election.role = Role::Follower;
    core.election.leader = None;
    reset_timeout(core, now);
    if !was_leader {
        return;
    }
    out.push(Effect::Log("this instance no longer leads".into()));
    operators::on_leadership_lost(core, out);
    reports::on_leadership_lost(core, out);
    read_index::on_leadership_lost(core, out);
}

fn check_quorum(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let timeout = Duration::from_millis(CHECK_QUORUM_MS) + core.election.response_time.allowance(now);
    let heard = |member: &Member| {
        members::is_own(core, member) || now.saturating_since(core.replication.heard_at(member)) < timeout
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

fn has_vote_quorum(core: &Core, now: Instant) -> bool {
    let (Role::PreCandidate(votes) | Role::Candidate(votes)) = &core.election.role else { return false };
    let members = core.log.members();
    let granted = |member: &Member| is_in_votes(votes, &member.instance, &member.disk);
    members::is_quorum(members, granted)
        || (may_begin_without_all(core, now) && members::is_majority(&members.voters, granted))
}

/// Returns whether the first election may be decided by a majority of the first members, since the others have not voted
/// for a while. One of them that comes back without its disk can't vote in their name, so at most one majority of them
/// ever forms a group.
fn may_begin_without_all(core: &Core, now: Instant) -> bool {
    let wait = Duration::from_millis(FIRST_MEMBERS_WAIT_MS);
    let has_waited = core.election.stood_at.is_some_and(|stood_at| now.saturating_since(stood_at) >= wait);
    core.is_first_start_certain && !members::is_bound(core.log.members()) && has_waited
}

fn is_in_votes(votes: &[Member], instance: &InstanceName, disk: &DiskId) -> bool {
    votes.iter().any(|vote| vote.instance == *instance && (!disk.is_bound() || vote.disk == *disk))
}

fn vote_request(core: &Core, term: ControlTerm) -> VoteRequest {
    VoteRequest { term, last_index: core.log.last_index(), last_term: core.log.last_term() }
}

pub(super) fn reset_timeout(core: &mut Core, now: Instant) {
    let timeout_ms = core.random.random_range(ELECTION_TIMEOUT_MIN_MS..=ELECTION_TIMEOUT_MAX_MS);
    let allowance = core.election.response_time.allowance(now);
    core.election.timeout_at = Some(now + Duration::from_millis(timeout_ms) + allowance);
}
