//! Commits records that a quorum holds, and applies them.

use {
    super::{
        Core, Effect, catalogue, commit_holders, delivery, members, operators, push, read_index,
        reconfiguration, runs, snapshot, usage,
    },
    cumincart_protocol::{
        heartbeat::CatalogueDelta,
        number::LogIndex,
        replication::{Command, Member},
        time::Instant,
    },
    std::sync::Arc,
};

/// Commits records that a quorum holds, applies them and answers the requests that were waiting for them.
pub fn advance(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.election.is_leader() {
        commit_by_majority(core);
    }
    while core.log.applied < core.log.commit {
        apply_next(core, now, out);
    }
    snapshot::compact_if_due(core, out);
    if core.election.is_leader() {
        reconfiguration::advance(core, now, out);
        read_index::serve_confirmed(core, now, out);
    }
}

/// Returns the highest stamp that a quorum has answered.
pub fn quorum_stamp(core: &Core) -> Instant {
    let mut stamps: Vec<Instant> =
        members::all_voters(core.log.members()).map(|voter| confirmed_stamp(core, voter)).collect();
    stamps.sort_unstable();
    let members = core.log.members();
    let confirms =
        |stamp: Instant| members::is_quorum(members, |voter| confirmed_stamp(core, voter) >= stamp);
    stamps.into_iter().rev().find(|stamp| confirms(*stamp)).unwrap_or_default()
}

fn confirmed_stamp(core: &Core, voter: &Member) -> Instant {
    if members::is_own(core, voter) {
        return Instant::from_micros(u64::MAX);
    }
    core.replication.confirmed_stamp(voter)
}

fn matched_index(core: &Core, voter: &Member) -> LogIndex {
    if members::is_own(core, voter) {
        return core.log.last_index();
    }
    core.replication.match_index(voter)
}

fn commit_by_majority(core: &mut Core) {
    let members = core.log.members();
    let mut indexes: Vec<LogIndex> =
        members::all_voters(members).map(|voter| matched_index(core, voter)).collect();
    indexes.sort_unstable();
    let on_quorum =
        |index: LogIndex| members::is_quorum(members, |voter| matched_index(core, voter) >= index);
    let Some(index) = indexes.into_iter().rev().find(|index| on_quorum(*index)) else { return };
    // A leader counts replicas only for records of its own term; earlier records are committed with them
    // (Raft, 5.4.2).
    if index > core.log.commit && core.log.term_at(index) == Some(core.election.ballot.term) {
        core.log.commit = index;
    }
}

fn apply_next(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let index = core.log.applied.next();
    let Some(record) = core.log.get(index) else { return };
    let from = core.catalogue.revision;
    core.recent_deltas.forget_updates();
    let lists_before = Arc::clone(&core.catalogue.lists);
    let catalogue = Arc::make_mut(&mut core.catalogue);
    let (change, outcome) = catalogue::apply(catalogue, &mut core.outcomes, &mut core.document, record);
    commit_holders::update(catalogue, &lists_before);
    let (command, term) = (record.command.clone(), record.term);
    let to = core.catalogue.revision;
    core.pushes.record(now, to, push::urgency(&command, &change));
    delivery::record(core, now, term, &change);
    core.recent_deltas.push(CatalogueDelta { from, to, change });
    core.log.applied = index;
    match &command {
        Command::PutRun(run) => runs::on_run_added(core, now, run, out),
        Command::RemoveRun(run) => runs::on_run_removed(core, run),
        Command::FixUsage(fixed) => usage::on_fixed(core, fixed),
        _ => {}
    }
    if let Some(outcome) = outcome {
        operators::on_applied(core, index, &outcome, out);
    }
}
