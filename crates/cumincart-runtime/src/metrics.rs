//! Metrics as OpenMetrics text.

use {
    prometheus_client::{
        encoding::text::encode,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// The media type of the text that [`render`] gives.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether a metric only grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only grows while the process runs.
    Counter,
    /// May go up and down.
    Gauge,
}

/// A label of a metric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Label {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

impl Label {
    /// A label.
    pub fn new(name: &'static str, value: impl Into<String>) -> Self {
        Self { name, value: value.into() }
    }
}

/// One value to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metric {
    /// Its name, without the common prefix and without a counter's `_total`.
    pub name: &'static str,
    /// What it counts, as a sentence without its full stop.
    pub help: &'static str,
    /// Whether it only grows.
    pub kind: MetricKind,
    /// Its value.
    pub value: u64,
    /// What tells it from others of its name.
    pub label: Option<Label>,
}

impl Metric {
    /// A metric that only grows while the process runs.
    pub fn counter(name: &'static str, help: &'static str, value: u64) -> Self {
        Self { name, help, kind: MetricKind::Counter, value, label: None }
    }

    /// A metric that may go up and down.
    pub fn gauge(name: &'static str, help: &'static str, value: u64) -> Self {
        Self { name, help, kind: MetricKind::Gauge, value, label: None }
    }

    /// The same metric with a label.
    #[must_use]
    pub fn with(mut self, label: Label) -> Self {
        self.label = Some(label);
        self
    }

    fn labels(&self) -> Vec<(&'static str, String)> {
        self.label.iter().map(|label| (label.name, label.value.clone())).collect()
    }
}

type Labels = Vec<(&'static str, String)>;

/// The metrics as OpenMetrics text, each with the prefix `cumincart`. Metrics that share a name differ in their label.
pub fn render(metrics: &[Metric]) -> String {
    let mut registry = Registry::with_prefix("cumincart");
    let mut names: Vec<&'static str> = Vec::new();
    for metric in metrics {
        let Err(index) = names.binary_search(&metric.name) else { continue };
        names.insert(index, metric.name);
        let same_name = metrics.iter().filter(|other| other.name == metric.name);
        register(&mut registry, metric, same_name);
    }
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string can't fail");
    text
}

fn register<'a>(registry: &mut Registry, first: &Metric, same_name: impl Iterator<Item = &'a Metric>) {
    match first.kind {
        MetricKind::Counter => {
            let family = Family::<Labels, Counter<u64, AtomicU64>>::default();
            for metric in same_name {
                family.get_or_create(&metric.labels()).inc_by(metric.value);
            }
            registry.register(first.name, first.help, family);
        }
        MetricKind::Gauge => {
            let family = Family::<Labels, Gauge<u64, AtomicU64>>::default();
            for metric in same_name {
                family.get_or_create(&metric.labels()).set(metric.value);
            }
            registry.register(first.name, first.help, family);
        }
    }
}
