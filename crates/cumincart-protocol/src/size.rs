//! The size of values in messages between instances.

use {
    serde::Serialize,
    std::io::{self, Write},
};

/// The longest encoding of a configuration, with its lists and its document, in bytes. A message that holds one, or the
/// difference between two, and the rest of the replicated state fits into [`crate::peer::PEER_MAX_BYTES`].
pub const CONFIGURATION_MAX_BYTES: usize = 12 * 1024 * 1024;

/// Counts the bytes that are written to it.
#[derive(Debug, Default)]
struct Counter {
    bytes: usize,
}

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the length of a value's encoding in a message, in bytes.
pub fn encoded_bytes(value: &impl Serialize) -> usize {
    let mut counter = Counter::default();
    ciborium::into_writer(value, &mut counter).expect("counting can't fail");
    counter.bytes
}
