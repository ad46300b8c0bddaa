//! The lane of a session: getting it ready, speaking over it, giving it back.

use std::time::Instant;

use futures::FutureExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::simplequery::Query;

use super::ActiveConnection;
use super::Attempt;
use super::RequestRunner;
use super::SessionEnd;
use super::errors::cancelled;
use super::errors::not_run;
use super::flush;
use crate::caller::request_batch::Work;
use crate::caller::request_id::RequestId;
use crate::caller::startup::CallerWire;
use crate::clock;
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::exclusive_connection::Freshness;
use crate::wire::sql_error::SqlError;
use crate::wire::text_row::text_values;

/// Why a statement of the daemon's own failed.
pub(super) enum CommandError {
    Broken(ConnectionError),
    Sql(SqlError),
}

impl RequestRunner {
    pub(super) fn lane_request(&self, work: &Work, deadline: Instant) -> ConnectionRequest {
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
        ConnectionRequest {
            group: self.settings.group.to_string(),
            workspace: self.settings.workspace.to_string(),
            may_use_replica: only_reads,
            floor,
            freshness,
            timeout_ms: left.as_millis() as u64,
        }
    }

    /// Gets a lane, and the right to run the work's statements on it.
    pub(super) async fn acquire(&mut self, work: &Work, deadline: Instant) -> Result<(), SqlError> {
        let request = self.lane_request(work, deadline);
        let Some(access) = self.context.providers.get(&self.settings.group) else {
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
            limiter.meter.count_read(grant.is_replica);
        }
        self.lane = Some(ActiveConnection {
            lane: grant.lane,
            is_replica: grant.is_replica,
            is_tainted: false,
            has_settings: false,
        });
        Ok(())
    }

    /// Puts settings, block and request id in force on a new lane.
    pub(super) async fn prepare_lane(&mut self, request: Option<&RequestId>) -> Option<Attempt> {
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

    pub(super) async fn lane_send(
        &mut self,
        messages: Vec<Request>,
    ) -> Result<(), ConnectionError> {
        match self.lane.as_mut() {
            Some(active) => active.lane.send(messages).await,
            None => Err(ConnectionError::Lost("no connection to a member is in use".to_owned())),
        }
    }

    /// Receives a reply; while none is there, what the caller has been sent is flushed.
    pub(super) async fn next_reply(
        &mut self,
        wire: &mut CallerWire,
    ) -> Result<Result<Reply, ConnectionError>, SessionEnd> {
        let cancel = self.cancel.clone();
        let Some(active) = self.lane.as_mut() else {
            let reason = "no connection to a member is in use".to_owned();
            return Ok(Err(ConnectionError::Lost(reason)));
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

    /// Runs a statement of the daemon's own; returns the rows as text.
    pub(super) async fn command(&mut self, sql: &str) -> Result<Vec<Vec<String>>, CommandError> {
        let query = Request::Query(Query::new(sql.to_owned()));
        self.lane_send(vec![query]).await.map_err(CommandError::Broken)?;
        self.await_ready().await
    }

    /// Reads replies up to ReadyForQuery; returns the rows as text.
    pub(super) async fn await_ready(&mut self) -> Result<Vec<Vec<String>>, CommandError> {
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let Some(active) = self.lane.as_mut() else {
                let reason = "no connection to a member is in use".to_owned();
                return Err(CommandError::Broken(ConnectionError::Lost(reason)));
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

    pub(super) async fn release_lane(&mut self) {
        let mut is_clean = self.lane.as_ref().is_some_and(|lane| !lane.is_tainted);
        if is_clean && self.lane.as_ref().is_some_and(|lane| lane.has_settings) {
            is_clean = self.command("RESET ALL").await.is_ok();
        }
        if let Some(active) = self.lane.take() {
            active.lane.release(is_clean).await;
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
}
