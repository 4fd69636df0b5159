//! Tests that an entry instance confirms a new revision at once, because an operator and a change of primary
//! wait for the confirmation.

use {
    cumincart_core::{
        entry::{
            Core, Effect, Input, Settings,
            membership::{self, CONFIRM_INTERVAL_MS, HEARTBEAT_MIN_INTERVAL_MS, QUICK_RETRIES},
            permits::ConnectionUse,
            step,
        },
        timing::{FRESHNESS_LEASE_MS, HEARTBEAT_INTERVAL_MS, TERM_LEASE_MS, TICK_INTERVAL_MS},
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueUpdate, Heartbeat, HeartbeatAnswer},
        number::{ControlTerm, Incarnation, Revision},
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
};

const SEED: u64 = 7;

/// An instance on a virtual clock, with every heartbeat that it has sent.
struct Entry {
    core: Core,
    now: Instant,
    heartbeats: Vec<Heartbeat>,
}

impl Entry {
    fn open() -> Self {
        println!("seed {SEED}");
        let settings = Settings {
            instance: "entry-1".into(),
            incarnation: Incarnation(1),
            domain: "sofia-a".into(),
            peer_address: "127.0.0.1:1".into(),
        };
        let core = Core::open(settings, ChaCha20Rng::seed_from_u64(SEED));
        Self { core, now: Instant::from_millis(1_000), heartbeats: Vec::new() }
    }

    fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        step(&mut self.core, self.now, input, &mut effects);
        for effect in effects {
            if let Effect::Heartbeat(heartbeat) = effect {
                self.heartbeats.push(*heartbeat);
            }
        }
    }

    fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_INTERVAL_MS {
            self.now = self.now + Duration::from_millis(TICK_INTERVAL_MS);
            self.input(Input::Tick);
        }
    }

    /// Answers the last heartbeat with a catalogue.
    fn answer(&mut self, revision: u64) {
        let asked_at = self.heartbeats.last().expect("a heartbeat was sent").asked_at;
        let catalogue = Catalogue { revision: Revision(revision), ..Catalogue::default() };
        let answer = HeartbeatAnswer {
            asked_at,
            incarnation: Incarnation(1),
            control_term: ControlTerm(1),
            revision: Revision(revision),
            term_lease_ms: TERM_LEASE_MS,
            freshness_lease_ms: FRESHNESS_LEASE_MS,
            update: CatalogueUpdate::Snapshot(Arc::new(catalogue)),
            shares: Vec::new(),
            permits: Vec::new(),
            instances: None,
            control_addresses: None,
        };
        self.input(Input::HeartbeatAnswer(Box::new(answer)));
    }
}

#[test]
fn a_new_revision_is_confirmed_before_the_next_heartbeat_is_due() {
    let mut entry = Entry::open();
    entry.advance_ms(TICK_INTERVAL_MS);
    entry.answer(5);
    entry.advance_ms(CONFIRM_INTERVAL_MS + TICK_INTERVAL_MS);
    let last = entry.heartbeats.last().expect("a heartbeat was sent");
    assert_eq!((entry.heartbeats.len(), last.revision), (2, Revision(5)));
}

#[test]
fn a_confirmed_revision_causes_no_extra_heartbeat() {
    let mut entry = Entry::open();
    entry.advance_ms(TICK_INTERVAL_MS);
    entry.answer(5);
    entry.advance_ms(CONFIRM_INTERVAL_MS + TICK_INTERVAL_MS);
    entry.answer(5);
    entry.advance_ms(HEARTBEAT_INTERVAL_MS - 2 * TICK_INTERVAL_MS);
    assert_eq!(entry.heartbeats.len(), 2);
    entry.advance_ms(2 * TICK_INTERVAL_MS);
    assert_eq!(entry.heartbeats.len(), 3);
}

/// Guards against a fleet that asks a leader which is too busy to answer ever faster than it can answer.
#[test]
fn an_instance_without_answers_asks_quickly_for_a_while_and_then_at_the_regular_interval() {
    let mut entry = Entry::open();
    entry.advance_ms(u64::from(QUICK_RETRIES) * HEARTBEAT_MIN_INTERVAL_MS);
    let quick = entry.heartbeats.len();
    assert!(quick >= QUICK_RETRIES as usize, "{quick} heartbeats");
    entry.advance_ms(20 * HEARTBEAT_INTERVAL_MS);
    let slow = entry.heartbeats.len() - quick;
    assert!((19..=21).contains(&slow), "{slow} heartbeats in 20 intervals");
    entry.answer(1);
    entry.advance_ms(TERM_LEASE_MS + HEARTBEAT_INTERVAL_MS);
    let before = entry.heartbeats.len();
    entry.advance_ms(10 * HEARTBEAT_MIN_INTERVAL_MS);
    assert!(entry.heartbeats.len() - before >= 9, "quickly again after an answer");
}

/// Guards against full reports that grow with the endpoints of the whole fleet.
#[test]
fn a_full_report_leaves_out_endpoints_that_the_instance_has_never_used() {
    let mut entry = Entry::open();
    let used = |number: u32| ConnectionUse {
        endpoint: format!("db-{number:03}").as_str().into(),
        open: 0,
        wanted: u32::from(number == 7),
    };
    let uses = (0..300).map(used).collect();
    let heartbeat = membership::build_heartbeat(&mut entry.core, entry.now, Vec::new(), &uses);
    assert!(heartbeat.complete);
    let reported: Vec<&str> = heartbeat.permits.iter().map(|report| report.endpoint.as_str()).collect();
    assert_eq!(reported, ["db-007"]);
    let none = (0..300).map(|number| ConnectionUse { wanted: 0, ..used(number) }).collect();
    let heartbeat = membership::build_heartbeat(&mut entry.core, entry.now, Vec::new(), &none);
    assert_eq!(heartbeat.permits.len(), 1, "what was reported is reported until it is known to have ended");
}
