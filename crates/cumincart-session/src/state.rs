//! The state of an engine: leases and catalogue, endpoints with their slots and connections, and waiting requests.

use {
    crate::driver::Connection,
    cumincart_core::{
        entry::{self, Ticket, permits, permits::ConnectionUse, quota, quota::QuotaDecision},
        interactive::{
            admission::{self, ConcurrencyLimiter, Dequeued},
            first_lease::FirstLease,
            ownership,
            pool::IdleInfo,
            positions::{LogPoint, Positions},
            primary_guarantee::{self, PrimaryGuarantee},
            routing::{Load, UNREACHABLE_BACKOFF_MS},
        },
    },
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry},
        heartbeat::{EndpointReport, InstanceEntry},
        name::{EndpointName, InstanceName, OrganisationName, ServiceName},
        number::Term,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// How long an idle connection is kept, in milliseconds: well below the idle timeout of the endpoints.
const IDLE_TIMEOUT_MS: u64 = 45_000;

/// The maximum number of queued requests that count towards the demand for connections.
const WAITING_DEMAND_MAX: usize = 4;

/// How long after its last use an idle connection counts towards the demand, in milliseconds: an organisation's usual
/// pause between statements.
const RECENT_USE_MS: u64 = 3_000;

/// Whether an endpoint was reachable at the last attempt, and since when.
#[derive(Debug, Clone, Copy)]
struct Reachability {
    is_reachable: bool,
    since: Instant,
    reported_at: Option<Instant>,
    is_unreported: bool,
    /// Whether another attempt since the last report had the same result.
    is_confirmed: bool,
}

/// The interval at which an endpoint's reachability is reported again, in milliseconds.
const REPORT_REPEAT_MS: u64 = 400;

/// An idle connection.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) info: IdleInfo,
    pub(crate) connection: Connection,
    /// The number of the connection in log lines.
    pub(crate) number: u64,
}

/// The state of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) name: EndpointName,
    pub(crate) limiter: ConcurrencyLimiter,
    pub(crate) idle: Vec<IdleConnection>,
    /// The number of connections that are open or being opened, idle ones included.
    pub(crate) open: u32,
    /// The number of statements and transactions that use the endpoint through other instances.
    pub(crate) relayed: u32,
    pub(crate) point: Option<LogPoint>,
    pub(crate) lagging_until: Instant,
    pub(crate) unreachable_until: Instant,
    reachability: Option<Reachability>,
}

impl Keyed for EndpointState {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.name
    }
}

impl EndpointState {
    fn new(name: EndpointName) -> Self {
        Self {
            name,
            limiter: ConcurrencyLimiter::default(),
            idle: Vec::new(),
            open: 0,
            relayed: 0,
            point: None,
            lagging_until: Instant::ZERO,
            unreachable_until: Instant::ZERO,
            reachability: None,
        }
    }

    /// Returns the endpoint's load as routing needs it.
    pub(crate) fn load(&self) -> Load {
        Load {
            in_use: u64::from(self.limiter.allocated() + self.relayed) + self.limiter.waiting() as u64,
            // An instance that may open no connection is served by another instance's, or by one permitted later.
            limit: self.limiter.limit().max(1),
            service_us: self.limiter.service_us(),
            point: self.point,
            lagging_until: self.lagging_until,
            unreachable_until: self.unreachable_until,
        }
    }

    /// Records whether the endpoint was reached. Returns whether this differs from the last attempt.
    pub(crate) fn record_reachability(&mut self, now: Instant, is_reachable: bool) -> bool {
        self.unreachable_until =
            if is_reachable { Instant::ZERO } else { now + Duration::from_millis(UNREACHABLE_BACKOFF_MS) };
        let changed = self.reachability.is_none_or(|reachability| reachability.is_reachable != is_reachable);
        if changed {
            let is_confirmed = false;
            self.reachability = Some(Reachability {
                is_reachable,
                since: now,
                reported_at: None,
                is_unreported: true,
                is_confirmed,
            });
        } else if let Some(reachability) = &mut self.reachability {
            reachability.is_confirmed = true;
        }
        changed
    }

    /// Returns the number of connections that this instance can use: those of allocated slots, recently used idle ones
    /// and those for queued requests.
    fn connection_demand(&self, now: Instant) -> u32 {
        let recent = Duration::from_millis(RECENT_USE_MS);
        let used =
            self.idle.iter().filter(|idle| now.saturating_since(idle.info.idle_since) < recent).count();
        let waiting = self.limiter.waiting().min(WAITING_DEMAND_MAX);
        self.limiter.allocated() + u32::try_from(used + waiting).unwrap_or(u32::MAX)
    }

    /// Returns the report for the next heartbeat, if one is due: on every change, repeatedly while the endpoint is
    /// unreachable, and from observers also repeatedly while it answers.
    fn report(
        &mut self,
        now: Instant,
        is_observer: impl Fn(&EndpointName) -> bool,
    ) -> Option<EndpointReport> {
        let reachability = self.reachability.as_mut()?;
        let interval = Duration::from_millis(REPORT_REPEAT_MS);
        let is_due = reachability.reported_at.is_none_or(|at| now.saturating_since(at) >= interval);
        let is_repeated =
            is_due && (!reachability.is_reachable || (reachability.is_confirmed && is_observer(&self.name)));
        if !reachability.is_unreported && !is_repeated {
            return None;
        }
        reachability.is_unreported = false;
        reachability.is_confirmed = false;
        reachability.reported_at = Some(now);
        Some(EndpointReport {
            endpoint: self.name.clone(),
            reachable: reachability.is_reachable,
            since_ms: u64::try_from(now.saturating_since(reachability.since).as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// The sampled log points of one service's primary.
#[derive(Debug)]
pub(crate) struct ServicePositions {
    service: ServiceName,
    pub(crate) term: Term,
    pub(crate) positions: Positions,
    /// When a read, or another instance, last required a log point.
    pub(crate) required_at: Instant,
    /// The earliest time of the next refresh.
    pub(crate) next_refresh_at: Instant,
    pub(crate) is_refreshing: bool,
}

impl Keyed for ServicePositions {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// A request that waits for a slot or a token.
#[derive(Debug)]
struct Waiter {
    ticket: u64,
    answer: oneshot::Sender<bool>,
}

impl Keyed for Waiter {
    type Key = u64;

    fn key(&self) -> &u64 {
        &self.ticket
    }
}

#[derive(Debug)]
struct EjectedInstance {
    instance: InstanceName,
    until: Instant,
}

impl Keyed for EjectedInstance {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// The state of an engine.
#[derive(Debug)]
pub(crate) struct State {
    /// The state from the control leader: catalogue, leases, shares and permits.
    pub(crate) core: entry::Core,
    pub(crate) endpoints: SortedVec<EndpointState>,
    services: SortedVec<ServicePositions>,
    waiters: SortedVec<Waiter>,
    next_ticket: u64,
    /// Instances that did not serve a relayed request, with the end of their ejection.
    ejected: SortedVec<EjectedInstance>,
    pub(crate) first_lease: FirstLease,
    /// Whether a heartbeat must be sent at once, because of something that the control leader should know.
    pub(crate) needs_heartbeat: bool,
}

impl State {
    pub(crate) fn new(core: entry::Core, started_at: Instant) -> Self {
        Self {
            core,
            endpoints: SortedVec::new(),
            services: SortedVec::new(),
            waiters: SortedVec::new(),
            next_ticket: 1,
            ejected: SortedVec::new(),
            first_lease: FirstLease::open(started_at),
            needs_heartbeat: false,
        }
    }

    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.core.freshness.catalogue)
    }

    /// Returns what guarantees that an endpoint is the primary of its group.
    pub(crate) fn primary_guarantee(
        &self,
        service: &ServiceName,
        endpoint: &EndpointName,
        fences_terms: bool,
        now: Instant,
    ) -> PrimaryGuarantee {
        let freshness = &self.core.freshness;
        let group = freshness.catalogue.group(service);
        if !group.is_some_and(|group| group.writable && group.primary.as_ref() == Some(endpoint)) {
            return PrimaryGuarantee::None;
        }
        primary_guarantee::primary_guarantee(freshness, fences_terms, now)
    }

    /// Ejects an instance: until this instant no requests are relayed to it.
    pub(crate) fn eject(&mut self, instance: &InstanceName, until: Instant) {
        self.ejected.insert(EjectedInstance { instance: instance.clone(), until });
    }

    /// Returns the other instances through which an organisation's statements go to an endpoint, in order of
    /// preference. The list is empty if this instance uses its own connections.
    pub(crate) fn remote_owners(
        &self,
        now: Instant,
        endpoint: &EndpointEntry,
        organisation: &OrganisationName,
        is_link_usable: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceEntry> {
        let known = self.endpoints.get(&endpoint.name);
        let has_idle =
            |known: &EndpointState| known.idle.iter().any(|idle| idle.info.organisation == *organisation);
        if known.is_some_and(has_idle) {
            return Vec::new();
        }
        self.preferred_owners(
            now,
            ownership::owners(&self.core.freshness.instances, endpoint, organisation),
            is_link_usable,
        )
    }

    /// Returns the owners that are preferred over this instance and can be reached, in order of preference.
    pub(crate) fn preferred_owners(
        &self,
        now: Instant,
        owners: Vec<&InstanceEntry>,
        is_link_usable: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceEntry> {
        let own = &self.core.settings.instance;
        let is_usable = |owner: &&InstanceEntry| {
            let is_ejected = self.ejected.get(&owner.name).is_some_and(|ejected| now < ejected.until);
            owner.name == *own || (!is_ejected && is_link_usable(owner))
        };
        owners.into_iter().filter(is_usable).take_while(|owner| owner.name != *own).cloned().collect()
    }

    /// Creates a ticket for a waiting request, and the receiver for its answer: whether the slot or token was granted.
    pub(crate) fn ticket(&mut self) -> (u64, oneshot::Receiver<bool>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let (answer, receiver) = oneshot::channel();
        self.waiters.insert(Waiter { ticket, answer });
        (ticket, receiver)
    }

    /// Answers a ticket. Returns whether a request was still waiting for the answer.
    pub(crate) fn answer(&mut self, ticket: u64, granted: bool) -> bool {
        self.waiters.remove(&ticket).is_some_and(|waiter| waiter.answer.send(granted).is_ok())
    }

    /// Drops a ticket whose request no longer waits.
    pub(crate) fn drop_ticket(&mut self, ticket: u64) {
        self.waiters.remove(&ticket);
    }

    pub(crate) fn positions(&mut self, service: &ServiceName) -> &mut ServicePositions {
        self.services.get_or_insert_with(service, || ServicePositions {
            service: service.clone(),
            term: Term::default(),
            positions: Positions::default(),
            required_at: Instant::ZERO,
            next_refresh_at: Instant::ZERO,
            is_refreshing: false,
        })
    }

    /// Updates endpoints and services from the catalogue and the permits.
    pub(crate) fn apply_catalogue(&mut self, now: Instant) {
        let catalogue = self.catalogue();
        for group in &catalogue.groups {
            let known = self.positions(&group.service);
            if known.term != group.term {
                known.term = group.term;
                known.positions.clear();
            }
            for entry in &group.endpoints {
                let name = &entry.name;
                self.endpoints.get_or_insert_with(name, || EndpointState::new(name.clone()));
            }
        }
        let is_listed =
            |name: &EndpointName| catalogue.groups.iter().any(|group| group.endpoints.contains(name));
        self.endpoints.retain(|endpoint| endpoint.open > 0 || is_listed(&endpoint.name));
        for endpoint in self.endpoints.iter_mut() {
            let allowed = permits::allowed(&self.core.permits, now, &endpoint.name);
            endpoint.limiter.set_limit(allowed);
            let mut entries = catalogue.groups.iter().filter_map(|group| group.endpoints.get(&endpoint.name));
            if let Some(entry) = entries.next() {
                let owner_count = ownership::eligible_owner_count(&self.core.freshness.instances, entry);
                endpoint.limiter.set_min_window(admission::fair_window(entry.slots, owner_count));
            }
            if !is_listed(&endpoint.name) {
                endpoint.open -= u32::try_from(endpoint.idle.len()).unwrap_or_default();
                endpoint.idle.clear();
            }
        }
        self.close_excess_idle(now);
        self.admit_all_waiting(now);
    }

    /// Closes idle connections that are lost, have reached the idle timeout, or exceed the permits.
    pub(crate) fn close_excess_idle(&mut self, now: Instant) {
        let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
        for endpoint in self.endpoints.iter_mut() {
            let before = endpoint.idle.len();
            endpoint.idle.retain(|idle| {
                !idle.connection.is_lost() && now.saturating_since(idle.info.idle_since) < idle_timeout
            });
            endpoint.open -= u32::try_from(before - endpoint.idle.len()).unwrap_or_default();
            while endpoint.open > endpoint.limiter.limit() && !endpoint.idle.is_empty() {
                endpoint.idle.remove(0);
                endpoint.open -= 1;
            }
        }
    }

    /// Grants free slots to requests queued at an endpoint, and refuses those whose deadline has passed.
    pub(crate) fn admit_waiting(&mut self, now: Instant, name: &EndpointName) {
        loop {
            let Some(endpoint) = self.endpoints.get_mut(name) else { return };
            let idle = &endpoint.idle;
            let has_connection = |organisation: &OrganisationName| {
                idle.iter().any(|idle| idle.info.organisation == *organisation)
            };
            match endpoint.limiter.dequeue(now, has_connection) {
                None => return,
                Some(Dequeued::Expired(ticket)) => {
                    self.answer(ticket, false);
                }
                Some(Dequeued::Admitted(ticket)) => {
                    if !self.answer(ticket, true)
                        && let Some(endpoint) = self.endpoints.get_mut(name)
                    {
                        endpoint.limiter.release(None);
                    }
                }
            }
        }
    }

    fn admit_all_waiting(&mut self, now: Instant) {
        let names: Vec<EndpointName> = self.endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        for name in &names {
            self.admit_waiting(now, name);
        }
    }

    /// Answers requests that wait for a token of their organisation's rate.
    pub(crate) fn answer_token_waiters(&mut self, now: Instant) {
        for (Ticket(ticket), decision) in quota::take_decisions(&mut self.core.quota, now) {
            self.answer(ticket, decision == QuotaDecision::Admitted);
        }
    }

    /// Returns the reachability reports and the connection use of endpoints for the next heartbeat.
    pub(crate) fn reports(&mut self, now: Instant) -> (Vec<EndpointReport>, SortedVec<ConnectionUse>) {
        let catalogue = self.catalogue();
        let settings = &self.core.settings;
        let own_domain = &settings.domain;
        let instances = &self.core.freshness.instances;
        let is_observer = |name: &EndpointName| {
            catalogue.groups.iter().any(|group| group.primary.as_ref() == Some(name))
                && ownership::is_observer(instances, &settings.instance, own_domain, name)
        };
        let reports =
            self.endpoints.iter_mut().filter_map(|endpoint| endpoint.report(now, is_observer)).collect();
        let is_near = |name: &EndpointName| {
            let entries = catalogue.groups.iter().filter_map(|group| group.endpoints.get(name));
            entries.into_iter().any(|entry| entry.domain == *own_domain)
        };
        let uses = self
            .endpoints
            .iter()
            .map(|endpoint| ConnectionUse {
                endpoint: endpoint.name.clone(),
                open: endpoint.open,
                // An instance in the endpoint's failure domain owns the connections of some organisations, so it keeps
                // one ready.
                wanted: endpoint.connection_demand(now).max(u32::from(is_near(&endpoint.name))),
            })
            .collect();
        (reports, uses)
    }
}
