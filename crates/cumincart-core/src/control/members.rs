//! Membership of the control group: quorums, and membership changes, one at a time and through learners.
//!
//! Members named by the settings have no disk identity yet: they are *unbound*. Until the group has recorded
//! its members' disks, a quorum is all of its members. So an instance whose disk was wiped can never vote
//! under its former identity.

use {
    super::{Core, Effect, election, replicate},
    cumincart_protocol::{
        name::InstanceName,
        replication::{Command, DiskId, Member, Members, ReplicationBody},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// The interval between two join requests, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 1_000;

/// How long a member's old disk must be silent before an instance with the same name and a new disk replaces
/// it, in milliseconds. It prevents two processes that were started under one name by mistake from replacing
/// each other.
pub const REPLACE_AFTER_MS: u64 = 2_000;

/// The maximum number of control instances in the group.
pub const MEMBERS_MAX: usize = 8;

/// How long a member hears no leader before it sends join requests in case it was removed, in milliseconds.
/// It covers several election timeouts, so an ordinary change of leader causes no request.
pub const LEADERLESS_JOIN_MS: u64 = 2_000;

/// The minimum number of voters that remain when silent voters are retired: a smaller group would not survive
/// the loss of a voter.
pub const VOTERS_MIN: usize = 3;

/// How long a voter of an even-sized group must be silent before it is retired, in milliseconds. An
/// even-sized group tolerates no more failures than the odd-sized group below it, so retiring the voter costs
/// no fault tolerance.
pub const RETIRE_EVEN_MS: u64 = 2_500;

/// How long a voter of an odd-sized group must be silent before it is retired, in milliseconds.
pub const RETIRE_ODD_MS: u64 = 10_000;

/// Returns whether the members for which `granted` holds are a quorum of the voters.
pub fn is_quorum(members: &Members, granted: impl Fn(&Member) -> bool) -> bool {
    let voters = members.voters.len();
    let count = members.voters.iter().filter(|member| granted(member)).count();
    let needed = if is_bound(members) { voters / 2 + 1 } else { voters };
    voters > 0 && count >= needed
}

/// Returns whether the disks of all voters are recorded.
pub fn is_bound(members: &Members) -> bool {
    members.voters.iter().all(|member| member.disk.is_bound())
}

/// Returns the voter with this name, unless a different disk is recorded for it.
pub fn voter<'a>(members: &'a Members, instance: &InstanceName, disk: &DiskId) -> Option<&'a Member> {
    members.voters.get(instance).filter(|member| matches_disk(member, disk))
}

/// Returns the voter or learner with this name, unless a different disk is recorded for it.
pub fn member<'a>(members: &'a Members, instance: &InstanceName, disk: &DiskId) -> Option<&'a Member> {
    let learner = || members.learners.get(instance).filter(|member| matches_disk(member, disk));
    voter(members, instance, disk).or_else(learner)
}

/// Returns the voters and learners.
pub fn all(members: &Members) -> impl Iterator<Item = &Member> {
    members.voters.iter().chain(members.learners.iter())
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

/// Handles a join request: first removes the instance's old disk, then adds the new one as a learner.
///
/// A follower forwards the request to the leader, since the joining instance may know only followers.
pub fn on_join(core: &mut Core, now: Instant, joining: &Member, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        forward_join(core, joining, out);
        return;
    }
    if !can_change_members(core)
        || joining.instance == core.settings.member.instance
        || !joining.disk.is_bound()
    {
        return;
    }
    let members = core.log.members();
    let is_full = members.voters.len() + members.learners.len() >= MEMBERS_MAX;
    let is_current_member = all(members).any(|member| member.instance == joining.instance);
    if member(members, &joining.instance, &joining.disk).is_some() || (is_full && !is_current_member) {
        return;
    }
    let silence = now.saturating_since(core.replication.heard_at(&joining.instance));
    if is_current_member && silence < Duration::from_millis(REPLACE_AFTER_MS) {
        return;
    }
    let mut changed = members.clone();
    let message = if changed.voters.remove(&joining.instance).is_some() {
        format!(
            "control instance {} has a new disk; the old one was removed from the voters",
            joining.instance
        )
    } else {
        changed.learners.insert(joining.clone());
        format!("control instance {} was added as a learner", joining.instance)
    };
    out.push(Effect::Log(message.into()));
    replicate::propose(core, now, Command::Members(changed), out);
}

fn forward_join(core: &Core, joining: &Member, out: &mut Vec<Effect>) {
    let Some(leader) = election::leader_hint(core) else { return };
    let is_own = leader.instance == core.settings.member.instance || leader.instance == joining.instance;
    let known = all(core.log.members()).find(|member| member.instance == leader.instance);
    if let Some(leader) = known.filter(|_| !is_own) {
        replicate::send(core, leader, ReplicationBody::Join(joining.clone()), out);
    }
}

/// Removes a voter that has been silent for long. Without this, a group whose failed member was replaced by
/// another instance would still count the failed one.
pub fn retire_silent_voter(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let members = core.log.members();
    if members.voters.len() <= VOTERS_MIN || !can_change_members(core) {
        return;
    }
    let is_even = members.voters.len().is_multiple_of(2);
    let limit = Duration::from_millis(if is_even { RETIRE_EVEN_MS } else { RETIRE_ODD_MS });
    let own = &core.settings.member.instance;
    let silent = members.voters.iter().find(|voter| {
        let silence = now.saturating_since(core.replication.heard_at(&voter.instance));
        voter.instance != *own && silence >= limit
    });
    let Some(silent) = silent.map(|voter| voter.instance.clone()) else { return };
    let mut changed = members.clone();
    changed.voters.remove(&silent);
    out.push(Effect::Log(
        format!("control instance {silent} is silent and was removed from the voters").into(),
    ));
    replicate::propose(core, now, Command::Members(changed), out);
}

/// Makes a learner a voter once it has the whole log.
pub fn promote_learners(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.log.members().learners.is_empty() || !can_change_members(core) {
        return;
    }
    let last = core.log.last_index();
    let mut learners = core.log.members().learners.iter();
    let ready = learners.find(|learner| core.replication.match_index(&learner.instance) >= last);
    let Some(ready) = ready.cloned() else { return };
    let mut changed = core.log.members().clone();
    changed.learners.remove(&ready.instance);
    let name = ready.instance.clone();
    changed.voters.insert(ready);
    out.push(Effect::Log(format!("control instance {name} has caught up and became a voter").into()));
    replicate::propose(core, now, Command::Members(changed), out);
}

/// Records the disks of the voters once all of them have voted. The caller sends the record to the followers.
pub fn record_voter_disks(core: &mut Core, disks: &[Member], out: &mut Vec<Effect>) {
    if is_bound(core.log.members()) {
        return;
    }
    let mut bound = core.log.members().clone();
    bound.voters =
        bound.voters.iter().map(|voter| with_recorded_disk(voter, disks)).collect::<SortedVec<_>>();
    replicate::append(core, Command::Members(bound), out);
}

fn with_recorded_disk(voter: &Member, disks: &[Member]) -> Member {
    let known = disks.iter().find(|member| member.instance == voter.instance);
    known.map_or_else(|| voter.clone(), |known| Member { disk: known.disk.clone(), ..voter.clone() })
}

fn matches_disk(member: &Member, disk: &DiskId) -> bool {
    !member.disk.is_bound() || member.disk == *disk
}

/// Returns whether the members may be changed: one change at a time, and none before the leader has committed
/// a record of its own term.
fn can_change_members(core: &Core) -> bool {
    core.election.is_leader()
        && core.replication.has_committed_own_term(&core.log)
        && core.log.members_index() <= core.log.commit
}
