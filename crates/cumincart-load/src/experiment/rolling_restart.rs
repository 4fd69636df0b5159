//! Measures the requests lost while all entry instances are restarted one after another.

use {
    super::{
        ExperimentError,
        environment::{Environment, any_route, per_cent},
        setup,
    },
    crate::{
        report::{Baseline, NamedSummary, Report},
        sender::send_traffic,
        summary::{Sample, Summary},
        traffic::TrafficSettings,
    },
    cumincart_fleet::{Deployment, Fleet},
    std::time::Duration,
    tokio::time::sleep,
};

const SPAN: Duration = Duration::from_secs(20);
const LOAD: f64 = 0.5;

/// The pause before the stop of each instance, after the previous one serves again.
const PAUSE: Duration = Duration::from_secs(1);

/// Runs the experiment.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let planned = run_with_restarts(deployment.clone(), seed, true).await?;
    let killed = run_with_restarts(deployment, seed, false).await?;
    let mut report = Report::new("rolling-restart", name, seed);
    let way = "killed instead of stopped";
    let share = |samples: &[Sample], counts: fn(&Summary) -> u64| {
        per_cent(counts(&Summary::of(samples)) as usize, samples.len())
    };
    let baseline = Baseline { way, value: share(&killed, |summary| summary.failed + summary.unknown) };
    let cut = share(&planned, |summary| summary.failed + summary.unknown);
    let samples = planned.len() as u64;
    report.add_measure("requests cut: no answer or an unknown outcome", "%", cut, Some(baseline), samples);
    // No baseline: the killed instance is a task in this process. Its client connections stay open, and it goes on to
    // refuse requests on them, which a killed process would not do.
    report.add_measure(
        "requests refused as not run",
        "%",
        share(&planned, |summary| summary.not_run),
        None,
        samples,
    );
    report.add_measure("requests answered", "%", share(&planned, |summary| summary.answered), None, samples);
    for (name, samples) in [("stopped as planned", &planned), (way, &killed)] {
        report.runs.push(NamedSummary { name: name.into(), summary: Summary::of(samples) });
    }
    Ok(report)
}

async fn run_with_restarts(
    deployment: Deployment,
    seed: u64,
    planned: bool,
) -> Result<Vec<Sample>, ExperimentError> {
    let mut environment = Environment::start(deployment, false).await?;
    let settings = TrafficSettings {
        seed,
        span: SPAN,
        entries: environment.fleet.entries.len(),
        skewed: false,
        includes_route: any_route,
        load_factors: vec![LOAD; environment.organisations.len()],
    };
    environment.warm_up(seed, &settings).await;
    let traffic = environment.traffic(seed, SPAN, LOAD, any_route);
    let Environment { fleet, organisations, balancer } = &mut environment;
    let (samples, restarted) =
        tokio::join!(send_traffic(organisations, balancer, &traffic), restart_one_by_one(fleet, planned));
    restarted?;
    Ok(samples)
}

async fn restart_one_by_one(fleet: &mut Fleet, planned: bool) -> Result<(), ExperimentError> {
    for index in 0..fleet.entries.len() {
        sleep(PAUSE).await;
        if planned {
            fleet.stop_entry(index).await;
        } else {
            fleet.kill_entry(index);
        }
        fleet.start_entry(index).await.map_err(setup)?;
        fleet.wait_until_serving().await.map_err(setup)?;
    }
    Ok(())
}
