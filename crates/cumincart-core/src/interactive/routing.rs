//! Which endpoint serves a statement: the primary, or a replica that is near, little used and likely to have the
//! point that the read needs.
//!
//! Answers replicas that lag, endpoints that slow down and an uneven share of clients per instance: work goes to the
//! endpoint of the own failure domain, then of the own region, until others would serve it sooner.

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

/// What reaching another region costs, in microseconds: a round trip between regions.
pub const OTHER_REGION_COST_US: u64 = 24_000;

/// What reaching another failure domain of the own region costs, in microseconds: a round trip between failure domains.
pub const SAME_REGION_COST_US: u64 = 2_000;

/// How long an endpoint that lacked a point is not asked again for reads that need one, in milliseconds: several times
/// the usual replication lag.
pub const LAGGING_BACKOFF_MS: u64 = 200;

/// How long an endpoint that could not be reached gets no new work, in milliseconds.
pub const UNREACHABLE_BACKOFF_MS: u64 = 500;

/// Where an instance stands among the failure domains.
#[derive(Debug, Clone)]
pub struct Locality {
    /// Its failure domain.
    pub domain: DomainName,
    /// The other failure domains of its region.
    pub near: SortedVec<DomainName>,
}

impl Locality {
    /// What reaching an endpoint there costs, in microseconds.
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

/// Where a statement may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// On the primary of the current term only.
    Primary,
    /// On any endpoint that has the point.
    Anywhere(LogPoint),
}

/// What this instance knows of an endpoint besides its entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Statements and transactions of this instance that use it or wait for it.
    pub in_use: u64,
    /// Connections that this instance may have open to it.
    pub limit: u32,
    /// The average time that a use takes, in microseconds.
    pub service_us: u64,
    /// How far its log was when it last answered.
    pub point: Option<LogPoint>,
    /// Until when it is taken to lag.
    pub lagging_until: Instant,
    /// Until when it is taken to be unreachable.
    pub unreachable_until: Instant,
}

/// How long before now a commit may have been acknowledged that a read need not see; none where it must see all.
pub fn staleness_bound(consistency: Consistency) -> Option<Duration> {
    match consistency {
        Consistency::Linearizable => None,
        Consistency::BoundedStaleness { max_staleness_ms }
        | Consistency::ReadYourWrites { max_staleness_ms } => Some(Duration::from_millis(max_staleness_ms)),
    }
}

/// Whether an endpoint may get new work at all.
pub fn may_serve(catalogue: &Catalogue, entry: &EndpointEntry) -> bool {
    !entry.leaving && !catalogue.is_domain_out(&entry.domain)
}

/// The primary of the group's term, where it takes writes and may get new work.
pub fn primary<'a>(catalogue: &Catalogue, group: &'a Group) -> Option<&'a EndpointEntry> {
    let primary = group.primary.as_ref().filter(|_| group.writable)?;
    group.endpoints.get(primary).filter(|entry| may_serve(catalogue, entry))
}

/// The endpoints that may serve a statement, best first. `tried` have failed it before.
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

/// What a read is expected to take at an endpoint, in microseconds.
fn cost_us(entry: &EndpointEntry, load: &Load, locality: &Locality) -> u64 {
    let slots = u64::from(entry.slots.max(1));
    locality.cost_us(&entry.domain) + load.service_us * (load.in_use + 1) / slots
}
