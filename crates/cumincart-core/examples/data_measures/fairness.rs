//! Compares the p99 latency of the worst-served organisation while one organisation sends five times its
//! rate: with the weighted queue, and with a single queue in order of arrival.

use {
    crate::{
        SEEDS,
        deployment::Deployment,
        fleet::Fleet,
        load::{self, Outcome, Sample, Stream},
    },
    cumincart_core::entry::routing::policy,
};

const WARM_MICROS: u64 = 500_000;
const END_MICROS: u64 = 10_500_000;
const WRITE_SHARE: f64 = 0.3;

/// Each organisation's part of the load. Three are large; the last of these is the one that exceeds its rate.
const PARTS: [f64; 8] = [0.05, 0.05, 0.05, 0.05, 0.05, 0.25, 0.25, 0.25];
const OVER_RATE_ORGANISATION: usize = 7;

/// The writes at everyone's own rate, as a part of the primaries' capacity.
const LOAD: f64 = 0.45;

struct Case {
    queue: &'static str,
    open: bool,
    factor: f64,
    /// Whether the plan of the organisation that exceeds its rate limits it to its own rate.
    limited: bool,
}

pub fn measure() {
    let cases = [
        Case { queue: "weighted", open: false, factor: 0.0, limited: false },
        Case { queue: "weighted", open: false, factor: 1.0, limited: false },
        Case { queue: "weighted", open: false, factor: 5.0, limited: false },
        Case { queue: "weighted", open: false, factor: 5.0, limited: true },
        Case { queue: "arrival", open: true, factor: 1.0, limited: false },
        Case { queue: "arrival", open: true, factor: 5.0, limited: false },
    ];
    for deployment in [Deployment::telvara(), Deployment::association()] {
        for case in &cases {
            for seed in SEEDS {
                run(&deployment, case, seed);
            }
        }
    }
}

fn run(deployment: &Deployment, case: &Case, seed: u64) {
    let primaries_per_s =
        deployment.groups as f64 * f64::from(deployment.slots) * 1e6 / deployment.service_micros;
    let total_per_s = primaries_per_s * LOAD / WRITE_SHARE;
    let own_rate_per_s = total_per_s * PARTS[OVER_RATE_ORGANISATION];
    let deployment =
        &if case.limited { deployment.clone().limited(own_rate_per_s) } else { deployment.clone() };
    let mut fleet = Fleet::open(deployment, policy::two_choices_local, seed);
    let streams: Vec<Stream> = PARTS
        .iter()
        .enumerate()
        .map(|(organisation, part)| Stream {
            organisation,
            rate_per_s: total_per_s
                * part
                * if organisation == OVER_RATE_ORGANISATION { case.factor } else { 1.0 },
            write_share: WRITE_SHARE,
            open: case.open,
        })
        .filter(|stream| stream.rate_per_s > 0.0)
        .collect();
    let samples = load::drive_streams(&mut fleet, deployment, &streams, WARM_MICROS, END_MICROS);
    let others: Vec<&Sample> =
        samples.iter().filter(|sample| sample.organisation != OVER_RATE_ORGANISATION).collect();
    let p99s = (0..OVER_RATE_ORGANISATION).map(|organisation| p99(&others, organisation));
    let worst = p99s.max().unwrap_or(0);
    let refused = others.iter().filter(|sample| sample.outcome == Outcome::NotRun).count();
    let unknown = others.iter().filter(|sample| sample.outcome == Outcome::Unknown).count();
    let loud: Vec<&Sample> =
        samples.iter().filter(|sample| sample.organisation == OVER_RATE_ORGANISATION).collect();
    let loud_refused = loud.iter().filter(|sample| sample.outcome == Outcome::NotRun).count();
    println!(
        r#"{{"measure":"fairness","deployment":"{}","queue":"{}","factor":{},"limited":{},"seed":{seed},"others":{},"worst_p99_ms":{:.2},"refused":{refused},"unknown":{unknown},"loud":{},"loud_refused":{loud_refused}}}"#,
        deployment.name,
        case.queue,
        case.factor,
        case.limited,
        others.len(),
        worst as f64 / 1e3,
        loud.len(),
    );
}

fn p99(samples: &[&Sample], organisation: usize) -> u64 {
    let mut took: Vec<u64> = samples
        .iter()
        .filter(|sample| sample.organisation == organisation)
        .filter(|sample| matches!(sample.outcome, Outcome::Replica | Outcome::Primary))
        .map(|sample| sample.took_micros)
        .collect();
    load::percentile(&mut took, 0.99)
}
