//! Errors of calls to the platform.

use std::fmt;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call failed or was not answered. It may or may not have taken effect.
    Unavailable(String),
    /// The answer cannot be used as it is stored.
    Unreadable(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(formatter, "the platform call failed: {reason}"),
            Self::Unreadable(reason) => {
                write!(formatter, "the table's content is invalid: {reason}")
            }
        }
    }
}

impl std::error::Error for PlatformError {}
