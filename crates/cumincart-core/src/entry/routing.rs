//! Chooses the endpoint for a request.

pub mod policy;

use {
    super::{
        Core,
        pool::Endpoint,
        request::Kind,
        session::{self, PointStatus},
    },
    crate::endpoint_command::EndpointState,
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group},
        lists::{Access, Route},
        name::EndpointName,
        number::LogPosition,
        session::Session,
        time::Instant,
    },
    policy::Candidate,
    std::time::Duration,
};

/// The result of routing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// Send the request to this endpoint.
    Endpoint(EndpointName),
    /// No endpoint can serve the request now, but one may before its deadline.
    Wait,
    /// A failover lost writes that the session has seen.
    WriteLost,
}

/// Expected wait in a replica's queue from which its reads may go to the primary, in milliseconds.
pub const PRIMARY_SPILLOVER_WAIT_MS: u64 = 10;

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// The group of its service.
    pub group: &'a Group,
    /// The route of the request.
    pub route: &'a Route,
    /// The kind of the request.
    pub kind: Kind,
    /// The session of the request.
    pub session: &'a Session,
    /// The endpoints that are not chosen again as a replica.
    pub tried: &'a [EndpointName],
    /// Whether only the primary may serve the request, because a replica was too stale.
    pub needs_primary: bool,
    /// A random number for the load balancing policy.
    pub draw: u64,
}

/// Chooses an endpoint for a request.
pub fn choose(core: &Core, now: Instant, request: &RoutingRequest<'_>) -> Destination {
    let seen = session::seen(request.session, &request.group.service);
    for point in [seen.write, seen.read] {
        match session::point_status(request.group, point) {
            PointStatus::InHistory => {}
            PointStatus::Lost => return Destination::WriteLost,
            PointStatus::Ahead => return Destination::Wait,
        }
    }
    if may_use_replica(request) {
        let needed = session::needed_position(&seen);
        if let Some(replica) = choose_replica(core, now, request, needed) {
            return Destination::Endpoint(spill_to_primary(core, now, request.group, replica));
        }
    }
    match usable_primary(core, now, request.group) {
        Some(primary) => Destination::Endpoint(primary),
        None => Destination::Wait,
    }
}

/// Returns the primary if it is writable, accepts requests and the term lease is live.
pub fn usable_primary(core: &Core, now: Instant, group: &Group) -> Option<EndpointName> {
    if !group.writable || !core.freshness.holds_term_lease(now) {
        return None;
    }
    let entry = group.endpoints.get(group.primary.as_ref()?)?;
    accepts_new_requests(&core.freshness.catalogue, entry).then(|| entry.name.clone())
}

/// Whether an endpoint may get new requests: it is not being removed and its failure domain is in service.
pub fn accepts_new_requests(catalogue: &Catalogue, entry: &EndpointEntry) -> bool {
    !entry.leaving && !catalogue.is_domain_out(&entry.domain)
}

/// Returns the upper bound of the age of an endpoint's data when the endpoint reports this lag.
///
/// A replica that follows a deposed primary reports a small lag. The primary can only have been deposed after
/// the term lease ended, so the time since then bounds the age as well.
pub fn max_age_ms(core: &Core, now: Instant, lag_ms: u64) -> u64 {
    let without_lease = now.saturating_since(core.freshness.term_lease_until);
    lag_ms.max(u64::try_from(without_lease.as_millis()).unwrap_or(u64::MAX))
}

fn may_use_replica(request: &RoutingRequest<'_>) -> bool {
    request.kind == Kind::Run
        && request.route.access == Access::Read
        && request.route.max_staleness_ms > 0
        && !request.needs_primary
}

fn choose_replica(
    core: &Core,
    now: Instant,
    request: &RoutingRequest<'_>,
    needed: LogPosition,
) -> Option<EndpointName> {
    let entries: Vec<&EndpointEntry> = request
        .group
        .endpoints
        .iter()
        .filter(|entry| is_candidate(core, now, request, entry, needed))
        .collect();
    let candidates: Vec<Candidate> = entries.iter().map(|entry| candidate(core, now, entry)).collect();
    let index = (core.replica_choice)(&candidates, request.draw)?;
    entries.get(index).map(|entry| entry.name.clone())
}

/// Returns the replica, or the primary if the replica's expected wait is long and more than twice the
/// primary's.
fn spill_to_primary(core: &Core, now: Instant, group: &Group, replica: EndpointName) -> EndpointName {
    let wait = expected_wait(core, &replica);
    if wait < Duration::from_millis(PRIMARY_SPILLOVER_WAIT_MS) {
        return replica;
    }
    match usable_primary(core, now, group) {
        Some(primary) if expected_wait(core, &primary) * 2 < wait => primary,
        _ => replica,
    }
}

fn expected_wait(core: &Core, name: &EndpointName) -> Duration {
    let endpoint = core.pool.endpoint(name);
    endpoint.map_or(Duration::ZERO, |endpoint| endpoint.expected_wait(endpoint.queue.len()))
}

fn candidate(core: &Core, now: Instant, entry: &EndpointEntry) -> Candidate {
    let endpoint = core.pool.endpoint(&entry.name);
    Candidate {
        in_other_domain: entry.domain != core.settings.domain,
        load: endpoint.map_or(0, Endpoint::load),
        stalled: endpoint.is_some_and(|endpoint| endpoint.is_stalled(now)),
    }
}

fn is_candidate(
    core: &Core,
    now: Instant,
    request: &RoutingRequest<'_>,
    entry: &EndpointEntry,
    needed: LogPosition,
) -> bool {
    if request.group.primary.as_ref() == Some(&entry.name) || request.tried.contains(&entry.name) {
        return false;
    }
    if !accepts_new_requests(&core.freshness.catalogue, entry) {
        return false;
    }
    if max_age_ms(core, now, 0) > request.route.max_staleness_ms {
        return false;
    }
    let Some(endpoint) = core.pool.endpoint(&entry.name) else {
        return false;
    };
    if !endpoint.is_reachable() || endpoint.connections == 0 {
        return false;
    }
    let Some(observed) = endpoint.observed else {
        return true;
    };
    if !session::is_current_replica(request.group, &observed.state) {
        return false;
    }
    if max_age_ms(core, now, observed.state.lag_ms) > request.route.max_staleness_ms {
        return false;
    }
    observed.state.position >= needed
        || predicted_position(core, now, request.group, &observed.state) >= needed
}

/// Estimates the position that a replica has reached by now, from its lag and the primary's past positions.
fn predicted_position(core: &Core, now: Instant, group: &Group, replica: &EndpointState) -> LogPosition {
    let primary = group.primary.as_ref().and_then(|primary| core.pool.endpoint(primary));
    let lag = Duration::from_millis(replica.lag_ms);
    primary.and_then(|primary| primary.history.replica_position(now, lag)).unwrap_or(replica.position)
}
