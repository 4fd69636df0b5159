//! Replication: replicas apply the log of their primary.

use {
    crate::{
        database::Database,
        engine::{Engine, LogRecord},
        error::SqlError,
    },
    cumincart_protocol::announcement::Role,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Interval at which a replica reads the primary's log.
const APPLY_INTERVAL: Duration = Duration::from_millis(5);

/// The database whose log a replica applies; none for the database that started as the primary.
pub type Upstream = Arc<Mutex<Option<Database>>>;

/// Applies the upstream's log with the configured lag until the group is dropped.
///
/// A replica switches to a primary of the group with a later timeline on its own, as the platform would make it do. A
/// former primary does not, since it still considers itself the primary.
pub async fn follow(
    database: Database,
    upstream: Upstream,
    group: Arc<[Database]>,
    mut closed: watch::Receiver<()>,
) {
    let mut interval = tokio::time::interval(APPLY_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            _ = interval.tick() => {}
        }
        let Some(source) = choose_upstream(&upstream, &group) else { continue };
        match catch_up(&database, &source) {
            // `None`: the database or its upstream is frozen or crashed, so nothing is applied.
            None | Some(Ok(())) => {}
            Some(Err(error)) => {
                panic!("a replica failed to apply a committed log record of its primary: {error:?}")
            }
        }
    }
}

fn choose_upstream(upstream: &Upstream, group: &[Database]) -> Option<Database> {
    let mut upstream = upstream.lock().expect("nothing panics under this lock");
    let current = upstream.as_ref()?.state().timeline;
    let primaries = group.iter().filter(|database| database.state().role == Role::Primary);
    let latest = primaries.max_by_key(|database| database.state().timeline);
    if let Some(latest) = latest.filter(|database| database.state().timeline > current) {
        *upstream = Some(latest.clone());
    }
    upstream.clone()
}

/// Applies the log records that the upstream committed at least the lag ago.
///
/// Returns `None` without a change if either database is frozen or crashed, or if the lag reaches back before the
/// start of the clock.
pub fn catch_up(database: &Database, upstream: &Database) -> Option<Result<(), SqlError>> {
    let now = Instant::now();
    let due = now.checked_sub(database.lag())?;
    let last_applied = database.try_with_engine(|engine| engine.log.last().cloned())?;
    let records = upstream.try_with_engine(|engine| records_after(engine, last_applied.as_ref(), due))?;
    database.try_with_engine(|engine| {
        if engine.role == Role::Primary {
            return Ok(());
        }
        let (records, diverged) = records;
        if diverged {
            engine.reset()?;
        }
        for record in records {
            engine.apply(record)?;
        }
        engine.caught_up_at = due.max(engine.caught_up_at);
        Ok(())
    })
}

/// Returns the log records after `last_applied` that are due, and whether the log has diverged.
///
/// If the log does not contain `last_applied`, it has diverged, and all due records are returned.
fn records_after(
    engine: &Engine,
    last_applied: Option<&Arc<LogRecord>>,
    due: Instant,
) -> (Vec<Arc<LogRecord>>, bool) {
    let log = &engine.log;
    let is_due = |record: &&Arc<LogRecord>| record.committed_at <= due;
    let Some(last_applied) = last_applied else {
        return (log.iter().take_while(is_due).cloned().collect(), false);
    };
    let index = log.partition_point(|record| record.position < last_applied.position);
    match log.get(index) {
        Some(record) if Arc::ptr_eq(record, last_applied) => {
            (log[index + 1..].iter().take_while(is_due).cloned().collect(), false)
        }
        _ => (log.iter().take_while(is_due).cloned().collect(), true),
    }
}
