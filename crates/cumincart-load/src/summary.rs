//! Outcomes and latencies of the requests of a run.

use {
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        verdict::Verdict,
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{sync::Arc, time::Duration},
};

/// The highest latency that the histogram distinguishes, in microseconds; higher ones are counted as this.
const LATENCY_MAX_MICROS: u64 = 600_000_000;

/// The number of significant digits of latencies in the histogram.
const LATENCY_DIGITS: u8 = 3;

/// The outcome of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered with rows.
    Answered {
        /// Whether a replica served the request.
        from_replica: bool,
    },
    /// The request was refused; the refusal's verdict says whether it ran.
    Refused(Refusal),
    /// The entry instance gave no valid response; contains the reason.
    Failed(Arc<str>),
}

/// The measurement of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// The time at which the request was due, from the start of the run.
    pub due: Duration,
    /// The time from `due` to the response.
    pub latency: Duration,
    /// The outcome.
    pub outcome: Outcome,
}

impl Sample {
    /// Returns whether the request was answered.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { .. })
    }
}

/// The summary of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The number of requests sent.
    pub requests: u64,
    /// The number of answered requests.
    pub answered: u64,
    /// The number of requests answered by a replica.
    pub from_replica: u64,
    /// The number of refused requests that certainly did not run.
    pub not_run: u64,
    /// The number of refused requests that ran.
    pub ran: u64,
    /// The number of refused requests that may have run.
    pub unknown: u64,
    /// The number of requests without a valid response.
    pub failed: u64,
    /// The number of refusals by code, sorted by code.
    pub refusals: Vec<RefusalCount>,
    /// The number of failed requests by reason, sorted by reason.
    pub failures: Vec<FailureCount>,
    /// The latencies of the answered requests, measured from the time at which they were due.
    pub latency_ms: Latencies,
}

/// The number of refusals with one code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalCount {
    /// The code.
    pub code: RefusalCode,
    /// The count.
    pub count: u64,
}

/// The number of failed requests with one reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FailureCount {
    /// The reason.
    pub reason: Arc<str>,
    /// The count.
    pub count: u64,
}

/// Latency quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

impl Latencies {
    /// Computes the quantiles of durations.
    pub fn of(durations: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_max(LATENCY_MAX_MICROS, LATENCY_DIGITS).expect("the bounds are valid");
        for duration in durations {
            histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
        }
        let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: quantile_ms(0.5),
            p90: quantile_ms(0.9),
            p99: quantile_ms(0.99),
            p999: quantile_ms(0.999),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

impl Summary {
    /// Summarises the samples of requests.
    pub fn of<'a>(samples: impl IntoIterator<Item = &'a Sample> + Clone) -> Self {
        let mut summary = Self {
            requests: 0,
            answered: 0,
            from_replica: 0,
            not_run: 0,
            ran: 0,
            unknown: 0,
            failed: 0,
            refusals: Vec::new(),
            failures: Vec::new(),
            latency_ms: Latencies::default(),
        };
        for sample in samples.clone() {
            summary.count(&sample.outcome);
        }
        let answered = samples.into_iter().filter(|sample| sample.is_answered());
        summary.latency_ms = Latencies::of(answered.map(|sample| sample.latency));
        summary
    }

    fn count(&mut self, outcome: &Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Answered { from_replica } => {
                self.answered += 1;
                self.from_replica += u64::from(*from_replica);
            }
            Outcome::Refused(refusal) => {
                match refusal.verdict {
                    Verdict::NotRun => self.not_run += 1,
                    Verdict::Ran => self.ran += 1,
                    Verdict::Unknown => self.unknown += 1,
                }
                self.count_refusal(refusal.code);
            }
            Outcome::Failed(reason) => {
                self.failed += 1;
                self.count_failure(reason);
            }
        }
    }

    fn count_failure(&mut self, reason: &Arc<str>) {
        match self.failures.binary_search_by(|counted| counted.reason.cmp(reason)) {
            Ok(index) => self.failures[index].count += 1,
            Err(index) => self.failures.insert(index, FailureCount { reason: Arc::clone(reason), count: 1 }),
        }
    }

    fn count_refusal(&mut self, code: RefusalCode) {
        match self.refusals.binary_search_by_key(&code, |counted| counted.code) {
            Ok(index) => self.refusals[index].count += 1,
            Err(index) => self.refusals.insert(index, RefusalCount { code, count: 1 }),
        }
    }
}
