//! Whether a session may go on.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock;
use crate::fleet::fleet_document::Workspace;
use crate::limit::lease_clock::LeaseClock;
use crate::traffic::snapshot::Snapshot;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Watches the key of a session and the lease of the daemon.
#[derive(Clone)]
pub struct SessionGuard {
    snapshot: watch::Receiver<Arc<Snapshot>>,
    standing: Arc<LeaseClock>,
    key_id: Arc<str>,
    workspace: Arc<str>,
    group: Arc<str>,
}

impl SessionGuard {
    /// Creates a guard for a session that was admitted.
    pub fn new(
        snapshot: watch::Receiver<Arc<Snapshot>>,
        standing: Arc<LeaseClock>,
        key_id: Arc<str>,
        workspace: Arc<str>,
        group: Arc<str>,
    ) -> Self {
        Self { snapshot, standing, key_id, workspace, group }
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns why the session must end now, if it must.
    pub fn verdict(&self) -> Option<SqlError> {
        let snapshot = self.snapshot.borrow();
        let key = snapshot.fleet.keys.get(&*self.key_id);
        if key.is_none_or(|key| key.is_withdrawn) {
            let message = "the key was withdrawn";
            return Some(SqlError::fatal(sql_state::INVALID_KEY, message));
        }
        let workspace = snapshot.fleet.workspace(&self.workspace);
        let may_use =
            |workspace: &Workspace| workspace.groups.iter().any(|group| **group == *self.group);
        if !workspace.is_some_and(may_use) {
            let message = format!("group {} is no longer open to the workspace", self.group);
            return Some(SqlError::fatal(sql_state::UNKNOWN_GROUP, message));
        }
        if !self.standing.is_valid() {
            let message = "the daemon is cut off from the others; connect again";
            return Some(SqlError::fatal(sql_state::CANNOT_CONNECT, message));
        }
        None
    }

    /// Waits until the session must end, and returns why.
    pub async fn ended(&mut self) -> SqlError {
        loop {
            if let Some(error) = self.verdict() {
                return error;
            }
            let left_ms = self.standing.expires_at_ms().saturating_sub(clock::now_ms()) + 1;
            let left = Duration::from_millis(left_ms);
            let changed = tokio::time::timeout(left, self.snapshot.changed()).await;
            if let Ok(Err(_)) = changed {
                return SqlError::fatal(sql_state::STOPPING, "the daemon stops");
            }
        }
    }

    /// Waits until idle sessions are asked to connect elsewhere.
    pub async fn idle_ended(&mut self) -> SqlError {
        loop {
            if self.snapshot.borrow_and_update().is_draining {
                let message = "not run: the daemon is leaving service; connect again";
                return SqlError::fatal(sql_state::STOPPING, message);
            }
            let mut watching = self.clone();
            tokio::select! {
                error = watching.ended() => return error,
                changed = self.snapshot.changed() => {
                    if changed.is_err() {
                        return SqlError::fatal(sql_state::STOPPING, "the daemon stops");
                    }
                }
            }
        }
    }
}
