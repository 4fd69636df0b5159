//! Membership of the control group: quorums, join requests, and the requests of instances that are about to stop.
//! What a leader changes in the voters is decided in `reconfiguration`.
//!
//! Members named by the settings have no disk identity yet: they are *unbound*. Until the group has recorded
//! its members' disks, a quorum is all of its members. So an instance whose disk was wiped can never vote
//! under its former identity.

use {
    super::{Core, Effect, election, reconfiguration::VOTER_SILENT_MS, replicate},
    cumincart_protocol::{
        name::InstanceName,
        replication::{Command, DiskId, Member, Members, ReplicationBody},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// The interval between two join requests, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 250;

/// How long a member's old disk must be silent before an instance with the same name, a new disk and another address
/// replaces it, in milliseconds. It prevents two processes that were started under one name by mistake from replacing
/// each other. At one address there can be only one, so there a voter's usual silence is enough.
pub const REPLACE_AFTER_MS: u64 = 2_000;

/// The maximum number of control instances in the group.
pub const MEMBERS_MAX: usize = 16;

/// How long a member hears no leader before it sends join requests in case it was removed, in milliseconds.
/// It covers several election timeouts, so an ordinary change of leader causes no request.
pub const LEADERLESS_JOIN_MS: u64 = 2_000;

/// The interval between two requests of an instance that is about to stop, in milliseconds.
pub const LEAVE_INTERVAL_MS: u64 = 100;

/// How long an instance that is about to stop waits until another one has its place as a voter, in milliseconds.
pub const LEAVE_TIMEOUT_MS: u64 = 3_000;

/// How long the leader counts an instance as about to stop after its last request, in milliseconds.
pub const LEAVE_VALID_MS: u64 = 1_000;

/// A member that has said that it is about to stop.
#[derive(Debug)]
pub struct Leaving {
    member: Member,
    asked_at: Instant,
}

/// The planned stop of this instance.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    /// When it stops even as a voter.
    until: Instant,
    next_request_at: Instant,
}

/// Returns whether the members for which `granted` holds are a quorum: a majority of the voters, and during a change
/// of the voters a majority of the earlier ones as well.
pub fn is_quorum(members: &Members, granted: impl Fn(&Member) -> bool) -> bool {
    let has_majority = |voters: &SortedVec<Member>| {
        if is_bound(members) { is_majority(voters, &granted) } else { voters.iter().all(&granted) }
    };
    let is_outgoing_granted = members.outgoing.is_empty() || has_majority(&members.outgoing);
    !members.voters.is_empty() && has_majority(&members.voters) && is_outgoing_granted
}

/// Returns whether `granted` holds for a majority of the voters.
pub fn is_majority(voters: &SortedVec<Member>, granted: impl Fn(&Member) -> bool) -> bool {
    voters.iter().filter(|member| granted(member)).count() > voters.len() / 2
}

/// Returns whether the disks of all voters are recorded.
pub fn is_bound(members: &Members) -> bool {
    all_voters(members).all(|member| member.disk.is_bound())
}

/// Returns the number of voters that bear as many losses as `instances` control instances can: the highest odd number of
/// them. Three if the instances are not known.
pub fn voters_needed(instances: usize) -> usize {
    match instances {
        0 => voters_for(1),
        instances => voters_for((instances - 1) / 2),
    }
}

/// Returns the number of voters that bear the loss of this many of them at once.
pub fn voters_for(losses: usize) -> usize {
    2 * losses + 1
}

/// Returns the voters, and during a change of the voters also the earlier ones.
pub fn all_voters(members: &Members) -> impl Iterator<Item = &Member> {
    members.voters.iter().chain(members.outgoing.iter())
}

/// Returns the voter with this name, unless a different disk is recorded for it.
pub fn voter<'a>(members: &'a Members, instance: &InstanceName, disk: &DiskId) -> Option<&'a Member> {
    all_voters(members).find(|member| member.instance == *instance && matches_disk(member, disk))
}

/// Returns the voter or learner with this name, unless a different disk is recorded for it.
pub fn member<'a>(members: &'a Members, instance: &InstanceName, disk: &DiskId) -> Option<&'a Member> {
    let learner = || members.learners.get(instance).filter(|member| matches_disk(member, disk));
    voter(members, instance, disk).or_else(learner)
}

/// Returns the voters and learners, each instance once. Of an instance with two disks, this is the one with the newer
/// disk: a learner's, or that of a voter which replaces an earlier one.
pub fn all(members: &Members) -> impl Iterator<Item = &Member> {
    let is_learner = |member: &&Member| members.learners.contains(&member.instance);
    let voters = members.voters.iter().filter(move |member| !is_learner(member));
    let outgoing = members.outgoing.iter().filter(move |member| !is_learner(member));
    let outgoing = outgoing.filter(|member| !members.voters.contains(&member.instance));
    members.learners.iter().chain(voters).chain(outgoing)
}

/// Returns whether a recorded member is this instance with its disk.
pub fn is_own(core: &Core, member: &Member) -> bool {
    member.instance == core.settings.member.instance && matches_disk(member, &core.settings.member.disk)
}

/// Returns whether this instance's disk is not recorded as a member's.
pub fn is_not_member(core: &Core) -> bool {
    let own = &core.settings.member;
    let members = core.log.members();
    !is_bound(members) || member(members, &own.instance, &own.disk).is_none()
}

/// Sends join requests while this instance is not a member or hears no leader, since it may have been retired
/// during a network partition.
pub fn join_if_not_member(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let own = core.settings.member.clone();
    let is_leaderless = !core.election.is_leader()
        && core.election.leaderless_for(now) >= Duration::from_millis(LEADERLESS_JOIN_MS);
    let should_join = is_not_member(core) || is_leaderless;
    if !should_join || now < core.next_join_at {
        return;
    }
    core.next_join_at = now + Duration::from_millis(JOIN_INTERVAL_MS);
    let members = core.log.members();
    let initial = all(&core.settings.first_members);
    let known: SortedVec<Member> = core.seeds.iter().chain(initial).chain(all(members)).cloned().collect();
    for recipient in known.iter().filter(|recipient| recipient.instance != own.instance) {
        replicate::send(core, recipient, ReplicationBody::Join(own.clone()), out);
    }
}

/// Handles a join request: adds the instance as a learner. It becomes a voter once it has the log and a place is free,
/// see `reconfiguration`. Its old disk, if it was a voter, keeps its place until then.
///
/// A follower forwards the request to the leader, since the joining instance may know only followers.
pub fn on_join(core: &mut Core, now: Instant, joining: &Member, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        forward_join(core, joining, out);
        return;
    }
    let own = &core.settings.member.instance;
    if !can_change(core) || joining.instance == *own || !joining.disk.is_bound() {
        return;
    }
    let members = core.log.members();
    let earlier = all(members).find(|member| member.instance == joining.instance);
    let is_known = member(members, &joining.instance, &joining.disk).is_some();
    if is_known || (earlier.is_none() && all(members).count() >= MEMBERS_MAX) {
        return;
    }
    if earlier.is_some_and(|earlier| !can_supersede(core, now, earlier, joining)) {
        return;
    }
    let mut changed = members.clone();
    changed.learners.insert(joining.clone());
    let has_new_disk = if earlier.is_some() { " with a new disk" } else { "" };
    let text = format!("control instance {}{has_new_disk} was added as a learner", joining.instance);
    out.push(Effect::Log(text.into()));
    replicate::propose(core, now, Command::Members(changed), out);
}

/// Returns whether an instance with the same name and another disk may take a member's place.
fn can_supersede(core: &Core, now: Instant, earlier: &Member, joining: &Member) -> bool {
    let silence = now.saturating_since(core.replication.heard_at(earlier));
    let is_same_place = earlier.peer_address == joining.peer_address;
    let limit_ms = if is_same_place { VOTER_SILENT_MS } else { REPLACE_AFTER_MS };
    silence >= Duration::from_millis(limit_ms)
}

fn forward_join(core: &Core, joining: &Member, out: &mut Vec<Effect>) {
    let Some(leader) = election::leader_member(core) else { return };
    let is_own = leader.instance == core.settings.member.instance || leader.instance == joining.instance;
    if !is_own {
        replicate::send(core, leader, ReplicationBody::Join(joining.clone()), out);
    }
}

/// Begins the planned stop of this instance. It may end once it no longer is a voter, or if no other instance could
/// take its place: see [`Effect::Stopped`].
pub fn on_stop(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let until = now + Duration::from_millis(LEAVE_TIMEOUT_MS);
    core.planned_stop.get_or_insert(PlannedStop { until, next_request_at: now });
    continue_stop(core, now, out);
}

/// Continues a planned stop: asks the leader for a successor, and ends once there is no need to wait.
pub fn continue_stop(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let Some(stop) = core.planned_stop else { return };
    if now >= stop.until || !is_awaiting_successor(core) {
        out.push(Effect::Stopped);
        return;
    }
    if now < stop.next_request_at || core.election.is_leader() {
        return;
    }
    core.planned_stop =
        Some(PlannedStop { next_request_at: now + Duration::from_millis(LEAVE_INTERVAL_MS), ..stop });
    if let Some(leader) = election::leader_member(core) {
        replicate::send(core, leader, ReplicationBody::Leave, out);
    }
}

/// Returns whether this instance is a voter whose place another instance may take: the group has learners, or more
/// voters than it needs.
fn is_awaiting_successor(core: &Core) -> bool {
    let own = &core.settings.member;
    let members = core.log.members();
    let is_change_committed = core.log.members_index() <= core.log.commit;
    let is_voter = voter(members, &own.instance, &own.disk).is_some();
    let has_candidates =
        members.learners.iter().next().is_some() || all_voters(members).count() > core.voters_target;
    (is_voter && has_candidates) || !is_change_committed
}

/// Handles the request of an instance that is about to stop. The leader looks for a successor, see `reconfiguration`.
pub fn on_leave(core: &mut Core, now: Instant, leaving: Member) {
    if !core.election.is_leader() {
        return;
    }
    core.leaving.retain(|known| known.member.instance != leaving.instance);
    core.leaving.push(Leaving { member: leaving, asked_at: now });
}

/// Returns whether a member has said lately that it is about to stop.
pub fn is_leaving(core: &Core, now: Instant, member: &Member) -> bool {
    if is_own(core, member) {
        return core.planned_stop.is_some();
    }
    let is_valid = |asked_at: Instant| now.saturating_since(asked_at) < Duration::from_millis(LEAVE_VALID_MS);
    core.leaving.iter().any(|leaving| {
        leaving.member.instance == member.instance
            && leaving.member.disk == member.disk
            && is_valid(leaving.asked_at)
    })
}

/// Records the disks of the voters that have voted in the first election, which are all of them or a majority. The caller
/// sends the record to the followers.
pub fn record_voter_disks(core: &mut Core, disks: &[Member], out: &mut Vec<Effect>) {
    if is_bound(core.log.members()) {
        return;
    }
    let mut bound = core.log.members().clone();
    // A first member that has not voted is not counted until it has joined with its disk.
    bound.voters.retain(|voter| disks.iter().any(|member| member.instance == voter.instance));
    bound.voters =
        bound.voters.iter().map(|voter| with_recorded_disk(voter, disks)).collect::<SortedVec<_>>();
    replicate::append(core, Command::Members(bound), out);
}

fn with_recorded_disk(voter: &Member, disks: &[Member]) -> Member {
    let known = disks.iter().find(|member| member.instance == voter.instance);
    let bound =
        |known: &Member| Member { disk: known.disk.clone(), domain: known.domain.clone(), ..voter.clone() };
    known.map_or_else(|| voter.clone(), bound)
}

fn matches_disk(member: &Member, disk: &DiskId) -> bool {
    !member.disk.is_bound() || member.disk == *disk
}

/// Returns whether the members may be changed: one change at a time, and none before the leader has committed
/// a record of its own term.
pub fn can_change(core: &Core) -> bool {
    core.election.is_leader()
        && core.replication.has_committed_own_term(&core.log)
        && core.log.members_index() <= core.log.commit
}
