//! A session's values and prepared statements, and what a borrowed connection lacks of them.

pub use cumincart_protocol::exchange::{Prepared, SessionValue};

use {
    cumincart_protocol::{
        exchange::{Command, LogPoint},
        sorted::SortedVec,
    },
    std::sync::Arc,
};

/// The most values and prepared statements of one session together, so that a client can't fill the memory.
pub const SESSION_ENTRIES_MAX: usize = 256;

/// What lasts as long as a session.
#[derive(Debug, Default)]
pub struct SessionState {
    values: SortedVec<SessionValue>,
    prepared: SortedVec<Prepared>,
    /// The point of the session's last commit.
    pub committed: Option<LogPoint>,
}

impl SessionState {
    /// Sets a value. Refuses more than the session may hold.
    pub fn set(&mut self, name: Arc<str>, value: Arc<str>) -> bool {
        if !self.values.contains(&name) && self.is_full() {
            return false;
        }
        self.values.insert(SessionValue { name, value });
        true
    }

    /// Keeps a prepared statement. Refuses more than the session may hold.
    pub fn prepare(&mut self, prepared: Prepared) -> bool {
        if !self.prepared.contains(&prepared.name) && self.is_full() {
            return false;
        }
        self.prepared.insert(prepared);
        true
    }

    /// Forgets a prepared statement.
    pub fn deallocate(&mut self, name: &Arc<str>) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// The statement prepared under this name.
    pub fn prepared(&self, name: &Arc<str>) -> Option<&Prepared> {
        self.prepared.get(name)
    }

    /// A state with these values, as an instance passes them on.
    pub fn with_values(values: SortedVec<SessionValue>) -> Self {
        Self { values, ..Self::default() }
    }

    /// The session's values.
    pub fn values(&self) -> &SortedVec<SessionValue> {
        &self.values
    }

    fn is_full(&self) -> bool {
        self.values.len() + self.prepared.len() >= SESSION_ENTRIES_MAX
    }
}

/// What a connection holds of the sessions that borrowed it.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    values: SortedVec<SessionValue>,
    /// Shared names of prepared statements, ascending.
    prepared: Vec<Arc<str>>,
}

impl ConnectionState {
    /// How many commands it takes to bring the connection in line with a session's values.
    pub fn apply_cost(&self, session: &SessionState) -> usize {
        if self.values == session.values {
            return 0;
        }
        if self.has_foreign_value(session) {
            return 1 + session.values.len();
        }
        session.values.iter().filter(|value| self.values.get(&value.name) != Some(value)).count()
    }

    /// Whether the connection holds this prepared statement.
    pub fn holds(&self, shared_name: &Arc<str>) -> bool {
        self.prepared.binary_search(shared_name).is_ok()
    }

    /// The commands that bring the connection in line with a session's values; they count as run.
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

    /// The command that makes the connection hold a prepared statement, where it lacks it; it counts as run.
    pub fn prepare(&mut self, prepared: &Prepared) -> Option<Command> {
        let name = prepared.shared_name();
        let position = self.prepared.binary_search(&name).err()?;
        self.prepared.insert(position, name.clone());
        Some(Command::Prepare { name, access: prepared.access, shape: prepared.shape.clone() })
    }

    /// A value that no session but another one has set can only be taken back by a reset.
    fn has_foreign_value(&self, session: &SessionState) -> bool {
        self.values.iter().any(|value| !session.values.contains(&value.name))
    }
}
