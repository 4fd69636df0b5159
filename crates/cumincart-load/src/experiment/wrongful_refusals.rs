//! Requests refused although they were within their organisation's rate.

use {
    super::{
        ExperimentError,
        bench::{Bench, any_route, is_over_rate, per_cent},
    },
    crate::{
        bucket::Bucket,
        report::{Baseline, NamedSummary, Report},
        summary::{Sample, Summary},
        traffic::{Due, Organisation, TrafficSettings, draw},
    },
    cumincart_fleet::Deployment,
    std::time::Duration,
};

const SPAN: Duration = Duration::from_secs(20);
const LOAD: f64 = 0.9;

/// Runs the experiment.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let bench = Bench::open(deployment, false).await?;
    let entries = bench.fleet.entries.len();
    let settings = TrafficSettings {
        seed,
        span: SPAN,
        entries,
        skewed: true,
        uses: any_route,
        loads: vec![LOAD; bench.organisations.len()],
    };
    bench.warm_up(seed, &settings).await;
    let traffic = draw(&bench.organisations, &settings);
    let samples = bench.drive(&traffic).await;
    let mut wrongful = 0;
    let mut wrongful_split = 0;
    let mut worst = Worst::default();
    for (index, organisation) in bench.organisations.iter().enumerate() {
        let own: Vec<usize> = (0..traffic.len()).filter(|due| traffic[*due].organisation == index).collect();
        let ours = own.iter().filter(|due| is_over_rate(&samples[**due])).count();
        let ideal = one_bucket(organisation, &traffic, &own);
        let theirs = equal_split(organisation, &traffic, &own, entries);
        wrongful += ours.saturating_sub(ideal);
        wrongful_split += theirs.saturating_sub(ideal);
        worst.note(ours.saturating_sub(ideal), theirs.saturating_sub(ideal), own.len());
    }
    let way = "the rate split equally over the instances";
    let total = traffic.len();
    let mut report = Report::new("wrongful-refusals", name, seed);
    report.measure(
        "refused although within the rate",
        "%",
        per_cent(wrongful, total),
        Some(Baseline { way, value: per_cent(wrongful_split, total) }),
        total as u64,
    );
    report.measure(
        "the same, worst organisation",
        "%",
        worst.ours,
        Some(Baseline { way, value: worst.theirs }),
        total as u64,
    );
    report.measure(
        "most requests admitted over rate and burst, any organisation",
        "requests",
        greatest_excess(&bench.organisations, &traffic, &samples),
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
fn one_bucket(organisation: &Organisation, traffic: &[Due], own: &[usize]) -> usize {
    let mut bucket = Bucket::full(organisation.rate_per_s, f64::from(organisation.burst));
    own.iter().filter(|due| !bucket.take(traffic[**due].at)).count()
}

/// How many requests are refused when each instance has an equal part of rate and burst for good.
fn equal_split(organisation: &Organisation, traffic: &[Due], own: &[usize], entries: usize) -> usize {
    let parts = entries as f64;
    let part = Bucket::full(organisation.rate_per_s / parts, f64::from(organisation.burst) / parts);
    let mut buckets = vec![part; entries];
    own.iter().filter(|due| !buckets[traffic[**due].entry].take(traffic[**due].at)).count()
}

/// By how much the admitted requests of an organisation exceeded rate and burst at most, over any interval between two
/// due times. An admission lies between the due time and the answer; only the end of the interval is taken late, so
/// that a request in flight counts for the system and not against it.
fn greatest_excess(organisations: &[Organisation], traffic: &[Due], samples: &[Sample]) -> f64 {
    let mut greatest = 0.0_f64;
    for (index, organisation) in organisations.iter().enumerate() {
        let mut level = 0.0_f64;
        let mut last_s = 0.0;
        for (due, sample) in traffic.iter().zip(samples).filter(|(due, _)| due.organisation == index) {
            let now_s = due.at.as_secs_f64();
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
