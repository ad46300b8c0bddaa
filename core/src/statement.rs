//! Statements of callers in the form that sessions and owners of services handle.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// Definition of a prepared statement, without the name that the session gave to it. Prepared
/// statements with equal shapes are interchangeable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: Access,
    /// Text of the definition.
    pub shape: Name,
}

/// Kind of a caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is read-only.
        is_read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// A data statement given as text.
    Direct(Access),
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Defines a prepared statement.
    Prepare {
        /// Name within the session.
        name: Name,
        /// Definition of the statement.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: Name,
        /// Arguments as the caller sent them.
        arguments: Name,
    },
    /// Discards a prepared statement.
    Deallocate {
        /// Name within the session.
        name: Name,
    },
}

/// A caller's statement. Members get its id and text unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Caller's id of the statement.
    pub id: Name,
    /// Text as the caller sent it.
    pub text: Name,
    /// Kind of the statement.
    pub kind: StatementKind,
}

/// What a member runs for a data statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementBody {
    /// The text that the caller sent.
    Text(Name),
    /// A prepared statement, identified by its shape.
    Execute {
        /// Shape of the prepared statement.
        shape: PreparedShape,
        /// Arguments as the caller sent them.
        arguments: Name,
    },
}

/// A data statement in the form that is sent to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataStatement {
    /// Caller's id of the statement.
    pub id: Name,
    /// Whether it may write.
    pub access: Access,
    /// What to run.
    pub body: StatementBody,
}
