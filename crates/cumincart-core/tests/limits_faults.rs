//! Tests of rates and bursts over the whole fleet under faults: lost, duplicate and late messages, killed
//! instances, partitioned failure domains, changed plans and changes of the control leader. After every step
//! the fleet checks that no more was admitted than burst + rate × length in any interval, and that the
//! ledger's totals are right.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/limit_bucket.rs"]
#[allow(dead_code)]
mod limit_bucket;

use {
    fleet::{Clock, Fleet, Network, STEP_US},
    proptest::{
        collection::vec,
        prelude::{Just, Strategy, any, prop_oneof},
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    test_case::test_case,
};

const INSTANCES: usize = 6;
const DOMAINS: usize = 3;
const LIMITS: [(f64, u32); 3] = [(200.0, 60), (40.0, 24), (1.5, 2)];

/// The maximum speed of a clock relative to true time, in millionths.
const FAST_PPM: i64 = 5_000;

const DEGRADED_NETWORK: Network =
    Network { lost_per_mille: 150, duplicated_per_mille: 150, min_delay_us: 500, max_delay_us: 900_000 };

#[derive(Debug, Clone, Copy)]
enum Event {
    PartitionDomain(usize),
    HealPartitions,
    Kill(usize),
    /// Starts a second run of an instance while the first one continues.
    StartSecondRun(usize),
    ElectLeader,
    ChangeLimits(usize),
    DegradeNetwork,
    RestoreNetwork,
    MoveLoad(usize),
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..DOMAINS).prop_map(Event::PartitionDomain),
        2 => Just(Event::HealPartitions),
        2 => (0..INSTANCES).prop_map(Event::Kill),
        1 => (0..INSTANCES).prop_map(Event::StartSecondRun),
        2 => Just(Event::ElectLeader),
        2 => (0..4_usize).prop_map(Event::ChangeLimits),
        1 => Just(Event::DegradeNetwork),
        1 => Just(Event::RestoreNetwork),
        3 => (0..INSTANCES).prop_map(Event::MoveLoad),
        3 => Just(Event::Wait),
    ]
}

fn clock(seed: u64, index: u64) -> Clock {
    let fast = [FAST_PPM, -FAST_PPM, 0, FAST_PPM / 2];
    Clock { offset_us: (seed + index) % 7 * 1_000_000, fast_ppm: fast[((seed + index) % 4) as usize] }
}

/// Returns the limits for a choice: unchanged, a quarter, double, or with the first organisation removed.
fn limits(choice: usize) -> Vec<(f64, u32)> {
    match choice {
        0 => LIMITS.to_vec(),
        1 => LIMITS.iter().map(|(rate, burst)| (rate / 4.0, (burst / 4).max(1))).collect(),
        2 => LIMITS.iter().map(|(rate, burst)| (rate * 2.0, burst * 2)).collect(),
        _ => vec![(0.0, 0), LIMITS[1], LIMITS[2]],
    }
}

struct Scenario {
    fleet: Fleet,
    seed: u64,
    /// The instance that most of the requests go to.
    hot_instance: usize,
    /// The latest node under each instance's name.
    running: Vec<usize>,
    elections: u64,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(seed, &LIMITS);
        let running = (0..INSTANCES)
            .map(|index| {
                let domain = format!("domain-{}", index % DOMAINS);
                fleet.add(&format!("entry-{index}"), &domain, 1, clock(seed, index as u64))
            })
            .collect();
        fleet.elect(clock(seed, 9));
        let mut scenario = Self { fleet, seed, hot_instance: 0, running, elections: 0 };
        scenario.run_ms(5_000);
        scenario
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::PartitionDomain(domain) => {
                for index in (domain..INSTANCES).step_by(DOMAINS) {
                    self.fleet.nodes[self.running[index]].partitioned = true;
                }
            }
            Event::HealPartitions => self.fleet.nodes.iter_mut().for_each(|node| node.partitioned = false),
            Event::Kill(index) => {
                self.fleet.kill(self.running[index]);
                self.start_run(index);
            }
            Event::StartSecondRun(index) => self.start_run(index),
            Event::ElectLeader => {
                self.elections += 1;
                self.fleet.elect(clock(self.seed, 9 + self.elections));
            }
            Event::ChangeLimits(choice) => self.fleet.commit_limits(&limits(choice)),
            Event::DegradeNetwork => self.fleet.network = DEGRADED_NETWORK,
            Event::RestoreNetwork => self.fleet.network = Network::default(),
            Event::MoveLoad(index) => self.hot_instance = index,
            Event::Wait => {}
        }
    }

    /// Starts the next run of an instance.
    fn start_run(&mut self, index: usize) {
        let incarnation = self.fleet.nodes.len() as u64;
        let domain = format!("domain-{}", index % DOMAINS);
        let clock = clock(self.seed, incarnation);
        self.running[index] = self.fleet.add(&format!("entry-{index}"), &domain, incarnation, clock);
    }

    /// Sends more requests than every rate allows: most of them to the hot instance, some to every instance.
    fn run_ms(&mut self, millis: u64) {
        for step in 0..millis * 1_000 / STEP_US {
            let index = if step % 3 == 0 { (step / 3) as usize % INSTANCES } else { self.hot_instance };
            for organisation in 0..LIMITS.len() {
                self.fleet.request(self.running[index], organisation);
            }
            let any = (step / 5) as usize % self.fleet.nodes.len();
            self.fleet.request(any, (step % 3) as usize);
            self.fleet.step();
        }
    }
}

#[test]
fn no_schedule_of_faults_admits_more_than_the_plan() {
    check_schedules_of_faults(7, false);
}

#[test]
fn no_schedule_of_faults_admits_more_than_the_plan_after_recoveries_that_end_early() {
    check_schedules_of_faults(9, true);
}

fn check_schedules_of_faults(seed_byte: u8, recovers_when_reported: bool) {
    let config = Config { cases: 48, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed_byte; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = (any::<u8>(), vec((event(), 20_u64..1_500), 5..25));
    runner
        .run(&schedules, |(seed, schedule)| {
            let mut scenario = Scenario::new(u64::from(seed));
            scenario.fleet.recovers_when_reported = recovers_when_reported;
            for (event, pause_ms) in schedule {
                scenario.apply_event(event);
                scenario.run_ms(pause_ms);
            }
            scenario.apply_event(Event::HealPartitions);
            scenario.run_ms(6_000);
            Ok(())
        })
        .expect("every schedule respects the limits");
}

#[test_case(FAST_PPM; "holders fast")]
#[test_case(2 * FAST_PPM; "holders faster than true time by the whole drift")]
fn fast_clocks_admit_no_more_than_the_plan(fast_ppm: i64) {
    let mut fleet = Fleet::new(11, &[(400.0, 40)]);
    for index in 0..INSTANCES {
        let clock = Clock { offset_us: 0, fast_ppm };
        fleet.add(&format!("entry-{index}"), &format!("domain-{}", index % DOMAINS), 1, clock);
    }
    fleet.elect(Clock { offset_us: 0, fast_ppm });
    fleet.run_ms(6_000);
    for step in 0..30_000 {
        fleet.request(step % INSTANCES, 0);
        fleet.step();
    }
}

#[test]
fn a_holder_with_a_slow_clock_does_not_outlive_its_lease() {
    let mut fleet = Fleet::new(12, &[(400.0, 400)]);
    let slow = fleet.add("entry-0", "domain-0", 1, Clock { offset_us: 0, fast_ppm: -FAST_PPM });
    let other = fleet.add("entry-1", "domain-1", 1, Clock::default());
    fleet.elect(Clock { offset_us: 0, fast_ppm: FAST_PPM });
    fleet.run_ms(6_000);
    for step in 0..20_000 {
        if step % 5_000 == 2_000 {
            fleet.nodes[slow].partitioned = true;
        }
        if step % 5_000 == 4_500 {
            fleet.nodes[slow].partitioned = false;
        }
        fleet.request(slow, 0);
        fleet.request(other, 0);
        fleet.step();
    }
}

#[test]
fn consecutive_partitions_respect_the_plan_and_shares_recover() {
    let mut scenario = Scenario::new(13);
    for round in 0..6 {
        scenario.apply_event(Event::PartitionDomain(round % DOMAINS));
        scenario.run_ms(3_000);
        scenario.apply_event(Event::PartitionDomain((round + 1) % DOMAINS));
        scenario.run_ms(3_000);
        scenario.apply_event(Event::HealPartitions);
        scenario.run_ms(700);
    }
    scenario.run_ms(5_000);
    let before = scenario.fleet.limit_buckets[0].admitted;
    scenario.run_ms(5_000);
    let admitted = scenario.fleet.limit_buckets[0].admitted - before;
    assert!(admitted >= 950, "only {admitted} of 1,000 requests within the rate were admitted");
}

#[test]
fn shares_converge_after_repeated_leader_changes() {
    let mut scenario = Scenario::new(14);
    for round in 0..8 {
        scenario.hot_instance = round % INSTANCES;
        scenario.run_ms(180 + 90 * round as u64);
        scenario.apply_event(Event::ElectLeader);
        scenario.run_ms(300);
        scenario.apply_event(Event::ElectLeader);
        scenario.run_ms(4_300);
    }
    let before = scenario.fleet.limit_buckets[0].admitted;
    scenario.run_ms(5_000);
    let admitted = scenario.fleet.limit_buckets[0].admitted - before;
    assert!(admitted >= 950, "only {admitted} of 1,000 requests within the rate were admitted");
}

#[test]
fn frequent_limit_changes_and_restarts_respect_the_plan() {
    let mut scenario = Scenario::new(15);
    scenario.fleet.network = DEGRADED_NETWORK;
    for round in 0..300_usize {
        scenario.apply_event(Event::ChangeLimits(round % 4));
        if round % 10 == 0 {
            scenario.apply_event(Event::Kill(round / 10 % INSTANCES));
        }
        scenario.run_ms(150);
    }
}
