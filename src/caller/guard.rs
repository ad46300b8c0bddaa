//! Decides whether a session may continue.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock;
use crate::fleet::fleet_document::Workspace;
use crate::limit::lease_clock::LeaseClock;
use crate::traffic::snapshot::Snapshot;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Monitors the key and group of a session and the lease of the daemon.
#[derive(Clone)]
pub struct SessionGuard {
    snapshot: watch::Receiver<Arc<Snapshot>>,
    lease: Arc<LeaseClock>,
    key_id: Arc<str>,
    workspace: Arc<str>,
    group: Arc<str>,
}

impl SessionGuard {
    /// Creates a guard for an authenticated session.
    pub fn new(
        snapshot: watch::Receiver<Arc<Snapshot>>,
        lease: Arc<LeaseClock>,
        key_id: Arc<str>,
        workspace: Arc<str>,
        group: Arc<str>,
    ) -> Self {
        Self { snapshot, lease, key_id, workspace, group }
    }

    /// Returns the current configuration.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns the error with which the session must end now, if it must.
    pub fn end_reason(&self) -> Option<SqlError> {
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
            let message = format!("the workspace may no longer use group {}", self.group);
            return Some(SqlError::fatal(sql_state::UNKNOWN_GROUP, message));
        }
        if !self.lease.is_valid() {
            let message = "the daemon is cut off from the others; connect again";
            return Some(SqlError::fatal(sql_state::CANNOT_CONNECT, message));
        }
        None
    }

    /// Waits until the session must end, and returns the error with which it ends.
    pub async fn wait_for_end(&mut self) -> SqlError {
        loop {
            if let Some(error) = self.end_reason() {
                return error;
            }
            let remaining_ms = self.lease.expires_at_ms().saturating_sub(clock::now_ms()) + 1;
            let remaining = Duration::from_millis(remaining_ms);
            let changed = tokio::time::timeout(remaining, self.snapshot.changed()).await;
            if let Ok(Err(_)) = changed {
                return SqlError::fatal(sql_state::STOPPING, "the daemon is stopping");
            }
        }
    }

    /// Waits until an idle session must end, and returns the error with which it ends.
    ///
    /// An idle session also ends when the daemon is leaving service, so that its caller connects to
    /// another daemon.
    pub async fn wait_for_idle_end(&mut self) -> SqlError {
        loop {
            if self.snapshot.borrow_and_update().is_draining {
                let message = "not run: the daemon is leaving service; connect again";
                return SqlError::fatal(sql_state::STOPPING, message);
            }
            let mut guard = self.clone();
            tokio::select! {
                error = guard.wait_for_end() => return error,
                changed = self.snapshot.changed() => {
                    if changed.is_err() {
                        return SqlError::fatal(sql_state::STOPPING, "the daemon is stopping");
                    }
                }
            }
        }
    }
}
