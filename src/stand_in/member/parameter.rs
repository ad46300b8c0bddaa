//! Conversion of bound parameter values.

use rusqlite::types::Value;

use crate::stand_in::member::statement::LoggedValue;

/// Decodes a bound parameter. `format` is 0 for text and 1 for binary; `oid` is the type of the
/// parameter in the PostgreSQL catalogue.
pub(super) fn decode_parameter(bytes: Option<&[u8]>, format: i16, oid: u32) -> Value {
    let Some(bytes) = bytes else {
        return Value::Null;
    };
    if format == 1 {
        return decode_binary(bytes, oid);
    }
    let text = String::from_utf8_lossy(bytes).into_owned();
    match oid {
        20 | 21 | 23 => text.parse().map_or(Value::Text(text), Value::Integer),
        700 | 701 => text.parse().map_or(Value::Text(text), Value::Real),
        _ => Value::Text(text),
    }
}

pub(super) fn decode_binary(bytes: &[u8], oid: u32) -> Value {
    match (oid, bytes) {
        (20, _) if bytes.len() == 8 => {
            Value::Integer(bytes.iter().fold(0, |sum, byte| sum << 8 | i64::from(*byte)))
        }
        (23, [a, b, c, d]) => Value::Integer(i32::from_be_bytes([*a, *b, *c, *d]).into()),
        (21, [a, b]) => Value::Integer(i16::from_be_bytes([*a, *b]).into()),
        (16, [flag]) => Value::Integer((*flag).into()),
        (17, _) => Value::Blob(bytes.to_vec()),
        _ => Value::Text(String::from_utf8_lossy(bytes).into_owned()),
    }
}

pub(super) fn to_logged(value: &Value) -> LoggedValue {
    match value {
        Value::Null => LoggedValue::Null,
        Value::Integer(number) => LoggedValue::Integer(*number),
        Value::Real(number) => LoggedValue::Real(*number),
        Value::Text(text) => LoggedValue::Text(text.clone()),
        Value::Blob(bytes) => LoggedValue::Blob(bytes.clone()),
    }
}
