//! Measures the time from a primary's crash to the next acknowledged write.

use {
    super::{
        ExperimentError,
        environment::{Environment, rate_curve},
        setup,
    },
    crate::{
        plot::Plot,
        report::{Baseline, NamedPlot, NamedSummary, Report},
        summary::{Latencies, Sample, Summary},
        traffic::{TrafficSettings, generate},
    },
    cumincart_fleet::{Deployment, fleet::wait_for},
    cumincart_protocol::{
        lists::{Access, Route},
        name::EndpointName,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The number of trials; each crashes the primary once.
const TRIALS: u64 = 6;

/// The time of the crash, from the start of a trial's traffic.
const CRASH_AT: Duration = Duration::from_secs(1);

/// The duration of a trial's traffic.
const SPAN: Duration = Duration::from_secs(8);

const LOAD: f64 = 0.5;

/// Runs the experiment.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let environment = Environment::start(deployment, false).await?;
    let mut gaps = Vec::new();
    let mut last = Vec::new();
    let mut report = Report::new("failover", name, seed);
    for trial in 0..TRIALS {
        let settings = TrafficSettings {
            seed: seed + trial * 100,
            span: SPAN,
            entries: environment.fleet.entries.len(),
            skewed: false,
            includes_route: first_service_writes,
            load_factors: vec![LOAD; environment.organisations.len()],
        };
        environment.warm_up(settings.seed, &settings).await;
        let traffic = generate(&environment.organisations, &settings);
        let (samples, crashed) =
            tokio::join!(environment.send_traffic(&traffic), crash_primary(&environment));
        let crashed = crashed?;
        gaps.push(failover_gap(&samples, crashed.after)?);
        recover(&environment, &crashed.endpoint).await?;
        report.runs.push(NamedSummary { name: format!("trial {trial}"), summary: Summary::of(&samples) });
        last = samples;
    }
    let latencies = Latencies::of(gaps.iter().copied());
    let no_failover = || {
        let rest_s = (SPAN - CRASH_AT).as_secs_f64();
        Some(Baseline { way: "straight to the primary, which nobody replaces: not within", value: rest_s })
    };
    report.add_measure("failover gap, median", "s", latencies.p50 / 1_000.0, no_failover(), TRIALS);
    report.add_measure("failover gap, longest", "s", latencies.max / 1_000.0, no_failover(), TRIALS);
    let plot = Plot {
        title: format!("Writes while a primary crashes at {} s ({name}, last trial)", CRASH_AT.as_secs()),
        x_label: "time at which the write was due, in s".into(),
        y_label: "writes a second".into(),
        curves: vec![
            rate_curve("due", &last, |_| true),
            rate_curve("acknowledged", &last, Sample::is_answered),
        ],
    };
    report.plots.push(NamedPlot { file: "writes", plot });
    Ok(report)
}

fn first_service_writes(service: &str, route: &Route) -> bool {
    service.ends_with("-1") && route.access == Access::Write
}

/// A crash of a primary.
struct Crash {
    endpoint: EndpointName,
    /// The time of the crash, from the start of the traffic.
    after: Duration,
}

async fn crash_primary(environment: &Environment) -> Result<Crash, ExperimentError> {
    let started = Instant::now();
    sleep(CRASH_AT).await;
    let primary =
        environment.fleet.groups[0].group.primary().ok_or_else(|| setup("the group has no primary"))?;
    primary.crash();
    Ok(Crash { endpoint: primary.endpoint().clone(), after: started.elapsed() })
}

/// Returns the time from the crash to the first acknowledgement of a write that was due after it.
fn failover_gap(samples: &[Sample], crash: Duration) -> Result<Duration, ExperimentError> {
    let after = samples.iter().filter(|sample| sample.due > crash && sample.is_answered());
    let first = after.map(|sample| sample.due + sample.latency).min();
    first.map(|answered| answered - crash).ok_or_else(|| setup("no write was acknowledged after the crash"))
}

/// Restarts the crashed database as a replica of the new primary, as the platform does in a real deployment.
async fn recover(environment: &Environment, crashed: &EndpointName) -> Result<(), ExperimentError> {
    let group = &environment.fleet.groups[0].group;
    let primary = group.primary().ok_or_else(|| setup("no database was promoted after the crash"))?.clone();
    group.rejoin(crashed, primary.endpoint()).map_err(setup)?;
    let database = group.database(crashed).map_err(setup)?;
    database.restart();
    wait_for("the crashed database has caught up".to_owned(), async || {
        database.state().timeline == primary.state().timeline
            && database.state().position == primary.state().position
    })
    .await
    .map_err(setup)?;
    environment.fleet.wait_until_serving().await.map_err(setup)
}
