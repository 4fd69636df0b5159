//! The engine: it holds the leases by heartbeats, follows the catalogue, and gives out places at endpoints.

use {
    crate::{
        decision_log::DecisionLog,
        driver::Driver,
        metrics::Metrics,
        place::Place,
        relay::{self, KeptPlace, Relay},
        state::State,
        stop,
    },
    cumincart_core::{
        entry::{self, Input, Settings, Ticket, membership, quota, quota::QuotaDecision},
        interactive::{
            admission::{Admission, Arrival},
            command::{Command, Rows},
            positions::LogPoint,
            routing::{self, Load, Target},
            session::SessionState,
        },
    },
    cumincart_entry::control_link::ControlLinks,
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry},
        heartbeat::InstanceEntry,
        lists::Database,
        name::{EndpointName, InstanceName, OrganisationName, ServiceName},
        sorted::SortedVec,
        time::Instant,
    },
    cumincart_runtime::{
        clock::{self, Clock},
        link::{client::PeerLink, handshake::FleetSecret},
    },
    slog::{Logger, info},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{MissedTickBehavior, interval, sleep, timeout_at},
    },
};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// The age at which the newest point of a primary is refreshed while reads need one, in milliseconds: well under the
/// ages that reads usually accept.
const POINT_REFRESH_MS: u64 = 500;

/// How long after a read needed a point it is kept fresh, in milliseconds.
const POINT_NEEDED_MS: u64 = 3_000;

/// How long a refresh may take.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);

/// What an engine needs.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The core's settings.
    pub core: Settings,
    /// Peer addresses of control instances to begin with, as `ip:port`.
    pub control_addresses: Vec<Arc<str>>,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// How endpoints are spoken to.
    pub driver: Driver,
    /// Where log lines go.
    pub logger: Logger,
}

/// How far a planned stop has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// None was asked for.
    Serving,
    /// Not ready, but sessions go on.
    Unready,
    /// Sessions at rest are closed.
    Closing,
    /// Transactions are ended too.
    Ending,
    /// The process may end.
    Stopped,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    clock: Clock,
    driver: Driver,
    logger: Logger,
    metrics: Arc<Metrics>,
    decisions: DecisionLog,
    changes: watch::Sender<u64>,
    phase: watch::Sender<StopPhase>,
    sessions: watch::Sender<usize>,
    me: InstanceName,
    fleet_secret: FleetSecret,
    links: Mutex<Vec<InstanceLink>>,
    kept: Mutex<SortedVec<KeptPlace>>,
}

/// A link to another entry instance.
#[derive(Debug)]
struct InstanceLink {
    address: Arc<str>,
    link: PeerLink,
}

/// A running engine. Its tasks end when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

/// Why no place was given; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No endpoint may serve the statement now.
    NoEndpoint,
    /// All that may serve it are too busy to start it in time.
    Busy {
        /// When a place is likely, in milliseconds.
        retry_after_ms: u64,
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
    /// Starts an engine.
    pub fn spawn(options: EngineOptions) -> Self {
        let (inputs, answers) = mpsc::unbounded_channel();
        let control = ControlLinks::spawn(
            &options.control_addresses,
            &options.core.instance,
            &options.fleet_secret,
            inputs,
            options.logger.clone(),
        );
        let me = options.core.instance.clone();
        let shared = Shared {
            me,
            fleet_secret: options.fleet_secret,
            links: Mutex::default(),
            kept: Mutex::default(),
            state: Mutex::new(State::new(entry::Board::open(options.core, clock::random()))),
            clock: Clock::start(),
            driver: options.driver,
            logger: options.logger,
            metrics: Arc::default(),
            decisions: DecisionLog::default(),
            changes: watch::Sender::new(0),
            phase: watch::Sender::new(StopPhase::Serving),
            sessions: watch::Sender::new(0),
        };
        let engine = Self { shared: Arc::new(shared) };
        tokio::spawn(engine.clone().run(control, answers));
        engine
    }

    /// The present instant.
    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// The engine's metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.shared.metrics
    }

    /// Whether a balancer may send clients here: the lists are known, the leases run and no stop was asked for.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        let freshness = &state.fleet.freshness;
        let knows_databases = !freshness.catalogue.lists.interactive.databases.is_empty();
        knows_databases && freshness.is_fresh(now) && *self.shared.phase.borrow() == StopPhase::Serving
    }

    /// Whether a planned stop has got so far that new sessions could not be served to their end.
    pub(crate) fn refuses_sessions(&self) -> bool {
        *self.shared.phase.borrow() >= StopPhase::Closing
    }

    /// Whether other instances should pass their exchanges elsewhere.
    pub(crate) fn refuses_relays(&self) -> bool {
        *self.shared.phase.borrow() >= StopPhase::Unready
    }

    /// The link to another entry instance; opened where there is none.
    pub(crate) fn link(&self, address: &Arc<str>) -> PeerLink {
        let mut links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        match links.binary_search_by(|known| known.address.cmp(address)) {
            Ok(place) => links[place].link.clone(),
            Err(place) => {
                let secret = self.shared.fleet_secret.clone();
                let link = PeerLink::spawn(address.clone(), self.shared.me.clone(), secret);
                links.insert(place, InstanceLink { address: address.clone(), link: link.clone() });
                link
            }
        }
    }

    /// Opens links to the instances that hold leases, and closes those to others.
    fn follow_instances(&self, instances: &SortedVec<InstanceEntry>) {
        {
            let mut links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
            let is_listed =
                |link: &InstanceLink| instances.iter().any(|instance| instance.peer_address == link.address);
            links.retain(is_listed);
        }
        for instance in instances.iter().filter(|instance| instance.name != self.shared.me) {
            self.link(&instance.peer_address);
        }
    }

    /// Passes an instance over for a while.
    pub(crate) fn avoid(&self, instance: &InstanceName) {
        let until = self.now() + relay::AVOID;
        self.lock().avoid(instance, until);
    }

    /// The places that are kept for other instances' transactions.
    pub(crate) fn kept(&self) -> MutexGuard<'_, SortedVec<KeptPlace>> {
        self.shared.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rolls back what other instances have left, and all at the end of a planned stop.
    fn abandon_kept(&self, now: Instant) {
        let is_over = *self.shared.phase.borrow() >= StopPhase::Ending;
        let expired: Vec<KeptPlace> = {
            let mut kept = self.kept();
            let (expired, rest): (Vec<_>, Vec<_>) =
                std::mem::take(&mut *kept).into_items().partition(|place| is_over || place.until <= now);
            *kept = rest.into_iter().collect();
            expired
        };
        for place in expired {
            tokio::spawn(place.abandon());
        }
    }

    /// Whether a planned stop has got so far that a new operation could be cut.
    pub(crate) fn refuses_operations(&self) -> bool {
        *self.shared.phase.borrow() >= StopPhase::Ending
    }

    /// How far a planned stop has got.
    pub fn phase(&self) -> watch::Receiver<StopPhase> {
        self.shared.phase.subscribe()
    }

    /// Carries out a planned stop: it returns when all sessions have ended or their time is up.
    pub async fn stop(&self) {
        info!(self.shared.logger, "planned stop: not ready any more");
        let started = tokio::time::Instant::now();
        self.shared.phase.send_replace(StopPhase::Unready);
        sleep(stop::UNREADY).await;
        self.shared.phase.send_replace(StopPhase::Closing);
        let mut sessions = self.shared.sessions.subscribe();
        let all_ended = async move {
            // An error says that the engine is gone, and its sessions with it.
            let _ = sessions.wait_for(|count| *count == 0).await;
        };
        tokio::pin!(all_ended);
        if timeout_at(started + stop::TRANSACTIONS, &mut all_ended).await.is_err() {
            self.shared.phase.send_replace(StopPhase::Ending);
            // The time is up: what is left ends with the process.
            let _ = timeout_at(started + stop::LONGEST, all_ended).await;
        }
        self.leave().await;
        self.shared.phase.send_replace(StopPhase::Stopped);
        info!(self.shared.logger, "stopped"; "sessions" => *self.shared.sessions.borrow());
    }

    /// Gives leases, shares and permits back.
    async fn leave(&self) {
        self.lock().fleet.membership.leaving = true;
        sleep(2 * TICK).await;
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent between any two statements that could panic.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn driver(&self) -> &Driver {
        &self.shared.driver
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.shared.logger
    }

    pub(crate) fn decisions(&self) -> &DecisionLog {
        &self.shared.decisions
    }

    pub(crate) fn count_session(&self, opened: bool) {
        self.shared.sessions.send_modify(|count| {
            *count = if opened { *count + 1 } else { count.saturating_sub(1) };
        });
    }

    /// Whether an endpoint is the primary of a term on which this instance holds a lease.
    pub(crate) fn holds_primary(&self, service: &ServiceName, endpoint: &EndpointName, now: Instant) -> bool {
        let state = self.lock();
        let freshness = &state.fleet.freshness;
        let group = freshness.catalogue.group(service);
        freshness.holds_term_lease(now)
            && group.is_some_and(|group| group.writable && group.primary.as_ref() == Some(endpoint))
    }

    /// Takes a token of the organisation's rate, or tells that none comes in time.
    pub(crate) async fn take_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> bool {
        let (ticket, answered) = {
            let mut state = self.lock();
            let now = self.now();
            let (ticket, answered) = state.ticket();
            let quota = &mut state.fleet.quota;
            match quota::take_with_priority(quota, now, organisation, Ticket(ticket), start_by, priority) {
                QuotaDecision::Waiting => (ticket, answered),
                decision => {
                    state.drop_ticket(ticket);
                    return decision == QuotaDecision::Admitted;
                }
            }
        };
        match timeout_at(self.deadline(start_by), answered).await {
            Ok(Ok(granted)) => granted,
            _ => {
                let mut state = self.lock();
                state.drop_ticket(ticket);
                quota::cancel(&mut state.fleet.quota, Ticket(ticket));
                false
            }
        }
    }

    /// An instant on the runtime's clock.
    pub(crate) fn deadline(&self, at: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_since(self.now())
    }

    /// Gets a place at an endpoint that may serve the request. Where none may now, it waits for a change of the
    /// catalogue as long as the request can still start in time.
    pub(crate) async fn place(&self, request: &PlaceRequest<'_>) -> Result<Place, NoPlace> {
        let mut changes = self.shared.changes.subscribe();
        loop {
            match self.ask_place(request) {
                Asked::Place(place) => return Ok(place),
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

    fn ask_place(&self, request: &PlaceRequest<'_>) -> Asked {
        let now = self.now();
        let mut state = self.lock();
        let catalogue = state.catalogue();
        let service = &request.database.service;
        let Some(group) = catalogue.group(service) else { return Asked::NoEndpoint };
        if request.target == Target::Primary && !state.fleet.freshness.holds_term_lease(now) {
            return Asked::NoEndpoint;
        }
        let domain = state.fleet.settings.domain.clone();
        let load = |entry: &EndpointEntry| {
            state.endpoints.get(&entry.name).map_or_else(Load::default, |known| known.load())
        };
        let candidates =
            routing::candidates(&catalogue, group, request.target, domain.as_str(), now, request.tried, load);
        let Some(best) = candidates.first() else { return Asked::NoEndpoint };
        let is_up = |home: &InstanceEntry| self.link(&home.peer_address).is_up();
        let homes_of = |entry: &EndpointEntry| state.homes(now, entry, request.organisation, is_up);
        let has_place = |entry: &EndpointEntry| {
            let known = state.endpoints.get(&entry.name);
            known.is_some_and(|known| known.gate.has_place()) || !homes_of(entry).is_empty()
        };
        let chosen = candidates.iter().find(|entry| has_place(entry)).unwrap_or(best);
        let is_primary = group.writable
            && group.primary.as_ref() == Some(&chosen.name)
            && state.fleet.freshness.holds_term_lease(now);
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
            return Asked::Place(place.by(relay));
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
                Asked::Place(Place::new(self.clone(), service, entry.name.clone(), address, is_primary))
            }
            Admission::Refused { retry_after_ms } => Asked::Refused(NoPlace::Busy { retry_after_ms }),
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
            let is_primary = group.is_some_and(|group| {
                group.writable
                    && group.primary.as_ref() == Some(at.endpoint)
                    && state.fleet.freshness.holds_term_lease(now)
            });
            self.ask_gate(state, now, at, entry, is_primary)
        };
        match asked {
            Asked::Place(place) => Ok(place),
            Asked::Refused(refusal) => Err(refusal),
            Asked::NoEndpoint => Err(NoPlace::NoEndpoint),
            Asked::Waits { place, ticket, answered } => {
                self.await_place(at, false, place, ticket, answered).await
            }
        }
    }

    async fn await_place(
        &self,
        at: &PlaceAt<'_>,
        needs_primary: bool,
        waiting: Waiting,
        ticket: u64,
        answered: tokio::sync::oneshot::Receiver<bool>,
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
        let is_primary = waiting.is_primary && self.holds_primary(&service, &waiting.endpoint, self.now());
        let place = Place::new(self.clone(), service, waiting.endpoint, waiting.address, is_primary);
        if needs_primary && !place.is_primary {
            return Err(NoPlace::NoEndpoint);
        }
        Ok(place)
    }

    async fn run(self, control: ControlLinks, mut answers: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.on_tick(&control),
                answer = answers.recv() => match answer {
                    Some(Input::HeartbeatAnswer(answer)) => {
                        self.on_answer(&answer);
                        self.send_heartbeat_when_due(&control);
                    }
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }

    fn on_tick(&self, control: &ControlLinks) {
        let now = self.now();
        {
            let mut state = self.lock();
            state.release_tokens(now);
            state.close_surplus(now);
        }
        self.send_heartbeat_when_due(control);
        self.abandon_kept(now);
        self.refresh_points();
    }

    fn send_heartbeat_when_due(&self, control: &ControlLinks) {
        let now = self.now();
        let mut state = self.lock();
        let has_left = state.fleet.membership.leaving && state.fleet.membership.last_asked_at.is_some();
        if !state.has_news && !has_left && !membership::due(&state.fleet, now) {
            return;
        }
        state.has_news = false;
        let (reports, uses) = state.reports(now);
        let heartbeat = membership::heartbeat(&mut state.fleet, now, reports, &uses);
        control.send(Box::new(heartbeat));
    }

    fn on_answer(&self, answer: &cumincart_protocol::heartbeat::HeartbeatAnswer) {
        let now = self.now();
        let mut state = self.lock();
        let before = state.catalogue();
        membership::on_answer(&mut state.fleet, now, answer);
        let after = state.catalogue();
        state.follow_catalogue(now);
        state.release_tokens(now);
        let instances = answer.instances.is_some().then(|| state.fleet.freshness.instances.clone());
        drop(state);
        if let Some(instances) = instances {
            self.follow_instances(&instances);
        }
        if before.revision != after.revision {
            self.note_changes(&before, &after);
            self.shared.changes.send_modify(|count| *count += 1);
        }
    }

    fn note_changes(&self, before: &Catalogue, after: &Catalogue) {
        let revision = after.revision.0;
        if before.lists_revision != after.lists_revision {
            info!(self.shared.logger, "lists in force"; "lists" => after.lists_revision.0, "revision" => revision);
        }
        if before.domains_out != after.domains_out {
            let out: Vec<&str> = after.domains_out.iter().map(|domain| domain.as_str()).collect();
            info!(self.shared.logger, "failure domains out of service"; "out" => out.join(","), "revision" => revision);
        }
        for group in &after.groups {
            let old = before.group(&group.service);
            if old.is_some_and(|old| (old.term, old.writable) == (group.term, group.writable)) {
                continue;
            }
            info!(self.shared.logger, "term";
                "service" => group.service.as_str(), "term" => group.term.0, "writable" => group.writable,
                "primary" => group.primary.as_ref().map(|primary| primary.as_str().to_owned()),
                "revision" => revision);
        }
    }

    /// Asks primaries for their points where reads need one and none has come with other answers.
    fn refresh_points(&self) {
        let now = self.now();
        let catalogue = self.lock().catalogue();
        for database in &catalogue.lists.interactive.databases {
            if routing::accepted_age(database.consistency).is_none() {
                continue;
            }
            let mut state = self.lock();
            let known = state.positions(&database.service);
            let is_needed = now.saturating_since(known.needed_at) < Duration::from_millis(POINT_NEEDED_MS);
            let is_old = known
                .positions
                .last_asked_at()
                .is_none_or(|at| now.saturating_since(at) >= Duration::from_millis(POINT_REFRESH_MS));
            if !is_needed || !is_old || known.is_asking {
                continue;
            }
            known.is_asking = true;
            drop(state);
            tokio::spawn(self.clone().refresh_point(database.clone()));
        }
    }

    async fn refresh_point(self, database: Database) {
        let now = self.now();
        if let Some(organisation) = self.any_organisation() {
            let request = PlaceRequest {
                database: &database,
                organisation: &organisation,
                target: Target::Primary,
                tried: &[],
                arrived_at: now,
                start_by: now + REFRESH_TIMEOUT,
            };
            let deadline = tokio::time::Instant::now() + REFRESH_TIMEOUT;
            if let Ok(mut place) = self.place(&request).await
                && place.connect(&organisation, &SessionState::default(), deadline).await.is_ok()
            {
                // Its point is learned with the reply; a failure is noted with the endpoint's contact.
                let _ = place.exchange(vec![Command::Status], deadline).await;
            }
        }
        self.lock().positions(&database.service).is_asking = false;
    }

    fn any_organisation(&self) -> Option<OrganisationName> {
        let catalogue = self.lock().catalogue();
        catalogue.lists.organisations.organisations.first().map(|organisation| organisation.name.clone())
    }

    /// The point that a read of this moment needs, where replicas may serve it.
    pub(crate) fn needed_point(
        &self,
        database: &Database,
        arrived_at: Instant,
        committed: Option<LogPoint>,
    ) -> Option<LogPoint> {
        let age = routing::accepted_age(database.consistency)?;
        let mut state = self.lock();
        let catalogue = state.catalogue();
        let group = catalogue.group(&database.service)?;
        let known = state.positions(&database.service);
        known.needed_at = arrived_at;
        let point = known.positions.covering(arrived_at - age)?;
        let committed = committed.map(|committed| committed.without_lost(&group.term_starts));
        Some(committed.map_or(point, |committed| committed.max(point)))
    }
}

enum Asked {
    Place(Place),
    Waits { place: Waiting, ticket: u64, answered: tokio::sync::oneshot::Receiver<bool> },
    Refused(NoPlace),
    NoEndpoint,
}

struct Waiting {
    endpoint: EndpointName,
    address: Arc<str>,
    is_primary: bool,
}

/// The rows of an answer that this system gave itself.
pub(crate) fn own_rows() -> Rows {
    Rows { rows: Vec::new(), proof: "-".into() }
}
