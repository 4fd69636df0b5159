//! Measures the latency and CPU time that an entry instance adds to a direct connection to an endpoint.

use {
    super::{ExperimentError, environment::Environment, setup},
    crate::{
        arrivals::poisson,
        cpu_time::cpu_time_s,
        open_loop,
        report::{Baseline, NamedSummary, Report},
        session::{Call, Session},
        summary::{Outcome, Sample, Summary},
    },
    cumincart_core::{
        endpoint_command::{CommandId, ConnectionId, EndpointCommand},
        entry::Input,
    },
    cumincart_fleet::Deployment,
    cumincart_protocol::request::{Statement, Value},
    cumincart_runtime::endpoint::{CommandRequest, EndpointLogin, spawn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{Mutex, mpsc},
};

const SPAN: Duration = Duration::from_secs(10);
const RATE_PER_S: f64 = 200.0;
const WARM_UP: Duration = Duration::from_secs(2);

/// The number of direct connections.
const CONNECTIONS: usize = 5;

/// Runs the experiment with the deployment's open read, which needs no key and has no rate limit.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let read = OpenRead::of(name);
    let environment = Environment::start(deployment, false).await?;
    let due = poisson(seed, RATE_PER_S, SPAN);
    let warm_up = poisson(seed + 1, RATE_PER_S, WARM_UP);
    let entry: Arc<str> = environment.fleet.entries[0].url().into();
    read_through_entry(&entry, &read, &warm_up).await;
    let (idle_cpu_s, ()) = cpu_during(async { tokio::time::sleep(SPAN).await }).await?;
    let (entry_cpu_s, entry_samples) = cpu_during(read_through_entry(&entry, &read, &due)).await?;
    let database = environment.fleet.groups[0].group.databases().nth(1).ok_or_else(|| setup("no replica"))?;
    let direct = Direct::open(database.address()).await?;
    read_directly(&direct, &read, &warm_up).await;
    let (direct_cpu_s, direct_samples) = cpu_during(read_directly(&direct, &read, &due)).await?;
    let mut report = Report::new("overhead", name, seed);
    let (entry_summary, direct_summary) = (Summary::of(&entry_samples), Summary::of(&direct_samples));
    let samples = entry_summary.answered;
    let way = "straight to an endpoint";
    for (quantile, entry_ms, direct_ms) in [
        ("median", entry_summary.latency_ms.p50, direct_summary.latency_ms.p50),
        ("p99", entry_summary.latency_ms.p99, direct_summary.latency_ms.p99),
    ] {
        report.add_measure(quantile, "ms", entry_ms, Some(Baseline { way, value: direct_ms }), samples);
        report.add_measure(format!("added, {quantile}"), "ms", entry_ms - direct_ms, None, samples);
    }
    let micros_per_request = |cpu_s: f64| (cpu_s - idle_cpu_s) * 1_000_000.0 / due.len() as f64;
    let baseline = Baseline { way, value: micros_per_request(direct_cpu_s) };
    report.add_measure(
        "processor time a request, whole process less its idle time",
        "µs",
        micros_per_request(entry_cpu_s),
        Some(baseline),
        due.len() as u64,
    );
    report.runs.push(NamedSummary { name: "through an entry instance".into(), summary: entry_summary });
    report.runs.push(NamedSummary { name: way.into(), summary: direct_summary });
    Ok(report)
}

/// The open read of a deployment, as a call and as a statement.
struct OpenRead {
    call: Call,
    statement: Statement,
}

impl OpenRead {
    fn of(deployment: &str) -> Self {
        let (service, route, arguments, sql, parameters) = match deployment {
            "telvara" => (
                "pbx-organisations-1",
                "emergency-number",
                vec![("region".to_owned(), Value::Text("plovdiv".into()))],
                "select number from emergency_numbers where region = $1",
                vec![Value::Text("plovdiv".into())],
            ),
            _ => (
                "listings-ledger-1",
                "catalogue",
                Vec::new(),
                "select listing, title, price_cents from listings order by listing limit 100",
                Vec::new(),
            ),
        };
        let call = Call { service: service.into(), route: route.into(), arguments, request_id: None };
        Self { call, statement: Statement { sql: sql.into(), parameters } }
    }
}

async fn read_through_entry(entry: &Arc<str>, read: &OpenRead, due: &[Duration]) -> Vec<Sample> {
    let session = Session::new(None);
    open_loop::run(due, |_| {
        let (session, entry, call) = (session.clone(), Arc::clone(entry), read.call.clone());
        async move { session.call(&entry, &call).await }
    })
    .await
}

/// Direct connections of the endpoint adapter, each used by one request at a time.
struct Direct {
    connections: Vec<Arc<Mutex<Connection>>>,
}

struct Connection {
    commands: mpsc::UnboundedSender<CommandRequest>,
    inputs: mpsc::UnboundedReceiver<Input>,
}

impl Direct {
    async fn open(address: Arc<str>) -> Result<Self, ExperimentError> {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let (commands, receiver) = mpsc::unbounded_channel();
            let (sender, mut inputs) = mpsc::unbounded_channel();
            let login = EndpointLogin {
                user: "load".into(),
                password: None,
                database: "load".into(),
                connect_timeout: Duration::from_secs(5),
            };
            spawn(ConnectionId(0), Arc::clone(&address), login, receiver, sender);
            if !matches!(inputs.recv().await, Some(Input::Opened(_))) {
                return Err(setup("the endpoint could not be reached"));
            }
            connections.push(Arc::new(Mutex::new(Connection { commands, inputs })));
        }
        Ok(Self { connections })
    }
}

async fn read_directly(direct: &Direct, read: &OpenRead, due: &[Duration]) -> Vec<Sample> {
    open_loop::run(due, |index| {
        let connection = Arc::clone(&direct.connections[index % CONNECTIONS]);
        let command = EndpointCommand::Read(read.statement.clone());
        async move {
            let mut connection = connection.lock().await;
            if connection.commands.send(CommandRequest { id: CommandId(0), command }).is_err() {
                return Outcome::Failed("the connection has ended".into());
            }
            match connection.inputs.recv().await {
                Some(Input::CommandEnded(_, _, Ok(_))) => Outcome::Answered { from_replica: true },
                other => Outcome::Failed(format!("{other:?}").into()),
            }
        }
    })
    .await
}

/// Runs a future and returns the CPU time in seconds that this process used meanwhile, scaled to [`SPAN`].
async fn cpu_during<T>(future: impl Future<Output = T>) -> Result<(f64, T), ExperimentError> {
    let (started, before_s) = (Instant::now(), cpu_time_s("self").map_err(setup)?);
    let result = future.await;
    let spent_s = cpu_time_s("self").map_err(setup)? - before_s;
    let scale = SPAN.as_secs_f64() / started.elapsed().as_secs_f64();
    Ok((spent_s * scale, result))
}
