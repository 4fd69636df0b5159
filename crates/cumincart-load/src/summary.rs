//! What became of the requests of a run.

use {
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        verdict::Verdict,
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{sync::Arc, time::Duration},
};

/// The greatest latency that is told apart, in microseconds.
const LATENCY_MAX_MICROS: u64 = 600_000_000;

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// Whether a replica served it.
        from_replica: bool,
    },
    /// It was refused, or its outcome is not known.
    Refused(Refusal),
    /// The entry instance gave no answer that can be read, for this reason.
    Failed(Arc<str>),
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// When it was due, from the start of the run.
    pub due: Duration,
    /// From then to its answer.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

impl Sample {
    /// Whether it was answered.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { .. })
    }
}

/// The numbers of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Requests that were due.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Answers that a replica gave.
    pub from_replica: u64,
    /// Requests that surely did not run.
    pub not_run: u64,
    /// Requests that ran and were refused all the same.
    pub ran: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a readable answer.
    pub failed: u64,
    /// How often each code was given, in the order of the codes.
    pub refusals: Vec<RefusalCount>,
    /// How often requests failed for each reason, in the order of the reasons.
    pub failures: Vec<FailureCount>,
    /// Latencies of the answered requests, from their due times.
    pub latency_ms: Latencies,
}

/// How often a refusal was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalCount {
    /// Its code.
    pub code: RefusalCode,
    /// How often.
    pub count: u64,
}

/// How often requests failed for a reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FailureCount {
    /// The reason.
    pub reason: Arc<str>,
    /// How often.
    pub count: u64,
}

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// The median.
    pub p50: f64,
    /// Nine in ten are below.
    pub p90: f64,
    /// 99 in a hundred are below.
    pub p99: f64,
    /// 999 in a thousand are below.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Latencies {
    /// The quantiles of some durations.
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
    /// The numbers of some requests.
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
