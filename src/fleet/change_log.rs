//! The log of configuration changes in the platform's table.
//!
//! Each change is stored in a row of its own, which is written only if it does not exist. If two
//! operators make changes at the same version, only one of them succeeds. A write whose response
//! was lost can be repeated safely.

use std::sync::Arc;

use super::change::Change;
use crate::platform::Platform;
use crate::platform::error::PlatformError;
use crate::platform::rpc::WriteOutcome;

/// Prefix of the row keys.
const KEY_PREFIX: &str = "change/";

/// Maximum number of rows in one read.
const READ_PAGE_SIZE: u32 = 200;

/// Outcome of an append.
#[derive(Debug)]
pub enum AppendOutcome {
    /// The change is committed at its version.
    Committed,
    /// Another change has been committed at the version.
    VersionTaken(Box<Change>),
}

/// The log of configuration changes.
#[derive(Clone)]
pub struct ChangeLog {
    platform: Arc<dyn Platform>,
}

impl ChangeLog {
    /// Creates a log that is stored in the platform's table.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads the changes after a version in order, at most [`READ_PAGE_SIZE`] of them.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not respond, or if a row cannot be parsed or is missing:
    /// a daemon must not act as if it knew the changes from there on.
    pub async fn read_after(&self, version: u64) -> Result<Vec<Change>, PlatformError> {
        let after = row_key(version);
        let rows = self.platform.read_after(KEY_PREFIX, &after, READ_PAGE_SIZE).await?;
        let mut changes = Vec::new();
        for (expected, row) in (version + 1..).zip(&rows) {
            let change: Change = serde_json::from_str(&row.value)
                .map_err(|error| PlatformError::Unreadable(format!("row {}: {error}", row.key)))?;
            if change.version != expected || row.key != row_key(expected) {
                let found = &row.key;
                return Err(PlatformError::Unreadable(format!(
                    "row {found} with version {} where version {expected} was expected",
                    change.version
                )));
            }
            changes.push(change);
        }
        Ok(changes)
    }

    /// Appends a change at its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not respond. The change may have been committed.
    /// Appending the same change again returns the actual outcome.
    pub async fn append(&self, change: &Change) -> Result<AppendOutcome, PlatformError> {
        let value = serde_json::to_string(change)
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        let key = row_key(change.version);
        match self.platform.write(&key, 0, value).await? {
            WriteOutcome::Written(_) => Ok(AppendOutcome::Committed),
            WriteOutcome::Conflict(row) => {
                let text = row.map(|row| row.value).unwrap_or_default();
                let winner: Change = serde_json::from_str(&text)
                    .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
                match winner.change_id == change.change_id {
                    true => Ok(AppendOutcome::Committed),
                    false => Ok(AppendOutcome::VersionTaken(Box::new(winner))),
                }
            }
        }
    }
}

fn row_key(version: u64) -> String {
    format!("{KEY_PREFIX}{version:012}")
}
