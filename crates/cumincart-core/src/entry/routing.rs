//! Which endpoint gets a request.

use {
    super::{
        Board,
        pool::Endpoint,
        session::{self, Standing},
    },
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group},
        lists::{Access, Route},
        name::EndpointName,
        number::LogPosition,
        session::Session,
        time::Instant,
    },
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

/// A request as routing sees it.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The group of its service.
    pub group: &'a Group,
    /// Its route.
    pub route: &'a Route,
    /// What its session has seen.
    pub session: &'a Session,
    /// The endpoints that it was sent to before.
    pub tried: &'a [EndpointName],
    /// Whether a replica did not have what it needed, so that only the primary is left.
    pub missed: bool,
}

/// Chooses an endpoint.
pub fn choose(board: &Board, now: Instant, question: &Question<'_>) -> Destination {
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
        if let Some(replica) = choose_replica(board, now, question, needed) {
            return Destination::Endpoint(replica);
        }
    }
    match usable_primary(board, now, question.group) {
        Some(primary) => Destination::Endpoint(primary),
        None => Destination::Wait,
    }
}

/// The primary, where requests may be sent to it under a live lease.
pub fn usable_primary(board: &Board, now: Instant, group: &Group) -> Option<EndpointName> {
    if !group.writable || !board.freshness.holds_term_lease(now) {
        return None;
    }
    let entry = group.endpoints.get(group.primary.as_ref()?)?;
    takes_new_work(&board.freshness.catalogue, entry).then(|| entry.name.clone())
}

/// Whether an endpoint may get new work at all: it is not leaving and its failure domain is in service.
pub fn takes_new_work(catalogue: &Catalogue, entry: &EndpointEntry) -> bool {
    !entry.leaving && !catalogue.is_domain_out(&entry.domain)
}

/// The greatest age that an endpoint's data can have when it reports this lag.
///
/// A replica that follows a deposed primary reports a small lag. It can only have been deposed after the lease on the
/// term ended, so the time since then bounds the age as well.
pub fn age_ms(board: &Board, now: Instant, lag_ms: u64) -> u64 {
    let without_lease = now.saturating_since(board.freshness.term_lease_until);
    lag_ms.max(u64::try_from(without_lease.as_millis()).unwrap_or(u64::MAX))
}

fn reads_from_replicas(question: &Question<'_>) -> bool {
    question.route.access == Access::Read && question.route.max_staleness_ms > 0 && !question.missed
}

fn choose_replica(
    board: &Board,
    now: Instant,
    question: &Question<'_>,
    needed: LogPosition,
) -> Option<EndpointName> {
    let mut best: Option<(bool, usize, &EndpointEntry)> = None;
    for entry in &question.group.endpoints {
        if !is_candidate(board, now, question, entry, needed) {
            continue;
        }
        let distant = entry.domain != board.settings.domain;
        let load = board.pool.endpoint(&entry.name).map_or(0, Endpoint::load);
        if best.is_none_or(|(other_distant, other_load, _)| (distant, load) < (other_distant, other_load)) {
            best = Some((distant, load, entry));
        }
    }
    best.map(|(_, _, entry)| entry.name.clone())
}

fn is_candidate(
    board: &Board,
    now: Instant,
    question: &Question<'_>,
    entry: &EndpointEntry,
    needed: LogPosition,
) -> bool {
    if question.group.primary.as_ref() == Some(&entry.name) || question.tried.contains(&entry.name) {
        return false;
    }
    if !takes_new_work(&board.freshness.catalogue, entry) {
        return false;
    }
    if age_ms(board, now, 0) > question.route.max_staleness_ms {
        return false;
    }
    let Some(endpoint) = board.pool.endpoint(&entry.name) else {
        return false;
    };
    if !endpoint.is_reachable() || endpoint.connections == 0 {
        return false;
    }
    let Some(observed) = endpoint.observed else {
        return true;
    };
    let recently =
        now.saturating_since(observed.at) < Duration::from_millis(observed.state.lag_ms.max(OBSERVATION_MS));
    let suits = session::covers(question.group, &observed.state, needed)
        && observed.state.lag_ms <= question.route.max_staleness_ms;
    suits || !recently
}

/// How long an observation of an endpoint's state that does not suit a request speaks against sending it there, in
/// milliseconds, at least.
const OBSERVATION_MS: u64 = 10;
