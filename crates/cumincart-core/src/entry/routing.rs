//! Which endpoint gets a request.

pub mod policy;

use {
    super::{
        Core,
        pool::Endpoint,
        request::Kind,
        session::{self, Standing},
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

/// What to do with a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// Send it to this endpoint.
    Endpoint(EndpointName),
    /// No endpoint can take it now, but one may before its deadline.
    Wait,
    /// What the session has seen is lost.
    Lost,
}

/// The wait in a replica's queue from which on its reads may go to the primary, in milliseconds.
pub const SPILL_WAIT_MS: u64 = 10;

/// A request as routing sees it.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The group of its service.
    pub group: &'a Group,
    /// Its route.
    pub route: &'a Route,
    /// What it asks for.
    pub kind: Kind,
    /// What its session has seen.
    pub session: &'a Session,
    /// The endpoints that it was sent to before.
    pub tried: &'a [EndpointName],
    /// Whether a replica did not have what it needed, so that only the primary is left.
    pub missed: bool,
    /// A random number.
    pub draw: u64,
}

/// Chooses an endpoint.
pub fn choose(core: &Core, now: Instant, question: &Question<'_>) -> Destination {
    let seen = session::seen(question.session, &question.group.service);
    for point in [seen.write, seen.read] {
        match session::standing(question.group, point) {
            Standing::Kept => {}
            Standing::Lost => return Destination::Lost,
            Standing::Ahead => return Destination::Wait,
        }
    }
    if reads_from_replicas(question) {
        let needed = session::needed_position(&seen);
        if let Some(replica) = choose_replica(core, now, question, needed) {
            return Destination::Endpoint(unless_overloaded(core, now, question.group, replica));
        }
    }
    match usable_primary(core, now, question.group) {
        Some(primary) => Destination::Endpoint(primary),
        None => Destination::Wait,
    }
}

/// The primary, where requests may be sent to it under a live lease.
pub fn usable_primary(core: &Core, now: Instant, group: &Group) -> Option<EndpointName> {
    if !group.writable || !core.freshness.holds_term_lease(now) {
        return None;
    }
    let entry = group.endpoints.get(group.primary.as_ref()?)?;
    takes_new_work(&core.freshness.catalogue, entry).then(|| entry.name.clone())
}

/// Whether an endpoint may get new work at all: it is not leaving and its failure domain is in service.
pub fn takes_new_work(catalogue: &Catalogue, entry: &EndpointEntry) -> bool {
    !entry.leaving && !catalogue.is_domain_out(&entry.domain)
}

/// The greatest age that an endpoint's data can have when it reports this lag.
///
/// A replica that follows a deposed primary reports a small lag. It can only have been deposed after the lease on the
/// term ended, so the time since then bounds the age as well.
pub fn age_ms(core: &Core, now: Instant, lag_ms: u64) -> u64 {
    let without_lease = now.saturating_since(core.freshness.term_lease_until);
    lag_ms.max(u64::try_from(without_lease.as_millis()).unwrap_or(u64::MAX))
}

fn reads_from_replicas(question: &Question<'_>) -> bool {
    question.kind == Kind::Run
        && question.route.access == Access::Read
        && question.route.max_staleness_ms > 0
        && !question.missed
}

fn choose_replica(
    core: &Core,
    now: Instant,
    question: &Question<'_>,
    needed: LogPosition,
) -> Option<EndpointName> {
    let entries: Vec<&EndpointEntry> = question
        .group
        .endpoints
        .iter()
        .filter(|entry| is_candidate(core, now, question, entry, needed))
        .collect();
    let candidates: Vec<Candidate> = entries.iter().map(|entry| candidate(core, now, entry)).collect();
    let index = (core.replica_choice)(&candidates, question.draw)?;
    entries.get(index).map(|entry| entry.name.clone())
}

/// The replica, or the primary where the replica's queue is long and the primary's is not.
fn unless_overloaded(core: &Core, now: Instant, group: &Group, replica: EndpointName) -> EndpointName {
    let wait = expected_wait(core, &replica);
    if wait < Duration::from_millis(SPILL_WAIT_MS) {
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
        distant: entry.domain != core.settings.domain,
        load: endpoint.map_or(0, Endpoint::load),
        stalled: endpoint.is_some_and(|endpoint| endpoint.is_stalled(now)),
    }
}

fn is_candidate(
    core: &Core,
    now: Instant,
    question: &Question<'_>,
    entry: &EndpointEntry,
    needed: LogPosition,
) -> bool {
    if question.group.primary.as_ref() == Some(&entry.name) || question.tried.contains(&entry.name) {
        return false;
    }
    if !takes_new_work(&core.freshness.catalogue, entry) {
        return false;
    }
    if age_ms(core, now, 0) > question.route.max_staleness_ms {
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
    if !session::is_current_replica(question.group, &observed.state) {
        return false;
    }
    if age_ms(core, now, observed.state.lag_ms) > question.route.max_staleness_ms {
        return false;
    }
    observed.state.position >= needed
        || predicted_position(core, now, question.group, &observed.state) >= needed
}

/// The position that a replica is expected to have reached by now, from its lag and the primary's past positions.
fn predicted_position(core: &Core, now: Instant, group: &Group, replica: &EndpointState) -> LogPosition {
    let primary = group.primary.as_ref().and_then(|primary| core.pool.endpoint(primary));
    let lag = Duration::from_millis(replica.lag_ms);
    primary.and_then(|primary| primary.history.replica_position(now, lag)).unwrap_or(replica.position)
}
