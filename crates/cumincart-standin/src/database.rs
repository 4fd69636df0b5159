//! The handle of one database: its state, its injected faults and the recording of what it received and executed.

use {
    crate::{
        engine::Engine,
        error::SqlError,
        recording::{ExecutedStatement, ReceivedBytes},
        settings::{DatabaseSettings, GroupSettings},
    },
    cumincart_protocol::{
        announcement::{Announcement, Role},
        name::EndpointName,
        number::{LogPosition, Timeline},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::{Semaphore, watch},
};

/// The state of a database as the database itself reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatabaseState {
    /// The role.
    pub role: Role,
    /// The current timeline.
    pub timeline: Timeline,
    /// The log position at which that timeline began.
    pub timeline_start: LogPosition,
    /// The end of the last log record that was written or applied.
    pub position: LogPosition,
    /// For a replica: the time since it last had applied its primary's whole log; 0 for a primary.
    pub lag_ms: u64,
}

/// A database of a running group. Clones refer to the same database, which stops when its group is dropped.
#[derive(Debug, Clone)]
pub struct Database {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: DatabaseSettings,
    group: GroupSettings,
    address: SocketAddr,
    engine: Mutex<Engine>,
    write_lock: Arc<tokio::sync::Mutex<()>>,
    slots: Semaphore,
    connections: AtomicU32,
    faults: watch::Sender<Faults>,
    lag_micros: AtomicU64,
    leaving: AtomicBool,
    received: ReceivedBytes,
    announcements: AtomicU64,
}

/// The faults that are currently injected into a database.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Faults {
    pub frozen: bool,
    pub refuses_clients: bool,
    pub crashed: bool,
    pub announcements_stopped: bool,
    /// Incremented whenever all client connections are closed; a connection ends when this differs from its value at
    /// the accept.
    pub epoch: u64,
}

impl Database {
    pub(crate) fn new(
        settings: DatabaseSettings,
        group: GroupSettings,
        address: SocketAddr,
        role: Role,
    ) -> Result<Self, SqlError> {
        let shared = Shared {
            engine: Mutex::new(Engine::open(role, group.recording)?),
            write_lock: Arc::new(tokio::sync::Mutex::new(())),
            slots: Semaphore::new(group.slots as usize),
            connections: AtomicU32::new(0),
            faults: watch::Sender::new(Faults::default()),
            lag_micros: AtomicU64::new(micros(group.lag)),
            leaving: AtomicBool::new(false),
            received: ReceivedBytes::default(),
            announcements: AtomicU64::new(0),
            settings,
            group,
            address,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Returns the database's name.
    pub fn endpoint(&self) -> &EndpointName {
        &self.shared.settings.endpoint
    }

    /// Returns the listening address as `ip:port`.
    pub fn address(&self) -> Arc<str> {
        self.shared.address.to_string().into()
    }

    /// Returns the database's state, also while it is frozen.
    pub fn state(&self) -> DatabaseState {
        state_of(&self.engine())
    }

    /// Stops all execution, replication and announcements and keeps the connections open. No statement runs after this
    /// returns.
    pub fn freeze(&self) {
        self.engine().frozen = true;
        self.shared.faults.send_modify(|faults| faults.frozen = true);
    }

    /// Resumes from where [`Self::freeze`] stopped.
    pub fn thaw(&self) {
        self.engine().frozen = false;
        self.shared.faults.send_modify(|faults| faults.frozen = false);
    }

    /// Closes all client connections and refuses new ones; replication and announcements continue.
    pub fn refuse_clients(&self) {
        self.shared.faults.send_modify(|faults| {
            faults.refuses_clients = true;
            faults.epoch += 1;
        });
    }

    /// Accepts client connections again after [`Self::refuse_clients`].
    pub fn accept_clients(&self) {
        self.shared.faults.send_modify(|faults| faults.refuses_clients = false);
    }

    /// Simulates a crash of the process: open transactions are lost, committed data stays. No statement runs after this
    /// returns.
    pub fn crash(&self) {
        self.engine().frozen = true;
        self.shared.faults.send_modify(|faults| {
            faults.crashed = true;
            faults.epoch += 1;
        });
    }

    /// Restarts the database after [`Self::crash`], in the role that it had.
    pub fn restart(&self) {
        self.engine().frozen = self.shared.faults.borrow().frozen;
        self.shared.faults.send_modify(|faults| faults.crashed = false);
    }

    /// Closes all client connections; new ones are accepted at once.
    pub fn drop_connections(&self) {
        self.shared.faults.send_modify(|faults| faults.epoch += 1);
    }

    /// Sets the replication lag behind the primary.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lag_micros.store(micros(lag), Ordering::Relaxed);
    }

    /// Resumes or stops the announcements.
    pub fn set_announcing(&self, announcing: bool) {
        self.shared.faults.send_modify(|faults| faults.announcements_stopped = !announcing);
    }

    /// Announces from now on that the database is leaving and takes no new commands.
    pub fn announce_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the statements that were executed, in order of execution; empty unless recording is on.
    pub fn executed_statements(&self) -> Vec<ExecutedStatement> {
        self.engine().executed.clone()
    }

    /// Returns the bytes that were received from clients; empty unless recording is on.
    pub fn received(&self) -> &ReceivedBytes {
        &self.shared.received
    }

    /// Returns the number of open client connections.
    pub fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of announcements that got a response from a control instance.
    pub fn announcements(&self) -> u64 {
        self.shared.announcements.load(Ordering::Relaxed)
    }

    /// Returns the announcement as it would be sent now.
    pub fn announcement(&self) -> Announcement {
        let state = self.state();
        Announcement {
            endpoint: self.shared.settings.endpoint.clone(),
            service: self.shared.group.service.clone(),
            address: self.address(),
            domain: self.shared.settings.domain.clone(),
            role: state.role,
            timeline: state.timeline,
            position: state.position,
            lag_ms: state.lag_ms,
            slots: self.shared.group.slots,
            connection_limit: self.shared.group.connection_limit,
            leaving: self.shared.leaving.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn group(&self) -> &GroupSettings {
        &self.shared.group
    }

    pub(crate) fn lag(&self) -> Duration {
        Duration::from_micros(self.shared.lag_micros.load(Ordering::Relaxed))
    }

    pub(crate) fn faults(&self) -> watch::Receiver<Faults> {
        self.shared.faults.subscribe()
    }

    pub(crate) fn slots(&self) -> &Semaphore {
        &self.shared.slots
    }

    pub(crate) fn write_lock(&self) -> Arc<tokio::sync::Mutex<()>> {
        Arc::clone(&self.shared.write_lock)
    }

    pub(crate) fn count_announcement(&self) {
        self.shared.announcements.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection until the returned guard is dropped. Returns `None` when the connection limit is reached.
    pub(crate) fn count_connection(&self) -> Option<CountedConnection> {
        let limit = self.shared.group.connection_limit;
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.shared.connections.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(CountedConnection { database: self.clone() })
    }

    /// Calls `action` with the engine as soon as the database is neither frozen nor crashed.
    pub(crate) async fn with_engine<R>(&self, action: impl FnOnce(&mut Engine) -> R) -> R {
        loop {
            self.wait_until_running().await;
            let mut engine = self.engine();
            if !engine.frozen {
                return action(&mut engine);
            }
        }
    }

    /// Calls `action` with the engine, or returns `None` if the database is frozen or crashed.
    pub(crate) fn try_with_engine<R>(&self, action: impl FnOnce(&mut Engine) -> R) -> Option<R> {
        let mut engine = self.engine();
        if engine.frozen { None } else { Some(action(&mut engine)) }
    }

    /// Waits until the database is neither frozen nor crashed.
    pub(crate) async fn wait_until_running(&self) {
        let mut faults = self.faults();
        let running = faults.wait_for(|faults| !faults.frozen && !faults.crashed);
        running.await.expect("the sender is owned by this handle");
    }

    pub(crate) fn engine(&self) -> std::sync::MutexGuard<'_, Engine> {
        self.shared.engine.lock().expect("nothing panics under this lock")
    }
}

/// A connection that counts towards the database's connection limit until it is dropped.
#[derive(Debug)]
pub(crate) struct CountedConnection {
    database: Database,
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.database.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(crate) fn state_of(engine: &Engine) -> DatabaseState {
    let lag_ms = match engine.role {
        Role::Primary => 0,
        Role::Replica => Instant::now().saturating_duration_since(engine.caught_up_at).as_millis() as u64,
    };
    DatabaseState {
        role: engine.role,
        timeline: engine.timeline,
        timeline_start: engine.timeline_start,
        position: engine.position,
        lag_ms,
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
