//! Snapshots of the replicated state: they bound the size of the log and bring control instances that are far
//! behind up to date.

use {
    super::{
        Core, Effect, Persist, delivery, election, log::Log, operators::Outcomes, replicate, runs::Runs,
    },
    cumincart_protocol::{
        number::LogIndex,
        replication::{AppendAnswer, Member, ReplicationBody, Snapshot},
        time::Instant,
    },
    std::sync::Arc,
};

/// The number of applied records in the log after which a snapshot is taken.
pub const SNAPSHOT_AFTER_RECORDS: u64 = 1_024;

/// The total size of the configurations in the log after which a snapshot is taken, in bytes. It is a
/// fraction of the smallest disk that a control instance is given, which holds the state twice while a
/// snapshot is written.
pub const SNAPSHOT_AFTER_BYTES: usize = 4 * 1024 * 1024;

/// The number of applied records retained after a snapshot, for followers that are slightly behind.
pub const RETAINED_RECORDS: u64 = 256;

/// Returns a snapshot of the applied state.
pub fn current(core: &Core) -> Snapshot {
    let index = core.log.applied;
    Snapshot {
        index,
        term: core.log.term_at(index).unwrap_or_default(),
        members: core.log.members_at(index),
        catalogue: Arc::clone(&core.catalogue),
        outcomes: core.outcomes.to_vec(),
        document: core.document.clone(),
        runs: core.runs.known.clone(),
        usage: core.usage.windows.clone(),
    }
}

/// Takes a snapshot if the log has reached its limit.
pub fn compact_if_due(core: &mut Core, out: &mut Vec<Effect>) {
    let kept = core.log.applied.0.saturating_sub(core.log.base_index().0);
    let is_large = core.log.configuration_bytes() >= SNAPSHOT_AFTER_BYTES;
    if kept == 0 || (kept < SNAPSHOT_AFTER_RECORDS && !is_large) {
        return;
    }
    out.push(Effect::Persist(Persist::Snapshot(Box::new(current(core)))));
    let retained = if is_large { 0 } else { RETAINED_RECORDS };
    core.log.compact(LogIndex(core.log.applied.0 - retained));
}

/// Handles a snapshot sent by the leader.
pub fn on_install(core: &mut Core, now: Instant, from: &Member, snapshot: Snapshot, out: &mut Vec<Effect>) {
    election::on_leader_heard(core, now, &from.instance, out);
    if snapshot.index > core.log.commit {
        install(core, snapshot, out);
    }
    let answer = AppendAnswer { sent_at: Instant::ZERO, success: true, matched: core.log.commit };
    replicate::send(core, from, ReplicationBody::AppendAnswer(answer), out);
}

fn install(core: &mut Core, snapshot: Snapshot, out: &mut Vec<Effect>) {
    out.push(Effect::Log(format!("installed a snapshot up to record {}", snapshot.index).into()));
    out.push(Effect::Persist(Persist::Snapshot(Box::new(snapshot.clone()))));
    let has_snapshot_record = core.log.term_at(snapshot.index) == Some(snapshot.term);
    let kept =
        if has_snapshot_record { core.log.after(snapshot.index, usize::MAX).to_vec() } else { Vec::new() };
    core.log = Log::open(snapshot.index, snapshot.term, snapshot.members, kept);
    core.catalogue = snapshot.catalogue;
    core.outcomes = Outcomes::open(snapshot.outcomes);
    core.document = snapshot.document;
    core.runs = Runs::open(snapshot.runs);
    core.usage.windows = snapshot.usage;
    core.recent_deltas.clear();
    delivery::forget_changes(&mut core.deliveries);
}
