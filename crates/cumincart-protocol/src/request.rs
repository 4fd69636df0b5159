//! Callers' requests and their answers, apart from any transport.

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

/// The caller's identifier of a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Arc<str>);

/// A value that is bound to a statement's parameter or stands in an answer's cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Value {
    /// SQL's NULL.
    Null,
    /// A truth value.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// Text.
    Text(Arc<str>),
}

/// A parameter that a caller sends by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Argument {
    /// The parameter's name.
    pub name: Arc<str>,
    /// Its value.
    pub value: Value,
}

/// A statement that is ready for an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The SQL, with `$1`, `$2`, … for the parameters.
    pub sql: Arc<str>,
    /// The parameters' values in order.
    pub parameters: Vec<Value>,
}

/// The rows that a statement gave.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Rows {
    /// The columns' names.
    pub columns: Vec<Arc<str>>,
    /// The rows' values, in the order of the columns.
    pub rows: Vec<Vec<Value>>,
    /// How many rows a write changed.
    pub affected: u64,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Run a route's statement on its own.
    Run(Call),
    /// Begin a transaction on a service, through a route that allows transactions.
    Begin(Call),
    /// Run a statement inside a transaction.
    Within(TransactionId, Call),
    /// Commit a transaction.
    Commit(TransactionId),
    /// Roll a transaction back.
    Rollback(TransactionId),
}

/// A call of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The SQL, where the route does not fix it.
    pub sql: Option<Arc<str>>,
    /// Positional parameters, for SQL that the caller sends.
    pub parameters: Vec<Value>,
    /// Named parameters, for a fixed statement.
    pub arguments: Vec<Argument>,
}

/// Names a transaction, the entry instance that holds it and that instance's run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransactionId {
    /// The entry instance that holds the connection.
    pub instance: InstanceName,
    /// The run of that instance.
    pub incarnation: Incarnation,
    /// An unguessable number within that run.
    pub number: u64,
}

/// A request as an entry instance's core receives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// SHA-256 of the key that came with it; the key itself goes no further than the HTTP layer.
    pub key_digest: Option<[u8; 32]>,
    /// What the session has seen.
    pub session: Session,
    /// The caller's id of a request that may not be repeated.
    pub request_id: Option<RequestId>,
    /// What it asks for.
    pub operation: Operation,
    /// The caller's own deadline, counted from the arrival; the route's goes before a longer one.
    pub deadline_ms: Option<u64>,
}

/// The whole answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerAnswer {
    /// The rows.
    pub rows: Rows,
    /// What the session has now seen.
    pub session: Session,
    /// The transaction that `Begin` opened.
    pub transaction: Option<TransactionId>,
    /// Whether a replica served it.
    pub from_replica: bool,
}

/// An answer or a refusal.
pub type CallerResult = Result<CallerAnswer, Refusal>;
