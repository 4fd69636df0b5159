//! Measures how long it takes to read and validate both lists at a given size.
//!
//! `cargo run --release -p cumincart-config --example check_time -- SERVICES PLANS ORGANISATIONS`

use {
    cumincart_config::{Source, parse_lists},
    std::{env, fmt::Write, time::Instant},
};

const ROUTES: usize = 7;
const KEYS: usize = 2;
const RUNS: usize = 5;

fn main() {
    let sizes: Vec<usize> = env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [services, plans, organisations] = sizes[..] else {
        eprintln!("usage: check_time SERVICES PLANS ORGANISATIONS");
        return;
    };
    let organisation_list = Source::new("organisations", organisation_text(organisations, plans));
    let plan_list = Source::new("plans", plan_text(services, plans));
    let bytes = organisation_list.text.len() + plan_list.text.len();
    for run in 1..=RUNS {
        let started = Instant::now();
        let is_valid = parse_lists(&organisation_list, &plan_list).is_ok();
        let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
        println!("run {run}: {bytes} bytes checked in {elapsed_ms:.1} ms, valid: {is_valid}");
    }
}

fn organisation_text(organisations: usize, plans: usize) -> String {
    let mut text = "{\"organisations\": [\n".to_owned();
    for number in 0..organisations {
        let plan = number % plans;
        write!(text, "{{\"name\": \"o{number}\", \"plan\": \"p{plan}\", \"keys\": [")
            .expect("writing to a string never fails");
        for key in 0..KEYS {
            let digest = number * KEYS + key;
            write!(text, "{{\"id\": \"k{digest}\", \"sha256\": \"{digest:064x}\"}},")
                .expect("writing to a string never fails");
        }
        text.push_str("]},\n");
    }
    text + "]}"
}

fn plan_text(services: usize, plans: usize) -> String {
    let mut text = "{\"services\": [\n".to_owned();
    for service in 0..services {
        write!(text, "{{\"name\": \"s{service}\", \"routes\": [").expect("writing to a string never fails");
        for route in 0..ROUTES {
            write!(text, "{{\"name\": \"r{route}\", \"access\": \"read\", \"statement\": {{\"sql\": \"select a from t where o = $1 and b = $2\", \"parameters\": [\"organisation\", {{\"caller\": \"b\"}}]}}}},")
                .expect("writing to a string never fails");
        }
        text.push_str("]},\n");
    }
    text.push_str("], \"plans\": [\n");
    for plan in 0..plans {
        write!(text, "{{\"name\": \"p{plan}\", \"rate_per_s\": 10, \"burst\": 20, \"routes\": [")
            .expect("writing to a string never fails");
        for service in 0..services {
            for route in 0..ROUTES {
                write!(text, "{{\"service\": \"s{service}\", \"route\": \"r{route}\"}},")
                    .expect("writing to a string never fails");
            }
        }
        text.push_str("]},\n");
    }
    text + "]}"
}
