//! Encoding of PostgreSQL wire protocol messages, errors and rows.

pub mod frontend_codec;
pub mod sql_error;
pub mod sql_literal;
pub mod sql_state;
pub mod text_row;
