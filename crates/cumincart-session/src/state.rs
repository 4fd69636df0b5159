//! What an engine knows: the leases and the catalogue, the endpoints with their places and connections, and who waits.

use {
    crate::driver::Connection,
    cumincart_core::{
        entry::{self, Ticket, permits, permits::ConnectionUse, quota, quota::QuotaDecision},
        interactive::{
            admission::{self, Gate, Next},
            authority::{self, Authority},
            homes,
            pool::Idle,
            positions::{LogPoint, Positions},
            routing::{Load, UNREACHABLE_PAUSE_MS},
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

/// How long an idle connection is kept, in milliseconds: well under the time after which endpoints close idle ones.
const IDLE_KEPT_MS: u64 = 45_000;

/// How many of those who wait count as a wish for more connections.
const WAITING_COUNTED: usize = 4;

/// How long after its last use a connection counts as wanted, in milliseconds: an organisation's usual pause.
const USED_LATELY_MS: u64 = 3_000;

/// Whether an endpoint was reached last, and since when that has been so.
#[derive(Debug, Clone, Copy)]
struct Contact {
    is_reachable: bool,
    since: Instant,
    reported_at: Option<Instant>,
    is_news: bool,
    /// Whether it was reached or not again since the last report.
    is_confirmed: bool,
}

/// How often what was seen of an endpoint is reported again, in milliseconds.
const REPORT_AGAIN_MS: u64 = 400;

/// An idle connection.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) idle: Idle,
    pub(crate) connection: Connection,
}

/// An endpoint as this engine uses it.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) name: EndpointName,
    pub(crate) gate: Gate,
    pub(crate) idle: Vec<IdleConnection>,
    /// Connections that are open or being opened, idle ones included.
    pub(crate) open: u32,
    /// Statements and transactions that use the endpoint by other instances.
    pub(crate) relayed: u32,
    pub(crate) point: Option<LogPoint>,
    pub(crate) lagging_until: Instant,
    pub(crate) unreachable_until: Instant,
    contact: Option<Contact>,
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
            gate: Gate::default(),
            idle: Vec::new(),
            open: 0,
            relayed: 0,
            point: None,
            lagging_until: Instant::ZERO,
            unreachable_until: Instant::ZERO,
            contact: None,
        }
    }

    /// What routing needs to know.
    pub(crate) fn load(&self) -> Load {
        Load {
            in_use: u64::from(self.gate.taken() + self.relayed) + self.gate.waiting() as u64,
            // Without a connection of its own, another instance's or one to come serves.
            limit: self.gate.limit().max(1),
            service_us: self.gate.service_us(),
            point: self.point,
            lagging_until: self.lagging_until,
            unreachable_until: self.unreachable_until,
        }
    }

    /// Notes whether the endpoint was reached. Tells whether that is news.
    pub(crate) fn note_contact(&mut self, now: Instant, is_reachable: bool) -> bool {
        self.unreachable_until =
            if is_reachable { Instant::ZERO } else { now + Duration::from_millis(UNREACHABLE_PAUSE_MS) };
        let changed = self.contact.is_none_or(|contact| contact.is_reachable != is_reachable);
        if changed {
            let is_confirmed = false;
            self.contact =
                Some(Contact { is_reachable, since: now, reported_at: None, is_news: true, is_confirmed });
        } else if let Some(contact) = &mut self.contact {
            contact.is_confirmed = true;
        }
        changed
    }

    /// Connections that would be of use: what runs and waits, and what was used lately and will be again.
    fn wanted(&self, now: Instant) -> u32 {
        let lately = Duration::from_millis(USED_LATELY_MS);
        let used = self.idle.iter().filter(|idle| now.saturating_since(idle.idle.since) < lately).count();
        let waiting = self.gate.waiting().min(WAITING_COUNTED);
        self.gate.taken() + u32::try_from(used + waiting).unwrap_or(u32::MAX)
    }

    /// What the next heartbeat reports: news, and of observers again that the endpoint answers, while it does.
    fn report(
        &mut self,
        now: Instant,
        is_observer: impl Fn(&EndpointName) -> bool,
    ) -> Option<EndpointReport> {
        let contact = self.contact.as_mut()?;
        let again = Duration::from_millis(REPORT_AGAIN_MS);
        let is_due = contact.reported_at.is_none_or(|at| now.saturating_since(at) >= again);
        let is_repeated =
            is_due && (!contact.is_reachable || (contact.is_confirmed && is_observer(&self.name)));
        if !contact.is_news && !is_repeated {
            return None;
        }
        contact.is_news = false;
        contact.is_confirmed = false;
        contact.reported_at = Some(now);
        Some(EndpointReport {
            endpoint: self.name.clone(),
            reachable: contact.is_reachable,
            since_ms: u64::try_from(now.saturating_since(contact.since).as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// The primary's points of one service.
#[derive(Debug)]
pub(crate) struct ServicePositions {
    service: ServiceName,
    term: Term,
    pub(crate) positions: Positions,
    /// When a read last needed a point.
    pub(crate) needed_at: Instant,
    pub(crate) is_asking: bool,
}

impl Keyed for ServicePositions {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// Who waits under a ticket.
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
struct Avoided {
    instance: InstanceName,
    until: Instant,
}

impl Keyed for Avoided {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// All that an engine knows.
#[derive(Debug)]
pub(crate) struct State {
    /// What this instance holds from the control leader: catalogue, leases, shares, permits.
    pub(crate) fleet: entry::Core,
    pub(crate) endpoints: SortedVec<EndpointState>,
    services: SortedVec<ServicePositions>,
    waiters: SortedVec<Waiter>,
    next_ticket: u64,
    /// Instances that did not serve what was passed on to them, and until when they are passed over.
    avoided: SortedVec<Avoided>,
    /// Whether something was noted that the control leader should hear at once.
    pub(crate) has_news: bool,
}

impl State {
    pub(crate) fn new(fleet: entry::Core) -> Self {
        Self {
            fleet,
            endpoints: SortedVec::new(),
            services: SortedVec::new(),
            waiters: SortedVec::new(),
            next_ticket: 1,
            avoided: SortedVec::new(),
            has_news: false,
        }
    }

    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.fleet.freshness.catalogue)
    }

    /// On what an endpoint may be used as the primary of its group.
    pub(crate) fn authority(
        &self,
        service: &ServiceName,
        endpoint: &EndpointName,
        fences_terms: bool,
        now: Instant,
    ) -> Authority {
        let freshness = &self.fleet.freshness;
        let group = freshness.catalogue.group(service);
        if !group.is_some_and(|group| group.writable && group.primary.as_ref() == Some(endpoint)) {
            return Authority::None;
        }
        authority::authority(freshness, fences_terms, now)
    }

    /// Passes an instance over for a while.
    pub(crate) fn avoid(&mut self, instance: &InstanceName, until: Instant) {
        self.avoided.insert(Avoided { instance: instance.clone(), until });
    }

    /// The other instances by which an organisation's work goes to an endpoint, best first; none where it goes by this
    /// one.
    pub(crate) fn homes(
        &self,
        now: Instant,
        endpoint: &EndpointEntry,
        organisation: &OrganisationName,
        is_up: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceEntry> {
        let known = self.endpoints.get(&endpoint.name);
        let has_idle =
            |known: &EndpointState| known.idle.iter().any(|idle| idle.idle.organisation == *organisation);
        if known.is_some_and(has_idle) {
            return Vec::new();
        }
        self.ways(now, homes::homes(&self.fleet.freshness.instances, endpoint, organisation), is_up)
    }

    /// Those of some instances, best first, that can be asked before this one itself comes.
    pub(crate) fn ways(
        &self,
        now: Instant,
        homes: Vec<&InstanceEntry>,
        is_up: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceEntry> {
        let own = &self.fleet.settings.instance;
        let is_usable = |home: &&InstanceEntry| {
            let is_avoided = self.avoided.get(&home.name).is_some_and(|avoided| now < avoided.until);
            home.name == *own || (!is_avoided && is_up(home))
        };
        homes.into_iter().filter(is_usable).take_while(|home| home.name != *own).cloned().collect()
    }

    /// A ticket and the way in which its holder hears whether it got what it waits for.
    pub(crate) fn ticket(&mut self) -> (u64, oneshot::Receiver<bool>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let (answer, answered) = oneshot::channel();
        self.waiters.insert(Waiter { ticket, answer });
        (ticket, answered)
    }

    /// Answers a ticket. Tells whether its holder heard it.
    pub(crate) fn answer(&mut self, ticket: u64, granted: bool) -> bool {
        self.waiters.remove(&ticket).is_some_and(|waiter| waiter.answer.send(granted).is_ok())
    }

    /// Drops a ticket that nobody waits under any more.
    pub(crate) fn drop_ticket(&mut self, ticket: u64) {
        self.waiters.remove(&ticket);
    }

    pub(crate) fn positions(&mut self, service: &ServiceName) -> &mut ServicePositions {
        self.services.get_or_insert_with(service, || ServicePositions {
            service: service.clone(),
            term: Term::default(),
            positions: Positions::default(),
            needed_at: Instant::ZERO,
            is_asking: false,
        })
    }

    /// Brings endpoints and services in line with the catalogue and the permits.
    pub(crate) fn follow_catalogue(&mut self, now: Instant) {
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
        let is_entered =
            |name: &EndpointName| catalogue.groups.iter().any(|group| group.endpoints.contains(name));
        self.endpoints.retain(|endpoint| endpoint.open > 0 || is_entered(&endpoint.name));
        for endpoint in self.endpoints.iter_mut() {
            let allowed = permits::allowed(&self.fleet.permits, now, &endpoint.name);
            endpoint.gate.set_limit(allowed);
            let mut entries = catalogue.groups.iter().filter_map(|group| group.endpoints.get(&endpoint.name));
            if let Some(entry) = entries.next() {
                let holders = homes::holders(&self.fleet.freshness.instances, entry);
                endpoint.gate.set_floor(admission::fair_window(entry.slots, holders));
            }
            if !is_entered(&endpoint.name) {
                endpoint.open -= u32::try_from(endpoint.idle.len()).unwrap_or_default();
                endpoint.idle.clear();
            }
        }
        self.close_surplus(now);
        self.pump_all(now);
    }

    /// Closes idle connections that are lost, too old, or more than the permits allow.
    pub(crate) fn close_surplus(&mut self, now: Instant) {
        let kept = Duration::from_millis(IDLE_KEPT_MS);
        for endpoint in self.endpoints.iter_mut() {
            let before = endpoint.idle.len();
            endpoint
                .idle
                .retain(|idle| !idle.connection.is_lost() && now.saturating_since(idle.idle.since) < kept);
            endpoint.open -= u32::try_from(before - endpoint.idle.len()).unwrap_or_default();
            while endpoint.open > endpoint.gate.limit() && !endpoint.idle.is_empty() {
                endpoint.idle.remove(0);
                endpoint.open -= 1;
            }
        }
    }

    /// Gives free places to those who wait at an endpoint.
    pub(crate) fn pump(&mut self, now: Instant, name: &EndpointName) {
        loop {
            let Some(endpoint) = self.endpoints.get_mut(name) else { return };
            let idle = &endpoint.idle;
            let has_connection = |organisation: &OrganisationName| {
                idle.iter().any(|idle| idle.idle.organisation == *organisation)
            };
            match endpoint.gate.next(now, has_connection) {
                None => return,
                Some(Next::Late(ticket)) => {
                    self.answer(ticket, false);
                }
                Some(Next::Admitted(ticket)) => {
                    if !self.answer(ticket, true)
                        && let Some(endpoint) = self.endpoints.get_mut(name)
                    {
                        endpoint.gate.release(None);
                    }
                }
            }
        }
    }

    fn pump_all(&mut self, now: Instant) {
        let names: Vec<EndpointName> = self.endpoints.iter().map(|endpoint| endpoint.name.clone()).collect();
        for name in &names {
            self.pump(now, name);
        }
    }

    /// Answers those who wait for a token of their organisation's rate.
    pub(crate) fn release_tokens(&mut self, now: Instant) {
        for (Ticket(ticket), decision) in quota::take_decisions(&mut self.fleet.quota, now) {
            self.answer(ticket, decision == QuotaDecision::Admitted);
        }
    }

    /// What the next heartbeat reports of endpoints.
    pub(crate) fn reports(&mut self, now: Instant) -> (Vec<EndpointReport>, SortedVec<ConnectionUse>) {
        let catalogue = self.catalogue();
        let settings = &self.fleet.settings;
        let own_domain = &settings.domain;
        let instances = &self.fleet.freshness.instances;
        let is_observer = |name: &EndpointName| {
            catalogue.groups.iter().any(|group| group.primary.as_ref() == Some(name))
                && homes::is_observer(instances, &settings.instance, own_domain, name)
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
                // An instance near an endpoint is some organisations' home, and keeps a connection ready.
                wanted: endpoint.wanted(now).max(u32::from(is_near(&endpoint.name))),
            })
            .collect();
        (reports, uses)
    }
}
