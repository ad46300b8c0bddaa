//! Classes of statements by how they must be run.

/// How a statement must be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads, so that a replica may serve it.
    Read,
    /// Must run on the primary.
    Write,
    /// Is not recognised. It must run on the primary and may leave session state on the connection,
    /// which is therefore closed afterwards.
    Unrecognised,
    /// Opens a transaction block.
    Begin {
        /// Text of the statement, as normalised by the parser.
        sql: String,
        /// Whether the block is READ ONLY.
        is_read_only: bool,
    },
    /// Commits the block.
    Commit,
    /// Rolls the block back.
    Rollback,
    /// Sets a session setting, or resets it when there is no value.
    Set {
        /// Name of the setting, in lower case.
        name: String,
        /// Value of the setting.
        value: Option<String>,
    },
    /// Shows one of the `snipehead` settings.
    Show {
        /// Name of the setting, in lower case.
        name: String,
    },
    /// Resets all session settings.
    DiscardAll,
    /// Is not supported through the proxy, for the given reason.
    Refused(String),
}

impl StatementClass {
    /// Returns whether the daemon answers statements of this class itself, apart from a BEGIN
    /// within a block.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Begin { .. } | Self::Set { .. } | Self::Show { .. } | Self::DiscardAll)
    }

    /// Returns whether the statement opens or ends a transaction block.
    pub fn controls_block(&self) -> bool {
        matches!(self, Self::Begin { .. } | Self::Commit | Self::Rollback)
    }
}
