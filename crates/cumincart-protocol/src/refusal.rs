//! Refusals of requests, with the reason, the verdict and the time after which to retry.

use {
    crate::verdict::Verdict,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The code of a refusal. Codes are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The session token is malformed or damaged.
    BadSession,
    /// No key came with a request that needs one, or the key is not known.
    KeyRefused,
    /// The organisation's plan does not allow the route.
    RouteForbidden,
    /// The service or the route does not exist.
    RouteUnknown,
    /// The organisation has exceeded its rate and burst.
    OverRate,
    /// The instance holds no valid freshness lease.
    NotFresh,
    /// The instance or its failure domain is out of service, or the instance is stopping.
    OutOfService,
    /// No endpoint can serve the request now.
    NoEndpoint,
    /// The request could not be served before its deadline.
    DeadlineExceeded,
    /// The queue of the endpoint is full.
    Overloaded,
    /// A request with this id has already run.
    AlreadyRun,
    /// The request has no request id, and the route's requests may not be repeated.
    RequestIdMissing,
    /// The transaction is not known to the instance, has ended or has timed out.
    TransactionUnknown,
    /// The endpoint rejected the statement.
    StatementFailed,
    /// The connection to the endpoint was lost while the request was running.
    ConnectionLost,
    /// The primary changed while the request was running.
    TermChanged,
    /// A write that was acknowledged to this session was lost in a failover.
    WriteLost,
    /// An internal error occurred.
    Internal,
}

impl RefusalCode {
    /// Returns the code as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadSession => "bad_session",
            Self::KeyRefused => "key_refused",
            Self::RouteForbidden => "route_forbidden",
            Self::RouteUnknown => "route_unknown",
            Self::OverRate => "over_rate",
            Self::NotFresh => "not_fresh",
            Self::OutOfService => "out_of_service",
            Self::NoEndpoint => "no_endpoint",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Overloaded => "overloaded",
            Self::AlreadyRun => "already_run",
            Self::RequestIdMissing => "request_id_missing",
            Self::TransactionUnknown => "transaction_unknown",
            Self::StatementFailed => "statement_failed",
            Self::ConnectionLost => "connection_lost",
            Self::TermChanged => "term_changed",
            Self::WriteLost => "write_lost",
            Self::Internal => "internal",
        }
    }
}

/// The answer to a request that was refused, or whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The stable code.
    pub code: RefusalCode,
    /// One sentence for people.
    pub message: Arc<str>,
    /// The time after which a retry can succeed, in milliseconds, if it is known.
    pub retry_after_ms: Option<u64>,
    /// The session token to continue with, if the one that came with the request is no longer valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<Arc<str>>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<Arc<str>>) -> Self {
        Self { verdict: Verdict::NotRun, code, message: message.into(), retry_after_ms: None, session: None }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<Arc<str>>) -> Self {
        Self { verdict: Verdict::Unknown, code, message: message.into(), retry_after_ms: None, session: None }
    }

    /// Returns a refusal of a request that has run.
    pub fn ran(code: RefusalCode, message: impl Into<Arc<str>>) -> Self {
        Self { verdict: Verdict::Ran, code, message: message.into(), retry_after_ms: None, session: None }
    }

    /// Sets the time after which a retry can succeed.
    #[must_use]
    pub fn retry_after_ms(mut self, after_ms: u64) -> Self {
        self.retry_after_ms = Some(after_ms);
        self
    }
}
