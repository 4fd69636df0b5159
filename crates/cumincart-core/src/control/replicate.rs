//! Replication of the log from the leader to its followers.

use {
    super::{Core, Effect, Persist, election, members, snapshot},
    cumincart_protocol::{
        change::{Action, Change},
        name::InstanceName,
        number::LogIndex,
        replication::{
            Append, AppendAnswer, Command, DiskId, Member, Record, ReplicationBody, ReplicationMessage,
        },
        size::{CONFIGURATION_MAX_BYTES, encoded_bytes},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::time::Duration,
};

/// The interval between two messages from the leader to an idle follower, in milliseconds.
pub const LEADER_HEARTBEAT_MS: u64 = 100;

/// The maximum number of records in one message.
pub const RECORDS_PER_MESSAGE: usize = 256;

/// The time after which an unanswered snapshot is sent again, in milliseconds.
pub const SNAPSHOT_RETRY_MS: u64 = 1_000;

/// The replication progress of all followers, as known to the leader.
#[derive(Debug, Default)]
pub struct Replication {
    followers: SortedVec<FollowerProgress>,
    /// The index of the first record of this leadership.
    first_own_index: LogIndex,
    elected_at: Instant,
    /// The stamp of the last round of messages. A stamp is the time at which a round was sent, made strictly
    /// increasing.
    last_stamp: Instant,
    next_heartbeat_at: Instant,
}

/// A follower as it is recorded. Progress is that of a disk: an instance with a new disk starts from nothing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FollowerKey {
    instance: InstanceName,
    disk: DiskId,
}

impl FollowerKey {
    fn of(member: &Member) -> Self {
        Self { instance: member.instance.clone(), disk: member.disk.clone() }
    }
}

/// The replication progress of one follower.
#[derive(Debug, Clone)]
struct FollowerProgress {
    follower: FollowerKey,
    /// The index of the next record to send.
    next_index: LogIndex,
    /// The highest index known to be on the follower's disk.
    match_index: LogIndex,
    /// The highest stamp that the follower has answered.
    confirmed_stamp: Instant,
    heard_at: Instant,
    /// The stamp of the last message that was sent in answer to a rejection. Rejections of earlier messages
    /// are ignored, since that message covers them.
    retry_stamp: Instant,
    /// When a snapshot was last sent, until it is acknowledged.
    snapshot_sent_at: Option<Instant>,
}

impl Keyed for FollowerProgress {
    type Key = FollowerKey;

    fn key(&self) -> &FollowerKey {
        &self.follower
    }
}

impl Replication {
    /// Returns the highest index known to be on a member's disk.
    pub fn match_index(&self, member: &Member) -> LogIndex {
        self.get(member).map(|progress| progress.match_index).unwrap_or_default()
    }

    /// Returns when the last answer of a member arrived; if none has arrived, when it was first sent a message, or the
    /// time of the election.
    pub fn heard_at(&self, member: &Member) -> Instant {
        self.get(member).map_or(self.elected_at, |progress| progress.heard_at)
    }

    fn get(&self, member: &Member) -> Option<&FollowerProgress> {
        self.followers.get(&FollowerKey::of(member))
    }

    /// Returns when this leadership began.
    pub fn elected_at(&self) -> Instant {
        self.elected_at
    }

    /// Returns whether a record of this leadership is committed. Until then, the commit index may be out of
    /// date.
    pub fn has_committed_own_term(&self, log: &super::log::Log) -> bool {
        log.commit >= self.first_own_index
    }

    /// Returns a lower bound for the stamp of the next round of messages.
    pub fn next_stamp(&self) -> Instant {
        self.last_stamp + Duration::from_micros(1)
    }

    /// Returns the highest stamp that a member has answered.
    pub fn confirmed_stamp(&self, member: &Member) -> Instant {
        self.get(member).map(|progress| progress.confirmed_stamp).unwrap_or_default()
    }

    /// Returns the stamp of a new round. Stamps are strictly increasing, so an answer identifies the round
    /// that it confirms.
    fn stamp(&mut self, now: Instant) -> Instant {
        self.last_stamp = self.next_stamp().max(now);
        self.last_stamp
    }
}

/// Resets the progress of all followers at the start of a leadership.
pub fn on_elected(core: &mut Core, now: Instant) {
    let last_stamp = core.replication.last_stamp;
    let first_own_index = core.log.last_index().next();
    core.replication = Replication { first_own_index, elected_at: now, last_stamp, ..Replication::default() };
}

/// Sends a message to one control instance.
pub fn send(core: &Core, to: &Member, body: ReplicationBody, out: &mut Vec<Effect>) {
    let own = &core.settings.member;
    let message = ReplicationMessage {
        disk: own.disk.clone(),
        peer_address: own.peer_address.clone(),
        incarnation: core.settings.incarnation,
        term: core.election.ballot.term,
        domain: own.domain.clone().filter(|_| matches!(body, ReplicationBody::VoteAnswer(_))),
        body,
    };
    out.push(Effect::Send(to.clone(), message));
}

/// Appends a record to the leader's log and sends it to the followers. Returns the index of the record.
pub fn propose(core: &mut Core, now: Instant, command: Command, out: &mut Vec<Effect>) -> LogIndex {
    let index = append(core, command, out);
    broadcast(core, now, out);
    index
}

/// Appends a record to the leader's log without sending it. Returns the index of the record.
pub fn append(core: &mut Core, command: Command, out: &mut Vec<Effect>) -> LogIndex {
    let index = core.log.last_index().next();
    let record = Record { index, term: core.election.ballot.term, command };
    core.log.push(record.clone());
    out.push(Effect::Persist(Persist::Append(vec![record])));
    index
}

/// Sends each follower the records that it lacks; the answers also confirm the leadership. Returns the stamp
/// of the round.
pub fn broadcast(core: &mut Core, now: Instant, out: &mut Vec<Effect>) -> Instant {
    let stamp = core.replication.stamp(now);
    core.replication.next_heartbeat_at = now + Duration::from_millis(LEADER_HEARTBEAT_MS);
    forget_former_members(core);
    for member in follower_members(core) {
        send_records(core, now, &member, stamp, out);
    }
    stamp
}

/// Sends a message to the followers if none was sent within the heartbeat interval.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.election.is_leader() && core.replication.next_heartbeat_at <= now {
        broadcast(core, now, out);
    }
}

/// Appends the records of the leader to the local log and answers.
pub fn on_append(core: &mut Core, now: Instant, from: &Member, append: Append, out: &mut Vec<Effect>) {
    election::on_leader_heard(core, now, &from.instance, out);
    let sent_at = append.sent_at;
    let answer = match append_records(core, append, out) {
        Ok(matched) => AppendAnswer { sent_at, success: true, matched },
        Err(hint) => AppendAnswer { sent_at, success: false, matched: hint },
    };
    send(core, from, ReplicationBody::AppendAnswer(answer), out);
}

/// Rejects an append from a leader of an earlier term; the answer carries the current term.
pub fn reject_stale_append(core: &Core, from: &Member, append: &Append, out: &mut Vec<Effect>) {
    let answer = AppendAnswer { sent_at: append.sent_at, success: false, matched: core.log.commit };
    send(core, from, ReplicationBody::AppendAnswer(answer), out);
}

/// Updates a follower's progress from its answer and sends further records if it is behind.
pub fn on_append_answer(
    core: &mut Core,
    now: Instant,
    from: &Member,
    answer: &AppendAnswer,
    out: &mut Vec<Effect>,
) {
    election::on_peer_answered(core, now, answer.sent_at);
    if !core.election.is_leader() {
        return;
    }
    let Some(from) = members::member(core.log.members(), &from.instance, &from.disk).cloned() else {
        // It was sent a message in place of its old disk, and may take itself for a member.
        members::on_join(core, now, from, out);
        return;
    };
    let last = core.log.last_index();
    let follower = FollowerKey::of(&from);
    let Some(progress) = core.replication.followers.get_mut(&follower) else { return };
    progress.heard_at = now;
    progress.confirmed_stamp = progress.confirmed_stamp.max(answer.sent_at);
    if answer.success {
        progress.snapshot_sent_at = None;
        progress.match_index = progress.match_index.max(answer.matched);
        progress.next_index = progress.next_index.max(progress.match_index.next());
    } else if answer.sent_at < progress.retry_stamp {
        return;
    } else {
        progress.next_index = answer.matched.max(progress.match_index).next().min(last.next());
    }
    let is_behind = progress.next_index <= last;
    if !is_behind {
        return;
    }
    let stamp = if answer.success { core.replication.last_stamp } else { core.replication.stamp(now) };
    if !answer.success
        && let Some(progress) = core.replication.followers.get_mut(&follower)
    {
        progress.retry_stamp = stamp;
    }
    send_records(core, now, &from, stamp, out);
}

/// Drops the progress of instances that are no longer members, so that one that joins again starts anew.
fn forget_former_members(core: &mut Core) {
    let members = core.log.members();
    let is_member = |follower: &FollowerKey| {
        let mut known = members::all_voters(members).chain(members.learners.iter());
        known.any(|member| member.instance == follower.instance && member.disk == follower.disk)
    };
    core.replication.followers.retain(|progress| is_member(&progress.follower));
}

fn follower_members(core: &Core) -> Vec<Member> {
    let own = &core.settings.member.instance;
    members::all(core.log.members()).filter(|member| member.instance != *own).cloned().collect()
}

fn send_records(core: &mut Core, now: Instant, to: &Member, stamp: Instant, out: &mut Vec<Effect>) {
    let next = progress_of(core, now, to).next_index;
    let previous_index = LogIndex(next.0 - 1);
    let Some(previous_term) = core.log.term_at(previous_index) else {
        send_snapshot(core, now, to, out);
        return;
    };
    let records = records_that_fit(core.log.after(previous_index, RECORDS_PER_MESSAGE)).to_vec();
    progress_of(core, now, to).next_index = records.last().map_or(next, |record| record.index.next());
    let append = Append { previous_index, previous_term, records, commit: core.log.commit, sent_at: stamp };
    send(core, to, ReplicationBody::Append(append), out);
}

/// Returns the first of the records: at least one, and only as many more as their configurations leave room for.
fn records_that_fit(records: &[Record]) -> &[Record] {
    let mut bytes = 0;
    let end = records.iter().position(|record| {
        bytes += configuration_bytes(&record.command);
        bytes > CONFIGURATION_MAX_BYTES
    });
    &records[..end.map_or(records.len(), |end| end.max(1))]
}

/// Returns the encoded size of the lists and the document in a record. All other records are small.
fn configuration_bytes(command: &Command) -> usize {
    match command {
        Command::Operator(Change { action: Action::Replace(configuration), .. }) => {
            encoded_bytes(configuration)
        }
        Command::Operator(Change { action: Action::Apply { lists, .. }, .. }) => encoded_bytes(lists),
        _ => 0,
    }
}

/// Returns the progress of a follower, which begins when it is first sent a message.
fn progress_of<'a>(core: &'a mut Core, now: Instant, to: &Member) -> &'a mut FollowerProgress {
    let follower = FollowerKey::of(to);
    let next_index = core.log.last_index().next();
    let initial = || FollowerProgress {
        follower: follower.clone(),
        next_index,
        match_index: LogIndex::default(),
        confirmed_stamp: Instant::ZERO,
        heard_at: now,
        retry_stamp: Instant::ZERO,
        snapshot_sent_at: None,
    };
    core.replication.followers.get_or_insert_with(&follower, initial)
}

fn send_snapshot(core: &mut Core, now: Instant, to: &Member, out: &mut Vec<Effect>) {
    let Some(progress) = core.replication.followers.get_mut(&FollowerKey::of(to)) else { return };
    let retry = Duration::from_millis(SNAPSHOT_RETRY_MS);
    if progress.snapshot_sent_at.is_some_and(|at| now.saturating_since(at) < retry) {
        return;
    }
    progress.snapshot_sent_at = Some(now);
    let snapshot = snapshot::current(core);
    send(core, to, ReplicationBody::Install(Box::new(snapshot)), out);
}

/// Appends the leader's records to the log and removes conflicting ones. Returns the last index known to
/// match, or a hint for the index to retry from.
fn append_records(core: &mut Core, append: Append, out: &mut Vec<Effect>) -> Result<LogIndex, LogIndex> {
    let base = core.log.base_index();
    let previous_term = core.log.term_at(append.previous_index);
    if append.previous_index >= base && previous_term != Some(append.previous_term) {
        let known = core.log.last_index().min(append.previous_index);
        return Err(if previous_term.is_some() { core.log.commit } else { known });
    }
    let matched = append.records.last().map_or(append.previous_index, |record| record.index);
    let mut added = Vec::new();
    for record in append.records {
        if record.index <= base || core.log.term_at(record.index) == Some(record.term) {
            continue;
        }
        if core.log.term_at(record.index).is_some() {
            core.log.truncate_from(record.index);
            out.push(Effect::Persist(Persist::TruncateFrom(record.index)));
        }
        core.log.push(record.clone());
        added.push(record);
    }
    if !added.is_empty() {
        out.push(Effect::Persist(Persist::Append(added)));
    }
    core.log.commit = core.log.commit.max(append.commit.min(matched));
    Ok(matched)
}
