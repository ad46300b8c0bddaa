//! Handle through which other threads send commands to the control thread.

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

/// A command to the control thread, with the sender for its reply.
pub(super) enum ControlCommand {
    Exchange(ExchangeRequest, oneshot::Sender<ExchangeResponse>),
    Report(oneshot::Sender<DaemonReport>),
    Change(ChangeRequest, oneshot::Sender<Result<ChangeReceipt, ChangeError>>),
    History(u64, oneshot::Sender<Vec<Change>>),
    MovePrimaryAsHome(String, String, oneshot::Sender<Result<String, String>>),
    MovePrimaryViaHome(String, String, oneshot::Sender<Result<String, String>>),
    Reports(oneshot::Sender<Vec<(String, Option<DaemonReport>)>>),
    Drain,
}

/// Sends commands to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::Sender<ControlCommand>,
}

impl ControlHandle {
    async fn request<Reply, MakeCommand>(&self, make_command: MakeCommand) -> Option<Reply>
    where
        MakeCommand: FnOnce(oneshot::Sender<Reply>) -> ControlCommand,
    {
        let (sender, receiver) = oneshot::channel();
        self.commands.send(make_command(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Returns the report of this daemon; none once the control thread has stopped.
    pub async fn report(&self) -> Option<DaemonReport> {
        self.request(ControlCommand::Report).await
    }

    /// Returns the reports of all daemons by host name; one that does not reply has none.
    pub async fn reports(&self) -> Vec<(String, Option<DaemonReport>)> {
        self.request(ControlCommand::Reports).await.unwrap_or_default()
    }

    /// Commits a configuration change.
    ///
    /// # Errors
    ///
    /// Returns why the change was not committed, or that its outcome is unknown.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeReceipt, ChangeError> {
        let reply = self.request(|sender| ControlCommand::Change(request, sender)).await;
        let stopping = || Err(ChangeError::TableUnavailable("the daemon is stopping".to_owned()));
        reply.unwrap_or_else(stopping)
    }

    /// Returns the changes after a version that this daemon knows, oldest first; none once the
    /// control thread has stopped.
    pub async fn history(&self, after_version: u64) -> Vec<Change> {
        let reply = self.request(|sender| ControlCommand::History(after_version, sender)).await;
        reply.unwrap_or_default()
    }

    /// Moves a group's primary through one of the group's homes, to any suitable member if `member`
    /// is empty. Returns the new primary.
    ///
    /// # Errors
    ///
    /// Returns the reason as text if the primary was not moved.
    pub async fn move_primary(&self, group: String, member: String) -> Result<String, String> {
        let reply =
            self.request(|sender| ControlCommand::MovePrimaryViaHome(group, member, sender)).await;
        reply.unwrap_or_else(|| Err("the daemon is stopping".to_owned()))
    }

    /// Starts a planned stop of this daemon, which first drains its sessions.
    pub async fn drain(&self) {
        let _ = self.commands.send(ControlCommand::Drain).await;
    }
}

#[async_trait]
impl PeerHandler for ControlHandle {
    async fn exchange(&self, request: ExchangeRequest) -> Option<ExchangeResponse> {
        self.request(|sender| ControlCommand::Exchange(request, sender)).await
    }

    async fn report(&self) -> Option<DaemonReport> {
        Self::report(self).await
    }

    async fn move_primary(&self, group: String, member: String) -> Result<String, String> {
        let reply =
            self.request(|sender| ControlCommand::MovePrimaryAsHome(group, member, sender)).await;
        reply.unwrap_or_else(|| Err("the daemon is stopping".to_owned()))
    }
}

/// Creates a handle and the receiver for a control thread that is yet to be started.
pub fn channel() -> (ControlHandle, CommandReceiver) {
    let (sender, receiver) = mpsc::channel(1_000);
    (ControlHandle { commands: sender }, CommandReceiver(receiver))
}

/// Receiving end of the control thread's commands.
pub struct CommandReceiver(pub(super) mpsc::Receiver<ControlCommand>);
