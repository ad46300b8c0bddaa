//! Errors of calls to the platform.

use std::fmt;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call failed or was not answered. It may or may not have taken effect.
    Unavailable(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(formatter, "the platform call failed: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}
