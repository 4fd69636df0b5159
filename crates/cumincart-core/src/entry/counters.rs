//! Counters of an entry instance, for metrics and the dump.

use {
    cumincart_protocol::{
        refusal::RefusalCode,
        request::CallerResult,
        sorted::{Keyed, SortedVec},
    },
    serde::Serialize,
};

/// How many requests were refused with one code.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RefusalCount {
    /// The code.
    pub code: RefusalCode,
    /// The number of requests.
    pub count: u64,
}

impl Keyed for RefusalCount {
    type Key = RefusalCode;

    fn key(&self) -> &RefusalCode {
        &self.code
    }
}

/// Event counters since the start of the process.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counters {
    /// Requests received.
    pub requests: u64,
    /// Requests answered with success.
    pub answers: u64,
    /// Requests refused, by code.
    pub refusals: SortedVec<RefusalCount>,
    /// Reads served by a replica.
    pub replica_reads: u64,
    /// Reads served by a primary.
    pub primary_reads: u64,
    /// Reads for which a replica was too stale.
    pub replica_misses: u64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Retries after a failed attempt or away from a stalled endpoint.
    pub retries: u64,
    /// Results that came too late, twice or for another command, and were dropped.
    pub stray_answers: u64,
    /// Changes of a group's term.
    pub failovers: u64,
    /// Requests forwarded to another entry instance.
    pub forwards: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// Connections closed or lost, and failed attempts to open one.
    pub connections_closed: u64,
    /// Transactions rolled back by this instance, for example because their deadline passed or their caller
    /// disconnected.
    pub transactions_ended: u64,
}

impl Counters {
    /// Counts an answer or a refusal.
    pub fn count_result(&mut self, result: &CallerResult) {
        match result {
            Ok(_) => self.answers += 1,
            Err(refusal) => {
                let code = refusal.code;
                self.refusals.get_or_insert_with(&code, || RefusalCount { code, count: 0 }).count += 1;
            }
        }
    }
}
