//! A control instance is replaced as planned, and afterwards another one loses its disk.

#[path = "../standin-2/fleet.rs"]
mod fleet;

use {
    fleet::{Fleet, Record, Role, configuration, operator_call, put_configuration, version_of},
    std::{
        collections::BTreeMap,
        env,
        path::{Path, PathBuf},
        process::exit,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// `catch_up_s` of the deployment.
const CATCH_UP: Duration = Duration::from_secs(4);

/// `grace_s` of the deployment.
const GRACE: Duration = Duration::from_secs(6);

/// How long after the end of the replaced instance the disk is lost.
const PAUSE: Duration = Duration::from_millis(1_000);

/// How long the operator reads the configuration back: twice `recovery_s` (12) and `stable_window_ms` (5,000) together.
const READ_BACK: Duration = Duration::from_secs(34);

/// Reads the configuration until the given version comes back. Returns whether it did within the time.
fn read_back(fleet: &Fleet, record: &Record, version: u64) -> bool {
    let started = Instant::now();
    let mut last: BTreeMap<String, String> = BTreeMap::new();
    while started.elapsed() < READ_BACK {
        for address in fleet.control_addresses() {
            let answer = operator_call(&address, "GET", "/-/config/get", None);
            let found = answer.as_ref().filter(|answer| answer.status == 200);
            let found = found.and_then(|answer| version_of(&answer.body));
            let text = format!("{:?}, version {found:?}", answer.map(|answer| answer.status));
            if last.insert(address.clone(), text.clone()).as_ref() != Some(&text) {
                record.line(&format!("read from {address}: {text}; the same is not repeated here"));
            }
            if found >= Some(version) {
                return true;
            }
        }
        sleep(Duration::from_millis(200));
    }
    false
}

fn main() {
    let mut arguments = env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("the program is named"));
    let record = Record::create(Path::new(&arguments.next().expect("the record is named")));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let mut fleet = Fleet::new(program, record.clone());
    let ips = ["127.61.0.1", "127.61.0.2", "127.61.0.3"];
    fleet.seeds = ips.iter().map(|ip| format!("{ip}:{}", fleet.ports.control)).collect();
    for (index, ip) in ips.iter().enumerate() {
        fleet.add(&format!("core-{}", index + 1), ip, Role::Control);
        fleet.start(index, true);
    }
    let ack = Duration::from_secs(20);
    if !put_configuration(&fleet.control_addresses(), &configuration(1), ack, &record, "version 1") {
        record.line("the system has not started");
        exit(2);
    }
    sleep(Duration::from_secs(2));
    if has_trouble {
        // The successor of core-1 starts first, at an address of its own and with an empty disk.
        let successor = fleet.add("core-4", "127.61.0.4", Role::Control);
        fleet.start(successor, false);
        sleep(CATCH_UP + Duration::from_millis(500));
        fleet.terminate(0, GRACE);
        sleep(PAUSE);
    }
    if !put_configuration(&fleet.control_addresses(), &configuration(2), ack, &record, "version 2") {
        record.line("version 2 was not acknowledged, so nothing can be read back");
        exit(2);
    }
    if has_trouble {
        // The only loss at this time: core-1 stopped counting when its successor had run for `catch_up_s`.
        fleet.kill(1);
        fleet.wipe(1);
        fleet.start(1, false);
    }
    let is_kept = read_back(&fleet, &record, 2);
    fleet.record_logs(&["voter", "learner", "leads in term", "no longer leads"]);
    drop(fleet);
    if is_kept {
        record.line("held: the acknowledged version 2 was read back");
        exit(0);
    }
    record.line("BROKEN: the acknowledged version 2 was not read back");
    exit(1);
}
