//! Rates and bursts over the whole fleet while messages are lost, doubled and late, instances die, failure domains are
//! cut off, plans change and the control leader changes. After every step the fleet checks that no more was admitted
//! than burst + rate × length in any interval, and that the ledger's sums are right.

#[path = "limits_support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "limits_support/recorder.rs"]
#[allow(dead_code)]
mod recorder;

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

/// The greatest speed that a clock has beyond true time, in millionths.
const FAST_PPM: i64 = 5_000;

const BAD_NETWORK: Network =
    Network { lost_per_mille: 150, doubled_per_mille: 150, min_delay_us: 500, max_delay_us: 900_000 };

#[derive(Debug, Clone, Copy)]
enum Event {
    CutDomain(usize),
    HealAll,
    Kill(usize),
    /// A second run starts while the first goes on.
    Double(usize),
    Elect,
    Limits(usize),
    BadNetwork,
    GoodNetwork,
    Rush(usize),
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..DOMAINS).prop_map(Event::CutDomain),
        2 => Just(Event::HealAll),
        2 => (0..INSTANCES).prop_map(Event::Kill),
        1 => (0..INSTANCES).prop_map(Event::Double),
        2 => Just(Event::Elect),
        2 => (0..4_usize).prop_map(Event::Limits),
        1 => Just(Event::BadNetwork),
        1 => Just(Event::GoodNetwork),
        3 => (0..INSTANCES).prop_map(Event::Rush),
        3 => Just(Event::Wait),
    ]
}

fn clock(seed: u64, index: u64) -> Clock {
    let fast = [FAST_PPM, -FAST_PPM, 0, FAST_PPM / 2];
    Clock { offset_us: (seed + index) % 7 * 1_000_000, fast_ppm: fast[((seed + index) % 4) as usize] }
}

/// Scales every limit: as it is, a quarter, twice, and with the first organisation removed.
fn limits(choice: usize) -> Vec<(f64, u32)> {
    match choice {
        0 => LIMITS.to_vec(),
        1 => LIMITS.iter().map(|(rate, burst)| (rate / 4.0, (burst / 4).max(1))).collect(),
        2 => LIMITS.iter().map(|(rate, burst)| (rate * 2.0, burst * 2)).collect(),
        _ => vec![(0.0, 0), LIMITS[1], LIMITS[2]],
    }
}

struct Storm {
    fleet: Fleet,
    seed: u64,
    /// Where the traffic goes first.
    hot: usize,
    /// The node that now runs under each instance's name.
    running: Vec<usize>,
    elections: u64,
}

impl Storm {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(seed, &LIMITS);
        let running = (0..INSTANCES)
            .map(|index| {
                let domain = format!("domain-{}", index % DOMAINS);
                fleet.add(&format!("entry-{index}"), &domain, 1, clock(seed, index as u64))
            })
            .collect();
        fleet.elect(clock(seed, 9));
        let mut storm = Self { fleet, seed, hot: 0, running, elections: 0 };
        storm.run_ms(5_000);
        storm
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::CutDomain(domain) => {
                for index in (domain..INSTANCES).step_by(DOMAINS) {
                    self.fleet.nodes[self.running[index]].cut = true;
                }
            }
            Event::HealAll => self.fleet.nodes.iter_mut().for_each(|node| node.cut = false),
            Event::Kill(index) => {
                self.fleet.kill(self.running[index]);
                self.start(index);
            }
            Event::Double(index) => self.start(index),
            Event::Elect => {
                self.elections += 1;
                self.fleet.elect(clock(self.seed, 9 + self.elections));
            }
            Event::Limits(choice) => self.fleet.apply(&limits(choice)),
            Event::BadNetwork => self.fleet.network = BAD_NETWORK,
            Event::GoodNetwork => self.fleet.network = Network::default(),
            Event::Rush(index) => self.hot = index,
            Event::Wait => {}
        }
    }

    /// Starts an instance's next run.
    fn start(&mut self, index: usize) {
        let incarnation = self.fleet.nodes.len() as u64;
        let domain = format!("domain-{}", index % DOMAINS);
        let clock = clock(self.seed, incarnation);
        self.running[index] = self.fleet.add(&format!("entry-{index}"), &domain, incarnation, clock);
    }

    /// Traffic beyond every rate: most of it at the hot instance, some everywhere.
    fn run_ms(&mut self, millis: u64) {
        for step in 0..millis * 1_000 / STEP_US {
            let index = if step % 3 == 0 { (step / 3) as usize % INSTANCES } else { self.hot };
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
fn no_order_of_events_admits_more_than_the_plan() {
    let config = Config { cases: 48, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = (any::<u8>(), vec((event(), 20_u64..1_500), 5..25));
    runner
        .run(&schedules, |(seed, schedule)| {
            let mut storm = Storm::new(u64::from(seed));
            for (event, pause_ms) in schedule {
                storm.happen(event);
                storm.run_ms(pause_ms);
            }
            storm.happen(Event::HealAll);
            storm.run_ms(6_000);
            Ok(())
        })
        .expect("every schedule keeps the limits");
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
fn a_holder_with_a_slow_clock_outlives_no_lease() {
    let mut fleet = Fleet::new(12, &[(400.0, 400)]);
    let slow = fleet.add("entry-0", "domain-0", 1, Clock { offset_us: 0, fast_ppm: -FAST_PPM });
    let other = fleet.add("entry-1", "domain-1", 1, Clock::default());
    fleet.elect(Clock { offset_us: 0, fast_ppm: FAST_PPM });
    fleet.run_ms(6_000);
    for step in 0..20_000 {
        if step % 5_000 == 2_000 {
            fleet.nodes[slow].cut = true;
        }
        if step % 5_000 == 4_500 {
            fleet.nodes[slow].cut = false;
        }
        fleet.request(slow, 0);
        fleet.request(other, 0);
        fleet.step();
    }
}

#[test]
fn two_partitions_in_a_row_admit_no_more_and_shares_come_back() {
    let mut storm = Storm::new(13);
    for round in 0..6 {
        storm.happen(Event::CutDomain(round % DOMAINS));
        storm.run_ms(3_000);
        storm.happen(Event::CutDomain((round + 1) % DOMAINS));
        storm.run_ms(3_000);
        storm.happen(Event::HealAll);
        storm.run_ms(700);
    }
    storm.run_ms(5_000);
    let before = storm.fleet.recorders[0].admitted;
    storm.run_ms(5_000);
    let admitted = storm.fleet.recorders[0].admitted - before;
    assert!(admitted >= 950, "of 1,000 within the rate only {admitted} were admitted");
}

#[test]
fn shares_move_and_settle_through_leader_changes() {
    let mut storm = Storm::new(14);
    for round in 0..8 {
        storm.hot = round % INSTANCES;
        storm.run_ms(180 + 90 * round as u64);
        storm.happen(Event::Elect);
        storm.run_ms(300);
        storm.happen(Event::Elect);
        storm.run_ms(4_300);
    }
    let before = storm.fleet.recorders[0].admitted;
    storm.run_ms(5_000);
    let admitted = storm.fleet.recorders[0].admitted - before;
    assert!(admitted >= 950, "of 1,000 within the rate only {admitted} were admitted");
}

#[test]
fn hundreds_of_changes_and_restarts_admit_no_more() {
    let mut storm = Storm::new(15);
    storm.fleet.network = BAD_NETWORK;
    for round in 0..300_usize {
        storm.happen(Event::Limits(round % 4));
        if round % 10 == 0 {
            storm.happen(Event::Kill(round / 10 % INSTANCES));
        }
        storm.run_ms(150);
    }
}
