//! Selection of the endpoint that serves a statement: the primary, or a replica that is near, lightly loaded and likely
//! to have reached the log point that the read requires.
//!
//! Copes with lagging replicas, slow endpoints and an uneven distribution of clients over instances: statements go to
//! the endpoint in the instance's own failure domain, then in its own region, unless another one is expected to answer
//! sooner.

use {
    super::positions::LogPoint,
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group},
        lists::Consistency,
        name::{DomainName, EndpointName},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// The cost of reaching another region, in microseconds: one round trip.
pub const OTHER_REGION_COST_US: u64 = 24_000;

/// The cost of reaching another failure domain of the same region, in microseconds: one round trip.
pub const SAME_REGION_COST_US: u64 = 2_000;

/// How long an endpoint that had not reached a required log point gets no such reads, in milliseconds: several times
/// the usual replication lag.
pub const LAGGING_BACKOFF_MS: u64 = 200;

/// How long an unreachable endpoint gets no new statements, in milliseconds.
pub const UNREACHABLE_BACKOFF_MS: u64 = 500;

/// The location of an instance among the failure domains.
#[derive(Debug, Clone)]
pub struct Locality {
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The other failure domains of the instance's region.
    pub near: SortedVec<DomainName>,
}

impl Locality {
    /// Returns the network cost of reaching an endpoint in a failure domain, in microseconds.
    fn cost_us(&self, domain: &DomainName) -> u64 {
        if *domain == self.domain {
            0
        } else if self.near.contains(domain) {
            SAME_REGION_COST_US
        } else {
            OTHER_REGION_COST_US
        }
    }
}

/// The endpoints on which a statement may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Only the primary of the current term.
    Primary,
    /// Any endpoint whose log has reached this point.
    Anywhere(LogPoint),
}

/// What this instance has observed of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// The number of this instance's statements and transactions that use the endpoint or are queued for it.
    pub in_use: u64,
    /// The number of connections that this instance may open to the endpoint.
    pub limit: u32,
    /// The average service time, in microseconds.
    pub service_us: u64,
    /// The highest log point that the endpoint has reported.
    pub point: Option<LogPoint>,
    /// The endpoint is considered to be lagging until this instant.
    pub lagging_until: Instant,
    /// The endpoint is considered to be unreachable until this instant.
    pub unreachable_until: Instant,
}

/// Returns the staleness bound of reads: a read may miss commits acknowledged within this time before its arrival.
/// `None` means that it must see all of them.
pub fn staleness_bound(consistency: Consistency) -> Option<Duration> {
    match consistency {
        Consistency::Linearizable => None,
        Consistency::BoundedStaleness { max_staleness_ms }
        | Consistency::ReadYourWrites { max_staleness_ms } => Some(Duration::from_millis(max_staleness_ms)),
    }
}

/// Returns whether an endpoint may get new statements: it is not leaving, and its failure domain is in service.
pub fn may_serve(catalogue: &Catalogue, entry: &EndpointEntry) -> bool {
    !entry.leaving && !catalogue.is_domain_out(&entry.domain)
}

/// Returns the primary of the group's term, if the group is writable and the primary may get new statements.
pub fn primary<'a>(catalogue: &Catalogue, group: &'a Group) -> Option<&'a EndpointEntry> {
    let primary = group.primary.as_ref().filter(|_| group.writable)?;
    group.endpoints.get(primary).filter(|entry| may_serve(catalogue, entry))
}

/// Returns the endpoints that may serve a statement, in order of preference. Endpoints in `tried` have already failed
/// it and are left out.
pub fn candidates<'a>(
    catalogue: &Catalogue,
    group: &'a Group,
    target: Target,
    locality: &Locality,
    now: Instant,
    tried: &[EndpointName],
    load: impl Fn(&EndpointEntry) -> Load,
) -> Vec<&'a EndpointEntry> {
    let primary = primary(catalogue, group);
    let needed = match target {
        Target::Primary => return primary.into_iter().filter(|entry| !tried.contains(&entry.name)).collect(),
        Target::Anywhere(point) => point,
    };
    let mut ranked: Vec<(u64, &EndpointEntry)> = Vec::new();
    for entry in &group.endpoints {
        let is_primary = primary.is_some_and(|primary| primary.name == entry.name);
        if !may_serve(catalogue, entry) || tried.contains(&entry.name) {
            continue;
        }
        let load = load(entry);
        let lags = !is_primary && now < load.lagging_until && load.point.is_none_or(|point| point < needed);
        if lags || load.limit == 0 || now < load.unreachable_until {
            continue;
        }
        ranked.push((cost_us(entry, &load, locality), entry));
    }
    ranked.sort_by_key(|(cost, _)| *cost);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

/// Returns the expected duration of a read at an endpoint, in microseconds.
fn cost_us(entry: &EndpointEntry, load: &Load, locality: &Locality) -> u64 {
    let slots = u64::from(entry.slots.max(1));
    locality.cost_us(&entry.domain) + load.service_us * (load.in_use + 1) / slots
}
