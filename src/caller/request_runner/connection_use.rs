//! A session's connection to a member: acquires and prepares it, exchanges messages on it and
//! releases it.

use std::time::Instant;

use futures::FutureExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;

use super::ActiveConnection;
use super::AttemptOutcome;
use super::RequestRunner;
use super::SessionEnd;
use super::errors::cancelled;
use super::errors::not_run;
use super::errors::out_of_step_error;
use super::flush;
use crate::caller::expected_replies::AwaitedReply;
use crate::caller::expected_replies::ExpectedReplies;
use crate::caller::expected_replies::ReplyAction;
use crate::caller::request_batch::RequestBatch;
use crate::caller::request_id::RequestId;
use crate::caller::startup::CallerWire;
use crate::clock;
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::exclusive_connection::Freshness;
use crate::wire::sql_error::SqlError;
use crate::wire::text_row::text_values;

/// Why a statement that the daemon issued itself failed.
pub(super) enum CommandError {
    /// The connection failed.
    ConnectionFailed(ConnectionError),
    /// The member returned an error.
    Sql(SqlError),
}

impl RequestRunner {
    /// Returns what a batch requires of a connection.
    pub(super) fn connection_request(
        &self,
        batch: &RequestBatch,
        deadline: Instant,
    ) -> ConnectionRequest {
        let snapshot = self.context.snapshot.borrow();
        let limits = snapshot.fleet.limits_of_group(&self.settings.group);
        let only_reads = match &self.block {
            Some(block) => block.is_read_only,
            None => !batch.writes,
        };
        let written = self.settings.written_position();
        let (freshness, floor) = match (self.settings.max_age_ms, self.settings.initial_floor) {
            (Some(age_ms), _) if only_reads => (Freshness::Age(age_ms), written),
            _ if limits.reads_latest => (Freshness::Latest, written),
            (_, Some(initial_floor)) => (Freshness::Floor, written.max(initial_floor)),
            (_, None) if self.settings.has_token => (Freshness::Floor, written),
            (_, None) => (Freshness::Latest, written),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        ConnectionRequest {
            group: self.settings.group.to_string(),
            workspace: self.settings.workspace.to_string(),
            may_use_replica: only_reads,
            floor,
            freshness,
            timeout_ms: remaining.as_millis() as u64,
        }
    }

    /// Acquires a connection, and the workspace's admission for the statements of a batch.
    pub(super) async fn acquire(
        &mut self,
        batch: &RequestBatch,
        deadline: Instant,
    ) -> Result<(), SqlError> {
        let request = self.connection_request(batch, deadline);
        let Some(provider) = self.context.providers.get(&self.settings.group) else {
            return Err(not_run("this daemon has not set up access to the group yet"));
        };
        let sets_initial_floor = request.freshness == Freshness::Latest;
        let cancel = self.cancel.clone();
        let grant = tokio::select! {
            grant = provider.acquire(request) => grant?,
            () = cancel.notified() => return Err(cancelled()),
        };
        if sets_initial_floor {
            self.settings.initial_floor = Some(grant.floor);
        }
        if let Err(error) = self.admit(batch).await {
            grant.connection.release(true).await;
            return Err(error);
        }
        if let Some(limiter) = self.context.limiter.workspace(&self.settings.workspace)
            && !batch.writes
            && self.block.is_none()
        {
            limiter.meter.count_read(grant.is_replica);
        }
        self.connection = Some(ActiveConnection {
            connection: grant.connection,
            is_replica: grant.is_replica,
            is_dirty: false,
            has_settings: false,
            has_grown: false,
            is_in_transaction: false,
        });
        Ok(())
    }

    /// Applies the session's settings to a new connection, opens the block and inserts the request
    /// id.
    ///
    /// Returns how the attempt ended if that failed.
    pub(super) async fn prepare_connection(
        &mut self,
        request: Option<&RequestId>,
    ) -> Option<AttemptOutcome> {
        let mut sql = self.settings.setup_sql();
        let has_settings = !sql.is_empty();
        if let Some(block) = &self.block {
            sql.push_str(&block.begin_sql);
            sql.push_str("; ");
        } else if request.is_some() {
            sql.push_str("BEGIN; ");
        }
        if let Some(request) = request {
            sql.push_str(&request.insert_sql(clock::unix_ms()));
        }
        if sql.is_empty() {
            return None;
        }
        if let Some(connection) = self.connection.as_mut() {
            connection.has_settings = has_settings;
        }
        let opens_transaction = self.block.is_some() || request.is_some();
        match self.command(&sql, opens_transaction).await {
            Ok(_) => {
                if let Some(block) = self.block.as_mut() {
                    block.is_started = true;
                }
                None
            }
            Err(CommandError::ConnectionFailed(_)) => {
                Some(AttemptOutcome::NotRun(not_run("the connection to the member was lost")))
            }
            Err(CommandError::Sql(error)) => Some(self.handle_setup_error(error, request).await),
        }
    }

    /// Sends messages to the member.
    pub(super) async fn send_to_member(
        &mut self,
        messages: Vec<Request>,
    ) -> Result<(), ConnectionError> {
        match self.connection.as_mut() {
            Some(active) => active.connection.send(messages).await,
            None => Err(ConnectionError::Lost("no connection to a member is in use".to_owned())),
        }
    }

    /// Receives a reply. If none has arrived yet, first flushes the messages to the caller. While
    /// it waits, passes the caller's cancel requests on to the member.
    pub(super) async fn next_reply(
        &mut self,
        wire: &mut CallerWire,
    ) -> Result<Result<Reply, ConnectionError>, SessionEnd> {
        let cancel = self.cancel.clone();
        let Some(active) = self.connection.as_mut() else {
            let reason = "no connection to a member is in use".to_owned();
            return Ok(Err(ConnectionError::Lost(reason)));
        };
        if let Some(ready) = active.connection.receive().now_or_never() {
            return Ok(ready);
        }
        flush(wire).await?;
        loop {
            tokio::select! {
                reply = active.connection.receive() => return Ok(reply),
                () = cancel.notified() => {}
            }
            active.connection.cancel().await;
        }
    }

    /// Checks, while no reply is awaited, that none has arrived.
    pub(super) fn check_in_step(&mut self) -> Result<(), ConnectionError> {
        self.connection.as_mut().map_or(Ok(()), |active| active.connection.check_in_step())
    }

    /// Takes the transaction status that ends the replies to messages. Returns whether it can
    /// belong to them: only some open or end a transaction.
    pub(super) fn accept_status(&mut self, status: TransactionStatus, may_change: bool) -> bool {
        let is_in_transaction = status != TransactionStatus::Idle;
        let Some(active) = self.connection.as_mut() else {
            return false;
        };
        let was_in_transaction =
            std::mem::replace(&mut active.is_in_transaction, is_in_transaction);
        may_change || active.is_dirty || was_in_transaction == is_in_transaction
    }

    /// Runs statements that the daemon issues itself, after which a transaction is open or not;
    /// returns the rows as text.
    pub(super) async fn command(
        &mut self,
        sql: &str,
        opens_transaction: bool,
    ) -> Result<Vec<Vec<String>>, CommandError> {
        self.check_in_step().map_err(CommandError::ConnectionFailed)?;
        let query = Request::Query(Query::new(sql.to_owned()));
        self.send_to_member(vec![query]).await.map_err(CommandError::ConnectionFailed)?;
        let rows = self.read_until_ready(AwaitedReply::Query).await?;
        let is_open = self.connection.as_ref().is_some_and(|active| active.is_in_transaction);
        match is_open == opens_transaction {
            true => Ok(rows),
            false => Err(CommandError::ConnectionFailed(out_of_step_error("command"))),
        }
    }

    /// Reads the replies to a Query or Sync of the daemon itself; returns the rows as text.
    pub(super) async fn read_until_ready(
        &mut self,
        awaited: AwaitedReply,
    ) -> Result<Vec<Vec<String>>, CommandError> {
        let mut expected = ExpectedReplies::default();
        expected.push(awaited);
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let Some(active) = self.connection.as_mut() else {
                let reason = "no connection to a member is in use".to_owned();
                return Err(CommandError::ConnectionFailed(ConnectionError::Lost(reason)));
            };
            let reply =
                active.connection.receive().await.map_err(CommandError::ConnectionFailed)?;
            if self.record_commit(&reply) {
                continue;
            }
            if expected.match_reply(&reply) == ReplyAction::Unexpected {
                return Err(CommandError::ConnectionFailed(out_of_step_error("command")));
            }
            match reply {
                Reply::DataRow(row) => rows.push(text_values(&row)),
                Reply::ErrorResponse(response) => {
                    failure = Some(SqlError::from_response(&response))
                }
                Reply::ReadyForQuery(ready) => {
                    self.accept_status(ready.status, true);
                    return match failure {
                        Some(error) => Err(CommandError::Sql(error)),
                        None => Ok(rows),
                    };
                }
                _ => {}
            }
        }
    }

    /// Resets the session's settings and releases the connection for reuse, if possible.
    pub(super) async fn release_connection(&mut self) {
        let connection = self.connection.as_ref();
        let mut is_clean =
            connection.is_some_and(|connection| !connection.is_dirty && !connection.has_grown);
        if is_clean && self.connection.as_ref().is_some_and(|connection| connection.has_settings) {
            is_clean = self.command("RESET ALL", false).await.is_ok();
        }
        is_clean = is_clean && self.check_in_step().is_ok();
        if let Some(active) = self.connection.take() {
            active.connection.release(is_clean).await;
        }
    }

    /// Closes the connection to the member regardless of its state. An open block then counts as
    /// not started.
    pub fn drop_connection(&mut self) {
        self.connection = None;
        self.needs_sync = false;
        if let Some(block) = self.block.as_mut() {
            block.is_started = false;
        }
    }

    /// Sends the member the Sync that it waits for after an error in a batch without Sync. Outside
    /// a block, closes the connection instead.
    pub async fn resync(&mut self) {
        if self.block.is_none() {
            self.drop_connection();
        }
        if !self.needs_sync || self.connection.is_none() {
            return;
        }
        self.needs_sync = false;
        let is_sent = self.send_to_member(vec![Request::Sync(Sync::new())]).await.is_ok();
        if !is_sent || self.read_until_ready(AwaitedReply::Sync).await.is_err() {
            self.drop_connection();
            self.fail_block();
        }
    }
}
