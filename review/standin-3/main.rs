//! Stand-ins for the cases of the third review: clients, databases, the operator and the platform, and the scenarios.
//! Usage: standin SCENARIO FOLDER. Writes FOLDER/record.txt. Ends with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With TROUBLE=0 the disruption is left out.

mod clients;
mod fleet;
mod group;
mod http;
mod scenarios;

use std::{
    env, fs,
    io::Write,
    path::PathBuf,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

pub fn since_start_ms() -> u128 {
    START.get().map_or(0, |start| start.elapsed().as_millis())
}

pub fn at_ms(instant: Instant) -> u128 {
    START.get().map_or(0, |start| instant.saturating_duration_since(*start).as_millis())
}

/// Adds a line to the record.
pub fn record(line: &str) {
    let line = format!("{:>7} ms  {line}", since_start_ms());
    RECORD.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(line);
}

fn write_record() {
    let Some(folder) = FOLDER.get() else { return };
    let lines = RECORD.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).join("\n");
    if let Ok(mut file) = fs::File::create(folder.join("record.txt")) {
        let _ = writeln!(file, "{lines}");
    }
}

/// The payload of the panic that ends a run which can't go on.
struct CannotRun;

/// Ends the run because the case can't run. Called by the main thread, whose processes end as it unwinds.
pub fn cannot_run(why: &str) -> ! {
    record(&format!("the case can't run: {why}"));
    std::panic::panic_any(CannotRun)
}

fn main() {
    START.set(Instant::now()).expect("set once");
    let arguments: Vec<String> = env::args().collect();
    let (Some(scenario), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin SCENARIO FOLDER");
        std::process::exit(2);
    };
    FOLDER.set(folder.into()).expect("set once");
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record(&format!("scenario {scenario}, trouble: {has_trouble}"));
    std::panic::set_hook(Box::new(|information| record(&format!("panic: {information}"))));
    let Ok(result) = std::panic::catch_unwind(|| scenarios::run(scenario, has_trouble)) else {
        write_record();
        println!("could not run");
        std::process::exit(2);
    };
    record(if result { "the rule held" } else { "the rule was broken" });
    write_record();
    println!("{}", if result { "held" } else { "broken" });
    std::process::exit(if result { 0 } else { 1 });
}
