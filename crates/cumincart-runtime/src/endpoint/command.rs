//! Execution of endpoint commands, each in as few round trips as possible.
//!
//! The statements of a command are pipelined. PostgreSQL aborts a transaction at its first failed statement and turns
//! the commit that follows into a rollback, so a commit may be sent before the results it depends on have arrived.

use {
    super::{
        command_filter::refused_command,
        prepared::PreparedClient,
        statement::{StatementError, run, run_prepared, run_statement, run_without_parameters},
    },
    cumincart_core::endpoint_command::{Claim, CommandError, CommandOutput, EndpointCommand, EndpointState},
    cumincart_protocol::{
        announcement::Role,
        number::{LogPosition, Timeline},
        request::{Rows, Statement, Value},
    },
    futures_util::join,
    std::sync::atomic::{AtomicBool, Ordering},
};

const CLAIM_SQL: &str = "INSERT INTO cumincart_claim (organisation, request_id) VALUES ($1, $2)";
const CLAIM_TABLE_SQL: &str = "CREATE TABLE IF NOT EXISTS cumincart_claim \
(organisation text, request_id text, PRIMARY KEY (organisation, request_id))";

/// SQLSTATE `unique_violation`.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE `undefined_table`.
const UNDEFINED_TABLE: &str = "42P01";
/// SQLSTATE `feature_not_supported`.
const NOT_SUPPORTED: &str = "0A000";
/// SQLSTATE `in_failed_sql_transaction`.
const TRANSACTION_FAILED: &str = "25P02";

/// Not a valid SQL statement: makes an open transaction fail.
const FAILING_SQL: &str = "refused";

/// The state of a connection's transactions, as needed to classify errors.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a commit of the current command may have been sent.
    committing: AtomicBool,
    /// Whether the creation of the claim table was requested on this connection.
    claim_table_requested: AtomicBool,
    /// Whether the open transaction has failed. PostgreSQL would turn its commit into a rollback.
    transaction_failed: AtomicBool,
}

impl Progress {
    /// Returns the error of the current command if the connection is lost now.
    pub fn connection_loss_error(&self) -> CommandError {
        if self.committing.load(Ordering::Relaxed) {
            CommandError::LostInCommit
        } else {
            CommandError::LostBeforeCommit
        }
    }
}

/// Executes one command.
pub(super) async fn execute(
    connection: PreparedClient<'_>,
    command: &EndpointCommand,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    progress.committing.store(false, Ordering::Relaxed);
    match command {
        EndpointCommand::Read(statement) => {
            check_command(statement)?;
            read(connection, statement).await
        }
        EndpointCommand::Write(statement, claim) => {
            check_command(statement)?;
            write(connection, statement, claim.as_ref(), progress).await
        }
        EndpointCommand::Begin { read_only } => begin(connection, *read_only, progress).await,
        EndpointCommand::Statement(statement) => within(connection, statement, progress).await,
        EndpointCommand::Commit(claim) => commit(connection, claim.as_ref(), progress).await,
        EndpointCommand::Rollback => rollback(connection).await,
        EndpointCommand::Probe => probe(connection).await,
    }
}

fn check_command(statement: &Statement) -> Result<(), CommandError> {
    let Some(command) = refused_command(&statement.sql) else { return Ok(()) };
    let message = format!("{} is not allowed through the proxy", command.to_ascii_uppercase());
    Err(CommandError::Statement { code: NOT_SUPPORTED.into(), message: message.into() })
}

async fn read(connection: PreparedClient<'_>, statement: &Statement) -> Result<CommandOutput, CommandError> {
    let (begin_result, state, rows, commit_result) = join!(
        run_prepared(connection.client, &connection.statements.begin_read_only),
        run_prepared(connection.client, &connection.statements.state),
        run_statement(connection.client, statement),
        run_prepared(connection.client, &connection.statements.commit),
    );
    begin_result.map_err(StatementError::before_commit)?;
    let state = state.and_then(|rows| parse_state(&rows)).map_err(StatementError::before_commit)?;
    let mut rows = rows.map_err(StatementError::before_commit)?;
    commit_result.map_err(StatementError::before_commit)?;
    rows.affected = 0;
    Ok(CommandOutput { rows, state: Some(state) })
}

async fn write(
    connection: PreparedClient<'_>,
    statement: &Statement,
    claim: Option<&Claim>,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    progress.committing.store(true, Ordering::Relaxed);
    match write_once(connection, statement, claim).await {
        Err(ClaimedWriteError::MissingClaimTable) => {
            create_claim_table(connection).await?;
            write_once(connection, statement, claim).await
        }
        result => result,
    }
    .map_err(ClaimedWriteError::into_command_error)
}

/// An error of a command with a claim.
enum ClaimedWriteError {
    /// The claim table does not exist yet. The transaction is rolled back.
    MissingClaimTable,
    /// Any other error.
    Command(CommandError),
}

impl ClaimedWriteError {
    fn into_command_error(self) -> CommandError {
        match self {
            Self::Command(error) => error,
            Self::MissingClaimTable => CommandError::Statement {
                code: UNDEFINED_TABLE.into(),
                message: "the claim table is missing".into(),
            },
        }
    }
}

impl From<CommandError> for ClaimedWriteError {
    fn from(error: CommandError) -> Self {
        Self::Command(error)
    }
}

async fn write_once(
    connection: PreparedClient<'_>,
    statement: &Statement,
    claim: Option<&Claim>,
) -> Result<CommandOutput, ClaimedWriteError> {
    let (begin_result, claim_result, rows, commit_result, state) = join!(
        run_prepared(connection.client, &connection.statements.begin),
        insert_claim(connection, claim),
        run_statement(connection.client, statement),
        run_prepared(connection.client, &connection.statements.commit),
        run_prepared(connection.client, &connection.statements.state),
    );
    begin_result.map_err(error_with_commit_sent)?;
    check_claim(claim_result)?;
    let rows = rows.map_err(error_with_commit_sent)?;
    commit_result.map_err(StatementError::in_commit)?;
    // The transaction is committed, but without the state its log position is unknown.
    let state = state.and_then(|rows| parse_state(&rows)).map_err(|_| CommandError::LostInCommit)?;
    Ok(CommandOutput { rows, state: Some(state) })
}

/// Converts the error of a statement that was sent together with its commit. If the endpoint refused the statement, the
/// transaction is rolled back; if the connection was lost, the outcome of the commit is unknown.
fn error_with_commit_sent(error: StatementError) -> CommandError {
    match error {
        StatementError::Lost => CommandError::LostInCommit,
        refused @ StatementError::Refused { .. } => refused.before_commit(),
    }
}

async fn insert_claim(connection: PreparedClient<'_>, claim: Option<&Claim>) -> Result<(), StatementError> {
    let Some(claim) = claim else { return Ok(()) };
    let organisation = claim.organisation.as_ref().map_or("", |name| name.as_str());
    let parameters = [Value::Text(organisation.into()), Value::Text(claim.request_id.0.clone())];
    run(connection.client, CLAIM_SQL, &parameters).await.map(drop)
}

fn check_claim(claim_result: Result<(), StatementError>) -> Result<(), ClaimedWriteError> {
    match claim_result {
        Err(StatementError::Refused { code, .. }) if code == UNIQUE_VIOLATION => {
            Err(CommandError::AlreadyClaimed.into())
        }
        Err(StatementError::Refused { code, .. }) if code == UNDEFINED_TABLE => {
            Err(ClaimedWriteError::MissingClaimTable)
        }
        result => Ok(result.map_err(error_with_commit_sent)?),
    }
}

/// Creates the claim table. Another connection may create it at the same time.
async fn create_claim_table(connection: PreparedClient<'_>) -> Result<(), CommandError> {
    match run_without_parameters(connection.client, CLAIM_TABLE_SQL).await {
        Ok(_) => Ok(()),
        Err(StatementError::Refused { code, .. }) if code == UNIQUE_VIOLATION => Ok(()),
        Err(error) => Err(error.before_commit()),
    }
}

async fn begin(
    connection: PreparedClient<'_>,
    read_only: bool,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    let begin = if read_only { &connection.statements.begin_read_only } else { &connection.statements.begin };
    // If the claim failed at the commit because its table is missing, the whole transaction would be rolled back.
    let create_table = !read_only && !progress.claim_table_requested.swap(true, Ordering::Relaxed);
    let (_, begin_result, state) = join!(
        async { if create_table { create_claim_table(connection).await } else { Ok(()) } },
        run_prepared(connection.client, begin),
        run_prepared(connection.client, &connection.statements.state),
    );
    begin_result.map_err(StatementError::before_commit)?;
    progress.transaction_failed.store(false, Ordering::Relaxed);
    let state = state.and_then(|rows| parse_state(&rows)).map_err(StatementError::before_commit)?;
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

async fn within(
    connection: PreparedClient<'_>,
    statement: &Statement,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    let allowed = check_command(statement);
    let sent = match &allowed {
        Ok(()) => run_statement(connection.client, statement).await,
        Err(_) => run_without_parameters(connection.client, FAILING_SQL).await,
    };
    if sent.is_err() {
        progress.transaction_failed.store(true, Ordering::Relaxed);
    }
    match (sent, allowed) {
        (Ok(rows), _) => Ok(CommandOutput { rows, state: None }),
        (Err(StatementError::Refused { is_fatal: false, .. }), Err(not_allowed)) => Err(not_allowed),
        (Err(error), _) => Err(error.before_commit()),
    }
}

async fn commit(
    connection: PreparedClient<'_>,
    claim: Option<&Claim>,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    if progress.transaction_failed.load(Ordering::Relaxed) {
        rollback(connection).await?;
        let message = "a statement of the transaction failed, so it was rolled back".into();
        return Err(CommandError::Statement { code: TRANSACTION_FAILED.into(), message });
    }
    progress.committing.store(true, Ordering::Relaxed);
    let (claim_result, commit_result, state) = join!(
        insert_claim(connection, claim),
        run_prepared(connection.client, &connection.statements.commit),
        run_prepared(connection.client, &connection.statements.state)
    );
    check_claim(claim_result).map_err(ClaimedWriteError::into_command_error)?;
    commit_result.map_err(StatementError::in_commit)?;
    let state = state.and_then(|rows| parse_state(&rows)).map_err(|_| CommandError::LostInCommit)?;
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

async fn rollback(connection: PreparedClient<'_>) -> Result<CommandOutput, CommandError> {
    run_prepared(connection.client, &connection.statements.rollback)
        .await
        .map_err(StatementError::before_commit)?;
    Ok(CommandOutput { rows: Rows::default(), state: None })
}

async fn probe(connection: PreparedClient<'_>) -> Result<CommandOutput, CommandError> {
    let state = run_prepared(connection.client, &connection.statements.state)
        .await
        .and_then(|rows| parse_state(&rows))
        .map_err(StatementError::before_commit)?;
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

/// Parses the result of `STATE_SQL`.
fn parse_state(rows: &Rows) -> Result<EndpointState, StatementError> {
    let unexpected_form = || StatementError::Refused {
        code: "XX000".into(),
        message: "the result of the endpoint's state query has an unexpected form".into(),
        is_fatal: false,
    };
    let row = rows.rows.first().ok_or_else(unexpected_form)?;
    let [Value::Bool(in_recovery), Value::Int(timeline), Value::Int(position), Value::Int(lag_ms)] = row[..]
    else {
        return Err(unexpected_form());
    };
    Ok(EndpointState {
        role: if in_recovery { Role::Replica } else { Role::Primary },
        timeline: Timeline(timeline.unsigned_abs()),
        position: LogPosition(position.unsigned_abs()),
        lag_ms: lag_ms.unsigned_abs(),
    })
}
