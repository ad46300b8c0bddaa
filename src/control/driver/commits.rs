//! Changes of the configuration: into the table, and to a majority of the daemons.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::ACCEPT_TIMEOUT;
use super::APPEND_TRIES;
use super::Driver;
use super::OVERTAKEN_TRIES;
use crate::control::change_request::ChangeError;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::control::change_request::new_change;
use crate::control::core::Event;
use crate::fleet::change::Change;
use crate::fleet::change::Operation;
use crate::fleet::change_log::AppendOutcome;

impl Driver {
    /// Appends a change to the log and applies it here.
    pub(super) async fn commit(
        self: &Rc<Self>,
        request: &ChangeRequest,
    ) -> Result<u64, ChangeError> {
        let mut tries = 0;
        loop {
            tries += 1;
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
                        ""
                    );
                    let version = change.version;
                    self.clone().step(Event::Committed(change));
                    return Ok(version);
                }
                AppendOutcome::VersionTaken(winner) => {
                    let is_conditional = request.expected_version.is_some();
                    let lost = ChangeError::Overtaken {
                        version: winner.version,
                        who: winner.who.clone(),
                        what: winner.operation.to_string(),
                    };
                    self.clone().step(Event::Committed(*winner));
                    if is_conditional || tries >= OVERTAKEN_TRIES {
                        return Err(lost);
                    }
                }
            }
        }
    }

    pub(super) fn overtaken(&self, version: u64) -> ChangeError {
        let core = self.core.borrow();
        let winner = core.changes().find(|change| change.version == version);
        ChangeError::Overtaken {
            version,
            who: winner.map_or_else(|| "nobody yet".to_owned(), |change| change.who.clone()),
            what: winner.map_or_else(
                || format!("the configuration has version {}", version - 1),
                |change| change.operation.to_string(),
            ),
        }
    }

    /// Appends a change; a lost answer is asked for again, which the change's id makes safe.
    pub(super) async fn append(&self, change: &Change) -> Result<AppendOutcome, ChangeError> {
        let mut reason = String::new();
        for _ in 0..APPEND_TRIES {
            match self.parts.log.append(change).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(ChangeError::TableUnavailable(reason))
    }

    pub(super) async fn change(
        self: Rc<Self>,
        request: ChangeRequest,
        answer: oneshot::Sender<Result<ChangeReceipt, ChangeError>>,
    ) {
        let outcome = match self.commit(&request).await {
            Ok(version) => Ok(self.await_acceptance(version).await),
            Err(error) => Err(error),
        };
        let _ = answer.send(outcome);
    }

    pub(super) async fn await_acceptance(&self, version: u64) -> ChangeReceipt {
        let deadline = tokio::time::Instant::now() + ACCEPT_TIMEOUT;
        while !self.core.borrow().is_accepted(version) && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let core = self.core.borrow();
        ChangeReceipt {
            version,
            is_accepted: core.is_accepted(version),
            in_force_on: core.hosts_at(version),
            hosts: core.fleet().hosts().len() as u64,
        }
    }

    pub(super) async fn propose(self: Rc<Self>, hosts: BTreeMap<String, u64>, version: u64) {
        if self.proposing.replace(true) {
            return;
        }
        let request = ChangeRequest {
            operation: Operation::StartGeneration { hosts },
            expected_version: Some(version),
            who: format!("daemon {}", self.parts.settings.name),
            why: "the daemons in service changed".to_owned(),
        };
        // Another daemon that came first has most likely proposed the same.
        if let Err(error) = self.commit(&request).await {
            log::debug!(event = "generation_not_started", reason = error.to_string(); "");
        }
        self.proposing.replace(false);
    }
}
