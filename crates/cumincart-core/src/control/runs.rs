//! The runs of entry instances that may hold leases, as recorded in the replicated log. A run is one
//! incarnation of an instance's process.
//!
//! A run is recorded before it is granted its first lease. So a new leader knows all instances that earlier
//! leaders may have granted leases to. It need not wait for these leases to expire once each of these runs
//! has reported everything that it holds, or a later run of the same instance shows that it has ended.

use {
    super::{Core, Effect, failover, leases, permits, replicate, shares},
    cumincart_protocol::{
        heartbeat::Heartbeat,
        name::InstanceName,
        number::ControlTerm,
        replication::{Command, InstanceIncarnation},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
};

/// The recorded runs, and which of them this leadership has accounted for.
#[derive(Debug, Default)]
pub struct Runs {
    /// The runs that may hold leases; replicated.
    pub known: SortedVec<InstanceIncarnation>,
    /// Instances whose runs from earlier leaderships have reported everything or have ended.
    accounted_for: SortedVec<InstanceName>,
    /// Whether all of these runs are accounted for.
    all_accounted_for: bool,
    /// Instances whose runs from earlier leaderships have adopted this leader or have ended.
    adopted_by: SortedVec<InstanceName>,
    /// Whether all of these runs have.
    all_adopted: bool,
    /// Runs that are proposed but not applied yet.
    proposed: SortedVec<InstanceIncarnation>,
}

impl Runs {
    /// Restores the runs of a snapshot.
    pub fn open(known: SortedVec<InstanceIncarnation>) -> Self {
        Self { known, ..Self::default() }
    }
}

/// Resets the accounting at the start of a leadership.
pub fn on_elected(runs: &mut Runs) {
    runs.accounted_for = SortedVec::new();
    runs.proposed = SortedVec::new();
    runs.all_accounted_for = false;
    runs.adopted_by = SortedVec::new();
    runs.all_adopted = false;
}

/// Returns whether the heartbeat's run is recorded, so that it may be granted a lease. If it is not, proposes
/// the record.
pub fn ensure_recorded(core: &mut Core, now: Instant, heartbeat: &Heartbeat, out: &mut Vec<Effect>) -> bool {
    let run =
        InstanceIncarnation { instance: heartbeat.instance.clone(), incarnation: heartbeat.incarnation };
    if core.runs.known.get(&run.instance) == Some(&run) {
        return true;
    }
    if core.runs.proposed.get(&run.instance) != Some(&run) {
        core.runs.proposed.insert(run.clone());
        replicate::propose(core, now, Command::PutRun(run), out);
    }
    false
}

/// Records what a heartbeat shows about the leases of earlier leaders. Called after the ledgers have
/// processed its reports.
pub fn on_heartbeat(core: &mut Core, now: Instant, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    if core.runs.all_accounted_for && core.runs.all_adopted {
        return;
    }
    if has_adopted(heartbeat, core.election.ballot.term) {
        core.runs.adopted_by.insert(heartbeat.instance.clone());
    }
    if heartbeat.complete {
        core.runs.accounted_for.insert(heartbeat.instance.clone());
    }
    end_lease_recovery_if_accounted_for(core, now, out);
}

/// Applies a record that adds a run. If the run replaces an earlier one of the same instance, what the
/// earlier run held becomes free.
pub(super) fn on_run_added(core: &mut Core, now: Instant, run: &InstanceIncarnation, out: &mut Vec<Effect>) {
    core.runs.proposed.remove(&run.instance);
    let Some(earlier) = core.runs.known.insert(run.clone()) else { return };
    if earlier.incarnation < run.incarnation {
        mark_ended(&mut core.runs, &run.instance);
        if core.election.is_leader() {
            leases::on_run_replaced(core, now, &earlier);
        }
    }
    end_lease_recovery_if_accounted_for(core, now, out);
}

/// Applies a record that removes a run, which no longer holds anything.
pub(super) fn on_run_removed(core: &mut Core, run: &InstanceIncarnation) {
    if core.runs.known.get(&run.instance) == Some(run) {
        core.runs.known.remove(&run.instance);
    }
}

/// Proposes to remove a run whose leases have ended.
pub fn propose_removal(core: &mut Core, now: Instant, run: InstanceIncarnation, out: &mut Vec<Effect>) {
    if core.runs.known.get(&run.instance) == Some(&run) {
        replicate::propose(core, now, Command::RemoveRun(run), out);
    }
}

/// Whether a run has adopted this leader, which it does only after a complete report. Until then an answer of an earlier
/// leader that comes late may still give it a share that its reports don't show. A run that doesn't report whom it has
/// adopted counts from its complete report on.
fn has_adopted(heartbeat: &Heartbeat, control_term: ControlTerm) -> bool {
    heartbeat.grants_term.map_or(heartbeat.complete, |term| term == control_term)
}

fn mark_ended(runs: &mut Runs, instance: &InstanceName) {
    runs.accounted_for.insert(instance.clone());
    runs.adopted_by.insert(instance.clone());
}

/// Ends the recovery period once every run that may hold a lease of an earlier leader is accounted for; that of the
/// shares once each has adopted this leader.
fn end_lease_recovery_if_accounted_for(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !failover::is_established_leader(core) {
        return;
    }
    let runs = &core.runs;
    let has_all =
        |instances: &SortedVec<InstanceName>| runs.known.iter().all(|run| instances.contains(run.key()));
    let all_accounted_for = !runs.all_accounted_for && has_all(&runs.accounted_for);
    let all_adopted = !runs.all_adopted && has_all(&runs.adopted_by);
    if all_accounted_for {
        core.runs.all_accounted_for = true;
        if leases::end_lease_recovery(&mut core.leases, now) {
            out.push(Effect::Log("all earlier leases are accounted for".into()));
        }
        permits::end_lease_recovery(&mut core.permits, now);
    }
    if all_adopted {
        core.runs.all_adopted = true;
        shares::end_lease_recovery(&mut core.shares, now);
    }
}
