//! A control leader and a database group with synchronous replicas, on a virtual clock. Each database has a log of its own;
//! a commit is acknowledged once as many replicas as the setting says have received it.

use {
    cumincart_core::control::{
        Core, Effect, Input, Probe, PromotedState, Promotion, PromotionError, Settings, Stored, Ticket, step,
    },
    cumincart_protocol::{
        announcement::{LogState, Presence, PresenceReport, Role},
        catalogue::Group,
        change::{Action, Change as ListsChange, ChangeId},
        lists::{InteractiveList, Lists, ServiceLimits},
        number::{Incarnation, LogPosition, Timeline},
        replication::{DiskId, Member, Members},
        time::Instant,
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::sync::Arc,
};

const SERVICE: &str = "ledger";
const TICK_MS: u64 = 10;
const PROMOTION_MS: u64 = 300;
const COMMIT_INTERVAL_MS: u64 = 30;
const REPORT_INTERVAL_MS: u64 = 1_200;
/// How long a planned end takes after the report that the database drains.
const DRAIN_MS: u64 = 1_500;

/// A database with its log: the numbers of its commits.
#[derive(Debug, Clone)]
pub struct Database {
    name: String,
    address: String,
    born_ms: u64,
    sequence: u64,
    is_running: bool,
    has_ended: bool,
    /// Whether no control instance reaches it. Other databases do.
    is_cut_off: bool,
    timeline: u64,
    log: Vec<u64>,
    /// How far its log is behind the primary's; `u64::MAX` if it receives nothing.
    pub lag_ms: u64,
    next_report_ms: u64,
    /// When it ends, and when its successor at the same address starts.
    ends_at_ms: Option<(u64, Option<u64>)>,
    is_draining: bool,
}

impl Database {
    fn new(number: u64, now_ms: u64) -> Self {
        Self {
            name: format!("db-{number:02}"),
            address: format!("10.0.1.{number}:1"),
            born_ms: now_ms,
            sequence: 0,
            is_running: true,
            has_ended: false,
            is_cut_off: false,
            timeline: 1,
            log: Vec::new(),
            lag_ms: 0,
            next_report_ms: now_ms,
            ends_at_ms: None,
            is_draining: false,
        }
    }

    pub fn is_alive(&self) -> bool {
        self.is_running && !self.has_ended
    }
}

/// What happens to the group.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    Crash(usize),
    Restart(usize),
    /// A planned end; whether another database takes over its address and log.
    Leave(usize, bool),
    /// A database joins with an empty log.
    Join,
    /// No control instance reaches the database any more.
    Cut(usize),
    Heal(usize),
    Lag(usize, u64),
    SetReplicas(u32),
}

/// A commit that the primary has.
#[derive(Debug, Clone, Copy)]
struct Commit {
    number: u64,
    /// The number of replicas that its acknowledgement waits for.
    replicas: u32,
    is_acknowledged: bool,
}

pub struct World {
    now_ms: u64,
    core: Core,
    pub databases: Vec<Database>,
    primary: Option<usize>,
    timeline: u64,
    commits: Vec<Commit>,
    /// The number of commits at the start of the list that are all acknowledged.
    settled: usize,
    /// The log of each commit's time, to find what a lagging replica has.
    committed_at_ms: Vec<u64>,
    promoting: Vec<(u64, usize, Promotion)>,
    inputs: Vec<Input>,
    random: ChaCha20Rng,
    replicas: u32,
    change_count: u64,
    next_number: u64,
    pub promotions: usize,
    pub violations: Vec<String>,
    /// Whether promotions go by majorities, as without synchronous replicas.
    pub ignores_holders: bool,
    draws_lag: bool,
}

impl World {
    pub fn start(seed: u64, databases: usize, replicas: u32) -> Self {
        let member = Member {
            instance: "control-1".into(),
            disk: DiskId("disk-1".into()),
            peer_address: "control-1".into(),
            domain: None,
        };
        let first_members = Members { voters: [member.clone()].into_iter().collect(), ..Members::default() };
        let settings = Settings { member, incarnation: Incarnation(1), first_members };
        let mut core = Core::open(settings, Stored::default(), ChaCha20Rng::seed_from_u64(seed));
        core.probes.is_enabled = true;
        let mut world = Self {
            now_ms: 1_000,
            core,
            databases: (0..databases as u64).map(|number| Database::new(number, 1_000)).collect(),
            primary: Some(0),
            timeline: 1,
            commits: Vec::new(),
            settled: 0,
            committed_at_ms: Vec::new(),
            promoting: Vec::new(),
            inputs: Vec::new(),
            random: ChaCha20Rng::seed_from_u64(seed),
            replicas,
            change_count: 0,
            next_number: 0,
            promotions: 0,
            violations: Vec::new(),
            ignores_holders: false,
            draws_lag: false,
        };
        world.run_ms(100);
        world.set_replicas(replicas);
        world.run_ms(3_000);
        assert!(world.is_writable(), "the group has a primary after its start");
        world
    }

    /// Draws the size of the group, its setting and how far its replicas are behind.
    pub fn draw(seed: u64) -> Self {
        let mut random = ChaCha20Rng::seed_from_u64(1_000 + seed);
        let databases = random.random_range(2..=6);
        let replicas = random.random_range(1..=3_u32).min(databases - 1);
        let mut world = Self::start(seed, databases as usize, replicas);
        for database in &mut world.databases {
            database.lag_ms = random.random_range(0..60);
        }
        world.draws_lag = true;
        world
    }

    /// Draws what happens within 40 s, with the time of each change.
    pub fn draw_changes(&mut self) -> Vec<(u64, Change)> {
        let mut at_ms = self.now_ms;
        let mut changes = Vec::new();
        let end_ms = at_ms + 40_000;
        loop {
            at_ms += self.random.random_range(50..3_000);
            if at_ms >= end_ms {
                return changes;
            }
            let database = self.random.random_range(0..self.databases.len() + 2);
            let change = match self.random.random_range(0..14) {
                0..=3 => Change::Crash(database),
                4..=6 => Change::Restart(database),
                7 => Change::Leave(database, self.random.random_bool(0.6)),
                8 => Change::Join,
                9 => Change::Cut(database),
                10 => Change::Heal(database),
                11 => Change::Lag(database, u64::MAX),
                12 => Change::Lag(database, self.random.random_range(0..60)),
                _ => Change::SetReplicas(self.random.random_range(1..=2)),
            };
            changes.push((at_ms, change));
        }
    }

    pub fn change(&mut self, change: &Change) {
        let is_known = |index: &usize| *index < self.databases.len();
        match *change {
            Change::Crash(index) if is_known(&index) => self.crash(index),
            Change::Restart(index) if is_known(&index) => self.restart(index),
            Change::Leave(index, has_successor) if is_known(&index) => {
                let after_ms = has_successor.then(|| self.random.random_range(0..3_000));
                self.leave(index, after_ms);
            }
            Change::Join => self.join(),
            Change::Cut(index) if is_known(&index) => self.databases[index].is_cut_off = true,
            Change::Heal(index) if is_known(&index) => self.databases[index].is_cut_off = false,
            Change::Lag(index, lag_ms) if is_known(&index) => self.databases[index].lag_ms = lag_ms,
            Change::SetReplicas(replicas) => self.set_replicas(replicas),
            _ => {}
        }
    }

    /// Ends all failures.
    pub fn restore(&mut self) {
        for index in 0..self.databases.len() {
            self.restart(index);
            self.databases[index].is_cut_off = false;
            self.databases[index].lag_ms = 10;
        }
        let databases = self.databases.iter().filter(|database| database.is_alive()).count();
        for _ in databases..3 {
            self.join();
        }
    }

    pub fn group(&self) -> Group {
        self.core.catalogue.group(&SERVICE.into()).cloned().expect("the group is known")
    }

    pub fn is_writable(&self) -> bool {
        self.core.catalogue.group(&SERVICE.into()).is_some_and(|group| group.writable)
    }

    pub fn acknowledged(&self) -> usize {
        self.commits.iter().filter(|commit| commit.is_acknowledged).count()
    }

    pub fn crash(&mut self, index: usize) {
        self.databases[index].is_running = false;
    }

    /// Takes the log of a database that is down.
    pub fn lose_log(&mut self, index: usize) {
        self.databases[index].log.clear();
    }

    /// Starts a database again, with its log.
    pub fn restart(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let database = &mut self.databases[index];
        if database.has_ended || database.is_running {
            return;
        }
        database.is_running = true;
        database.born_ms = now_ms;
        database.sequence = 0;
        database.next_report_ms = now_ms;
    }

    /// Lets a database drain and end. Another one has its address and log some time later, if one comes.
    pub fn leave(&mut self, index: usize, successor_after_ms: Option<u64>) {
        let ends_at_ms = self.now_ms + DRAIN_MS;
        let database = &mut self.databases[index];
        if !database.is_alive() || database.ends_at_ms.is_some() {
            return;
        }
        database.is_draining = true;
        database.next_report_ms = 0;
        database.ends_at_ms = Some((ends_at_ms, successor_after_ms));
    }

    fn join(&mut self) {
        let number = self.databases.len() as u64;
        let mut database = Database::new(number, self.now_ms);
        database.timeline = self.timeline;
        database.lag_ms = if self.draws_lag { self.random.random_range(0..60) } else { 0 };
        self.databases.push(database);
    }

    pub fn set_replicas(&mut self, replicas: u32) {
        self.replicas = replicas;
        self.change_count += 1;
        let limits =
            ServiceLimits { service: SERVICE.into(), connection_limit: 30, synchronous_replicas: replicas };
        let interactive =
            InteractiveList { services: [limits].into_iter().collect(), ..InteractiveList::default() };
        let lists = Arc::new(Lists { interactive, ..Lists::default() });
        let action = Action::Apply { base: self.core.catalogue.lists_revision, lists };
        let id = ChangeId(format!("change-{}", self.change_count).into());
        self.input(Input::Operator(Ticket(self.change_count), ListsChange { id, action }));
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        self.run_until_ms(self.now_ms + span_ms);
    }

    pub fn run_until_ms(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.commit();
            self.replicate();
            self.acknowledge();
            self.report();
            self.finish_promotions();
            self.input(Input::Tick);
            while let Some(input) = self.inputs.pop() {
                self.input(input);
            }
        }
    }

    fn input(&mut self, input: Input) {
        if self.ignores_holders {
            let catalogue = Arc::make_mut(&mut self.core.catalogue);
            for group in catalogue.groups.iter_mut() {
                group.commit_holders = Default::default();
            }
        }
        let mut out = Vec::new();
        step(&mut self.core, Instant::from_millis(self.now_ms), input, &mut out);
        for effect in out {
            match effect {
                Effect::Probe(probe) => self.probe(probe),
                Effect::Promote(promotion) => self.promote(promotion),
                _ => {}
            }
        }
    }

    fn probe(&mut self, probe: Probe) {
        let found = self.databases.iter().enumerate().find(|(_, database)| {
            database.name == probe.endpoint.as_str() && database.address == *probe.address
        });
        let is_primary = |index: usize| self.primary == Some(index);
        let state = found.filter(|(_, database)| database.is_alive() && !database.is_cut_off).map(
            |(index, database)| LogState {
                role: if is_primary(index) { Role::Primary } else { Role::Replica },
                timeline: Timeline(database.timeline),
                position: LogPosition(database.log.len() as u64),
                lag_ms: 0,
            },
        );
        self.inputs.push(Input::Probed(probe, state));
    }

    fn promote(&mut self, promotion: Promotion) {
        let found = self.databases.iter().position(|database| {
            database.name == promotion.endpoint.as_str() && database.is_alive() && !database.is_cut_off
        });
        match found {
            Some(index) => self.promoting.push((self.now_ms + PROMOTION_MS, index, promotion)),
            None => self.inputs.push(Input::Promoted(promotion, Err(PromotionError::NotReached))),
        }
    }

    fn finish_promotions(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.promoting.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms).collect();
        for (_, index, promotion) in due {
            if !self.databases[index].is_alive() {
                self.inputs.push(Input::Promoted(promotion, Err(PromotionError::Unknown)));
                continue;
            }
            if self.primary != Some(index) {
                self.take_over(index);
            }
            let state = PromotedState {
                timeline: Timeline(self.timeline),
                start: LogPosition(self.databases[index].log.len() as u64),
            };
            self.inputs.push(Input::Promoted(promotion, Ok(state)));
        }
    }

    /// Makes a database the primary with what it has received, and rolls the others back.
    fn take_over(&mut self, index: usize) {
        self.promotions += 1;
        self.timeline += 1;
        let log = self.databases[index].log.clone();
        let lost = self.commits.iter().filter(|commit| commit.is_acknowledged && commit.replicas > 0);
        let lost: Vec<u64> =
            lost.map(|commit| commit.number).filter(|number| log.binary_search(number).is_err()).collect();
        if !lost.is_empty() {
            self.violations.push(format!(
                "{} acknowledged commits are not in the log of {}, promoted at {} ms",
                lost.len(),
                self.databases[index].name,
                self.now_ms
            ));
        }
        self.commits.retain(|commit| log.binary_search(&commit.number).is_ok());
        self.settled = 0;
        self.primary = Some(index);
        self.databases[index].timeline = self.timeline;
    }

    /// Commits a write, while the catalogue says that the primary may acknowledge it.
    fn commit(&mut self) {
        // A few commits a second are enough: the promotions matter.
        let Some(primary) = self.primary.filter(|_| self.now_ms.is_multiple_of(COMMIT_INTERVAL_MS)) else {
            return;
        };
        let database = &mut self.databases[primary];
        let group = self.core.catalogue.group(&SERVICE.into());
        let may_acknowledge = group.is_some_and(|group| {
            group.writable && group.primary.as_ref().is_some_and(|name| name.as_str() == database.name)
        });
        if !may_acknowledge || !database.is_alive() {
            return;
        }
        self.next_number += 1;
        database.log.push(self.next_number);
        self.committed_at_ms.push(self.now_ms);
        self.commits.push(Commit {
            number: self.next_number,
            replicas: self.replicas,
            is_acknowledged: false,
        });
    }

    /// Brings each replica the part of the primary's log that is old enough.
    fn replicate(&mut self) {
        let Some(primary) = self.primary.filter(|primary| self.databases[*primary].is_alive()) else {
            return;
        };
        let log = std::mem::take(&mut self.databases[primary].log);
        let (now_ms, committed_at_ms, timeline) = (self.now_ms, &self.committed_at_ms, self.timeline);
        for (index, database) in self.databases.iter_mut().enumerate() {
            if index == primary || !database.is_alive() || database.lag_ms == u64::MAX {
                continue;
            }
            if database.timeline != timeline {
                let shared = log.iter().zip(&database.log).take_while(|(a, b)| a == b).count();
                database.log.truncate(shared);
                database.timeline = timeline;
            }
            let is_old = |number: &&u64| {
                let index = usize::try_from(**number).expect("the number is small") - 1;
                committed_at_ms[index] + database.lag_ms <= now_ms
            };
            let known = database.log.len().min(log.len());
            let received: Vec<u64> = log[known..].iter().take_while(is_old).copied().collect();
            database.log.extend(received);
        }
        self.databases[primary].log = log;
    }

    fn acknowledge(&mut self) {
        let Some(primary) = self.primary.filter(|primary| self.databases[*primary].is_alive()) else {
            return;
        };
        let group = self.core.catalogue.group(&SERVICE.into());
        if !group.is_some_and(|group| group.writable) {
            return;
        }
        let unsettled =
            self.commits[self.settled..].iter().take_while(|commit| commit.is_acknowledged).count();
        self.settled += unsettled;
        for commit in self.commits[self.settled..].iter_mut().filter(|commit| !commit.is_acknowledged) {
            let holders = self.databases.iter().enumerate().filter(|(index, database)| {
                *index != primary && database.is_alive() && database.log.binary_search(&commit.number).is_ok()
            });
            commit.is_acknowledged = holders.count() >= commit.replicas as usize;
        }
    }

    fn report(&mut self) {
        let now_ms = self.now_ms;
        let mut reports = Vec::new();
        let mut successors = Vec::new();
        for (index, database) in self.databases.iter_mut().enumerate() {
            if !database.is_alive() {
                continue;
            }
            // A primary that drains serves until another one has taken over.
            if let Some((ends_at_ms, successor_after_ms)) = database.ends_at_ms
                && ends_at_ms <= now_ms
                && self.primary != Some(index)
            {
                database.has_ended = true;
                if !database.is_cut_off {
                    reports.push(PresenceReport::Left(database.name.as_str().into()));
                }
                if let Some(after_ms) = successor_after_ms {
                    successors.push((index, after_ms));
                }
                continue;
            }
            if database.next_report_ms > now_ms || database.is_cut_off {
                continue;
            }
            database.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            database.sequence += 1;
            reports.push(PresenceReport::Present(Presence {
                endpoint: database.name.as_str().into(),
                service: SERVICE.into(),
                address: database.address.as_str().into(),
                domain: "sofia-a".into(),
                slots: 3,
                leaving: database.is_draining,
                ended: false,
                born_ms: database.born_ms,
                sequence: database.sequence,
            }));
        }
        for (index, after_ms) in successors {
            let mut successor = Database::new(self.databases.len() as u64, now_ms + after_ms);
            let ended = &self.databases[index];
            successor.address.clone_from(&ended.address);
            successor.log.clone_from(&ended.log);
            successor.timeline = ended.timeline;
            successor.lag_ms = ended.lag_ms;
            self.databases.push(successor);
        }
        for report in reports {
            self.input(Input::Reported(Ticket(0), report));
        }
    }
}
