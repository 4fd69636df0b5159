//! The replicated log as held by this instance: the retained records, and the commit and apply indexes.

use cumincart_protocol::{
    change::{Action, Change},
    number::{ControlTerm, LogIndex},
    replication::{Command, Members, Record},
};

/// The retained records, and the indexes up to which they are committed and applied.
#[derive(Debug)]
pub struct Log {
    /// The index after which the retained records begin. A snapshot covers the records up to it.
    base_index: LogIndex,
    base_term: ControlTerm,
    base_members: Members,
    records: Vec<Record>,
    /// The members as of the last record, committed or not.
    members: Members,
    members_index: LogIndex,
    /// The total size of the configurations in the retained records.
    configuration_bytes: usize,
    /// The highest index known to be on a quorum.
    pub commit: LogIndex,
    /// The highest index applied to the catalogue.
    pub applied: LogIndex,
}

impl Log {
    /// Returns a log that begins after a snapshot (index 0 and term 0 if there is none), with the records
    /// that follow it.
    pub fn open(index: LogIndex, term: ControlTerm, members: Members, records: Vec<Record>) -> Self {
        let mut log = Self {
            base_index: index,
            base_term: term,
            base_members: members.clone(),
            records,
            members,
            members_index: index,
            configuration_bytes: 0,
            commit: index,
            applied: index,
        };
        log.update_members();
        log.update_configuration_bytes();
        log
    }

    /// Returns the total size of the configurations in the retained records, in bytes.
    pub fn configuration_bytes(&self) -> usize {
        self.configuration_bytes
    }

    /// Returns the index of the last record, or the snapshot's index if no record is retained.
    pub fn last_index(&self) -> LogIndex {
        self.records.last().map_or(self.base_index, |record| record.index)
    }

    /// Returns the term of the last record.
    pub fn last_term(&self) -> ControlTerm {
        self.records.last().map_or(self.base_term, |record| record.term)
    }

    /// Returns the index after which the retained records begin.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the members as of the last record, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the index of the record that set the members.
    pub fn members_index(&self) -> LogIndex {
        self.members_index
    }

    /// Returns the members as of a retained index.
    pub fn members_at(&self, index: LogIndex) -> Members {
        let changes = self.records.iter().rev().filter(|record| record.index <= index);
        let found = changes.filter_map(|record| members_of(&record.command)).next();
        found.unwrap_or(&self.base_members).clone()
    }

    /// Returns the term of the record with this index; `None` if it is not retained.
    pub fn term_at(&self, index: LogIndex) -> Option<ControlTerm> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|record| record.term)
    }

    /// Returns the record with this index.
    pub fn get(&self, index: LogIndex) -> Option<&Record> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.records.get(usize::try_from(offset).ok()?)
    }

    /// Returns at most `limit` records that follow an index.
    pub fn after(&self, index: LogIndex, limit: usize) -> &[Record] {
        let offset = usize::try_from(index.0.saturating_sub(self.base_index.0)).unwrap_or(usize::MAX);
        let start = offset.min(self.records.len());
        let end = start.saturating_add(limit).min(self.records.len());
        &self.records[start..end]
    }

    /// Appends a record.
    pub fn push(&mut self, record: Record) {
        debug_assert_eq!(record.index, self.last_index().next());
        if let Some(members) = members_of(&record.command) {
            self.members = members.clone();
            self.members_index = record.index;
        }
        self.configuration_bytes += configuration_bytes(&record.command);
        self.records.push(record);
    }

    /// Removes the record with this index and all records after it.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.base_index.0 + 1);
        self.records.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.update_members();
        self.update_configuration_bytes();
    }

    /// Removes the records up to an index that a snapshot covers.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        self.base_members = self.members_at(index);
        let dropped = usize::try_from(index.0 - self.base_index.0).unwrap_or(usize::MAX);
        self.records.drain(..dropped.min(self.records.len()));
        self.base_index = index;
        self.base_term = term;
        self.update_members();
        self.update_configuration_bytes();
    }

    fn update_configuration_bytes(&mut self) {
        self.configuration_bytes =
            self.records.iter().map(|record| configuration_bytes(&record.command)).sum();
    }

    /// Returns the number of retained records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is retained.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn update_members(&mut self) {
        let found = self
            .records
            .iter()
            .rev()
            .find_map(|record| members_of(&record.command).map(|m| (record.index, m)));
        let (index, members) = found.unwrap_or((self.base_index, &self.base_members));
        self.members_index = index;
        self.members = members.clone();
    }
}

/// Returns the size of the configuration that a record carries.
fn configuration_bytes(command: &Command) -> usize {
    match command {
        Command::Operator(Change { action: Action::Replace(configuration), .. }) => {
            configuration.content.size()
        }
        _ => 0,
    }
}

fn members_of(command: &Command) -> Option<&Members> {
    match command {
        Command::Members(members) => Some(members),
        _ => None,
    }
}
