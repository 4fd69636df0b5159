//! The gap from a primary's death to the next acknowledged write.

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

/// How often a primary is crashed.
const TRIALS: u64 = 6;

/// From the start of a trial's traffic to the crash.
const CRASH_AT: Duration = Duration::from_secs(1);

/// A trial's traffic.
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
        gaps.push(gap(&samples, crashed.after)?);
        recover(&environment, &crashed.endpoint).await?;
        report.runs.push(NamedSummary { name: format!("trial {trial}"), summary: Summary::of(&samples) });
        last = samples;
    }
    let latencies = Latencies::of(gaps.iter().copied());
    let nobody = || {
        let rest_s = (SPAN - CRASH_AT).as_secs_f64();
        Some(Baseline { way: "straight to the primary, which nobody replaces: not within", value: rest_s })
    };
    report.add_measure("failover gap, median", "s", latencies.p50 / 1_000.0, nobody(), TRIALS);
    report.add_measure("failover gap, longest", "s", latencies.max / 1_000.0, nobody(), TRIALS);
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

/// A crash that was brought about.
struct Crash {
    endpoint: EndpointName,
    /// From the start of the traffic.
    after: Duration,
}

async fn crash_primary(environment: &Environment) -> Result<Crash, ExperimentError> {
    let begun = Instant::now();
    sleep(CRASH_AT).await;
    let primary =
        environment.fleet.groups[0].group.primary().ok_or_else(|| setup("the group has no primary"))?;
    primary.crash();
    Ok(Crash { endpoint: primary.endpoint().clone(), after: begun.elapsed() })
}

/// From the crash to the first answer of a write that was due after it.
fn gap(samples: &[Sample], crash: Duration) -> Result<Duration, ExperimentError> {
    let after = samples.iter().filter(|sample| sample.due > crash && sample.is_answered());
    let first = after.map(|sample| sample.due + sample.latency).min();
    first.map(|answered| answered - crash).ok_or_else(|| setup("no write was acknowledged after the crash"))
}

/// The platform's part: the crashed database comes back as a replica of the new primary.
async fn recover(environment: &Environment, crashed: &EndpointName) -> Result<(), ExperimentError> {
    let group = &environment.fleet.groups[0].group;
    let primary = group.primary().ok_or_else(|| setup("nothing was promoted"))?.clone();
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
