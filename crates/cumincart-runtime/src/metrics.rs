//! Metrics in the OpenMetrics text format.

use {
    prometheus_client::{
        encoding::text::encode,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// The media type of the text that [`render`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only increases while the process runs.
    Counter,
    /// May increase and decrease.
    Gauge,
}

/// A label of a metric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Label {
    /// The name of the label.
    pub name: &'static str,
    /// The value of the label.
    pub value: String,
}

impl Label {
    /// Creates a label.
    pub fn new(name: &'static str, value: impl Into<String>) -> Self {
        Self { name, value: value.into() }
    }
}

/// A value of a metric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metric {
    /// The name, without the common prefix and without the suffix `_total` of a counter.
    pub name: &'static str,
    /// The help text: a sentence without a full stop.
    pub help: &'static str,
    /// The type of the metric.
    pub kind: MetricKind,
    /// The value.
    pub value: u64,
    /// The label that distinguishes it from other metrics of the same name.
    pub label: Option<Label>,
}

impl Metric {
    /// Creates a counter.
    pub fn counter(name: &'static str, help: &'static str, value: u64) -> Self {
        Self { name, help, kind: MetricKind::Counter, value, label: None }
    }

    /// Creates a gauge.
    pub fn gauge(name: &'static str, help: &'static str, value: u64) -> Self {
        Self { name, help, kind: MetricKind::Gauge, value, label: None }
    }

    /// Returns the metric with a label.
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

/// Renders metrics as OpenMetrics text, each with the prefix `cumincart`. Metrics with the same name must differ in
/// their label.
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
