//! Errors of the platform.

use std::fmt;

/// Why a call of the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer came, so that the call may or may not have taken effect.
    Unavailable(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(formatter, "platform gave no answer: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}
