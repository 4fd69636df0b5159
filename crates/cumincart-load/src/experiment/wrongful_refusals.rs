//! Measures the requests that are refused although they are within their organisation's rate.

use {
    super::{
        ExperimentError,
        environment::{Environment, any_route, is_over_rate, per_cent},
    },
    crate::{
        report::{Baseline, NamedSummary, Report},
        summary::{Sample, Summary},
        token_bucket::TokenBucket,
        traffic::{Organisation, ScheduledRequest, TrafficSettings, generate},
    },
    cumincart_fleet::Deployment,
    std::time::Duration,
};

const SPAN: Duration = Duration::from_secs(20);
const LOAD: f64 = 0.9;

/// Runs the experiment.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let environment = Environment::start(deployment, false).await?;
    let entries = environment.fleet.entries.len();
    let settings = TrafficSettings {
        seed,
        span: SPAN,
        entries,
        skewed: true,
        includes_route: any_route,
        load_factors: vec![LOAD; environment.organisations.len()],
    };
    environment.warm_up(seed, &settings).await;
    let traffic = generate(&environment.organisations, &settings);
    let samples = environment.send_traffic(&traffic).await;
    let mut wrongful = 0;
    let mut wrongful_baseline = 0;
    let mut highest = HighestShares::default();
    for (index, organisation) in environment.organisations.iter().enumerate() {
        let own: Vec<usize> = (0..traffic.len())
            .filter(|request_index| traffic[*request_index].organisation == index)
            .collect();
        let system = own.iter().filter(|index| is_over_rate(&samples[**index])).count();
        let expected = refused_by_one_bucket(organisation, &traffic, &own);
        let baseline = refused_by_equal_split(organisation, &traffic, &own, entries);
        wrongful += system.saturating_sub(expected);
        wrongful_baseline += baseline.saturating_sub(expected);
        highest.record(system.saturating_sub(expected), baseline.saturating_sub(expected), own.len());
    }
    let way = "the rate split equally over the instances";
    let total = traffic.len();
    let mut report = Report::new("wrongful-refusals", name, seed);
    report.add_measure(
        "refused although within the rate",
        "%",
        per_cent(wrongful, total),
        Some(Baseline { way, value: per_cent(wrongful_baseline, total) }),
        total as u64,
    );
    report.add_measure(
        "the same, worst organisation",
        "%",
        highest.system,
        Some(Baseline { way, value: highest.baseline }),
        total as u64,
    );
    report.add_measure(
        "most requests admitted over rate and burst, any organisation",
        "requests",
        greatest_excess(&environment.organisations, &traffic, &samples),
        None,
        total as u64,
    );
    report.runs.push(NamedSummary { name: "all requests".into(), summary: Summary::of(&samples) });
    Ok(report)
}

/// The highest shares of wrongful refusals of any organisation, in per cent.
#[derive(Debug, Default)]
struct HighestShares {
    system: f64,
    baseline: f64,
}

impl HighestShares {
    fn record(&mut self, system: usize, baseline: usize, requests: usize) {
        self.system = self.system.max(per_cent(system, requests));
        self.baseline = self.baseline.max(per_cent(baseline, requests));
    }
}

/// Returns how many requests a single token bucket for the whole fleet refuses.
fn refused_by_one_bucket(organisation: &Organisation, traffic: &[ScheduledRequest], own: &[usize]) -> usize {
    let mut bucket = TokenBucket::new(organisation.rate_per_s, f64::from(organisation.burst));
    own.iter().filter(|index| !bucket.try_take(traffic[**index].due)).count()
}

/// Returns how many requests are refused if each instance has a fixed, equal share of rate and burst.
fn refused_by_equal_split(
    organisation: &Organisation,
    traffic: &[ScheduledRequest],
    own: &[usize],
    entries: usize,
) -> usize {
    let parts = entries as f64;
    let part = TokenBucket::new(organisation.rate_per_s / parts, f64::from(organisation.burst) / parts);
    let mut buckets = vec![part; entries];
    own.iter().filter(|index| !buckets[traffic[**index].entry].try_take(traffic[**index].due)).count()
}

/// Returns by how much the admitted requests of any organisation exceeded its rate and burst at most, over all
/// intervals between two due times.
///
/// A request is admitted at some time between its due time and its response. Only the end of the interval is taken
/// late, so that a request in flight counts for the system and not against it.
fn greatest_excess(organisations: &[Organisation], traffic: &[ScheduledRequest], samples: &[Sample]) -> f64 {
    let mut greatest = 0.0_f64;
    for (index, organisation) in organisations.iter().enumerate() {
        let mut level = 0.0_f64;
        let mut last_s = 0.0;
        for (request, sample) in
            traffic.iter().zip(samples).filter(|(request, _)| request.organisation == index)
        {
            let now_s = request.due.as_secs_f64();
            level = (level - (now_s - last_s) * organisation.rate_per_s).max(0.0);
            last_s = now_s;
            if !is_over_rate(sample) {
                level += 1.0;
            }
            greatest = greatest.max(level - f64::from(organisation.burst));
        }
    }
    greatest.max(0.0)
}
