//! What callers are told when a request did not run, or may have.

use crate::group::exclusive_connection::ConnectionError;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

pub(super) fn not_run(reason: &str) -> SqlError {
    SqlError::new(sql_state::NOT_RUN, format!("not run: {reason}")).with_hint("Try again in 1 s.")
}

pub(super) fn as_not_run(error: SqlError) -> SqlError {
    match error.code.as_str() {
        sql_state::READ_ONLY | sql_state::CANNOT_CONNECT => {
            not_run("no primary of the group took the request in time")
        }
        _ => error,
    }
}

pub(super) fn cancelled() -> SqlError {
    SqlError::new(sql_state::CANCELLED, "not run: cancelled while it waited for a connection")
}

pub(super) fn rolled_back() -> SqlError {
    let message = "the connection to the member was lost; the transaction was rolled back";
    SqlError::new(sql_state::SERIALIZATION_FAILURE, message)
}

pub(super) fn unknown_outcome(error: &ConnectionError) -> SqlError {
    let reason = match error {
        ConnectionError::Lost(_) => "the connection to the member was lost",
        ConnectionError::NotAcknowledged => "no majority of members confirmed the commit in time",
    };
    SqlError::new(
        sql_state::UNKNOWN_OUTCOME,
        format!("outcome unknown: {reason}; the request may have run"),
    )
    .with_hint("Look for its effect, or send requests with snipehead.request_id to repeat safely.")
}
