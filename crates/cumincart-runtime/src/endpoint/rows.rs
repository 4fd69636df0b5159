//! Conversion of an endpoint's rows to the protocol's values.

use {
    cumincart_protocol::request::Value,
    std::{error::Error, fmt::Write},
    tokio_postgres::{
        Row,
        types::{FromSql, Type},
    },
};

/// Converts a row. Values of types without an equivalent become text: their text form if it is known here, otherwise
/// their bytes in PostgreSQL's hexadecimal `bytea` format.
pub(super) fn read_row(row: &Row) -> Vec<Value> {
    (0..row.len()).map(|index| row.get::<_, Cell>(index).0).collect()
}

/// A value of any type, NULL included.
struct Cell(Value);

impl<'a> FromSql<'a> for Cell {
    fn from_sql(kind: &Type, raw: &'a [u8]) -> Result<Self, Box<dyn Error + Sync + Send>> {
        Ok(Self(read_value(kind, raw).unwrap_or_else(|_| Value::Text(hexadecimal(raw).into()))))
    }

    fn from_sql_null(_kind: &Type) -> Result<Self, Box<dyn Error + Sync + Send>> {
        Ok(Self(Value::Null))
    }

    fn accepts(_kind: &Type) -> bool {
        true
    }
}

fn read_value(kind: &Type, raw: &[u8]) -> Result<Value, Box<dyn Error + Sync + Send>> {
    let value = match *kind {
        Type::BOOL => Value::Bool(bool::from_sql(kind, raw)?),
        Type::INT2 => Value::Int(i16::from_sql(kind, raw)?.into()),
        Type::INT4 => Value::Int(i32::from_sql(kind, raw)?.into()),
        Type::INT8 => Value::Int(i64::from_sql(kind, raw)?),
        Type::OID => Value::Int(u32::from_sql(kind, raw)?.into()),
        Type::FLOAT4 => Value::Float(f32::from_sql(kind, raw)?.into()),
        Type::FLOAT8 => Value::Float(f64::from_sql(kind, raw)?),
        Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::UNKNOWN | Type::JSON | Type::XML => {
            Value::Text(std::str::from_utf8(raw)?.into())
        }
        Type::JSONB => Value::Text(std::str::from_utf8(raw.get(1..).unwrap_or_default())?.into()),
        Type::UUID => Value::Text(uuid::Uuid::from_slice(raw)?.to_string().into()),
        _ if matches!(kind.kind(), tokio_postgres::types::Kind::Enum(_)) => {
            Value::Text(std::str::from_utf8(raw)?.into())
        }
        _ => Value::Text(hexadecimal(raw).into()),
    };
    Ok(value)
}

fn hexadecimal(raw: &[u8]) -> String {
    let mut text = String::from("\\x");
    for byte in raw {
        // Writing into a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
