//! Runs the requests of a session on members of its group.

mod connection_use;
mod errors;
mod idempotent;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::SinkExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::TransactionStatus;
use tokio::sync::Notify;

use self::errors::as_not_run;
use self::errors::not_run;
use self::errors::out_of_step_error;
use self::errors::rolled_back;
use self::errors::unknown_outcome;
use crate::caller::expected_replies::ReplyAction;
use crate::caller::request_batch::RequestBatch;
use crate::caller::session_settings::SessionSettings;
use crate::caller::startup::CallerWire;
use crate::caller::transaction_block::TransactionBlock;
use crate::group::exclusive_connection::COMMIT_PARAMETER;
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::ExclusiveConnection;
use crate::traffic::context::TrafficContext;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;
use snipehead_core::unanswered_work::UnansweredWork;

/// Pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of attempts for a request. A request that a former primary rejects is instead
/// tried again until its deadline.
const MAX_ATTEMPTS: u32 = 4;

/// Longest wait for a caller to read its replies.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest message after which a connection to a member is kept, in bytes. Its buffers stay as large, and
/// a group has dozens of connections; usual messages are shorter.
const MAX_KEPT_MESSAGE_BYTES: usize = 256 << 10;

/// SQLSTATE of a unique violation.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a missing table.
const UNDEFINED_TABLE: &str = "42P01";

/// Why a session ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The caller has disconnected or does not read its replies.
    CallerDisconnected,
    /// The session ends with this error.
    Fatal(SqlError),
}

/// The connection in use, with the state that the session has left on it.
struct ActiveConnection {
    connection: Box<dyn ExclusiveConnection>,
    is_replica: bool,
    is_dirty: bool,
    has_settings: bool,
    /// Whether a large message has made its buffers grow, which cannot be given back otherwise.
    has_grown: bool,
    /// Whether a transaction is open on it, by the member's last report.
    is_in_transaction: bool,
}

/// How an attempt to run a batch ended.
enum AttemptOutcome {
    /// The caller has been sent all replies. Holds the transaction status that the member reported,
    /// if it reported one.
    Done(Option<TransactionStatus>),
    /// The request can be tried again: it did not run or was rolled back, or its request id keeps
    /// it from running twice.
    NotRun(SqlError),
    /// The caller must be sent this error.
    Failed(SqlError),
    /// The request id has been used by an earlier request.
    Duplicate,
}

/// How an exchange with the member ended.
enum ExchangeOutcome {
    /// All replies arrived.
    Complete {
        /// Transaction status that the member reported, if it reported one.
        status: Option<TransactionStatus>,
        /// Command tag that the caller has not been sent yet.
        deferred: Option<Reply>,
        /// Whether the caller has been sent other replies.
        is_forwarded: bool,
    },
    /// The member rejected the batch or rolled it back, so that it can be tried again; the caller
    /// has been sent no reply.
    Rejected(SqlError),
    /// The connection failed; `is_forwarded` tells whether the caller has been sent replies.
    ConnectionFailed { error: ConnectionError, is_forwarded: bool },
}

/// Runs the requests of a session.
pub struct RequestRunner {
    context: Arc<TrafficContext>,
    cancel: Arc<Notify>,
    connection: Option<ActiveConnection>,
    /// Settings of the session.
    pub settings: SessionSettings,
    /// Transaction block that the caller has open.
    pub block: Option<TransactionBlock>,
    /// Whether the member skips messages until it gets a Sync, after an error.
    needs_sync: bool,
    /// Whether an error of the member was forwarded in the current run.
    has_forwarded_error: bool,
}

impl RequestRunner {
    /// Creates a runner for a session.
    pub fn new(
        context: Arc<TrafficContext>,
        cancel: Arc<Notify>,
        settings: SessionSettings,
    ) -> Self {
        Self {
            context,
            cancel,
            connection: None,
            settings,
            block: None,
            needs_sync: false,
            has_forwarded_error: false,
        }
    }

    /// Returns whether the session uses a connection to a member.
    pub fn has_connection(&self) -> bool {
        self.connection.is_some()
    }

    /// Returns the transaction status to report to the caller.
    pub fn status(&self) -> TransactionStatus {
        self.block.as_ref().map_or(TransactionStatus::Idle, TransactionBlock::status)
    }

    /// Runs a batch and sends the caller the replies, except for ReadyForQuery.
    ///
    /// Returns `false` when the caller was sent an error, or its block has failed: the messages up to
    /// the next Sync must then be skipped.
    ///
    /// # Errors
    ///
    /// Returns the reason when the session must end.
    pub async fn run(
        &mut self,
        batch: &RequestBatch,
        wire: &mut CallerWire,
    ) -> Result<bool, SessionEnd> {
        let started_at = Instant::now();
        self.has_forwarded_error = false;
        let outcome = self.run_with_retries(batch, wire).await?;
        let elapsed_us = started_at.elapsed().as_micros() as u64;
        if let Some(limiter) = self.context.limiter.workspace(&self.settings.workspace) {
            limiter.meter.record_latency(elapsed_us);
            if outcome.is_err() {
                limiter.meter.count_failure();
            }
        }
        match outcome {
            Ok(()) => Ok(!self.is_block_failed() && !self.has_forwarded_error),
            Err(error) => {
                self.fail_block();
                send(wire, error.into_message()).await?;
                Ok(false)
            }
        }
    }

    /// Runs a batch until it succeeds, fails for good or runs out of time.
    async fn run_with_retries(
        &mut self,
        batch: &RequestBatch,
        wire: &mut CallerWire,
    ) -> Result<Result<(), SqlError>, SessionEnd> {
        let deadline = Instant::now() + self.queue_timeout();
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.attempt(batch, wire, deadline).await? {
                AttemptOutcome::Done(status) => {
                    self.update_block(status).await;
                    return Ok(Ok(()));
                }
                AttemptOutcome::Duplicate => {
                    return self.answer_duplicate(batch, wire, deadline).await;
                }
                AttemptOutcome::Failed(error) => {
                    self.drop_connection();
                    return Ok(Err(error));
                }
                AttemptOutcome::NotRun(error) => {
                    self.drop_connection();
                    let is_timed_out = Instant::now() + RETRY_PAUSE >= deadline;
                    let is_last = error.code != sql_state::READ_ONLY && attempts >= MAX_ATTEMPTS;
                    if is_timed_out || is_last || error.code == sql_state::CANCELLED {
                        return Ok(Err(as_not_run(error)));
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Runs a batch once, on a new connection if the session uses none.
    async fn attempt(
        &mut self,
        batch: &RequestBatch,
        wire: &mut CallerWire,
        deadline: Instant,
    ) -> Result<AttemptOutcome, SessionEnd> {
        let is_new_connection = self.connection.is_none();
        if is_new_connection {
            if let Err(error) = self.acquire(batch, deadline).await {
                return Ok(AttemptOutcome::Failed(error));
            }
            let request = self.request_id_for(batch);
            if let Some(ended) = self.prepare_connection(request.as_ref()).await {
                return Ok(ended);
            }
            if self.block.is_none() && request.is_some() {
                return self.run_with_request_id(batch, wire, request).await;
            }
        } else if let Err(error) = self.admit(batch).await {
            return Ok(AttemptOutcome::Failed(error));
        }
        let may_retry = is_new_connection;
        if self.check_in_step().is_err() {
            let reason = "the connection to the member was lost before the request was sent";
            return Ok(match may_retry {
                true => AttemptOutcome::NotRun(not_run(reason)),
                false => AttemptOutcome::Failed(rolled_back()),
            });
        }
        let outcome = self.exchange(batch, wire, may_retry).await?;
        match outcome {
            ExchangeOutcome::Complete { status, deferred, .. } => {
                if let Some(deferred) = deferred {
                    send(wire, deferred).await?;
                }
                Ok(AttemptOutcome::Done(status))
            }
            ExchangeOutcome::Rejected(error) => Ok(AttemptOutcome::NotRun(error)),
            ExchangeOutcome::ConnectionFailed { error, is_forwarded } => {
                Ok(self.handle_connection_failure(batch, error, is_forwarded, may_retry))
            }
        }
    }

    /// Admits the statements of a batch under the workspace's rate.
    async fn admit(&mut self, batch: &RequestBatch) -> Result<(), SqlError> {
        if batch.statements == 0 {
            return Ok(());
        }
        self.context.limiter.admit(&self.settings.workspace, batch.statements).await
    }

    /// Returns how long a request may wait for a connection.
    fn queue_timeout(&self) -> Duration {
        let snapshot = self.context.snapshot.borrow();
        let limits = snapshot.fleet.limits_of_group(&self.settings.group);
        Duration::from_millis(limits.queue_timeout_ms)
    }

    /// Sends a batch and forwards the replies to the caller.
    ///
    /// `may_retry` means that the session has run nothing on the connection yet. A rejection by a
    /// former primary is then not forwarded, because the batch can run again elsewhere. Outside a
    /// block, the last command tag is deferred, so that the caller gets it only after the commit is
    /// confirmed.
    async fn exchange(
        &mut self,
        batch: &RequestBatch,
        wire: &mut CallerWire,
        may_retry: bool,
    ) -> Result<ExchangeOutcome, SessionEnd> {
        let mut expected = batch.expected_replies();
        let mut deferred: Option<Reply> = None;
        let mut status = None;
        let mut is_forwarded = false;
        let mut rejection = None;
        let defers_tags = self.block.is_none();
        let is_autocommit = self.block.is_none();
        if let Err(error) = self.send_to_member(batch.to_messages()).await {
            return Ok(ExchangeOutcome::ConnectionFailed { error, is_forwarded });
        }
        if let Some(connection) = self.connection.as_mut() {
            connection.is_dirty |= batch.dirties_connection;
            connection.has_grown |= batch.text_bytes() > MAX_KEPT_MESSAGE_BYTES;
        }
        while !expected.is_done() {
            let reply = match self.next_reply(wire).await? {
                Ok(reply) => reply,
                Err(error) => {
                    return Ok(ExchangeOutcome::ConnectionFailed { error, is_forwarded });
                }
            };
            if self.record_commit(&reply) {
                continue;
            }
            if let (Reply::DataRow(row), Some(connection)) = (&reply, self.connection.as_mut()) {
                connection.has_grown |= row.data.len() > MAX_KEPT_MESSAGE_BYTES;
            }
            if let Reply::ErrorResponse(response) = &reply {
                self.needs_sync = !batch.expects_ready();
                let error = SqlError::from_response(response);
                let is_hidden =
                    may_retry && !is_forwarded && self.is_retryable(&error, batch, is_autocommit);
                if is_hidden {
                    rejection = Some(error);
                    expected.match_reply(&reply);
                    continue;
                }
            }
            match expected.match_reply(&reply) {
                ReplyAction::Unexpected => {
                    let error = out_of_step_error("request");
                    return Ok(ExchangeOutcome::ConnectionFailed { error, is_forwarded });
                }
                ReplyAction::Discard => {
                    if let Reply::ReadyForQuery(ready) = &reply {
                        if !self.accept_status(ready.status, batch.ends_block) {
                            let error = out_of_step_error("request");
                            return Ok(ExchangeOutcome::ConnectionFailed { error, is_forwarded });
                        }
                        status = Some(ready.status);
                    }
                }
                ReplyAction::Forward => {
                    if let Some(earlier) = deferred.take() {
                        send(wire, earlier).await?;
                    }
                    self.has_forwarded_error |= matches!(reply, Reply::ErrorResponse(_));
                    if defers_tags && matches!(reply, Reply::CommandComplete(_)) {
                        deferred = Some(reply);
                    } else {
                        is_forwarded = true;
                        send(wire, reply).await?;
                    }
                }
            }
        }
        Ok(match rejection {
            Some(error) => ExchangeOutcome::Rejected(error),
            None => ExchangeOutcome::Complete { status, deferred, is_forwarded },
        })
    }

    /// Returns whether an error means that the batch did not run or was rolled back as a whole, so
    /// that it may run again.
    fn is_retryable(&self, error: &SqlError, batch: &RequestBatch, is_autocommit: bool) -> bool {
        let wants_primary = match &self.block {
            Some(block) => !block.is_read_only && !block.has_run,
            None => batch.writes,
        };
        let is_former_primary = error.code == sql_state::READ_ONLY && wants_primary;
        let is_rolled_back = error.code == sql_state::SERIALIZATION_FAILURE && is_autocommit;
        let is_unavailable = error.code == sql_state::CANNOT_CONNECT;
        is_former_primary || is_rolled_back || is_unavailable
    }

    /// Records the log position of a commit. Returns whether the reply reported one.
    fn record_commit(&mut self, reply: &Reply) -> bool {
        let Reply::ParameterStatus(status) = reply else {
            return false;
        };
        if status.name != COMMIT_PARAMETER {
            return false;
        }
        if let Ok(commit) = status.value.parse() {
            self.settings.record_commit(commit);
        }
        true
    }

    /// Returns how an attempt ends after its connection failed.
    fn handle_connection_failure(
        &mut self,
        batch: &RequestBatch,
        error: ConnectionError,
        is_forwarded: bool,
        may_retry: bool,
    ) -> AttemptOutcome {
        if error == ConnectionError::NotAcknowledged {
            return AttemptOutcome::Failed(unknown_outcome(&error));
        }
        let unanswered = UnansweredWork {
            is_in_transaction: self.block.is_some(),
            may_write: batch.writes || self.block.is_some(),
            may_end_transaction: batch.ends_block,
        };
        if unanswered.may_have_taken_effect() {
            return AttemptOutcome::Failed(unknown_outcome(&error));
        }
        // A block in which nothing has run yet can be started again.
        if !is_forwarded && (may_retry || unanswered.may_be_retried()) {
            return AttemptOutcome::NotRun(not_run("the connection to the member was lost"));
        }
        if unanswered.is_in_transaction {
            return AttemptOutcome::Failed(rolled_back());
        }
        let message = "the connection to the member was lost before all replies arrived";
        AttemptOutcome::Failed(SqlError::new("08006", message))
    }

    /// Updates the block from the member's transaction status, and releases the connection when the
    /// transaction is over.
    async fn update_block(&mut self, status: Option<TransactionStatus>) {
        let Some(status) = status else {
            return;
        };
        match (self.block.as_mut(), TransactionBlock::opened_by_member(status)) {
            (Some(block), Some(_)) => {
                block.has_run = true;
                block.is_failed = status == TransactionStatus::Error;
            }
            (None, Some(opened)) => self.block = Some(opened),
            (_, None) => {
                if self.block.take().is_some() {
                    self.settings.request_id = None;
                }
                self.release_connection().await;
            }
        }
    }

    /// Adds to the error that ends a session that the outcome of the interrupted request is
    /// unknown, unless the request cannot have written anything.
    pub fn add_request_outcome(&self, error: SqlError) -> SqlError {
        let cannot_have_written =
            self.connection.as_ref().is_none_or(|connection| connection.is_replica);
        if cannot_have_written {
            return error;
        }
        let message = format!("outcome unknown: {}; the request may have run", error.message);
        let code = match error.code.as_str() {
            sql_state::INVALID_KEY => sql_state::INVALID_KEY,
            _ => sql_state::UNKNOWN_OUTCOME,
        };
        SqlError::fatal(code, message)
    }

    /// Ends a block that has not been opened on a member, if there is one.
    ///
    /// Returns the command tag.
    pub async fn end_unstarted_block(&mut self, is_commit: bool) -> &'static str {
        let is_failed = self.is_block_failed();
        self.drop_connection();
        if self.block.take().is_some() {
            self.settings.request_id = None;
        }
        match is_commit && !is_failed {
            true => "COMMIT",
            false => "ROLLBACK",
        }
    }

    /// Returns whether the caller's block has failed.
    pub fn is_block_failed(&self) -> bool {
        self.block.as_ref().is_some_and(|block| block.is_failed)
    }

    /// Marks the caller's block as failed, if there is one.
    pub fn fail_block(&mut self) {
        if let Some(block) = self.block.as_mut() {
            block.is_failed = true;
        }
    }

    /// Returns whether a replica serves the current transaction.
    pub fn is_on_replica(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.is_replica)
    }
}

/// Sends a message to the caller. It may stay buffered until the next flush.
pub async fn send(wire: &mut CallerWire, reply: Reply) -> Result<(), SessionEnd> {
    match tokio::time::timeout(CALLER_WRITE_TIMEOUT, wire.feed(reply)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(SessionEnd::CallerDisconnected),
    }
}

/// Sends the buffered messages to the caller.
pub async fn flush(wire: &mut CallerWire) -> Result<(), SessionEnd> {
    match tokio::time::timeout(CALLER_WRITE_TIMEOUT, wire.flush()).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(SessionEnd::CallerDisconnected),
    }
}
