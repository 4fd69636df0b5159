//! Measures the time that the core takes for a statement and for a tick, by the number of endpoints,
//! connections and requests in flight.

use {
    crate::{deployment::Deployment, load},
    cumincart_core::{
        endpoint_command::{CommandId, CommandOutput, ConnectionId, EndpointCommand, EndpointState},
        entry::{Core, Effect, Input, Settings, Ticket, step},
        timing::{FRESHNESS_LEASE_MS, TERM_LEASE_MS},
    },
    cumincart_protocol::{
        announcement::Role,
        heartbeat::{CatalogueUpdate, HeartbeatAnswer},
        number::{ControlTerm, Incarnation, LogPosition, Timeline},
        request::Rows,
        session::Session,
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{collections::VecDeque, time::Duration},
};

const STATEMENTS: u64 = 200_000;
const TICK_MICROS: u64 = 10_000;

/// The statements per second that one instance serves here: what the target size gives each of its nodes.
const STATEMENTS_PER_S: u64 = 3_243;

struct Running {
    connection: ConnectionId,
    id: CommandId,
    primary: bool,
}

pub fn measure() {
    for groups in [3, 30, 100] {
        for under_way in [1, 16, 128] {
            run(groups, under_way);
        }
    }
}

/// Serves statements with `under_way` of them in flight, with ticks and heartbeats at their regular rate.
/// Prints the wall-clock time that the core took for each.
fn run(groups: usize, under_way: usize) {
    let deployment = Deployment::sized("slope", vec!["a", "b", "c"], 5, 1_500, groups);
    let settings = Settings {
        instance: "entry-0".into(),
        incarnation: Incarnation(1),
        domain: "a".into(),
        peer_address: "127.0.0.1:1".into(),
    };
    let mut core = Core::open(settings, ChaCha20Rng::seed_from_u64(1));
    let mut driver = Driver {
        core: &mut core,
        deployment: &deployment,
        running: VecDeque::new(),
        micros: 0,
        core_time: Duration::ZERO,
    };
    for _ in 0..100 {
        driver.tick();
    }
    driver.core_time = Duration::ZERO;
    let mut ticks = Duration::ZERO;
    let mut tick_count = 0_u32;
    let mut next_tick = driver.micros + TICK_MICROS;
    for number in 0..STATEMENTS {
        driver.micros += 1_000_000 / STATEMENTS_PER_S;
        if driver.micros >= next_tick {
            next_tick += TICK_MICROS;
            let before = driver.core_time;
            driver.tick();
            ticks += driver.core_time - before;
            tick_count += 1;
        }
        let group = (number as usize * 7) % groups;
        let route = if number % 10 == 0 { "post" } else { "browse" };
        let request = load::request(group, route, number as usize % 8, Session::default());
        driver.input(Input::Request(Ticket(number), Box::new(request)));
        while driver.running.len() > under_way {
            driver.finish_oldest();
        }
    }
    let connections = driver.core.pool.connections.len();
    let statements = (driver.core_time - ticks).as_secs_f64() * 1e6 / STATEMENTS as f64;
    let tick = ticks.as_secs_f64() * 1e6 / f64::from(tick_count);
    println!(
        r#"{{"measure":"cost","endpoints":{},"connections":{connections},"under_way":{under_way},"statements":{STATEMENTS},"micros_a_statement":{statements:.3},"micros_a_tick":{tick:.2},"core_percent_for_ticks":{:.3}}}"#,
        groups * 3,
        tick * 100.0 / 1e6 * 100.0,
    );
}

struct Driver<'a> {
    core: &'a mut Core,
    deployment: &'a Deployment,
    running: VecDeque<Running>,
    micros: u64,
    core_time: Duration,
}

impl Driver<'_> {
    fn tick(&mut self) {
        self.micros += TICK_MICROS;
        self.input(Input::Tick);
        while self.running.len() > 400 {
            self.finish_oldest();
        }
    }

    fn input(&mut self, input: Input) {
        let now = Instant::from_micros(self.micros);
        let mut effects = Vec::new();
        let start = std::time::Instant::now();
        step(self.core, now, input, &mut effects);
        self.core_time += start.elapsed();
        for effect in effects {
            self.apply_effect(now, effect);
        }
    }

    fn apply_effect(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Open { connection, .. } => self.input(Input::Opened(connection)),
            Effect::Close(connection) => self.input(Input::Closed(connection)),
            Effect::Execute(connection, id, command) => {
                let primary = matches!(command, EndpointCommand::Write(..));
                self.running.push_back(Running { connection, id, primary });
            }
            Effect::Heartbeat(_) => self.answer_heartbeat(now),
            _ => {}
        }
    }

    fn answer_heartbeat(&mut self, asked_at: Instant) {
        let first = self.core.freshness.revision().0 == 0;
        let catalogue = self.deployment.catalogue.clone();
        let answer = HeartbeatAnswer {
            asked_at,
            incarnation: Incarnation(1),
            control_term: ControlTerm(1),
            revision: catalogue.revision,
            term_lease_ms: TERM_LEASE_MS,
            freshness_lease_ms: FRESHNESS_LEASE_MS,
            update: if first { CatalogueUpdate::Snapshot(catalogue) } else { CatalogueUpdate::None },
            shares: if first { self.deployment.shares() } else { Vec::new() },
            permits: if first { self.deployment.permits() } else { Vec::new() },
            instances: None,
            control_addresses: None,
        };
        self.input(Input::HeartbeatAnswer(Box::new(answer)));
    }

    fn finish_oldest(&mut self) {
        let Some(running) = self.running.pop_front() else {
            return;
        };
        let role = if running.primary { Role::Primary } else { Role::Replica };
        let state = EndpointState { role, timeline: Timeline(1), position: LogPosition(1_000), lag_ms: 1 };
        let done = CommandOutput { rows: Rows::default(), state: Some(state) };
        self.input(Input::CommandEnded(running.connection, running.id, Ok(done)));
    }
}
