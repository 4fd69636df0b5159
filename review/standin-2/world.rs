//! The platform and a small deployment around the programs, and the frame of a case.

#![allow(dead_code, reason = "each case uses a part of it")]

use {
    crate::{
        client::Client,
        database::Group,
        fleet::{Fleet, ZONES},
        util::{self, record},
    },
    std::{
        process,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// How long a case may take; `run.sh` is allowed 120 s.
const RUN_LIMIT: Duration = Duration::from_secs(105);

/// How long the platform takes to promote a database, as on the sheets of the small sites.
const PROMOTION_TIME: Duration = Duration::from_millis(1_000);

/// When the platform received the first order to promote another database.
pub static PROMOTION_ORDERED: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();

pub const SERVICE: &str = "huvo11a";
pub const PRIMARY_DATABASE: &str = "lepu270";
pub const BOUNDED_DATABASE: &str = "xapu221";
pub const FIRST_KEY: &str = "u6wsjnbanfqasnmgkcuy";
pub const SECOND_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    /// The case couldn't run, for the given reason.
    NotRun(String),
}

pub struct World {
    pub fleet: Arc<Fleet>,
    pub group: Arc<Group>,
    pub has_trouble: bool,
}

pub fn configuration(version: u32, keys: &[&str], synchronous_replicas: u32) -> String {
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
    pub fn start(
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

    pub fn order(&self, method: &str, path: &str, body: &str) -> Result<Instant, String> {
        let limit = Duration::from_secs(6);
        util::order(&self.fleet.control_addresses(), method, path, body, limit)
            .filter(|response| response.status == 200)
            .ok_or_else(|| format!("{method} {path} was not acknowledged"))?;
        Ok(Instant::now())
    }
}

/// Runs a case, ends all processes and exits with the outcome.
pub fn run_case(case: impl FnOnce(Arc<Fleet>) -> Result<Outcome, String> + std::panic::UnwindSafe) {
    let path = std::env::args().nth(1).expect("the path of the record");
    util::open_record(&path);
    let fleet = Fleet::new();
    let watched = fleet.clone();
    thread::spawn(move || {
        thread::sleep(RUN_LIMIT);
        record("the run took too long");
        watched.stop_all();
        process::exit(2);
    });
    let used = std::panic::AssertUnwindSafe(fleet.clone());
    let result = std::panic::catch_unwind(move || {
        let used = used;
        case(used.0)
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
    println!("{text}");
    process::exit(code);
}
