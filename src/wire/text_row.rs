//! Decoding of rows with values in text format.

use bytes::Buf;
use pgwire::messages::data::DataRow;

/// Returns the values of a row. A NULL is returned as an empty text; a value that exceeds the row
/// and all values after it are left out.
pub fn text_values(row: &DataRow) -> Vec<String> {
    let mut data = &row.data[..];
    let mut values = Vec::with_capacity(row.field_count.max(0) as usize);
    while data.remaining() >= size_of::<i32>() {
        let length = usize::try_from(data.get_i32()).unwrap_or(0);
        if length > data.remaining() {
            break;
        }
        values.push(String::from_utf8_lossy(&data[..length]).into_owned());
        data.advance(length);
    }
    values
}
