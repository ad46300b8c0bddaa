//! Runs the requests of one session on members of its group.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::SinkExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;
use tokio::sync::Notify;

use super::extended_batch::Work;
use super::local_statement::command_complete;
use super::reply_plan::Verdict;
use super::request_id;
use super::request_id::RequestId;
use super::session_settings::SessionSettings;
use super::startup::CallerWire;
use super::transaction_block::TransactionBlock;
use crate::clock;
use crate::group::lane::COMMIT_PARAMETER;
use crate::group::lane::Freshness;
use crate::group::lane::Lane;
use crate::group::lane::LaneError;
use crate::group::lane::LaneRequest;
use crate::traffic::context::TrafficContext;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;
use crate::wire::text_row::text_values;

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
struct ActiveLane {
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
    Broken { error: LaneError, is_forwarded: bool },
}

/// Runs the requests of one session.
pub struct RequestRunner {
    context: Arc<TrafficContext>,
    cancel: Arc<Notify>,
    lane: Option<ActiveLane>,
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
                limiter.meter.fail();
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

    /// Runs work together with its request id in one transaction of the member's.
    async fn run_wrapped(
        &mut self,
        work: &Work,
        wire: &mut CallerWire,
        request: Option<RequestId>,
    ) -> Result<Attempt, SessionEnd> {
        let Some(request) = request else {
            return Ok(Attempt::Failed(not_run("no request id")));
        };
        let (status, held) = match self.exchange(work, wire, true).await? {
            Answer::Complete { status, held } => (status, held),
            Answer::Refused(error) => return Ok(Attempt::NotRun(error)),
            Answer::Broken { error, is_forwarded } => {
                return Ok(match is_forwarded {
                    true => Attempt::Failed(unknown_outcome(&error)),
                    false => Attempt::NotRun(not_run("the connection to the member was lost")),
                });
            }
        };
        if status != Some(TransactionStatus::Transaction) {
            self.settings.request_id = None;
            let _ = self.command("ROLLBACK").await;
            return Ok(Attempt::Done(Some(TransactionStatus::Idle)));
        }
        let tag = match &held {
            Some(Reply::CommandComplete(complete)) => complete.tag.clone(),
            _ => String::new(),
        };
        match self.command(&format!("{}; COMMIT", request.finish_sql(&tag))).await {
            Ok(_) => {
                self.settings.request_id = None;
                if let Some(held) = held {
                    send(wire, held).await?;
                }
                Ok(Attempt::Done(Some(TransactionStatus::Idle)))
            }
            // The id makes a repeat safe: it finds the row if the commit took place.
            Err(CommandError::Broken(_)) => {
                Ok(Attempt::NotRun(not_run("the connection to the member was lost")))
            }
            Err(CommandError::Sql(error)) => Ok(Attempt::NotRun(error)),
        }
    }

    /// Answers a request whose id belongs to an earlier one.
    async fn answer_repeat(
        &mut self,
        work: &Work,
        wire: &mut CallerWire,
        deadline: Instant,
    ) -> Result<Result<(), SqlError>, SessionEnd> {
        self.drop_lane();
        let Some(request) = self.request_for(work) else {
            return Ok(Err(not_run("no request id")));
        };
        self.settings.request_id = None;
        let is_block = self.block.is_some();
        if let Err(error) = self.acquire(work, deadline).await {
            return Ok(Err(error));
        }
        // The commit of the repeat has a place after that of the first run, so that once a
        // majority holds it, the first run is safe too.
        let sql = format!("{}; {}", request.repeat_sql(), request.lookup_sql());
        let rows = match self.command(&sql).await {
            Ok(rows) => rows,
            Err(CommandError::Sql(error)) => return Ok(Err(error)),
            Err(CommandError::Broken(error)) => return Ok(Err(unknown_outcome(&error))),
        };
        self.release_lane().await;
        let [row] = rows.as_slice() else {
            return Ok(Err(not_run("the request id was removed meanwhile")));
        };
        let [digest, tag] = row.as_slice() else {
            return Ok(Err(not_run("the request id cannot be read")));
        };
        if !is_block && digest != request.digest() {
            let message = format!(
                "not run: request id \"{}\" belongs to a request with another content",
                request.id()
            );
            return Ok(Err(SqlError::new(sql_state::INVALID_PARAMETER, message)));
        }
        if is_block || tag.is_empty() || tag.starts_with("SELECT") {
            let message = format!("request \"{}\" is already done; not run again", request.id());
            return Ok(Err(SqlError::new(sql_state::ALREADY_DONE, message)));
        }
        send(wire, command_complete(tag)).await?;
        Ok(Ok(()))
    }

    fn request_for(&self, work: &Work) -> Option<RequestId> {
        if self.block.as_ref().is_some_and(|block| block.is_read_only) {
            return None;
        }
        if self.block.is_none() && !work.writes {
            return None;
        }
        let id = self.settings.request_id.as_ref()?;
        Some(RequestId::new(&self.settings.workspace, id, &work.content()))
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

    fn lane_request(&self, work: &Work, deadline: Instant) -> LaneRequest {
        let snapshot = self.context.snapshot.borrow();
        let limits = snapshot.fleet.limits_of_group(&self.settings.group);
        let only_reads = match &self.block {
            Some(block) => block.is_read_only,
            None => !work.writes,
        };
        let own = self.settings.own_floor();
        let (freshness, floor) = match (self.settings.max_age_ms, self.settings.arrival_floor) {
            (Some(age_ms), _) if only_reads => (Freshness::Age(age_ms), own),
            _ if limits.reads_latest => (Freshness::Latest, own),
            (_, Some(arrival)) => (Freshness::Floor, own.max(arrival)),
            (_, None) if self.settings.has_token => (Freshness::Floor, own),
            (_, None) => (Freshness::Latest, own),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        LaneRequest {
            group: self.settings.group.to_string(),
            workspace: self.settings.workspace.to_string(),
            may_use_replica: only_reads,
            floor,
            freshness,
            timeout_ms: left.as_millis() as u64,
        }
    }

    /// Gets a lane, and the right to run the work's statements on it.
    async fn acquire(&mut self, work: &Work, deadline: Instant) -> Result<(), SqlError> {
        let request = self.lane_request(work, deadline);
        let Some(access) = self.context.access.get(&self.settings.group) else {
            return Err(not_run("this daemon knows no way to the group yet"));
        };
        let asks_arrival = request.freshness == Freshness::Latest;
        let cancel = self.cancel.clone();
        let grant = tokio::select! {
            grant = access.acquire(request) => grant?,
            () = cancel.notified() => return Err(cancelled()),
        };
        if asks_arrival {
            self.settings.arrival_floor = Some(grant.floor);
        }
        if let Err(error) = self.admit(work).await {
            grant.lane.release(true).await;
            return Err(error);
        }
        if let Some(limiter) = self.context.limiter.workspace(&self.settings.workspace)
            && !work.writes
            && self.block.is_none()
        {
            limiter.meter.read(grant.is_replica);
        }
        self.lane = Some(ActiveLane {
            lane: grant.lane,
            is_replica: grant.is_replica,
            is_tainted: false,
            has_settings: false,
        });
        Ok(())
    }

    /// Puts settings, block and request id in force on a new lane.
    async fn prepare_lane(&mut self, request: Option<&RequestId>) -> Option<Attempt> {
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
        if let Some(lane) = self.lane.as_mut() {
            lane.has_settings = has_settings;
        }
        match self.command(&sql).await {
            Ok(_) => {
                if let Some(block) = self.block.as_mut() {
                    block.is_started = true;
                }
                None
            }
            Err(CommandError::Broken(_)) => {
                Some(Attempt::NotRun(not_run("the connection to the member was lost")))
            }
            Err(CommandError::Sql(error)) => Some(self.judge_prelude(error, request).await),
        }
    }

    async fn judge_prelude(&mut self, error: SqlError, request: Option<&RequestId>) -> Attempt {
        let _ = self.command("ROLLBACK").await;
        match (error.code.as_str(), request) {
            (UNIQUE_VIOLATION, Some(_)) => Attempt::Repeat,
            (UNDEFINED_TABLE, Some(_)) => match self.command(request_id::CREATE_TABLE_SQL).await {
                Ok(_) => Attempt::NotRun(SqlError::new(sql_state::READ_ONLY, "not run")),
                Err(_) => Attempt::NotRun(error),
            },
            (sql_state::READ_ONLY, _) => Attempt::NotRun(error),
            _ => Attempt::Failed(error),
        }
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
                    let error = LaneError::Lost("the member sent an unexpected reply".to_owned());
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

    async fn lane_send(&mut self, messages: Vec<Request>) -> Result<(), LaneError> {
        match self.lane.as_mut() {
            Some(active) => active.lane.send(messages).await,
            None => Err(LaneError::Lost("no connection to a member is in use".to_owned())),
        }
    }

    /// Receives a reply; while none is there, what the caller has been sent is flushed.
    async fn next_reply(
        &mut self,
        wire: &mut CallerWire,
    ) -> Result<Result<Reply, LaneError>, SessionEnd> {
        let cancel = self.cancel.clone();
        let Some(active) = self.lane.as_mut() else {
            let reason = "no connection to a member is in use".to_owned();
            return Ok(Err(LaneError::Lost(reason)));
        };
        if let Some(ready) = active.lane.receive().now_or_never() {
            return Ok(ready);
        }
        flush(wire).await?;
        loop {
            tokio::select! {
                reply = active.lane.receive() => return Ok(reply),
                () = cancel.notified() => {}
            }
            active.lane.cancel().await;
        }
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
        error: LaneError,
        is_forwarded: bool,
        is_first: bool,
    ) -> Attempt {
        if error == LaneError::NotAcknowledged {
            return Attempt::Failed(unknown_outcome(&error));
        }
        let only_reads = !work.writes && self.block.is_none();
        if only_reads && !is_forwarded {
            return Attempt::NotRun(not_run("the connection to the member was lost"));
        }
        if only_reads {
            let message = "the connection to the member was lost within the answer";
            return Attempt::Failed(SqlError::new("08006", message));
        }
        match &self.block {
            // Without its COMMIT the member rolls the block back.
            Some(_) if !work.ends_block => match is_first && !is_forwarded {
                true => Attempt::NotRun(not_run("the connection to the member was lost")),
                false => Attempt::Failed(rolled_back()),
            },
            _ => Attempt::Failed(unknown_outcome(&error)),
        }
    }

    /// Runs a statement of the daemon's own; returns the rows as text.
    async fn command(&mut self, sql: &str) -> Result<Vec<Vec<String>>, CommandError> {
        let query = Request::Query(Query::new(sql.to_owned()));
        self.lane_send(vec![query]).await.map_err(CommandError::Broken)?;
        self.await_ready().await
    }

    /// Reads replies up to ReadyForQuery; returns the rows as text.
    async fn await_ready(&mut self) -> Result<Vec<Vec<String>>, CommandError> {
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let Some(active) = self.lane.as_mut() else {
                let reason = "no connection to a member is in use".to_owned();
                return Err(CommandError::Broken(LaneError::Lost(reason)));
            };
            let reply = active.lane.receive().await.map_err(CommandError::Broken)?;
            self.note_commit(&reply);
            match reply {
                Reply::DataRow(row) => rows.push(text_values(&row)),
                Reply::ErrorResponse(response) => {
                    failure = Some(SqlError::from_response(&response))
                }
                Reply::ReadyForQuery(_) => {
                    return match failure {
                        Some(error) => Err(CommandError::Sql(error)),
                        None => Ok(rows),
                    };
                }
                _ => {}
            }
        }
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

    /// Ends the skipping of messages after an error in a batch that had no Sync yet.
    pub async fn resync(&mut self) {
        if self.block.is_none() {
            self.drop_lane();
        }
        if !self.skips_to_sync || self.lane.is_none() {
            return;
        }
        self.skips_to_sync = false;
        let is_sent = self.lane_send(vec![Request::Sync(Sync::new())]).await.is_ok();
        if !is_sent || self.await_ready().await.is_err() {
            self.drop_lane();
            self.fail_block();
        }
    }

    async fn release_lane(&mut self) {
        let mut is_clean = self.lane.as_ref().is_some_and(|lane| !lane.is_tainted);
        if is_clean && self.lane.as_ref().is_some_and(|lane| lane.has_settings) {
            is_clean = self.command("RESET ALL").await.is_ok();
        }
        if let Some(active) = self.lane.take() {
            active.lane.release(is_clean).await;
        }
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

    /// Closes the connection to the member, whatever its state.
    pub fn drop_lane(&mut self) {
        self.lane = None;
        self.skips_to_sync = false;
        if let Some(block) = self.block.as_mut() {
            block.is_started = false;
        }
    }

    /// Returns whether a replica serves the present transaction.
    pub fn is_on_replica(&self) -> bool {
        self.lane.as_ref().is_some_and(|lane| lane.is_replica)
    }
}

/// Why a statement of the daemon's own failed.
enum CommandError {
    Broken(LaneError),
    Sql(SqlError),
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

fn not_run(reason: &str) -> SqlError {
    SqlError::new(sql_state::NOT_RUN, format!("not run: {reason}")).with_hint("Try again in 1 s.")
}

fn as_not_run(error: SqlError) -> SqlError {
    match error.code.as_str() {
        sql_state::READ_ONLY | sql_state::CANNOT_CONNECT => {
            not_run("no primary of the group took the request in time")
        }
        _ => error,
    }
}

fn cancelled() -> SqlError {
    SqlError::new(sql_state::CANCELLED, "not run: cancelled while it waited for a connection")
}

fn rolled_back() -> SqlError {
    let message = "the connection to the member was lost; the transaction was rolled back";
    SqlError::new(sql_state::SERIALIZATION_FAILURE, message)
}

fn unknown_outcome(error: &LaneError) -> SqlError {
    let reason = match error {
        LaneError::Lost(_) => "the connection to the member was lost",
        LaneError::NotAcknowledged => "no majority of members confirmed the commit in time",
    };
    SqlError::new(
        sql_state::UNKNOWN_OUTCOME,
        format!("outcome unknown: {reason}; the request may have run"),
    )
    .with_hint("Look for its effect, or send requests with snipehead.request_id to repeat safely.")
}
