//! Callers: their PostgreSQL sessions, and how their requests are run on members.

pub mod classify;
pub mod expected_replies;
pub mod gated_io;
pub mod guard;
pub mod listener;
pub mod local_statement;
pub mod request_batch;
pub mod request_id;
pub mod request_runner;
pub mod safe_functions;
pub mod session;
pub mod session_bytes;
pub mod session_settings;
pub mod startup;
pub mod statement_class;
pub mod transaction_block;
