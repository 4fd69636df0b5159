//! What a database received and what it ran, kept so that tests can look at it.

use {
    cumincart_protocol::{
        number::{LogPosition, Timeline},
        request::Statement,
    },
    std::{sync::Mutex, time::Instant},
};

/// The most bytes that one database keeps; later ones are dropped and the recording is marked as incomplete.
pub const RECORDED_BYTES_MAX: usize = 64 * 1024 * 1024;

/// How a statement's transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// It is still open, or its connection was lost.
    Open,
    /// It committed; a write's log record ends at this position.
    Committed(LogPosition),
    /// It was rolled back.
    RolledBack,
}

/// One statement that a database ran.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutedStatement {
    /// The transaction, numbered within the database.
    pub transaction: u64,
    /// The statement.
    pub statement: Statement,
    /// The database's timeline when it ran.
    pub timeline: Timeline,
    /// How many rows it changed or gave.
    pub rows: u64,
    /// When it ran.
    pub executed_at: Instant,
    /// How its transaction ended.
    pub transaction_status: TransactionStatus,
}

/// Every byte that a database received, one stream for each connection.
#[derive(Debug, Default)]
pub struct ReceivedBytes {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    streams: Vec<Vec<u8>>,
    total: usize,
    incomplete: bool,
}

impl ReceivedBytes {
    /// Begins the stream of a new connection and gives its index.
    pub(crate) fn open_stream(&self) -> usize {
        let mut inner = self.lock();
        inner.streams.push(Vec::new());
        inner.streams.len() - 1
    }

    pub(crate) fn append(&self, stream: usize, bytes: &[u8]) {
        let mut inner = self.lock();
        if inner.total + bytes.len() > RECORDED_BYTES_MAX {
            inner.incomplete = true;
            return;
        }
        inner.total += bytes.len();
        inner.streams[stream].extend_from_slice(bytes);
    }

    /// Whether some connection received these bytes in a row.
    pub fn contains(&self, needle: &[u8]) -> bool {
        self.lock().streams.iter().any(|stream| stream.windows(needle.len()).any(|window| window == needle))
    }

    /// How often these bytes were received in a row.
    pub fn count(&self, needle: &[u8]) -> usize {
        let inner = self.lock();
        let windows = inner.streams.iter().flat_map(|stream| stream.windows(needle.len()));
        windows.filter(|window| *window == needle).count()
    }

    /// How many bytes are kept.
    pub fn len(&self) -> usize {
        self.lock().total
    }

    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether every received byte is kept.
    pub fn is_complete(&self) -> bool {
        !self.lock().incomplete
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("nothing panics under this lock")
    }
}
