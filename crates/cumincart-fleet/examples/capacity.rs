//! Measures the per-unit costs on which `docs/CAPACITY.md` is based and prints each one as a JSON line.
//!
//!     cargo run --release -p cumincart-fleet --example capacity
//!
//! Memory is the growth of the process's resident set. Sizes are of the CBOR encoding sent over links. Times are CPU
//! times of the cores alone. The measurements use no random input.

use {
    cumincart_core::{
        control::{self, Effect, Input, Ticket},
        entry::freshness::Freshness,
    },
    cumincart_fleet::{Deployment, Fleet, FleetOptions},
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group},
        heartbeat::{Heartbeat, HeartbeatAnswer, PermitReport},
        lists::{KeyDigest, Lists, Organisation},
        number::{Incarnation, LogPosition, Revision, Term, Timeline},
        peer::PeerBody,
        replication::{DiskId, Member, Members},
        time::Instant,
    },
    cumincart_runtime::logging,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    serde_json::json,
    std::sync::Arc,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const ENDPOINTS_PER_GROUP: usize = 3;
const PAGE_BYTES: u64 = 4_096;

#[tokio::main]
async fn main() {
    measure_catalogue();
    measure_heartbeat_size();
    for instances in [6, 50, 185, 740] {
        measure_leader(instances, 3, 8);
    }
    for groups in [3, 50, 400] {
        measure_leader(50, groups, 8);
    }
    for organisations in [8, 100, 400] {
        measure_leader(50, 3, organisations);
    }
    measure_client_connections().await;
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES
}

fn cpu_time_micros() -> u64 {
    let clock = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos: u64 = clock.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or_default();
    nanos / 1_000
}

fn cbor_bytes(value: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector can't fail");
    bytes.len()
}

fn endpoint_name(group: usize, number: usize) -> String {
    format!("service-{group:04}-{number}")
}

fn group(number: usize) -> Group {
    let endpoints = (0..ENDPOINTS_PER_GROUP).map(|endpoint| EndpointEntry {
        name: endpoint_name(number, endpoint).into(),
        address: format!("10.0.{}.{}:5432", number % 256, endpoint).into(),
        domain: format!("region-1-domain-{endpoint}").into(),
        slots: 5,
        connection_limit: 30,
        leaving: false,
    });
    Group {
        service: format!("service-{number:04}").into(),
        term: Term(1),
        primary: Some(endpoint_name(number, 0).into()),
        writable: true,
        endpoints: endpoints.collect(),
        commit_holders: Default::default(),
        term_starts: vec![cumincart_protocol::catalogue::TermStart {
            term: Term(1),
            timeline: Timeline(1),
            position: LogPosition(0),
        }],
    }
}

fn catalogue(groups: usize, organisations: usize) -> Catalogue {
    let base = Deployment::telvara().lists().expect("the example lists are valid");
    let organisations = (0..organisations).map(|number| Organisation {
        name: format!("organisation-{number:05}").into(),
        plan: "medium".into(),
        keys: vec![KeyDigest {
            id: format!("organisation-{number:05}-a").into(),
            sha256: format!("{number:064x}").into(),
        }],
    });
    let lists = Lists {
        organisations: cumincart_protocol::lists::OrganisationList { organisations: organisations.collect() },
        plans: base.plans,
        ..Lists::default()
    };
    Catalogue {
        revision: Revision(1),
        lists: Arc::new(lists),
        groups: (0..groups).map(group).collect(),
        ..Catalogue::default()
    }
}

fn measure_catalogue() {
    for (groups, organisations) in [(0, 0), (400, 0), (0, 1_000), (400, 1_000)] {
        let before = resident_bytes();
        let copies: Vec<_> = (0..20).map(|_| catalogue(groups, organisations)).collect();
        let memory = resident_bytes().saturating_sub(before) / copies.len() as u64;
        println!(
            "{}",
            json!({
                "measure": "catalogue", "databases": groups * ENDPOINTS_PER_GROUP, "organisations": organisations,
                "cbor_bytes": cbor_bytes(&copies[0]), "memory_bytes": memory,
            })
        );
    }
    println!("{}", json!({ "measure": "freshness", "memory_bytes": size_of::<Freshness>() }));
}

fn heartbeat(instance: usize, asked_at: Instant, endpoints: usize) -> Heartbeat {
    let permits = (0..endpoints).map(|number| PermitReport {
        endpoint: endpoint_name(number / ENDPOINTS_PER_GROUP, number % ENDPOINTS_PER_GROUP).into(),
        grant_number: 1,
        held: 5,
        kept: 0,
        wanted: 5,
    });
    Heartbeat {
        instance: format!("entry-{instance:04}").into(),
        incarnation: Incarnation(1),
        domain: format!("region-1-domain-{}", instance % 4).into(),
        peer_address: format!("10.1.{}.{}:7000", instance / 256, instance % 256).into(),
        accepts_packed: false,
        asked_at,
        revision: Revision(1),
        leaving: false,
        complete: true,
        grants_term: None,
        instances_digest: 0,
        control_digest: 0,
        endpoints: Vec::new(),
        shares: Vec::new(),
        permits: permits.collect(),
        usage: None,
    }
}

fn measure_heartbeat_size() {
    for endpoints in [0, 9, 100] {
        let heartbeat =
            PeerBody::Heartbeat(Box::new(heartbeat(1, Instant::from_millis(1_000_000), endpoints)));
        println!(
            "{}",
            json!({ "measure": "heartbeat", "permit_reports": endpoints, "cbor_bytes": cbor_bytes(&heartbeat) })
        );
    }
}

/// Measures the control leader's CPU time and answer size per heartbeat for a number of registered instances.
fn measure_leader(instances: usize, groups: usize, organisations: usize) {
    let mut core = start_leader(groups, organisations);
    let mut effects = Vec::new();
    let mut now = Instant::from_millis(10_000);
    let mut ticket = 0;
    let mut send_all_heartbeats = |core: &mut control::Core, now: Instant, effects: &mut Vec<Effect>| {
        for instance in 0..instances {
            ticket += 1;
            let heartbeat = Box::new(heartbeat(instance, now, 0));
            control::step(core, now, Input::Heartbeat(Ticket(ticket), heartbeat), effects);
        }
    };
    for _ in 0..4 {
        now = now + std::time::Duration::from_millis(500);
        send_all_heartbeats(&mut core, now, &mut effects);
    }
    effects.clear();
    let rounds = (4_000 / instances).clamp(4, 200);
    let started = cpu_time_micros();
    for _ in 0..rounds {
        now = now + std::time::Duration::from_millis(500);
        send_all_heartbeats(&mut core, now, &mut effects);
    }
    let cpu_micros = cpu_time_micros() - started;
    let answers: Vec<&HeartbeatAnswer> = effects.iter().filter_map(heartbeat_answer).collect();
    let bytes: usize = answers.iter().map(|answer| cbor_bytes(*answer)).sum();
    println!(
        "{}",
        json!({
            "measure": "leader", "instances": instances, "databases": groups * ENDPOINTS_PER_GROUP,
            "organisations": organisations, "heartbeats": rounds * instances,
            "micros_per_heartbeat": cpu_micros as f64 / (rounds * instances) as f64,
            "answers": answers.len(),
            "answer_bytes": bytes / answers.len().max(1),
        })
    );
}

fn heartbeat_answer(effect: &Effect) -> Option<&HeartbeatAnswer> {
    match effect {
        Effect::AnswerHeartbeat(_, PeerBody::HeartbeatAnswer(answer)) => Some(answer),
        _ => None,
    }
}

fn start_leader(groups: usize, organisations: usize) -> control::Core {
    let member = Member {
        instance: "control-1".into(),
        disk: DiskId("disk".into()),
        peer_address: "127.0.0.1:1".into(),
        domain: None,
    };
    let first_members = Members {
        voters: [Member { disk: DiskId::unbound(), ..member.clone() }].into_iter().collect(),
        ..Members::default()
    };
    let settings = control::Settings { member, incarnation: Incarnation(1), first_members };
    let stored = control::Stored::default();
    let mut core = control::Core::open(settings, stored, ChaCha20Rng::seed_from_u64(1));
    let mut effects = Vec::new();
    for tick in 0..200 {
        control::step(&mut core, Instant::from_millis(tick * 10), Input::Tick, &mut effects);
    }
    let revision = core.catalogue.revision;
    core.catalogue = Arc::new(Catalogue { revision, ..catalogue(groups, organisations) });
    core
}

const CONNECTIONS: usize = 2_000;

async fn measure_client_connections() {
    let options = FleetOptions {
        controls: 1,
        entries_per_domain: 1,
        recording: false,
        ..FleetOptions::new(logging::discard())
    };
    let fleet = Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts");
    let address = fleet.entries[0].options.http_address;
    let mut open = Vec::new();
    let before = resident_bytes();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("the entry instance listens");
        stream.write_all(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("it reads");
        let mut answer = [0; 256];
        let read = stream.read(&mut answer).await.expect("it answers");
        assert!(read > 0);
        open.push(stream);
    }
    let growth = resident_bytes().saturating_sub(before);
    println!(
        "{}",
        json!({
            "measure": "caller connections", "open": open.len(),
            "memory_bytes_each_both_ends": growth / open.len() as u64,
        })
    );
}
