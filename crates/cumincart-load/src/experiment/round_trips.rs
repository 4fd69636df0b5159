//! Measures the endpoint adapter's commands over a network latency, compared with the same statements sent one after
//! another.

use {
    super::{ExperimentError, setup},
    crate::{
        relay::Relay,
        report::{Baseline, Report},
        summary::Latencies,
    },
    cumincart_core::{
        endpoint_command::{Claim, CommandId, ConnectionId, EndpointCommand},
        entry::Input,
    },
    cumincart_protocol::{
        endpoint_sql::STATE_SQL,
        name::{DomainName, ServiceName},
        request::{RequestId, Statement, Value},
    },
    cumincart_runtime::endpoint::{CommandRequest, EndpointLogin, spawn},
    cumincart_standin::{group::Group, settings::GroupSettings},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
    tokio_postgres::{NoTls, types::Type},
};

/// The one-way network latency between two failure domains of Telvara.
const ONE_WAY: Duration = Duration::from_micros(1_500);

/// The number of commands of each kind.
const COMMANDS: i64 = 300;

const INSERT_SQL: &str = "INSERT INTO call (id, caller) VALUES ($1, $2)";
const READ_SQL: &str = "SELECT caller FROM call WHERE id = $1";
const CLAIM_SQL: &str = "INSERT INTO cumincart_claim (organisation, request_id) VALUES ($1, $2)";

/// Runs the experiment.
pub async fn run(seed: u64) -> Result<Report, ExperimentError> {
    let settings = GroupSettings::new(ServiceName::from("pbx"), &[DomainName::from("sofia-a")]);
    let group = Group::spawn(settings).await.map_err(setup)?;
    group
        .execute_on_primary("CREATE TABLE call (id integer PRIMARY KEY, caller text)", Vec::new())
        .map_err(setup)?;
    let primary = group.primary().ok_or_else(|| setup("the group has no primary"))?;
    let relay = Relay::spawn(primary.address(), ONE_WAY).await.map_err(setup)?;
    let (writes, reads) = through_adapter(relay.address()).await?;
    let plain = one_by_one(relay.address()).await?;
    let samples = COMMANDS as u64;
    let mut report = Report::new("round-trips", "telvara", seed);
    report.add_measure("one round trip, median", "ms", plain.trip.p50, None, samples);
    for (kind, adapter_latencies, plain_latencies) in
        [("write with a claim", writes, plain.writes), ("read", reads, plain.reads)]
    {
        let way = "one statement after another";
        let baseline = Baseline { way, value: plain_latencies.p50 };
        report.add_measure(format!("{kind}, median"), "ms", adapter_latencies.p50, Some(baseline), samples);
        let baseline = Baseline { way, value: plain_latencies.p50 / plain.trip.p50 };
        report.add_measure(
            kind,
            "round trips",
            adapter_latencies.p50 / plain.trip.p50,
            Some(baseline),
            samples,
        );
    }
    Ok(report)
}

/// The latencies of statements sent one after another.
struct OneByOne {
    /// A single statement. The relay's timer rounds up, so this is more than twice the one-way delay.
    trip: Latencies,
    writes: Latencies,
    reads: Latencies,
}

/// Measures writes and reads through the adapter, one at a time.
async fn through_adapter(address: Arc<str>) -> Result<(Latencies, Latencies), ExperimentError> {
    let (commands, receiver) = mpsc::unbounded_channel();
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let login = EndpointLogin {
        user: "load".into(),
        password: None,
        database: "pbx".into(),
        connect_timeout: Duration::from_secs(5),
    };
    spawn(ConnectionId(1), address, login, receiver, sender);
    if !matches!(inputs.recv().await, Some(Input::Opened(_))) {
        return Err(setup("the adapter could not connect"));
    }
    let mut durations = [Vec::new(), Vec::new()];
    // The first write creates the table of claims; neither it nor the first read is counted.
    for id in -1..COMMANDS {
        for (index, command) in [write(id), read(id)].into_iter().enumerate() {
            let started = Instant::now();
            let request = CommandRequest { id: CommandId(1), command };
            commands.send(request).map_err(|_| setup("the connection ended"))?;
            match inputs.recv().await {
                Some(Input::CommandEnded(_, _, Ok(_))) if id >= 0 => durations[index].push(started.elapsed()),
                Some(Input::CommandEnded(_, _, Ok(_))) => {}
                other => return Err(setup(format!("an endpoint command failed: {other:?}"))),
            }
        }
    }
    let [writes, reads] = durations;
    Ok((Latencies::of(writes), Latencies::of(reads)))
}

fn write(id: i64) -> EndpointCommand {
    let statement =
        Statement { sql: INSERT_SQL.into(), parameters: vec![Value::Int(id), Value::Text("+359".into())] };
    let claim = Claim { organisation: Some("clinic".into()), request_id: RequestId(id.to_string().into()) };
    EndpointCommand::Write(statement, Some(claim))
}

fn read(id: i64) -> EndpointCommand {
    EndpointCommand::Read(Statement { sql: READ_SQL.into(), parameters: vec![Value::Int(id)] })
}

/// Measures the same statements without the adapter, each sent after the response to the previous one.
async fn one_by_one(address: Arc<str>) -> Result<OneByOne, ExperimentError> {
    let (host, port) = address.split_once(':').ok_or_else(|| setup("an address has a port"))?;
    let url = format!("host={host} port={port} user=load dbname=pbx");
    let (client, connection) = tokio_postgres::connect(&url, NoTls).await.map_err(setup)?;
    tokio::spawn(connection);
    let mut durations = [Vec::new(), Vec::new(), Vec::new()];
    for id in COMMANDS..2 * COMMANDS {
        let request_id = id.to_string();
        let started = Instant::now();
        client.query_typed("BEGIN", &[]).await.map_err(setup)?;
        let claim = [(&"clinic" as _, Type::TEXT), (&request_id as _, Type::TEXT)];
        client.query_typed(CLAIM_SQL, &claim).await.map_err(setup)?;
        let row = [(&id as _, Type::INT8), (&"+359" as _, Type::TEXT)];
        client.query_typed(INSERT_SQL, &row).await.map_err(setup)?;
        client.query_typed("COMMIT", &[]).await.map_err(setup)?;
        client.query_typed(STATE_SQL, &[]).await.map_err(setup)?;
        durations[0].push(started.elapsed());
        let started = Instant::now();
        client.query_typed("BEGIN READ ONLY", &[]).await.map_err(setup)?;
        client.query_typed(STATE_SQL, &[]).await.map_err(setup)?;
        client.query_typed(READ_SQL, &[(&id as _, Type::INT8)]).await.map_err(setup)?;
        client.query_typed("COMMIT", &[]).await.map_err(setup)?;
        durations[1].push(started.elapsed());
        let started = Instant::now();
        client.query_typed(STATE_SQL, &[]).await.map_err(setup)?;
        durations[2].push(started.elapsed());
    }
    let [writes, reads, trips] = durations.map(Latencies::of);
    Ok(OneByOne { trip: trips, writes, reads })
}
