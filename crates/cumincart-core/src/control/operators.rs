//! Operators' changes: one outcome for each change id, also for a resend after a lost answer.

use {
    super::{ControlRefusal, Core, Effect, Ticket, configuration, election, replicate},
    cumincart_protocol::{
        change::{Change, ChangeId, Outcome},
        number::LogIndex,
        replication::{Command, StoredOutcome},
        time::Instant,
    },
};

/// How many outcomes are remembered. A resend that comes after this many later changes counts as a new change.
pub const REMEMBERED_OUTCOMES: usize = 4_096;

/// The outcomes of the last changes, oldest first; part of the replicated state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcomes {
    items: Vec<StoredOutcome>,
}

impl Outcomes {
    /// The outcomes that a snapshot held.
    pub fn open(items: Vec<StoredOutcome>) -> Self {
        Self { items }
    }

    /// The outcome of a change, where it is remembered.
    pub fn get(&self, id: &ChangeId) -> Option<&Outcome> {
        self.items.iter().rev().find(|item| item.id == *id).map(|item| &item.outcome)
    }

    /// Remembers an outcome and forgets the oldest beyond the bound.
    pub fn remember(&mut self, id: ChangeId, outcome: Outcome) {
        if self.items.len() >= REMEMBERED_OUTCOMES {
            self.items.remove(0);
        }
        self.items.push(StoredOutcome { id, outcome });
    }

    /// All outcomes, oldest first, as a snapshot holds them.
    pub fn to_vec(&self) -> Vec<StoredOutcome> {
        self.items.clone()
    }
}

/// Operators who wait for their change to be committed.
#[derive(Debug, Default)]
pub struct Pending {
    waiting: Vec<WaitingChange>,
}

#[derive(Debug)]
struct WaitingChange {
    index: LogIndex,
    ticket: Ticket,
}

/// Proposes an operator's change, or gives the outcome that it has had before.
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
    let change = configuration::reduce(core, change);
    let index = replicate::propose(core, now, Command::Operator(change), out);
    core.pending.waiting.push(WaitingChange { index, ticket });
}

/// Answers the operators who wait for the record with this index.
pub fn on_applied(core: &mut Core, index: LogIndex, outcome: &Outcome, out: &mut Vec<Effect>) {
    let (done, waiting): (Vec<_>, Vec<_>) =
        std::mem::take(&mut core.pending.waiting).into_iter().partition(|change| change.index == index);
    core.pending.waiting = waiting;
    for change in done {
        out.push(Effect::AnswerOperator(change.ticket, Ok(outcome.clone())));
    }
}

/// Tells all who wait that leadership was lost: their change may be committed by the next leader.
pub fn on_leadership_lost(core: &mut Core, out: &mut Vec<Effect>) {
    for change in std::mem::take(&mut core.pending.waiting) {
        out.push(Effect::AnswerOperator(change.ticket, Err(ControlRefusal::Unknown)));
    }
}
