//! Snapshots: they bound the log, and bring a control instance that is far behind up to date.

use {
    super::{Core, Effect, Persist, election, log::Log, operators::Outcomes, replicate, runs::Runs},
    cumincart_protocol::{
        number::LogIndex,
        replication::{AppendAnswer, Member, ReplicationBody, Snapshot},
        time::Instant,
    },
    std::sync::Arc,
};

/// A snapshot is taken when this many applied records are kept.
pub const SNAPSHOT_AFTER_RECORDS: u64 = 1_024;

/// A snapshot is taken when the kept records' configurations are this large, in bytes: a fraction of the smallest disk
/// that a control instance is given, which holds the state twice while it is written anew.
pub const SNAPSHOT_AFTER_BYTES: usize = 4 * 1024 * 1024;

/// How many applied records are kept behind a snapshot, for followers that are a little behind.
pub const RECORDS_KEPT: u64 = 256;

/// The applied state as a snapshot.
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
    }
}

/// Takes a snapshot when the log has grown long.
pub fn take_if_due(core: &mut Core, out: &mut Vec<Effect>) {
    let kept = core.log.applied.0.saturating_sub(core.log.base_index().0);
    let is_large = core.log.configuration_bytes() >= SNAPSHOT_AFTER_BYTES;
    if kept == 0 || (kept < SNAPSHOT_AFTER_RECORDS && !is_large) {
        return;
    }
    out.push(Effect::Persist(Persist::Snapshot(Box::new(current(core)))));
    let kept_after = if is_large { 0 } else { RECORDS_KEPT };
    core.log.compact(LogIndex(core.log.applied.0 - kept_after));
}

/// Takes a leader's snapshot in.
pub fn on_install(core: &mut Core, now: Instant, from: &Member, snapshot: Snapshot, out: &mut Vec<Effect>) {
    election::on_leader_heard(core, now, &from.instance, out);
    if snapshot.index > core.log.commit {
        replace(core, snapshot, out);
    }
    let answer = AppendAnswer { sent_at: Instant::ZERO, success: true, matched: core.log.commit };
    replicate::send(core, from, ReplicationBody::AppendAnswer(answer), out);
}

fn replace(core: &mut Core, snapshot: Snapshot, out: &mut Vec<Effect>) {
    out.push(Effect::Log(format!("took in a snapshot up to record {}", snapshot.index).into()));
    out.push(Effect::Persist(Persist::Snapshot(Box::new(snapshot.clone()))));
    let matches = core.log.term_at(snapshot.index) == Some(snapshot.term);
    let kept = if matches { core.log.after(snapshot.index, usize::MAX).to_vec() } else { Vec::new() };
    core.log = Log::open(snapshot.index, snapshot.term, snapshot.members, kept);
    core.catalogue = snapshot.catalogue;
    core.outcomes = Outcomes::open(snapshot.outcomes);
    core.document = snapshot.document;
    core.runs = Runs::open(snapshot.runs);
    core.recent.clear();
}
