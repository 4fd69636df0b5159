//! The failover check: a crashed primary is replaced, and no acknowledged record is lost or duplicated.

use {
    super::{CheckContext, CheckOutcome, InjectedFault},
    crate::demo::context::{KEY, write_record},
    cumincart_fleet::{FleetError, HttpClient},
    cumincart_protocol::{refusal::RefusalCode, request::Value},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const SERVICE: &str = "pbx-organisations-2";

/// The maximum time from the crash of the primary to the next acknowledged write.
const GAP_LIMIT: Duration = Duration::from_secs(10);

/// The number of records that are written before the primary crashes, and again afterwards.
const RECORDS: usize = 30;

/// How long a write of one record is retried.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Writes call records, crashes the primary halfway, and compares the acknowledged records with those on the new
/// primary.
pub(super) async fn check(context: &mut CheckContext) -> Result<CheckOutcome, FleetError> {
    let mut client = HttpClient::new(Some(KEY));
    let mut acknowledged = Vec::new();
    for number in 0..RECORDS {
        acknowledged.extend(write_until_confirmed(context, &mut client, number).await);
    }
    if context.injects(InjectedFault::Failover) {
        for index in 0..context.fleet.controls.len() {
            context.fleet.kill_control(index).await;
        }
    }
    let group = context.fleet.group(SERVICE);
    if let Some(primary) = group.primary() {
        primary.crash();
    }
    let failed_at = Instant::now();
    let first = write_until_confirmed(context, &mut client, RECORDS).await;
    let gap = failed_at.elapsed();
    let is_replaced = first.is_some();
    acknowledged.extend(first);
    for number in RECORDS + 1..2 * RECORDS {
        if !is_replaced {
            break;
        }
        acknowledged.extend(write_until_confirmed(context, &mut client, number).await);
    }
    let stored = stored_records(context)?;
    let lost = acknowledged.iter().filter(|id| !stored.contains(id)).count();
    let duplicated = stored.iter().enumerate().filter(|(index, id)| stored[..*index].contains(id)).count();
    Ok(CheckOutcome {
        promise: "a dead primary is replaced",
        figure: format!(
            "{} ms until the next acknowledged write (limit {} ms); of {} acknowledged records {lost} lost, \
             {duplicated} duplicated",
            gap.as_millis(),
            GAP_LIMIT.as_millis(),
            acknowledged.len()
        ),
        holds: gap < GAP_LIMIT && lost == 0 && duplicated == 0 && acknowledged.len() == 2 * RECORDS,
    })
}

/// Writes a record and retries it under the same id until it is acknowledged or refused as already run. Returns the id
/// of the record, or `None` on time-out.
async fn write_until_confirmed(
    context: &CheckContext,
    client: &mut HttpClient,
    number: usize,
) -> Option<Value> {
    let id = format!("call-{number}");
    let started_at = Instant::now();
    let mut attempt = number;
    while started_at.elapsed() < WRITE_TIMEOUT {
        let response = write_record(client, &context.url(attempt), SERVICE, &id).await;
        let already_run = response.refusal().is_some_and(|refusal| refusal.code == RefusalCode::AlreadyRun);
        if response.rows().is_some() || already_run {
            return Some(Value::Text(id.into()));
        }
        attempt += 1;
        sleep(RETRY_DELAY).await;
    }
    None
}

/// Returns the ids of all records on the current primary.
fn stored_records(context: &CheckContext) -> Result<Vec<Value>, FleetError> {
    let group = context.fleet.group(SERVICE);
    let Some(primary) = group.primary() else { return Ok(Vec::new()) };
    Ok(group.query_first_column(primary.endpoint(), "select call_id from call_records")?)
}
