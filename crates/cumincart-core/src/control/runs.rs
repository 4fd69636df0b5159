//! The runs of entry instances that may hold leases, as the group has written them down.
//!
//! A run is written down before it gets its first lease. So a new leader knows whom earlier leaders may have given leases
//! to: it need not wait for their end once each of these runs has told all that it holds, or a later run of the same
//! instance shows that it is gone.

use {
    super::{Core, Effect, failover, leases, permits, replicate, shares},
    cumincart_protocol::{
        heartbeat::Heartbeat,
        name::InstanceName,
        replication::{Command, InstanceIncarnation},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
};

/// The runs, and what this leadership knows of them.
#[derive(Debug, Default)]
pub struct Runs {
    /// The runs that may hold leases; replicated.
    pub known: SortedVec<InstanceIncarnation>,
    /// Instances whose run of an earlier leadership is accounted for.
    accounted: Vec<InstanceName>,
    /// Whether all of them are.
    is_settled: bool,
    /// Runs that are proposed and not applied yet.
    proposed: SortedVec<InstanceIncarnation>,
}

impl Runs {
    /// The runs that a snapshot held.
    pub fn open(known: SortedVec<InstanceIncarnation>) -> Self {
        Self { known, ..Self::default() }
    }
}

/// Begins a leadership: nobody has told anything yet.
pub fn on_elected(runs: &mut Runs) {
    runs.accounted.clear();
    runs.proposed = SortedVec::new();
    runs.is_settled = false;
}

/// Whether the heartbeat's run is written down, so that it may get a lease. If not, it is proposed.
pub fn is_admitted(core: &mut Core, now: Instant, heartbeat: &Heartbeat, out: &mut Vec<Effect>) -> bool {
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

/// Notes what a heartbeat shows of earlier leaders' leases, after the ledgers have taken its reports.
pub fn on_heartbeat(core: &mut Core, now: Instant, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    if core.runs.is_settled {
        return;
    }
    if heartbeat.complete {
        account(&mut core.runs, &heartbeat.instance);
    }
    settle(core, now, out);
}

/// Applies a record: a later run of an instance ends the earlier one, and what it held is free.
pub(super) fn on_put(core: &mut Core, now: Instant, run: &InstanceIncarnation, out: &mut Vec<Effect>) {
    core.runs.proposed.remove(&run.instance);
    let Some(earlier) = core.runs.known.insert(run.clone()) else { return };
    if earlier.incarnation < run.incarnation {
        account(&mut core.runs, &run.instance);
        if core.election.is_leader() {
            leases::on_run_replaced(core, now, &earlier);
        }
    }
    settle(core, now, out);
}

/// Applies a record: the run holds nothing any more.
pub(super) fn on_removed(core: &mut Core, run: &InstanceIncarnation) {
    if core.runs.known.get(&run.instance) == Some(run) {
        core.runs.known.remove(&run.instance);
    }
}

/// Proposes to forget a run whose leases have ended.
pub fn forget(core: &mut Core, now: Instant, run: InstanceIncarnation, out: &mut Vec<Effect>) {
    if core.runs.known.get(&run.instance) == Some(&run) {
        replicate::propose(core, now, Command::RemoveRun(run), out);
    }
}

fn account(runs: &mut Runs, instance: &InstanceName) {
    if let Err(place) = runs.accounted.binary_search(instance) {
        runs.accounted.insert(place, instance.clone());
    }
}

/// Ends the wait for earlier leaders' leases once every run that may hold one is accounted for.
fn settle(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.runs.is_settled || !failover::is_in_charge(core) {
        return;
    }
    let runs = &core.runs;
    if !runs.known.iter().all(|run| runs.accounted.binary_search(run.key()).is_ok()) {
        return;
    }
    core.runs.is_settled = true;
    if leases::end_wait(&mut core.leases, now) {
        out.push(Effect::Log("all earlier leases are accounted for".into()));
    }
    shares::end_wait(&mut core.shares, now);
    permits::end_wait(&mut core.permits, now);
}
