//! Measurements of the control instances on a virtual clock, printed as one line of JSON each.
//!
//! Run `cargo run --release -p cumincart-core --example control_measures [-- WHAT]`, where WHAT is
//! `failover`, `move`, `lossy`, `force` or `cost`; without it, all measurements run. Every line contains its
//! seeds.
//!
//! The baseline policy promotes the first replica by name after one missed announcement. It runs in the same
//! core and also waits for leases; only failure detection and the choice of the replica differ.

#[path = "../tests/support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, SERVICE, set_domain},
    cumincart_core::{
        control::detection::{Evidence, Policy},
        timing::{ANNOUNCEMENT_INTERVAL_MS, TERM_LEASE_MS},
    },
    cumincart_protocol::{announcement::Announcement, time::Instant},
    std::{cmp::Ordering, env},
};

const RUNS: u64 = 200;
const LOSSY_SECONDS: u64 = 10_000;
const LOSSY_PER_MILLE: u32 = 50;

/// A policy and its name.
struct NamedPolicy {
    name: &'static str,
    policy: Policy,
}

fn main() {
    let selected = env::args().nth(1);
    let is_selected = |name: &str| selected.as_deref().is_none_or(|selected| selected == name);
    if is_selected("failover") {
        policies().iter().for_each(measure_failover_gap);
        policies().iter().for_each(measure_domain_partition_gap);
    }
    if is_selected("move") {
        [true, false].into_iter().for_each(measure_switchover_gap);
    }
    if is_selected("lossy") {
        policies().iter().for_each(measure_false_promotions);
    }
    if is_selected("force") {
        [true, false].into_iter().for_each(measure_time_until_in_force);
    }
    if is_selected("cost") {
        [2, 8, 32].into_iter().for_each(measure_bytes_per_entry_instance);
    }
}

fn policies() -> [NamedPolicy; 2] {
    let baseline = Policy { is_dead: missed_one_announcement, compare: first_by_name };
    [
        NamedPolicy { name: "ours", policy: Policy::default() },
        NamedPolicy { name: "baseline", policy: baseline },
    ]
}

fn missed_one_announcement(evidence: &Evidence) -> bool {
    evidence.silent_ms >= ANNOUNCEMENT_INTERVAL_MS + ANNOUNCEMENT_INTERVAL_MS / 2
}

fn first_by_name(a: &Announcement, b: &Announcement) -> Ordering {
    b.endpoint.cmp(&a.endpoint)
}

fn measure_failover_gap(named_policy: &NamedPolicy) {
    measure_gap_after(named_policy, "failover_gap", |fleet, primary| {
        fleet.endpoints[primary].alive = false;
        ""
    });
}

fn measure_domain_partition_gap(named_policy: &NamedPolicy) {
    measure_gap_after(named_policy, "cut_domain_gap", |fleet, primary| {
        let domain = fleet.endpoints[primary].domain;
        fleet.cut_domain(domain);
        domain
    });
}

/// Measures the longest gap in writes after a fault. `fail` returns the failure domain whose entry instances
/// are not counted.
fn measure_gap_after(named_policy: &NamedPolicy, measure: &str, fail: fn(&mut Fleet, usize) -> &'static str) {
    let mut gaps_ms = Vec::new();
    let mut lost = 0;
    for seed in 0..RUNS {
        let mut fleet = ready_fleet(
            FleetConfig { replica_lag_ms: 20, ..FleetConfig::telvara(seed) },
            named_policy.policy,
        );
        let primary = fleet.primary().expect("there is a primary");
        fleet.run_ms(seed * 7 % ANNOUNCEMENT_INTERVAL_MS);
        let since = fleet.now;
        let excluded_domain = fail(&mut fleet, primary);
        fleet.run_ms(10_000);
        gaps_ms.push(fleet.longest_gap_outside_ms(since, excluded_domain));
        lost += lost_writes(&fleet);
        fleet.check_writes();
    }
    let percentiles = percentiles(&mut gaps_ms);
    println!(
        r#"{{"measure":"{measure}","policy":"{}","seeds":"0..{RUNS}",{percentiles},"lost_writes":{lost}}}"#,
        named_policy.name
    );
}

fn measure_switchover_gap(push: bool) {
    let mut gaps_ms = Vec::new();
    let mut lost = 0;
    for seed in 0..RUNS {
        let mut fleet = ready_fleet(
            FleetConfig { push, replica_lag_ms: 20, ..FleetConfig::telvara(seed) },
            Policy::default(),
        );
        let primary = fleet.primary().expect("there is a primary");
        fleet.run_ms(seed * 7 % ANNOUNCEMENT_INTERVAL_MS);
        let domain = fleet.endpoints[primary].domain;
        let since = fleet.now;
        fleet.submit_change("out", &set_domain(domain, true));
        fleet.run_ms(5_000);
        assert_ne!(fleet.primary(), Some(primary), "seed {seed}: the primary did not move");
        gaps_ms.push(fleet.longest_gap_ms(since));
        lost += lost_writes(&fleet);
        fleet.check_writes();
    }
    let percentiles = percentiles(&mut gaps_ms);
    println!(
        r#"{{"measure":"planned_move_gap","push":{push},"seeds":"0..{RUNS}",{percentiles},"lost_writes":{lost}}}"#
    );
}

fn measure_false_promotions(named_policy: &NamedPolicy) {
    let config =
        FleetConfig { loss_per_mille: LOSSY_PER_MILLE, write_interval_ms: 50, ..FleetConfig::telvara(1) };
    let mut fleet = ready_fleet(config, named_policy.policy);
    fleet.run_ms(LOSSY_SECONDS * 1_000);
    let leader = fleet.expect_leader();
    let term = fleet.catalogue(leader).group(&SERVICE.into()).expect("the group is known").term;
    let elections = fleet.controls[leader].core.as_ref().expect("the instance runs").election.ballot.term;
    fleet.check_writes();
    println!(
        r#"{{"measure":"false_promotions","policy":"{}","loss_per_mille":{LOSSY_PER_MILLE},"virtual_s":{LOSSY_SECONDS},"seed":1,"changes_of_term":{},"control_terms":{elections}}}"#,
        named_policy.name,
        term.0 - 1,
    );
}

fn measure_time_until_in_force(push: bool) {
    let mut times_ms = Vec::new();
    for seed in 0..RUNS {
        let mut fleet = ready_fleet(FleetConfig { push, ..FleetConfig::telvara(seed) }, Policy::default());
        fleet.run_ms(seed * 7 % 500);
        let leader = fleet.expect_leader();
        let since = fleet.now;
        fleet.send_change(leader, "out", set_domain("nowhere", true));
        let holds = |fleet: &Fleet| {
            fleet.entries.iter().all(|entry| entry.catalogue.is_domain_out(&"nowhere".into()))
        };
        assert!(fleet.run_until(10_000, holds), "seed {seed}: the change was not applied in time");
        times_ms.push(millis_since(&fleet, since));
    }
    let percentiles = percentiles(&mut times_ms);
    println!(r#"{{"measure":"time_until_in_force","push":{push},"seeds":"0..{RUNS}",{percentiles}}}"#);
}

fn measure_bytes_per_entry_instance(entries_per_domain: usize) {
    let config = FleetConfig { entries_per_domain, write_interval_ms: 100, ..FleetConfig::telvara(1) };
    let mut fleet = ready_fleet(config, Policy::default());
    fleet.run_ms(5_000);
    fleet.count_bytes = true;
    fleet.run_ms(100_000);
    let entries = fleet.entries.len();
    let bytes_per_s = fleet.entry_bytes / 100 / entries as u64;
    println!(
        r#"{{"measure":"control_bytes_of_an_entry_instance","seed":1,"entries":{entries},"bytes_per_s":{bytes_per_s}}}"#
    );
}

fn ready_fleet(config: FleetConfig, policy: Policy) -> Fleet {
    let mut fleet = Fleet::start(config);
    fleet.set_policy(policy);
    fleet.wait_until_ready();
    // A newly elected leader waits for leases of earlier leaders. Waiting here makes the measurements
    // describe a leader that has led for a while.
    fleet.run_ms(2 * TERM_LEASE_MS);
    fleet
}

fn lost_writes(fleet: &Fleet) -> usize {
    let group = fleet.catalogue(fleet.expect_leader()).group(&SERVICE.into()).expect("the group is known");
    let is_lost = |write: &&control_fleet::AcknowledgedWrite| {
        let next = group.term_starts.iter().find(|start| start.timeline.0 > write.timeline);
        next.is_some_and(|next| write.position > next.position.0)
    };
    fleet.writes.iter().filter(is_lost).count()
}

fn millis_since(fleet: &Fleet, since: Instant) -> u64 {
    u64::try_from(fleet.now.saturating_since(since).as_millis()).unwrap_or(u64::MAX)
}

fn percentiles(values_ms: &mut [u64]) -> String {
    values_ms.sort_unstable();
    let at = |per_cent: usize| values_ms[(values_ms.len() * per_cent / 100).min(values_ms.len() - 1)];
    let max = values_ms.last().copied().unwrap_or_default();
    format!(r#""p50_ms":{},"p99_ms":{},"max_ms":{max}"#, at(50), at(99))
}
