//! Requests refused although they were within their organisation's rate.

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
    let mut wrongful_split = 0;
    let mut worst = Worst::default();
    for (index, organisation) in environment.organisations.iter().enumerate() {
        let own: Vec<usize> =
            (0..traffic.len()).filter(|request| traffic[*request].organisation == index).collect();
        let ours = own.iter().filter(|index| is_over_rate(&samples[**index])).count();
        let ideal = one_bucket(organisation, &traffic, &own);
        let theirs = equal_split(organisation, &traffic, &own, entries);
        wrongful += ours.saturating_sub(ideal);
        wrongful_split += theirs.saturating_sub(ideal);
        worst.note(ours.saturating_sub(ideal), theirs.saturating_sub(ideal), own.len());
    }
    let way = "the rate split equally over the instances";
    let total = traffic.len();
    let mut report = Report::new("wrongful-refusals", name, seed);
    report.add_measure(
        "refused although within the rate",
        "%",
        per_cent(wrongful, total),
        Some(Baseline { way, value: per_cent(wrongful_split, total) }),
        total as u64,
    );
    report.add_measure(
        "the same, worst organisation",
        "%",
        worst.ours,
        Some(Baseline { way, value: worst.theirs }),
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

/// The worst organisation's shares in per cent.
#[derive(Debug, Default)]
struct Worst {
    ours: f64,
    theirs: f64,
}

impl Worst {
    fn note(&mut self, ours: usize, theirs: usize, requests: usize) {
        self.ours = self.ours.max(per_cent(ours, requests));
        self.theirs = self.theirs.max(per_cent(theirs, requests));
    }
}

/// How many requests one bucket for the whole fleet refuses.
fn one_bucket(organisation: &Organisation, traffic: &[ScheduledRequest], own: &[usize]) -> usize {
    let mut bucket = TokenBucket::new(organisation.rate_per_s, f64::from(organisation.burst));
    own.iter().filter(|index| !bucket.try_take(traffic[**index].due)).count()
}

/// How many requests are refused when each instance has an equal part of rate and burst for good.
fn equal_split(
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

/// By how much the admitted requests of an organisation exceeded rate and burst at most, over any interval between two
/// due times. An admission lies between the due time and the answer; only the end of the interval is taken late, so
/// that a request in flight counts for the system and not against it.
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
