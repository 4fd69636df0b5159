//! Assigns entry instances by rendezvous hashing: the owners of an organisation's connections to an endpoint, the
//! owners of its rate tokens, and the samplers and observers of a primary.
//!
//! Lets many organisations share few connections: all statements of an organisation for an endpoint go through one
//! instance in the endpoint's failure domain, so its connections are reused. When an instance joins or leaves, only the
//! organisations that it owns move.

use cumincart_protocol::{
    catalogue::EndpointEntry,
    fnv::Fnv,
    heartbeat::{InstanceEntry, Share},
    name::{DomainName, EndpointName, InstanceName, OrganisationName, ServiceName},
    sorted::SortedVec,
};

/// The maximum number of owners: the first choice and its fallbacks.
pub const OWNERS_MAX: usize = 3;

/// The number of instances per failure domain that sample the log points of a primary: one, and one that covers its
/// loss.
pub const SAMPLERS_MAX: usize = 2;
/// The subject under which instances are ranked as owners of tokens.
const TOKENS: &str = "tokens";

/// The number of instances per failure domain that observe a primary: one, and one that covers its loss.
pub const OBSERVERS_PER_DOMAIN: usize = 2;

/// Returns the owners of an organisation's connections to an endpoint, in order of preference. They are chosen among
/// the instances of the endpoint's failure domain, or among all instances if that domain has none.
pub fn owners<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    endpoint: &EndpointEntry,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    rank(eligible_owners(instances, endpoint), OWNERS_MAX, endpoint.name.as_str(), organisation.as_str())
}

/// Returns the number of instances that can own connections to an endpoint.
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

/// The number of instances per failure domain from which on medium plans have token owners too.
const MANY_INSTANCES_PER_DOMAIN: u64 = 4;

/// How many times the smallest useful share an instance must get of a plan without token owners, where there are many
/// instances: with less, each holds only a few tokens, and while the control leader can't move them, some instances
/// refuse while others have tokens left.
const AMPLE_SHARES: u64 = 4;

/// Returns whether an organisation's rate is too small to be split over all instances, so that one instance of each
/// failure domain holds it.
pub fn has_token_owners(instances: &SortedVec<InstanceEntry>, limit: Share) -> bool {
    is_small_for(instances.len() as u64, domains_of(instances).len() as u64, limit)
}

/// Returns the same for a number of instances in a number of failure domains.
pub fn is_small_for(instances: u64, domains: u64, limit: Share) -> bool {
    !limit.is_divisible_among(instances)
        || (instances >= MANY_INSTANCES_PER_DOMAIN * domains
            && !limit.is_divisible_among(instances * AMPLE_SHARES))
}

/// Returns the instances that hold a failure domain's share of a small organisation's rate, in order of preference.
///
/// Split over all instances, the share of each would be less than one token: every operation would have to ask the
/// control leader for a token, and none would be served while there is no leader.
pub fn token_owners<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    domain: &DomainName,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    rank(in_domain(instances, domain), OWNERS_MAX, TOKENS, organisation.as_str())
}

/// Returns whether another instance of its failure domain holds an organisation's tokens in place of this one.
pub fn is_token_owner_elsewhere(
    instances: &SortedVec<InstanceEntry>,
    instance: &InstanceName,
    domain: &DomainName,
    organisation: &OrganisationName,
    limit: Share,
) -> bool {
    if !has_token_owners(instances, limit) {
        return false;
    }
    let first = in_domain(instances, domain)
        .into_iter()
        .max_by_key(|other| score(&other.name, TOKENS, organisation.as_str()));
    first.is_some_and(|first| first.name != *instance)
}

/// Returns the instances that may lend a token of a small organisation's rate to a failure domain whose own share has
/// none: the first token owner of each other domain. They start with the domain that follows in the order of names, so
/// that the domains don't all ask the same one first.
pub fn token_lenders<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    domain: &DomainName,
    organisation: &OrganisationName,
) -> Vec<&'a InstanceEntry> {
    let mut domains = domains_of(instances);
    let next = domains.partition_point(|other| *other <= domain);
    domains.rotate_left(next);
    domains
        .into_iter()
        .filter(|other| *other != domain)
        .filter_map(|other| token_owners(instances, other, organisation).into_iter().next())
        .collect()
}

/// Returns the instances that sample the log points of a service's primary for their failure domain, in order of
/// preference.
///
/// Each sample takes up an execution slot of the primary. Sampled by every instance, they would be as many as the
/// requests.
pub fn samplers<'a>(
    instances: &'a SortedVec<InstanceEntry>,
    domain: &DomainName,
    service: &ServiceName,
) -> Vec<&'a InstanceEntry> {
    rank(in_domain(instances, domain), SAMPLERS_MAX, "points", service.as_str())
}

/// Returns whether an instance is one of the observers in its failure domain that periodically confirm to the control
/// leader that an endpoint answers.
///
/// Limits the number of reports: the leader needs confirmation from each failure domain, not from each instance.
pub fn is_observer(
    instances: &SortedVec<InstanceEntry>,
    instance: &InstanceName,
    domain: &DomainName,
    endpoint: &EndpointName,
) -> bool {
    let observers = rank(in_domain(instances, domain), OBSERVERS_PER_DOMAIN, endpoint.as_str(), "observers");
    observers.iter().any(|observer| observer.name == *instance)
}

fn domains_of(instances: &SortedVec<InstanceEntry>) -> Vec<&DomainName> {
    let mut domains: Vec<&DomainName> = instances.iter().map(|instance| &instance.domain).collect();
    domains.sort();
    domains.dedup();
    domains
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
