//! Framing of the PostgreSQL wire protocol for both of its sides.

pub mod frontend_codec;
pub mod sql_error;
pub mod sql_state;
pub mod text_row;
