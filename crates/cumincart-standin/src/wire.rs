//! Conversion between SQLite's values and those of the PostgreSQL protocol.

use {
    crate::engine::{ColumnDescription, ColumnType, Output},
    cumincart_protocol::request::{Statement, Value},
    futures_util::stream,
    pgwire::{
        api::{
            Type,
            portal::{Format, Portal},
            results::{DataRowEncoder, FieldInfo, QueryResponse, Response, Tag},
        },
        error::{PgWireError, PgWireResult},
    },
    std::sync::Arc,
};

/// Returns the field descriptions of columns for the client.
pub fn fields(columns: &[ColumnDescription], format: &Format) -> Vec<FieldInfo> {
    let field = |(index, column): (usize, &ColumnDescription)| {
        FieldInfo::new(column.name.clone(), None, None, wire_type(column.kind), format.format_for(index))
    };
    columns.iter().enumerate().map(field).collect()
}

fn wire_type(kind: ColumnType) -> Type {
    match kind {
        ColumnType::Bool => Type::BOOL,
        ColumnType::Int => Type::INT8,
        ColumnType::Float => Type::FLOAT8,
        ColumnType::Text => Type::TEXT,
    }
}

/// Builds the response to a statement, with the column types that were described to the client, if any.
pub fn response(
    sql: &str,
    output: Output,
    described: Option<Vec<ColumnDescription>>,
    format: &Format,
) -> PgWireResult<Response> {
    if output.columns.is_empty() {
        return Ok(Response::Execution(command_tag(sql).with_rows(output.affected as usize)));
    }
    let columns = match described {
        Some(columns) if columns.len() == output.columns.len() => columns,
        _ => output.columns,
    };
    let schema = Arc::new(fields(&columns, format));
    let mut encoder = DataRowEncoder::new(Arc::clone(&schema));
    let mut rows = Vec::with_capacity(output.rows.len());
    for row in &output.rows {
        for (value, column) in row.iter().zip(&columns) {
            encode(&mut encoder, value, column.kind)?;
        }
        rows.push(Ok(encoder.take_row()));
    }
    let mut response = QueryResponse::new(schema, stream::iter(rows));
    if output.is_write {
        response.set_command_tag(&command_name(sql));
    }
    Ok(Response::Query(response))
}

fn command_tag(sql: &str) -> Tag {
    Tag::new(&command_name(sql))
}

fn command_name(sql: &str) -> String {
    let word = sql.split_ascii_whitespace().next().unwrap_or_default().to_ascii_uppercase();
    if word == "INSERT" { "INSERT 0".to_owned() } else { word }
}

fn encode(encoder: &mut DataRowEncoder, value: &Value, kind: ColumnType) -> PgWireResult<()> {
    match kind {
        ColumnType::Bool => encoder.encode_field(&as_bool(value)),
        ColumnType::Int => encoder.encode_field(&as_int(value)),
        ColumnType::Float => encoder.encode_field(&as_float(value)),
        ColumnType::Text => encoder.encode_field(&as_text(value)),
    }
}

fn as_bool(value: &Value) -> Option<bool> {
    match value {
        Value::Null => None,
        Value::Bool(value) => Some(*value),
        Value::Int(value) => Some(*value != 0),
        Value::Float(value) => Some(*value != 0.0),
        Value::Text(value) => Some(matches!(value.as_ref(), "t" | "true" | "1")),
    }
}

fn as_int(value: &Value) -> Option<i64> {
    match value {
        Value::Null => None,
        Value::Bool(value) => Some(i64::from(*value)),
        Value::Int(value) => Some(*value),
        Value::Float(value) => Some(*value as i64),
        Value::Text(value) => value.parse().ok(),
    }
}

fn as_float(value: &Value) -> Option<f64> {
    match value {
        Value::Null => None,
        Value::Bool(value) => Some(f64::from(*value)),
        Value::Int(value) => Some(*value as f64),
        Value::Float(value) => Some(*value),
        Value::Text(value) => value.parse().ok(),
    }
}

fn as_text(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::Bool(value) => Some(value.to_string()),
        Value::Int(value) => Some(value.to_string()),
        Value::Float(value) => Some(value.to_string()),
        Value::Text(value) => Some(value.as_ref().to_owned()),
    }
}

/// Returns the statement of a portal with its parameters.
pub fn statement(portal: &Portal<String>) -> PgWireResult<Statement> {
    let parameters: PgWireResult<Vec<_>> =
        (0..portal.parameter_len()).map(|index| parameter(portal, index)).collect();
    Ok(Statement { sql: portal.statement.statement.as_str().into(), parameters: parameters? })
}

fn parameter(portal: &Portal<String>, index: usize) -> PgWireResult<Value> {
    let declared = portal.statement.parameter_types.get(index).cloned().flatten().unwrap_or(Type::UNKNOWN);
    if portal.parameters.get(index).is_some_and(Option::is_none) {
        return Ok(Value::Null);
    }
    let value = match declared {
        Type::BOOL => portal.parameter::<bool>(index, &declared)?.map(Value::Bool),
        Type::INT2 => portal.parameter::<i16>(index, &declared)?.map(|value| Value::Int(value.into())),
        Type::INT4 => portal.parameter::<i32>(index, &declared)?.map(|value| Value::Int(value.into())),
        Type::INT8 => portal.parameter::<i64>(index, &declared)?.map(Value::Int),
        Type::FLOAT4 => portal.parameter::<f32>(index, &declared)?.map(|value| Value::Float(value.into())),
        Type::FLOAT8 => portal.parameter::<f64>(index, &declared)?.map(Value::Float),
        Type::TEXT | Type::VARCHAR | Type::UNKNOWN => {
            portal.parameter::<String>(index, &Type::TEXT)?.map(|text| Value::Text(text.into()))
        }
        other => return Err(PgWireError::InvalidRustTypeForParameter(other.name().to_owned())),
    };
    Ok(value.unwrap_or(Value::Null))
}
