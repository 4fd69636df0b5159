//! Measures how rates are divided, on a virtual clock, and prints one JSON line for each measurement.
//!
//! Usage: `cargo run --release -p cumincart-core --example limits_measures -- [seed]`

#[path = "../tests/limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

use {
    cumincart_core::entry::quota::QUOTA_WAIT_MS,
    fleet::{Clock, Fleet, STEP_US},
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha20Rng,
    std::time::Instant,
};

/// The rate per second and the burst of each organisation. A few are large.
const LIMITS: [(f64, u32); 8] =
    [(400.0, 80), (200.0, 40), (100.0, 20), (20.0, 10), (10.0, 10), (5.0, 5), (2.0, 4), (0.5, 2)];

const WARM_UP_MS: u64 = 8_000;
const MEASURED_MS: u64 = 60_000;
const SHIFT_US: u64 = 2_000_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Pattern {
    Even,
    Skewed,
    Shifting,
}

struct Deployment {
    name: &'static str,
    instances: usize,
    delay_us: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment { name: "telvara", instances: 8, delay_us: 1_500 },
    Deployment { name: "association", instances: 6, delay_us: 500 },
];

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    for deployment in &DEPLOYMENTS {
        for load_percent in [50, 90, 100] {
            for pattern in [Pattern::Even, Pattern::Skewed, Pattern::Shifting] {
                measure_refusals(seed, deployment, load_percent, pattern);
            }
        }
        measure_overload(seed, deployment);
    }
    for instances in [8, 40, 200, 740] {
        measure_cost(seed, instances, 8);
    }
    for organisations in [8, 80, 400] {
        measure_cost(seed, 8, organisations);
    }
}

/// Picks the instance that a request arrives at. Unless the pattern is even, 80 % of the requests go to a
/// fifth of the instances, rounded up.
fn pick_instance(random: &mut ChaCha20Rng, pattern: Pattern, instances: usize, now_us: u64) -> usize {
    let hot_instances = instances.div_ceil(5);
    let start = if pattern == Pattern::Shifting { (now_us / SHIFT_US) as usize * hot_instances } else { 0 };
    if pattern == Pattern::Even {
        return random.random_range(0..instances);
    }
    let offset = if random.random_range(0..10) < 8 {
        random.random_range(0..hot_instances)
    } else {
        random.random_range(hot_instances..instances)
    };
    (start + offset) % instances
}

/// Returns the number of arrivals of a Poisson process within a step.
fn arrivals(random: &mut impl Rng, rate_per_s: f64) -> u32 {
    let limit = (-rate_per_s * STEP_US as f64 / 1e6).exp();
    let mut product: f64 = random.random();
    let mut count = 0;
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}

fn warmed_up(seed: u64, deployment: &Deployment) -> Fleet {
    let mut fleet = Fleet::new(seed, &LIMITS);
    fleet.network.min_delay_us = deployment.delay_us;
    fleet.network.max_delay_us = deployment.delay_us * 2;
    fleet.add_many(deployment.instances, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(WARM_UP_MS);
    fleet
}

fn measure_refusals(seed: u64, deployment: &Deployment, load_percent: u32, pattern: Pattern) {
    let mut fleet = warmed_up(seed, deployment);
    let mut random = ChaCha20Rng::seed_from_u64(seed);
    let mut split = StaticSplit::new(&fleet, deployment.instances);
    for _ in 0..MEASURED_MS * 1_000 / STEP_US {
        for (organisation, (rate, _)) in LIMITS.iter().enumerate() {
            for _ in 0..arrivals(&mut random, rate * f64::from(load_percent) / 100.0) {
                let node = pick_instance(&mut random, pattern, deployment.instances, fleet.now_us);
                let ideal_admitted_before = fleet.ideal_buckets[organisation].admitted;
                fleet.request(node, organisation);
                let within_limit = fleet.ideal_buckets[organisation].admitted > ideal_admitted_before;
                split.request(fleet.now_us, node, organisation, within_limit);
            }
        }
        fleet.step();
    }
    fleet.run_ms(2_000);
    let counts = fleet.counts();
    let over_limit: u64 = fleet.limit_buckets.iter().map(|limit_bucket| limit_bucket.over_limit).sum();
    let sent = counts.sent as f64;
    let wrongly_refused: u64 = fleet.wrongly_refused.iter().sum();
    println!(
        "{{\"measure\":\"refusals\",\"deployment\":\"{}\",\"seed\":{seed},\"load_percent\":{load_percent},\
         \"pattern\":\"{pattern:?}\",\"sent\":{},\"wrongly_refused\":{},\"wrongly_refused_percent\":{:.4},\
         \"by_organisation\":{:?},\"split_wrongly_refused\":{},\"split_wrongly_refused_percent\":{:.4},\"over_limit\":{over_limit},\
         \"admitted_of_ideal\":{:.4},\"mean_wait_ms\":{:.2},\"heartbeats_per_instance_s\":{:.2},\"bytes_per_instance_s\":{:.0}}}",
        deployment.name,
        counts.sent,
        wrongly_refused,
        100.0 * wrongly_refused as f64 / sent,
        fleet.wrongly_refused,
        split.wrongly_refused,
        100.0 * split.wrongly_refused as f64 / sent,
        counts.admitted as f64 / fleet.ideal_buckets.iter().map(|ideal| ideal.admitted).sum::<u64>() as f64,
        counts.waited_us as f64 / 1_000.0 / counts.admitted as f64,
        per_instance_s(fleet.heartbeats, &fleet),
        per_instance_s(fleet.bytes_to_leader + fleet.bytes_from_leader, &fleet),
    );
}

fn per_instance_s(total: u64, fleet: &Fleet) -> f64 {
    let seconds = (fleet.now_us - fleet.started_us) as f64 / 1e6;
    total as f64 / seconds / fleet.nodes.len() as f64
}

/// Measures one organisation at five times its rate, with the others at half of theirs.
fn measure_overload(seed: u64, deployment: &Deployment) {
    let mut fleet = warmed_up(seed, deployment);
    let mut random = ChaCha20Rng::seed_from_u64(seed);
    for _ in 0..MEASURED_MS * 1_000 / STEP_US {
        for (organisation, (rate, _)) in LIMITS.iter().enumerate() {
            let factor = if organisation == 1 { 5.0 } else { 0.5 };
            for _ in 0..arrivals(&mut random, rate * factor) {
                let node = pick_instance(&mut random, Pattern::Skewed, deployment.instances, fleet.now_us);
                fleet.request(node, organisation);
            }
        }
        fleet.step();
    }
    fleet.run_ms(2_000);
    let over_limit: u64 = fleet.limit_buckets.iter().map(|limit_bucket| limit_bucket.over_limit).sum();
    let admitted_ratio = |index: usize| {
        fleet.limit_buckets[index].admitted as f64 / fleet.ideal_buckets[index].admitted as f64
    };
    let worst = (0..LIMITS.len()).filter(|index| *index != 1).map(admitted_ratio).fold(1.0, f64::min);
    println!(
        "{{\"measure\":\"overload\",\"deployment\":\"{}\",\"seed\":{seed},\"over_limit\":{over_limit},\
         \"overloaded_admitted_of_ideal\":{:.4},\"worst_other_admitted_of_ideal\":{worst:.4}}}",
        deployment.name,
        admitted_ratio(1),
    );
}

/// Measures the bytes and the time that control costs, by number of instances and organisations. Eight
/// organisations send requests to all instances.
fn measure_cost(seed: u64, instances: usize, organisations: usize) {
    let limits: Vec<(f64, u32)> = (0..organisations)
        .map(|index| LIMITS[index % LIMITS.len()])
        .map(|(r, b)| (r * 10.0, b * 10))
        .collect();
    let mut fleet = Fleet::new(seed, &limits);
    fleet.checks_every_step = false;
    fleet.add_many(instances, 3);
    fleet.elect(Clock::default());
    fleet.run_ms(WARM_UP_MS);
    let (heartbeats, bytes) = (fleet.heartbeats, fleet.bytes_to_leader + fleet.bytes_from_leader);
    let leader_before = fleet.leader_time;
    let entry_before = fleet.entry_time;
    let mut random = ChaCha20Rng::seed_from_u64(seed);
    let started = Instant::now();
    let seconds = 5;
    for _ in 0..seconds * 1_000_000 / STEP_US {
        for (organisation, (rate, _)) in limits.iter().take(8).enumerate() {
            for _ in 0..arrivals(&mut random, rate * 0.7) {
                let node = random.random_range(0..instances);
                fleet.request(node, organisation);
            }
        }
        fleet.step();
    }
    let heartbeats = (fleet.heartbeats - heartbeats) as f64;
    let bytes = (fleet.bytes_to_leader + fleet.bytes_from_leader - bytes) as f64;
    println!(
        "{{\"measure\":\"cost\",\"seed\":{seed},\"instances\":{instances},\"organisations\":{organisations},\
         \"bytes_per_instance_s\":{:.0},\"heartbeats_per_instance_s\":{:.2},\"leader_us_per_heartbeat\":{:.2},\
         \"leader_core_percent\":{:.3},\"entry_us_per_heartbeat\":{:.2},\"wall_s\":{:.2}}}",
        bytes / seconds as f64 / instances as f64,
        heartbeats / seconds as f64 / instances as f64,
        (fleet.leader_time - leader_before).as_micros() as f64 / heartbeats,
        (fleet.leader_time - leader_before).as_secs_f64() / seconds as f64 * 100.0,
        (fleet.entry_time - entry_before).as_micros() as f64 / heartbeats,
        started.elapsed().as_secs_f64(),
    );
}

/// A static split, for comparison: each instance has an equal part of every rate and burst. Requests wait for
/// a token as long as they do in the system.
struct StaticSplit {
    instances: u64,
    /// The theoretical arrival time of each bucket, in microseconds, by instance and then organisation.
    theoretical_arrival_us: Vec<f64>,
    wrongly_refused: u64,
}

impl StaticSplit {
    fn new(fleet: &Fleet, instances: usize) -> Self {
        Self {
            instances: instances as u64,
            theoretical_arrival_us: vec![fleet.now_us as f64; instances * LIMITS.len()],
            wrongly_refused: 0,
        }
    }

    fn request(&mut self, now_us: u64, node: usize, organisation: usize, within_limit: bool) {
        let (rate, burst) = LIMITS[organisation];
        let interval_us = 1e6 * self.instances as f64 / rate;
        let burst_here = (f64::from(burst) / self.instances as f64).max(1.0);
        let theoretical_arrival_us = &mut self.theoretical_arrival_us[node * LIMITS.len() + organisation];
        let from_us = theoretical_arrival_us.max(now_us as f64);
        let wait_us = from_us - now_us as f64 - (burst_here - 1.0) * interval_us;
        if wait_us > (QUOTA_WAIT_MS * 1_000) as f64 {
            self.wrongly_refused += u64::from(within_limit);
            return;
        }
        *theoretical_arrival_us = from_us + interval_us;
    }
}
