//! One database's data, log and role, without any network.

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

/// Where a new group's log begins, in bytes.
pub const INITIAL_POSITION: LogPosition = LogPosition(0x0100_0000);

/// Bytes that a log record takes besides its statements.
const RECORD_OVERHEAD_BYTES: u64 = 64;

/// One committed transaction, or the begin of a timeline, in the log.
#[derive(Debug)]
pub struct LogRecord {
    /// The position behind the record.
    pub position: LogPosition,
    /// The timeline that it belongs to.
    pub timeline: Timeline,
    /// Its writes in order; none when it begins a timeline.
    pub writes: Vec<Statement>,
    /// When it was committed.
    pub committed_at: Instant,
}

/// The type by which a column is described to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// A truth value.
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
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: ColumnType,
}

/// What a statement gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Output {
    /// The columns; none for a statement without a result.
    pub columns: Vec<ColumnDescription>,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// How many rows a write changed.
    pub affected: u64,
    /// Whether it changed, or could have changed, data.
    pub is_write: bool,
}

/// A database's data, log and role.
#[derive(Debug)]
pub struct Engine {
    connection: Connection,
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// Where its timeline began.
    pub timeline_start: LogPosition,
    /// The end of the last record that it wrote or applied.
    pub position: LogPosition,
    /// When it last had all of its primary's log.
    pub caught_up_at: Instant,
    /// The history that it holds.
    pub log: Vec<Arc<LogRecord>>,
    /// The statements that it ran.
    pub executed: Vec<ExecutedStatement>,
    /// Whether it runs nothing.
    pub frozen: bool,
    recording: bool,
    transactions: u64,
}

impl Engine {
    /// An empty database.
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

    /// A number for a new transaction.
    pub fn next_transaction(&mut self) -> u64 {
        self.transactions += 1;
        self.transactions
    }

    /// Whether a statement can change nothing.
    pub fn is_read_only(&self, sql: &str) -> Result<bool, SqlError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Runs a statement after a transaction's earlier writes and takes everything back.
    pub fn preview(&self, earlier: &[Statement], statement: &Statement) -> Result<Output, SqlError> {
        self.connection.execute_batch("SAVEPOINT preview")?;
        let result = self.run_all(earlier).and_then(|()| run(&self.connection, statement));
        self.connection.execute_batch("ROLLBACK TO preview; RELEASE preview")?;
        result
    }

    /// Applies a transaction's writes for good and appends them to the log.
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

    /// Refuses on a replica.
    pub fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::new(READ_ONLY, "cannot execute a write during recovery")),
        }
    }

    /// Applies a record of the primary's log.
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

    /// Whether the log is a beginning of another one.
    pub fn is_prefix_of(&self, log: &[Arc<LogRecord>]) -> bool {
        let Some(last) = self.log.last() else { return true };
        log.get(self.log.len() - 1).is_some_and(|other| Arc::ptr_eq(last, other))
    }

    /// Drops all data and the log, so that another history can be applied.
    pub fn reset(&mut self) -> Result<(), SqlError> {
        self.connection = Connection::open_in_memory()?;
        self.log.clear();
        self.timeline = Timeline(1);
        self.timeline_start = INITIAL_POSITION;
        self.position = INITIAL_POSITION;
        Ok(())
    }

    /// Makes a replica the primary of the next timeline.
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

    /// Records a statement that ran.
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

    /// Records how a transaction ended.
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
        // SQLite reads `$1` as a name, so that its own numbers follow the order of appearance.
        let Some(slot) = prepared.parameter_index(&format!("${}", index + 1))? else { continue };
        match value {
            Value::Null => prepared.raw_bind_parameter(slot, rusqlite::types::Null)?,
            Value::Bool(value) => prepared.raw_bind_parameter(slot, value)?,
            Value::Int(value) => prepared.raw_bind_parameter(slot, value)?,
            Value::Float(value) => prepared.raw_bind_parameter(slot, value)?,
            Value::Text(value) => prepared.raw_bind_parameter(slot, value.as_ref())?,
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

/// A column's shape by its declaration, and whether there is one.
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
