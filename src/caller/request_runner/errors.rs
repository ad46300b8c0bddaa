//! Errors for requests that did not run, or may have run.

use crate::group::exclusive_connection::ConnectionError;
use crate::group::out_of_step;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Returns the error for a request that did not run and may be sent again.
pub(super) fn not_run(reason: &str) -> SqlError {
    SqlError::new(sql_state::NOT_RUN, format!("not run: {reason}")).with_hint("Try again in 1 s.")
}

/// Replaces the errors of a former primary or an unavailable member, which mean nothing to callers,
/// by one that says that the request did not run.
pub(super) fn as_not_run(error: SqlError) -> SqlError {
    match error.code.as_str() {
        sql_state::READ_ONLY | sql_state::CANNOT_CONNECT => {
            not_run("no member of the group accepted the request in time")
        }
        _ => error,
    }
}

/// Returns the error for a request that was cancelled before it ran.
pub(super) fn cancelled() -> SqlError {
    SqlError::new(sql_state::CANCELLED, "not run: cancelled while it waited for a connection")
}

/// Returns the error for a transaction that was rolled back with its connection.
pub(super) fn rolled_back() -> SqlError {
    let message = "the connection to the member was lost; the transaction was rolled back";
    SqlError::new(sql_state::SERIALIZATION_FAILURE, message)
}

/// Records that a reply belongs to no message that was sent, and returns the error for its
/// connection.
pub(super) fn out_of_step_error(while_doing: &str) -> ConnectionError {
    out_of_step::record(while_doing);
    ConnectionError::Lost("a reply of the member belongs to no request".to_owned())
}

/// Returns the error for a request that may have run.
pub(super) fn unknown_outcome(error: &ConnectionError) -> SqlError {
    let reason = match error {
        ConnectionError::Lost(_) => "the connection to the member was lost",
        ConnectionError::NotAcknowledged => "no majority of members confirmed the commit in time",
    };
    SqlError::new(
        sql_state::UNKNOWN_OUTCOME,
        format!("outcome unknown: {reason}; the request may have run"),
    )
    .with_hint("Look for its effect. A request with snipehead.request_id can be repeated safely.")
}
