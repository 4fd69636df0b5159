//! Measures the latency of the other organisations while one sends several times its rate.

use {
    super::{
        ExperimentError,
        environment::{Environment, per_cent},
        setup,
    },
    crate::{
        open_loop,
        report::{Baseline, NamedSummary, Report},
        summary::{Latencies, Outcome, Sample, Summary},
        traffic::{ScheduledRequest, TrafficSettings, generate},
    },
    cumincart_fleet::Deployment,
    cumincart_protocol::{
        lists::{Access, Route},
        name::ServiceName,
    },
    cumincart_standin::{group::Group, settings::GroupSettings},
    std::{sync::Arc, time::Duration},
    tokio::sync::{Mutex, Semaphore},
    tokio_postgres::{Client, NoTls},
};

const SPAN: Duration = Duration::from_secs(15);

/// The load factor of the other organisations.
const LOAD: f64 = 0.5;

/// The load factor of the organisation that exceeds its rate.
const NOISY_LOAD: f64 = 5.0;

/// The time of each statement, which makes the endpoint's slots scarce: five slots allow 1,000 statements per second.
const STATEMENT_TIME: Duration = Duration::from_millis(5);

/// Runs the experiment, on those reads of one service that accept no staleness and therefore all go to the primary.
pub async fn run(deployment: Deployment, seed: u64) -> Result<Report, ExperimentError> {
    let name = deployment.name;
    let deployment = Deployment { statement_time: STATEMENT_TIME, ..deployment };
    let environment = Environment::start(deployment.clone(), false).await?;
    let noisy = highest_rate_organisation(&environment);
    let settings = |noisy_load: f64| TrafficSettings {
        seed,
        span: SPAN,
        entries: environment.fleet.entries.len(),
        skewed: false,
        includes_route: fresh_reads_of_first_service,
        load_factors: (0..environment.organisations.len())
            .map(|index| if index == noisy { noisy_load } else { LOAD })
            .collect(),
    };
    let alone_traffic = generate(&environment.organisations, &settings(0.0));
    let noisy_traffic = generate(&environment.organisations, &settings(NOISY_LOAD));
    environment.warm_up(seed, &settings(LOAD)).await;
    let alone = environment.send_traffic(&alone_traffic).await;
    let with_noisy = environment.send_traffic(&noisy_traffic).await;
    let pool = Pool::open(&deployment).await?;
    let pool_alone = pool.send_traffic(&alone_traffic).await;
    let pool_with_noisy = pool.send_traffic(&noisy_traffic).await;
    let mut report = Report::new("fairness", name, seed);
    let way = "one pool for all, first come first served";
    let is_other = |index: usize| index != noisy;
    let system_value = worst_ratio((&alone_traffic, &alone), (&noisy_traffic, &with_noisy), is_other);
    let baseline_value =
        worst_ratio((&alone_traffic, &pool_alone), (&noisy_traffic, &pool_with_noisy), is_other);
    let requests = noisy_traffic.iter().filter(|request| is_other(request.organisation)).count();
    let baseline = Baseline { way, value: baseline_value };
    report.add_measure(
        "worst other organisation's p99 against alone",
        "times",
        system_value,
        Some(baseline),
        requests as u64,
    );
    let p99_ratio = |before: &[Sample], after: &[Sample]| {
        p99(&noisy_traffic, after, is_other) / p99(&alone_traffic, before, is_other)
    };
    let baseline = Baseline { way, value: p99_ratio(&pool_alone, &pool_with_noisy) };
    let system_value = p99_ratio(&alone, &with_noisy);
    report.add_measure(
        "other organisations' p99 together against alone",
        "times",
        system_value,
        Some(baseline),
        requests as u64,
    );
    let unanswered = |samples: &[Sample]| {
        let of_others =
            noisy_traffic.iter().zip(samples).filter(|(request, _)| is_other(request.organisation));
        per_cent(of_others.filter(|(_, sample)| !sample.is_answered()).count(), requests)
    };
    let baseline = Baseline { way, value: unanswered(&pool_with_noisy) };
    report.add_measure(
        "other organisations' requests without an answer",
        "%",
        unanswered(&with_noisy),
        Some(baseline),
        requests as u64,
    );
    for (name, traffic, samples) in [
        ("others alone", &alone_traffic, &alone),
        ("others beside the noisy one", &noisy_traffic, &with_noisy),
        ("pool, others alone", &alone_traffic, &pool_alone),
        ("pool, others beside the noisy one", &noisy_traffic, &pool_with_noisy),
    ] {
        let selected = traffic.iter().zip(samples).filter(|(request, _)| is_other(request.organisation));
        let selected: Vec<Sample> = selected.map(|(_, sample)| sample.clone()).collect();
        report.runs.push(NamedSummary { name: name.into(), summary: Summary::of(&selected) });
    }
    Ok(report)
}

fn fresh_reads_of_first_service(service: &str, route: &Route) -> bool {
    service.ends_with("-1") && route.access == Access::Read && route.max_staleness_ms == 0
}

/// Returns the index of the organisation with the highest rate.
fn highest_rate_organisation(environment: &Environment) -> usize {
    let rates = environment.organisations.iter().enumerate();
    rates.max_by(|a, b| a.1.rate_per_s.total_cmp(&b.1.rate_per_s)).map_or(0, |(index, _)| index)
}

/// Returns the highest ratio of p99 with the noisy organisation to p99 without it, among the organisations that satisfy
/// `counts`.
fn worst_ratio(
    (alone_traffic, alone): (&[ScheduledRequest], &[Sample]),
    (with_noisy_traffic, with_noisy): (&[ScheduledRequest], &[Sample]),
    counts: impl Fn(usize) -> bool,
) -> f64 {
    let organisations =
        alone_traffic.iter().map(|request| request.organisation).max().map_or(0, |last| last + 1);
    let ratio = |index: usize| {
        let before = p99(alone_traffic, alone, |organisation| organisation == index);
        let after = p99(with_noisy_traffic, with_noisy, |organisation| organisation == index);
        if before > 0.0 { after / before } else { 0.0 }
    };
    (0..organisations).filter(|index| counts(*index)).map(ratio).fold(0.0, f64::max)
}

fn p99(traffic: &[ScheduledRequest], samples: &[Sample], counts: impl Fn(usize) -> bool) -> f64 {
    let selected = traffic.iter().zip(samples).filter(|(request, _)| counts(request.organisation));
    Latencies::of(selected.map(|(_, sample)| sample.latency)).p99
}

/// The baseline: a pool of as many connections as the endpoint accepts, shared by all organisations, directly to a
/// primary with the same settings.
struct Pool {
    clients: Arc<Mutex<Vec<Client>>>,
    free: Arc<Semaphore>,
    _group: Group,
}

impl Pool {
    async fn open(deployment: &Deployment) -> Result<Self, ExperimentError> {
        let settings = GroupSettings {
            slots: deployment.slots,
            connection_limit: deployment.connection_limit,
            statement_time: STATEMENT_TIME,
            recording: false,
            ..GroupSettings::new(ServiceName::from("baseline"), &deployment.domains[..1])
        };
        let group = Group::spawn(settings).await.map_err(setup)?;
        let primary = group.primary().ok_or_else(|| setup("the group has no primary"))?;
        let address = primary.address();
        let (host, port) = address.split_once(':').ok_or_else(|| setup("an address has a port"))?;
        let mut clients = Vec::new();
        for _ in 0..deployment.connection_limit {
            let url = format!("host={host} port={port} user=load dbname=load");
            let (client, connection) = tokio_postgres::connect(&url, NoTls).await.map_err(setup)?;
            tokio::spawn(connection);
            clients.push(client);
        }
        let free = Arc::new(Semaphore::new(clients.len()));
        Ok(Self { clients: Arc::new(Mutex::new(clients)), free, _group: group })
    }

    async fn send_traffic(&self, traffic: &[ScheduledRequest]) -> Vec<Sample> {
        let due: Vec<Duration> = traffic.iter().map(|request| request.due).collect();
        open_loop::run(&due, |_| {
            let (clients, free) = (Arc::clone(&self.clients), Arc::clone(&self.free));
            async move {
                let _permit = free.acquire().await.expect("the semaphore is never closed");
                let client = clients.lock().await.pop().expect("there is one permit for each client");
                let result = client.query_typed("SELECT 1", &[]).await;
                clients.lock().await.push(client);
                match result {
                    Ok(_) => Outcome::Answered { from_replica: false },
                    Err(error) => Outcome::Failed(error.to_string().into()),
                }
            }
        })
        .await
    }
}
