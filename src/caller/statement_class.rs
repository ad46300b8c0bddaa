//! What a statement needs.

/// What a statement needs of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads; a replica may serve it.
    Read,
    /// Must run on the primary.
    Write,
    /// Must run on the primary, and may leave state on the connection, which is then closed.
    Unrecognised,
    /// Opens a transaction block.
    Begin {
        /// Text of the statement.
        sql: String,
        /// Whether the block only reads.
        is_read_only: bool,
    },
    /// Commits the block.
    Commit,
    /// Rolls the block back.
    Rollback,
    /// Sets a session setting; no value resets it.
    Set {
        /// Name of the setting, in lower case.
        name: String,
        /// Its value.
        value: Option<String>,
    },
    /// Shows one of the system's own settings.
    Show {
        /// Name of the setting, in lower case.
        name: String,
    },
    /// Forgets all session settings.
    DiscardAll,
    /// Is refused, with the reason.
    Refused(String),
}

impl StatementClass {
    /// Returns whether the daemon answers the statement itself.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Begin { .. } | Self::Set { .. } | Self::Show { .. } | Self::DiscardAll)
    }

    /// Returns whether the statement opens or ends a transaction block.
    pub fn controls_block(&self) -> bool {
        matches!(self, Self::Begin { .. } | Self::Commit | Self::Rollback)
    }
}
