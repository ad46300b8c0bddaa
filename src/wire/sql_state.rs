//! SQLSTATE codes that the proxy returns.
//!
//! Codes that PostgreSQL defines have the same meaning here. The class `SH` is specific to this
//! proxy and reports the outcome of a request.

/// Outcome unknown: the request may or may not have run. PostgreSQL calls this code
/// `transaction_resolution_unknown`.
pub const UNKNOWN_OUTCOME: &str = "08007";
/// The request is not supported through the proxy and did not run.
pub const NOT_SUPPORTED: &str = "0A000";
/// A message violates the wire protocol, exceeds a size limit or is not expected in the current
/// state.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The workspace, its key or the secret of a relaying daemon is invalid, or the key has been
/// withdrawn.
pub const INVALID_KEY: &str = "28P01";
/// The database group does not exist, or the workspace may not use it.
pub const UNKNOWN_GROUP: &str = "3D000";
/// A write reached a member that is not the primary and did not run.
pub const READ_ONLY: &str = "25006";
/// The current transaction has failed and accepts only its end.
pub const IN_FAILED_TRANSACTION: &str = "25P02";
/// The transaction was rolled back, because it conflicted with another one or lost its connection.
pub const SERIALIZATION_FAILURE: &str = "40001";
/// The statement is not valid SQL, or is a prepared statement of several commands.
pub const SYNTAX_ERROR: &str = "42601";
/// A named prepared statement does not exist.
pub const UNKNOWN_STATEMENT: &str = "26000";
/// A setting has an invalid value or does not exist, or a request id was used with other content.
pub const INVALID_PARAMETER: &str = "22023";
/// Not run: no connection to a member became free in time, or a limit on connections or prepared
/// statements is reached.
pub const NO_CAPACITY: &str = "53300";
/// Not run: the workspace has exceeded its rate.
pub const RATE_EXCEEDED: &str = "53400";
/// The statement was cancelled at the caller's request.
pub const CANCELLED: &str = "57014";
/// Not run: the daemon is stopping or leaving service.
pub const STOPPING: &str = "57P01";
/// Not run: the daemon cannot serve requests at the moment.
pub const CANNOT_CONNECT: &str = "57P03";
/// The request id was used by a request that has already run.
pub const ALREADY_DONE: &str = "SH001";
/// Not run, for a reason that may be temporary, such as that no member could serve it in time.
pub const NOT_RUN: &str = "SH002";
