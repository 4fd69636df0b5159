//! What the data folder holds, as one value: the sum of all that was persisted.

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
    /// Adds one step.
    pub fn apply(&mut self, persist: &Persist) {
        match persist {
            Persist::Ballot(ballot) => self.ballot = ballot.clone(),
            Persist::Append(records) => self.records.extend_from_slice(records),
            Persist::TruncateFrom(index) => self.records.retain(|record| record.index < *index),
            Persist::Snapshot(snapshot) => self.replace_snapshot(snapshot),
        }
    }

    /// The state as the core reads it.
    pub fn stored(&self) -> Stored {
        Stored { ballot: self.ballot.clone(), snapshot: self.snapshot.clone(), records: self.records.clone() }
    }

    /// Records behind a snapshot are kept only where the record at its end is the one that it covers.
    fn replace_snapshot(&mut self, snapshot: &Snapshot) {
        let at_end = self.records.iter().find(|record| record.index == snapshot.index);
        let continues = at_end.is_some_and(|record| record.term == snapshot.term);
        let first_kept = if continues { snapshot.index.next() } else { LogIndex(u64::MAX) };
        self.records.retain(|record| record.index >= first_kept);
        self.snapshot = Some(snapshot.clone());
    }
}
