//! What the way through an entry instance adds to the way straight to an endpoint.

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

/// Connections that the direct way keeps open.
const CONNECTIONS: usize = 5;

/// Runs the experiment: the deployment's open read, which needs no key and has no rate.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let read = OpenRead::of(name);
    let environment = Environment::start(deployment, false).await?;
    let due = poisson(seed, RATE_PER_S, SPAN);
    let warm_up = poisson(seed + 1, RATE_PER_S, WARM_UP);
    let entry: Arc<str> = environment.fleet.entries[0].url().into();
    through_entry(&entry, &read, &warm_up).await;
    let (idle_cpu_s, ()) = cpu_during(async { tokio::time::sleep(SPAN).await }).await?;
    let (entry_cpu_s, through) = cpu_during(through_entry(&entry, &read, &due)).await?;
    let database = environment.fleet.groups[0].group.databases().nth(1).ok_or_else(|| setup("no replica"))?;
    let direct = Direct::open(database.address()).await?;
    straight(&direct, &read, &warm_up).await;
    let (direct_cpu_s, straight) = cpu_during(straight(&direct, &read, &due)).await?;
    let mut report = Report::new("overhead", name, seed);
    let (ours, theirs) = (Summary::of(&through), Summary::of(&straight));
    let samples = ours.answered;
    let way = "straight to an endpoint";
    for (quantile, ours, theirs) in [
        ("median", ours.latency_ms.p50, theirs.latency_ms.p50),
        ("p99", ours.latency_ms.p99, theirs.latency_ms.p99),
    ] {
        report.add_measure(quantile, "ms", ours, Some(Baseline { way, value: theirs }), samples);
        report.add_measure(format!("added, {quantile}"), "ms", ours - theirs, None, samples);
    }
    let each = |cpu_s: f64| (cpu_s - idle_cpu_s) * 1_000_000.0 / due.len() as f64;
    let baseline = Baseline { way, value: each(direct_cpu_s) };
    report.add_measure(
        "processor time a request, whole process less its idle time",
        "µs",
        each(entry_cpu_s),
        Some(baseline),
        due.len() as u64,
    );
    report.runs.push(NamedSummary { name: "through an entry instance".into(), summary: ours });
    report.runs.push(NamedSummary { name: way.into(), summary: theirs });
    Ok(report)
}

/// The deployment's open read as a call and as a statement.
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

async fn through_entry(entry: &Arc<str>, read: &OpenRead, due: &[Duration]) -> Vec<Sample> {
    let session = Session::new(None);
    open_loop::run(due, |_| {
        let (session, entry, call) = (session.clone(), Arc::clone(entry), read.call.clone());
        async move { session.call(&entry, &call).await }
    })
    .await
}

/// A few connections of the endpoint adapter, each used by one request at a time.
struct Direct {
    connections: Vec<Arc<Mutex<Connection>>>,
}

struct Connection {
    orders: mpsc::UnboundedSender<CommandRequest>,
    inputs: mpsc::UnboundedReceiver<Input>,
}

impl Direct {
    async fn open(address: Arc<str>) -> Result<Self, ExperimentError> {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let (orders, receiver) = mpsc::unbounded_channel();
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
            connections.push(Arc::new(Mutex::new(Connection { orders, inputs })));
        }
        Ok(Self { connections })
    }
}

async fn straight(direct: &Direct, read: &OpenRead, due: &[Duration]) -> Vec<Sample> {
    open_loop::run(due, |index| {
        let connection = Arc::clone(&direct.connections[index % CONNECTIONS]);
        let work = EndpointCommand::Read(read.statement.clone());
        async move {
            let mut connection = connection.lock().await;
            if connection.orders.send(CommandRequest { id: CommandId(0), command: work }).is_err() {
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

/// The processor time that this process spent meanwhile, in seconds, over the span of an experiment.
async fn cpu_during<T>(work: impl Future<Output = T>) -> Result<(f64, T), ExperimentError> {
    let (begun, before_s) = (Instant::now(), cpu_time_s("self").map_err(setup)?);
    let result = work.await;
    let spent_s = cpu_time_s("self").map_err(setup)? - before_s;
    let stretch = SPAN.as_secs_f64() / begun.elapsed().as_secs_f64();
    Ok((spent_s * stretch, result))
}
