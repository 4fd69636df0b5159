//! Replicas following a primary's log.

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

/// Time between two looks at the primary's log.
const APPLY_INTERVAL: Duration = Duration::from_millis(5);

/// The database whose log a database follows while it is a replica.
pub type Upstream = Arc<Mutex<Option<Database>>>;

/// Applies the upstream's log with the set lag until the group closes.
///
/// A replica turns to a primary of the group with a later timeline by itself, as the platform would have it; a former
/// primary does not, since it takes itself for the primary.
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
            // Stopped on either side: nothing is sent or applied.
            None | Some(Ok(())) => {}
            Some(Err(error)) => panic!("a replica can't apply what its primary committed: {error:?}"),
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

/// Applies what the upstream committed longer ago than the lag; nothing happens while either of them is stopped.
pub fn catch_up(database: &Database, upstream: &Database) -> Option<Result<(), SqlError>> {
    let now = Instant::now();
    let due = now.checked_sub(database.lag())?;
    let held = database.try_with_engine(|engine| engine.log.last().cloned())?;
    let records = upstream.try_with_engine(|engine| records_after(engine, held.as_ref(), due))?;
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

/// The records behind `held` that are due; all of them, and true, when the log does not continue `held`.
fn records_after(
    engine: &Engine,
    held: Option<&Arc<LogRecord>>,
    due: Instant,
) -> (Vec<Arc<LogRecord>>, bool) {
    let log = &engine.log;
    let is_due = |record: &&Arc<LogRecord>| record.committed_at <= due;
    let Some(held) = held else {
        return (log.iter().take_while(is_due).cloned().collect(), false);
    };
    let index = log.partition_point(|record| record.position < held.position);
    match log.get(index) {
        Some(record) if Arc::ptr_eq(record, held) => {
            (log[index + 1..].iter().take_while(is_due).cloned().collect(), false)
        }
        _ => (log.iter().take_while(is_due).cloned().collect(), true),
    }
}
