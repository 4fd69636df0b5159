//! Runs the history checks for a range of seeds and prints the violations of each seed.

use {
    clap::{Arg, Command, value_parser},
    cumincart_history::run,
    std::process::ExitCode,
};

/// The maximum number of violations printed for one seed.
const MAX_PRINTED: usize = 5;

fn command() -> Command {
    Command::new("cumincart-history")
        .about("Runs simulations with random faults and checks the recorded histories against the guarantees")
        .arg(seed("from").help("The first seed"))
        .arg(seed("to").help("The seed after the last"))
        .arg(Arg::new("faults").long("faults").num_args(0).help("Print the injected faults of each run"))
        .arg(Arg::new("notes").long("notes").num_args(0).help("Print the log lines of each run"))
}

fn seed(name: &'static str) -> Arg {
    Arg::new(name).required(true).value_parser(value_parser!(u64))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let from: u64 = *matches.get_one("from").expect("the argument is required");
    let to: u64 = *matches.get_one("to").expect("the argument is required");
    let mut failed = 0;
    let mut requests = 0;
    for seed in from..to {
        let run = run(seed, None);
        requests += run.history.requests.len();
        if matches.get_flag("faults") {
            println!("seed {seed}:\n  {}", run.history.faults.join("\n  "));
        }
        if matches.get_flag("notes") {
            println!("  {}", run.history.log_lines.join("\n  "));
        }
        if run.violations.is_empty() {
            continue;
        }
        failed += 1;
        println!("seed {seed}: {} violations", run.violations.len());
        for violation in run.violations.iter().take(MAX_PRINTED) {
            println!("  {:?}: {}", violation.guarantee, violation.details);
        }
    }
    println!("{} seeds with {requests} requests, {failed} seeds with violations", to.saturating_sub(from));
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
