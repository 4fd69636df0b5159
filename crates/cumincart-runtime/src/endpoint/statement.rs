//! Execution of a single statement, and its errors.

use {
    super::rows::read_row,
    bytes::BytesMut,
    cumincart_core::endpoint_command::CommandError,
    cumincart_protocol::request::{Rows, Statement, Value},
    futures_util::{TryStreamExt, pin_mut},
    std::error::Error,
    tokio_postgres::{
        Client, RowStream,
        types::{IsNull, ToSql, Type, to_sql_checked},
    },
};

/// An error of a statement.
#[derive(Debug)]
pub(super) enum StatementError {
    /// The endpoint refused the statement.
    Refused {
        /// The SQLSTATE.
        code: String,
        /// The endpoint's message.
        message: String,
        /// Whether the endpoint closes the connection with this error.
        is_fatal: bool,
    },
    /// The connection was lost before the answer was complete.
    Lost,
}

impl StatementError {
    /// Converts the error of a statement whose transaction is rolled back because of it.
    pub fn before_commit(self) -> CommandError {
        match self {
            Self::Refused { code, message, is_fatal: false } => {
                CommandError::Statement { code: code.into(), message: message.into() }
            }
            Self::Refused { is_fatal: true, .. } | Self::Lost => CommandError::LostBeforeCommit,
        }
    }

    /// Converts the error of a commit.
    pub fn in_commit(self) -> CommandError {
        match self {
            Self::Refused { code, message, is_fatal: false } if is_rollback(&code) => {
                CommandError::Statement { code: code.into(), message: message.into() }
            }
            _ => CommandError::LostInCommit,
        }
    }
}

/// Returns whether this SQLSTATE guarantees that a refused commit was rolled back. Its class is then integrity constraint
/// violation (23), invalid transaction state (25), transaction rollback (40) or `WITH CHECK OPTION` violation (44).
fn is_rollback(code: &str) -> bool {
    ["23", "25", "40", "44"].iter().any(|class| code.starts_with(class))
}

impl From<tokio_postgres::Error> for StatementError {
    fn from(error: tokio_postgres::Error) -> Self {
        let Some(refusal) = error.as_db_error() else { return Self::Lost };
        Self::Refused {
            code: refusal.code().code().to_owned(),
            message: refusal.message().to_owned(),
            is_fatal: refusal.severity() != "ERROR",
        }
    }
}

/// Sends SQL without parameters at the first poll and returns its rows.
pub(super) async fn run_without_parameters(client: &Client, sql: &str) -> Result<Rows, StatementError> {
    run(client, sql, &[]).await
}

/// Sends a statement at the first poll and returns its rows.
pub(super) async fn run_statement(client: &Client, statement: &Statement) -> Result<Rows, StatementError> {
    run(client, &statement.sql, &statement.parameters).await
}

/// Sends SQL with parameters at the first poll and returns its rows.
pub(super) async fn run(client: &Client, sql: &str, parameters: &[Value]) -> Result<Rows, StatementError> {
    let parameters = parameters.iter().map(|value| (Parameter(value), parameter_type(value)));
    collect(client.query_typed_raw(sql, parameters.collect::<Vec<_>>()).await?).await
}

/// Sends a prepared statement without parameters at the first poll and returns its rows.
pub(super) async fn run_prepared(
    client: &Client,
    statement: &tokio_postgres::Statement,
) -> Result<Rows, StatementError> {
    collect(client.query_raw(statement, Vec::<Parameter<'_>>::new()).await?).await
}

async fn collect(stream: RowStream) -> Result<Rows, StatementError> {
    pin_mut!(stream);
    let mut rows = Rows::default();
    while let Some(row) = stream.try_next().await? {
        if rows.columns.is_empty() {
            rows.columns = row.columns().iter().map(|column| column.name().into()).collect();
        }
        rows.rows.push(read_row(&row));
    }
    rows.affected = stream.rows_affected().unwrap_or_default();
    Ok(rows)
}

fn parameter_type(value: &Value) -> Type {
    match value {
        Value::Null => Type::UNKNOWN,
        Value::Bool(_) => Type::BOOL,
        Value::Int(_) => Type::INT8,
        Value::Float(_) => Type::FLOAT8,
        Value::Text(_) => Type::TEXT,
    }
}

/// A value as a parameter of the PostgreSQL protocol.
#[derive(Debug)]
struct Parameter<'a>(&'a Value);

impl ToSql for Parameter<'_> {
    fn to_sql(&self, kind: &Type, out: &mut BytesMut) -> Result<IsNull, Box<dyn Error + Sync + Send>> {
        match self.0 {
            Value::Null => Ok(IsNull::Yes),
            Value::Bool(value) => value.to_sql(kind, out),
            Value::Int(value) => value.to_sql(kind, out),
            Value::Float(value) => value.to_sql(kind, out),
            Value::Text(value) => value.as_ref().to_sql(kind, out),
        }
    }

    fn accepts(_kind: &Type) -> bool {
        true
    }

    to_sql_checked!();
}
