//! The load command.

use crate::client::arguments::Load;

/// Runs a load.
///
/// # Errors
///
/// Returns a sentence when it cannot run.
pub async fn run(_load: Load) -> Result<(), String> {
    Err("not there yet".to_owned())
}
