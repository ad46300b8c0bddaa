//! Replies to statements that the daemon answers without a member.

use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::CommandComplete;

/// OID of the type `text` in PostgreSQL.
const TEXT_OID: u32 = 25;

/// Builds the message that reports the completion of a command.
pub fn command_complete(tag: &str) -> Reply {
    Reply::CommandComplete(CommandComplete::new(tag.to_owned()))
}

/// Builds the description of a result with one text column.
pub fn text_description(name: &str) -> Reply {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    Reply::RowDescription(RowDescription::new(vec![field]))
}

/// Builds a row with one text value.
pub fn text_row(value: &str) -> Reply {
    let mut data = BytesMut::with_capacity(value.len() + size_of::<i32>());
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    Reply::DataRow(DataRow::new(data, 1))
}
