//! Tests that the fleet never opens more connections to an endpoint than the endpoint accepts, under
//! partitions, killed instances and elections.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

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

/// The interval at which an instance closes one of its surplus connections, in milliseconds. A busy
/// connection closes only after its command.
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
        commit_holders: Default::default(),
    });
    fleet.catalogue = Arc::new(catalogue);
    fleet.add_many(INSTANCES, DOMAINS);
    fleet.elect_first(Clock::default());
    set_wanted(&mut fleet, 2);
    fleet
}

/// Sets the number of connections that every instance wants to each endpoint.
fn set_wanted(fleet: &mut Fleet, wanted: u32) {
    for node in &mut fleet.nodes {
        for domain in 0..DOMAINS {
            let endpoint = endpoint(domain).name;
            let unused = || ConnectionUse { endpoint: endpoint.clone(), open: 0, wanted };
            node.connections.get_or_insert_with(&endpoint, unused).wanted = wanted;
        }
    }
}

/// Runs the fleet. Connections that are allowed and wanted open at once, surplus connections close one by
/// one, and every endpoint's limit is checked.
fn run_ms(fleet: &mut Fleet, millis: u64) {
    for _ in 0..millis / 10 {
        fleet.run_ms(10);
        let closes = fleet.now_us / 1_000 % CLOSE_MS < 10;
        for node in fleet.nodes.iter_mut().filter(|node| node.alive) {
            let now = node.clock.at(fleet.now_us);
            for connection_use in node.connections.iter_mut() {
                let allowed = allowed(&node.core.permits, now, &connection_use.endpoint);
                if connection_use.open > allowed {
                    connection_use.open -= u32::from(closes);
                } else {
                    connection_use.open = connection_use.open.max(connection_use.wanted.min(allowed));
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
    fleet
        .nodes
        .iter()
        .filter_map(|node| node.connections.get(&name))
        .map(|connection_use| connection_use.open)
        .sum()
}

fn allowed_at(fleet: &Fleet, node: usize, domain: usize) -> u32 {
    let node = &fleet.nodes[node];
    allowed(&node.core.permits, node.clock.at(fleet.now_us), &endpoint(domain).name)
}

#[test]
fn permits_follow_demand() {
    let mut fleet = fleet_with_endpoints(1);
    run_ms(&mut fleet, 20_000);
    set_wanted(&mut fleet, 1);
    let hot = endpoint(0).name;
    fleet.nodes[0].connections.get_mut(&hot).expect("the endpoint is listed").wanted = 15;
    run_ms(&mut fleet, 10_000);
    assert!(allowed_at(&fleet, 0, 0) >= 15, "{}", allowed_at(&fleet, 0, 0));
    assert!((1..INSTANCES).all(|node| allowed_at(&fleet, node, 0) >= 1));
}

#[test]
fn a_partitioned_instance_keeps_some_permits_in_its_failure_domain_until_they_expire() {
    let mut fleet = fleet_with_endpoints(2);
    run_ms(&mut fleet, 20_000);
    set_wanted(&mut fleet, 30);
    run_ms(&mut fleet, 5_000);
    fleet.nodes[0].partitioned = true;
    run_ms(&mut fleet, 30_000);
    assert!(allowed_at(&fleet, 0, 0) >= 1, "open routes need connections in a partitioned failure domain");
    assert_eq!(allowed_at(&fleet, 0, 1), 0, "no permits are kept for endpoints in other failure domains");
    fleet.checks_every_step = false;
    run_ms(&mut fleet, KEPT_PERMIT_LEASE_MS);
    assert_eq!(allowed_at(&fleet, 0, 0), 0);
}

#[test]
fn partitions_kills_and_elections_never_exceed_the_connection_limit() {
    for seed in 1..=6 {
        let mut fleet = fleet_with_endpoints(seed);
        run_ms(&mut fleet, 20_000);
        for _ in 0..25 {
            let node = fleet.random.random_range(0..fleet.nodes.len());
            match fleet.random.random_range(0..6) {
                0 => fleet.nodes[node].partitioned = true,
                1 => fleet.nodes.iter_mut().for_each(|node| node.partitioned = false),
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
            set_wanted(&mut fleet, wanted);
            let pause_ms = fleet.random.random_range(100..20_000);
            run_ms(&mut fleet, pause_ms);
        }
    }
}

#[test]
fn permits_are_released_after_a_peak() {
    let mut fleet = fleet_with_endpoints(3);
    run_ms(&mut fleet, 20_000);
    let endpoint = endpoint(0).name;
    let set_wanted_at = |fleet: &mut Fleet, node: usize, wanted| {
        fleet.nodes[node].connections.get_mut(&endpoint).expect("the endpoint is listed").wanted = wanted;
    };
    set_wanted_at(&mut fleet, 0, 15);
    run_ms(&mut fleet, 10_000);
    set_wanted_at(&mut fleet, 0, 1);
    fleet.nodes[0].connections.get_mut(&endpoint).expect("the endpoint is listed").open = 1;
    set_wanted_at(&mut fleet, 1, 15);
    run_ms(&mut fleet, 15_000);
    assert!(allowed_at(&fleet, 1, 0) >= 15, "{}", allowed_at(&fleet, 1, 0));
}
