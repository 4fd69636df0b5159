//! The engine of an entry instance: renews the leases by heartbeats, follows the catalogue, and allocates slots at
//! endpoints.

use {
    crate::{
        decision_log::DecisionLog,
        driver::Driver,
        instances::InstanceLink,
        metrics::Metrics,
        relay::{self, PinnedSlot},
        state::State,
    },
    cumincart_core::{
        entry::{self, Input, Settings, control_group, membership},
        interactive::{
            command::Rows,
            open_transaction,
            primary_guarantee::{self, PrimaryGuarantee},
            routing::Locality,
        },
        stop_schedule::StopSchedule,
    },
    cumincart_entry::control_link::{self, ControlLinks},
    cumincart_protocol::{
        catalogue::Catalogue,
        name::{DomainName, EndpointName, InstanceName, ServiceName},
        number::Term,
        sorted::SortedVec,
        time::Instant,
    },
    cumincart_runtime::{
        clock::{self, Clock},
        link::handshake::FleetSecret,
    },
    slog::{Logger, info},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{MissedTickBehavior, interval, sleep, sleep_until, timeout_at},
    },
};

/// The interval of periodic tasks.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The core's settings.
    pub core_settings: Settings,
    /// The other failure domains of this instance's region.
    pub near_domains: SortedVec<DomainName>,
    /// The initial peer addresses of control instances, as `ip:port`.
    pub control_addresses: Vec<Arc<str>>,
    /// The fleet secret.
    pub fleet_secret: FleetSecret,
    /// The driver for connections to endpoints.
    pub driver: Driver,
    /// Whether requests that begin to run are counted for usage reports.
    pub counts_usage: bool,
    /// The times of a planned stop.
    pub stop_schedule: StopSchedule,
    /// The logger.
    pub logger: Logger,
}

/// The phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The instance is not ready, but sessions continue.
    Unready,
    /// Idle sessions are being closed.
    Closing,
    /// Nothing is taken any more, because nothing was left or the time is over.
    Leaving,
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
    /// Closed when the engine's task has ended.
    ended: watch::Receiver<()>,
    phase: watch::Sender<StopPhase>,
    schedule: StopSchedule,
    /// When a planned stop was requested.
    stop_requested_at: OnceLock<Instant>,
    sessions: watch::Sender<usize>,
    name: InstanceName,
    locality: Locality,
    fleet_secret: FleetSecret,
    control: ControlLinks,
    links: Mutex<Vec<InstanceLink>>,
    pinned_slots: Mutex<SortedVec<PinnedSlot>>,
    /// The number of connections to endpoints that have been opened.
    connections: AtomicU64,
}

/// A handle to a running engine. Its tasks end when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    pub fn spawn(options: EngineOptions) -> Self {
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let control = ControlLinks::spawn(
            &options.control_addresses,
            &options.core_settings.instance,
            &options.fleet_secret,
            input_sender,
            options.logger.clone(),
        );
        let name = options.core_settings.instance.clone();
        let (running, ended) = watch::channel(());
        let clock = Clock::start();
        let mut core = entry::Core::open(options.core_settings.clone(), clock::random());
        core.usage.is_enabled = options.counts_usage;
        let locality = Locality { domain: options.core_settings.domain.clone(), near: options.near_domains };
        let shared = Shared {
            name,
            locality,
            fleet_secret: options.fleet_secret,
            control,
            links: Mutex::default(),
            pinned_slots: Mutex::default(),
            connections: AtomicU64::default(),
            state: Mutex::new(State::new(core, clock.now())),
            clock,
            driver: options.driver,
            logger: options.logger,
            metrics: Arc::default(),
            decisions: DecisionLog::default(),
            changes: watch::Sender::new(0),
            ended,
            phase: watch::Sender::new(StopPhase::Serving),
            schedule: options.stop_schedule,
            stop_requested_at: OnceLock::new(),
            sessions: watch::Sender::new(0),
        };
        let engine = Self { shared: Arc::new(shared) };
        let task = engine.clone();
        tokio::spawn(async move {
            // Dropped on a panic too.
            let _running = running;
            task.run(inputs).await;
        });
        engine
    }

    /// Waits until the engine's task has ended. It renews the leases, so that nothing is served after it; a process that
    /// has not stopped the engine itself should exit and be started again.
    pub async fn ended(&self) {
        let mut ended = self.shared.ended.clone();
        while ended.changed().await.is_ok() {}
    }

    /// Returns the current instant.
    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Returns the engine's metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.shared.metrics
    }

    /// Returns whether a load balancer may send clients here: the lists are known, the freshness lease is valid and no
    /// stop was requested.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        let freshness = &state.core.freshness;
        let knows_databases = !freshness.catalogue.lists.interactive.databases.is_empty();
        knows_databases && freshness.is_fresh(now) && *self.shared.phase.borrow() == StopPhase::Serving
    }

    /// Returns until when a planned stop takes statements with this time limit; `None` if no stop was requested.
    fn takes_until(&self, limit: Duration) -> Option<Instant> {
        let requested_at = self.shared.stop_requested_at.get()?;
        Some(*requested_at + self.shared.schedule.takes_until(limit))
    }

    /// Returns whether a statement with this time limit, or a session for it, is refused, because a planned stop may end
    /// before the statement does.
    pub(crate) fn refuses(&self, limit: Duration) -> bool {
        let takes_until = self.takes_until(limit);
        *self.shared.phase.borrow() >= StopPhase::Leaving
            || takes_until.is_some_and(|until| until < self.now())
    }

    /// Returns whether a planned stop was requested, so that other instances should begin transactions and get tokens
    /// elsewhere.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shared.stop_requested_at.get().is_some()
    }

    /// Waits until a planned stop has no time left for what still runs. Without a stop it waits for good.
    pub(crate) async fn out_of_time(&self) {
        self.stop_reaches(self.shared.schedule.answer_by()).await;
    }

    /// Waits until a planned stop has lasted this long. Without a stop it waits for good.
    pub(crate) async fn stop_reaches(&self, span: Duration) {
        let mut phase = self.phase();
        // An error means that the engine is gone, and its sessions with it.
        let _ = phase.wait_for(|phase| *phase >= StopPhase::Unready).await;
        let Some(requested_at) = self.shared.stop_requested_at.get() else {
            return std::future::pending().await;
        };
        sleep_until(self.deadline(*requested_at + span)).await;
    }

    /// Returns the times of a planned stop.
    pub(crate) fn stop_schedule(&self) -> StopSchedule {
        self.shared.schedule
    }

    /// Returns until when a slot may stay pinned to another instance's transaction whose statements have this time limit.
    fn pinned_until(&self, slot: &PinnedSlot) -> Instant {
        self.takes_until(slot.limit).map_or(slot.until, |takes_until| takes_until.min(slot.until))
    }

    /// Ejects an instance for [`relay::EJECTION_TIME`].
    pub(crate) fn eject(&self, instance: &InstanceName) {
        let until = self.now() + relay::EJECTION_TIME;
        self.lock().eject(instance, until);
    }

    /// Returns the slots that are pinned to other instances' transactions.
    pub(crate) fn pinned_slots(&self) -> MutexGuard<'_, SortedVec<PinnedSlot>> {
        self.shared.pinned_slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rolls back the transactions on expired pinned slots, and on those for which a planned stop has no time left.
    fn roll_back_expired_pinned(&self, now: Instant) {
        let expired: Vec<PinnedSlot> = {
            let mut pinned = self.pinned_slots();
            let (expired, remaining): (Vec<_>, Vec<_>) =
                std::mem::take(&mut *pinned).into_items().partition(|slot| self.pinned_until(slot) <= now);
            *pinned = remaining.into_iter().collect();
            expired
        };
        for slot in expired {
            tokio::spawn(slot.roll_back());
        }
    }

    /// Returns a receiver of the phase of a planned stop.
    pub fn phase(&self) -> watch::Receiver<StopPhase> {
        self.shared.phase.subscribe()
    }

    /// Carries out a planned stop. Returns when all sessions, and all transactions of other instances over connections
    /// of this one, have ended, or the stop timeout has passed.
    pub async fn stop(&self) {
        info!(self.shared.logger, "planned stop: not ready any more");
        let schedule = self.shared.schedule;
        let requested_at = *self.shared.stop_requested_at.get_or_init(|| self.now());
        self.shared.phase.send_replace(StopPhase::Unready);
        sleep(schedule.unready_until()).await;
        self.shared.phase.send_replace(StopPhase::Closing);
        let end = self.deadline(requested_at + schedule.end_by());
        // On timeout the remaining sessions end with the process.
        let _ = timeout_at(end, self.all_ended()).await;
        self.shared.phase.send_replace(StopPhase::Leaving);
        // What came at the last moment is refused.
        let _ = timeout_at(end, self.all_ended()).await;
        self.leave().await;
        self.shared.phase.send_replace(StopPhase::Stopped);
        info!(self.shared.logger, "stopped"; "sessions" => *self.shared.sessions.borrow());
    }

    /// Waits until this instance has no sessions, serves no exchange of another instance and holds no connection for
    /// another instance's open transaction.
    async fn all_ended(&self) {
        let mut sessions = self.shared.sessions.subscribe();
        loop {
            // An error means that the engine is gone, and its sessions with it.
            let _ = sessions.wait_for(|count| *count == 0).await;
            let is_pinned = !self.pinned_slots().is_empty();
            // An exchange is counted before it takes its connection from the pinned ones.
            if !is_pinned && *sessions.borrow() == 0 {
                return;
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Announces the departure in a last heartbeat, which returns leases, shares and permits.
    async fn leave(&self) {
        self.lock().core.membership.leaving = true;
        sleep(2 * TICK_INTERVAL).await;
    }

    pub(crate) fn links(&self) -> MutexGuard<'_, Vec<InstanceLink>> {
        self.shared.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn name(&self) -> &InstanceName {
        &self.shared.name
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

    /// Waits for the first lease of an instance that has just started. Returns at once where no lease is expected soon.
    pub(crate) async fn await_first_lease(&self) {
        let mut changes = self.changes();
        let admitted = {
            let mut state = self.lock();
            let has_held_lease = state.core.freshness.has_held_lease();
            state.first_lease.admit(self.now(), has_held_lease)
        };
        let Some(until) = admitted else { return };
        let has_lease = |_: &u64| self.lock().core.freshness.has_held_lease();
        // On timeout the session is refused for want of a lease.
        let _ = timeout_at(self.deadline(until), changes.wait_for(has_lease)).await;
        self.lock().first_lease.leave();
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is harmless: no panic can leave the state inconsistent.
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

    /// Returns the number that log lines give to the connection that was opened last.
    pub(crate) fn next_connection_number(&self) -> u64 {
        self.shared.connections.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn count_session(&self, opened: bool) {
        self.shared.sessions.send_modify(|count| {
            *count = if opened { *count + 1 } else { count.saturating_sub(1) };
        });
    }

    /// Returns what guarantees that an endpoint is the primary of its group.
    pub(crate) fn primary_guarantee(
        &self,
        service: &ServiceName,
        endpoint: &EndpointName,
        now: Instant,
    ) -> PrimaryGuarantee {
        self.lock().primary_guarantee(service, endpoint, self.shared.driver.fences_terms, now)
    }

    /// Returns the term under which a write or commit of an endpoint may be acknowledged now.
    pub(crate) fn commit_term(&self, service: &ServiceName, endpoint: &EndpointName) -> Option<Term> {
        let fences_terms = self.shared.driver.fences_terms;
        let freshness = &self.lock().core.freshness;
        primary_guarantee::commit_term(freshness, fences_terms, service, endpoint, self.now())
    }

    /// Returns whether nothing may be sent to an endpoint, because its failure domain is out of service.
    pub(crate) fn is_out_of_service(&self, service: &ServiceName, endpoint: &EndpointName) -> bool {
        let catalogue = self.lock().catalogue();
        open_transaction::is_out_of_service(&catalogue, service, endpoint)
    }

    /// Converts an instant to the runtime's clock.
    pub(crate) fn deadline(&self, at: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_since(self.now())
    }

    async fn run(self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.on_tick(),
                input = inputs.recv() => match input {
                    Some(Input::HeartbeatAnswer(answer)) => {
                        self.on_answer(&answer);
                        self.send_heartbeat_when_due();
                    }
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }

    fn on_tick(&self) {
        let now = self.now();
        {
            let mut state = self.lock();
            state.answer_token_waiters(now);
            state.close_excess_idle(now);
        }
        self.send_heartbeat_when_due();
        self.ask_for_control_instances(now);
        self.roll_back_expired_pinned(now);
        self.refresh_points();
    }

    /// Asks another entry instance for control instances if none of those that are known answers.
    fn ask_for_control_instances(&self, now: Instant) {
        let asked = control_group::instance_to_ask(&mut self.lock().core, now);
        let Some(asked) = asked else { return };
        let link = self.link(&asked.peer_address);
        tokio::spawn(control_link::ask_instance(link, self.shared.control.clone(), self.logger().clone()));
    }

    /// Returns whether no control instance has answered for a while, so that the settings may name others by now.
    pub fn has_lost_control(&self) -> bool {
        let now = self.now();
        self.lock().core.control_group.is_lost(now)
    }

    /// Replaces the peer addresses of control instances that the settings name, as `ip:port`.
    pub fn set_control_addresses(&self, addresses: Vec<Arc<str>>) {
        self.shared.control.set_configured(addresses);
    }

    /// Returns the peer addresses of the control instances as the leader named them last.
    pub(crate) fn control_addresses(&self) -> Vec<Arc<str>> {
        self.lock().core.control_group.addresses().to_vec()
    }

    fn send_heartbeat_when_due(&self) {
        let now = self.now();
        let mut state = self.lock();
        let has_left = state.core.membership.leaving && state.core.membership.last_sent_at.is_some();
        if !state.needs_heartbeat && !has_left && !membership::is_heartbeat_due(&state.core, now) {
            return;
        }
        state.needs_heartbeat = false;
        let (reports, uses) = state.reports(now);
        state.core.usage.unix_ms = clock::unix_ms();
        let heartbeat = membership::build_heartbeat(&mut state.core, now, reports, &uses);
        self.shared.control.send(Box::new(heartbeat));
    }

    fn on_answer(&self, answer: &cumincart_protocol::heartbeat::HeartbeatAnswer) {
        let now = self.now();
        let mut state = self.lock();
        let before = state.catalogue();
        let had_held_lease = state.core.freshness.has_held_lease();
        membership::on_answer(&mut state.core, now, answer);
        let is_first_lease = !had_held_lease && state.core.freshness.has_held_lease();
        let after = state.catalogue();
        state.apply_catalogue(now);
        state.answer_token_waiters(now);
        let instances = answer.instances.is_some().then(|| state.core.freshness.instances.clone());
        if let Some(addresses) = state.core.control_group.take_changed() {
            self.shared.control.set_members(addresses);
        }
        drop(state);
        if let Some(instances) = instances {
            self.update_instance_links(&instances);
        }
        if before.revision != after.revision {
            self.log_changes(&before, &after);
        }
        if is_first_lease || before.revision != after.revision {
            self.shared.changes.send_modify(|count| *count += 1);
        }
    }

    fn log_changes(&self, before: &Catalogue, after: &Catalogue) {
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

/// Returns the rows of an answer that comes from this instance and not from an endpoint.
pub(crate) fn empty_rows() -> Rows {
    Rows { rows: Vec::new(), confirmation: "-".into() }
}
