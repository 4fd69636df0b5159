//! The recording of the bytes that a database received and the statements that it executed, for tests.

use {
    cumincart_protocol::{
        number::{LogPosition, Timeline},
        request::Statement,
    },
    std::{sync::Mutex, time::Instant},
};

/// The maximum number of recorded bytes of one database. Bytes that exceed it are dropped, and the recording is marked
/// as incomplete.
pub const RECORDED_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The status of a statement's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// The transaction is open, or its connection was closed before it ended.
    Open,
    /// The transaction was committed. The position is the end of its log record, or of the log if it wrote nothing.
    Committed(LogPosition),
    /// The transaction was rolled back.
    RolledBack,
}

/// A statement that a database executed.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutedStatement {
    /// The number of the transaction within the database.
    pub transaction: u64,
    /// The statement.
    pub statement: Statement,
    /// The database's timeline at the execution.
    pub timeline: Timeline,
    /// The number of rows that were changed or returned.
    pub rows: u64,
    /// The time of the execution.
    pub executed_at: Instant,
    /// The status of the transaction.
    pub transaction_status: TransactionStatus,
}

/// The bytes that a database received, as one stream for each connection.
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
    /// Starts the stream of a new connection and returns its index.
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

    /// Returns whether one connection received these bytes consecutively.
    pub fn contains(&self, needle: &[u8]) -> bool {
        self.lock().streams.iter().any(|stream| stream.windows(needle.len()).any(|window| window == needle))
    }

    /// Returns how often these bytes were received consecutively on one connection.
    pub fn count(&self, needle: &[u8]) -> usize {
        let inner = self.lock();
        let windows = inner.streams.iter().flat_map(|stream| stream.windows(needle.len()));
        windows.filter(|window| *window == needle).count()
    }

    /// Returns the number of recorded bytes.
    pub fn len(&self) -> usize {
        self.lock().total
    }

    /// Returns whether no bytes are recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether all received bytes are recorded.
    pub fn is_complete(&self) -> bool {
        !self.lock().incomplete
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("nothing panics under this lock")
    }
}
