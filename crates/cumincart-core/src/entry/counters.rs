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

/// What has happened since the start of this run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counters {
    /// Requests that came in.
    pub requests: u64,
    /// Requests that were answered.
    pub answers: u64,
    /// Requests that were refused, by code.
    pub refusals: SortedVec<RefusalCount>,
    /// Reads that a replica served.
    pub replica_reads: u64,
    /// Reads that a primary served.
    pub primary_reads: u64,
    /// Reads for which a replica turned out to be too old.
    pub replica_misses: u64,
    /// Writes that were acknowledged.
    pub writes: u64,
    /// Further attempts after a failed one.
    pub retries: u64,
    /// Answers that came too late, twice or for another work.
    pub stray_answers: u64,
    /// New terms that were learnt of.
    pub failovers: u64,
    /// Requests that were passed on to another entry instance.
    pub forwards: u64,
    /// Connections that were opened.
    pub connections_opened: u64,
    /// Connections that were closed or lost.
    pub connections_closed: u64,
    /// Transactions that were rolled back because their time ran out or their caller went away.
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
