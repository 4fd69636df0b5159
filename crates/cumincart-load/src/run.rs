//! Sends the load of one route to given entry instances.

use {
    crate::{
        arrivals::poisson,
        cpu_time::cpu_time_s,
        open_loop,
        report::{NamedSummary, Report},
        session::{Call, Session},
        summary::{Sample, Summary},
    },
    cumincart_protocol::request::Value,
    std::{io, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The base URLs of the entry instances, used round robin.
    pub entries: Vec<Arc<str>>,
    /// The organisation's key; none for an open route.
    pub key: Option<Arc<str>>,
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the route.
    pub route: Arc<str>,
    /// The text arguments of each request.
    pub arguments: Vec<Argument>,
    /// Whether each request gets a unique request id.
    pub request_ids: bool,
    /// The mean rate of requests per second.
    pub rate_per_s: f64,
    /// The duration of the load.
    pub span: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The id of a process whose CPU time is measured: first for one idle span without load, then under load.
    pub process: Option<Arc<str>>,
}

/// A text argument.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Argument {
    /// The name.
    pub name: Arc<str>,
    /// The value; `{id}` is replaced by the request's id.
    pub value: Arc<str>,
}

/// Sends the load and reports its outcomes, latencies and CPU time.
///
/// A warm-up and an idle span come first.
pub async fn run(settings: &RunSettings) -> io::Result<Report> {
    let due = poisson(settings.seed, settings.rate_per_s, settings.span);
    let warm_up = poisson(settings.seed + 1, settings.rate_per_s, settings.span / 5);
    send(settings, &warm_up, "w").await;
    let before_s = measured_cpu_time_s(settings)?;
    sleep(settings.span).await;
    let idle_s = measured_cpu_time_s(settings)? - before_s;
    let before_s = measured_cpu_time_s(settings)?;
    let samples = send(settings, &due, "r").await;
    let busy_s = measured_cpu_time_s(settings)? - before_s;
    let summary = Summary::of(&samples);
    let requests = summary.requests;
    let mut report = Report::new("run", "given entry instances", settings.seed);
    report.add_measure("median", "ms", summary.latency_ms.p50, None, summary.answered);
    report.add_measure("p99", "ms", summary.latency_ms.p99, None, summary.answered);
    report.add_measure("answered", "requests", summary.answered as f64, None, requests);
    if settings.process.is_some() {
        let micros_per_request = |spent_s: f64| spent_s * 1_000_000.0 / requests.max(1) as f64;
        report.add_measure("processor time a request", "µs", micros_per_request(busy_s), None, requests);
        report.add_measure(
            "the same less the idle time",
            "µs",
            micros_per_request(busy_s - idle_s),
            None,
            requests,
        );
        report.add_measure(
            "idle processor time",
            "% of a core",
            100.0 * idle_s / settings.span.as_secs_f64(),
            None,
            1,
        );
    }
    report.runs.push(NamedSummary { name: "all requests".into(), summary });
    Ok(report)
}

fn measured_cpu_time_s(settings: &RunSettings) -> io::Result<f64> {
    settings.process.as_deref().map_or(Ok(0.0), cpu_time_s)
}

async fn send(settings: &RunSettings, due: &[Duration], phase: &str) -> Vec<Sample> {
    let sessions: Vec<Session> =
        settings.entries.iter().map(|_| Session::new(settings.key.as_deref())).collect();
    open_loop::run(due, |index| {
        let entry_index = index % settings.entries.len();
        let (session, entry) = (sessions[entry_index].clone(), Arc::clone(&settings.entries[entry_index]));
        let call = call(settings, format!("{}-{phase}-{index}", settings.seed));
        async move { session.call(&entry, &call).await }
    })
    .await
}

/// Builds the call with this request id, entry_index replaces `{id}` in the values of arguments.
fn call(settings: &RunSettings, id: String) -> Call {
    let value = |text: &str| Value::Text(text.replace("{id}", &id).into());
    let arguments =
        settings.arguments.iter().map(|argument| (argument.name.to_string(), value(&argument.value)));
    Call {
        service: Arc::clone(&settings.service),
        route: Arc::clone(&settings.route),
        arguments: arguments.collect(),
        request_id: settings.request_ids.then_some(id),
    }
}
