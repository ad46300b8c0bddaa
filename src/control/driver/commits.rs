//! Commits configuration changes to the log and waits until a majority of the daemons knows them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::ACCEPTANCE_TIMEOUT;
use super::Driver;
use super::MAX_APPEND_ATTEMPTS;
use super::MAX_COMMIT_ATTEMPTS;
use crate::control::change_request::ChangeError;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::control::change_request::new_change;
use crate::control::core::Event;
use crate::fleet::change::Change;
use crate::fleet::change::Operation;
use crate::fleet::change_log::AppendOutcome;

impl Driver {
    /// Appends a change to the log and applies it on this daemon. Returns its version. A request
    /// without an expected version is tried again at the next version if another change came first.
    pub(super) async fn commit(
        self: &Rc<Self>,
        request: &ChangeRequest,
    ) -> Result<u64, ChangeError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let fleet = self.core.borrow().fleet();
            if let Some(expected) = request.expected_version
                && expected != fleet.version
            {
                return Err(self.overtaken(expected + 1));
            }
            fleet.check(&request.operation).map_err(ChangeError::Invalid)?;
            let change = new_change(request, fleet.version);
            match self.append(&change).await? {
                AppendOutcome::Committed => {
                    log::info!(
                        event = "change_committed",
                        version = change.version,
                        who = change.who,
                        what = change.operation.to_string();
                        "the change was appended to the configuration log"
                    );
                    let version = change.version;
                    self.clone().step(Event::Committed(change));
                    return Ok(version);
                }
                AppendOutcome::VersionTaken(winner) => {
                    let is_conditional = request.expected_version.is_some();
                    let conflict = ChangeError::Overtaken {
                        version: winner.version,
                        who: winner.who.clone(),
                        what: winner.operation.to_string(),
                    };
                    self.clone().step(Event::Committed(*winner));
                    if is_conditional || attempts >= MAX_COMMIT_ATTEMPTS {
                        return Err(conflict);
                    }
                }
            }
        }
    }

    /// Returns the error for a request that expected the version before `version`: either another
    /// change has `version`, or the configuration has not reached the expected version.
    pub(super) fn overtaken(&self, version: u64) -> ChangeError {
        let core = self.core.borrow();
        let winner = core.changes().find(|change| change.version == version);
        ChangeError::Overtaken {
            version,
            who: winner.map_or_else(
                || "the expected version does not exist yet, so nobody".to_owned(),
                |change| change.who.clone(),
            ),
            what: winner.map_or_else(
                || format!("this daemon has not reached version {}", version - 1),
                |change| change.operation.to_string(),
            ),
        }
    }

    /// Appends a change to the log, and tries again if the table does not respond. The change id
    /// makes this safe: an append that did succeed is recognised.
    pub(super) async fn append(&self, change: &Change) -> Result<AppendOutcome, ChangeError> {
        let mut reason = String::new();
        for _ in 0..MAX_APPEND_ATTEMPTS {
            match self.context.log.append(change).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(ChangeError::TableUnavailable(reason))
    }

    pub(super) async fn change(
        self: Rc<Self>,
        request: ChangeRequest,
        reply: oneshot::Sender<Result<ChangeReceipt, ChangeError>>,
    ) {
        let outcome = match self.commit(&request).await {
            Ok(version) => Ok(self.await_acceptance(version).await),
            Err(error) => Err(error),
        };
        let _ = reply.send(outcome);
    }

    /// Waits until a majority of the daemons knows the version, but no longer than the timeout.
    pub(super) async fn await_acceptance(&self, version: u64) -> ChangeReceipt {
        let deadline = tokio::time::Instant::now() + ACCEPTANCE_TIMEOUT;
        while !self.core.borrow().is_accepted(version) && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let core = self.core.borrow();
        ChangeReceipt {
            version,
            is_accepted: core.is_accepted(version),
            in_force_on: core.hosts_with_version(version),
            hosts: core.fleet().hosts().len() as u64,
        }
    }

    /// Commits a change that starts a generation, unless an earlier proposal is still running.
    pub(super) async fn propose(self: Rc<Self>, hosts: BTreeMap<String, u64>, version: u64) {
        if self.is_proposing.replace(true) {
            return;
        }
        let request = ChangeRequest {
            operation: Operation::StartGeneration { hosts },
            expected_version: Some(version),
            who: format!("daemon {}", self.context.settings.name),
            why: "the daemons in service changed".to_owned(),
        };
        // If another daemon committed first, it has most likely proposed the same generation.
        if let Err(error) = self.commit(&request).await {
            log::debug!(
                event = "generation_proposal_failed",
                reason = error.to_string();
                "the proposed generation was not committed; it is proposed again if still needed"
            );
        }
        self.is_proposing.replace(false);
    }
}
