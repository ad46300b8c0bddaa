//! Violations of rules in settings, documents and operations.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a value before it is truncated, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// A value that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// JSON pointer to the value.
    pub path: String,
    /// The value, truncated if it is long.
    pub value: String,
    /// The rule that it violates.
    pub rule: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new<Value, Rule>(path: &str, value: Value, rule: Rule) -> Self
    where
        Value: fmt::Display,
        Rule: Into<String>,
    {
        Self {
            path: if path.is_empty() { "/".to_owned() } else { path.to_owned() },
            value: truncate(&value.to_string()),
            rule: rule.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: value {} {}", self.path, self.value, self.rule)
    }
}

fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
