//! Replacements, repairs and planned stops of control instances, each with another loss at any moment that the
//! deployment must bear. `docs/design/voters.md` states what is borne at each step.

#[path = "support/control_fleet.rs"]
mod control_fleet;

use {
    control_fleet::{Fleet, FleetConfig, set_domain},
    cumincart_protocol::change::Outcome,
    test_case::test_case,
};

/// How long an instance still counts as lost after it is back, or after a new one has started, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// How long an instance is down when its process or its disk is lost, in milliseconds.
const DOWN_MS: u64 = 250;

/// How long the group may take to serve again after the last loss, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// How long a sync takes on a slow disk, in milliseconds.
const SLOW_SYNC_MS: u64 = 200;

/// The moments of a further loss, in milliseconds.
const MOMENTS_MS: std::ops::RangeInclusive<u64> = 0..=1_200;

const MOMENT_STEP_MS: usize = 30;

fn moments() -> impl Iterator<Item = u64> {
    MOMENTS_MS.step_by(MOMENT_STEP_MS)
}

/// A group of three control instances that must bear the loss of one.
struct Group {
    fleet: Fleet,
    /// What is played, for messages.
    case: String,
    changes: usize,
}

impl Group {
    fn start(seed: u64, case: String) -> Self {
        let config =
            FleetConfig { entries_per_domain: 1, write_interval_ms: 500, ..FleetConfig::telvara(seed) };
        let mut fleet = Fleet::start(config);
        fleet.wait_until_ready();
        Self { fleet, case, changes: 0 }
    }

    /// A group of six instances, five of them voters, that must bear the loss of two.
    fn start_of_six(seed: u64, case: String) -> Self {
        let mut group = Self::start(seed, case);
        group.fleet.set_losses_borne(2);
        for of in 0..3 {
            group.fleet.add_successor(of);
        }
        group.fleet.run_ms(3_000);
        let leader = group.fleet.expect_leader();
        let core = group.fleet.controls[leader].core.as_ref().expect("the leader runs");
        let members = core.log.members();
        assert_eq!((members.voters.len(), members.learners.len()), (5, 1), "{members:?}");
        group
    }

    /// Changes the replicated state; the change is acknowledged.
    fn change(&mut self) {
        self.changes += 1;
        let id = format!("change-{}", self.changes);
        let outcome = self.fleet.submit_change(&id, &set_domain(&id, true));
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{}: {outcome:?}", self.case);
    }

    fn lose_disk(&mut self, control: usize) {
        self.fleet.wipe_disk(control);
    }

    /// The instance comes back with an empty disk after [`DOWN_MS`].
    fn lose_disk_and_restart(&mut self, control: usize) {
        self.lose_disk(control);
        self.fleet.run_ms(DOWN_MS);
        self.fleet.restart(control);
    }

    /// Takes an instance away for good.
    fn remove(&mut self, control: usize) {
        self.fleet.crash(control);
    }

    fn kill_all_for(&mut self, controls: &[usize], span_ms: u64) {
        let running: Vec<usize> =
            controls.iter().copied().filter(|control| self.fleet.controls[*control].core.is_some()).collect();
        for control in &running {
            self.fleet.crash(*control);
        }
        self.fleet.run_ms(span_ms);
        for control in running {
            self.fleet.restart(control);
        }
    }

    fn wait_for_leader(&mut self) {
        let is_led = self.fleet.run_until(RECOVERY_MS, |fleet| fleet.leader().is_some());
        assert!(is_led, "{}: no leader again: {:#?}", self.case, self.fleet.log_lines);
    }

    /// Checks that the group serves again and has all acknowledged changes.
    fn check(&mut self) {
        self.wait_for_leader();
        self.change();
        // The leader may be one that is about to end.
        self.fleet.run_ms(1_000);
        self.wait_for_leader();
        self.change();
        let leader = self.fleet.expect_leader();
        for number in 1..=self.changes {
            let domain = format!("change-{number}").as_str().into();
            assert!(
                self.fleet.catalogue(leader).is_domain_out(&domain),
                "{}: change {number} is lost: {:#?}",
                self.case,
                self.fleet.log_lines
            );
        }
    }
}

fn others(of: &[usize], count: usize) -> impl Iterator<Item = usize> {
    (0..count).filter(move |control| !of.contains(control))
}

/// Guards against the loss of the quorum when an instance that was replaced as planned has ended and another one loses
/// its disk.
#[test_case(0; "instance 1")]
#[test_case(1; "instance 2")]
#[test_case(2; "instance 3")]
fn a_disk_may_be_lost_at_any_moment_after_a_planned_replacement(replaced: usize) {
    for moment_ms in moments() {
        for lost in others(&[replaced], 4) {
            let case = format!("{replaced} is replaced, {lost} loses its disk {moment_ms} ms after the stop");
            let mut group = Group::start(100 + moment_ms, case);
            group.fleet.add_successor(replaced);
            group.fleet.run_ms(CATCH_UP_MS);
            group.change();
            group.fleet.stop(replaced);
            group.fleet.run_ms(moment_ms);
            group.lose_disk_and_restart(lost);
            group.check();
        }
    }
}

/// Guards against a silent voter that keeps its place after its successor has caught up.
#[test_case(0; "instance 1")]
#[test_case(1; "instance 2")]
#[test_case(2; "instance 3")]
fn a_disk_may_be_lost_once_the_successor_of_a_lost_instance_has_caught_up(replaced: usize) {
    for moment_ms in moments().step_by(4) {
        for lost in others(&[replaced], 4) {
            let case = format!("{replaced} is gone, {lost} loses its disk {moment_ms} ms after the catch-up");
            let mut group = Group::start(200 + moment_ms, case);
            group.change();
            group.remove(replaced);
            group.fleet.run_ms(moment_ms);
            group.fleet.add_successor(replaced);
            group.fleet.run_ms(CATCH_UP_MS + moment_ms);
            group.lose_disk_and_restart(lost);
            group.check();
        }
    }
}

/// Guards against a repair that takes longer than an instance counts as lost.
#[test_case(true; "disk")]
#[test_case(false; "instance")]
fn another_one_may_be_lost_once_a_lost_disk_has_had_its_time(is_disk: bool) {
    for moment_ms in moments().step_by(4) {
        for first in 0..3 {
            for second in others(&[first], 3) {
                let case =
                    format!("{first} loses its disk, {second} follows {moment_ms} ms after the catch-up");
                let mut group = Group::start(300 + moment_ms, case);
                group.change();
                group.lose_disk(first);
                group.fleet.run_ms(DOWN_MS + moment_ms);
                group.fleet.restart(first);
                group.fleet.run_ms(CATCH_UP_MS);
                group.change();
                if is_disk {
                    group.lose_disk_and_restart(second);
                } else {
                    group.remove(second);
                    group.fleet.run_ms(DOWN_MS);
                    group.fleet.add_successor(second);
                }
                group.check();
            }
        }
    }
}

/// Guards against a repair that waits for the old disk's silence and for further requests to join: with slow disks, which
/// elections and records wait for, it then takes longer than an instance counts as lost.
#[test]
fn another_disk_may_be_lost_once_a_lost_one_has_had_its_time_on_slow_disks() {
    for moment_ms in moments().step_by(4) {
        for first in 0..3 {
            for second in others(&[first], 3) {
                let case = format!("slow disks: {first} is lost, {second} {moment_ms} ms after the catch-up");
                let mut group = Group::start(350 + moment_ms, case);
                group.fleet.set_sync_ms(SLOW_SYNC_MS);
                group.change();
                group.lose_disk_and_restart(first);
                group.fleet.run_ms(CATCH_UP_MS + moment_ms);
                group.lose_disk_and_restart(second);
                group.check();
            }
        }
    }
}

/// A successor may be lost while it catches up; the instance that it replaces is then still the only loss.
#[test]
fn a_successor_may_lose_its_disk_at_any_moment_of_a_replacement() {
    for moment_ms in moments() {
        for replaced in 0..3 {
            let case = format!("{replaced} is gone, its successor loses its disk after {moment_ms} ms");
            let mut group = Group::start(400 + moment_ms, case);
            group.change();
            group.remove(replaced);
            let successor = group.fleet.add_successor(replaced);
            group.fleet.run_ms(moment_ms);
            group.lose_disk(successor);
            group.fleet.run_ms(DOWN_MS);
            group.check();
            group.fleet.restart(successor);
            group.fleet.run_ms(CATCH_UP_MS);
            group.change();
            let lost = (replaced + 1) % 3;
            group.lose_disk_and_restart(lost);
            group.check();
        }
    }
}

/// An instance that is down and comes back with its disk must count again, also where a learner had taken its place.
#[test]
fn a_disk_may_be_lost_at_any_moment_while_another_instance_is_down() {
    for moment_ms in moments() {
        for down in 0..3 {
            for lost in others(&[down], 4) {
                let case = format!("{down} is down, {lost} loses its disk after {moment_ms} ms");
                let mut group = Group::start(500 + moment_ms, case);
                group.fleet.add_successor(0);
                group.fleet.run_ms(CATCH_UP_MS);
                group.change();
                group.remove(down);
                group.fleet.run_ms(moment_ms);
                group.lose_disk_and_restart(lost);
                group.fleet.restart(down);
                group.check();
            }
        }
    }
}

/// All processes may end at any moment of a replacement and come back with their disks.
#[test]
fn a_replacement_may_be_interrupted_by_a_stop_of_everything() {
    for moment_ms in moments() {
        for replaced in 0..3 {
            let case = format!("everything stops {moment_ms} ms after the stop of {replaced}");
            let mut group = Group::start(600 + moment_ms, case);
            group.fleet.add_successor(replaced);
            group.fleet.run_ms(moment_ms % 300);
            group.change();
            group.fleet.stop(replaced);
            group.fleet.run_ms(moment_ms / 10);
            group.kill_all_for(&[0, 1, 2, 3], 100);
            group.check();
        }
    }
}

/// Guards against planned replacements of all instances, one shortly after the other, that leave no quorum.
#[test]
fn all_instances_may_be_replaced_as_planned_one_after_the_other() {
    for pause_ms in (0..=1_500).step_by(50) {
        for first in 0..3 {
            let case = format!("replaced from {first} on, {pause_ms} ms apart");
            let mut group = Group::start(700 + pause_ms, case);
            for of in 0..3 {
                group.fleet.add_successor(of);
            }
            group.fleet.run_ms(CATCH_UP_MS);
            for number in 0..3 {
                group.fleet.stop((first + number) % 3);
                group.fleet.run_ms(pause_ms);
            }
            group.check();
            let is_ended = |control: usize| group.fleet.controls[control].core.is_none();
            assert!((0..3).all(is_ended), "{}: not all of them ended", group.case);
        }
    }
}

/// A planned stop without a successor ends at once and keeps the instance's place.
#[test]
fn an_instance_without_a_successor_stops_at_once_and_remains_a_voter() {
    for control in 0..3 {
        let mut group = Group::start(800, format!("{control} is stopped"));
        group.change();
        group.fleet.stop(control);
        assert!(group.fleet.controls[control].core.is_none());
        group.fleet.run_ms(10_000);
        group.fleet.restart(control);
        let lost = (control + 1) % 3;
        group.fleet.run_ms(CATCH_UP_MS);
        group.lose_disk(lost);
        group.check();
    }
}

/// Groups that must bear two losses: a replacement and two lost disks, in any order of instances.
#[test]
fn two_disks_may_be_lost_at_any_moment_after_a_planned_replacement_among_six() {
    for moment_ms in moments().step_by(5) {
        for replaced in 0..6 {
            for lost in [(replaced + 1) % 6, (replaced + 2) % 6] {
                let also_lost = (lost + 3) % 6;
                if also_lost == replaced {
                    continue;
                }
                let case =
                    format!("{replaced} is replaced, {lost} and {also_lost} follow after {moment_ms} ms");
                let mut group = Group::start_of_six(900 + moment_ms, case);
                group.fleet.add_successor(replaced);
                group.fleet.run_ms(CATCH_UP_MS);
                group.change();
                group.fleet.stop(replaced);
                group.fleet.run_ms(moment_ms);
                group.lose_disk(lost);
                group.lose_disk(also_lost);
                group.fleet.run_ms(DOWN_MS);
                group.fleet.restart(lost);
                group.fleet.restart(also_lost);
                group.check();
            }
        }
    }
}
