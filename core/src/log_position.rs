//! Positions in the replication log of a group.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A position in the replication log of a group: a term, and an index within the log.
///
/// Positions are ordered by term first. A member contains an acknowledged write if its applied
/// position is at least that of the write.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the primary that wrote the entry.
    pub term: u64,
    /// Index of the entry.
    pub position: u64,
}

impl LogPosition {
    /// Creates a position.
    pub fn new(term: u64, position: u64) -> Self {
        Self { term, position }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.position)
    }
}

impl FromStr for LogPosition {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, position) = text.split_once('/').ok_or(())?;
        Ok(Self {
            term: term.parse().map_err(|_| ())?,
            position: position.parse().map_err(|_| ())?,
        })
    }
}
