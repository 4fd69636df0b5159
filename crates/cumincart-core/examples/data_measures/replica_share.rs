//! Measures the share of reads that replicas serve, out of those that a replica could serve correctly, at
//! several replication lags.

use crate::{SEEDS, deployment::Deployment, fleet::Fleet, load};
use cumincart_core::entry::routing::policy;

const LAGS_MS: [u64; 6] = [10, 50, 200, 1_000, 2_000, 5_000];
const SESSIONS: usize = 300;
const END_MICROS: u64 = 20_000_000;

pub fn measure() {
    for deployment in [Deployment::telvara(), Deployment::association()] {
        for lag_ms in LAGS_MS {
            for seed in SEEDS {
                let mut fleet = Fleet::open(&deployment, policy::local_without_stalled, seed);
                fleet.lag_micros = lag_ms * 1_000;
                let counts = load::drive_sessions(&mut fleet, &deployment, SESSIONS, 0.1, 200.0, END_MICROS);
                let misses: u64 = fleet.cores.iter().map(|core| core.counters.replica_misses).sum();
                println!(
                    r#"{{"measure":"replica_share","deployment":"{}","lag_ms":{lag_ms},"seed":{seed},"reads":{},"servable":{},"by_replica":{},"servable_by_replica":{},"share_of_servable":{:.4},"misses":{misses},"refused":{},"writes":{}}}"#,
                    deployment.name,
                    counts.reads,
                    counts.servable,
                    counts.by_replica,
                    counts.servable_by_replica,
                    counts.servable_by_replica as f64 / counts.servable.max(1) as f64,
                    counts.refused,
                    counts.writes,
                );
            }
        }
    }
}
