//! Session values and prepared statements, and the commands that apply them to a borrowed connection.

pub use cumincart_protocol::exchange::{Prepared, SessionValue};

use {
    super::held_statements::HeldStatements,
    cumincart_protocol::{
        exchange::{Command, LogPoint},
        sorted::SortedVec,
    },
    std::sync::Arc,
};

/// The maximum number of values and prepared statements of one session together, which bounds the memory a client can
/// use.
pub const SESSION_ENTRIES_MAX: usize = 256;

/// The bytes that a value or prepared statement uses besides its texts: two pointers with lengths and counts.
const ENTRY_BYTES: usize = 80;

/// The state that lasts as long as a session.
#[derive(Debug, Default)]
pub struct SessionState {
    values: SortedVec<SessionValue>,
    prepared: SortedVec<Prepared>,
    /// The log point of the session's last commit.
    pub committed: Option<LogPoint>,
}

impl SessionState {
    /// Sets a value. Returns `false` if the value is new and the session is full.
    pub fn set(&mut self, name: Arc<str>, value: Arc<str>) -> bool {
        if !self.values.contains(&name) && self.is_full() {
            return false;
        }
        self.values.insert(SessionValue { name, value });
        true
    }

    /// Stores a prepared statement. Returns `false` if its name is new and the session is full.
    pub fn prepare(&mut self, prepared: Prepared) -> bool {
        if !self.prepared.contains(&prepared.name) && self.is_full() {
            return false;
        }
        self.prepared.insert(prepared);
        true
    }

    /// Removes a prepared statement. Returns whether it existed.
    pub fn deallocate(&mut self, name: &Arc<str>) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Returns the statement prepared under this name.
    pub fn prepared(&self, name: &Arc<str>) -> Option<&Prepared> {
        self.prepared.get(name)
    }

    /// Creates a session state from the values in a relayed request.
    pub fn with_values(values: SortedVec<SessionValue>) -> Self {
        Self { values, ..Self::default() }
    }

    /// Returns the session's values.
    pub fn values(&self) -> &SortedVec<SessionValue> {
        &self.values
    }

    /// Returns the bytes that the values and prepared statements use.
    pub fn held_bytes(&self) -> usize {
        let values = self.values.iter().map(|value| value.name.len() + value.value.len());
        let prepared = self.prepared.iter().map(|prepared| prepared.name.len() + prepared.shape.len());
        let entries = self.values.len() + self.prepared.len();
        values.chain(prepared).sum::<usize>() + entries * ENTRY_BYTES
    }

    fn is_full(&self) -> bool {
        self.values.len() + self.prepared.len() >= SESSION_ENTRIES_MAX
    }
}

/// The session values and prepared statements that a connection holds, left by the sessions that borrowed it.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    values: SortedVec<SessionValue>,
    /// The prepared statements.
    pub statements: HeldStatements,
}

impl ConnectionState {
    /// Returns the number of commands that [`ConnectionState::apply_session`] would return.
    pub fn apply_cost(&self, session: &SessionState) -> usize {
        if self.values == session.values {
            return 0;
        }
        if self.has_foreign_value(session) {
            return 1 + session.values.len();
        }
        session.values.iter().filter(|value| self.values.get(&value.name) != Some(value)).count()
    }

    /// Returns the commands that give the connection exactly the session's values, and records them as executed.
    pub fn apply_session(&mut self, session: &SessionState) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.has_foreign_value(session) {
            commands.push(Command::Reset);
            *self = Self::default();
        }
        for value in &session.values {
            if self.values.get(&value.name) != Some(value) {
                commands.push(Command::Set { name: value.name.clone(), value: value.value.clone() });
                self.values.insert(value.clone());
            }
        }
        commands
    }

    /// Returns whether the connection holds a value that this session doesn't set; only a reset can remove it.
    fn has_foreign_value(&self, session: &SessionState) -> bool {
        self.values.iter().any(|value| !session.values.contains(&value.name))
    }
}
