//! Which entry instances hold an organisation's connections to an endpoint, and which its tokens.
//!
//! Answers many organisations over few connections: each organisation's work at an endpoint goes by one instance of the
//! endpoint's failure domain, so its connections are used again and again. Rendezvous hashing moves only what an instance
//! that comes or goes held.

use cumincart_protocol::{
    catalogue::EndpointEntry,
    fnv::Fnv,
    heartbeat::InstanceEntry,
    name::{DomainName, InstanceName, OrganisationName},
    sorted::SortedVec,
};

/// How many instances are named: the first, and those that stand in for it.
pub const HOMES: usize = 3;

/// The instances that hold the organisation's connections, best first: those of the endpoint's failure domain, or where it
/// has none, all.
pub fn homes<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    endpoint: &EndpointEntry,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    ranked(candidates(instances, endpoint), endpoint.name.as_str(), organisation)
}

/// How many instances hold connections to an endpoint, each some organisations'.
pub fn holders(instances: &SortedVec<InstanceEntry>, endpoint: &EndpointEntry) -> usize {
    candidates(instances, endpoint).len()
}

fn candidates<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    endpoint: &EndpointEntry,
) -> Vec<&'a InstanceEntry> {
    let near = of_domain(instances, &endpoint.domain);
    if near.is_empty() { instances.iter().collect() } else { near }
}

/// The instances that hold a failure domain's share of a small organisation's rate, best first.
///
/// Answers many small organisations on many instances: a share at each of them would be less than a token, so every
/// operation would have to ask the control leader for one, and none would be served without it.
pub fn token_homes<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    domain: &DomainName,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    ranked(of_domain(instances, domain), "tokens", organisation)
}

fn of_domain<'a>(instances: &'a SortedVec<InstanceEntry>, domain: &DomainName) -> Vec<&'a InstanceEntry> {
    instances.iter().filter(|instance| instance.domain == *domain).collect()
}

fn ranked<'a>(
    mut instances: Vec<&'a InstanceEntry>,
    subject: &str,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    instances.sort_by_key(|instance| std::cmp::Reverse(score(&instance.name, subject, organisation)));
    instances.truncate(HOMES);
    instances
}

fn score(instance: &InstanceName, subject: &str, organisation: &OrganisationName) -> u64 {
    let mut hash = Fnv::default();
    for part in [instance.as_str(), subject, organisation.as_str()] {
        hash.write(part.as_bytes());
        hash.write(&[0]);
    }
    hash.finish()
}
