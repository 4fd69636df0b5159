//! Places at endpoints: which endpoint serves a request, by which instance, and what becomes of the wait for it.

use {
    crate::{
        engine::{Engine, TICK},
        relay::Relay,
        slot::Place,
        state::State,
    },
    cumincart_core::interactive::{
        admission::{Admission, Arrival, Occupancy},
        primary_guarantee::{self, Authority},
        routing::{self, Load, Target},
    },
    cumincart_protocol::{
        catalogue::EndpointEntry,
        heartbeat::InstanceEntry,
        lists::Database,
        name::{EndpointName, OrganisationName, ServiceName},
        time::Instant,
    },
    std::sync::{Arc, MutexGuard},
    tokio::{sync::oneshot, time::timeout_at},
};

/// Why no place was given; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No endpoint may serve the statement now.
    NoEndpoint,
    /// All that may serve it are too busy to start it in time.
    Busy {
        /// When a place is likely, in milliseconds.
        retry_after_ms: u64,
        /// How full the places were.
        occupancy: Occupancy,
    },
    /// A place did not come in time.
    Late,
}

/// A request for a place at one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct PlaceAt<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) endpoint: &'a EndpointName,
    pub(crate) organisation: &'a OrganisationName,
    pub(crate) priority: u32,
    pub(crate) arrived_at: Instant,
    pub(crate) start_by: Instant,
}

/// What a request for a place is about.
#[derive(Debug, Clone)]
pub(crate) struct PlaceRequest<'a> {
    pub(crate) database: &'a Database,
    pub(crate) organisation: &'a OrganisationName,
    pub(crate) target: Target,
    pub(crate) tried: &'a [EndpointName],
    pub(crate) arrived_at: Instant,
    pub(crate) start_by: Instant,
}

impl Engine {
    /// Gets a place at an endpoint that may serve the request. Where none may now, it waits for a change of the
    /// catalogue as long as the request can still start in time.
    pub(crate) async fn place(&self, request: &PlaceRequest<'_>) -> Result<Place, NoPlace> {
        let mut changes = self.changes();
        loop {
            match self.ask_place(request) {
                Asked::Place(place) => return Ok(*place),
                Asked::Refused(refusal) => return Err(refusal),
                Asked::Waits { place, ticket, answered } => {
                    let at = PlaceAt {
                        service: &request.database.service,
                        endpoint: &place.endpoint.clone(),
                        organisation: request.organisation,
                        priority: request.database.priority,
                        arrived_at: request.arrived_at,
                        start_by: request.start_by,
                    };
                    let needs_primary = request.target == Target::Primary;
                    return self.await_place(&at, needs_primary, place, ticket, answered).await;
                }
                Asked::NoEndpoint => {}
            }
            let next = self.deadline(request.start_by).min(tokio::time::Instant::now() + TICK);
            // A timeout looks again: an endpoint may have become reachable.
            let _ = timeout_at(next, changes.changed()).await;
            if self.now() >= request.start_by {
                return Err(NoPlace::NoEndpoint);
            }
        }
    }

    /// Chooses an endpoint and the way to it, and asks for a place there.
    fn ask_place(&self, request: &PlaceRequest<'_>) -> Asked {
        let now = self.now();
        let mut state = self.lock();
        let catalogue = state.catalogue();
        let service = &request.database.service;
        let Some(group) = catalogue.group(service) else { return Asked::NoEndpoint };
        let fences_terms = self.driver().fences_terms;
        let held = primary_guarantee::authority(&state.fleet.freshness, fences_terms, now);
        if request.target == Target::Primary && held == Authority::None {
            return Asked::NoEndpoint;
        }
        let load = |entry: &EndpointEntry| {
            state.endpoints.get(&entry.name).map_or_else(Load::default, |known| known.load())
        };
        let candidates =
            routing::candidates(&catalogue, group, request.target, self.locality(), now, request.tried, load);
        let Some(best) = candidates.first() else { return Asked::NoEndpoint };
        let is_up = |home: &InstanceEntry| self.link(&home.peer_address).is_up();
        let homes_of = |entry: &EndpointEntry| state.homes(now, entry, request.organisation, is_up);
        let has_place = |entry: &EndpointEntry| {
            let known = state.endpoints.get(&entry.name);
            known.is_some_and(|known| known.gate.has_place()) || !homes_of(entry).is_empty()
        };
        let chosen = candidates.iter().find(|entry| has_place(entry)).unwrap_or(best);
        let is_primary = state.authority(service, &chosen.name, fences_terms, now) != Authority::None;
        let homes = homes_of(chosen);
        if !homes.is_empty() {
            if let Some(endpoint) = state.endpoints.get_mut(&chosen.name) {
                endpoint.relayed += 1;
            }
            drop(state);
            let priority = request.database.priority;
            let relay = Relay::new(homes, request.organisation.clone(), priority, request.start_by);
            let address = chosen.address.clone();
            let place = Place::new(self.clone(), service.clone(), chosen.name.clone(), address, is_primary);
            return Asked::Place(Box::new(place.by(relay)));
        }
        let at = PlaceAt {
            service,
            endpoint: &chosen.name,
            organisation: request.organisation,
            priority: request.database.priority,
            arrived_at: request.arrived_at,
            start_by: request.start_by,
        };
        self.ask_gate(state, now, &at, chosen, is_primary)
    }

    /// Asks for one of this instance's own places at an endpoint.
    fn ask_gate(
        &self,
        mut state: MutexGuard<'_, State>,
        now: Instant,
        at: &PlaceAt<'_>,
        entry: &EndpointEntry,
        is_primary: bool,
    ) -> Asked {
        let (ticket, answered) = state.ticket();
        let Some(endpoint) = state.endpoints.get_mut(&entry.name) else { return Asked::NoEndpoint };
        let arrival = Arrival {
            ticket,
            organisation: at.organisation.clone(),
            priority: at.priority,
            arrived_at: at.arrived_at,
            start_by: at.start_by,
        };
        let admission = endpoint.gate.ask(now, arrival);
        if admission == Admission::Waiting && endpoint.gate.limit() == 0 {
            state.has_news = true;
        }
        if admission != Admission::Waiting {
            state.drop_ticket(ticket);
        }
        drop(state);
        match admission {
            Admission::Admitted => {
                let address = entry.address.clone();
                let service = at.service.clone();
                let place = Place::new(self.clone(), service, entry.name.clone(), address, is_primary);
                Asked::Place(Box::new(place))
            }
            Admission::Refused { retry_after_ms, occupancy } => {
                Asked::Refused(NoPlace::Busy { retry_after_ms, occupancy })
            }
            Admission::Waiting => {
                let place =
                    Waiting { endpoint: entry.name.clone(), address: entry.address.clone(), is_primary };
                Asked::Waits { place, ticket, answered }
            }
        }
    }

    /// Gets a place at one endpoint for another instance, which has chosen it.
    pub(crate) async fn place_at(&self, at: &PlaceAt<'_>) -> Result<Place, NoPlace> {
        let asked = {
            let now = self.now();
            let state = self.lock();
            let catalogue = state.catalogue();
            let group = catalogue.group(at.service);
            let entry = group.and_then(|group| group.endpoints.get(at.endpoint));
            let entry = entry.filter(|entry| routing::may_serve(&catalogue, entry));
            let Some(entry) = entry else { return Err(NoPlace::NoEndpoint) };
            let fences_terms = self.driver().fences_terms;
            let is_primary = state.authority(at.service, at.endpoint, fences_terms, now) != Authority::None;
            self.ask_gate(state, now, at, entry, is_primary)
        };
        match asked {
            Asked::Place(place) => Ok(*place),
            Asked::Refused(refusal) => Err(refusal),
            Asked::NoEndpoint => Err(NoPlace::NoEndpoint),
            Asked::Waits { place, ticket, answered } => {
                self.await_place(at, false, place, ticket, answered).await
            }
        }
    }

    /// Waits for a place that was asked for.
    async fn await_place(
        &self,
        at: &PlaceAt<'_>,
        needs_primary: bool,
        waiting: Waiting,
        ticket: u64,
        answered: oneshot::Receiver<bool>,
    ) -> Result<Place, NoPlace> {
        let granted = match timeout_at(self.deadline(at.start_by), answered).await {
            Ok(granted) => granted.unwrap_or(false),
            Err(_) => {
                let mut state = self.lock();
                state.drop_ticket(ticket);
                if let Some(endpoint) = state.endpoints.get_mut(&waiting.endpoint)
                    && !endpoint.gate.cancel(ticket)
                {
                    // The place was given at the same moment.
                    endpoint.gate.release(None);
                    let now = self.now();
                    state.pump(now, &waiting.endpoint);
                }
                return Err(NoPlace::Late);
            }
        };
        if !granted {
            return Err(NoPlace::Late);
        }
        let service = at.service.clone();
        let held = self.authority(&service, &waiting.endpoint, self.now());
        let is_primary = waiting.is_primary && held != Authority::None;
        let place = Place::new(self.clone(), service, waiting.endpoint, waiting.address, is_primary);
        if needs_primary && !place.is_primary {
            return Err(NoPlace::NoEndpoint);
        }
        Ok(place)
    }
}

/// What became of a request for a place.
enum Asked {
    Place(Box<Place>),
    Waits { place: Waiting, ticket: u64, answered: oneshot::Receiver<bool> },
    Refused(NoPlace),
    NoEndpoint,
}

/// Where a request waits.
struct Waiting {
    endpoint: EndpointName,
    address: Arc<str>,
    is_primary: bool,
}
