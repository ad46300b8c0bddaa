//! Reading rows of text values.

use bytes::Buf;
use pgwire::messages::data::DataRow;

/// Returns the values of a row; a NULL or a malformed value is an empty text.
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
