//! Snapshots: they bound the log, and bring a control instance that is far behind up to date.

use {
    super::{Board, Effect, Persist, election, log::Log, operators::Outcomes, replicate, runs::Runs},
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
pub fn current(board: &Board) -> Snapshot {
    let index = board.log.applied;
    Snapshot {
        index,
        term: board.log.term_at(index).unwrap_or_default(),
        members: board.log.members_at(index),
        catalogue: Arc::clone(&board.catalogue),
        outcomes: board.outcomes.to_vec(),
        document: board.document.clone(),
        runs: board.runs.known.clone(),
    }
}

/// Takes a snapshot when the log has grown long.
pub fn take_if_due(board: &mut Board, out: &mut Vec<Effect>) {
    let kept = board.log.applied.0.saturating_sub(board.log.base_index().0);
    let is_large = board.log.configuration_bytes() >= SNAPSHOT_AFTER_BYTES;
    if kept == 0 || (kept < SNAPSHOT_AFTER_RECORDS && !is_large) {
        return;
    }
    out.push(Effect::Persist(Persist::Snapshot(Box::new(current(board)))));
    let kept_after = if is_large { 0 } else { RECORDS_KEPT };
    board.log.compact(LogIndex(board.log.applied.0 - kept_after));
}

/// Takes a leader's snapshot in.
pub fn on_install(board: &mut Board, now: Instant, from: &Member, snapshot: Snapshot, out: &mut Vec<Effect>) {
    election::on_leader_heard(board, now, &from.instance, out);
    if snapshot.index > board.log.commit {
        replace(board, snapshot, out);
    }
    let answer = AppendAnswer { sent_at: Instant::ZERO, success: true, matched: board.log.commit };
    replicate::send(board, from, ReplicationBody::AppendAnswer(answer), out);
}

fn replace(board: &mut Board, snapshot: Snapshot, out: &mut Vec<Effect>) {
    out.push(Effect::Note(format!("took in a snapshot up to record {}", snapshot.index).into()));
    out.push(Effect::Persist(Persist::Snapshot(Box::new(snapshot.clone()))));
    let matches = board.log.term_at(snapshot.index) == Some(snapshot.term);
    let kept = if matches { board.log.after(snapshot.index, usize::MAX).to_vec() } else { Vec::new() };
    board.log = Log::open(snapshot.index, snapshot.term, snapshot.members, kept);
    board.catalogue = snapshot.catalogue;
    board.outcomes = Outcomes::open(snapshot.outcomes);
    board.document = snapshot.document;
    board.runs = Runs::open(snapshot.runs);
    board.recent.clear();
}
