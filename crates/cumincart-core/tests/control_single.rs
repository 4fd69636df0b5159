//! A control group with one member: it elects itself, commits at once and serves requests.

use {
    cumincart_core::control::{
        Core, Effect, Input, Persist, PromotedState, Settings, Stored, Ticket, leases::LIST_INTERVAL_MS,
        push::COLLECT_MS, step,
    },
    cumincart_protocol::{
        announcement::{Announcement, Role},
        change::{Action, Change, ChangeId, Outcome},
        heartbeat::{CatalogueUpdate, Heartbeat, HeartbeatAnswer, InstanceEntry},
        instances::{self, InstancesUpdate},
        lists::Lists,
        number::{Incarnation, ListsRevision, LogPosition, Revision, Term, Timeline},
        peer::PeerBody,
        replication::{DiskId, Member, Members},
        sorted::SortedVec,
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::sync::Arc,
};

const SEED: u64 = 41;

fn open_core(stored: Stored) -> Core {
    let member = Member {
        instance: "control-1".into(),
        disk: DiskId("disk-1".into()),
        peer_address: "10.0.0.1:1".into(),
        domain: None,
    };
    let unbound = Member { disk: DiskId::unbound(), ..member.clone() };
    let voters = std::iter::once(unbound).collect();
    let first_members = Members { voters, ..Members::default() };
    let settings = Settings { member, incarnation: Incarnation(1), first_members };
    Core::open(settings, stored, ChaCha20Rng::seed_from_u64(SEED))
}

fn step_at(core: &mut Core, at_ms: u64, input: Input) -> Vec<Effect> {
    let mut out = Vec::new();
    step(core, Instant::from_millis(at_ms), input, &mut out);
    out
}

fn apply_lists(base: u64, id: &str) -> Change {
    let action = Action::Apply { base: ListsRevision(base), lists: Arc::new(Lists::default()) };
    Change { id: ChangeId(id.into()), action }
}

fn outcome(effects: &[Effect]) -> Outcome {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::AnswerOperator(_, Ok(outcome)) => Some(outcome.clone()),
        _ => None,
    });
    found.expect("the operator was answered")
}

fn heartbeat(revision: Revision) -> Heartbeat {
    Heartbeat {
        instance: "entry-1".into(),
        incarnation: Incarnation(7),
        domain: "sofia-a".into(),
        peer_address: "10.0.0.9:1".into(),
        accepts_packed: false,
        asked_at: Instant::from_millis(3),
        revision,
        leaving: false,
        complete: true,
        grants_term: None,
        instances_digest: 0,
        control_digest: 0,
        endpoints: Vec::new(),
        shares: Vec::new(),
        permits: Vec::new(),
        usage: None,
    }
}

fn send_heartbeat(core: &mut Core, at_ms: u64, revision: Revision) -> HeartbeatAnswer {
    send_heartbeat_with(core, at_ms, heartbeat(revision))
}

fn send_heartbeat_with(core: &mut Core, at_ms: u64, heartbeat: Heartbeat) -> HeartbeatAnswer {
    let effects = step_at(core, at_ms, Input::Heartbeat(Ticket(9), Box::new(heartbeat)));
    let found = effects.into_iter().find_map(|effect| match effect {
        Effect::AnswerHeartbeat(Ticket(9), PeerBody::HeartbeatAnswer(answer)) => Some(*answer),
        _ => None,
    });
    found.expect("the heartbeat was answered")
}

fn announcement(endpoint: &str, role: Role) -> Announcement {
    Announcement {
        endpoint: endpoint.into(),
        service: "pbx".into(),
        address: "10.0.1.1:5432".into(),
        domain: "sofia-a".into(),
        role,
        timeline: Timeline(4),
        position: LogPosition(1_000),
        lag_ms: 0,
        slots: 5,
        connection_limit: 30,
        leaving: false,
    }
}

#[test]
fn elects_itself_on_the_first_tick_and_answers_operators() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    let first = outcome(&step_at(&mut core, 20, Input::Operator(Ticket(1), apply_lists(0, "a"))));
    assert!(matches!(first, Outcome::Accepted { lists_revision: ListsRevision(1), .. }), "{first:?}");
    let racing = outcome(&step_at(&mut core, 30, Input::Operator(Ticket(2), apply_lists(0, "b"))));
    assert_eq!(racing, Outcome::Conflict { base: ListsRevision(0), current: ListsRevision(1) });
    assert_eq!(outcome(&step_at(&mut core, 40, Input::Operator(Ticket(3), apply_lists(0, "a")))), first);
}

#[test]
fn answers_a_heartbeat_with_a_lease_and_the_missing_changes() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    let first = send_heartbeat(&mut core, 20, Revision(0));
    assert_eq!(first.asked_at, Instant::from_millis(3));
    assert!(first.term_lease_ms > 0 && first.freshness_lease_ms > 0);
    let Some(InstancesUpdate::Whole(instances)) = first.instances else {
        panic!("a holder without a list gets the whole list: {:?}", first.instances)
    };
    assert_eq!(instances.len(), 1);
    step_at(&mut core, 30, Input::Operator(Ticket(1), apply_lists(0, "a")));
    let second = send_heartbeat(&mut core, 40, first.revision);
    assert!(matches!(second.update, CatalogueUpdate::Deltas(_)), "{:?}", second.update);
    let current = send_heartbeat(&mut core, 50, second.revision);
    assert_eq!(current.update, CatalogueUpdate::None);
}

#[test]
fn answers_the_last_heartbeat_again_after_a_change_without_extending_its_lease() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    let first = send_heartbeat(&mut core, 20, Revision(0));
    let effects = step_at(&mut core, 30, Input::Operator(Ticket(1), apply_lists(0, "a")));
    let pushed = effects.iter().find_map(|effect| match effect {
        Effect::AnswerHeartbeat(Ticket(9), PeerBody::HeartbeatAnswer(answer)) => Some(answer),
        _ => None,
    });
    let pushed = pushed.expect("the change was pushed");
    assert_eq!(pushed.asked_at, first.asked_at);
    assert!(pushed.revision > first.revision);
}

#[test]
fn adopts_the_announced_primary_for_the_first_term() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    for at_ms in (20..1_000).step_by(10) {
        step_at(&mut core, at_ms, Input::Tick);
        step_at(&mut core, at_ms, Input::Announced(announcement("pbx-1", Role::Primary)));
        step_at(&mut core, at_ms, Input::Announced(announcement("pbx-2", Role::Replica)));
    }
    let group = core.catalogue.group(&"pbx".into()).expect("the group is known");
    assert_eq!((group.term, group.writable), (Term(1), true));
    assert_eq!(group.primary, Some("pbx-1".into()));
    assert_eq!(group.endpoints.len(), 2);
    assert_eq!(group.term_starts[0].timeline, Timeline(4));
}

#[test]
fn remembers_outcomes_over_a_restart() {
    let mut core = open_core(Stored::default());
    let mut stored = Stored::default();
    let mut effects = step_at(&mut core, 10, Input::Tick);
    effects.extend(step_at(&mut core, 20, Input::Operator(Ticket(1), apply_lists(0, "a"))));
    let first = outcome(&effects);
    for effect in effects {
        match effect {
            Effect::Persist(Persist::Ballot(ballot)) => stored.ballot = ballot,
            Effect::Persist(Persist::Append(records)) => stored.records.extend(records),
            _ => {}
        }
    }
    let mut core = open_core(stored);
    step_at(&mut core, 10, Input::Tick);
    assert_eq!(outcome(&step_at(&mut core, 20, Input::Operator(Ticket(1), apply_lists(0, "a")))), first);
}

#[test]
fn moves_the_primary_out_of_a_domain_that_is_taken_out() {
    let mut core = open_core(Stored::default());
    let mut promoted = 0;
    for at_ms in (10..4_000).step_by(10) {
        let mut inputs = vec![Input::Tick];
        inputs.push(Input::Announced(announcement("pbx-1", Role::Primary)));
        // Once promoted, the replica announces itself as the primary.
        let role = if promoted == 0 { Role::Replica } else { Role::Primary };
        let other = Announcement { domain: "varna-a".into(), ..announcement("pbx-2", role) };
        inputs.push(Input::Announced(other));
        if at_ms == 1_000 {
            let action = Action::SetDomain { domain: "sofia-a".into(), out: true };
            inputs.push(Input::Operator(Ticket(1), Change { id: ChangeId("out".into()), action }));
        }
        while let Some(input) = inputs.pop() {
            for effect in step_at(&mut core, at_ms, input) {
                if let Effect::Promote(promotion) = effect {
                    promoted += 1;
                    let state = PromotedState { timeline: Timeline(5), start: LogPosition(1_000) };
                    inputs.push(Input::Promoted(promotion, Ok(state)));
                }
            }
        }
    }
    let group = core.catalogue.group(&"pbx".into()).expect("the group is known");
    assert_eq!((group.term, group.writable, promoted), (Term(2), true, 1));
    assert_eq!(group.primary, Some("pbx-2".into()));
}

#[test]
fn a_holder_gets_the_differences_to_the_list_of_instances_that_it_has() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    let first = send_heartbeat(&mut core, 20, Revision(0));
    let mut known_instances = SortedVec::new();
    first.instances.expect("a holder without a list gets one").apply(&mut known_instances);
    let with_list = |known_instances: &SortedVec<InstanceEntry>| Heartbeat {
        instances_digest: instances::digest(known_instances),
        ..heartbeat(first.revision)
    };
    assert_eq!(
        send_heartbeat_with(&mut core, 30, with_list(&known_instances)).instances,
        None,
        "it is current"
    );
    let joining = Heartbeat { instance: "entry-2".into(), ..heartbeat(Revision(0)) };
    let joined = send_heartbeat_with(&mut core, 40, joining).instances;
    assert!(matches!(joined, Some(InstancesUpdate::Whole(_))), "{joined:?}");
    // The list with the joined instance follows once its interval has passed.
    for at_ms in [20 + LIST_INTERVAL_MS, 30 + LIST_INTERVAL_MS] {
        let update = send_heartbeat_with(&mut core, at_ms, with_list(&known_instances)).instances;
        let Some(InstancesUpdate::Changes { ended, joined }) = update else {
            panic!("a lost update is sent again as a difference: {update:?}")
        };
        assert_eq!((ended.len(), joined.len()), (0, 1));
    }
}

/// A start of a whole fleet: two hundred instances join within half a second, each with a heartbeat of its own.
#[test]
fn while_hundreds_of_instances_join_a_holder_gets_differences() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    let first = send_heartbeat(&mut core, 20, Revision(0));
    let mut known_instances = SortedVec::new();
    first.instances.expect("a holder without a list gets one").apply(&mut known_instances);
    for number in 0..200 {
        let joining =
            Heartbeat { instance: format!("entry-a-{number}").as_str().into(), ..heartbeat(Revision(0)) };
        send_heartbeat_with(&mut core, 25 + number * 2, joining);
    }
    let update =
        Heartbeat { instances_digest: instances::digest(&known_instances), ..heartbeat(first.revision) };
    let update = send_heartbeat_with(&mut core, 520, update).instances;
    assert!(matches!(update, Some(InstancesUpdate::Changes { .. })), "a whole list was sent: {update:?}");
}

fn pushes(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::AnswerHeartbeat(..))).count()
}

/// A start of a whole fleet: dozens of endpoints register one after the other.
#[test]
fn endpoints_that_register_together_reach_a_holder_in_few_updates() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    send_heartbeat(&mut core, 20, Revision(0));
    let mut updates = 0;
    for number in 0..60 {
        let endpoint = announcement(&format!("pbx-{number}"), Role::Replica);
        updates += pushes(&step_at(&mut core, 30 + number * 5, Input::Announced(endpoint)));
        updates += pushes(&step_at(&mut core, 32 + number * 5, Input::Tick));
    }
    assert!(updates <= 2, "{updates} updates for 60 endpoints within 300 ms");
    updates += pushes(&step_at(&mut core, 330 + COLLECT_MS, Input::Tick));
    assert!(updates >= 1, "the last changes are sent without a heartbeat");
    assert_eq!(pushes(&step_at(&mut core, 340 + 2 * COLLECT_MS, Input::Tick)), 0, "nothing is sent twice");
}

#[test]
fn an_operators_change_reaches_holders_at_once() {
    let mut core = open_core(Stored::default());
    step_at(&mut core, 10, Input::Tick);
    send_heartbeat(&mut core, 20, Revision(0));
    let effects = step_at(&mut core, 30, Input::Operator(Ticket(1), apply_lists(0, "a")));
    assert_eq!(pushes(&effects), 1);
}

/// Steps a core and stores what it persists. Answers each request for a promotion as an endpoint that keeps its timeline.
fn step_and_store(core: &mut Core, stored: &mut Stored, at_ms: u64, input: Input) -> usize {
    let mut inputs = vec![input];
    let mut requests = 0;
    while let Some(input) = inputs.pop() {
        for effect in step_at(core, at_ms, input) {
            match effect {
                Effect::Persist(Persist::Ballot(ballot)) => stored.ballot = ballot,
                Effect::Persist(Persist::Append(records)) => stored.records.extend(records),
                Effect::Promote(promotion) => {
                    requests += 1;
                    let state = PromotedState { timeline: Timeline(4), start: LogPosition(0) };
                    inputs.push(Input::Promoted(promotion, Ok(state)));
                }
                _ => {}
            }
        }
    }
    requests
}

/// Guards against a term that starts where its timeline did, so that all commits since count as lost: a primary is confirmed
/// by a leader that has just been elected and does not know its position.
#[test]
fn a_kept_timeline_starts_its_term_at_the_position_of_its_primary() {
    let mut stored = Stored::default();
    let mut core = open_core(Stored::default());
    let announce = |core: &mut Core, stored: &mut Stored, at_ms: u64| {
        step_and_store(core, stored, at_ms, Input::Announced(announcement("pbx-1", Role::Primary)))
    };
    for at_ms in (10..1_000).step_by(10) {
        step_and_store(&mut core, &mut stored, at_ms, Input::Tick);
        announce(&mut core, &mut stored, at_ms);
    }
    // The primary is silent for long, and comes back.
    for at_ms in (1_000..9_000).step_by(10) {
        step_and_store(&mut core, &mut stored, at_ms, Input::Tick);
    }
    let promotes = |effect: &Effect| matches!(effect, Effect::Promote(_));
    let mut is_requested = false;
    for at_ms in (9_000..12_000).step_by(10) {
        for input in [Input::Announced(announcement("pbx-1", Role::Primary)), Input::Tick] {
            let effects = step_at(&mut core, at_ms, input);
            is_requested |= effects.iter().any(promotes);
            for effect in effects {
                if let Effect::Persist(Persist::Append(records)) = effect {
                    stored.records.extend(records);
                }
            }
        }
        if is_requested {
            break;
        }
    }
    assert!(is_requested, "the former primary is to be confirmed");
    let mut core = open_core(stored.clone());
    for at_ms in (20_000..21_000).step_by(10) {
        step_and_store(&mut core, &mut stored, at_ms, Input::Tick);
    }
    let group = core.catalogue.group(&"pbx".into()).expect("the group is known");
    assert_eq!((group.term, group.writable), (Term(2), false), "its position is not known");
    for at_ms in (21_000..22_000).step_by(10) {
        announce(&mut core, &mut stored, at_ms);
        step_and_store(&mut core, &mut stored, at_ms, Input::Tick);
    }
    let group = core.catalogue.group(&"pbx".into()).expect("the group is known");
    assert!(group.writable, "{group:?}");
    assert_eq!(group.term_starts.last().map(|start| start.position), Some(LogPosition(1_000)));
}
