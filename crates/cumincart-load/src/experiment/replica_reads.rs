//! Measures the share of reads that replicas serve.

use {
    super::{
        ExperimentError,
        environment::{Environment, any_route, per_cent},
    },
    crate::{
        report::{Baseline, NamedSummary, Report},
        summary::{Outcome, Summary},
        traffic::{ScheduledRequest, TrafficSettings},
    },
    cumincart_fleet::Deployment,
    std::time::Duration,
};

const SPAN: Duration = Duration::from_secs(10);
const LOAD: f64 = 0.5;

/// The baseline's rule: a session reads from the primary for this long after each of its writes to the service.
const PRIMARY_AFTER_WRITE: Duration = Duration::from_secs(1);

/// Runs the experiment.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let environment = Environment::start(deployment, false).await?;
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
    let samples = environment.send_traffic(&traffic).await;
    let is_from_replica = |index: &usize| samples[*index].outcome == Outcome::Answered { from_replica: true };
    let answered_reads: Vec<usize> = (0..traffic.len())
        .filter(|index| !traffic[*index].is_write && samples[*index].is_answered())
        .collect();
    let stale_tolerant: Vec<usize> =
        answered_reads.iter().copied().filter(|index| traffic[*index].max_staleness_ms > 0).collect();
    let baseline_reads = baseline_replica_reads(&traffic, &stale_tolerant);
    let mut report = Report::new("replica-reads", name, seed);
    report.add_measure(
        "reads that accept an age, served by replicas",
        "%",
        per_cent(stale_tolerant.iter().filter(|index| is_from_replica(index)).count(), stale_tolerant.len()),
        Some(Baseline {
            way: "primary for 1 s after each write of the session",
            value: per_cent(baseline_reads, stale_tolerant.len()),
        }),
        stale_tolerant.len() as u64,
    );
    report.add_measure(
        "all reads, served by replicas",
        "%",
        per_cent(answered_reads.iter().filter(|index| is_from_replica(index)).count(), answered_reads.len()),
        Some(Baseline { way: "all from the primary", value: 0.0 }),
        answered_reads.len() as u64,
    );
    let misses = misses(&environment).await;
    let share = 100.0 * misses as f64 / answered_reads.len().max(1) as f64;
    report.add_measure("reads that missed at a replica first, warm-up included", "%", share, None, misses);
    report.runs.push(NamedSummary { name: "all requests".into(), summary: Summary::of(&samples) });
    for (index, organisation) in environment.organisations.iter().enumerate() {
        for (kind, is_write) in [("reads", false), ("writes", true)] {
            let selected = traffic.iter().zip(&samples);
            let selected =
                selected.filter(|(request, _)| request.organisation == index && request.is_write == is_write);
            let selected: Vec<_> = selected.map(|(_, sample)| sample.clone()).collect();
            let name = format!("{} of {} at {} a second", kind, organisation.name, organisation.rate_per_s);
            report.runs.push(NamedSummary { name, summary: Summary::of(&selected) });
        }
    }
    Ok(report)
}

/// Returns the number of reads that a replica could not serve, summed over the entry instances.
async fn misses(environment: &Environment) -> u64 {
    let mut misses = 0;
    for handle in environment.fleet.entries.iter().filter_map(|entry| entry.handle.as_ref()) {
        let counted = handle.engine.inspect(|core, _| core.counters.replica_misses).await;
        misses += counted.unwrap_or_default();
    }
    misses
}

/// Returns how many of the reads a replica could serve under the baseline's rule.
fn baseline_replica_reads(traffic: &[ScheduledRequest], reads: &[usize]) -> usize {
    let wrote_shortly_before = |index: usize| {
        let read = &traffic[index];
        let before =
            traffic[..index].iter().rev().take_while(|request| read.due - request.due <= PRIMARY_AFTER_WRITE);
        before.into_iter().any(|request| {
            request.is_write
                && (request.organisation, request.session) == (read.organisation, read.session)
                && request.call.service == read.call.service
        })
    };
    reads.iter().filter(|index| !wrote_shortly_before(**index)).count()
}
