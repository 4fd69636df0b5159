//! The state in the data folder: the result of all [`Persist`]s so far.

use {
    cumincart_core::control::{Persist, Stored},
    cumincart_protocol::{
        number::LogIndex,
        replication::{Ballot, Record, Snapshot},
    },
    serde::{Deserialize, Serialize},
};

/// The ballot, the last snapshot and the records after it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    ballot: Ballot,
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

impl State {
    /// Applies a change.
    pub fn apply(&mut self, persist: &Persist) {
        match persist {
            Persist::Ballot(ballot) => self.ballot = ballot.clone(),
            Persist::Append(records) => self.records.extend_from_slice(records),
            Persist::TruncateFrom(index) => self.records.retain(|record| record.index < *index),
            Persist::Snapshot(snapshot) => self.replace_snapshot(snapshot),
        }
    }

    /// Returns the state in the form that the core reads at its start.
    pub fn stored(&self) -> Stored {
        Stored { ballot: self.ballot.clone(), snapshot: self.snapshot.clone(), records: self.records.clone() }
    }

    /// Replaces the snapshot. The records after it are kept only if the log contains the snapshot's last record with
    /// the same term; otherwise they belong to another history.
    fn replace_snapshot(&mut self, snapshot: &Snapshot) {
        let at_end = self.records.iter().find(|record| record.index == snapshot.index);
        let is_same_history = at_end.is_some_and(|record| record.term == snapshot.term);
        let first_kept = if is_same_history { snapshot.index.next() } else { LogIndex(u64::MAX) };
        self.records.retain(|record| record.index >= first_kept);
        self.snapshot = Some(snapshot.clone());
    }
}
