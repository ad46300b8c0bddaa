//! Reasons for which a reply of a member is not delivered.

/// Why a reply is not that of the command that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// It repeats the reply to an earlier command, or follows such a repeat.
    Repeated,
    /// It lacks a signature, though the command's reply is signed.
    Unsigned,
    /// It is signed, though the command's reply is not.
    Signed,
    /// It has rows that the command does not return, or lacks those that it does.
    Rows,
    /// The transaction state after it is not the one that the command leads to.
    State,
    /// Nothing in it tells it from an earlier reply, so that it may be a repeat of that one.
    Unproven,
    /// It is the failure of a command that cannot fail.
    Failure,
    /// It arrived while no command waited for a reply.
    Unasked,
    /// Its rows break off.
    CutOff,
}

impl Mismatch {
    /// Returns the short name that is used in logs and errors.
    pub fn label(self) -> &'static str {
        match self {
            Self::Repeated => "repeated",
            Self::Unsigned => "unsigned",
            Self::Signed => "signed",
            Self::Rows => "rows",
            Self::State => "state",
            Self::Unproven => "unproven",
            Self::Failure => "failure",
            Self::Unasked => "unasked",
            Self::CutOff => "cut_off",
        }
    }
}
