//! Stand-ins for the platform, the databases, the operator and the clients, and the cases of the review.

mod client;
mod database;
mod fleet;
mod util;

use {
    client::Client,
    database::{Arrival, Group},
    fleet::{Fleet, ZONES},
    std::{
        process,
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    util::record,
};

/// How long a case may take; `run.sh` is allowed 120 s.
const RUN_LIMIT: Duration = Duration::from_secs(105);

/// How long the platform takes to promote a database, as on the sheets of the small sites.
const PROMOTION_TIME: Duration = Duration::from_millis(1_000);

/// When the platform received the first order to promote another database.
static PROMOTION_ORDERED: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();

const SERVICE: &str = "huvo11a";
const PRIMARY_DATABASE: &str = "lepu270";
const BOUNDED_DATABASE: &str = "xapu221";
const FIRST_KEY: &str = "u6wsjnbanfqasnmgkcuy";
const SECOND_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

/// The outcome of a case.
enum Outcome {
    Held,
    Broken,
    /// The case couldn't run, for the given reason.
    NotRun(String),
}

struct World {
    fleet: Arc<Fleet>,
    group: Arc<Group>,
    has_trouble: bool,
}

fn configuration(version: u32, keys: &[&str], synchronous_replicas: u32) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, host: &str, kind: &str, timeout_ms: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"max_staleness_ms\":1500,\"public\":false,\"home_regions\":[]}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":33,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"sync_replicas\":{synchronous_replicas}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"idle_tx_ms\":3000}},\"tenants\":[{{\"name\":\"nypu920\",\"api_keys\":[{}],\"priority\":1,\"rate_per_s\":123,\"burst\":123,\"home_regions\":[]}}]}}",
        route("r-1", PRIMARY_DATABASE, "primary", 1_000),
        route("r-2", BOUNDED_DATABASE, "bounded_staleness", 3_000),
        keys.join(",")
    )
}

impl World {
    /// Starts everything and waits until statements are served.
    fn start(
        fleet: Arc<Fleet>,
        synchronous_replicas: u32,
        databases: &[(&str, usize)],
    ) -> Result<Self, String> {
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let controls = fleet.control_addresses();
        let locations: Vec<(&str, String, &str)> = databases
            .iter()
            .enumerate()
            .map(|(index, (id, zone))| (*id, fleet.database_address(index), ZONES[*zone].0))
            .collect();
        let group = Group::start(SERVICE, synchronous_replicas, &locations, &controls);
        let platform_group = group.clone();
        util::serve_http(&fleet.cloud_address(), move |request| {
            if request.path != "/promote" {
                return 404;
            }
            let token = request.header("Cumincart-Fence-Token").and_then(|token| token.parse().ok());
            let id = request.field("id").unwrap_or_default();
            let status = platform_group.promote(id, token.unwrap_or_default(), PROMOTION_TIME);
            record(&format!("platform: promote {id} with token {token:?} -> {status}"));
            if status == 200
                && platform_group
                    .lock()
                    .primary
                    .is_none_or(|primary| platform_group.databases[primary].id != id)
            {
                let _ = PROMOTION_ORDERED.set(Instant::now());
            }
            status
        });
        fleet.start();
        let document = configuration(7, &[FIRST_KEY, SECOND_KEY], synchronous_replicas);
        let limit = Duration::from_secs(20);
        util::order(&controls, "POST", "/-/config/put", &document, limit).ok_or("no acknowledgement")?;
        let world = Self { fleet, group, has_trouble };
        for index in 0..3 {
            world.group.announce(index);
        }
        if !world.fleet.await_ready(Duration::from_secs(20)) {
            return Err("the entry instances are not ready".to_owned());
        }
        world.await_service()?;
        Ok(world)
    }

    /// Waits until a write and a read succeed through every entry instance.
    fn await_service(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        for entry in 0..self.fleet.entries.len() {
            for attempt in 0.. {
                if Instant::now() > until {
                    return Err("no statement is served".to_owned());
                }
                let name = format!("warm-up-{entry}-{attempt}");
                if self.serves(entry, &name) {
                    break;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }

    fn serves(&self, entry: usize, name: &str) -> bool {
        let address = self.fleet.front_address(entry);
        let run = |database: &str, id: String, text: &str| {
            let client = Client::connect(name, &address, database, FIRST_KEY);
            let answer = client.ok().and_then(|mut client| client.query(&id, text));
            answer.is_some_and(|answer| answer.result.is_ok())
        };
        run(PRIMARY_DATABASE, format!("w{name}"), "WRITE 1a4 warmup")
            && run(BOUNDED_DATABASE, format!("r{name}"), "READ 1a4")
    }

    fn order(&self, method: &str, path: &str, body: &str) -> Result<Instant, String> {
        let limit = Duration::from_secs(6);
        util::order(&self.fleet.control_addresses(), method, path, body, limit)
            .filter(|response| response.status == 200)
            .ok_or_else(|| format!("{method} {path} was not acknowledged"))?;
        Ok(Instant::now())
    }
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::args().nth(2).expect("the path of the record");
    util::open_record(&path);
    let fleet = Fleet::new();
    let watched = fleet.clone();
    thread::spawn(move || {
        thread::sleep(RUN_LIMIT);
        record("the run took too long");
        watched.stop_all();
        process::exit(2);
    });
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "revoked-key" => revoked_key(fleet.clone()),
        "switchover" => switchover(fleet.clone()),
        "prepared" => prepared(fleet.clone()),
        "foreign-report" => foreign_report(fleet.clone()),
        "line-feed" => line_feed(fleet.clone()),
        _ => Err(format!("unknown case {case}")),
    });
    let outcome = match result {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(reason)) => Outcome::NotRun(reason),
        Err(_) => Outcome::NotRun("the stand-in failed".to_owned()),
    };
    fleet.stop_all();
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule is broken".to_owned(), 1),
        Outcome::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record(&text);
    println!("{case}: {text}");
    process::exit(code);
}

/// A key is taken away while its client has a transaction open. Statements that it sends later than `revoke_ms` after
/// the acknowledgement must not run.
fn revoked_key(fleet: Arc<Fleet>) -> Result<Outcome, String> {
    const REVOKE_MS: u64 = 5_000;
    const PAUSE: Duration = Duration::from_millis(1_500);
    let world = World::start(fleet, 0, &[("i-a", 0), ("i-b", 1), ("i-c", 2)])?;
    let address = world.fleet.front_address(0);
    let mut client = Client::connect("holder", &address, PRIMARY_DATABASE, SECOND_KEY)?;
    let begin = client.query("t0", "BEGIN").ok_or("no answer to BEGIN")?;
    begin.result.map_err(|error| format!("BEGIN failed: {error}"))?;
    let mut sent = Vec::new();
    let mut acknowledged_at = None;
    // With BEGIN and COMMIT a transaction of 12 statements.
    for number in 1..=10 {
        if number == 2 {
            let keys: &[&str] = if world.has_trouble { &[FIRST_KEY] } else { &[FIRST_KEY, SECOND_KEY] };
            let document = configuration(9, keys, 0);
            acknowledged_at = Some(world.order("POST", "/-/config/put", &document)?);
        }
        let id = format!("t{number}");
        let text =
            if number % 2 == 1 { format!("WRITE 2b{number} secret{number}") } else { "READ 1a4".into() };
        sent.push((id.clone(), Instant::now()));
        if client.query(&id, &text).is_none() {
            break;
        }
        thread::sleep(PAUSE);
    }
    sent.push(("t11".to_owned(), Instant::now()));
    client.query("t11", "COMMIT");
    let acknowledged_at = acknowledged_at.ok_or("the configuration was not sent")?;
    // For comparison: a new session, and a new operation, with the same key.
    let refusal = Client::connect("newcomer", &address, PRIMARY_DATABASE, SECOND_KEY).err();
    record(&format!("a new session with the key gets {refusal:?}"));
    let bound = acknowledged_at + Duration::from_millis(REVOKE_MS);
    let state = world.group.lock();
    let mut broken = 0;
    for (id, sent_at) in &sent {
        let ran = state.arrivals.iter().any(|arrival| arrival.id == *id && arrival.error.is_none());
        if *sent_at > bound && ran {
            let late_ms = sent_at.duration_since(acknowledged_at).as_millis();
            record(&format!("{id} was sent {late_ms} ms after the acknowledgement and ran"));
            broken += 1;
        }
    }
    if world.has_trouble && refusal.is_none() {
        return Err("the key still opens sessions, so the configuration is not in force".to_owned());
    }
    Ok(if world.has_trouble && broken > 0 { Outcome::Broken } else { Outcome::Held })
}

/// The primary of a service with `sync_replicas` 1 is moved out of an evacuated zone while clients commit open
/// transactions. Each acknowledged commit must be in the log of the database that is promoted.
fn switchover(fleet: Arc<Fleet>) -> Result<Outcome, String> {
    const SESSIONS: u32 = 24;
    // The primary i-a and its replica i-b are in the zone that is evacuated.
    let world = World::start(fleet, 1, &[("i-a", 0), ("i-b", 0), ("i-c", 1)])?;
    let group = world.group.clone();
    let mut clients = Vec::new();
    for number in 0..SESSIONS {
        let entry = number as usize % 3;
        let name = format!("client-{number}");
        let address = world.fleet.front_address(entry);
        let mut client = Client::connect(&name, &address, PRIMARY_DATABASE, FIRST_KEY)?;
        let begin = client.query(&format!("b{number}"), "BEGIN").ok_or("no answer to BEGIN")?;
        begin.result.map_err(|error| format!("BEGIN failed: {error}"))?;
        let text = format!("WRITE 3c{number} call{number}");
        let write = client.query(&format!("w{number}"), &text).ok_or("no answer to WRITE")?;
        write.result.map_err(|error| format!("WRITE failed: {error}"))?;
        clients.push((number, client));
    }
    let started_at = Instant::now();
    if world.has_trouble {
        world.order("POST", &format!("/-/evacuations/{}/start", ZONES[0].0), "")?;
    }
    // The commits come 10 ms apart, the middle ones about when the promotion takes place.
    let middle = if world.has_trouble {
        loop {
            if let Some(ordered_at) = PROMOTION_ORDERED.get() {
                break *ordered_at + PROMOTION_TIME;
            }
            if started_at.elapsed() > Duration::from_millis(1_800) {
                return Err("no promotion was ordered in time".to_owned());
            }
            thread::sleep(Duration::from_millis(1));
        }
    } else {
        started_at + Duration::from_millis(1_500)
    };
    let threads: Vec<_> = clients
        .into_iter()
        .map(|(number, mut client)| {
            let at =
                middle + Duration::from_millis(10) * number - Duration::from_millis(10) * SESSIONS * 2 / 3;
            thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("c{number}");
                let answer = client.query(&id, "COMMIT");
                answer.and_then(|answer| answer.result.ok()).map(|proof| (id, proof))
            })
        })
        .collect();
    let confirmed: Vec<(String, String)> =
        threads.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect();
    thread::sleep(Duration::from_secs(2));
    let state = group.lock();
    record(&format!("{} of {SESSIONS} commits were confirmed to their clients", confirmed.len()));
    if world.has_trouble && state.promotions.is_empty() {
        return Err("no database was promoted".to_owned());
    }
    let mut broken = 0;
    for (id, proof) in &confirmed {
        let is_lost = !state.log.iter().any(|commit| commit.id == *id);
        if is_lost {
            record(&format!("commit {id} was confirmed to its client as {proof} and is not in the log"));
            broken += 1;
        }
    }
    Ok(if broken > 0 { Outcome::Broken } else { Outcome::Held })
}

/// A primary is moved by an evacuation while a client has a transaction open on it, and the zone is taken back. A prepared
/// name whose preparing was acknowledged must be known wherever it is executed.
fn prepared(fleet: Arc<Fleet>) -> Result<Outcome, String> {
    const EXECUTIONS: u32 = 20;
    let world = World::start(fleet, 0, &[("i-a", 0), ("i-b", 1), ("i-c", 2)])?;
    let address = world.fleet.front_address(0);
    let mut client = Client::connect("first", &address, PRIMARY_DATABASE, FIRST_KEY)?;
    for (id, text) in [("p0", "PREPARE s1 READ q2c"), ("p1", "BEGIN"), ("p2", "READ 1a4")] {
        let answer = client.query(id, text).ok_or("no answer")?;
        answer.result.map_err(|error| format!("{text} failed: {error}"))?;
    }
    if world.has_trouble {
        world.order("POST", &format!("/-/evacuations/{}/start", ZONES[0].0), "")?;
    }
    let started_at = Instant::now();
    while world.group.lock().promotions.is_empty() && started_at.elapsed() < Duration::from_millis(2_000) {
        thread::sleep(Duration::from_millis(10));
    }
    if world.has_trouble && world.group.lock().promotions.is_empty() {
        return Err("the primary was not moved in time".to_owned());
    }
    client.query("p3", "EXECUTE s1 1a4");
    client.query("p4", "ROLLBACK");
    drop(client);
    if world.has_trouble {
        thread::sleep(Duration::from_secs(2));
        world.order("POST", &format!("/-/evacuations/{}/end", ZONES[0].0), "")?;
    }
    thread::sleep(Duration::from_secs(2));
    let mut client = Client::connect("second", &address, BOUNDED_DATABASE, FIRST_KEY)?;
    let prepared = client.query("q0", "PREPARE s1 READ q2c").ok_or("no answer to PREPARE")?;
    prepared.result.map_err(|error| format!("PREPARE failed: {error}"))?;
    let mut refused = 0;
    for number in 1..=EXECUTIONS {
        let answer = client.query(&format!("q{number}"), "EXECUTE s1 1a4").ok_or("no answer to EXECUTE")?;
        refused += u32::from(answer.result.is_err());
        thread::sleep(Duration::from_millis(100));
    }
    let state = world.group.lock();
    let is_unknown = |arrival: &&Arrival| {
        arrival.id.starts_with('q')
            && arrival.error.as_deref().is_some_and(|error| error.starts_with("NOSTMT"))
    };
    let unknown = state.arrivals.iter().filter(is_unknown).count();
    record(&format!(
        "the prepared name was unknown {unknown} times; {refused} of {EXECUTIONS} executions were refused"
    ));
    Ok(if unknown > 0 { Outcome::Broken } else { Outcome::Held })
}

/// A client writes data that contains a line feed. Lines end with CR LF, so it is a part of the statement's last field.
fn line_feed(fleet: Arc<Fleet>) -> Result<Outcome, String> {
    let world = World::start(fleet, 0, &[("i-a", 0), ("i-b", 1), ("i-c", 2)])?;
    let address = world.fleet.front_address(0);
    let separator = if world.has_trouble { "\n" } else { " " };
    let notes = [
        ("u1", format!("WRITE 4d1 caller asks for{separator}a call back")),
        ("u2", format!("WRITE 4d2 caller said{separator}QUERY u9 WRITE 4d3 paid")),
    ];
    for (id, text) in &notes {
        let mut client = Client::connect("writer", &address, PRIMARY_DATABASE, FIRST_KEY)?;
        client.query(id, text);
        thread::sleep(Duration::from_millis(500));
    }
    let state = world.group.lock();
    let mut broken = 0;
    for arrival in state.arrivals.iter().filter(|arrival| arrival.id.starts_with('u')) {
        let sent = notes.iter().find(|(id, _)| *id == arrival.id).map(|(_, text)| text.as_str());
        if sent != Some(arrival.text.as_str()) && arrival.error.is_none() {
            record(&format!("{} ran as {:?}; the client sent {sent:?}", arrival.id, arrival.text));
            broken += 1;
        }
    }
    Ok(if broken > 0 { Outcome::Broken } else { Outcome::Held })
}

/// A status report of a service that the configuration doesn't name arrives, with the address of the primary, which
/// then drains. Statements must not reach it later than `drain_ms` after its report was acknowledged.
fn foreign_report(fleet: Arc<Fleet>) -> Result<Outcome, String> {
    const DRAIN_MS: u64 = 7_000;
    let world = World::start(fleet, 0, &[("i-a", 0), ("i-b", 1), ("i-c", 2)])?;
    let address = world.fleet.front_address(0);
    if world.has_trouble {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let body = format!(
            "{{\"service\":\"kafi81c\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_left_ms\":0,\"db_role\":\"replica\",\"seq_no\":1,\"born\":{born}}}",
            world.group.databases[0].address, ZONES[0].0
        );
        let controls = world.fleet.control_addresses();
        let path = "/-/instances/i-7f3a91c2/heartbeat";
        util::order(&controls, "POST", path, &body, Duration::from_secs(5))
            .ok_or("no answer to the report")?;
    }
    thread::sleep(Duration::from_secs(2));
    world.group.drain(0);
    let started_at = Instant::now();
    let mut client = Client::connect("writer", &address, PRIMARY_DATABASE, FIRST_KEY)?;
    let mut number = 0;
    while started_at.elapsed() < Duration::from_millis(DRAIN_MS + 3_000) {
        number += 1;
        if client.query(&format!("d{number}"), &format!("WRITE 5e{number} call{number}")).is_none() {
            client = Client::connect("writer", &address, PRIMARY_DATABASE, FIRST_KEY)?;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let acknowledged_at = *world.group.databases[0].drain_acknowledged_at.lock().unwrap();
    let acknowledged_at = acknowledged_at.ok_or("the report that the primary drains was not acknowledged")?;
    let bound = acknowledged_at + Duration::from_millis(DRAIN_MS);
    let state = world.group.lock();
    let late = state.arrivals.iter().filter(|arrival| arrival.database == 0 && arrival.at > bound).count();
    record(&format!("{late} statements reached i-a later than {DRAIN_MS} ms after the acknowledgement"));
    Ok(if late > 0 { Outcome::Broken } else { Outcome::Held })
}
