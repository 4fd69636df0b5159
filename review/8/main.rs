//! A status report of another writer, with fields missing, arrives with the address of the primary, which then drains.

#[path = "../standin/client.rs"]
mod client;
#[allow(dead_code, reason = "the case uses a part of it")]
#[path = "../standin/database.rs"]
mod database;
#[path = "../standin/fleet.rs"]
mod fleet;
#[path = "../standin/util.rs"]
mod util;
#[path = "../standin-2/world.rs"]
mod world;

use {
    client::Client,
    fleet::{Fleet, ZONES},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    util::record,
    world::{FIRST_KEY, Outcome, PRIMARY_DATABASE, SERVICE, World, run_case},
};

/// `drain_ms` of the deployment.
const DRAIN_MS: u64 = 7_000;

/// Statements must not reach the primary later than `drain_ms` after its report was acknowledged.
fn incomplete_report(fleet: Arc<Fleet>) -> Result<Outcome, String> {
    let world = World::start(fleet, 0, &[("i-a", 0), ("i-b", 1), ("i-c", 2)])?;
    let address = world.fleet.front_address(0);
    if world.has_trouble {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        // `version`, `cold_left_ms` and `db_role` are missing.
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":3,\"state\":\"ready\",\"seq_no\":1,\"born\":{born}}}",
            world.group.databases[0].address, ZONES[0].0
        );
        let controls = world.fleet.control_addresses();
        let path = "/-/instances/i-7f3a91c2/heartbeat";
        let answer = util::order(&controls, "POST", path, &body, Duration::from_secs(5));
        let status = answer.ok_or("no answer to the report")?.status;
        record(&format!("the report {body} is answered with {status}"));
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

fn main() {
    run_case(incomplete_report);
}
