//! Which entry instances hold an organisation's connections to an endpoint, which its tokens, and which observe a primary.
//!
//! Answers many organisations over few connections: each organisation's work at an endpoint goes by one instance of the
//! endpoint's failure domain, so its connections are used again and again. Rendezvous hashing moves only what an instance
//! that comes or goes held.

use cumincart_protocol::{
    catalogue::EndpointEntry,
    fnv::Fnv,
    heartbeat::InstanceEntry,
    name::{DomainName, EndpointName, InstanceName, OrganisationName},
    sorted::SortedVec,
};

/// How many instances are named: the first, and those that stand in for it.
pub const OWNERS_MAX: usize = 3;

/// How many instances of each failure domain observe a primary: one, and one that stands in for it.
pub const OBSERVERS_PER_DOMAIN: usize = 2;

/// The instances that hold the organisation's connections, best first: those of the endpoint's failure domain, or where it
/// has none, all.
pub fn owners<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    endpoint: &EndpointEntry,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    rank(eligible_owners(instances, endpoint), OWNERS_MAX, endpoint.name.as_str(), organisation.as_str())
}

/// How many instances hold connections to an endpoint, each some organisations'.
pub fn eligible_owner_count(instances: &SortedVec<InstanceEntry>, endpoint: &EndpointEntry) -> usize {
    eligible_owners(instances, endpoint).len()
}

fn eligible_owners<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    endpoint: &EndpointEntry,
) -> Vec<&'a InstanceEntry> {
    let near = in_domain(instances, &endpoint.domain);
    if near.is_empty() { instances.iter().collect() } else { near }
}

/// The instances that hold a failure domain's share of a small organisation's rate, best first.
///
/// Answers many small organisations on many instances: a share at each of them would be less than a token, so every
/// operation would have to ask the control leader for one, and none would be served without it.
pub fn token_owners<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    domain: &DomainName,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    rank(in_domain(instances, domain), OWNERS_MAX, "tokens", organisation.as_str())
}

/// Whether an instance is one of the few of its failure domain that tell the leader again and again that an endpoint answers.
///
/// Answers many instances: the leader needs a word from each failure domain, not from each instance.
pub fn is_observer(
    instances: &SortedVec<InstanceEntry>,
    instance: &InstanceName,
    domain: &DomainName,
    endpoint: &EndpointName,
) -> bool {
    let observers = rank(in_domain(instances, domain), OBSERVERS_PER_DOMAIN, endpoint.as_str(), "observers");
    observers.iter().any(|observer| observer.name == *instance)
}

fn in_domain<'a>(instances: &'a SortedVec<InstanceEntry>, domain: &DomainName) -> Vec<&'a InstanceEntry> {
    instances.iter().filter(|instance| instance.domain == *domain).collect()
}

fn rank<'a>(
    mut instances: Vec<&'a InstanceEntry>,
    count: usize,
    subject: &str,
    object: &str,
) -> Vec<&'a InstanceEntry> {
    instances.sort_by_key(|instance| std::cmp::Reverse(score(&instance.name, subject, object)));
    instances.truncate(count);
    instances
}

fn score(instance: &InstanceName, subject: &str, object: &str) -> u64 {
    let mut hash = Fnv::default();
    for part in [instance.as_str(), subject, object] {
        hash.write(part.as_bytes());
        hash.write(&[0]);
    }
    hash.finish()
}
