//! Service state: a failure domain that is out gets no new work, and the rest goes on serving.

use {
    super::{Breakage, CheckOutcome, Scene},
    crate::demo::scene::{KEY, SERVICE, read_rule, save_rule},
    cumincart_fleet::{Caller, FleetError},
    cumincart_protocol::name::DomainName,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The time after which a failure domain that is out must get no new work.
const OUT_LIMIT: Duration = Duration::from_secs(3);

/// How long calls go on to see that it stays so.
const WATCH: Duration = Duration::from_secs(1);

/// The longest wait for a failure domain that came back to serve again.
const BACK_LIMIT: Duration = Duration::from_secs(10);

const PAUSE: Duration = Duration::from_millis(10);

/// Takes the failure domain of the first service's primary out, watches its endpoints, and brings it back.
pub(super) async fn check(scene: &Scene) -> Result<CheckOutcome, FleetError> {
    let domain = scene.fleet.deployment.domains[0].clone();
    let begun = Instant::now();
    if !scene.breaks(Breakage::FailureDomain) {
        scene.fleet.set_domain(&domain, true).await?;
    }
    let mut caller = Caller::new(Some(KEY));
    let mut longest = Duration::ZERO;
    call_while(scene, &mut caller, &domain, &mut longest, || begun.elapsed() < OUT_LIMIT).await;
    let before = statements_in(scene, &domain);
    let watched = Instant::now();
    let answered = call_while(scene, &mut caller, &domain, &mut longest, || watched.elapsed() < WATCH).await;
    let new_work = statements_in(scene, &domain) - before;

    let back = Instant::now();
    scene.fleet.set_domain(&domain, false).await?;
    while !serves_again(scene, &mut caller, &domain).await && back.elapsed() < BACK_LIMIT {
        sleep(PAUSE).await;
    }
    let back_ms = back.elapsed().as_millis();
    Ok(CheckOutcome {
        promise: "a failure domain that is out gets no new work",
        figure: format!(
            "{new_work} statements at its endpoints from {} s on while {answered} calls were answered elsewhere \
             (longest {} ms); back in service after {back_ms} ms",
            OUT_LIMIT.as_secs(),
            longest.as_millis()
        ),
        holds: new_work == 0 && answered > 0 && back.elapsed() < BACK_LIMIT,
    })
}

/// Writes and reads through the other failure domains' instances; gives the number of answered calls.
async fn call_while(
    scene: &Scene,
    caller: &mut Caller,
    out: &DomainName,
    longest: &mut Duration,
    goes_on: impl Fn() -> bool,
) -> usize {
    let elsewhere = scene.fleet.entries.iter().filter(|entry| entry.options.domain != *out);
    let urls: Vec<_> = elsewhere.map(|entry| entry.url()).collect();
    let mut answered = 0;
    let mut round = 0;
    while goes_on() {
        let url = &urls[round % urls.len()];
        round += 1;
        let begun = Instant::now();
        let write = save_rule(caller, url, SERVICE, "desk-out").await;
        let read = read_rule(caller, url, SERVICE).await;
        *longest = begun.elapsed().max(*longest);
        answered += usize::from(write.rows().is_some()) + usize::from(read.rows().is_some());
        sleep(PAUSE).await;
    }
    answered
}

/// How many statements the endpoints of a failure domain have run.
fn statements_in(scene: &Scene, domain: &DomainName) -> usize {
    let databases = scene.fleet.groups.iter().flat_map(|group| group.group.databases());
    databases
        .filter(|database| database.announcement().domain == *domain)
        .map(|database| database.executed_statements().len())
        .sum()
}

/// Whether a read through an instance of the failure domain is answered.
async fn serves_again(scene: &Scene, caller: &mut Caller, domain: &DomainName) -> bool {
    let inside = scene.fleet.entries.iter().find(|entry| entry.options.domain == *domain);
    let Some(entry) = inside else { return false };
    read_rule(caller, &entry.url(), SERVICE).await.rows().is_some()
}
