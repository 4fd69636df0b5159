//! The leader's plan for the voters, over all groups of up to four instances and all conditions that they may be in.

use {
    cumincart_core::control::{
        members::is_quorum,
        reconfiguration::{Condition, LEARNER_SILENT_MS, plan},
    },
    cumincart_protocol::replication::{DiskId, Member, Members},
    std::time::Duration,
    test_case::test_case,
};

const SILENT_AFTER: Duration = Duration::from_millis(600);
const LEADER: usize = 0;
const INSTANCES: usize = 4;
/// More steps than any group needs to come to rest.
const STEPS_MAX: usize = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy,
    Silent,
    Leaving,
    Behind,
    /// Its disk was replaced: the earlier one is silent, the new one has the log.
    Repaired,
}

const STATES: [State; 5] = [State::Healthy, State::Silent, State::Leaving, State::Behind, State::Repaired];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    None,
    Voter,
    Learner,
}

fn member(number: usize, disk: &str) -> Member {
    let name = format!("control-{number}");
    Member {
        instance: name.as_str().into(),
        disk: DiskId(disk.into()),
        peer_address: name.into(),
        domain: Some(format!("domain-{}", number % 3).as_str().into()),
    }
}

fn number_of(member: &Member) -> usize {
    let name = member.instance.as_str();
    name.strip_prefix("control-").and_then(|number| number.parse().ok()).expect("the name has a number")
}

fn condition(states: &[State], member: &Member) -> Condition {
    let number = number_of(member);
    let state = states[number];
    let is_old_disk = &*member.disk.0 == "old";
    let is_silent = state == State::Silent || (state == State::Repaired && is_old_disk);
    Condition {
        silence: if is_silent { Duration::from_millis(LEARNER_SILENT_MS) } else { Duration::ZERO },
        is_caught_up: state != State::Behind,
        is_leaving: state == State::Leaving,
        is_leader: number == LEADER,
    }
}

fn members(roles: &[Role], states: &[State]) -> Members {
    let mut members = Members::default();
    for (number, (role, state)) in roles.iter().zip(states).enumerate() {
        match role {
            Role::None => {}
            Role::Voter => {
                members.voters.insert(member(number, "old"));
                if *state == State::Repaired {
                    members.learners.insert(member(number, "new"));
                }
            }
            Role::Learner => {
                members.learners.insert(member(number, "old"));
            }
        }
    }
    members
}

/// Calls `check` with all groups that the leader leads, and all states of their instances.
fn for_all_groups(check: impl Fn(&Members, &[State])) {
    let roles = [Role::None, Role::Voter, Role::Learner];
    for role_number in 0..3_usize.pow(INSTANCES as u32) {
        let roles: Vec<Role> =
            (0..INSTANCES).map(|number| roles[role_number / 3_usize.pow(number as u32) % 3]).collect();
        if roles[LEADER] != Role::Voter {
            continue;
        }
        for state_number in 0..5_usize.pow(INSTANCES as u32) {
            let states: Vec<State> =
                (0..INSTANCES).map(|number| STATES[state_number / 5_usize.pow(number as u32) % 5]).collect();
            if matches!(states[LEADER], State::Healthy | State::Leaving) {
                check(&members(&roles, &states), &states);
            }
        }
    }
}

/// Returns all sets of members, as the disks that each contains.
fn subsets(disks: &[Member]) -> impl Iterator<Item = Vec<&Member>> {
    (0..1_usize << disks.len()).map(move |bits| {
        disks.iter().enumerate().filter(|(index, _)| bits >> index & 1 == 1).map(|(_, disk)| disk).collect()
    })
}

fn has_quorum(members: &Members, live: &[&Member]) -> bool {
    is_quorum(members, |voter| {
        live.iter().any(|one| one.instance == voter.instance && one.disk == voter.disk)
    })
}

fn disks_of(states: &[State]) -> Vec<Member> {
    let old = (0..INSTANCES).map(|number| member(number, "old"));
    let repaired = (0..INSTANCES).filter(|number| states[*number] == State::Repaired);
    old.chain(repaired.map(|number| member(number, "new"))).collect()
}

/// Plans until nothing is due, and calls `check` for each step.
fn for_each_step(
    members: &Members,
    states: &[State],
    target: usize,
    mut check: impl FnMut(&Members, &Members, &str),
) -> Members {
    let mut current = members.clone();
    for _ in 0..STEPS_MAX {
        let next = plan(&current, target, SILENT_AFTER, |member| condition(states, member));
        let Some(change) = next else { return current };
        check(&current, &change.members, &change.text);
        current = change.members;
    }
    panic!("no end of changes from {members:?} with {states:?}: {current:?}");
}

/// Guards against two leaders: any quorum before a change has an instance in common with any quorum after it.
#[test_case(1; "target of one")]
#[test_case(3; "target of three")]
fn quorums_before_and_after_each_change_overlap(target: usize) {
    for_all_groups(|members, states| {
        let disks = disks_of(states);
        for_each_step(members, states, target, |before, after, text| {
            for one in subsets(&disks).filter(|one| has_quorum(before, one)) {
                let rest: Vec<&Member> = disks.iter().filter(|disk| !one.contains(disk)).collect();
                assert!(!has_quorum(after, &rest), "{text}: {before:?} {states:?}");
            }
        });
    });
}

/// Guards against changes that cost the group its quorum: what is alive and has the log is a quorum after each change if
/// it was one before.
#[test_case(1; "target of one")]
#[test_case(3; "target of three")]
fn no_change_takes_the_quorum_from_what_is_alive(target: usize) {
    for_all_groups(|members, states| {
        let disks = disks_of(states);
        let is_alive = |disk: &&Member| {
            let condition = condition(states, disk);
            condition.silence < SILENT_AFTER
        };
        let alive: Vec<&Member> = disks.iter().filter(is_alive).collect();
        for_each_step(members, states, target, |before, after, text| {
            let is_kept = has_quorum(after, &alive) || !has_quorum(before, &alive);
            assert!(is_kept, "{text}: {before:?} {states:?}");
        });
    });
}

/// Guards against a group that comes to rest with a voter that is gone, though a learner could replace it.
#[test]
fn a_group_at_rest_has_no_voter_that_a_learner_could_replace() {
    for_all_groups(|members, states| {
        let target = 3;
        let rest = for_each_step(members, states, target, |_, _, _| {});
        assert!(rest.outgoing.is_empty(), "{rest:?}");
        let is_gone = |voter: &&Member| {
            let condition = condition(states, voter);
            condition.is_leaving || condition.silence >= SILENT_AFTER
        };
        let is_ready = |learner: &&Member| {
            let condition = condition(states, learner);
            condition.is_caught_up && !condition.is_leaving && condition.silence < SILENT_AFTER
        };
        let gone = rest.voters.iter().filter(is_gone).count();
        let ready = rest.learners.iter().filter(is_ready).count();
        assert!(gone == 0 || ready == 0, "{rest:?} {states:?}");
        assert!(gone == 0 || rest.voters.len() <= target, "{rest:?} {states:?}");
        assert!(rest.voters.len() >= members.voters.len().min(target), "{rest:?} {states:?}");
    });
}

/// A loss of one failure domain takes no more voters than it must.
#[test]
fn voters_spread_over_the_failure_domains() {
    let states = [State::Healthy; INSTANCES];
    // Instances 0 and 3 share a failure domain.
    let crowded = members(&[Role::Voter, Role::Voter, Role::Learner, Role::Voter], &states);
    let rest = for_each_step(&crowded, &states, 3, |_, _, _| {});
    let voters: Vec<usize> = rest.voters.iter().map(number_of).collect();
    assert_eq!(voters, [0, 1, 2]);
}
