//! Messages that decode but hold extreme values, as from a faulty peer. A core that panics takes its process down, and
//! with it every session or lease that the process holds.

use {
    cumincart_core::{
        control, entry,
        interactive::admission::{AdmissionRequest, ConcurrencyLimiter},
    },
    cumincart_protocol::{
        announcement::{Announcement, LogState, Presence, Role},
        catalogue::{Catalogue, EndpointEntry, Group},
        heartbeat::{
            CatalogueUpdate, EndpointReport, Heartbeat, HeartbeatAnswer, PermitGrant, PermitReport, Share,
            ShareGrant, ShareReport,
        },
        lists::{Lists, Organisation, Plan},
        number::{ControlTerm, Incarnation, LogIndex, LogPosition, Revision, Term, Timeline},
        replication::{
            Append, AppendAnswer, DiskId, Member, Members, ReplicationBody, ReplicationMessage, VoteAnswer,
            VoteRequest,
        },
        time::Instant,
        usage::{IntervalCounts, UsageReport},
    },
    proptest::prelude::*,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
};

const SEED: u64 = 5;

/// The number of messages in one case: the later ones meet what the earlier ones left behind.
const MESSAGES: usize = 8;

fn number() -> BoxedStrategy<u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::from(u32::MAX)),
        Just(u64::MAX / 1_000),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        0..5_000_u64,
        any::<u64>()
    ]
    .boxed()
}

fn small_number() -> BoxedStrategy<u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), any::<u32>()].boxed()
}

fn instant() -> BoxedStrategy<Instant> {
    number().prop_map(Instant::from_micros).boxed()
}

fn share() -> BoxedStrategy<Share> {
    (number(), number())
        .prop_map(|(rate_milli_per_s, burst_milli)| Share { rate_milli_per_s, burst_milli })
        .boxed()
}

fn share_report() -> BoxedStrategy<ShareReport> {
    (number(), share(), share(), number(), small_number(), number())
        .prop_map(|(grant_number, held, basis, demand_milli_per_s, waiting, returned_milli)| ShareReport {
            organisation: "clinic".into(),
            grant_number,
            held,
            basis,
            demand_milli_per_s,
            waiting,
            returned_milli,
        })
        .boxed()
}

fn permit_report() -> BoxedStrategy<PermitReport> {
    (number(), small_number(), small_number(), small_number())
        .prop_map(|(grant_number, held, kept, wanted)| PermitReport {
            endpoint: "pbx-1".into(),
            grant_number,
            held,
            kept,
            wanted,
        })
        .boxed()
}

fn usage_report() -> BoxedStrategy<UsageReport> {
    let intervals = prop::collection::vec((number(), any::<u32>()), 0..3);
    (number(), intervals)
        .prop_map(|(unix_ms, intervals)| UsageReport {
            unix_ms,
            counts: vec![IntervalCounts { organisation: "clinic".into(), intervals }],
        })
        .boxed()
}

fn heartbeat() -> BoxedStrategy<Heartbeat> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let reports =
        (prop::collection::vec(share_report(), 0..3), prop::collection::vec(permit_report(), 0..3), number());
    let usage = prop::option::of(usage_report());
    (number(), instant(), number(), number(), flags, reports, usage)
        .prop_map(
            |(
                incarnation,
                asked_at,
                revision,
                instances_digest,
                flags,
                (shares, permits, since_ms),
                usage,
            )| {
                Heartbeat {
                    instance: "entry-1".into(),
                    incarnation: Incarnation(incarnation),
                    domain: "sofia-a".into(),
                    peer_address: "not an address".into(),
                    accepts_packed: false,
                    asked_at,
                    revision: Revision(revision),
                    leaving: flags.0,
                    complete: flags.1,
                    grants_term: None,
                    instances_digest,
                    control_digest: instances_digest,
                    endpoints: vec![EndpointReport {
                        endpoint: "pbx-1".into(),
                        reachable: flags.2,
                        since_ms,
                    }],
                    shares,
                    permits,
                    usage,
                }
            },
        )
        .boxed()
}

fn control_member(name: &str) -> Member {
    Member {
        instance: name.into(),
        disk: DiskId(format!("{name}-disk").into()),
        peer_address: "10.0.0.1:1".into(),
        domain: None,
    }
}

fn replication() -> BoxedStrategy<ReplicationMessage> {
    let append = (number(), number(), number(), instant()).prop_map(|(index, term, commit, sent_at)| {
        ReplicationBody::Append(Append {
            previous_index: LogIndex(index),
            previous_term: ControlTerm(term),
            records: Vec::new(),
            commit: LogIndex(commit),
            sent_at,
        })
    });
    let append_answer = (instant(), any::<bool>(), number()).prop_map(|(sent_at, success, matched)| {
        ReplicationBody::AppendAnswer(AppendAnswer { sent_at, success, matched: LogIndex(matched) })
    });
    let vote_request = |(term, index, last_term): (u64, u64, u64)| VoteRequest {
        term: ControlTerm(term),
        last_index: LogIndex(index),
        last_term: ControlTerm(last_term),
    };
    let numbers = || (number(), number(), number());
    let answer = |(term, granted): (u64, bool)| VoteAnswer { term: ControlTerm(term), granted };
    let body = prop_oneof![
        append,
        append_answer,
        numbers().prop_map(move |numbers| ReplicationBody::PreVote(vote_request(numbers))),
        numbers().prop_map(move |numbers| ReplicationBody::Vote(vote_request(numbers))),
        (number(), any::<bool>()).prop_map(move |fields| ReplicationBody::PreVoteAnswer(answer(fields))),
        (number(), any::<bool>()).prop_map(move |fields| ReplicationBody::VoteAnswer(answer(fields))),
    ];
    (number(), body)
        .prop_map(|(term, body)| ReplicationMessage {
            disk: DiskId("control-2-disk".into()),
            peer_address: "10.0.0.2:1".into(),
            incarnation: Incarnation(1),
            // The highest term is out of reach of elections: no instance could start one after it.
            term: ControlTerm(term.min(u64::MAX / 2)),
            domain: None,
            body,
        })
        .boxed()
}

fn presence() -> BoxedStrategy<Presence> {
    (number(), number(), small_number(), any::<bool>(), any::<bool>())
        .prop_map(|(born_ms, sequence, slots, leaving, ended)| Presence {
            endpoint: "pbx-1".into(),
            service: "pbx".into(),
            address: "10.0.1.1:5432".into(),
            domain: "sofia-a".into(),
            slots,
            leaving,
            ended,
            born_ms,
            sequence,
        })
        .boxed()
}

fn announcement() -> BoxedStrategy<Announcement> {
    (number(), number(), number(), small_number(), small_number(), any::<bool>())
        .prop_map(|(timeline, position, lag_ms, slots, connection_limit, is_primary)| Announcement {
            endpoint: "pbx-1".into(),
            service: "pbx".into(),
            address: "10.0.1.1:5432".into(),
            domain: "sofia-a".into(),
            role: if is_primary { Role::Primary } else { Role::Replica },
            timeline: Timeline(timeline),
            position: LogPosition(position),
            lag_ms,
            slots,
            connection_limit,
            leaving: false,
        })
        .boxed()
}

fn control_input() -> BoxedStrategy<control::Input> {
    prop_oneof![
        heartbeat().prop_map(|heartbeat| control::Input::Heartbeat(control::Ticket(1), Box::new(heartbeat))),
        replication().prop_map(|message| control::Input::Replication("control-2".into(), message)),
        presence().prop_map(control::Input::Present),
        announcement().prop_map(control::Input::Announced),
        number().prop_map(|ms| control::Input::Synced(Duration::from_millis(ms))),
    ]
    .boxed()
}

/// Returns the core of a group of one, which leads at once, or of two.
fn control_core(group_size: usize) -> control::Core {
    let own = control_member("control-1");
    let voters = [own.clone(), control_member("control-2")].into_iter().take(group_size).collect();
    let settings = control::Settings {
        member: own,
        incarnation: Incarnation(1),
        first_members: Members { voters, ..Members::default() },
    };
    let mut core =
        control::Core::open(settings, control::Stored::default(), ChaCha20Rng::seed_from_u64(SEED));
    core.catalogue = catalogue();
    core.usage.policy =
        Some(control::usage::Policy { window_ms: 5_000, late_ms: 10_000, takeover_ms: 3_000 });
    core
}

fn catalogue() -> Arc<Catalogue> {
    let plan = Plan { name: "small".into(), routes: Vec::new(), rate_per_s: 10.0, burst: 5, weight: 1 };
    let organisation = Organisation { name: "clinic".into(), plan: "small".into(), keys: Vec::new() };
    let mut lists = Lists::default();
    lists.plans.plans = vec![plan];
    lists.organisations.organisations = vec![organisation];
    let endpoint = EndpointEntry {
        name: "pbx-1".into(),
        address: "10.0.1.1:5432".into(),
        domain: "sofia-a".into(),
        slots: 3,
        connection_limit: 20,
        leaving: false,
    };
    let group = Group {
        service: "pbx".into(),
        term: Term(1),
        primary: Some("pbx-1".into()),
        writable: true,
        endpoints: std::iter::once(endpoint).collect(),
        term_starts: Vec::new(),
        commit_holders: Default::default(),
    };
    let groups = std::iter::once(group).collect();
    Arc::new(Catalogue { revision: Revision(1), lists: Arc::new(lists), groups, ..Catalogue::default() })
}

fn answer() -> BoxedStrategy<HeartbeatAnswer> {
    let share_grant = (number(), number(), share(), share(), number(), number()).prop_map(
        |(grant_number, replaces, share, basis, tokens_milli, next_token_ms)| ShareGrant {
            organisation: "clinic".into(),
            grant_number,
            replaces,
            share,
            basis,
            tokens_milli,
            next_token_ms,
        },
    );
    let permit_grant = (number(), number(), small_number(), small_number()).prop_map(
        |(grant_number, replaces, permits, kept)| PermitGrant {
            endpoint: "pbx-1".into(),
            grant_number,
            replaces,
            permits,
            kept,
        },
    );
    let grants = (prop::collection::vec(share_grant, 0..3), prop::collection::vec(permit_grant, 0..3));
    (instant(), number(), number(), number(), number(), grants, any::<bool>())
        .prop_map(
            |(
                asked_at,
                control_term,
                revision,
                term_lease_ms,
                freshness_lease_ms,
                (shares, permits),
                whole,
            )| {
                HeartbeatAnswer {
                    asked_at,
                    incarnation: Incarnation(1),
                    control_term: ControlTerm(control_term),
                    revision: Revision(revision),
                    term_lease_ms,
                    freshness_lease_ms,
                    update: if whole {
                        CatalogueUpdate::Snapshot(catalogue())
                    } else {
                        CatalogueUpdate::None
                    },
                    shares,
                    permits,
                    instances: None,
                    control_addresses: None,
                }
            },
        )
        .boxed()
}

proptest! {
    #[test]
    fn a_control_instance_survives_any_message(
        inputs in prop::collection::vec(control_input(), 1..MESSAGES),
        group_size in 1_usize..3,
    ) {
        let mut core = control_core(group_size);
        let mut out = Vec::new();
        let mut at_ms = 1_000;
        for input in inputs {
            for input in [control::Input::Tick, input, control::Input::Tick] {
                at_ms += 300;
                control::step(&mut core, Instant::from_millis(at_ms), input, &mut out);
            }
        }
    }

    #[test]
    fn an_entry_instance_survives_any_answer(answers in prop::collection::vec(answer(), 1..MESSAGES)) {
        let settings = entry::Settings {
            instance: "entry-1".into(),
            incarnation: Incarnation(1),
            domain: "sofia-a".into(),
            peer_address: "10.0.0.9:1".into(),
        };
        let mut core = entry::Core::open(settings, ChaCha20Rng::seed_from_u64(SEED));
        let mut out = Vec::new();
        let mut at_ms = 10_000;
        for answer in answers {
            at_ms += 300;
            let input = entry::Input::HeartbeatAnswer(Box::new(answer));
            entry::step(&mut core, Instant::from_millis(at_ms), input, &mut out);
            entry::step(&mut core, Instant::from_millis(at_ms + 1), entry::Input::Tick, &mut out);
        }
    }

    #[test]
    fn admission_survives_any_latency(samples in prop::collection::vec((number(), any::<bool>()), 1..50)) {
        let mut limiter = ConcurrencyLimiter::default();
        limiter.set_limit(4);
        for (index, (latency_us, is_refusal)) in samples.into_iter().enumerate() {
            let request = AdmissionRequest {
                ticket: index as u64,
                organisation: "clinic".into(),
                priority: 0,
                arrived_at: Instant::from_millis(1),
                start_by: Instant::from_millis(1_000),
            };
            limiter.admit(Instant::from_millis(2), request);
            limiter.observe(Duration::from_micros(latency_us), is_refusal);
            limiter.release(Some(Duration::from_micros(latency_us)));
        }
    }

    #[test]
    fn a_log_state_of_any_value_is_compared(
        positions in prop::collection::vec((number(), number(), number()), 1..10),
    ) {
        let mut core = control_core(1);
        let mut out = Vec::new();
        control::step(&mut core, Instant::from_millis(10), control::Input::Tick, &mut out);
        for (index, (timeline, position, lag_ms)) in positions.into_iter().enumerate() {
            let at = Instant::from_millis(100 + index as u64 * 100);
            let state = LogState {
                role: Role::Replica,
                timeline: Timeline(timeline),
                position: LogPosition(position),
                lag_ms,
            };
            let probe = control::Probe {
                service: "pbx".into(),
                endpoint: "pbx-1".into(),
                address: "10.0.1.1:5432".into(),
                sent_at: at,
            };
            control::step(&mut core, at, control::Input::Probed(probe, Some(state)), &mut out);
            control::step(&mut core, at, control::Input::Tick, &mut out);
        }
    }
}
