//! Acquisition of slots: selects the endpoint and the instance through which a request is served, and waits for a slot
//! there.

use {
    crate::{
        driver::{Destination, InvalidDestination},
        engine::{Engine, TICK_INTERVAL},
        relay::Relay,
        slot::Slot,
        state::State,
    },
    cumincart_core::interactive::{
        admission::{Admission, AdmissionRequest, Occupancy},
        primary_guarantee::{self, PrimaryGuarantee},
        routing::{self, Load, Target},
    },
    cumincart_protocol::{
        catalogue::EndpointEntry,
        heartbeat::InstanceEntry,
        lists::Database,
        name::{EndpointName, OrganisationName, ServiceName},
        time::Instant,
    },
    cumincart_runtime::logging::excerpt,
    slog::warn,
    std::sync::{Arc, MutexGuard},
    tokio::{sync::oneshot, time::timeout_at},
};

/// Why no slot was acquired; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotError {
    /// No endpoint may serve the statement now.
    NoEndpoint,
    /// All endpoints that may serve the statement are too busy to start it before its deadline.
    Overloaded {
        /// The estimated time until a slot is free, in milliseconds.
        retry_after_ms: u64,
        /// The utilisation of the endpoint's slots.
        occupancy: Occupancy,
    },
    /// No slot became free before the deadline.
    TimedOut,
}

/// A request for a slot at a given endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointSlotRequest<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) endpoint: &'a EndpointName,
    pub(crate) organisation: &'a OrganisationName,
    pub(crate) priority: u32,
    pub(crate) arrived_at: Instant,
    pub(crate) start_by: Instant,
}

/// A request for a slot at any endpoint that may serve a statement.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest<'a> {
    pub(crate) database: &'a Database,
    pub(crate) organisation: &'a OrganisationName,
    pub(crate) target: Target,
    pub(crate) tried: &'a [EndpointName],
    pub(crate) arrived_at: Instant,
    pub(crate) start_by: Instant,
}

impl Engine {
    /// Acquires a slot at an endpoint that may serve the request. If there is no such endpoint, it waits for a change
    /// of the catalogue until the request's deadline.
    pub(crate) async fn acquire_slot(&self, request: &SlotRequest<'_>) -> Result<Slot, SlotError> {
        let mut changes = self.changes();
        loop {
            match self.request_slot(request) {
                SlotRequestOutcome::Acquired(slot) => return Ok(*slot),
                SlotRequestOutcome::Refused(refusal) => return Err(refusal),
                SlotRequestOutcome::Waiting { pending, ticket, receiver } => {
                    let slot_request = EndpointSlotRequest {
                        service: &request.database.service,
                        endpoint: &pending.endpoint.clone(),
                        organisation: request.organisation,
                        priority: request.database.priority,
                        arrived_at: request.arrived_at,
                        start_by: request.start_by,
                    };
                    let needs_primary = request.target == Target::Primary;
                    match self.await_slot(&slot_request, needs_primary, pending, ticket, receiver).await {
                        // The endpoint may no longer serve the request, so another one is selected.
                        Err(SlotError::NoEndpoint) => {}
                        outcome => return outcome,
                    }
                }
                SlotRequestOutcome::NoEndpoint => {}
            }
            let next = self.deadline(request.start_by).min(tokio::time::Instant::now() + TICK_INTERVAL);
            // Try again on timeout as well: an endpoint may have become reachable.
            let _ = timeout_at(next, changes.changed()).await;
            if self.now() >= request.start_by {
                return Err(SlotError::NoEndpoint);
            }
        }
    }

    /// Selects an endpoint and the route to it, and requests a slot there.
    fn request_slot(&self, request: &SlotRequest<'_>) -> SlotRequestOutcome {
        let now = self.now();
        let mut state = self.lock();
        let catalogue = state.catalogue();
        let service = &request.database.service;
        let Some(group) = catalogue.group(service) else { return SlotRequestOutcome::NoEndpoint };
        let fences_terms = self.driver().fences_terms;
        let guarantee = primary_guarantee::primary_guarantee(&state.core.freshness, fences_terms, now);
        if request.target == Target::Primary && guarantee == PrimaryGuarantee::None {
            return SlotRequestOutcome::NoEndpoint;
        }
        let load = |entry: &EndpointEntry| {
            state.endpoints.get(&entry.name).map_or_else(Load::default, |known| known.load())
        };
        let candidates =
            routing::candidates(&catalogue, group, request.target, self.locality(), now, request.tried, load);
        let Some(best) = candidates.first() else { return SlotRequestOutcome::NoEndpoint };
        let is_usable = |owner: &InstanceEntry| self.link(&owner.peer_address).is_usable();
        let remote_owners =
            |entry: &EndpointEntry| state.remote_owners(now, entry, request.organisation, is_usable);
        let has_free_slot = |entry: &EndpointEntry| {
            let known = state.endpoints.get(&entry.name);
            known.is_some_and(|known| known.limiter.has_free_slot()) || !remote_owners(entry).is_empty()
        };
        let chosen = candidates.iter().find(|entry| has_free_slot(entry)).unwrap_or(best);
        if !self.can_connect(service, chosen, request.organisation) {
            return SlotRequestOutcome::Refused(SlotError::NoEndpoint);
        }
        let is_primary =
            state.primary_guarantee(service, &chosen.name, fences_terms, now) != PrimaryGuarantee::None;
        let owners = remote_owners(chosen);
        if !owners.is_empty() {
            if let Some(endpoint) = state.endpoints.get_mut(&chosen.name) {
                endpoint.relayed += 1;
            }
            drop(state);
            let priority = request.database.priority;
            let relay = Relay::new(owners, request.organisation.clone(), priority, request.start_by);
            let address = chosen.address.clone();
            let slot = Slot::new(self.clone(), service.clone(), chosen.name.clone(), address, is_primary);
            return SlotRequestOutcome::Acquired(Box::new(slot.with_relay(relay)));
        }
        let slot_request = EndpointSlotRequest {
            service,
            endpoint: &chosen.name,
            organisation: request.organisation,
            priority: request.database.priority,
            arrived_at: request.arrived_at,
            start_by: request.start_by,
        };
        self.request_own_slot(state, now, &slot_request, chosen, is_primary)
    }

    /// Requests one of this instance's own slots at an endpoint.
    fn request_own_slot(
        &self,
        mut state: MutexGuard<'_, State>,
        now: Instant,
        request: &EndpointSlotRequest<'_>,
        entry: &EndpointEntry,
        is_primary: bool,
    ) -> SlotRequestOutcome {
        let (ticket, receiver) = state.ticket();
        let Some(endpoint) = state.endpoints.get_mut(&entry.name) else {
            return SlotRequestOutcome::NoEndpoint;
        };
        let admission_request = AdmissionRequest {
            ticket,
            organisation: request.organisation.clone(),
            priority: request.priority,
            arrived_at: request.arrived_at,
            start_by: request.start_by,
        };
        let admission = endpoint.limiter.admit(now, admission_request);
        if admission == Admission::Waiting && endpoint.limiter.limit() == 0 {
            state.needs_heartbeat = true;
        }
        if admission != Admission::Waiting {
            state.drop_ticket(ticket);
        }
        drop(state);
        match admission {
            Admission::Admitted => {
                let address = entry.address.clone();
                let service = request.service.clone();
                let slot = Slot::new(self.clone(), service, entry.name.clone(), address, is_primary);
                SlotRequestOutcome::Acquired(Box::new(slot))
            }
            Admission::Refused { retry_after_ms, occupancy } => {
                SlotRequestOutcome::Refused(SlotError::Overloaded { retry_after_ms, occupancy })
            }
            Admission::Waiting => {
                let pending =
                    PendingSlot { endpoint: entry.name.clone(), address: entry.address.clone(), is_primary };
                SlotRequestOutcome::Waiting { pending, ticket, receiver }
            }
        }
    }

    /// Acquires a slot at the endpoint that another instance has selected.
    pub(crate) async fn acquire_slot_at(&self, request: &EndpointSlotRequest<'_>) -> Result<Slot, SlotError> {
        let outcome = {
            let now = self.now();
            let state = self.lock();
            let catalogue = state.catalogue();
            let group = catalogue.group(request.service);
            let entry = group.and_then(|group| group.endpoints.get(request.endpoint));
            let entry = entry.filter(|entry| routing::may_serve(&catalogue, entry));
            let Some(entry) = entry else { return Err(SlotError::NoEndpoint) };
            if !self.can_connect(request.service, entry, request.organisation) {
                return Err(SlotError::NoEndpoint);
            }
            let fences_terms = self.driver().fences_terms;
            let is_primary = state.primary_guarantee(request.service, request.endpoint, fences_terms, now)
                != PrimaryGuarantee::None;
            self.request_own_slot(state, now, request, entry, is_primary)
        };
        match outcome {
            SlotRequestOutcome::Acquired(slot) => Ok(*slot),
            SlotRequestOutcome::Refused(refusal) => Err(refusal),
            SlotRequestOutcome::NoEndpoint => Err(SlotError::NoEndpoint),
            SlotRequestOutcome::Waiting { pending, ticket, receiver } => {
                self.await_slot(request, false, pending, ticket, receiver).await
            }
        }
    }

    /// Checks whether the endpoints' protocol can express a connection to an endpoint for an organisation.
    pub(crate) fn check_destination(
        &self,
        service: &ServiceName,
        entry: &EndpointEntry,
        organisation: &OrganisationName,
    ) -> Result<(), InvalidDestination> {
        let destination = Destination {
            service: service.clone(),
            endpoint: entry.name.clone(),
            address: entry.address.clone(),
            organisation: organisation.clone(),
        };
        (self.driver().check)(&destination)
    }

    /// Returns whether a connection to an endpoint can be opened for an organisation, and logs why not. Checked before a
    /// slot is acquired, because a connection that can't be opened counts against its endpoint.
    fn can_connect(
        &self,
        service: &ServiceName,
        entry: &EndpointEntry,
        organisation: &OrganisationName,
    ) -> bool {
        let checked = self.check_destination(service, entry, organisation);
        let Err(InvalidDestination { reason }) = checked else { return true };
        if let Some(suppressed) = self.decisions().try_log_failure(self.now()) {
            warn!(self.logger(), "no connection can be opened for an organisation";
                "organisation" => &*excerpt(organisation.as_str()), "service" => &*excerpt(service.as_str()),
                "endpoint" => &*excerpt(entry.name.as_str()), "why" => reason, "lines_left_out" => suppressed);
        }
        false
    }

    /// Waits for a queued request to get its slot.
    async fn await_slot(
        &self,
        request: &EndpointSlotRequest<'_>,
        needs_primary: bool,
        pending: PendingSlot,
        ticket: u64,
        receiver: oneshot::Receiver<bool>,
    ) -> Result<Slot, SlotError> {
        let granted = match timeout_at(self.deadline(request.start_by), receiver).await {
            Ok(granted) => granted.unwrap_or(false),
            Err(_) => {
                let mut state = self.lock();
                state.drop_ticket(ticket);
                if let Some(endpoint) = state.endpoints.get_mut(&pending.endpoint)
                    && !endpoint.limiter.cancel(ticket)
                {
                    // The slot was granted concurrently: release it.
                    endpoint.limiter.release(None);
                    let now = self.now();
                    state.admit_waiting(now, &pending.endpoint);
                }
                return Err(SlotError::TimedOut);
            }
        };
        if !granted {
            return Err(SlotError::TimedOut);
        }
        let service = request.service.clone();
        let may_serve = {
            let catalogue = self.lock().catalogue();
            let entry = catalogue.group(&service).and_then(|group| group.endpoints.get(&pending.endpoint));
            entry.is_some_and(|entry| routing::may_serve(&catalogue, entry))
        };
        let guarantee = self.primary_guarantee(&service, &pending.endpoint, self.now());
        let is_primary = pending.is_primary && guarantee != PrimaryGuarantee::None;
        let slot = Slot::new(self.clone(), service, pending.endpoint, pending.address, is_primary);
        if !may_serve || (needs_primary && !slot.is_primary) {
            return Err(SlotError::NoEndpoint);
        }
        Ok(slot)
    }
}

/// The outcome of a request for a slot.
enum SlotRequestOutcome {
    Acquired(Box<Slot>),
    Waiting { pending: PendingSlot, ticket: u64, receiver: oneshot::Receiver<bool> },
    Refused(SlotError),
    NoEndpoint,
}

/// The endpoint at which a request is queued.
struct PendingSlot {
    endpoint: EndpointName,
    address: Arc<str>,
    is_primary: bool,
}
