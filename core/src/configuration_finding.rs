//! What a check of a configuration found.

use std::fmt::Display;
use std::fmt::Formatter;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Some callers could not be served, or would get what is meant for others.
    Error,
    /// It works, but probably not as it was meant.
    Warning,
    /// It differs from the other configuration.
    Change,
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Place in the document.
    pub place: String,
    /// Explanation in words. Contains no keys.
    pub text: String,
}

impl Finding {
    /// Creates an error.
    pub fn error(place: &str, text: String) -> Self {
        Self { severity: Severity::Error, place: place.to_owned(), text }
    }

    /// Creates a warning.
    pub fn warning(place: &str, text: String) -> Self {
        Self { severity: Severity::Warning, place: place.to_owned(), text }
    }

    /// Creates a difference from the other configuration.
    pub fn change(place: &str, text: String) -> Self {
        Self { severity: Severity::Change, place: place.to_owned(), text }
    }
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Change => "change",
        };
        write!(formatter, "{severity}: {}: {}", self.place, self.text)
    }
}
