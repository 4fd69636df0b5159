//! Operators' changes. Each change id has exactly one outcome, also when the change is sent again after a
//! lost answer.

use {
    super::{ControlRefusal, Core, Effect, Ticket, configuration, election, replicate},
    cumincart_protocol::{
        change::{Change, ChangeId, Outcome},
        number::LogIndex,
        replication::{Command, RememberedOutcome},
        time::Instant,
    },
};

/// The maximum number of retained outcomes. A change that is sent again after this many later changes is
/// treated as a new change.
pub const REMEMBERED_OUTCOMES: usize = 4_096;

/// The outcomes of the last changes, oldest first; part of the replicated state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcomes {
    items: Vec<RememberedOutcome>,
}

impl Outcomes {
    /// Restores the outcomes of a snapshot.
    pub fn open(items: Vec<RememberedOutcome>) -> Self {
        Self { items }
    }

    /// Returns the outcome of a change, if it is retained.
    pub fn get(&self, id: &ChangeId) -> Option<&Outcome> {
        self.items.iter().rev().find(|item| item.id == *id).map(|item| &item.outcome)
    }

    /// Records an outcome, and removes the oldest one if the limit is reached.
    pub fn record(&mut self, id: ChangeId, outcome: Outcome) {
        if self.items.len() >= REMEMBERED_OUTCOMES {
            self.items.remove(0);
        }
        self.items.push(RememberedOutcome { id, outcome });
    }

    /// Returns all outcomes, oldest first, as stored in a snapshot.
    pub fn to_vec(&self) -> Vec<RememberedOutcome> {
        self.items.clone()
    }
}

/// Operators' changes that are waiting for their commit.
#[derive(Debug, Default)]
pub struct PendingChanges {
    waiting: Vec<PendingChange>,
}

#[derive(Debug)]
struct PendingChange {
    index: LogIndex,
    ticket: Ticket,
}

/// Proposes an operator's change, or answers with its outcome if the change was already decided.
pub fn on_change(core: &mut Core, now: Instant, ticket: Ticket, change: Change, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        let leader = election::leader_hint(core);
        out.push(Effect::AnswerOperator(ticket, Err(ControlRefusal::NotLeader(leader))));
        return;
    }
    if let Some(outcome) = core.outcomes.get(&change.id) {
        out.push(Effect::AnswerOperator(ticket, Ok(outcome.clone())));
        return;
    }
    let change = configuration::reduce_to_patch(core, change);
    let index = replicate::propose(core, now, Command::Operator(change), out);
    core.pending_changes.waiting.push(PendingChange { index, ticket });
}

/// Answers the changes that were waiting for the record with this index.
pub fn on_applied(core: &mut Core, index: LogIndex, outcome: &Outcome, out: &mut Vec<Effect>) {
    let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut core.pending_changes.waiting)
        .into_iter()
        .partition(|change| change.index == index);
    core.pending_changes.waiting = waiting;
    for change in done {
        out.push(Effect::AnswerOperator(change.ticket, Ok(outcome.clone())));
    }
}

/// Answers all waiting changes with `ControlRefusal::Unknown`, since the next leader may still commit them.
pub fn on_leadership_lost(core: &mut Core, out: &mut Vec<Effect>) {
    for change in std::mem::take(&mut core.pending_changes.waiting) {
        out.push(Effect::AnswerOperator(change.ticket, Err(ControlRefusal::Unknown)));
    }
}
