//! Measures of the control side on the virtual clock, one JSON line each.
//!
//! `cargo run --release -p cumincart-core --example control_measures [-- WHAT]`, where WHAT is `failover`, `move`,
//! `lossy`, `force` or `cost`; all of them without it. Every line carries the seeds that it ran.
//!
//! The baseline promotes the first replica by name on one missed announcement. It runs in the same core, so it does
//! wait for leases; only detection and choice differ.

#[path = "../tests/support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, Plan, SERVICE, set_domain},
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

/// A policy with its name.
struct Named {
    name: &'static str,
    policy: Policy,
}

fn main() {
    let wanted = env::args().nth(1);
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|wanted| wanted == name);
    if is_wanted("failover") {
        policies().iter().for_each(failover_gap);
        policies().iter().for_each(cut_domain_gap);
    }
    if is_wanted("move") {
        [true, false].into_iter().for_each(planned_move_gap);
    }
    if is_wanted("lossy") {
        policies().iter().for_each(false_promotions);
    }
    if is_wanted("force") {
        [true, false].into_iter().for_each(time_until_in_force);
    }
    if is_wanted("cost") {
        [2, 8, 32].into_iter().for_each(bytes_of_an_entry_instance);
    }
}

fn policies() -> [Named; 2] {
    let baseline = Policy { is_dead: missed_one, compare: first_by_name };
    [Named { name: "ours", policy: Policy::default() }, Named { name: "baseline", policy: baseline }]
}

fn missed_one(evidence: &Evidence) -> bool {
    evidence.silent_ms >= ANNOUNCEMENT_INTERVAL_MS + ANNOUNCEMENT_INTERVAL_MS / 2
}

fn first_by_name(a: &Announcement, b: &Announcement) -> Ordering {
    b.endpoint.cmp(&a.endpoint)
}

fn failover_gap(named: &Named) {
    gap_after(named, "failover_gap", |fleet, primary| {
        fleet.endpoints[primary].alive = false;
        ""
    });
}

fn cut_domain_gap(named: &Named) {
    gap_after(named, "cut_domain_gap", |fleet, primary| {
        let domain = fleet.endpoints[primary].domain;
        fleet.cut_domain(domain);
        domain
    });
}

/// `fail` gives the failure domain whose own callers are left out.
fn gap_after(named: &Named, measure: &str, fail: fn(&mut Fleet, usize) -> &'static str) {
    let mut gaps_ms = Vec::new();
    let mut lost = 0;
    for seed in 0..RUNS {
        let mut fleet = settled(Plan { replica_lag_ms: 20, ..Plan::telvara(seed) }, named.policy);
        let primary = fleet.primary().expect("there is a primary");
        fleet.run_ms(seed * 7 % ANNOUNCEMENT_INTERVAL_MS);
        let since = fleet.now;
        let left_out = fail(&mut fleet, primary);
        fleet.run_ms(10_000);
        gaps_ms.push(fleet.longest_gap_outside_ms(since, left_out));
        lost += lost_writes(&fleet);
        fleet.check_writes();
    }
    let spread = spread(&mut gaps_ms);
    println!(
        r#"{{"measure":"{measure}","policy":"{}","seeds":"0..{RUNS}",{spread},"lost_writes":{lost}}}"#,
        named.name
    );
}

fn planned_move_gap(push: bool) {
    let mut gaps_ms = Vec::new();
    let mut lost = 0;
    for seed in 0..RUNS {
        let mut fleet = settled(Plan { push, replica_lag_ms: 20, ..Plan::telvara(seed) }, Policy::default());
        let primary = fleet.primary().expect("there is a primary");
        fleet.run_ms(seed * 7 % ANNOUNCEMENT_INTERVAL_MS);
        let domain = fleet.endpoints[primary].domain;
        let since = fleet.now;
        fleet.change("out", &set_domain(domain, true));
        fleet.run_ms(5_000);
        assert_ne!(fleet.primary(), Some(primary), "seed {seed}: the primary did not move");
        gaps_ms.push(fleet.longest_gap_ms(since));
        lost += lost_writes(&fleet);
        fleet.check_writes();
    }
    let spread = spread(&mut gaps_ms);
    println!(
        r#"{{"measure":"planned_move_gap","push":{push},"seeds":"0..{RUNS}",{spread},"lost_writes":{lost}}}"#
    );
}

fn false_promotions(named: &Named) {
    let plan = Plan { loss_per_mille: LOSSY_PER_MILLE, write_interval_ms: 50, ..Plan::telvara(1) };
    let mut fleet = settled(plan, named.policy);
    fleet.run_ms(LOSSY_SECONDS * 1_000);
    let leader = fleet.the_leader();
    let term = fleet.catalogue(leader).group(&SERVICE.into()).expect("the group is known").term;
    let elections = fleet.controls[leader].core.as_ref().expect("it runs").election.ballot.term;
    fleet.check_writes();
    println!(
        r#"{{"measure":"false_promotions","policy":"{}","loss_per_mille":{LOSSY_PER_MILLE},"virtual_s":{LOSSY_SECONDS},"seed":1,"changes_of_term":{},"control_terms":{elections}}}"#,
        named.name,
        term.0 - 1,
    );
}

fn time_until_in_force(push: bool) {
    let mut times_ms = Vec::new();
    for seed in 0..RUNS {
        let mut fleet = settled(Plan { push, ..Plan::telvara(seed) }, Policy::default());
        fleet.run_ms(seed * 7 % 500);
        let leader = fleet.the_leader();
        let since = fleet.now;
        fleet.ask(leader, "out", set_domain("nowhere", true));
        let holds = |fleet: &Fleet| {
            fleet.entries.iter().all(|entry| entry.catalogue.is_domain_out(&"nowhere".into()))
        };
        assert!(fleet.run_until(10_000, holds), "seed {seed}: the change did not arrive");
        times_ms.push(millis_since(&fleet, since));
    }
    let spread = spread(&mut times_ms);
    println!(r#"{{"measure":"time_until_in_force","push":{push},"seeds":"0..{RUNS}",{spread}}}"#);
}

fn bytes_of_an_entry_instance(entries_per_domain: usize) {
    let plan = Plan { entries_per_domain, write_interval_ms: 100, ..Plan::telvara(1) };
    let mut fleet = settled(plan, Policy::default());
    fleet.run_ms(5_000);
    fleet.count_bytes = true;
    fleet.run_ms(100_000);
    let entries = fleet.entries.len();
    let bytes_per_s = fleet.entry_bytes / 100 / entries as u64;
    println!(
        r#"{{"measure":"control_bytes_of_an_entry_instance","seed":1,"entries":{entries},"bytes_per_s":{bytes_per_s}}}"#
    );
}

fn settled(plan: Plan, policy: Policy) -> Fleet {
    let mut fleet = Fleet::start(plan);
    fleet.set_policy(policy);
    fleet.settle();
    // A leader that was just elected waits for leases of earlier ones; the usual case is one that leads for long.
    fleet.run_ms(2 * TERM_LEASE_MS);
    fleet
}

fn lost_writes(fleet: &Fleet) -> usize {
    let group = fleet.catalogue(fleet.the_leader()).group(&SERVICE.into()).expect("the group is known");
    let is_lost = |write: &&control_fleet::Acknowledged| {
        let next = group.term_starts.iter().find(|start| start.timeline.0 > write.timeline);
        next.is_some_and(|next| write.position > next.position.0)
    };
    fleet.writes.iter().filter(is_lost).count()
}

fn millis_since(fleet: &Fleet, since: Instant) -> u64 {
    u64::try_from(fleet.now.saturating_since(since).as_millis()).unwrap_or(u64::MAX)
}

fn spread(values_ms: &mut [u64]) -> String {
    values_ms.sort_unstable();
    let at = |per_cent: usize| values_ms[(values_ms.len() * per_cent / 100).min(values_ms.len() - 1)];
    let max = values_ms.last().copied().unwrap_or_default();
    format!(r#""p50_ms":{},"p99_ms":{},"max_ms":{max}"#, at(50), at(99))
}
