//! The record of a run from the point of view of clients, endpoints and operators.

use cumincart_protocol::{
    change::{ChangeId, Outcome},
    number::{Incarnation, Revision},
    refusal::RefusalCode,
    time::Instant,
    verdict::Verdict,
};

/// The number of a client request. Its statements pass the number to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// The number of a transaction that a client opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransactionNumber(pub u64);

/// The operation that a client requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientOperation {
    /// Sets a key. Repeatable.
    Put {
        /// The key.
        key: String,
        /// The value, which increases with each write of the session.
        value: i64,
    },
    /// Inserts a record with a request id. Not repeatable.
    Record {
        /// The request id, which retries repeat.
        id: String,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a key through an open route, which requires no key of an organisation.
    OpenGet {
        /// The key.
        key: String,
    },
    /// Begins a transaction.
    Begin(TransactionNumber),
    /// Sets a key in a transaction.
    PutInTransaction {
        /// The transaction.
        transaction: TransactionNumber,
        /// The key.
        key: String,
        /// The value.
        value: i64,
    },
    /// Commits a transaction.
    Commit(TransactionNumber),
    /// Rolls a transaction back.
    Rollback(TransactionNumber),
}

/// The outcome of a request as the client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// The request number in the answer, if the answer contains one.
        echo: Option<RequestNumber>,
        /// The value that a read returned.
        value: Option<i64>,
        /// Whether a replica served it.
        from_replica: bool,
    },
    /// It was refused.
    Refused {
        /// Whether the request ran, did not run or may have run.
        verdict: Verdict,
        /// The refusal code.
        code: RefusalCode,
    },
    /// The connection to the entry instance was lost, or the client's timeout expired.
    NoAnswer,
}

/// A client request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its number.
    pub number: RequestNumber,
    /// The session.
    pub session: usize,
    /// The organisation that owns the key of the request; none for a request without a key.
    pub organisation: Option<usize>,
    /// The service.
    pub service: usize,
    /// The index of the key among the organisation's two keys.
    pub key: usize,
    /// The entry instance that received it.
    pub entry: usize,
    /// The requested operation.
    pub operation: ClientOperation,
    /// When the client sent it.
    pub sent_at: Instant,
    /// When the entry instance answered, if it did.
    pub answered_at: Option<Instant>,
    /// The outcome; none while the request is in flight.
    pub outcome: Option<RequestOutcome>,
    /// When the client learned the outcome.
    pub ended_at: Option<Instant>,
}

/// A statement that an endpoint ran.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The request that it belongs to.
    pub request: RequestNumber,
    /// The organisation passed as a parameter of the statement.
    pub organisation: Option<usize>,
    /// The endpoint.
    pub endpoint: usize,
    /// When it ran.
    pub at: Instant,
    /// Whether it belongs to a transaction opened by an earlier request.
    pub is_in_transaction: bool,
}

/// A committed transaction in an endpoint's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// Its position in the log.
    pub position: u64,
    /// The timeline.
    pub timeline: u64,
    /// When it was committed.
    pub at: Instant,
    /// Its writes.
    pub writes: Vec<Write>,
    /// The claim of a request id that was committed with it.
    pub claim: Option<String>,
}

/// A write of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The request that it belongs to.
    pub request: RequestNumber,
    /// The organisation.
    pub organisation: usize,
    /// The key.
    pub key: String,
    /// The value.
    pub value: i64,
}

/// A term that the control instances opened for writes.
#[derive(Debug, Clone, Copy)]
pub struct OpenedTerm {
    /// The service.
    pub service: usize,
    /// The term.
    pub term: u64,
    /// Its primary.
    pub endpoint: usize,
    /// The log position at which it started.
    pub start: u64,
    /// When the first control instance applied it.
    pub at: Instant,
}

/// A commit and the endpoint that executed it.
#[derive(Debug, Clone)]
pub struct CommitRecord {
    /// The service.
    pub service: usize,
    /// The endpoint.
    pub endpoint: usize,
    /// The commit.
    pub commit: Commit,
}

/// A period in which a condition held.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// The index of the failure domain, entry instance or key that it applies to.
    pub subject: usize,
    /// The start: when the operator learned that the change was accepted, or requested the planned stop.
    pub from: Instant,
    /// The end: when the operator requested the opposite change, or the process ended. None while it lasts.
    pub until: Option<Instant>,
}

/// The response that an operator received for a change.
#[derive(Debug, Clone)]
pub struct ChangeResponse {
    /// The id of the change.
    pub id: ChangeId,
    /// Its outcome.
    pub outcome: Outcome,
}

/// The catalogue revision that an entry instance used at an instant.
#[derive(Debug, Clone, Copy)]
pub struct RevisionSample {
    /// The entry instance.
    pub entry: usize,
    /// The incarnation of the entry instance.
    pub incarnation: Incarnation,
    /// The revision.
    pub revision: Revision,
    /// When it was sampled.
    pub at: Instant,
}

/// The state of an endpoint at the end of a run.
#[derive(Debug, Clone)]
pub struct FinalEndpoint {
    /// The service.
    pub service: usize,
    /// Whether it is the primary of its group's last opened term.
    pub is_primary: bool,
    /// Its log.
    pub log: Vec<Commit>,
}

/// The record of a run.
#[derive(Debug, Default)]
pub struct History {
    /// The seed.
    pub seed: u64,
    /// The number of replicas that had each commit before it was confirmed.
    pub synchronous_replicas: u32,
    /// Requests, ordered by number.
    pub requests: Vec<Request>,
    /// Executions, ordered by time.
    pub executions: Vec<Execution>,
    /// Commits, ordered by time.
    pub commits: Vec<CommitRecord>,
    /// Opened terms, ordered by time.
    pub terms: Vec<OpenedTerm>,
    /// The periods in which failure domains were out of service.
    pub domains_out: Vec<Span>,
    /// The periods in which keys were withdrawn. The subject is twice the organisation plus the key.
    pub keys_withdrawn: Vec<Span>,
    /// The planned stops of entry instances, from the request to stop to the end of the process.
    pub planned_stops: Vec<Span>,
    /// The responses that operators received.
    pub change_responses: Vec<ChangeResponse>,
    /// The revisions that entry instances used, ordered by time.
    pub samples: Vec<RevisionSample>,
    /// The failure domain of each entry instance.
    pub entry_domains: Vec<usize>,
    /// The failure domain of each endpoint.
    pub endpoint_domains: Vec<usize>,
    /// The endpoints at the end of the run.
    pub endpoints: Vec<FinalEndpoint>,
    /// The end of the period of random faults.
    pub faults_end: Instant,
    /// The end of the run.
    pub end: Instant,
    /// The rate limit of each organisation, in requests per second.
    pub rate_per_s: f64,
    /// The burst limit of each organisation, in requests.
    pub burst: u32,
    /// Descriptions of the injected faults.
    pub faults: Vec<String>,
    /// The log lines of the simulated processes.
    pub log_lines: Vec<String>,
}

impl History {
    /// Returns the request with this number.
    pub fn request(&self, number: RequestNumber) -> Option<&Request> {
        let index = self.requests.binary_search_by_key(&number, |request| request.number).ok()?;
        Some(&self.requests[index])
    }
}
