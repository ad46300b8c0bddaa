//! Statements of callers, as the session and the owner of a service see them.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes.
    Write,
}

/// What a prepared statement runs; equal shapes are interchangeable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: Access,
    /// Text of the shape.
    pub shape: Name,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction only reads.
        is_read_only: bool,
    },
    /// Ends a transaction and keeps its work.
    Commit,
    /// Ends a transaction and drops its work.
    Rollback,
    /// Reads or writes directly.
    Direct(Access),
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Names a prepared statement.
    Prepare {
        /// Name within the session.
        name: Name,
        /// What it runs.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: Name,
        /// Arguments as they were sent.
        arguments: Name,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name within the session.
        name: Name,
    },
}

/// A statement with the caller's id and text, which members get unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The caller's id.
    pub id: Name,
    /// The text as it was sent.
    pub text: Name,
    /// What it asks for.
    pub kind: StatementKind,
}

/// What a member is to run for a data statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementBody {
    /// The caller's text.
    Text(Name),
    /// A prepared statement, by its shape.
    Execute {
        /// What was prepared.
        shape: PreparedShape,
        /// The caller's arguments.
        arguments: Name,
    },
}

/// A data statement on its way to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataStatement {
    /// The caller's id.
    pub id: Name,
    /// Whether it writes.
    pub access: Access,
    /// What to run.
    pub body: StatementBody,
}
