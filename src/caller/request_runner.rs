//! Runs the requests of one session on members of its group.

mod errors;
mod idempotent;
mod lane_use;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::SinkExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::TransactionStatus;
use tokio::sync::Notify;

use self::errors::as_not_run;
use self::errors::not_run;
use self::errors::rolled_back;
use self::errors::unknown_outcome;
use crate::caller::reply_plan::Verdict;
use crate::caller::request_batch::Work;
use crate::caller::session_settings::SessionSettings;
use crate::caller::startup::CallerWire;
use crate::caller::transaction_block::TransactionBlock;
use crate::group::exclusive_connection::COMMIT_PARAMETER;
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::Lane;
use crate::traffic::context::TrafficContext;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;
use snipehead_core::unanswered_work::UnansweredWork;

/// Pause before a request that met a former primary is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Most tries of a read that lost its connection, and of a write that was rolled back.
const MAX_TRIES: u32 = 4;

/// Longest time for which a caller may leave an answer unread.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Name of a unique violation.
const UNIQUE_VIOLATION: &str = "23505";
/// Name of a missing table.
const UNDEFINED_TABLE: &str = "42P01";

/// Why a session ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The caller is gone.
    CallerGone,
    /// The caller is told this last.
    Fatal(SqlError),
}

/// A lane with what this session has done on it.
struct ActiveConnection {
    lane: Box<dyn Lane>,
    is_replica: bool,
    is_tainted: bool,
    has_settings: bool,
}

/// How a try to run some work ended.
enum Attempt {
    /// The caller has the whole answer.
    Done(Option<TransactionStatus>),
    /// Nothing ran, and the caller has been told nothing.
    NotRun(SqlError),
    /// The caller must be told this.
    Failed(SqlError),
    /// The request id belongs to an earlier request.
    Repeat,
}

/// How the replies to some work ended.
enum Answer {
    /// All replies came.
    Complete { status: Option<TransactionStatus>, held: Option<Reply> },
    /// The member refused the work at once; the caller has been told nothing.
    Refused(SqlError),
    /// The lane failed.
    Broken { error: ConnectionError, is_forwarded: bool },
}

/// Runs the requests of one session.
pub struct RequestRunner {
    context: Arc<TrafficContext>,
    cancel: Arc<Notify>,
    lane: Option<ActiveConnection>,
    /// Settings of the session.
    pub settings: SessionSettings,
    /// Transaction block that the caller has open.
    pub block: Option<TransactionBlock>,
    /// Whether the member skips messages up to a Sync, after an error.
    skips_to_sync: bool,
}

impl RequestRunner {
    /// Creates a runner for a session.
    pub fn new(
        context: Arc<TrafficContext>,
        cancel: Arc<Notify>,
        settings: SessionSettings,
    ) -> Self {
        Self { context, cancel, lane: None, settings, block: None, skips_to_sync: false }
    }

    /// Returns whether a member's connection is in use.
    pub fn has_lane(&self) -> bool {
        self.lane.is_some()
    }

    /// Returns the status that the caller is told.
    pub fn status(&self) -> TransactionStatus {
        self.block.as_ref().map_or(TransactionStatus::Idle, TransactionBlock::status)
    }

    /// Runs work and sends the caller its answer, without ReadyForQuery.
    ///
    /// Returns whether the work succeeded.
    ///
    /// # Errors
    ///
    /// Returns why the session ends, if it does.
    pub async fn run(&mut self, work: &Work, wire: &mut CallerWire) -> Result<bool, SessionEnd> {
        let started_at = Instant::now();
        let outcome = self.run_with_retries(work, wire).await?;
        let elapsed_us = started_at.elapsed().as_micros() as u64;
        if let Some(limiter) = self.context.limiter.workspace(&self.settings.workspace) {
            limiter.meter.record_latency(elapsed_us);
            if outcome.is_err() {
                limiter.meter.count_failure();
            }
        }
        match outcome {
            Ok(()) => Ok(!self.is_block_failed()),
            Err(error) => {
                self.fail_block();
                send(wire, error.into_message()).await?;
                Ok(false)
            }
        }
    }

    async fn run_with_retries(
        &mut self,
        work: &Work,
        wire: &mut CallerWire,
    ) -> Result<Result<(), SqlError>, SessionEnd> {
        let deadline = Instant::now() + self.queue_timeout();
        let mut tries = 0;
        loop {
            tries += 1;
            match self.attempt(work, wire, deadline).await? {
                Attempt::Done(status) => {
                    self.finish(status).await;
                    return Ok(Ok(()));
                }
                Attempt::Repeat => return self.answer_repeat(work, wire, deadline).await,
                Attempt::Failed(error) => {
                    self.drop_lane();
                    return Ok(Err(error));
                }
                Attempt::NotRun(error) => {
                    self.drop_lane();
                    let is_over = Instant::now() + RETRY_PAUSE >= deadline;
                    let is_last = error.code != sql_state::READ_ONLY && tries >= MAX_TRIES;
                    if is_over || is_last || error.code == sql_state::CANCELLED {
                        return Ok(Err(as_not_run(error)));
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        work: &Work,
        wire: &mut CallerWire,
        deadline: Instant,
    ) -> Result<Attempt, SessionEnd> {
        let is_first = self.lane.is_none();
        if is_first {
            if let Err(error) = self.acquire(work, deadline).await {
                return Ok(Attempt::Failed(error));
            }
            let wrapped = self.request_for(work);
            if let Some(ended) = self.prepare_lane(wrapped.as_ref()).await {
                return Ok(ended);
            }
            if self.block.is_none() && wrapped.is_some() {
                return self.run_wrapped(work, wire, wrapped).await;
            }
        } else if let Err(error) = self.admit(work).await {
            return Ok(Attempt::Failed(error));
        }
        let may_hide = is_first;
        let answer = self.exchange(work, wire, may_hide).await?;
        match answer {
            Answer::Complete { status, held } => {
                if let Some(held) = held {
                    send(wire, held).await?;
                }
                Ok(Attempt::Done(status))
            }
            Answer::Refused(error) => Ok(Attempt::NotRun(error)),
            Answer::Broken { error, is_forwarded } => {
                Ok(self.judge_break(work, error, is_forwarded, may_hide))
            }
        }
    }

    async fn admit(&mut self, work: &Work) -> Result<(), SqlError> {
        if work.statements == 0 {
            return Ok(());
        }
        self.context.limiter.admit(&self.settings.workspace, work.statements).await
    }

    fn queue_timeout(&self) -> Duration {
        let snapshot = self.context.snapshot.borrow();
        let limits = snapshot.fleet.limits_of_group(&self.settings.group);
        Duration::from_millis(limits.queue_timeout_ms)
    }

    /// Sends work and passes its replies on to the caller.
    ///
    /// `may_hide` tells that nothing of the block ran yet, so that a refusal by a former primary
    /// need not reach the caller.
    async fn exchange(
        &mut self,
        work: &Work,
        wire: &mut CallerWire,
        may_hide: bool,
    ) -> Result<Answer, SessionEnd> {
        let mut plan = work.plan();
        let mut held: Option<Reply> = None;
        let mut status = None;
        let mut is_forwarded = false;
        let mut refused = None;
        let holds_tags = self.block.is_none();
        let is_autocommit = self.block.is_none();
        if let Err(error) = self.lane_send(work.to_messages()).await {
            return Ok(Answer::Broken { error, is_forwarded });
        }
        if let Some(lane) = self.lane.as_mut() {
            lane.is_tainted |= work.taints;
        }
        while !plan.is_done() {
            let reply = match self.next_reply(wire).await? {
                Ok(reply) => reply,
                Err(error) => {
                    return Ok(Answer::Broken { error, is_forwarded });
                }
            };
            if self.note_commit(&reply) {
                continue;
            }
            if let Reply::ErrorResponse(response) = &reply {
                self.skips_to_sync = !work.ends_ready();
                let error = SqlError::from_response(response);
                let hides = may_hide && !is_forwarded && self.hides(&error, work, is_autocommit);
                if hides {
                    refused = Some(error);
                    plan.take(&reply);
                    continue;
                }
            }
            match plan.take(&reply) {
                Verdict::Unexpected => {
                    let error =
                        ConnectionError::Lost("the member sent an unexpected reply".to_owned());
                    return Ok(Answer::Broken { error, is_forwarded });
                }
                Verdict::Swallow => {
                    if let Reply::ReadyForQuery(ready) = &reply {
                        status = Some(ready.status);
                    }
                }
                Verdict::Forward => {
                    if let Some(earlier) = held.take() {
                        send(wire, earlier).await?;
                    }
                    if holds_tags && matches!(reply, Reply::CommandComplete(_)) {
                        held = Some(reply);
                    } else {
                        is_forwarded = true;
                        send(wire, reply).await?;
                    }
                }
            }
        }
        Ok(match refused {
            Some(error) => Answer::Refused(error),
            None => Answer::Complete { status, held },
        })
    }

    /// Returns whether an error tells that the work met a former primary and did not run.
    fn hides(&self, error: &SqlError, work: &Work, is_autocommit: bool) -> bool {
        let wants_primary = match &self.block {
            Some(block) => !block.is_read_only && !block.has_run,
            None => work.writes,
        };
        let is_former_primary = error.code == sql_state::READ_ONLY && wants_primary;
        let is_rolled_back = error.code == sql_state::SERIALIZATION_FAILURE && is_autocommit;
        let is_obsolete = error.code == sql_state::CANNOT_CONNECT;
        is_former_primary || is_rolled_back || is_obsolete
    }

    fn note_commit(&mut self, reply: &Reply) -> bool {
        let Reply::ParameterStatus(status) = reply else {
            return false;
        };
        if status.name != COMMIT_PARAMETER {
            return false;
        }
        if let Ok(commit) = status.value.parse() {
            self.settings.note_write(commit);
        }
        true
    }

    fn judge_break(
        &mut self,
        work: &Work,
        error: ConnectionError,
        is_forwarded: bool,
        is_first: bool,
    ) -> Attempt {
        if error == ConnectionError::NotAcknowledged {
            return Attempt::Failed(unknown_outcome(&error));
        }
        let lost = UnansweredWork {
            is_in_transaction: self.block.is_some(),
            may_write: work.writes || self.block.is_some(),
            may_end_transaction: work.ends_block,
        };
        if lost.may_have_taken_effect() {
            return Attempt::Failed(unknown_outcome(&error));
        }
        // A block that has only begun can begin once more.
        if !is_forwarded && (is_first || lost.may_be_retried()) {
            return Attempt::NotRun(not_run("the connection to the member was lost"));
        }
        if lost.is_in_transaction {
            return Attempt::Failed(rolled_back());
        }
        let message = "the connection to the member was lost within the answer";
        Attempt::Failed(SqlError::new("08006", message))
    }

    /// Takes the member's status after work into account, and gives the lane back when the
    /// transaction is over.
    async fn finish(&mut self, status: Option<TransactionStatus>) {
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
                self.release_lane().await;
            }
        }
    }

    /// Adds to the end of a session what is known of the request that it cuts off.
    pub fn qualify_end(&self, error: SqlError) -> SqlError {
        let is_read = self.lane.as_ref().is_none_or(|lane| lane.is_replica);
        if is_read {
            return error;
        }
        let message = format!("outcome unknown: {}; the request may have run", error.message);
        let code = match error.code.as_str() {
            sql_state::INVALID_KEY => sql_state::INVALID_KEY,
            _ => sql_state::UNKNOWN_OUTCOME,
        };
        SqlError::fatal(code, message)
    }

    /// Ends the block that the caller has open, without the member's help if none knows of it.
    ///
    /// Returns the command tag.
    pub async fn end_unstarted_block(&mut self, is_commit: bool) -> &'static str {
        let is_failed = self.is_block_failed();
        self.drop_lane();
        if self.block.take().is_some() {
            self.settings.request_id = None;
        }
        match is_commit && !is_failed {
            true => "COMMIT",
            false => "ROLLBACK",
        }
    }

    /// Returns whether the block that the caller has open has failed.
    pub fn is_block_failed(&self) -> bool {
        self.block.as_ref().is_some_and(|block| block.is_failed)
    }

    /// Marks the block as failed.
    pub fn fail_block(&mut self) {
        if let Some(block) = self.block.as_mut() {
            block.is_failed = true;
        }
    }

    /// Returns whether a replica serves the present transaction.
    pub fn is_on_replica(&self) -> bool {
        self.lane.as_ref().is_some_and(|lane| lane.is_replica)
    }
}

/// Sends a message to the caller; it may stay in the buffer until the next flush.
pub async fn send(wire: &mut CallerWire, reply: Reply) -> Result<(), SessionEnd> {
    match tokio::time::timeout(CALLER_WRITE_TIMEOUT, wire.feed(reply)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(SessionEnd::CallerGone),
    }
}

/// Sends the caller what is in the buffer.
pub async fn flush(wire: &mut CallerWire) -> Result<(), SessionEnd> {
    match tokio::time::timeout(CALLER_WRITE_TIMEOUT, wire.flush()).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(SessionEnd::CallerGone),
    }
}
