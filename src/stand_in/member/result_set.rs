//! Results of statements as messages of the PostgreSQL protocol.

use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use rusqlite::Statement;
use rusqlite::types::Value;
use rusqlite::types::ValueRef;

use super::store::bind;

/// OID of the type `text` in the PostgreSQL catalogue.
pub const TEXT_OID: u32 = 25;
/// OID of the type `int8`.
pub const INT8_OID: u32 = 20;
/// OID of the type `float8`.
pub const FLOAT8_OID: u32 = 701;
/// OID of the type `bytea`.
pub const BYTEA_OID: u32 = 17;

/// Format code of binary values.
const BINARY_FORMAT: i16 = 1;

/// Result of one execution of a statement.
pub struct ResultSet {
    /// Rows, as messages.
    pub rows: Vec<PgWireBackendMessage>,
    /// Columns; empty if the statement returns no rows.
    pub columns: Vec<Column>,
}

/// A column of a result.
#[derive(Clone, Debug)]
pub struct Column {
    /// Name of the column.
    pub name: String,
    /// OID of the type of the column.
    pub type_oid: u32,
    /// Format code in which values are sent: 0 for text, 1 for binary.
    pub format_code: i16,
}

/// Returns the columns of a prepared statement without running it.
pub fn describe(statement: &Statement<'_>, formats: &[i16]) -> Vec<Column> {
    let columns = statement.columns();
    let describe_column = |(index, column): (usize, rusqlite::Column<'_>)| Column {
        name: column.name().to_owned(),
        type_oid: type_oid_of(column.decl_type(), column.name()),
        format_code: format_code_of(formats, index),
    };
    columns.into_iter().enumerate().map(describe_column).collect()
}

fn format_code_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [format] => *format,
        formats => formats.get(index).copied().unwrap_or(0),
    }
}

/// Returns the OID for the declared type of a column. For an expression, which has none, the name
/// of the column decides: aggregates are `int8`, all others `text`.
fn type_oid_of(declared: Option<&str>, name: &str) -> u32 {
    let declared = declared.unwrap_or_default().to_uppercase();
    let name = name.to_lowercase();
    let is_number =
        ["count(", "sum(", "max(", "min("].iter().any(|prefix| name.starts_with(prefix));
    if declared.contains("INT") || (declared.is_empty() && is_number) {
        INT8_OID
    } else if declared.contains("REAL") || declared.contains("DOUBLE") {
        FLOAT8_OID
    } else if declared.contains("BLOB") || declared.contains("BYTEA") {
        BYTEA_OID
    } else {
        TEXT_OID
    }
}

/// Runs a prepared statement and returns its rows.
pub fn run(
    statement: &mut Statement<'_>,
    values: &[Value],
    formats: &[i16],
) -> rusqlite::Result<ResultSet> {
    let columns = describe(statement, formats);
    bind(statement, values)?;
    let mut rows = Vec::new();
    let mut cursor = statement.raw_query();
    while let Some(row) = cursor.next()? {
        let mut data = BytesMut::new();
        for (index, column) in columns.iter().enumerate() {
            put_value(&mut data, row.get_ref(index)?, column);
        }
        rows.push(PgWireBackendMessage::DataRow(DataRow::new(data, columns.len() as i16)));
    }
    Ok(ResultSet { rows, columns })
}

/// Returns the message that describes the columns.
pub fn row_description(columns: &[Column]) -> PgWireBackendMessage {
    let field = |column: &Column| {
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            column.type_oid,
            -1,
            -1,
            column.format_code,
        )
    };
    PgWireBackendMessage::RowDescription(RowDescription::new(columns.iter().map(field).collect()))
}

/// Returns a row of text values, as a message.
pub fn text_row(values: &[String]) -> PgWireBackendMessage {
    let mut data = BytesMut::new();
    for value in values {
        put_bytes(&mut data, value.as_bytes());
    }
    PgWireBackendMessage::DataRow(DataRow::new(data, values.len() as i16))
}

/// Returns text columns with the given names.
pub fn text_columns(names: &[&str]) -> Vec<Column> {
    let column =
        |name: &&str| Column { name: (*name).to_owned(), type_oid: TEXT_OID, format_code: 0 };
    names.iter().map(column).collect()
}

fn put_bytes(data: &mut BytesMut, bytes: &[u8]) {
    data.put_i32(bytes.len() as i32);
    data.put_slice(bytes);
}

fn put_value(data: &mut BytesMut, value: ValueRef<'_>, column: &Column) {
    let is_binary = column.format_code == BINARY_FORMAT;
    match (value, is_binary, column.type_oid) {
        (ValueRef::Null, _, _) => data.put_i32(-1),
        (ValueRef::Integer(number), true, INT8_OID) => put_bytes(data, &number.to_be_bytes()),
        (ValueRef::Integer(number), true, FLOAT8_OID) => {
            put_bytes(data, &(number as f64).to_be_bytes());
        }
        (ValueRef::Real(number), true, FLOAT8_OID) => put_bytes(data, &number.to_be_bytes()),
        (ValueRef::Integer(number), _, _) => put_bytes(data, number.to_string().as_bytes()),
        (ValueRef::Real(number), _, _) => put_bytes(data, number.to_string().as_bytes()),
        (ValueRef::Text(text), _, _) => put_bytes(data, text),
        (ValueRef::Blob(bytes), true, _) => put_bytes(data, bytes),
        (ValueRef::Blob(bytes), false, _) => {
            put_bytes(data, format!("\\x{}", hex::encode(bytes)).as_bytes());
        }
    }
}
