//! Metrics as OpenMetrics text.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
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
}

/// The metrics as OpenMetrics text, each with the prefix `cumincart`.
pub fn render(metrics: &[Metric]) -> String {
    let mut registry = Registry::with_prefix("cumincart");
    for metric in metrics {
        match metric.kind {
            MetricKind::Counter => {
                registry.register(metric.name, metric.help, ConstCounter::new(metric.value));
            }
            MetricKind::Gauge => {
                let value = i64::try_from(metric.value).unwrap_or(i64::MAX);
                registry.register(metric.name, metric.help, ConstGauge::new(value));
            }
        }
    }
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string can't fail");
    text
}
