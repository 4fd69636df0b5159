//! Where an organisation's connections are held, as instances come and go.

use {
    cumincart_core::interactive::ownership::{OBSERVERS_PER_DOMAIN, is_observer, owners, token_owners},
    cumincart_protocol::{
        catalogue::EndpointEntry, heartbeat::InstanceEntry, name::OrganisationName, number::Incarnation,
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
fn homes_stand_in_the_endpoint_s_failure_domain() {
    let fleet = instances(&FLEET);
    for organisation in organisations() {
        let found = owners(&fleet, &endpoint("quay"), &organisation);
        assert_eq!(found.len(), 3);
        assert!(found.iter().all(|owner| owner.domain.as_str() == "quay"));
    }
}

#[test]
fn where_a_failure_domain_has_no_instance_others_stand_in() {
    let organisation = "clinic".into();
    assert_eq!(owners(&instances(&FLEET), &endpoint("bay"), &organisation).len(), 3);
}

#[test]
fn organisations_are_spread_evenly() {
    let fleet = instances(&FLEET);
    for instance in ["a-1", "a-2", "a-3"] {
        let is_first = |organisation: &OrganisationName| {
            owners(&fleet, &endpoint("quay"), organisation)[0].name.as_str() == instance
        };
        let count = organisations().iter().filter(|organisation| is_first(organisation)).count();
        assert!((100..170).contains(&count), "{instance} is the owner of {count} of 400");
    }
}

/// Pattern: an instance is lost.
#[test]
fn only_what_a_lost_instance_held_moves() {
    let (before, after) = (instances(&FLEET), instances(&[FLEET[0], FLEET[2], FLEET[3], FLEET[4]]));
    for organisation in organisations() {
        let old = owners(&before, &endpoint("quay"), &organisation)[0].name.clone();
        let new = owners(&after, &endpoint("quay"), &organisation)[0].name.clone();
        assert!(old == new || old.as_str() == "a-2", "{organisation} moved from {old} to {new}");
    }
}

#[test]
fn tokens_are_held_in_the_asker_s_failure_domain() {
    let fleet = instances(&FLEET);
    for organisation in organisations() {
        let found = token_owners(&fleet, &"forest".into(), &organisation);
        assert_eq!(found.len(), 2);
        assert!(found.iter().all(|owner| owner.domain.as_str() == "forest"));
    }
}

#[test]
fn small_organisations_tokens_are_spread_over_the_instances() {
    let fleet = instances(&FLEET);
    for instance in ["a-1", "a-2", "a-3"] {
        let is_first = |organisation: &OrganisationName| {
            token_owners(&fleet, &"quay".into(), organisation)[0].name.as_str() == instance
        };
        let held = organisations().iter().filter(|organisation| is_first(organisation)).count();
        assert!((100..170).contains(&held), "{instance} holds {held} of 400");
    }
}

/// Pattern: many instances, each of which could report on each endpoint.
#[test]
fn few_instances_of_each_failure_domain_observe_a_primary() {
    let fleet = instances(&FLEET);
    for domain in ["quay", "forest"] {
        let observes = |instance: &&InstanceEntry| {
            instance.domain.as_str() == domain
                && is_observer(&fleet, &instance.name, &instance.domain, &"db".into())
        };
        assert_eq!(fleet.iter().filter(observes).count(), OBSERVERS_PER_DOMAIN);
    }
}
