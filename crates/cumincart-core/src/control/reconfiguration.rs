//! Decides how the leader changes the voters: which learner becomes one, and whose place it takes.
//!
//! The group keeps as many voters as it needs to bear the losses that it must bear. Other instances stand by as
//! learners. A voter whose disk was replaced, that is about to stop, or that is silent gives its place to a learner that
//! has the log. Such a change needs a majority of both the earlier and the new voters until it is complete, so that it
//! can be interrupted at any point. See `docs/design/voters.md`.

use {
    super::{Core, Effect, election::CHECK_QUORUM_MS, members, replicate},
    cumincart_protocol::{
        name::{DomainName, InstanceName},
        replication::{Command, Member, Members},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// How long a voter must be silent before a learner takes its place, in milliseconds. Slow disks add to it.
pub const VOTER_SILENT_MS: u64 = CHECK_QUORUM_MS;

/// How long a learner must be silent before it is removed, in milliseconds. One that comes back asks to join again.
pub const LEARNER_SILENT_MS: u64 = 5_000;

/// What the leader knows of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Condition {
    /// How long nothing was heard from it; zero for the leader itself.
    pub silence: Duration,
    /// Whether it has all committed records.
    pub is_caught_up: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether it is the leader.
    pub is_leader: bool,
}

/// A change of the members, with the text to log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The members after it.
    pub members: Members,
    /// The text.
    pub text: Arc<str>,
}

/// Changes the members if that is due: one change at a time.
pub fn advance(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !members::can_change(core) || !members::is_bound(core.log.members()) {
        return;
    }
    let silent_after = Duration::from_millis(VOTER_SILENT_MS) + core.election.response_allowance(now);
    let condition = |member: &Member| condition_of(core, now, member);
    let Some(change) = plan(core.log.members(), core.voters_target, silent_after, condition) else { return };
    out.push(Effect::Log(change.text));
    replicate::propose(core, now, Command::Members(change.members), out);
}

fn condition_of(core: &Core, now: Instant, member: &Member) -> Condition {
    let is_leader = members::is_own(core, member);
    let silence = now.saturating_since(core.replication.heard_at(member));
    Condition {
        silence: if is_leader { Duration::ZERO } else { silence },
        is_caught_up: is_leader || core.replication.match_index(member) >= core.log.commit,
        is_leaving: members::is_leaving(core, now, member),
        is_leader,
    }
}

/// Returns the next change of the members; `None` if none is due.
///
/// `target` is the number of voters that the group needs. A voter that was silent for `silent_after` may lose its place.
pub fn plan(
    members: &Members,
    target: usize,
    silent_after: Duration,
    condition: impl Fn(&Member) -> Condition,
) -> Option<Change> {
    if !members.outgoing.is_empty() {
        return Some(complete(members));
    }
    let is_ready = |learner: &&Member| {
        let condition = condition(learner);
        condition.is_caught_up && !condition.is_leaving && condition.silence < silent_after
    };
    let ready: Vec<&Member> = members.learners.iter().filter(is_ready).collect();
    let replaced = ready.iter().find(|learner| members.voters.contains(&learner.instance));
    if let Some(successor) = replaced {
        let voter = members.voters.get(&successor.instance)?;
        return Some(swap(members, voter, successor, "its disk was replaced"));
    }
    let departing = Departing::among(members, silent_after, &condition);
    if let Some((voter, why)) = departing.first_to_replace()
        && let Some(successor) = successor_of(members, voter, &ready)
    {
        return Some(swap(members, voter, successor, why));
    }
    if members.voters.len() > target
        && let Some((voter, why)) = departing.first_to_remove()
    {
        return Some(remove_voter(members, voter, why));
    }
    if members.voters.len() < target
        && let Some(learner) = best_addition(members, &ready)
    {
        return Some(add_voter(members, learner));
    }
    if let Some((voter, learner)) = better_spread(members, &ready, &condition) {
        return Some(swap(members, voter, learner, "its failure domain has other voters"));
    }
    silent_learner(members, &condition).map(|learner| remove_learner(members, learner))
}

/// A voter that should give up its place, and why.
type Departure<'a> = (&'a Member, &'static str);

/// The voters that should give up their places: one of each kind.
#[derive(Debug)]
struct Departing<'a> {
    /// A follower that is about to stop.
    leaving: Option<Departure<'a>>,
    silent: Option<Departure<'a>>,
    /// The leader, if it is about to stop. It comes last, since the others need it to find successors.
    leader: Option<Departure<'a>>,
}

impl<'a> Departing<'a> {
    fn among(
        members: &'a Members,
        silent_after: Duration,
        condition: &impl Fn(&Member) -> Condition,
    ) -> Self {
        let mut departing = Self { leaving: None, silent: None, leader: None };
        for voter in members.voters.iter() {
            let condition = condition(voter);
            if condition.is_leaving {
                let place = if condition.is_leader { &mut departing.leader } else { &mut departing.leaving };
                place.get_or_insert((voter, "it is about to stop"));
            }
            if condition.silence >= silent_after {
                departing.silent.get_or_insert((voter, "it is silent"));
            }
        }
        departing
    }

    /// Returns the voter that a learner should replace first. One that is about to stop waits for it.
    fn first_to_replace(&self) -> Option<Departure<'a>> {
        self.leaving.or(self.silent).or(self.leader)
    }

    /// Returns the voter that should be removed first. Without a silent one, what is alive needs a smaller quorum;
    /// without one that is about to stop, it would be fewer.
    fn first_to_remove(&self) -> Option<Departure<'a>> {
        self.silent.or(self.leaving).or(self.leader)
    }
}

/// Returns the learner that replaces a voter: one of the same failure domain if there is one, otherwise one whose domain
/// has the fewest voters.
fn successor_of<'a>(members: &Members, voter: &Member, ready: &[&'a Member]) -> Option<&'a Member> {
    let voters = |learner: &Member| {
        let own_place = usize::from(domain_of(voter) == domain_of(learner));
        voters_in(members, domain_of(learner)) - own_place
    };
    let is_elsewhere = |learner: &Member| domain_of(learner) != domain_of(voter);
    ready.iter().copied().min_by_key(|learner| (voters(learner), is_elsewhere(learner)))
}

/// Returns the learner whose failure domain has the fewest voters.
fn best_addition<'a>(members: &Members, ready: &[&'a Member]) -> Option<&'a Member> {
    ready.iter().copied().min_by_key(|learner| voters_in(members, domain_of(learner)))
}

/// Returns a voter and a learner whose exchange spreads the voters over more failure domains.
fn better_spread<'a>(
    members: &'a Members,
    ready: &[&'a Member],
    condition: &impl Fn(&Member) -> Condition,
) -> Option<(&'a Member, &'a Member)> {
    let learner = best_addition(members, ready)?;
    let followers = members.voters.iter().filter(|voter| !condition(voter).is_leader);
    let voter = followers.max_by_key(|voter| voters_in(members, domain_of(voter)))?;
    let is_better = voters_in(members, domain_of(voter)) > voters_in(members, domain_of(learner)) + 1;
    is_better.then_some((voter, learner))
}

fn silent_learner<'a>(members: &'a Members, condition: &impl Fn(&Member) -> Condition) -> Option<&'a Member> {
    let limit = Duration::from_millis(LEARNER_SILENT_MS);
    members.learners.iter().find(|learner| condition(learner).silence >= limit)
}

/// A failure domain, or an instance whose domain is not known, which counts as a domain of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place<'a> {
    Domain(&'a DomainName),
    Instance(&'a InstanceName),
}

fn domain_of(member: &Member) -> Place<'_> {
    member.domain.as_ref().map_or(Place::Instance(&member.instance), Place::Domain)
}

fn voters_in(members: &Members, place: Place<'_>) -> usize {
    members.voters.iter().filter(|voter| domain_of(voter) == place).count()
}

/// Begins the exchange of a voter for a learner. The voter becomes a learner, unless its disk was replaced.
fn swap(members: &Members, voter: &Member, successor: &Member, why: &str) -> Change {
    let mut changed = members.clone();
    changed.outgoing = members.voters.clone();
    changed.learners.remove(&successor.instance);
    changed.voters.remove(&voter.instance);
    changed.voters.insert(successor.clone());
    if voter.instance != successor.instance && !changed.learners.contains(&voter.instance) {
        changed.learners.insert(voter.clone());
    }
    let text = format!(
        "control instance {} has caught up and becomes a voter in place of {}: {why}",
        successor.instance, voter.instance
    );
    Change { members: changed, text: text.into() }
}

fn complete(members: &Members) -> Change {
    let mut changed = members.clone();
    changed.outgoing = Default::default();
    let voters: Vec<&str> = members.voters.iter().map(|voter| voter.instance.as_str()).collect();
    Change { members: changed, text: format!("the voters are {}", voters.join(", ")).into() }
}

fn add_voter(members: &Members, learner: &Member) -> Change {
    let mut changed = members.clone();
    changed.learners.remove(&learner.instance);
    changed.voters.insert(learner.clone());
    let text = format!("control instance {} has caught up and became a voter", learner.instance);
    Change { members: changed, text: text.into() }
}

fn remove_voter(members: &Members, voter: &Member, why: &str) -> Change {
    let mut changed = members.clone();
    changed.voters.remove(&voter.instance);
    if !changed.learners.contains(&voter.instance) {
        changed.learners.insert(voter.clone());
    }
    let text = format!("control instance {} was removed from the voters: {why}", voter.instance);
    Change { members: changed, text: text.into() }
}

fn remove_learner(members: &Members, learner: &Member) -> Change {
    let mut changed = members.clone();
    changed.learners.remove(&learner.instance);
    let text = format!("control instance {} is silent and was removed from the learners", learner.instance);
    Change { members: changed, text: text.into() }
}
