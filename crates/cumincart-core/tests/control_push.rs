//! A pushed change: the entry instance applies and confirms it at once, and its lease is not extended.

use {
    cumincart_core::entry::{Core, Effect, Input, Settings, step},
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueUpdate, Heartbeat, HeartbeatAnswer},
        number::{ControlTerm, Incarnation, Revision},
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::sync::Arc,
};

const SEED: u64 = 42;

fn heartbeats_after(core: &mut Core, at_ms: u64, input: Input) -> Vec<Heartbeat> {
    let mut out = Vec::new();
    step(core, Instant::from_millis(at_ms), input, &mut out);
    let heartbeat = |effect| match effect {
        Effect::Heartbeat(heartbeat) => Some(*heartbeat),
        _ => None,
    };
    out.into_iter().filter_map(heartbeat).collect()
}

fn answer(asked_at: Instant, revision: u64) -> Input {
    let catalogue = Catalogue { revision: Revision(revision), ..Catalogue::default() };
    Input::HeartbeatAnswer(Box::new(HeartbeatAnswer {
        asked_at,
        incarnation: Incarnation(1),
        control_term: ControlTerm(1),
        revision: Revision(revision),
        term_lease_ms: 1_500,
        freshness_lease_ms: 4_000,
        update: CatalogueUpdate::Snapshot(Arc::new(catalogue)),
        shares: Vec::new(),
        permits: Vec::new(),
        instances: None,
        control_addresses: None,
    }))
}

#[test]
fn a_pushed_change_is_confirmed_before_the_next_heartbeat_is_due() {
    let settings = Settings {
        instance: "entry-1".into(),
        incarnation: Incarnation(1),
        domain: "sofia-a".into(),
        peer_address: "10.0.0.1:7000".into(),
    };
    let mut core = Core::open(settings, ChaCha20Rng::seed_from_u64(SEED));
    let first = heartbeats_after(&mut core, 1_000, Input::Tick);
    let asked_at = first[0].asked_at;
    heartbeats_after(&mut core, 1_003, answer(asked_at, 5));
    let confirmed: Vec<Heartbeat> = (1_010..1_200)
        .step_by(10)
        .flat_map(|at_ms| heartbeats_after(&mut core, at_ms, Input::Tick))
        .collect();
    assert_eq!(confirmed.iter().map(|heartbeat| heartbeat.revision).collect::<Vec<_>>(), [Revision(5)]);
    let lease_until = core.freshness.term_lease_until;
    heartbeats_after(&mut core, 1_203, answer(asked_at, 6));
    let confirmed_again: Vec<Heartbeat> = (1_210..1_300)
        .step_by(10)
        .flat_map(|at_ms| heartbeats_after(&mut core, at_ms, Input::Tick))
        .collect();
    assert_eq!(confirmed_again.iter().map(|heartbeat| heartbeat.revision).collect::<Vec<_>>(), [Revision(6)]);
    assert_eq!(core.freshness.term_lease_until, lease_until, "a push extended the lease");
}
