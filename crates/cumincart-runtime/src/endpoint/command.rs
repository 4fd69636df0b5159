//! The works, each sent in as few round trips as it can be.
//!
//! Statements that are sent together are answered one after another. PostgreSQL aborts a transaction at its first failed
//! statement and turns the commit behind it into a rollback, so a commit may be sent along with what it depends on.

use {
    super::{
        command_filter::refused_command,
        prepared::Link,
        statement::{Failure, run, run_fixed, run_plain, run_statement},
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

/// SQLSTATE: a unique key is there already.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE: no such table.
const UNDEFINED_TABLE: &str = "42P01";
/// SQLSTATE: the command is not allowed here.
const NOT_SUPPORTED: &str = "0A000";
/// SQLSTATE: the transaction has failed.
const TRANSACTION_FAILED: &str = "25P02";

/// No statement in any dialect: makes an open transaction fail.
const FAILING_SQL: &str = "refused";

/// What is known of a connection's works.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether the work that is being done has a commit on its way.
    committing: AtomicBool,
    /// Whether the claims' table was asked for on this connection.
    claim_table_made: AtomicBool,
    /// Whether the open transaction has failed, so that its commit would be a rollback.
    transaction_failed: AtomicBool,
}

impl Progress {
    /// What the loss of the connection means now.
    pub fn lost(&self) -> CommandError {
        if self.committing.load(Ordering::Relaxed) {
            CommandError::LostInCommit
        } else {
            CommandError::LostBeforeCommit
        }
    }
}

/// Does one work.
pub(super) async fn execute(
    link: Link<'_>,
    command: &EndpointCommand,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    progress.committing.store(false, Ordering::Relaxed);
    match command {
        EndpointCommand::Read(statement) => {
            check_command(statement)?;
            read(link, statement).await
        }
        EndpointCommand::Write(statement, claim) => {
            check_command(statement)?;
            write(link, statement, claim.as_ref(), progress).await
        }
        EndpointCommand::Begin { read_only } => begin(link, *read_only, progress).await,
        EndpointCommand::Within(statement) => within(link, statement, progress).await,
        EndpointCommand::Commit(claim) => commit(link, claim.as_ref(), progress).await,
        EndpointCommand::Rollback => rollback(link).await,
        EndpointCommand::Probe => probe(link).await,
    }
}

fn check_command(statement: &Statement) -> Result<(), CommandError> {
    let Some(command) = refused_command(&statement.sql) else { return Ok(()) };
    let message = format!("{} is not allowed through the proxy", command.to_ascii_uppercase());
    Err(CommandError::Statement { code: NOT_SUPPORTED.into(), message: message.into() })
}

async fn read(link: Link<'_>, statement: &Statement) -> Result<CommandOutput, CommandError> {
    let (begun, state, rows, ended) = join!(
        run_fixed(link.client, &link.fixed.begin_read_only),
        run_fixed(link.client, &link.fixed.state),
        run_statement(link.client, statement),
        run_fixed(link.client, &link.fixed.commit),
    );
    begun.map_err(Failure::before_commit)?;
    let state = state.and_then(|rows| parse_state(&rows)).map_err(Failure::before_commit)?;
    let mut rows = rows.map_err(Failure::before_commit)?;
    ended.map_err(Failure::before_commit)?;
    rows.affected = 0;
    Ok(CommandOutput { rows, state: Some(state) })
}

async fn write(
    link: Link<'_>,
    statement: &Statement,
    claim: Option<&Claim>,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    progress.committing.store(true, Ordering::Relaxed);
    match write_once(link, statement, claim).await {
        Err(ClaimedWriteError::NoClaimTable) => {
            create_claim_table(link).await?;
            write_once(link, statement, claim).await
        }
        result => result,
    }
    .map_err(ClaimedWriteError::into_command_error)
}

/// Why a work with a claim failed.
enum ClaimedWriteError {
    /// The claims' table has to be made first; nothing remains of the transaction.
    NoClaimTable,
    /// Any other reason.
    Command(CommandError),
}

impl ClaimedWriteError {
    fn into_command_error(self) -> CommandError {
        match self {
            Self::Command(error) => error,
            Self::NoClaimTable => CommandError::Statement {
                code: UNDEFINED_TABLE.into(),
                message: "the claims' table is missing".into(),
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
    link: Link<'_>,
    statement: &Statement,
    claim: Option<&Claim>,
) -> Result<CommandOutput, ClaimedWriteError> {
    let (begun, claimed, rows, ended, state) = join!(
        run_fixed(link.client, &link.fixed.begin),
        insert_claim(link, claim),
        run_statement(link.client, statement),
        run_fixed(link.client, &link.fixed.commit),
        run_fixed(link.client, &link.fixed.state),
    );
    begun.map_err(lost_or_refused)?;
    check_claim(claimed)?;
    let rows = rows.map_err(lost_or_refused)?;
    ended.map_err(Failure::in_commit)?;
    // Without the state the caller can't be told the position; the commit itself is done.
    let state = state.and_then(|rows| parse_state(&rows)).map_err(|_| CommandError::LostInCommit)?;
    Ok(CommandOutput { rows, state: Some(state) })
}

/// A failure ahead of a commit that is on its way too: an answered refusal rolls back, a lost answer tells nothing.
fn lost_or_refused(failure: Failure) -> CommandError {
    match failure {
        Failure::Lost => CommandError::LostInCommit,
        refused @ Failure::Refused { .. } => refused.before_commit(),
    }
}

async fn insert_claim(link: Link<'_>, claim: Option<&Claim>) -> Result<(), Failure> {
    let Some(claim) = claim else { return Ok(()) };
    let organisation = claim.organisation.as_ref().map_or("", |name| name.as_str());
    let parameters = [Value::Text(organisation.into()), Value::Text(claim.request_id.0.clone())];
    run(link.client, CLAIM_SQL, &parameters).await.map(drop)
}

fn check_claim(claimed: Result<(), Failure>) -> Result<(), ClaimedWriteError> {
    match claimed {
        Err(Failure::Refused { code, .. }) if code == UNIQUE_VIOLATION => {
            Err(CommandError::AlreadyClaimed.into())
        }
        Err(Failure::Refused { code, .. }) if code == UNDEFINED_TABLE => Err(ClaimedWriteError::NoClaimTable),
        result => Ok(result.map_err(lost_or_refused)?),
    }
}

/// Makes the claims' table; another connection may do the same at the same time.
async fn create_claim_table(link: Link<'_>) -> Result<(), CommandError> {
    match run_plain(link.client, CLAIM_TABLE_SQL).await {
        Ok(_) => Ok(()),
        Err(Failure::Refused { code, .. }) if code == UNIQUE_VIOLATION => Ok(()),
        Err(failure) => Err(failure.before_commit()),
    }
}

async fn begin(link: Link<'_>, read_only: bool, progress: &Progress) -> Result<CommandOutput, CommandError> {
    let begin = if read_only { &link.fixed.begin_read_only } else { &link.fixed.begin };
    // A claim that failed at the commit for want of its table would take the whole transaction with it.
    let make_table = !read_only && !progress.claim_table_made.swap(true, Ordering::Relaxed);
    let (_, begun, state) = join!(
        async { if make_table { create_claim_table(link).await } else { Ok(()) } },
        run_fixed(link.client, begin),
        run_fixed(link.client, &link.fixed.state),
    );
    begun.map_err(Failure::before_commit)?;
    progress.transaction_failed.store(false, Ordering::Relaxed);
    let state = state.and_then(|rows| parse_state(&rows)).map_err(Failure::before_commit)?;
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

async fn within(
    link: Link<'_>,
    statement: &Statement,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    let allowed = check_command(statement);
    let sent = match &allowed {
        Ok(()) => run_statement(link.client, statement).await,
        Err(_) => run_plain(link.client, FAILING_SQL).await,
    };
    if sent.is_err() {
        progress.transaction_failed.store(true, Ordering::Relaxed);
    }
    match (sent, allowed) {
        (Ok(rows), _) => Ok(CommandOutput { rows, state: None }),
        (Err(Failure::Refused { fatal: false, .. }), Err(not_allowed)) => Err(not_allowed),
        (Err(failure), _) => Err(failure.before_commit()),
    }
}

async fn commit(
    link: Link<'_>,
    claim: Option<&Claim>,
    progress: &Progress,
) -> Result<CommandOutput, CommandError> {
    if progress.transaction_failed.load(Ordering::Relaxed) {
        rollback(link).await?;
        let message = "a statement of the transaction failed, so it was rolled back".into();
        return Err(CommandError::Statement { code: TRANSACTION_FAILED.into(), message });
    }
    progress.committing.store(true, Ordering::Relaxed);
    let (claimed, ended, state) = join!(
        insert_claim(link, claim),
        run_fixed(link.client, &link.fixed.commit),
        run_fixed(link.client, &link.fixed.state)
    );
    check_claim(claimed).map_err(ClaimedWriteError::into_command_error)?;
    ended.map_err(Failure::in_commit)?;
    let state = state.and_then(|rows| parse_state(&rows)).map_err(|_| CommandError::LostInCommit)?;
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

async fn rollback(link: Link<'_>) -> Result<CommandOutput, CommandError> {
    run_fixed(link.client, &link.fixed.rollback).await.map_err(Failure::before_commit)?;
    Ok(CommandOutput { rows: Rows::default(), state: None })
}

async fn probe(link: Link<'_>) -> Result<CommandOutput, CommandError> {
    let state = run_fixed(link.client, &link.fixed.state)
        .await
        .and_then(|rows| parse_state(&rows))
        .map_err(Failure::before_commit)?;
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

/// Reads the answer to `STATE_SQL`.
fn parse_state(rows: &Rows) -> Result<EndpointState, Failure> {
    let unreadable = || Failure::Refused {
        code: "XX000".into(),
        message: "the endpoint's state is not in the expected form".into(),
        fatal: false,
    };
    let row = rows.rows.first().ok_or_else(unreadable)?;
    let [Value::Bool(in_recovery), Value::Int(timeline), Value::Int(position), Value::Int(lag_ms)] = row[..]
    else {
        return Err(unreadable());
    };
    Ok(EndpointState {
        role: if in_recovery { Role::Replica } else { Role::Primary },
        timeline: Timeline(timeline.unsigned_abs()),
        position: LogPosition(position.unsigned_abs()),
        lag_ms: lag_ms.unsigned_abs(),
    })
}
