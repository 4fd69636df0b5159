//! Tests of keys, plans and routes: which requests are admitted, and how soon changes take effect.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

use {
    cumincart_core::{
        entry::{
            Core, Settings,
            admission::{Admitted, admit, still_allowed},
            freshness::{AnswerOutcome, DropReason},
            membership::on_answer,
        },
        timing::FRESHNESS_LEASE_MS,
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueChange, CatalogueDelta, CatalogueUpdate, HeartbeatAnswer},
        lists::{
            Access, FixedStatement, KeyDigest, Lists, Organisation, ParameterSource, Plan, Route,
            RouteReference, Service,
        },
        number::{ControlTerm, Incarnation, ListsRevision, Revision},
        refusal::{Refusal, RefusalCode},
        request::{Argument, Call, CallerRequest, Operation, Value},
        session::Session,
        time::Instant,
    },
    fleet::{Clock, Fleet},
    rand::SeedableRng,
    rand_chacha::ChaCha20Rng,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
};

const CLINIC_KEY: [u8; 32] = [0xa1; 32];
const TAXI_KEY: [u8; 32] = [0xb2; 32];
const UNKNOWN_KEY: [u8; 32] = [0xc3; 32];

/// A key whose digest differs from the clinic's only in the last byte.
const NEAR_KEY: [u8; 32] = {
    let mut digest = CLINIC_KEY;
    digest[31] = 0;
    digest
};

fn hex(digest: [u8; 32]) -> Arc<str> {
    digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}

fn route(name: &str, open: bool, statement: Option<FixedStatement>) -> Route {
    Route {
        name: name.into(),
        access: Access::Read,
        open,
        max_staleness_ms: 0,
        repeatable: true,
        deadline_ms: 1_000,
        replicated: false,
        transaction: false,
        statement,
    }
}

/// Returns lists in which the clinic may use `legs` and `sql`, and the taxi company only `sql`. `directory`
/// is open. `keys` are the clinic's.
fn lists(keys: &[[u8; 32]]) -> Lists {
    let legs = FixedStatement {
        sql: "select $1, $2".into(),
        parameters: vec![ParameterSource::Organisation, ParameterSource::Caller("leg".into())],
    };
    let directory = FixedStatement { sql: "select 1".into(), parameters: Vec::new() };
    let reference = |route: &str| RouteReference { service: "pbx".into(), route: route.into() };
    let plan = |name: &str, routes| Plan { name: name.into(), routes, rate_per_s: 10.0, burst: 5, weight: 3 };
    let organisation = |name: &str, keys: &[[u8; 32]]| Organisation {
        name: name.into(),
        plan: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest { id: hex(*key).as_ref().to_owned().into(), sha256: hex(*key) })
            .collect(),
    };
    let mut lists = Lists::default();
    lists.organisations.organisations = vec![organisation("clinic", keys), organisation("taxi", &[TAXI_KEY])];
    lists.plans.services = vec![Service {
        name: "pbx".into(),
        routes: vec![
            route("legs", false, Some(legs)),
            route("sql", false, None),
            route("directory", true, Some(directory)),
        ],
    }];
    lists.plans.plans =
        vec![plan("clinic", vec![reference("legs"), reference("sql")]), plan("taxi", vec![reference("sql")])];
    lists
}

fn catalogue(revision: u64, keys: &[[u8; 32]]) -> Arc<Catalogue> {
    let catalogue =
        Catalogue { revision: Revision(revision), lists: Arc::new(lists(keys)), ..Catalogue::default() };
    Arc::new(catalogue)
}

fn ms(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn answer(asked_ms: u64, revision: u64, update: CatalogueUpdate) -> HeartbeatAnswer {
    HeartbeatAnswer {
        asked_at: ms(asked_ms),
        incarnation: Incarnation(2),
        control_term: ControlTerm(5),
        revision: Revision(revision),
        term_lease_ms: 1_500,
        freshness_lease_ms: 4_000,
        update,
        shares: Vec::new(),
        permits: Vec::new(),
        instances: None,
        control_addresses: None,
    }
}

/// Returns a core that sent a heartbeat at 1,000 ms and received revision 3 at 1,010 ms.
fn core() -> Core {
    let settings = Settings {
        instance: "entry-a".into(),
        incarnation: Incarnation(2),
        domain: "sofia-a".into(),
        peer_address: "127.0.0.1:1".into(),
    };
    let mut core = Core::open(settings, ChaCha20Rng::seed_from_u64(1));
    let update = CatalogueUpdate::Snapshot(catalogue(3, &[CLINIC_KEY]));
    assert_eq!(on_answer(&mut core, ms(1_010), &answer(1_000, 3, update)), AnswerOutcome::Leased);
    core
}

fn call(route: &str) -> Call {
    Call {
        service: "pbx".into(),
        route: route.into(),
        sql: None,
        parameters: Vec::new(),
        arguments: Vec::new(),
    }
}

fn legs() -> Call {
    let leg = Argument { name: "leg".into(), value: Value::Int(7) };
    Call { arguments: vec![leg], ..call("legs") }
}

fn try_admit(core: &Core, now: Instant, key: Option<[u8; 32]>, call: &Call) -> Result<Admitted, Refusal> {
    let request = CallerRequest {
        key_digest: key,
        session: Session::default(),
        request_id: None,
        operation: Operation::Run(call.clone()),
        deadline_ms: None,
    };
    admit(core, now, &request, call)
}

fn code(core: &Core, now: Instant, key: Option<[u8; 32]>, call: &Call) -> Option<RefusalCode> {
    try_admit(core, now, key, call).err().map(|refusal| refusal.code)
}

#[test]
fn a_key_identifies_its_organisation_and_binds_its_name() {
    let core = core();
    let admitted = try_admit(&core, ms(2_000), Some(CLINIC_KEY), &legs()).expect("the plan allows it");
    assert_eq!(admitted.organisation, Some("clinic".into()));
    assert_eq!(admitted.statement.parameters, vec![Value::Text("clinic".into()), Value::Int(7)]);
}

#[test_case(None, "legs", RefusalCode::KeyRefused; "no key")]
#[test_case(Some(UNKNOWN_KEY), "legs", RefusalCode::KeyRefused; "unknown key")]
#[test_case(Some(NEAR_KEY), "legs", RefusalCode::KeyRefused; "a key that differs in its last byte")]
#[test_case(Some(TAXI_KEY), "legs", RefusalCode::RouteForbidden; "another plan's route")]
#[test_case(Some(CLINIC_KEY), "none", RefusalCode::RouteUnknown; "no such route")]
fn calls_that_the_lists_do_not_allow_are_refused(key: Option<[u8; 32]>, route: &str, expected: RefusalCode) {
    let call = Call { arguments: legs().arguments, ..call(route) };
    assert_eq!(code(&core(), ms(2_000), key, &call), Some(expected));
}

#[test]
fn arguments_must_match_the_statement() {
    let core = core();
    let organisation = Argument { name: "organisation".into(), value: Value::Text("taxi".into()) };
    let mut undeclared = legs();
    undeclared.arguments.push(organisation);
    let mut duplicate = legs();
    duplicate.arguments.extend(legs().arguments);
    let with_sql = Call { sql: Some("select 2".into()), ..legs() };
    for invalid in [call("legs"), undeclared, duplicate, with_sql, call("sql")] {
        assert_eq!(
            code(&core, ms(2_000), Some(CLINIC_KEY), &invalid),
            Some(RefusalCode::BadRequest),
            "{invalid:?}"
        );
    }
    let sql = Call { sql: Some("select 2".into()), ..call("sql") };
    assert!(try_admit(&core, ms(2_000), Some(TAXI_KEY), &sql).is_ok());
}

#[test]
fn without_a_lease_only_open_routes_are_admitted() {
    let core = core();
    let expired_at = ms(1_000 + FRESHNESS_LEASE_MS);
    let last = expired_at - Duration::from_millis(1);
    assert_eq!(code(&core, last, Some(CLINIC_KEY), &legs()), None);
    assert_eq!(code(&core, expired_at, Some(CLINIC_KEY), &legs()), Some(RefusalCode::NotFresh));
    assert!(!still_allowed(&core, expired_at, Some(&CLINIC_KEY), &"clinic".into()));
    let open = try_admit(&core, expired_at, None, &call("directory")).expect("the route is open");
    assert_eq!(open.organisation, None);
}

#[test]
fn requests_of_a_withdrawn_key_are_no_longer_allowed() {
    let mut core = core();
    assert!(still_allowed(&core, ms(1_500), Some(&CLINIC_KEY), &"clinic".into()));
    let withdrawn = CatalogueUpdate::Snapshot(catalogue(4, &[]));
    on_answer(&mut core, ms(1_510), &answer(1_500, 4, withdrawn));
    assert!(!still_allowed(&core, ms(1_520), Some(&CLINIC_KEY), &"clinic".into()));
    assert_eq!(code(&core, ms(1_520), Some(CLINIC_KEY), &legs()), Some(RefusalCode::KeyRefused));
}

#[test_case(|answer| answer.incarnation = Incarnation(1), DropReason::OtherIncarnation; "earlier incarnation")]
#[test_case(|answer| answer.control_term = ControlTerm(4), DropReason::OldControlTerm; "older control term")]
#[test_case(|answer| answer.asked_at = ms(9_000), DropReason::AskedInFuture; "asked in the future")]
fn a_stale_or_foreign_answer_is_dropped(change: fn(&mut HeartbeatAnswer), reason: DropReason) {
    let mut core = core();
    let mut changed = answer(3_000, 4, CatalogueUpdate::Snapshot(catalogue(4, &[])));
    change(&mut changed);
    assert_eq!(on_answer(&mut core, ms(3_200), &changed), AnswerOutcome::Dropped(reason));
    assert_eq!(core.freshness.revision(), Revision(3));
    assert!(!core.freshness.is_fresh(ms(5_000)));
}

/// Guards against a holder on a slow link that never gets a large change, because each answer that carries it is late.
#[test]
fn an_answer_whose_lease_expired_in_transit_brings_its_changes_and_no_lease() {
    let mut core = core();
    let mut late = answer(3_000, 4, CatalogueUpdate::Snapshot(catalogue(4, &[])));
    late.freshness_lease_ms = 100;
    assert_eq!(on_answer(&mut core, ms(3_200), &late), AnswerOutcome::Dropped(DropReason::Expired));
    assert_eq!(core.freshness.revision(), Revision(4));
    assert_eq!(code(&core, ms(3_210), Some(CLINIC_KEY), &legs()), Some(RefusalCode::KeyRefused));
    assert!(!core.freshness.is_fresh(ms(5_000)));
    let older = answer(2_900, 3, CatalogueUpdate::Snapshot(catalogue(3, &[CLINIC_KEY])));
    on_answer(&mut core, ms(9_000), &older);
    assert_eq!(core.freshness.revision(), Revision(4));
}

fn delta(from: u64, to: u64, keys: &[[u8; 32]]) -> CatalogueDelta {
    let change = CatalogueChange::Lists(ListsRevision(to), Arc::new(lists(keys)));
    CatalogueDelta { from: Revision(from), to: Revision(to), change }
}

#[test]
fn revisions_never_decrease_and_a_gap_grants_no_lease() {
    let mut core = core();
    let older = answer(2_000, 3, CatalogueUpdate::Snapshot(catalogue(2, &[UNKNOWN_KEY])));
    on_answer(&mut core, ms(2_010), &older);
    assert_eq!(core.freshness.revision(), Revision(3));

    let gap = answer(2_500, 6, CatalogueUpdate::Deltas(vec![delta(5, 6, &[])]));
    assert_eq!(on_answer(&mut core, ms(2_510), &gap), AnswerOutcome::Behind);
    assert!(
        !core.freshness.is_fresh(ms(6_100)),
        "the lease asked for at 2,000 ms counts, and the one asked for at 2,500 ms does not"
    );

    let deltas = vec![delta(2, 3, &[UNKNOWN_KEY]), delta(3, 5, &[CLINIC_KEY]), delta(5, 6, &[])];
    let complete = answer(2_600, 6, CatalogueUpdate::Deltas(deltas));
    assert_eq!(on_answer(&mut core, ms(2_610), &complete), AnswerOutcome::Leased);
    assert_eq!(core.freshness.revision(), Revision(6));
    assert_eq!(code(&core, ms(2_620), Some(CLINIC_KEY), &legs()), Some(RefusalCode::KeyRefused));
}

/// Returns a fleet in which a change of keys was just committed. One of six instances is partitioned, and its
/// clock is 0.5 % slow.
fn fleet_after_change(before: &[[u8; 32]], after: &[[u8; 32]], partition_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(1, &[]);
    fleet.catalogue = catalogue(1, before);
    fleet.add("entry-slow", "domain-0", 1, Clock { offset_us: 0, fast_ppm: -5_000 });
    fleet.add_many(5, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(3_000);
    fleet.nodes[0].partitioned = true;
    fleet.run_ms(partition_ms);
    fleet.catalogue = catalogue(2, after);
    fleet
}

fn codes(fleet: &Fleet) -> Vec<Option<RefusalCode>> {
    let admit = |node: &fleet::Node| code(&node.core, node.clock.at(fleet.now_us), Some(CLINIC_KEY), &legs());
    fleet.nodes.iter().map(admit).collect()
}

#[test]
fn a_withdrawn_key_is_refused_within_2_s_and_within_5_s_on_a_partitioned_instance() {
    let mut fleet = fleet_after_change(&[CLINIC_KEY], &[], 0);
    assert!(codes(&fleet).iter().all(Option::is_none));
    fleet.run_ms(2_000);
    assert!(
        codes(&fleet)[1..].iter().all(|code| *code == Some(RefusalCode::KeyRefused)),
        "{:?}",
        codes(&fleet)
    );
    fleet.run_ms(3_000);
    assert_eq!(codes(&fleet)[0], Some(RefusalCode::NotFresh));
}

#[test]
fn a_new_key_is_accepted_within_2_s() {
    let mut fleet = fleet_after_change(&[], &[CLINIC_KEY], 0);
    assert!(codes(&fleet).iter().all(|code| *code == Some(RefusalCode::KeyRefused)));
    fleet.run_ms(2_000);
    assert!(codes(&fleet)[1..].iter().all(Option::is_none), "{:?}", codes(&fleet));
}

#[test]
fn a_reconnected_instance_updates_its_keys_before_it_serves() {
    let mut fleet = fleet_after_change(&[CLINIC_KEY], &[], 10_000);
    assert_eq!(codes(&fleet)[0], Some(RefusalCode::NotFresh));
    fleet.nodes[0].partitioned = false;
    for _ in 0..1_000 {
        fleet.step();
        assert_ne!(codes(&fleet)[0], None, "at {} us", fleet.now_us);
    }
    assert_eq!(codes(&fleet)[0], Some(RefusalCode::KeyRefused));
}

#[test]
fn debug_output_of_the_index_contains_no_digest() {
    let core = core();
    let output = format!("{:?}", core.freshness.index);
    assert!(!output.contains("161, 161") && !output.contains("a1a1"), "{output}");
}
