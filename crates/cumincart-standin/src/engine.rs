//! The data, log and role of one database, independent of the network.

use {
    crate::{
        error::{NOT_IN_RECOVERY, READ_ONLY, SERIALIZATION_FAILURE, SqlError},
        recording::{ExecutedStatement, TransactionStatus},
    },
    cumincart_protocol::{
        announcement::Role,
        number::{LogPosition, Timeline},
        request::{Statement, Value},
    },
    rusqlite::{Connection, types::ValueRef},
    std::{sync::Arc, time::Instant},
};

/// The log position, in bytes, at which the log of a new group begins.
pub const INITIAL_POSITION: LogPosition = LogPosition(0x0100_0000);

/// The size of a log record without its statements.
const RECORD_OVERHEAD_BYTES: u64 = 64;

/// A log record: a committed transaction or the start of a timeline.
#[derive(Debug)]
pub struct LogRecord {
    /// The position of the record's end.
    pub position: LogPosition,
    /// The timeline of the record.
    pub timeline: Timeline,
    /// The writes of the transaction in order; empty for the start of a timeline.
    pub writes: Vec<Statement>,
    /// The time of the commit.
    pub committed_at: Instant,
}

/// The type of a column as described to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// A Boolean.
    Bool,
    /// A 64-bit integer.
    Int,
    /// A 64-bit floating-point number.
    Float,
    /// Text.
    Text,
}

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColumnDescription {
    /// The column's name.
    pub name: String,
    /// The column's type.
    pub kind: ColumnType,
}

/// The result of a statement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Output {
    /// The columns; empty for a statement that returns no rows.
    pub columns: Vec<ColumnDescription>,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// The number of rows that a write changed.
    pub affected: u64,
    /// Whether the statement can change data, according to SQLite.
    pub is_write: bool,
}

/// The data, log and role of a database.
#[derive(Debug)]
pub struct Engine {
    connection: Connection,
    /// The role.
    pub role: Role,
    /// The current timeline.
    pub timeline: Timeline,
    /// The log position at which the current timeline began.
    pub timeline_start: LogPosition,
    /// The end of the last log record that was written or applied.
    pub position: LogPosition,
    /// The last time at which the primary's whole log was applied; used for the lag of a replica.
    pub caught_up_at: Instant,
    /// The log records that were written or applied, in order.
    pub log: Vec<Arc<LogRecord>>,
    /// The executed statements; empty unless recording is on.
    pub executed: Vec<ExecutedStatement>,
    /// Whether execution is stopped because the database is frozen or crashed.
    pub frozen: bool,
    recording: bool,
    transactions: u64,
}

impl Engine {
    /// Opens an empty in-memory database.
    pub fn open(role: Role, recording: bool) -> Result<Self, SqlError> {
        Ok(Self {
            connection: Connection::open_in_memory()?,
            role,
            timeline: Timeline(1),
            timeline_start: INITIAL_POSITION,
            position: INITIAL_POSITION,
            caught_up_at: Instant::now(),
            log: Vec::new(),
            executed: Vec::new(),
            frozen: false,
            recording,
            transactions: 0,
        })
    }

    /// Returns the next transaction number.
    pub fn next_transaction(&mut self) -> u64 {
        self.transactions += 1;
        self.transactions
    }

    /// Returns whether SQLite considers the statement read-only.
    pub fn is_read_only(&self, sql: &str) -> Result<bool, SqlError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Runs a statement after the earlier writes of its transaction, then rolls all of them back.
    ///
    /// The result is that of the statement within its transaction; other sessions see none of the changes.
    pub fn preview(&self, earlier: &[Statement], statement: &Statement) -> Result<Output, SqlError> {
        self.connection.execute_batch("SAVEPOINT preview")?;
        let result = self.run_all(earlier).and_then(|()| run(&self.connection, statement));
        self.connection.execute_batch("ROLLBACK TO preview; RELEASE preview")?;
        result
    }

    /// Applies the writes of a transaction permanently and appends them to the log. Returns the end of the log record.
    ///
    /// Fails with `SERIALIZATION_FAILURE` if a write fails on the current data.
    pub fn commit(&mut self, writes: Vec<Statement>) -> Result<LogPosition, SqlError> {
        self.check_writable()?;
        self.connection.execute_batch("SAVEPOINT writes")?;
        if let Err(error) = self.run_all(&writes) {
            self.connection.execute_batch("ROLLBACK TO writes; RELEASE writes")?;
            return Err(SqlError::new(SERIALIZATION_FAILURE, error.message));
        }
        self.connection.execute_batch("RELEASE writes")?;
        Ok(self.append(writes))
    }

    /// Returns an error on a replica.
    pub fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::new(READ_ONLY, "cannot execute a write during recovery")),
        }
    }

    /// Applies a log record of the primary.
    pub fn apply(&mut self, record: Arc<LogRecord>) -> Result<(), SqlError> {
        self.run_all(&record.writes)?;
        if record.timeline != self.timeline {
            self.timeline = record.timeline;
            self.timeline_start = self.position;
        }
        self.position = record.position;
        self.log.push(record);
        Ok(())
    }

    /// Returns whether this database's log is a prefix of `log`.
    pub fn is_prefix_of(&self, log: &[Arc<LogRecord>]) -> bool {
        let Some(last) = self.log.last() else { return true };
        log.get(self.log.len() - 1).is_some_and(|other| Arc::ptr_eq(last, other))
    }

    /// Discards all data and the log, so that a diverged replica can apply the primary's log from its start.
    pub fn reset(&mut self) -> Result<(), SqlError> {
        self.connection = Connection::open_in_memory()?;
        self.log.clear();
        self.timeline = Timeline(1);
        self.timeline_start = INITIAL_POSITION;
        self.position = INITIAL_POSITION;
        Ok(())
    }

    /// Promotes a replica to the primary of the next timeline.
    pub fn promote(&mut self) -> Result<(), SqlError> {
        if self.role == Role::Primary {
            return Err(SqlError::new(NOT_IN_RECOVERY, "recovery is not in progress"));
        }
        self.role = Role::Primary;
        self.timeline = self.timeline.next();
        self.timeline_start = self.position;
        self.append(Vec::new());
        Ok(())
    }

    /// Adds a statement to the recording, if recording is on.
    pub fn record_statement(
        &mut self,
        transaction: u64,
        statement: &Statement,
        output: &Output,
        transaction_status: TransactionStatus,
    ) {
        if !self.recording {
            return;
        }
        let rows = if output.columns.is_empty() { output.affected } else { output.rows.len() as u64 };
        let timeline = self.timeline;
        let executed_at = Instant::now();
        self.executed.push(ExecutedStatement {
            transaction,
            statement: statement.clone(),
            timeline,
            rows,
            executed_at,
            transaction_status,
        });
    }

    /// Sets the transaction status of all recorded statements of a transaction.
    pub fn set_transaction_status(&mut self, transaction: u64, transaction_status: TransactionStatus) {
        for executed in self.executed.iter_mut().rev().filter(|executed| executed.transaction == transaction)
        {
            executed.transaction_status = transaction_status;
        }
    }

    fn append(&mut self, writes: Vec<Statement>) -> LogPosition {
        let bytes: u64 = writes.iter().map(statement_bytes).sum();
        self.position = LogPosition(self.position.0 + bytes + RECORD_OVERHEAD_BYTES);
        self.log.push(Arc::new(LogRecord {
            position: self.position,
            timeline: self.timeline,
            writes,
            committed_at: Instant::now(),
        }));
        self.position
    }

    fn run_all(&self, writes: &[Statement]) -> Result<(), SqlError> {
        for statement in writes {
            run(&self.connection, statement)?;
        }
        Ok(())
    }
}

fn statement_bytes(statement: &Statement) -> u64 {
    let parameters = statement.parameters.iter().map(|value| match value {
        Value::Text(text) => text.len() as u64,
        _ => size_of::<u64>() as u64,
    });
    statement.sql.len() as u64 + parameters.sum::<u64>()
}

fn run(connection: &Connection, statement: &Statement) -> Result<Output, SqlError> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    bind(&mut prepared, &statement.parameters)?;
    let is_write = !prepared.readonly();
    if prepared.column_count() == 0 {
        let affected = prepared.raw_execute()? as u64;
        return Ok(Output { affected, is_write, ..Output::default() });
    }
    let mut columns: Vec<_> = prepared.columns().map(|column| describe_column(&column)).collect();
    let rows = read_rows(&mut prepared)?;
    for (index, (column, declared)) in columns.iter_mut().enumerate() {
        if !*declared {
            column.kind = type_of_values(rows.iter().map(|row| &row[index]));
        }
    }
    let affected = if is_write { rows.len() as u64 } else { 0 };
    let columns = columns.into_iter().map(|(column, _)| column).collect();
    Ok(Output { columns, rows, affected, is_write })
}

fn bind(prepared: &mut rusqlite::CachedStatement<'_>, parameters: &[Value]) -> Result<(), SqlError> {
    for (index, value) in parameters.iter().enumerate() {
        // SQLite treats `$1` as a parameter name and numbers parameters by first appearance, so the index is looked up.
        let Some(position) = prepared.parameter_index(&format!("${}", index + 1))? else { continue };
        match value {
            Value::Null => prepared.raw_bind_parameter(position, rusqlite::types::Null)?,
            Value::Bool(value) => prepared.raw_bind_parameter(position, value)?,
            Value::Int(value) => prepared.raw_bind_parameter(position, value)?,
            Value::Float(value) => prepared.raw_bind_parameter(position, value)?,
            Value::Text(value) => prepared.raw_bind_parameter(position, value.as_ref())?,
        }
    }
    Ok(())
}

fn read_rows(prepared: &mut rusqlite::CachedStatement<'_>) -> Result<Vec<Vec<Value>>, SqlError> {
    let count = prepared.column_count();
    let mut rows = Vec::new();
    let mut cursor = prepared.raw_query();
    while let Some(row) = cursor.next()? {
        let values: Result<Vec<_>, _> = (0..count).map(|index| row.get_ref(index).map(to_value)).collect();
        rows.push(values?);
    }
    Ok(rows)
}

fn to_value(value: ValueRef<'_>) -> Value {
    match value {
        ValueRef::Null => Value::Null,
        ValueRef::Integer(value) => Value::Int(value),
        ValueRef::Real(value) => Value::Float(value),
        ValueRef::Text(bytes) | ValueRef::Blob(bytes) => Value::Text(String::from_utf8_lossy(bytes).into()),
    }
}

/// Returns a column's description and whether its type was declared; text stands for an undeclared type.
fn describe_column(column: &rusqlite::Column<'_>) -> (ColumnDescription, bool) {
    let name = column.name().to_owned();
    let Some(declared) = column.decl_type() else {
        return (ColumnDescription { name, kind: ColumnType::Text }, false);
    };
    (ColumnDescription { name, kind: declared_type(declared) }, true)
}

fn declared_type(declared: &str) -> ColumnType {
    let declared = declared.to_ascii_lowercase();
    match declared.as_str() {
        text if text.contains("bool") => ColumnType::Bool,
        text if text.contains("int") => ColumnType::Int,
        text if ["real", "float", "double", "numeric"].iter().any(|name| text.contains(name)) => {
            ColumnType::Float
        }
        _ => ColumnType::Text,
    }
}

fn type_of_values<'a>(mut values: impl Iterator<Item = &'a Value>) -> ColumnType {
    match values.find(|value| **value != Value::Null) {
        Some(Value::Bool(_)) => ColumnType::Bool,
        Some(Value::Int(_)) => ColumnType::Int,
        Some(Value::Float(_)) => ColumnType::Float,
        Some(Value::Text(_) | Value::Null) | None => ColumnType::Text,
    }
}
