//! Load on given entry instances.

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

/// What to send, and where.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The entry instances' base URLs, used in turn.
    pub entries: Vec<Arc<str>>,
    /// The key, unless the route is open.
    pub key: Option<Arc<str>>,
    /// The service.
    pub service: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// Text arguments by name.
    pub arguments: Vec<Argument>,
    /// Whether each request carries an id of its own.
    pub request_ids: bool,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long.
    pub span: Duration,
    /// Fixes the arrivals.
    pub seed: u64,
    /// The id of a process whose processor time is told; it idles for the same span first.
    pub process: Option<Arc<str>>,
}

/// A text argument.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Argument {
    /// Its name.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// Sends the load and tells what became of it.
pub async fn run(settings: &RunSettings) -> io::Result<Report> {
    let due = poisson(settings.seed, settings.rate_per_s, settings.span);
    let warm_up = poisson(settings.seed + 1, settings.rate_per_s, settings.span / 5);
    send(settings, &warm_up, "w").await;
    let before_s = processor(settings)?;
    sleep(settings.span).await;
    let idle_s = processor(settings)? - before_s;
    let before_s = processor(settings)?;
    let samples = send(settings, &due, "r").await;
    let busy_s = processor(settings)? - before_s;
    let summary = Summary::of(&samples);
    let requests = summary.requests;
    let mut report = Report::new("run", "given entry instances", settings.seed);
    report.add_measure("median", "ms", summary.latency_ms.p50, None, summary.answered);
    report.add_measure("p99", "ms", summary.latency_ms.p99, None, summary.answered);
    report.add_measure("answered", "requests", summary.answered as f64, None, requests);
    if settings.process.is_some() {
        let each_micros = |spent_s: f64| spent_s * 1_000_000.0 / requests.max(1) as f64;
        report.add_measure("processor time a request", "µs", each_micros(busy_s), None, requests);
        report.add_measure("the same less the idle time", "µs", each_micros(busy_s - idle_s), None, requests);
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

fn processor(settings: &RunSettings) -> io::Result<f64> {
    settings.process.as_deref().map_or(Ok(0.0), cpu_time_s)
}

async fn send(settings: &RunSettings, due: &[Duration], phase: &str) -> Vec<Sample> {
    let sessions: Vec<Session> =
        settings.entries.iter().map(|_| Session::new(settings.key.as_deref())).collect();
    open_loop::run(due, |index| {
        let which = index % settings.entries.len();
        let (session, entry) = (sessions[which].clone(), Arc::clone(&settings.entries[which]));
        let call = call(settings, format!("{}-{phase}-{index}", settings.seed));
        async move { session.call(&entry, &call).await }
    })
    .await
}

/// The call with this id; `{id}` in an argument's value stands for it.
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
