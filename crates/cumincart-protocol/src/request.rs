//! Callers' requests and their answers, independent of the transport.

use {
    crate::{
        name::{InstanceName, RouteName, ServiceName},
        number::Incarnation,
        refusal::Refusal,
        session::Session,
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The caller's identifier of a request that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Arc<str>);

/// A value of a statement's parameter or of a column of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Value {
    /// SQL's NULL.
    Null,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// Text.
    Text(Arc<str>),
}

/// A named parameter that a caller sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Argument {
    /// The parameter's name.
    pub name: Arc<str>,
    /// Its value.
    pub value: Value,
}

/// A statement with its parameters, ready to run at an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The SQL, with `$1`, `$2`, … for the parameters.
    pub sql: Arc<str>,
    /// The parameters' values in order.
    pub parameters: Vec<Value>,
}

/// The rows that a statement returned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Rows {
    /// The columns' names.
    pub columns: Vec<Arc<str>>,
    /// The rows' values, in the order of the columns.
    pub rows: Vec<Vec<Value>>,
    /// The number of rows that a write changed.
    pub affected: u64,
}

/// The operation that a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Runs a route's statement in a transaction of its own.
    Run(Call),
    /// Begins a transaction on a service, through a route that allows transactions.
    Begin(Call),
    /// Runs a statement inside a transaction.
    Within(TransactionId, Call),
    /// Commits a transaction.
    Commit(TransactionId),
    /// Rolls back a transaction.
    Rollback(TransactionId),
}

/// A call of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The SQL, if the route has no fixed statement.
    pub sql: Option<Arc<str>>,
    /// Positional parameters, for SQL that the caller sends.
    pub parameters: Vec<Value>,
    /// Named parameters, for a fixed statement.
    pub arguments: Vec<Argument>,
}

/// The identifier of a transaction, which includes the entry instance that holds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransactionId {
    /// The entry instance that holds the transaction's connection.
    pub instance: InstanceName,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// An unguessable number, unique within the incarnation.
    pub number: u64,
}

/// A request in the form in which the core of an entry instance receives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The SHA-256 digest of the key that came with the request. The key itself does not leave the HTTP layer.
    pub key_digest: Option<[u8; 32]>,
    /// What the session has seen.
    pub session: Session,
    /// The caller's identifier, for a request that must not run twice.
    pub request_id: Option<RequestId>,
    /// The requested operation.
    pub operation: Operation,
    /// The caller's own deadline, counted from the arrival, in milliseconds. If it is longer than the route's deadline,
    /// the latter applies.
    pub deadline_ms: Option<u64>,
}

/// The answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerAnswer {
    /// The rows.
    pub rows: Rows,
    /// What the session has seen after the request.
    pub session: Session,
    /// The transaction that [`Operation::Begin`] opened.
    pub transaction: Option<TransactionId>,
    /// Whether a replica served the request.
    pub from_replica: bool,
}

/// The answer to a request, or its refusal.
pub type CallerResult = Result<CallerAnswer, Refusal>;
