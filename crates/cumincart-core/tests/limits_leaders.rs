//! Tests of rates over a large fleet while no control leader answers and after one has changed: 75 organisations over 65
//! and 139 instances in six failure domains, whose demand wanders between the domains and stays below the limits. Tokens
//! of plans that are too small for every instance come from one holder in each failure domain, and holders lend each
//! other tokens.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

use {
    cumincart_core::{
        interactive::ownership,
        timing::{FRESHNESS_LEASE_MS, HEARTBEAT_INTERVAL_MS},
    },
    cumincart_protocol::{
        heartbeat::{InstanceEntry, Share},
        name::DomainName,
        number::Incarnation,
        sorted::SortedVec,
    },
    fleet::{Clock, Fleet, STEP_US, organisation},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha20Rng,
    test_case::test_case,
};

const DOMAINS: usize = 6;

/// The organisations by size: how many, and the rate and burst of each one's plan.
const SIZES: [(usize, (f64, u32)); 3] = [(3, (200.0, 200)), (9, (60.0, 60)), (63, (20.0, 20))];

/// An organisation of the middle size.
const HOT: usize = 5;

/// The mean demand of each organisation, as a part of its rate.
const USUAL_LOAD: f64 = 0.45;

/// How much the demand of a failure domain rises and falls, as a part of its mean, and how long a wave takes.
const SWING: f64 = 0.55;
const PERIOD_S: f64 = 13.0;

/// How long a request may wait for a token, in milliseconds.
const WAIT_MS: u64 = 300;

/// The share of refused requests that is accepted while demand is below the limits, in thousandths of a per cent.
const REFUSED_PER_100_000: u64 = 100;

/// The same after every lease had ended, so that shares are granted anew and fill from empty.
const REFUSED_FROM_EMPTY_PER_100_000: u64 = 1_000;

struct Scenario {
    fleet: Fleet,
    instances: SortedVec<InstanceEntry>,
    random: ChaCha20Rng,
    /// The demand of each organisation as a part of its rate.
    loads: Vec<f64>,
    limits: Vec<(f64, u32)>,
}

impl Scenario {
    /// Starts a fleet under load that has had a leader for longer than shares take to converge.
    fn new(seed: u64, count: usize) -> Self {
        let limits: Vec<_> =
            SIZES.iter().flat_map(|(count, limit)| std::iter::repeat_n(*limit, *count)).collect();
        let mut fleet = Fleet::new(seed, &limits);
        fleet.checks_every_step = false;
        fleet.recovers_when_reported = true;
        fleet.add_many(count, DOMAINS);
        let mut instances = SortedVec::new();
        for node in &fleet.nodes {
            instances.insert(InstanceEntry {
                name: node.core.settings.instance.clone(),
                incarnation: Incarnation(1),
                domain: node.core.settings.domain.clone(),
                peer_address: node.core.settings.peer_address.clone(),
            });
        }
        for node in &mut fleet.nodes {
            node.core.freshness.instances = instances.clone();
        }
        fleet.lending = Some(instances.clone());
        fleet.elect_first(Clock::default());
        let loads = vec![USUAL_LOAD; limits.len()];
        let mut scenario = Self { fleet, instances, random: ChaCha20Rng::seed_from_u64(seed), loads, limits };
        scenario.run_ms(6_000);
        scenario
    }

    /// Runs the load, and checks the limits of all instances together.
    fn run_ms(&mut self, millis: u64) {
        for step in 0..millis * 1_000 / STEP_US {
            for domain in 0..DOMAINS {
                let seconds = self.fleet.now_us as f64 / 1e6;
                let phase = seconds / PERIOD_S + 0.08 * domain as f64;
                let wave = 1.0 + SWING * (phase * std::f64::consts::TAU).sin();
                for organisation in 0..self.limits.len() {
                    let rate_per_s = self.limits[organisation].0 * self.loads[organisation];
                    let expected = rate_per_s * wave / DOMAINS as f64 * STEP_US as f64 / 1e6;
                    if self.random.random::<f64>() < expected {
                        let node = self.instance_for(domain, organisation);
                        self.fleet.request_within(node, organisation, WAIT_MS);
                    }
                }
            }
            self.fleet.step();
            if step % 50 == 0 {
                self.fleet.check_invariants();
            }
        }
        for bucket in &self.fleet.limit_buckets {
            assert_eq!(bucket.over_limit, 0, "more was admitted than burst + rate × length: {bucket:?}");
        }
    }

    /// Returns the instance whose share serves a request: any one of the failure domain, or its holder of the
    /// organisation's tokens if the plan is small.
    fn instance_for(&mut self, domain: usize, index: usize) -> usize {
        let (rate, burst) = self.limits[index];
        let plan = Share { rate_milli_per_s: (rate * 1_000.0) as u64, burst_milli: u64::from(burst) * 1_000 };
        let domain_name = DomainName::from(format!("domain-{domain}"));
        if !ownership::has_token_owners(&self.instances, plan) {
            let in_domain = (self.instances.len() - domain).div_ceil(DOMAINS);
            return self.random.random_range(0..in_domain) * DOMAINS + domain;
        }
        let owners = ownership::token_owners(&self.instances, &domain_name, &organisation(index));
        let number = owners[0].name.as_str().trim_start_matches("entry-");
        number.parse().expect("the name ends in the index")
    }

    /// Runs the load and returns the requests sent and refused meanwhile, without those of `except`.
    fn measure_ms(&mut self, millis: u64, except: Option<usize>) -> (u64, u64) {
        let refused_except = |fleet: &Fleet| except.map_or(0, |index| fleet.refused[index]);
        let (before, except_before) = (self.fleet.counts(), refused_except(&self.fleet));
        self.run_ms(millis);
        let (after, except_after) = (self.fleet.counts(), refused_except(&self.fleet));
        (after.sent - before.sent, after.refused - before.refused - (except_after - except_before))
    }
}

fn assert_refused((sent, refused): (u64, u64), most_per_100_000: u64, causes: [u64; 3]) {
    println!("{refused} of {sent} refused; no lease, over the limit, no token: {causes:?}");
    assert!(refused * 100_000 <= sent * most_per_100_000, "{refused} of {sent} refused, causes {causes:?}");
}

#[test_case(1, 65; "65 instances")]
#[test_case(2, 139; "139 instances")]
fn a_change_of_leader_after_1_s_refuses_nothing_within_the_limits(seed: u64, count: usize) {
    let mut scenario = Scenario::new(seed, count);
    scenario.fleet.refused_by_cause = [0; 3];
    scenario.fleet.silence_leader();
    let silent = scenario.measure_ms(1_000, None);
    scenario.fleet.elect(Clock::default());
    let after = scenario.measure_ms(7_000, None);
    assert_refused(
        (silent.0 + after.0, silent.1 + after.1),
        REFUSED_PER_100_000,
        scenario.fleet.refused_by_cause,
    );
}

/// The time for which every instance still holds a lease after the leader has fallen silent: the lease less the longest
/// interval of heartbeats.
const LEASED_MS: u64 = FRESHNESS_LEASE_MS - HEARTBEAT_INTERVAL_MS;

#[test_case(3, 65; "65 instances")]
#[test_case(4, 139; "139 instances")]
fn a_leader_silent_for_8_s_costs_only_what_needs_the_lists(seed: u64, count: usize) {
    let mut scenario = Scenario::new(seed, count);
    scenario.fleet.silence_leader();
    scenario.fleet.refused_by_cause = [0; 3];
    let leased = scenario.measure_ms(LEASED_MS, None);
    assert_refused(leased, REFUSED_PER_100_000, scenario.fleet.refused_by_cause);
    scenario.fleet.refused_by_cause = [0; 3];
    let unleased = scenario.measure_ms(8_000 - LEASED_MS, None);
    let [no_lease, ..] = scenario.fleet.refused_by_cause;
    let for_rates = unleased.1 - no_lease;
    println!("unleased: {unleased:?}, {no_lease} for want of a lease");
    assert!(for_rates * 100_000 <= unleased.0 * REFUSED_PER_100_000, "{for_rates} refused for their rate");
    scenario.fleet.elect(Clock::default());
    let first = scenario.measure_ms(1_000, None);
    println!("the first second: {first:?}, {:?}", scenario.fleet.refused_by_cause);
    scenario.fleet.refused_by_cause = [0; 3];
    let after = scenario.measure_ms(5_000, None);
    assert_refused(after, REFUSED_FROM_EMPTY_PER_100_000, scenario.fleet.refused_by_cause);
}

#[test_case(5, 65; "65 instances")]
#[test_case(6, 139; "139 instances")]
fn one_organisation_at_7_5_times_its_usual_loses_only_its_own_excess(seed: u64, count: usize) {
    let mut scenario = Scenario::new(seed, count);
    scenario.loads[HOT] *= 7.5;
    scenario.run_ms(3_000);
    scenario.fleet.silence_leader();
    scenario.fleet.refused_by_cause = [0; 3];
    let before = scenario.fleet.limit_buckets[HOT].admitted;
    let silent = scenario.measure_ms(1_000, Some(HOT));
    scenario.fleet.elect(Clock::default());
    let after = scenario.measure_ms(7_000, Some(HOT));
    let admitted = scenario.fleet.limit_buckets[HOT].admitted - before;
    println!("the organisation got {admitted} of {}", scenario.limits[HOT].0 * 8.0);
    assert_refused(
        (silent.0 + after.0, silent.1 + after.1),
        REFUSED_PER_100_000,
        scenario.fleet.refused_by_cause,
    );
    assert!(admitted as f64 >= 0.9 * scenario.limits[HOT].0 * 8.0, "only {admitted} admitted");
}

/// After a fault, many instances have served requests in place of a holder. The holders must keep their shares.
#[test]
fn demand_at_other_instances_leaves_the_holders_their_shares() {
    let mut scenario = Scenario::new(7, 65);
    for round in 0..300 {
        // 4 requests a second of each organisation, of a limit of 20, at all instances in turn.
        if round % 25 == 0 {
            for organisation in 0..scenario.limits.len() {
                scenario.fleet.request_within((round / 25 * 7 + organisation) % 65, organisation, WAIT_MS);
            }
        }
        scenario.run_ms(10);
    }
    scenario.fleet.silence_leader();
    scenario.fleet.refused_by_cause = [0; 3];
    let silent = scenario.measure_ms(LEASED_MS, None);
    assert_refused(silent, REFUSED_PER_100_000, scenario.fleet.refused_by_cause);
}
