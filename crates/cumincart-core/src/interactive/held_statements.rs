//! The prepared statements that a connection to an endpoint holds, and the names that they have there.

use {
    cumincart_protocol::exchange::{Access, Prepared},
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

/// The characters of names. A name is a field within a message, so it must not contain spaces.
const NAME_CHARACTERS: &[u8] = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

/// The number of names of one character.
const SHORT_NAMES: usize = NAME_CHARACTERS.len();

/// The maximum number of statements that a connection holds. More would use memory at the endpoint without limit, as
/// clients can prepare any number of different statements.
pub const HELD_STATEMENTS_MAX: usize = 256;

/// What identifies a statement: its access, and the SHA-256 digest of its shape. A connection outlives the sessions whose
/// statements it holds, so it does not keep their shapes in memory.
type Content = (Access, [u8; 32]);

fn content(prepared: &Prepared) -> Content {
    (prepared.access, Sha256::digest(prepared.shape.as_bytes()).into())
}

/// A statement that a connection holds.
#[derive(Debug, Clone)]
struct HeldStatement {
    content: Content,
    /// The number that the name is made of.
    number: usize,
    name: Arc<str>,
    last_use: u64,
}

/// The statements that a connection holds, sorted by what identifies them. Their names are numbers that belong to this
/// connection alone: no client's text is part of a name, and different statements never share one.
#[derive(Debug, Clone, Default)]
pub struct HeldStatements {
    statements: Vec<HeldStatement>,
    uses: u64,
}

/// The name that a statement gets on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The name.
    pub name: Arc<str>,
    /// The names that must be deallocated before, in order.
    pub released: Vec<Arc<str>>,
    number: usize,
}

impl HeldStatements {
    /// Returns the name of a statement if the connection holds it, and counts this as a use.
    pub fn find(&mut self, prepared: &Prepared) -> Option<Arc<str>> {
        let index = self.position(prepared).ok()?;
        let statement = &mut self.statements[index];
        if statement.number >= name_count(prepared) {
            return None;
        }
        self.uses += 1;
        statement.last_use = self.uses;
        Some(statement.name.clone())
    }

    /// Assigns a name to a statement that [`HeldStatements::find`] did not find. If there is no free name, the statement
    /// that has not been used for the longest time gives up its own. The released names count as not held from now on.
    pub fn assign(&mut self, prepared: &Prepared) -> Assignment {
        let mut released = Vec::new();
        if let Ok(index) = self.position(prepared) {
            released.push(self.statements.remove(index).name);
        }
        let names = name_count(prepared);
        let number = self.free_number(names).unwrap_or_else(|| {
            let oldest = self.least_recently_used(names);
            released.push(oldest.name);
            oldest.number
        });
        Assignment { name: name(number), released, number }
    }

    /// Records that the endpoint has prepared a statement under its assigned name.
    pub fn record(&mut self, prepared: &Prepared, assignment: &Assignment) {
        let Err(index) = self.position(prepared) else { return };
        self.uses += 1;
        let statement = HeldStatement {
            content: content(prepared),
            number: assignment.number,
            name: assignment.name.clone(),
            last_use: self.uses,
        };
        self.statements.insert(index, statement);
    }

    /// Records that the endpoint holds no statement of this name.
    pub fn forget(&mut self, name: &str) {
        self.statements.retain(|statement| *statement.name != *name);
    }

    fn position(&self, prepared: &Prepared) -> Result<usize, usize> {
        let content = content(prepared);
        self.statements.binary_search_by(|statement| statement.content.cmp(&content))
    }

    /// Returns the lowest number below `end` that no statement has.
    fn free_number(&self, end: usize) -> Option<usize> {
        let mut used: Vec<usize> = self.statements.iter().map(|statement| statement.number).collect();
        used.sort_unstable();
        (0..end).find(|number| used.binary_search(number).is_err())
    }

    /// Removes the statement with a number below `end` that has not been used for the longest time.
    fn least_recently_used(&mut self, end: usize) -> HeldStatement {
        let candidates = self.statements.iter().enumerate().filter(|(_, statement)| statement.number < end);
        let oldest = candidates.min_by_key(|(_, statement)| statement.last_use).map(|(index, _)| index);
        self.statements.remove(oldest.expect("all numbers below the end are used"))
    }
}

/// Returns how many names a statement may choose from. The name on the connection must not be longer than the client's
/// own: the client's message may have the maximum length.
fn name_count(prepared: &Prepared) -> usize {
    if prepared.name.len() > 1 { HELD_STATEMENTS_MAX } else { SHORT_NAMES }
}

/// Returns the name that is made of a number.
fn name(number: usize) -> Arc<str> {
    let character = |digit: usize| char::from(NAME_CHARACTERS[digit]);
    match number.checked_sub(SHORT_NAMES) {
        None => String::from(character(number)).into(),
        Some(rest) => {
            String::from_iter([character(rest / SHORT_NAMES), character(rest % SHORT_NAMES)]).into()
        }
    }
}
