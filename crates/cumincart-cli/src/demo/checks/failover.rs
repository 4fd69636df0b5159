//! Failover: a dead primary is replaced, and no acknowledged record is lost or doubled.

use {
    super::{Breakage, CheckOutcome, Scene},
    crate::demo::scene::{KEY, write_record},
    cumincart_fleet::{Caller, FleetError},
    cumincart_protocol::{refusal::RefusalCode, request::Value},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const SERVICE: &str = "pbx-organisations-2";

/// The longest time without an acknowledged write.
const GAP_LIMIT: Duration = Duration::from_secs(10);

/// How many records are written before the primary fails and after it has been replaced.
const RECORDS: usize = 30;

/// How long a record is tried for.
const GIVE_UP: Duration = Duration::from_secs(15);

const PAUSE: Duration = Duration::from_millis(10);

/// Writes call records, ends the primary in between, and counts every record on the new primary.
pub(super) async fn check(scene: &mut Scene) -> Result<CheckOutcome, FleetError> {
    let mut caller = Caller::new(Some(KEY));
    let mut acknowledged = Vec::new();
    for number in 0..RECORDS {
        acknowledged.extend(write_until_told(scene, &mut caller, number).await);
    }
    if scene.breaks(Breakage::Failover) {
        for index in 0..scene.fleet.controls.len() {
            scene.fleet.kill_control(index).await;
        }
    }
    let group = scene.fleet.group(SERVICE);
    if let Some(primary) = group.primary() {
        primary.crash();
    }
    let failed_at = Instant::now();
    let first = write_until_told(scene, &mut caller, RECORDS).await;
    let gap = failed_at.elapsed();
    let is_replaced = first.is_some();
    acknowledged.extend(first);
    for number in RECORDS + 1..2 * RECORDS {
        if !is_replaced {
            break;
        }
        acknowledged.extend(write_until_told(scene, &mut caller, number).await);
    }
    let stored = stored_records(scene)?;
    let lost = acknowledged.iter().filter(|id| !stored.contains(id)).count();
    let doubled = stored.iter().enumerate().filter(|(index, id)| stored[..*index].contains(id)).count();
    Ok(CheckOutcome {
        promise: "a dead primary is replaced",
        figure: format!(
            "{} ms until the next acknowledged write (limit {} ms); of {} acknowledged records {lost} lost, \
             {doubled} doubled",
            gap.as_millis(),
            GAP_LIMIT.as_millis(),
            acknowledged.len()
        ),
        holds: gap < GAP_LIMIT && lost == 0 && doubled == 0 && acknowledged.len() == 2 * RECORDS,
    })
}

/// Sends a record, again under the same id, until it is acknowledged or told to have run before.
async fn write_until_told(scene: &Scene, caller: &mut Caller, number: usize) -> Option<Value> {
    let id = format!("call-{number}");
    let begun = Instant::now();
    let mut attempt = number;
    while begun.elapsed() < GIVE_UP {
        let answered = write_record(caller, &scene.url(attempt), SERVICE, &id).await;
        let has_run = answered.refusal().is_some_and(|refusal| refusal.code == RefusalCode::AlreadyRun);
        if answered.rows().is_some() || has_run {
            return Some(Value::Text(id.into()));
        }
        attempt += 1;
        sleep(PAUSE).await;
    }
    None
}

/// The ids of all records on the present primary.
fn stored_records(scene: &Scene) -> Result<Vec<Value>, FleetError> {
    let group = scene.fleet.group(SERVICE);
    let Some(primary) = group.primary() else { return Ok(Vec::new()) };
    Ok(group.query_first_column(primary.endpoint(), "select call_id from call_records")?)
}
