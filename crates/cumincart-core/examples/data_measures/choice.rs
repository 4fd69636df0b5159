//! Compares the latency of the replica load balancing policies, with all replicas healthy and with one
//! replica of each group stalled for a while.

use {
    crate::{
        SEEDS,
        deployment::Deployment,
        fleet::{Fleet, Stall},
        load::{self, Outcome, Stream},
    },
    cumincart_core::entry::routing::policy::{self, ReplicaChoice},
};

const WARM_MICROS: u64 = 500_000;
const END_MICROS: u64 = 8_500_000;
const STALL: Stall = Stall { from_micros: 3_000_000, until_micros: 5_000_000 };
const WRITE_SHARE: f64 = 0.1;

struct Named {
    name: &'static str,
    choice: ReplicaChoice,
}

pub fn measure() {
    let choices = [
        Named { name: "primary_only", choice: policy::primary_only },
        Named { name: "random", choice: policy::random },
        Named { name: "least_in_flight", choice: policy::least_in_flight },
        Named { name: "two_choices", choice: policy::two_choices },
        Named { name: "two_choices_without_stalled", choice: policy::two_choices_without_stalled },
        Named { name: "two_choices_local", choice: policy::two_choices_local },
        Named { name: "local_without_stalled", choice: policy::local_without_stalled },
    ];
    for deployment in [Deployment::telvara(), Deployment::association()] {
        for stalled in [false, true] {
            for load_share in [0.3, 0.6] {
                for named in &choices {
                    for seed in SEEDS {
                        run(&deployment, named, stalled, load_share, seed);
                    }
                }
            }
        }
    }
}

fn run(deployment: &Deployment, named: &Named, stalled: bool, load_share: f64, seed: u64) {
    let mut fleet = Fleet::open(deployment, named.choice, seed);
    if stalled {
        let replicas = (0..deployment.groups).map(|group| {
            let domain = (group + 1) % deployment.domains.len();
            group * deployment.domains.len() + domain
        });
        for replica in replicas.collect::<Vec<usize>>() {
            fleet.endpoints[replica].stall = Some(STALL);
        }
    }
    let endpoints = deployment.groups * deployment.domains.len();
    let capacity_per_s = endpoints as f64 * f64::from(deployment.slots) * 1e6 / deployment.service_micros;
    let streams: Vec<Stream> = (0..Deployment::organisations())
        .map(|organisation| Stream {
            organisation,
            rate_per_s: capacity_per_s * load_share / Deployment::organisations() as f64,
            write_share: WRITE_SHARE,
            open: false,
        })
        .collect();
    let samples = load::drive_streams(&mut fleet, deployment, &streams, WARM_MICROS, END_MICROS);
    let from = if stalled { STALL.from_micros } else { WARM_MICROS };
    let until = if stalled { STALL.until_micros } else { END_MICROS };
    let window = || samples.iter().filter(|sample| (from..until).contains(&sample.sent_micros));
    let mut took: Vec<u64> = window()
        .filter(|sample| matches!(sample.outcome, Outcome::Replica | Outcome::Primary))
        .map(|sample| sample.took_micros)
        .collect();
    let replica = window().filter(|sample| sample.outcome == Outcome::Replica).count();
    let not_run = window().filter(|sample| sample.outcome == Outcome::NotRun).count();
    let unknown = window().filter(|sample| sample.outcome == Outcome::Unknown).count();
    let p50 = load::percentile(&mut took, 0.5);
    let p99 = load::percentile(&mut took, 0.99);
    println!(
        r#"{{"measure":"choice","deployment":"{}","choice":"{}","stalled":{stalled},"load":{load_share},"seed":{seed},"answers":{},"p50_ms":{:.2},"p99_ms":{:.2},"by_replica":{replica},"not_run":{not_run},"unknown":{unknown}}}"#,
        deployment.name,
        named.name,
        took.len(),
        p50 as f64 / 1e3,
        p99 as f64 / 1e3,
    );
}
