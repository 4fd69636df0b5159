//! Random faults of every kind in a random order, then a healthy time; the promises are checked all along.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, Plan, set_domain},
    cumincart_protocol::{
        change::{Action, Outcome},
        lists::Lists,
        number::{ListsRevision, Revision, Term},
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::sync::Arc,
    test_case::test_case,
};

const STEPS: usize = 60;
const STEP_MAX_MS: u64 = 1_500;
const OPERATIONS_PER_STEP: u64 = 3;

/// A change that an operator sent, with the outcome of each answer.
struct Sent {
    id: String,
    action: Action,
    tickets: Vec<u64>,
}

/// A question for the status, with the newest revision that had been accepted before it was asked.
struct Asked {
    ticket: u64,
    accepted: Revision,
}

struct Chaos {
    fleet: Fleet,
    random: ChaCha20Rng,
    sent: Vec<Sent>,
    asked: Vec<Asked>,
    wiped: Option<usize>,
}

impl Chaos {
    fn start(plan: Plan) -> Self {
        let random = ChaCha20Rng::seed_from_u64(plan.seed ^ 0xc4a0);
        let mut fleet = Fleet::start(plan);
        fleet.settle();
        Self { fleet, random, sent: Vec::new(), asked: Vec::new(), wiped: None }
    }

    fn any_control(&mut self) -> usize {
        self.random.random_range(0..self.fleet.controls.len())
    }

    fn step(&mut self) {
        let control = self.any_control();
        let name = self.fleet.controls[control].name.clone();
        match self.random.random_range(0..10) {
            0 => self.fleet.crash(control),
            1 | 2 => self.restart_all(),
            3 => self.fleet.isolate(&name),
            4 | 5 => self.fleet.heal(),
            6 => self.fleet.freeze(control),
            7 => self.thaw_all(),
            8 => self.cut_one_way(control),
            _ => self.wipe(control),
        }
        for _ in 0..OPERATIONS_PER_STEP {
            self.operate();
            let span_ms = self.random.random_range(1..STEP_MAX_MS / OPERATIONS_PER_STEP);
            self.fleet.run_ms(span_ms);
        }
        self.check();
    }

    /// An operator asks the leader, or by mistake another instance.
    fn operate(&mut self) {
        let any = self.any_control();
        let control = self.fleet.leader().filter(|_| self.random.random_ratio(3, 4)).unwrap_or(any);
        match self.random.random_range(0..4) {
            0 => self.flip_domain(control),
            1 => self.resend(control),
            2 => self.ask_status(control),
            _ => self.apply(control),
        }
    }

    fn restart_all(&mut self) {
        for control in 0..self.fleet.controls.len() {
            if self.fleet.controls[control].core.is_none() {
                self.fleet.restart(control);
            }
        }
    }

    fn thaw_all(&mut self) {
        for control in 0..self.fleet.controls.len() {
            self.fleet.thaw(control);
        }
    }

    fn cut_one_way(&mut self, control: usize) {
        let other = self.any_control();
        let (from, to) = (self.fleet.controls[control].name.clone(), self.fleet.controls[other].name.clone());
        self.fleet.cut_one_way(&from, &to);
    }

    /// Wipes one disk; the next only when the last is a voter again, as an operator would.
    fn wipe(&mut self, control: usize) {
        if self.wiped.is_some_and(|wiped| !self.is_voter(wiped)) {
            return;
        }
        self.wiped = Some(control);
        self.fleet.wipe(control);
        self.fleet.restart(control);
    }

    fn is_voter(&self, control: usize) -> bool {
        let Some(leader) = self.fleet.leader() else { return false };
        let Some(core) = &self.fleet.controls[leader].core else { return false };
        let disk = &self.fleet.controls[control].disk;
        let is_settled = core.log.members_index() <= core.log.commit;
        is_settled && core.log.members().voters.iter().any(|voter| voter.disk == *disk)
    }

    fn send(&mut self, control: usize, action: Action) {
        let id = format!("change-{}", self.sent.len());
        let ticket = self.fleet.ask(control, &id, action.clone());
        self.sent.push(Sent { id, action, tickets: vec![ticket] });
    }

    fn flip_domain(&mut self, control: usize) {
        let domain = ["sofia-a", "plovdiv-a", "nowhere"][self.random.random_range(0..3)];
        let out = self.random.random();
        self.send(control, set_domain(domain, out));
    }

    fn apply(&mut self, control: usize) {
        let base = self.fleet.leader().map(|leader| self.fleet.catalogue(leader).lists_revision);
        let action = Action::Apply { base: base.unwrap_or_default(), lists: Arc::new(Lists::default()) };
        self.send(control, action);
    }

    fn resend(&mut self, control: usize) {
        if self.sent.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.sent.len());
        let (id, action) = (self.sent[index].id.clone(), self.sent[index].action.clone());
        let ticket = self.fleet.ask(control, &id, action);
        self.sent[index].tickets.push(ticket);
    }

    fn ask_status(&mut self, control: usize) {
        let accepted = self.accepted().map(|(revision, _)| revision).max().unwrap_or_default();
        let ticket = self.fleet.ask_status(control);
        self.asked.push(Asked { ticket, accepted });
    }

    fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        let tickets = self.sent.iter().flat_map(|sent| &sent.tickets);
        tickets.filter_map(|ticket| self.fleet.answer(*ticket)?.as_ref().ok())
    }

    fn accepted(&self) -> impl Iterator<Item = (Revision, ListsRevision)> {
        self.outcomes().filter_map(|outcome| match outcome {
            Outcome::Accepted { revision, lists_revision } => Some((*revision, *lists_revision)),
            Outcome::Conflict { .. } => None,
        })
    }

    fn check(&self) {
        let seed = self.fleet.plan.seed;
        self.fleet.check_writes();
        for sent in &self.sent {
            let mut outcomes: Vec<&Outcome> =
                sent.tickets.iter().filter_map(|ticket| self.fleet.answer(*ticket)?.as_ref().ok()).collect();
            outcomes.dedup();
            assert!(outcomes.len() <= 1, "seed {seed}: {} has two outcomes: {outcomes:?}", sent.id);
        }
        for asked in &self.asked {
            let answer = self.fleet.statuses.iter().find(|status| status.ticket == asked.ticket);
            let Some(Ok(status)) = answer.map(|answer| &answer.result) else { continue };
            assert!(status.catalogue.revision >= asked.accepted, "seed {seed}: an old status was given");
        }
    }

    fn finish(&mut self) {
        self.fleet.heal();
        self.thaw_all();
        self.restart_all();
        let seed = self.fleet.plan.seed;
        self.fleet.run_ms(10_000);
        let leader = self.fleet.the_leader();
        self.check();
        for control in &self.fleet.controls {
            let catalogue = &control.core.as_ref().expect("it runs").catalogue;
            assert_eq!(catalogue, &self.fleet.controls[leader].core.as_ref().expect("it runs").catalogue);
        }
        let catalogue = self.fleet.catalogue(leader);
        let newest = self.accepted().max().unwrap_or_default();
        assert!(catalogue.revision >= newest.0, "seed {seed}: an accepted change is gone");
        assert!(catalogue.lists_revision >= newest.1, "seed {seed}: an accepted change is gone");
        let mut terms: Vec<Term> =
            self.fleet.endpoints.iter().flat_map(|endpoint| endpoint.promoted.clone()).collect();
        terms.sort_unstable();
        assert!(terms.windows(2).all(|pair| pair[0] != pair[1]), "seed {seed}: two promotions in one term");
    }
}

#[test_case(3, 0; "three instances")]
#[test_case(5, 0; "five instances")]
#[test_case(3, 50; "three instances on a lossy network")]
fn promises_hold_under_random_faults(controls: usize, loss_per_mille: u32) {
    let mut accepted = 0;
    for seed in 1_000..1_030 {
        let plan = Plan { controls, loss_per_mille, write_interval_ms: 20, ..Plan::telvara(seed) };
        let mut chaos = Chaos::start(plan);
        for _ in 0..STEPS {
            chaos.step();
        }
        chaos.finish();
        accepted += chaos.accepted().count();
    }
    assert!(
        accepted > 600,
        "only {accepted} changes were accepted in 30 runs: the faults leave nothing to check"
    );
}
