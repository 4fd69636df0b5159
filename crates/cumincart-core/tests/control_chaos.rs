//! Random faults of all kinds, followed by a healthy period. The guarantees are checked throughout.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, set_domain},
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

/// A change that an operator sent, with the tickets of its attempts.
struct SentChange {
    id: String,
    action: Action,
    tickets: Vec<u64>,
}

/// A status request, with the highest revision that had been accepted before it was sent.
struct SentStatusRequest {
    ticket: u64,
    accepted: Revision,
}

struct RandomFaults {
    fleet: Fleet,
    random: ChaCha20Rng,
    sent_changes: Vec<SentChange>,
    status_requests: Vec<SentStatusRequest>,
    wiped_control: Option<usize>,
}

impl RandomFaults {
    fn start(config: FleetConfig) -> Self {
        let random = ChaCha20Rng::seed_from_u64(config.seed ^ 0xc4a0);
        let mut fleet = Fleet::start(config);
        fleet.wait_until_ready();
        Self { fleet, random, sent_changes: Vec::new(), status_requests: Vec::new(), wiped_control: None }
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
            7 => self.unfreeze_all(),
            8 => self.cut_one_way(control),
            _ => self.wipe(control),
        }
        for _ in 0..OPERATIONS_PER_STEP {
            self.run_operation();
            let span_ms = self.random.random_range(1..STEP_MAX_MS / OPERATIONS_PER_STEP);
            self.fleet.run_ms(span_ms);
        }
        self.check();
    }

    /// Performs a random operation, usually on the leader and sometimes on another instance.
    fn run_operation(&mut self) {
        let any = self.any_control();
        let control = self.fleet.leader().filter(|_| self.random.random_ratio(3, 4)).unwrap_or(any);
        match self.random.random_range(0..4) {
            0 => self.change_service_state(control),
            1 => self.retry_change(control),
            2 => self.request_status(control),
            _ => self.apply_lists(control),
        }
    }

    fn restart_all(&mut self) {
        for control in 0..self.fleet.controls.len() {
            if self.fleet.controls[control].core.is_none() {
                self.fleet.restart(control);
            }
        }
    }

    fn unfreeze_all(&mut self) {
        for control in 0..self.fleet.controls.len() {
            self.fleet.unfreeze(control);
        }
    }

    fn cut_one_way(&mut self, control: usize) {
        let other = self.any_control();
        let (from, to) = (self.fleet.controls[control].name.clone(), self.fleet.controls[other].name.clone());
        self.fleet.cut_one_way(&from, &to);
    }

    /// Wipes a disk if the previously wiped instance is a voter again, as an operator would wait for it.
    fn wipe(&mut self, control: usize) {
        if self.wiped_control.is_some_and(|wiped_control| !self.is_voter(wiped_control)) {
            return;
        }
        self.wiped_control = Some(control);
        self.fleet.wipe_disk(control);
        self.fleet.restart(control);
    }

    fn is_voter(&self, control: usize) -> bool {
        let Some(leader) = self.fleet.leader() else { return false };
        let Some(core) = &self.fleet.controls[leader].core else { return false };
        let disk = &self.fleet.controls[control].disk;
        let is_settled =
            core.log.members_index() <= core.log.commit && core.log.members().outgoing.is_empty();
        is_settled && core.log.members().voters.iter().any(|voter| voter.disk == *disk)
    }

    fn send(&mut self, control: usize, action: Action) {
        let id = format!("change-{}", self.sent_changes.len());
        let ticket = self.fleet.send_change(control, &id, action.clone());
        self.sent_changes.push(SentChange { id, action, tickets: vec![ticket] });
    }

    fn change_service_state(&mut self, control: usize) {
        let domain = ["sofia-a", "plovdiv-a", "nowhere"][self.random.random_range(0..3)];
        let out = self.random.random();
        self.send(control, set_domain(domain, out));
    }

    fn apply_lists(&mut self, control: usize) {
        let base = self.fleet.leader().map(|leader| self.fleet.catalogue(leader).lists_revision);
        let action = Action::Apply { base: base.unwrap_or_default(), lists: Arc::new(Lists::default()) };
        self.send(control, action);
    }

    fn retry_change(&mut self, control: usize) {
        if self.sent_changes.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.sent_changes.len());
        let (id, action) = (self.sent_changes[index].id.clone(), self.sent_changes[index].action.clone());
        let ticket = self.fleet.send_change(control, &id, action);
        self.sent_changes[index].tickets.push(ticket);
    }

    fn request_status(&mut self, control: usize) {
        let accepted = self.accepted().map(|(revision, _)| revision).max().unwrap_or_default();
        let ticket = self.fleet.request_status(control);
        self.status_requests.push(SentStatusRequest { ticket, accepted });
    }

    fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        let tickets = self.sent_changes.iter().flat_map(|sent| &sent.tickets);
        tickets.filter_map(|ticket| self.fleet.answer(*ticket)?.as_ref().ok())
    }

    fn accepted(&self) -> impl Iterator<Item = (Revision, ListsRevision)> {
        self.outcomes().filter_map(|outcome| match outcome {
            Outcome::Accepted { revision, lists_revision } => Some((*revision, *lists_revision)),
            Outcome::Conflict { .. } => None,
        })
    }

    fn check(&self) {
        let seed = self.fleet.config.seed;
        self.fleet.check_writes();
        for sent in &self.sent_changes {
            let mut outcomes: Vec<&Outcome> =
                sent.tickets.iter().filter_map(|ticket| self.fleet.answer(*ticket)?.as_ref().ok()).collect();
            outcomes.dedup();
            assert!(outcomes.len() <= 1, "seed {seed}: {} has two outcomes: {outcomes:?}", sent.id);
        }
        for asked in &self.status_requests {
            let answer = self.fleet.statuses.iter().find(|status| status.ticket == asked.ticket);
            let Some(Ok(status)) = answer.map(|answer| &answer.result) else { continue };
            assert!(
                status.catalogue.revision >= asked.accepted,
                "seed {seed}: a status request was answered with an old state"
            );
        }
    }

    fn finish(&mut self) {
        self.fleet.heal();
        self.unfreeze_all();
        self.restart_all();
        let seed = self.fleet.config.seed;
        self.fleet.run_ms(10_000);
        let leader = self.fleet.expect_leader();
        self.check();
        for control in &self.fleet.controls {
            let catalogue = &control.core.as_ref().expect("the instance runs").catalogue;
            assert_eq!(
                catalogue,
                &self.fleet.controls[leader].core.as_ref().expect("the instance runs").catalogue
            );
        }
        let catalogue = self.fleet.catalogue(leader);
        let newest = self.accepted().max().unwrap_or_default();
        assert!(catalogue.revision >= newest.0, "seed {seed}: an accepted change was lost");
        assert!(catalogue.lists_revision >= newest.1, "seed {seed}: an accepted change was lost");
        let mut terms: Vec<Term> =
            self.fleet.endpoints.iter().flat_map(|endpoint| endpoint.promoted.clone()).collect();
        terms.sort_unstable();
        assert!(terms.windows(2).all(|pair| pair[0] != pair[1]), "seed {seed}: two promotions in one term");
    }
}

#[test_case(3, 0; "three instances")]
#[test_case(5, 0; "five instances")]
#[test_case(3, 50; "three instances on a lossy network")]
fn guarantees_hold_under_random_faults(controls: usize, loss_per_mille: u32) {
    let mut accepted = 0;
    for seed in 1_000..1_030 {
        let config =
            FleetConfig { controls, loss_per_mille, write_interval_ms: 20, ..FleetConfig::telvara(seed) };
        let mut faults = RandomFaults::start(config);
        for _ in 0..STEPS {
            faults.step();
        }
        faults.finish();
        accepted += faults.accepted().count();
    }
    assert!(
        accepted > 600,
        "only {accepted} changes were accepted in 30 runs: too few for the checks to be meaningful"
    );
}
