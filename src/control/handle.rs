//! The way to the control thread.

use async_trait::async_trait;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::change_request::ChangeError;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::fleet::change::Change;
use crate::peer::rpc::DaemonReport;
use crate::peer::rpc::ExchangeRequest;
use crate::peer::rpc::ExchangeResponse;
use crate::peer::server::PeerHandler;

/// What the control thread is asked.
pub(super) enum ControlCommand {
    Exchange(ExchangeRequest, oneshot::Sender<ExchangeResponse>),
    Report(oneshot::Sender<DaemonReport>),
    Change(ChangeRequest, oneshot::Sender<Result<ChangeReceipt, ChangeError>>),
    History(u64, oneshot::Sender<Vec<Change>>),
    MoveHere(String, String, oneshot::Sender<Result<String, String>>),
    MoveAnywhere(String, String, oneshot::Sender<Result<String, String>>),
    Reports(oneshot::Sender<Vec<(String, Option<DaemonReport>)>>),
    Drain,
}

/// Way to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    questions: mpsc::Sender<ControlCommand>,
}

impl ControlHandle {
    async fn ask<Answer, Make>(&self, make: Make) -> Option<Answer>
    where
        Make: FnOnce(oneshot::Sender<Answer>) -> ControlCommand,
    {
        let (sender, receiver) = oneshot::channel();
        self.questions.send(make(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Reports on this daemon.
    pub async fn report(&self) -> Option<DaemonReport> {
        self.ask(ControlCommand::Report).await
    }

    /// Reports on all daemons; one that does not answer has none.
    pub async fn reports(&self) -> Vec<(String, Option<DaemonReport>)> {
        self.ask(ControlCommand::Reports).await.unwrap_or_default()
    }

    /// Makes a change of the configuration.
    ///
    /// # Errors
    ///
    /// Returns why it did not take place.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeReceipt, ChangeError> {
        let answer = self.ask(|sender| ControlCommand::Change(request, sender)).await;
        let stopped = || Err(ChangeError::TableUnavailable("the daemon stops".to_owned()));
        answer.unwrap_or_else(stopped)
    }

    /// Returns changes after a version, oldest first.
    pub async fn history(&self, after_version: u64) -> Vec<Change> {
        let answer = self.ask(|sender| ControlCommand::History(after_version, sender)).await;
        answer.unwrap_or_default()
    }

    /// Moves a group's primary by way of one of its homes.
    ///
    /// # Errors
    ///
    /// Returns a sentence when it was not moved.
    pub async fn move_primary(&self, group: String, member: String) -> Result<String, String> {
        let answer = self.ask(|sender| ControlCommand::MoveAnywhere(group, member, sender)).await;
        answer.unwrap_or_else(|| Err("the daemon stops".to_owned()))
    }

    /// Starts a planned stop of this daemon.
    pub async fn drain(&self) {
        let _ = self.questions.send(ControlCommand::Drain).await;
    }
}

#[async_trait]
impl PeerHandler for ControlHandle {
    async fn exchange(&self, request: ExchangeRequest) -> Option<ExchangeResponse> {
        self.ask(|sender| ControlCommand::Exchange(request, sender)).await
    }

    async fn report(&self) -> Option<DaemonReport> {
        Self::report(self).await
    }

    async fn move_primary(&self, group: String, member: String) -> Result<String, String> {
        let answer = self.ask(|sender| ControlCommand::MoveHere(group, member, sender)).await;
        answer.unwrap_or_else(|| Err("the daemon stops".to_owned()))
    }
}

/// Creates the way to a control thread that is not running yet.
pub fn channel() -> (ControlHandle, CommandReceiver) {
    let (sender, receiver) = mpsc::channel(1_000);
    (ControlHandle { questions: sender }, CommandReceiver(receiver))
}

/// The control thread's end of its questions.
pub struct CommandReceiver(pub(super) mpsc::Receiver<ControlCommand>);
