//! Measures availability while a failure domain is evacuated and brought back.

use {
    super::{
        ExperimentError,
        environment::{Environment, any_route, per_cent, rate_curve},
        setup,
    },
    crate::{
        plot::Plot,
        report::{Baseline, NamedPlot, NamedSummary, Report},
        summary::{Latencies, Sample, Summary},
        traffic::TrafficSettings,
    },
    cumincart_fleet::Deployment,
    cumincart_protocol::name::DomainName,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The time at which the evacuation starts.
const EVACUATION_START: Duration = Duration::from_secs(5);

/// The time at which the evacuation ends.
const EVACUATION_END: Duration = Duration::from_secs(11);

const SPAN: Duration = Duration::from_secs(16);
const LOAD: f64 = 0.5;

/// Runs the experiment.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let domain = deployment.domains[0].clone();
    let environment = Environment::start(deployment, true).await?;
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
    let (samples, evacuation) =
        tokio::join!(environment.send_traffic(&traffic), evacuate(&environment, &domain));
    let (started, ended) = evacuation?;
    let samples_between = |from: Duration, to: Duration| -> Vec<Sample> {
        samples.iter().filter(|sample| sample.due >= from && sample.due < to).cloned().collect()
    };
    let before = samples_between(Duration::ZERO, EVACUATION_START);
    let during = samples_between(EVACUATION_START, EVACUATION_END);
    let after = samples_between(EVACUATION_END, SPAN);
    let mut report = Report::new("domain-out", name, seed);
    let baseline = unanswered_per_cent(&before);
    for (part, samples) in [("while the domain is out", &during), ("after its return", &after)] {
        let baseline = Baseline { way: "the time before", value: baseline };
        let name = format!("requests without an answer {part}");
        report.add_measure(name, "%", unanswered_per_cent(samples), Some(baseline), samples.len() as u64);
        let p99 = |samples: &[Sample]| Latencies::of(samples.iter().map(|sample| sample.latency)).p99;
        let baseline = Baseline { way: "the time before", value: p99(&before) };
        report.add_measure(format!("p99 {part}"), "ms", p99(samples), Some(baseline), samples.len() as u64);
    }
    let moved_service = environment.fleet.groups[0].service.as_str();
    let gap_s = |from: Duration, to: Duration| {
        let times = traffic.iter().zip(&samples).filter(|(request, sample)| {
            request.is_write
                && &*request.call.service == moved_service
                && sample.is_answered()
                && request.due >= from
                && request.due < to
        });
        longest_gap_s(times.map(|(_, sample)| sample.due + sample.latency).collect())
    };
    let baseline = Baseline { way: "the time before", value: gap_s(Duration::ZERO, EVACUATION_START) };
    let gap = gap_s(EVACUATION_START, EVACUATION_END);
    report.add_measure(
        "longest pause of acknowledged writes of the service that moved",
        "s",
        gap,
        Some(baseline),
        1,
    );
    let last = last_statement_s(&environment, &domain, started, ended);
    report.add_measure("last new work at the domain's endpoints after the order", "s", last, None, 1);
    for (name, samples) in [("before", &before), ("out", &during), ("back", &after)] {
        report.runs.push(NamedSummary { name: name.into(), summary: Summary::of(samples) });
    }
    let plot = Plot {
        title: format!(
            "{domain} out from {} s to {} s ({name})",
            EVACUATION_START.as_secs(),
            EVACUATION_END.as_secs()
        ),
        x_label: "time at which the request was due, in s".into(),
        y_label: "requests a second".into(),
        curves: vec![
            rate_curve("due", &samples, |_| true),
            rate_curve("answered", &samples, Sample::is_answered),
        ],
    };
    report.plots.push(NamedPlot { file: "answers", plot });
    Ok(report)
}

/// Returns the longest time between two consecutive acknowledgements.
fn longest_gap_s(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64()).fold(0.0, f64::max)
}

fn unanswered_per_cent(samples: &[Sample]) -> f64 {
    per_cent(samples.iter().filter(|sample| !sample.is_answered()).count(), samples.len())
}

async fn evacuate(
    environment: &Environment,
    domain: &DomainName,
) -> Result<(Instant, Instant), ExperimentError> {
    sleep(EVACUATION_START).await;
    let started = Instant::now();
    environment.fleet.set_domain(domain, true).await.map_err(setup)?;
    sleep((started + (EVACUATION_END - EVACUATION_START)).saturating_duration_since(Instant::now())).await;
    let ended = Instant::now();
    environment.fleet.set_domain(domain, false).await.map_err(setup)?;
    Ok((started, ended))
}

/// Returns the time from the start of the evacuation to the last statement executed in the domain before its end; 0 if
/// there was none.
fn last_statement_s(environment: &Environment, domain: &DomainName, started: Instant, ended: Instant) -> f64 {
    let groups = environment.fleet.groups.iter().flat_map(|group| group.group.databases());
    let databases = groups.filter(|database| database.announcement().domain == *domain);
    let times =
        databases.flat_map(|database| database.executed_statements()).map(|statement| statement.executed_at);
    let last = times.filter(|at| *at > started && *at < ended).max();
    last.map_or(0.0, |last| (last - started).as_secs_f64())
}
