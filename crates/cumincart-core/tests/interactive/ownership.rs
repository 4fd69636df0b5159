//! The assignment of owners to an organisation's connections and tokens as instances join and leave.

use {
    cumincart_core::interactive::ownership::{
        OBSERVERS_PER_DOMAIN, SAMPLERS_MAX, is_observer, owners, samplers, token_owners,
    },
    cumincart_protocol::{
        catalogue::EndpointEntry,
        heartbeat::InstanceEntry,
        name::{OrganisationName, ServiceName},
        number::Incarnation,
        sorted::SortedVec,
    },
};

fn instances(names: &[(&str, &str)]) -> SortedVec<InstanceEntry> {
    let entry = |(name, domain): &(&str, &str)| InstanceEntry {
        name: (*name).into(),
        incarnation: Incarnation(1),
        domain: (*domain).into(),
        peer_address: (*name).into(),
    };
    names.iter().map(entry).collect()
}

fn endpoint(domain: &str) -> EndpointEntry {
    EndpointEntry {
        name: "db".into(),
        address: "10.0.0.1:1".into(),
        domain: domain.into(),
        slots: 3,
        connection_limit: 30,
        leaving: false,
    }
}

fn organisations() -> Vec<OrganisationName> {
    (0..400).map(|number| format!("organisation-{number}").into()).collect()
}

const FLEET: [(&str, &str); 5] =
    [("a-1", "quay"), ("a-2", "quay"), ("a-3", "quay"), ("b-1", "forest"), ("b-2", "forest")];

#[test]
fn owners_are_in_the_endpoint_s_failure_domain() {
    let fleet = instances(&FLEET);
    for organisation in organisations() {
        let found = owners(&fleet, &endpoint("quay"), &organisation);
        assert_eq!(found.len(), 3);
        assert!(found.iter().all(|owner| owner.domain.as_str() == "quay"));
    }
}

#[test]
fn owners_are_in_other_failure_domains_if_the_endpoint_s_has_no_instance() {
    let organisation = "clinic".into();
    assert_eq!(owners(&instances(&FLEET), &endpoint("bay"), &organisation).len(), 3);
}

#[test]
fn organisations_are_distributed_evenly_over_the_owners() {
    let fleet = instances(&FLEET);
    for instance in ["a-1", "a-2", "a-3"] {
        let is_first = |organisation: &OrganisationName| {
            owners(&fleet, &endpoint("quay"), organisation)[0].name.as_str() == instance
        };
        let count = organisations().iter().filter(|organisation| is_first(organisation)).count();
        assert!((100..170).contains(&count), "{instance} owns {count} of 400");
    }
}

/// Guards against moving organisations that a lost instance did not own.
#[test]
fn only_the_organisations_of_a_lost_instance_move() {
    let (before, after) = (instances(&FLEET), instances(&[FLEET[0], FLEET[2], FLEET[3], FLEET[4]]));
    for organisation in organisations() {
        let old = owners(&before, &endpoint("quay"), &organisation)[0].name.clone();
        let new = owners(&after, &endpoint("quay"), &organisation)[0].name.clone();
        assert!(old == new || old.as_str() == "a-2", "{organisation} moved from {old} to {new}");
    }
}

#[test]
fn token_owners_are_in_the_failure_domain_of_the_requester() {
    let fleet = instances(&FLEET);
    for organisation in organisations() {
        let found = token_owners(&fleet, &"forest".into(), &organisation);
        assert_eq!(found.len(), 2);
        assert!(found.iter().all(|owner| owner.domain.as_str() == "forest"));
    }
}

#[test]
fn tokens_of_small_organisations_are_distributed_evenly_over_the_instances() {
    let fleet = instances(&FLEET);
    for instance in ["a-1", "a-2", "a-3"] {
        let is_first = |organisation: &OrganisationName| {
            token_owners(&fleet, &"quay".into(), organisation)[0].name.as_str() == instance
        };
        let held = organisations().iter().filter(|organisation| is_first(organisation)).count();
        assert!((100..170).contains(&held), "{instance} holds {held} of 400");
    }
}

/// Guards against reports on each endpoint from every one of many instances.
#[test]
fn a_fixed_number_of_instances_in_each_failure_domain_observes_a_primary() {
    let fleet = instances(&FLEET);
    for domain in ["quay", "forest"] {
        let observes = |instance: &&InstanceEntry| {
            instance.domain.as_str() == domain
                && is_observer(&fleet, &instance.name, &instance.domain, &"db".into())
        };
        assert_eq!(fleet.iter().filter(observes).count(), OBSERVERS_PER_DOMAIN);
    }
}

/// Load: reads with bounded staleness of many services at all instances.
#[test]
fn each_failure_domain_has_its_own_samplers_and_services_are_spread_over_its_instances() {
    let fleet = instances(&FLEET);
    let services: Vec<ServiceName> = (0..100).map(|number| format!("service-{number}").into()).collect();
    for service in &services {
        let found = samplers(&fleet, &"quay".into(), service);
        assert_eq!(found.len(), SAMPLERS_MAX);
        assert!(found.iter().all(|sampler| sampler.domain.as_str() == "quay"));
    }
    for instance in ["a-1", "a-2", "a-3"] {
        let is_first =
            |service: &&ServiceName| samplers(&fleet, &"quay".into(), service)[0].name.as_str() == instance;
        assert!(services.iter().filter(is_first).count() > 15);
    }
    assert!(samplers(&fleet, &"bay".into(), &services[0]).is_empty());
}
