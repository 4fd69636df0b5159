//! The engine: it holds the leases by heartbeats, follows the catalogue, and gives out places at endpoints.

use {
    crate::{
        decision_log::DecisionLog,
        driver::Driver,
        instances::InstanceLink,
        metrics::Metrics,
        relay::{self, KeptPlace},
        state::State,
        stop,
    },
    cumincart_core::{
        entry::{self, Input, Settings, membership},
        interactive::{authority::Authority, command::Rows, routing::Locality},
    },
    cumincart_entry::control_link::ControlLinks,
    cumincart_protocol::{
        catalogue::Catalogue,
        name::{DomainName, EndpointName, InstanceName, ServiceName},
        sorted::SortedVec,
        time::Instant,
    },
    cumincart_runtime::{
        clock::{self, Clock},
        link::handshake::FleetSecret,
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
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// What an engine needs.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The core's settings.
    pub core_settings: Settings,
    /// The other failure domains of this instance's region.
    pub near_domains: SortedVec<DomainName>,
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
    locality: Locality,
    fleet_secret: FleetSecret,
    links: Mutex<Vec<InstanceLink>>,
    kept: Mutex<SortedVec<KeptPlace>>,
}

/// A running engine. Its tasks end when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    pub fn spawn(options: EngineOptions) -> Self {
        let (inputs, answers) = mpsc::unbounded_channel();
        let control = ControlLinks::spawn(
            &options.control_addresses,
            &options.core_settings.instance,
            &options.fleet_secret,
            inputs,
            options.logger.clone(),
        );
        let me = options.core_settings.instance.clone();
        let locality = Locality { domain: options.core_settings.domain.clone(), near: options.near_domains };
        let shared = Shared {
            me,
            locality,
            fleet_secret: options.fleet_secret,
            links: Mutex::default(),
            kept: Mutex::default(),
            state: Mutex::new(State::new(entry::Core::open(options.core_settings, clock::random()))),
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

    pub(crate) fn links(&self) -> MutexGuard<'_, Vec<InstanceLink>> {
        self.shared.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn name(&self) -> &InstanceName {
        &self.shared.me
    }

    pub(crate) fn locality(&self) -> &Locality {
        &self.shared.locality
    }

    pub(crate) fn fleet_secret(&self) -> &FleetSecret {
        &self.shared.fleet_secret
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
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

    /// On what an endpoint may be used as the primary of its group.
    pub(crate) fn authority(
        &self,
        service: &ServiceName,
        endpoint: &EndpointName,
        now: Instant,
    ) -> Authority {
        self.lock().authority(service, endpoint, self.shared.driver.fences_terms, now)
    }

    /// An instant on the runtime's clock.
    pub(crate) fn deadline(&self, at: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_since(self.now())
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
        let has_left = state.fleet.membership.leaving && state.fleet.membership.last_sent_at.is_some();
        if !state.has_news && !has_left && !membership::is_heartbeat_due(&state.fleet, now) {
            return;
        }
        state.has_news = false;
        let (reports, uses) = state.reports(now);
        let heartbeat = membership::build_heartbeat(&mut state.fleet, now, reports, &uses);
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
}

/// The rows of an answer that this system gave itself.
pub(crate) fn own_rows() -> Rows {
    Rows { rows: Vec::new(), proof: "-".into() }
}
