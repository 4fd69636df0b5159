//! The failure domain check: a failure domain that is out of service gets no new work, and the others keep serving.

use {
    super::{CheckContext, CheckOutcome, InjectedFault},
    crate::demo::context::{KEY, SERVICE, read_rule, save_rule},
    cumincart_fleet::{FleetError, HttpClient},
    cumincart_protocol::name::DomainName,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The time after which a failure domain that was taken out of service must get no new work.
const OUT_LIMIT: Duration = Duration::from_secs(3);

/// How long the failure domain is then observed for new work while calls continue.
const OBSERVATION_TIME: Duration = Duration::from_secs(1);

/// The maximum time for a failure domain to serve again after it was brought back.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Takes the failure domain of the first service's primary out of service, counts the statements on its endpoints, and
/// brings it back.
pub(super) async fn check(context: &CheckContext) -> Result<CheckOutcome, FleetError> {
    let domain = context.fleet.deployment.domains[0].clone();
    let started_at = Instant::now();
    if !context.injects(InjectedFault::FailureDomain) {
        context.fleet.set_domain(&domain, true).await?;
    }
    let mut client = HttpClient::new(Some(KEY));
    let mut longest = Duration::ZERO;
    count_answered_calls(context, &mut client, &domain, &mut longest, || started_at.elapsed() < OUT_LIMIT)
        .await;
    let before = executed_statements(context, &domain);
    let observed_from = Instant::now();
    let answered = count_answered_calls(context, &mut client, &domain, &mut longest, || {
        observed_from.elapsed() < OBSERVATION_TIME
    })
    .await;
    let new_statements = executed_statements(context, &domain) - before;

    let restored_at = Instant::now();
    context.fleet.set_domain(&domain, false).await?;
    while !serves_again(context, &mut client, &domain).await && restored_at.elapsed() < RECOVERY_LIMIT {
        sleep(POLL_INTERVAL).await;
    }
    let recovery_ms = restored_at.elapsed().as_millis();
    Ok(CheckOutcome {
        promise: "a failure domain that is out gets no new work",
        figure: format!(
            "{new_statements} statements on its endpoints later than {} s after it was taken out, while {answered} calls \
             were answered elsewhere (longest {} ms); back in service after {recovery_ms} ms",
            OUT_LIMIT.as_secs(),
            longest.as_millis()
        ),
        holds: new_statements == 0 && answered > 0 && restored_at.elapsed() < RECOVERY_LIMIT,
    })
}

/// Writes and reads through the instances of the other failure domains while `should_continue` holds. Returns the
/// number of answered calls, and stores the duration of the longest write and read in `longest`.
async fn count_answered_calls(
    context: &CheckContext,
    client: &mut HttpClient,
    out: &DomainName,
    longest: &mut Duration,
    should_continue: impl Fn() -> bool,
) -> usize {
    let other_entries = context.fleet.entries.iter().filter(|entry| entry.options.domain != *out);
    let urls: Vec<_> = other_entries.map(|entry| entry.url()).collect();
    let mut answered = 0;
    let mut round = 0;
    while should_continue() {
        let url = &urls[round % urls.len()];
        round += 1;
        let started_at = Instant::now();
        let write = save_rule(client, url, SERVICE, "desk-out").await;
        let read = read_rule(client, url, SERVICE).await;
        *longest = started_at.elapsed().max(*longest);
        answered += usize::from(write.rows().is_some()) + usize::from(read.rows().is_some());
        sleep(POLL_INTERVAL).await;
    }
    answered
}

/// Returns the number of statements that the endpoints of a failure domain have executed.
fn executed_statements(context: &CheckContext, domain: &DomainName) -> usize {
    let databases = context.fleet.groups.iter().flat_map(|group| group.group.databases());
    databases
        .filter(|database| database.announcement().domain == *domain)
        .map(|database| database.executed_statements().len())
        .sum()
}

/// Returns whether an entry instance of the failure domain answers a read.
async fn serves_again(context: &CheckContext, client: &mut HttpClient, domain: &DomainName) -> bool {
    let entry_in_domain = context.fleet.entries.iter().find(|entry| entry.options.domain == *domain);
    let Some(entry) = entry_in_domain else { return false };
    read_rule(client, &entry.url(), SERVICE).await.rows().is_some()
}
