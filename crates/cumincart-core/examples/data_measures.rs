//! Benchmarks the data path's decisions in virtual time, for the two present deployments. Prints JSON lines.
//!
//!     cargo run --release -p cumincart-core --example data_measures -- [replica-share|choice|fairness|cost]

#[path = "data_measures/choice.rs"]
mod choice;
#[path = "data_measures/cost.rs"]
mod cost;
#[path = "data_measures/deployment.rs"]
mod deployment;
#[path = "data_measures/fairness.rs"]
mod fairness;
#[path = "data_measures/fleet.rs"]
mod fleet;
#[path = "data_measures/load.rs"]
mod load;
#[path = "data_measures/replica_share.rs"]
mod replica_share;

/// The seeds of every benchmark.
pub const SEEDS: [u64; 3] = [11, 12, 13];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|given| given == name);
    if is_wanted("replica-share") {
        replica_share::measure();
    }
    if is_wanted("choice") {
        choice::measure();
    }
    if is_wanted("fairness") {
        fairness::measure();
    }
    if is_wanted("cost") {
        cost::measure();
    }
}
