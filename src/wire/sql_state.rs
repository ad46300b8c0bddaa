//! SQLSTATE codes that the system answers with.
//!
//! Codes that PostgreSQL defines keep its meaning. The class `SH` is the system's own and says
//! what became of a request.

/// Outcome unknown: the request may or may not have run. PostgreSQL's
/// `transaction_resolution_unknown`.
pub const UNKNOWN_OUTCOME: &str = "08007";
/// The request is not supported through the proxy and did not run.
pub const NOT_SUPPORTED: &str = "0A000";
/// The message violates the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The workspace or its key is wrong, or the key is withdrawn.
pub const INVALID_KEY: &str = "28P01";
/// The database group does not exist, or the workspace may not use it.
pub const UNKNOWN_GROUP: &str = "3D000";
/// A write reached a member that is not the primary and did not run.
pub const READ_ONLY: &str = "25006";
/// The transaction is aborted until its end.
pub const IN_FAILED_TRANSACTION: &str = "25P02";
/// Two transactions conflicted; this one did not run.
pub const SERIALIZATION_FAILURE: &str = "40001";
/// The statement is not valid SQL.
pub const SYNTAX_ERROR: &str = "42601";
/// A named prepared statement does not exist.
pub const UNKNOWN_STATEMENT: &str = "26000";
/// The value given to a setting is not valid.
pub const INVALID_PARAMETER: &str = "22023";
/// Not run: no connection to a member came free in time.
pub const NO_CAPACITY: &str = "53300";
/// Not run: the workspace is over its rate.
pub const RATE_EXCEEDED: &str = "53400";
/// The statement was cancelled on the caller's request.
pub const CANCELLED: &str = "57014";
/// Not run: the daemon is stopping.
pub const STOPPING: &str = "57P01";
/// Not run: the daemon cannot serve now.
pub const CANNOT_CONNECT: &str = "57P03";
/// The request id was used by a request that is already done.
pub const ALREADY_DONE: &str = "SH001";
/// Not run: no member could take the request within its deadline.
pub const NOT_RUN: &str = "SH002";
