//! A client session, which executes statements in its open transaction.
//!
//! A transaction buffers its writes and holds the database's write lock from its first write on. Each statement runs
//! after the buffered writes in a savepoint that is rolled back, so that other sessions do not see them; the commit
//! applies them permanently. Each statement sees what is committed when it runs, as in PostgreSQL's default isolation
//! level, READ COMMITTED.

use {
    crate::{
        command::{Command, classify},
        database::{Database, DatabaseState, state_of},
        engine::{ColumnDescription, ColumnType, Engine, Output},
        error::{READ_ONLY, SqlError, TRANSACTION_FAILED},
        recording::TransactionStatus,
    },
    cumincart_protocol::{
        announcement::Role,
        request::{Statement, Value},
    },
    tokio::sync::OwnedMutexGuard,
};

/// The result of a statement, to be sent to the client.
#[derive(Debug)]
pub enum Reply {
    /// Rows, or the number of changed rows.
    Output(Output),
    /// A transaction was opened.
    Begun,
    /// The transaction has ended; contains the command tag.
    Ended(&'static str),
    /// A connection parameter was accepted.
    Set,
}

#[derive(Debug)]
struct Transaction {
    id: u64,
    read_only: bool,
    failed: bool,
    used: bool,
    writes: Vec<Statement>,
    lock: Option<OwnedMutexGuard<()>>,
}

/// A client session.
#[derive(Debug)]
pub struct Session {
    database: Database,
    open: Option<Transaction>,
}

impl Session {
    /// Creates a session without a transaction.
    pub fn new(database: Database) -> Self {
        Self { database, open: None }
    }

    /// Executes one statement.
    pub async fn execute(&mut self, statement: &Statement) -> Result<Reply, SqlError> {
        let command = classify(&statement.sql);
        let failed = self.open.as_ref().is_some_and(|transaction| transaction.failed);
        if failed && !matches!(command, Command::Commit | Command::Rollback) {
            return Err(SqlError::new(
                TRANSACTION_FAILED,
                "the transaction is aborted; only COMMIT or ROLLBACK is accepted",
            ));
        }
        let result = self.dispatch(command, statement).await;
        if result.is_err()
            && let Some(transaction) = &mut self.open
        {
            transaction.failed = true;
        }
        result
    }

    /// Returns the columns of a statement's result without a permanent effect; empty if the statement fails or has no
    /// result columns.
    pub async fn describe(&self, statement: &Statement) -> Vec<ColumnDescription> {
        match classify(&statement.sql) {
            Command::State => {
                state_output(&self.database.with_engine(|engine| state_of(engine)).await).columns
            }
            Command::TimelineStart => {
                timeline_start_output(&self.database.with_engine(|engine| state_of(engine)).await).columns
            }
            Command::Promote => promoted_output().columns,
            Command::Run => {
                let earlier = self.open.as_ref().map_or(&[][..], |transaction| &transaction.writes);
                let preview = |engine: &mut Engine| engine.preview(earlier, statement);
                self.database.with_engine(preview).await.map(|output| output.columns).unwrap_or_default()
            }
            _ => Vec::new(),
        }
    }

    async fn dispatch(&mut self, command: Command, statement: &Statement) -> Result<Reply, SqlError> {
        match command {
            Command::Begin { read_only } => self.begin(read_only).await,
            Command::Commit => self.commit().await,
            Command::Rollback => self.rollback().await,
            Command::State => {
                let state = self.database.with_engine(|engine| state_of(engine)).await;
                Ok(Reply::Output(state_output(&state)))
            }
            Command::TimelineStart => {
                let state = self.database.with_engine(|engine| state_of(engine)).await;
                Ok(Reply::Output(timeline_start_output(&state)))
            }
            Command::Promote => {
                self.database.with_engine(Engine::promote).await?;
                Ok(Reply::Output(promoted_output()))
            }
            Command::Set => Ok(Reply::Set),
            Command::Run => self.run(statement).await.map(Reply::Output),
        }
    }

    async fn begin(&mut self, read_only: bool) -> Result<Reply, SqlError> {
        if self.open.is_none() {
            let id = self.database.with_engine(Engine::next_transaction).await;
            let transaction =
                Transaction { id, read_only, failed: false, used: false, writes: Vec::new(), lock: None };
            self.open = Some(transaction);
        }
        Ok(Reply::Begun)
    }

    async fn commit(&mut self) -> Result<Reply, SqlError> {
        if self.open.as_ref().is_some_and(|transaction| transaction.failed) {
            return self.rollback().await;
        }
        let Some(transaction) = self.open.take() else { return Ok(Reply::Ended("COMMIT")) };
        let Transaction { id, writes, lock, .. } = transaction;
        let result = self.database.with_engine(|engine| commit(engine, id, writes)).await;
        drop(lock);
        result.map(|()| Reply::Ended("COMMIT"))
    }

    async fn rollback(&mut self) -> Result<Reply, SqlError> {
        if let Some(transaction) = self.open.take() {
            self.database
                .with_engine(|engine| {
                    engine.set_transaction_status(transaction.id, TransactionStatus::RolledBack);
                })
                .await;
        }
        Ok(Reply::Ended("ROLLBACK"))
    }

    async fn run(&mut self, statement: &Statement) -> Result<Output, SqlError> {
        let alone = self.open.is_none();
        if alone {
            self.begin(false).await?;
        }
        let result = self.run_in_transaction(statement).await;
        if !alone {
            return result;
        }
        match result {
            Ok(output) => {
                self.commit().await?;
                Ok(output)
            }
            Err(error) => {
                self.rollback().await?;
                Err(error)
            }
        }
    }

    async fn run_in_transaction(&mut self, statement: &Statement) -> Result<Output, SqlError> {
        let transaction = self.open.as_mut().expect("run opens a transaction first");
        if !transaction.used {
            transaction.used = true;
            wait_statement_time(&self.database).await;
        }
        let reads = self.database.with_engine(|engine| engine.is_read_only(&statement.sql)).await?;
        if !reads {
            if transaction.read_only {
                return Err(SqlError::new(READ_ONLY, "cannot execute a write in a read-only transaction"));
            }
            self.database.with_engine(|engine| engine.check_writable()).await?;
            if transaction.lock.is_none() {
                transaction.lock = Some(self.database.write_lock().lock_owned().await);
            }
        }
        let run = |engine: &mut Engine| {
            if !reads {
                engine.check_writable()?;
            }
            let output = engine.preview(&transaction.writes, statement)?;
            engine.record_statement(transaction.id, statement, &output, TransactionStatus::Open);
            Ok::<_, SqlError>(output)
        };
        let output = self.database.with_engine(run).await?;
        if !reads {
            transaction.writes.push(statement.clone());
        }
        Ok(output)
    }
}

/// Waits for a free slot and occupies it for the configured statement time; returns at once if that is zero.
async fn wait_statement_time(database: &Database) {
    let statement_time = database.group().statement_time;
    if statement_time.is_zero() {
        return;
    }
    let _slot = database.slots().acquire().await.expect("the slots are never closed");
    tokio::time::sleep(statement_time).await;
}

fn commit(engine: &mut Engine, id: u64, writes: Vec<Statement>) -> Result<(), SqlError> {
    if writes.is_empty() {
        engine.set_transaction_status(id, TransactionStatus::Committed(engine.position));
        return Ok(());
    }
    match engine.commit(writes) {
        Ok(position) => {
            engine.set_transaction_status(id, TransactionStatus::Committed(position));
            Ok(())
        }
        Err(error) => {
            engine.set_transaction_status(id, TransactionStatus::RolledBack);
            Err(error)
        }
    }
}

fn state_output(state: &DatabaseState) -> Output {
    let columns = vec![
        column("in_recovery", ColumnType::Bool),
        column("timeline", ColumnType::Int),
        column("position", ColumnType::Int),
        column("lag_ms", ColumnType::Int),
    ];
    let row = vec![
        Value::Bool(state.role == Role::Replica),
        int(state.timeline.0),
        int(state.position.0),
        int(state.lag_ms),
    ];
    Output { columns, rows: vec![row], ..Output::default() }
}

fn timeline_start_output(state: &DatabaseState) -> Output {
    let columns = vec![
        column("in_recovery", ColumnType::Bool),
        column("timeline", ColumnType::Int),
        column("start", ColumnType::Int),
    ];
    // A primary that was never promoted has no end of recovery; PostgreSQL returns the current position in this case.
    let promoted = state.timeline.0 > 1;
    let start = if promoted { state.timeline_start } else { state.position };
    let row = vec![Value::Bool(state.role == Role::Replica), int(state.timeline.0), int(start.0)];
    Output { columns, rows: vec![row], ..Output::default() }
}

fn promoted_output() -> Output {
    let columns = vec![column("pg_promote", ColumnType::Bool)];
    Output { columns, rows: vec![vec![Value::Bool(true)]], ..Output::default() }
}

fn column(name: &str, kind: ColumnType) -> ColumnDescription {
    ColumnDescription { name: name.to_owned(), kind }
}

fn int(number: u64) -> Value {
    Value::Int(i64::try_from(number).unwrap_or(i64::MAX))
}
