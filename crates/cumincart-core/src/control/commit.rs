//! Commits what a majority of the members has, and applies it.

use {
    super::{Board, Effect, catalogue, members, operators, read_index, runs, snapshot},
    cumincart_protocol::{
        heartbeat::CatalogueDelta, name::InstanceName, number::LogIndex, replication::Command, time::Instant,
    },
    std::sync::Arc,
};

/// Commits what a majority has, applies it and answers those who waited for it.
pub fn advance(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    if board.election.is_leader() {
        commit_by_majority(board);
    }
    while board.log.applied < board.log.commit {
        apply_next(board, now, out);
    }
    snapshot::take_if_due(board, out);
    if board.election.is_leader() {
        members::promote_learners(board, now, out);
        members::retire_silent(board, now, out);
        read_index::serve(board, now, out);
    }
}

/// The greatest stamp that a quorum has answered.
pub fn quorum_stamp(board: &Board) -> Instant {
    let mut stamps: Vec<Instant> =
        board.log.members().voters.iter().map(|voter| confirmed_stamp(board, &voter.instance)).collect();
    stamps.sort_unstable();
    let members = board.log.members();
    let confirms = |stamp: Instant| {
        members::is_quorum(members, |voter| confirmed_stamp(board, &voter.instance) >= stamp)
    };
    stamps.into_iter().rev().find(|stamp| confirms(*stamp)).unwrap_or_default()
}

fn confirmed_stamp(board: &Board, instance: &InstanceName) -> Instant {
    if *instance == board.settings.member.instance {
        return Instant::from_micros(u64::MAX);
    }
    board.replication.confirmed(instance)
}

fn matched_index(board: &Board, instance: &InstanceName) -> LogIndex {
    if *instance == board.settings.member.instance {
        return board.log.last_index();
    }
    board.replication.matched(instance)
}

fn commit_by_majority(board: &mut Board) {
    let members = board.log.members();
    let mut indexes: Vec<LogIndex> =
        members.voters.iter().map(|voter| matched_index(board, &voter.instance)).collect();
    indexes.sort_unstable();
    let on_quorum =
        |index: LogIndex| members::is_quorum(members, |voter| matched_index(board, &voter.instance) >= index);
    let Some(index) = indexes.into_iter().rev().find(|index| on_quorum(*index)) else { return };
    // A record of an earlier term is committed only through one of the own term (Raft, 5.4.2).
    if index > board.log.commit && board.log.term_at(index) == Some(board.election.ballot.term) {
        board.log.commit = index;
    }
}

fn apply_next(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    let index = board.log.applied.next();
    let Some(record) = board.log.get(index) else { return };
    let from = board.catalogue.revision;
    let catalogue = Arc::make_mut(&mut board.catalogue);
    let (change, outcome) = catalogue::apply(catalogue, &mut board.outcomes, &mut board.document, record);
    let command = record.command.clone();
    let to = board.catalogue.revision;
    board.recent.push(CatalogueDelta { from, to, change });
    board.log.applied = index;
    match &command {
        Command::PutRun(run) => runs::on_put(board, now, run, out),
        Command::RemoveRun(run) => runs::on_removed(board, run),
        _ => {}
    }
    if let Some(outcome) = outcome {
        operators::on_applied(board, index, &outcome, out);
    }
}
