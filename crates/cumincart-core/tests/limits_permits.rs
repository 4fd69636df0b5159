//! Connections to endpoints over the whole fleet: never more than the endpoint accepts, whoever is cut off or dies.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/recorder.rs"]
#[allow(dead_code)]
mod recorder;

use {
    cumincart_core::entry::permits::{ConnectionUse, KEPT_PERMIT_LEASE_MS, allowed},
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group},
        number::Term,
    },
    fleet::{Clock, Fleet},
    rand::RngExt,
    std::sync::Arc,
};

const INSTANCES: usize = 6;
const DOMAINS: usize = 3;
const LIMIT: u32 = 30;

/// A busy connection closes only after its work; one does so in this time.
const CLOSE_MS: u64 = 300;

fn endpoint(domain: usize) -> EndpointEntry {
    EndpointEntry {
        name: endpoint_name(domain).as_str().into(),
        address: "127.0.0.1:5432".into(),
        domain: format!("domain-{domain}").as_str().into(),
        slots: 5,
        connection_limit: LIMIT,
        leaving: false,
    }
}

fn endpoint_name(domain: usize) -> String {
    format!("pbx-{domain}")
}

fn fleet_with_endpoints(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, &[(100.0, 20)]);
    let mut catalogue = Catalogue::clone(&fleet.catalogue);
    catalogue.groups.insert(Group {
        service: "pbx".into(),
        term: Term(1),
        primary: None,
        writable: false,
        endpoints: (0..DOMAINS).map(endpoint).collect(),
        term_starts: Vec::new(),
    });
    fleet.catalogue = Arc::new(catalogue);
    fleet.add_many(INSTANCES, DOMAINS);
    fleet.elect_first(Clock::default());
    want(&mut fleet, 2);
    fleet
}

/// Every instance wants this many connections to each endpoint.
fn want(fleet: &mut Fleet, wanted: u32) {
    for node in &mut fleet.nodes {
        for domain in 0..DOMAINS {
            let endpoint = endpoint(domain).name;
            let none = || ConnectionUse { endpoint: endpoint.clone(), open: 0, wanted };
            node.connections.get_or_insert_with(&endpoint, none).wanted = wanted;
        }
    }
}

/// Opens what is allowed and wanted at once, closes what is not allowed one by one, and checks every endpoint's limit.
fn run_ms(fleet: &mut Fleet, millis: u64) {
    for _ in 0..millis / 10 {
        fleet.run_ms(10);
        let closes = fleet.now_us / 1_000 % CLOSE_MS < 10;
        for node in fleet.nodes.iter_mut().filter(|node| node.alive) {
            let now = node.clock.at(fleet.now_us);
            for used in node.connections.iter_mut() {
                let allowed = allowed(&node.core.permits, now, &used.endpoint);
                if used.open > allowed {
                    used.open -= u32::from(closes);
                } else {
                    used.open = used.open.max(used.wanted.min(allowed));
                }
            }
        }
        for domain in 0..DOMAINS {
            let open = open_at(fleet, domain);
            assert!(open <= LIMIT, "{open} connections to endpoint {domain} at {} us", fleet.now_us);
        }
    }
}

fn open_at(fleet: &Fleet, domain: usize) -> u32 {
    let name = endpoint(domain).name;
    fleet.nodes.iter().filter_map(|node| node.connections.get(&name)).map(|used| used.open).sum()
}

fn allowed_at(fleet: &Fleet, node: usize, domain: usize) -> u32 {
    let node = &fleet.nodes[node];
    allowed(&node.core.permits, node.clock.at(fleet.now_us), &endpoint(domain).name)
}

#[test]
fn permits_move_to_where_connections_are_wanted() {
    let mut fleet = fleet_with_endpoints(1);
    run_ms(&mut fleet, 20_000);
    want(&mut fleet, 1);
    let hot = endpoint(0).name;
    fleet.nodes[0].connections.get_mut(&hot).expect("it is there").wanted = 15;
    run_ms(&mut fleet, 10_000);
    assert!(allowed_at(&fleet, 0, 0) >= 15, "{}", allowed_at(&fleet, 0, 0));
    assert!((1..INSTANCES).all(|node| allowed_at(&fleet, node, 0) >= 1));
}

#[test]
fn a_cut_off_instance_keeps_a_few_in_its_own_failure_domain_for_a_while() {
    let mut fleet = fleet_with_endpoints(2);
    run_ms(&mut fleet, 20_000);
    want(&mut fleet, 30);
    run_ms(&mut fleet, 5_000);
    fleet.nodes[0].cut = true;
    run_ms(&mut fleet, 30_000);
    assert!(allowed_at(&fleet, 0, 0) >= 1, "open routes need connections in a cut-off failure domain");
    assert_eq!(allowed_at(&fleet, 0, 1), 0, "another failure domain's endpoints are not kept");
    fleet.checked = false;
    run_ms(&mut fleet, KEPT_PERMIT_LEASE_MS);
    assert_eq!(allowed_at(&fleet, 0, 0), 0);
}

#[test]
fn no_order_of_cuts_kills_and_elections_opens_more_than_the_limit() {
    for seed in 1..=6 {
        let mut fleet = fleet_with_endpoints(seed);
        run_ms(&mut fleet, 20_000);
        for _ in 0..25 {
            let node = fleet.random.random_range(0..fleet.nodes.len());
            match fleet.random.random_range(0..6) {
                0 => fleet.nodes[node].cut = true,
                1 => fleet.nodes.iter_mut().for_each(|node| node.cut = false),
                2 => {
                    fleet.kill(node);
                    let domain = format!("domain-{}", node % DOMAINS);
                    let incarnation = fleet.nodes.len() as u64;
                    fleet.add(&format!("entry-{node}"), &domain, incarnation, Clock::default());
                }
                3 => fleet.elect(Clock::default()),
                _ => {}
            }
            let wanted = fleet.random.random_range(1..20);
            want(&mut fleet, wanted);
            let pause_ms = fleet.random.random_range(100..20_000);
            run_ms(&mut fleet, pause_ms);
        }
    }
}

#[test]
fn permits_come_back_after_a_peak() {
    let mut fleet = fleet_with_endpoints(3);
    run_ms(&mut fleet, 20_000);
    let endpoint = endpoint(0).name;
    let want_at = |fleet: &mut Fleet, node: usize, wanted| {
        fleet.nodes[node].connections.get_mut(&endpoint).expect("it is there").wanted = wanted;
    };
    want_at(&mut fleet, 0, 15);
    run_ms(&mut fleet, 10_000);
    want_at(&mut fleet, 0, 1);
    fleet.nodes[0].connections.get_mut(&endpoint).expect("it is there").open = 1;
    want_at(&mut fleet, 1, 15);
    run_ms(&mut fleet, 15_000);
    assert!(allowed_at(&fleet, 1, 0) >= 15, "{}", allowed_at(&fleet, 1, 0));
}
