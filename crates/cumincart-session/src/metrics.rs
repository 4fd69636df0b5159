//! Counters and latency histograms of interactive sessions.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::sync::Arc,
};

/// The labels of a finished statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StatementLabels {
    /// The outcome of the statement.
    pub outcome: Outcome,
}

/// The outcome of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// The statement succeeded.
    Success,
    /// The statement was refused or failed, and nothing was committed.
    NotKept,
    /// The endpoint ran the statement, and it failed.
    Failed,
    /// It is unknown whether the statement ran.
    Unknown,
}

/// The labels of an attempt to open a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OpenedLabels {
    /// Whether the connection was opened.
    pub opened: Opened,
}

/// Whether a connection to an endpoint was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Opened {
    /// The connection was opened.
    Yes,
    /// The endpoint refused it.
    Refused,
    /// The endpoint was not reached.
    Unreachable,
}

/// The labels of an attempt to prepare a statement on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PreparedLabels {
    /// Whether the statement was prepared.
    pub prepared: PrepareOutcome,
}

/// Whether a statement was prepared on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PrepareOutcome {
    /// The endpoint accepted it.
    Accepted,
    /// The endpoint refused it.
    Refused,
    /// The connection was lost, or no answer came in time.
    Lost,
}

/// The labels of a refresh of a primary's log point.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PointLabels {
    /// Where the point came from.
    pub source: PointSource,
}

/// Where a primary's log point came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PointSource {
    /// The primary was asked.
    Endpoint,
    /// Another instance of the failure domain had a recent one.
    Instance,
    /// Nobody answered in time.
    None,
}

/// The labels of an operation that got no token of its organisation's rate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TokenRefusalLabels {
    /// Why there was no token.
    pub cause: TokenRefusal,
}

/// Why an operation got no token of its organisation's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TokenRefusal {
    /// The organisation asks for more than its plan allows over all instances.
    OverLimit,
    /// The organisation is within its plan as far as is known, but no token came in time.
    NoToken,
    /// The instances that hold the tokens did not answer or had no lease, and this one had none.
    HolderUnreachable,
    /// This instance holds no lease on the lists and shares.
    NoLease,
}

/// The labels of a token that was borrowed from another failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LoanLabels {
    /// Whether a token was lent.
    pub lent: Lent,
}

/// Whether an instance of another failure domain lent a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Lent {
    /// One was lent.
    Yes,
    /// None had a token to spare.
    No,
}

/// The metrics of one engine.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished statements.
    pub statements: Family<StatementLabels, Counter>,
    /// Attempts to open connections to endpoints.
    pub opened: Family<OpenedLabels, Counter>,
    /// Attempts to prepare statements on connections.
    pub prepared: Family<PreparedLabels, Counter>,
    /// Reads outside transactions that the primary served.
    pub reads_on_primary: Counter,
    /// Reads served by replicas.
    pub reads_on_replica: Counter,
    /// Reads and read-only transactions that an endpoint refused because its log had not reached the required point.
    pub lagging: Counter,
    /// Refreshes of primaries' log points.
    pub points: Family<PointLabels, Counter>,
    /// Operations that got no token of their organisation's rate.
    pub token_refusals: Family<TokenRefusalLabels, Counter>,
    /// Requests to other failure domains for a token.
    pub token_loans: Family<LoanLabels, Counter>,
    /// Messages of clients that can't be read.
    pub malformed: Counter,
    /// Time from a statement's arrival to its answer, in seconds.
    pub latency: Histogram,
}

/// The upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;

/// The number of latency buckets, each twice as wide as the one before: up to 16 s.
const BUCKETS: u16 = 15;

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("cumincart_session");
        let statements = Family::default();
        let opened = Family::default();
        let prepared = Family::default();
        let reads_on_primary = Counter::default();
        let reads_on_replica = Counter::default();
        let lagging = Counter::default();
        let points = Family::default();
        let token_refusals = Family::default();
        let token_loans = Family::default();
        let malformed = Counter::default();
        let latency = Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS));
        registry.register("statements", "Finished statements", statements.clone());
        registry.register("connections_opened", "Attempts to open connections", opened.clone());
        registry.register(
            "statements_prepared",
            "Attempts to prepare statements on connections",
            prepared.clone(),
        );
        registry.register("reads_on_primary", "Stale-tolerant reads on primaries", reads_on_primary.clone());
        registry.register("reads_on_replica", "Reads on replicas", reads_on_replica.clone());
        registry.register("lagging", "Reads that a replica was too far behind for", lagging.clone());
        registry.register("log_points", "Refreshes of primaries' log points", points.clone());
        registry.register(
            "token_refusals",
            "Operations without a token of their organisation's rate",
            token_refusals.clone(),
        );
        registry.register("token_loans", "Tokens asked of other failure domains", token_loans.clone());
        registry.register("malformed", "Messages of clients that can't be read", malformed.clone());
        registry.register("latency_seconds", "Time from arrival to answer", latency.clone());
        Self {
            registry,
            statements,
            opened,
            prepared,
            reads_on_primary,
            reads_on_replica,
            lagging,
            points,
            token_refusals,
            token_loans,
            malformed,
            latency,
        }
    }
}

impl Metrics {
    /// Returns all metrics as OpenMetrics text.
    pub fn text(self: &Arc<Self>) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}
