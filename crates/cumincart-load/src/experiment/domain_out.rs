//! Service while a failure domain is taken out and comes back.

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

/// Before the domain is taken out.
const OUT_AT: Duration = Duration::from_secs(5);

/// When it is brought back.
const IN_AT: Duration = Duration::from_secs(11);

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
    let (samples, changed) =
        tokio::join!(environment.send_traffic(&traffic), out_and_in(&environment, &domain));
    let (out, back) = changed?;
    let split = |from: Duration, to: Duration| -> Vec<Sample> {
        samples.iter().filter(|sample| sample.due >= from && sample.due < to).cloned().collect()
    };
    let before = split(Duration::ZERO, OUT_AT);
    let during = split(OUT_AT, IN_AT);
    let after = split(IN_AT, SPAN);
    let mut report = Report::new("domain-out", name, seed);
    let baseline = not_answered(&before);
    for (part, samples) in [("while the domain is out", &during), ("after its return", &after)] {
        let baseline = Baseline { way: "the time before", value: baseline };
        let name = format!("requests without an answer {part}");
        report.add_measure(name, "%", not_answered(samples), Some(baseline), samples.len() as u64);
        let p99 = |samples: &[Sample]| Latencies::of(samples.iter().map(|sample| sample.latency)).p99;
        let baseline = Baseline { way: "the time before", value: p99(&before) };
        report.add_measure(format!("p99 {part}"), "ms", p99(samples), Some(baseline), samples.len() as u64);
    }
    let moved = environment.fleet.groups[0].service.as_str();
    let gap_s = |from: Duration, to: Duration| {
        let times = traffic.iter().zip(&samples).filter(|(request, sample)| {
            request.is_write
                && &*request.call.service == moved
                && sample.is_answered()
                && request.due >= from
                && request.due < to
        });
        longest_gap_s(times.map(|(_, sample)| sample.due + sample.latency).collect())
    };
    let baseline = Baseline { way: "the time before", value: gap_s(Duration::ZERO, OUT_AT) };
    let gap = gap_s(OUT_AT, IN_AT);
    report.add_measure(
        "longest pause of acknowledged writes of the service that moved",
        "s",
        gap,
        Some(baseline),
        1,
    );
    let last = last_work(&environment, &domain, out, back);
    report.add_measure("last new work at the domain's endpoints after the order", "s", last, None, 1);
    for (name, samples) in [("before", &before), ("out", &during), ("back", &after)] {
        report.runs.push(NamedSummary { name: name.into(), summary: Summary::of(samples) });
    }
    let plot = Plot {
        title: format!("{domain} out from {} s to {} s ({name})", OUT_AT.as_secs(), IN_AT.as_secs()),
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

/// The longest time between one acknowledgement and the next.
fn longest_gap_s(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64()).fold(0.0, f64::max)
}

fn not_answered(samples: &[Sample]) -> f64 {
    per_cent(samples.iter().filter(|sample| !sample.is_answered()).count(), samples.len())
}

async fn out_and_in(
    environment: &Environment,
    domain: &DomainName,
) -> Result<(Instant, Instant), ExperimentError> {
    sleep(OUT_AT).await;
    let out = Instant::now();
    environment.fleet.set_domain(domain, true).await.map_err(setup)?;
    sleep((out + (IN_AT - OUT_AT)).saturating_duration_since(Instant::now())).await;
    let back = Instant::now();
    environment.fleet.set_domain(domain, false).await.map_err(setup)?;
    Ok((out, back))
}

/// The time from the order to the last statement that ran in the domain before its return.
fn last_work(environment: &Environment, domain: &DomainName, out: Instant, back: Instant) -> f64 {
    let groups = environment.fleet.groups.iter().flat_map(|group| group.group.databases());
    let databases = groups.filter(|database| database.announcement().domain == *domain);
    let times =
        databases.flat_map(|database| database.executed_statements()).map(|statement| statement.executed_at);
    let last = times.filter(|at| *at > out && *at < back).max();
    last.map_or(0.0, |last| (last - out).as_secs_f64())
}
