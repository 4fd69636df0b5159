//! The key checks: requests with a wrong key are not executed, and a withdrawn key is refused within seconds.

use {
    super::{CheckContext, CheckOutcome, InjectedFault},
    crate::demo::context::{SERVICE, read_rule},
    cumincart_fleet::{FleetError, HttpClient},
    cumincart_protocol::{refusal::RefusalCode, verdict::Verdict},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const WITHDRAWN_KEY: &str = "example-only-vitosha-clinic-2026-a";
const WITHDRAWN_KEY_ID: &str = "vitosha-clinic-2026-a";
const KEPT_KEY: &str = "example-only-vitosha-clinic-2026-b";

/// The time within which every instance must refuse a withdrawn key.
const WITHDRAWN_LIMIT: Duration = Duration::from_secs(2);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls every entry instance with a key that is not in the list.
pub(super) async fn check_wrong(context: &CheckContext) -> CheckOutcome {
    let key = if context.injects(InjectedFault::WrongKey) { KEPT_KEY } else { "a key that no list has" };
    let mut client = HttpClient::new(Some(key));
    let mut refused = 0;
    for number in 0..context.fleet.entries.len() {
        refused += usize::from(is_key_refused(&mut client, &context.url(number)).await);
    }
    let instances = context.fleet.entries.len();
    CheckOutcome {
        promise: "a wrong key runs nothing",
        figure: format!("refused with verdict `not_run` by {refused} of {instances} instances"),
        holds: refused == instances,
    }
}

/// Withdraws one of the two keys of an organisation and waits until every entry instance refuses it.
pub(super) async fn check_withdrawn(context: &CheckContext) -> Result<CheckOutcome, FleetError> {
    let mut lists = context.fleet.deployment.lists()?;
    if !context.injects(InjectedFault::Keys) {
        for organisation in &mut lists.organisations.organisations {
            organisation.keys.retain(|key| key.id.as_str() != WITHDRAWN_KEY_ID);
        }
    }
    context.fleet.apply(lists).await?;
    let started_at = Instant::now();
    let mut withdrawn = HttpClient::new(Some(WITHDRAWN_KEY));
    let mut holds = true;
    for number in 0..context.fleet.entries.len() {
        while !is_key_refused(&mut withdrawn, &context.url(number)).await {
            if started_at.elapsed() > WITHDRAWN_LIMIT {
                holds = false;
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    let elapsed_ms = started_at.elapsed().as_millis();
    let mut kept = HttpClient::new(Some(KEPT_KEY));
    let kept_works = read_rule(&mut kept, &context.url(0), SERVICE).await.rows().is_some();
    Ok(CheckOutcome {
        promise: "a withdrawn key stops everywhere",
        figure: format!(
            "{elapsed_ms} ms until every instance refused it (limit {} ms); the other key {}",
            WITHDRAWN_LIMIT.as_millis(),
            if kept_works { "still works" } else { "stopped working too" }
        ),
        holds: holds && kept_works,
    })
}

async fn is_key_refused(client: &mut HttpClient, url: &str) -> bool {
    let response = client.call(url, SERVICE, "call-records", &[]).await;
    let Some(refusal) = response.refusal() else { return false };
    refusal.code == RefusalCode::KeyRefused && refusal.verdict == Verdict::NotRun
}
