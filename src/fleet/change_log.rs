//! The log of changes in the platform's table.
//!
//! Each change is a row of its own, written only if the row is absent. Thus of two operators who
//! take the same version one wins, and a write whose answer was lost can be repeated safely.

use std::sync::Arc;

use super::change::Change;
use crate::platform::Platform;
use crate::platform::error::PlatformError;
use crate::platform::rpc::WriteOutcome;

/// Prefix of the rows.
const PREFIX: &str = "change/";

/// Most rows read at one time.
const READ_LIMIT: u32 = 200;

/// What became of an attempt to append.
#[derive(Debug)]
pub enum AppendOutcome {
    /// The change holds its version.
    Committed,
    /// Another change holds the version.
    VersionTaken(Box<Change>),
}

/// The log of changes.
#[derive(Clone)]
pub struct ChangeLog {
    platform: Arc<dyn Platform>,
}

impl ChangeLog {
    /// Creates a log kept in a platform's table.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads changes after a version, in order.
    ///
    /// # Errors
    ///
    /// Returns an error when the table gives no answer.
    pub async fn read_after(&self, version: u64) -> Result<Vec<Change>, PlatformError> {
        let after = row_key(version);
        let rows = self.platform.read_after(PREFIX, &after, READ_LIMIT).await?;
        let parsed = rows.iter().map(|row| serde_json::from_str(&row.value));
        Ok(parsed.map_while(Result::ok).collect())
    }

    /// Appends a change at its version.
    ///
    /// # Errors
    ///
    /// Returns an error when the table gives no answer; the change may be committed then, and
    /// appending the same change again tells.
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
    format!("{PREFIX}{version:012}")
}
