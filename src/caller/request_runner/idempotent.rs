//! Requests that carry an id.

use std::time::Instant;

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::TransactionStatus;

use super::Answer;
use super::Attempt;
use super::RequestRunner;
use super::SessionEnd;
use super::UNDEFINED_TABLE;
use super::UNIQUE_VIOLATION;
use super::errors::not_run;
use super::errors::unknown_outcome;
use super::lane_use::CommandError;
use super::send;
use crate::caller::local_statement::command_complete;
use crate::caller::request_batch::Work;
use crate::caller::request_id;
use crate::caller::request_id::RequestId;
use crate::caller::startup::CallerWire;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

impl RequestRunner {
    /// Runs work together with its request id in one transaction of the member's.
    pub(super) async fn run_wrapped(
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
    pub(super) async fn answer_repeat(
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

    pub(super) fn request_for(&self, work: &Work) -> Option<RequestId> {
        if self.block.as_ref().is_some_and(|block| block.is_read_only) {
            return None;
        }
        if self.block.is_none() && !work.writes {
            return None;
        }
        let id = self.settings.request_id.as_ref()?;
        Some(RequestId::new(&self.settings.workspace, id, &work.content()))
    }

    pub(super) async fn judge_prelude(
        &mut self,
        error: SqlError,
        request: Option<&RequestId>,
    ) -> Attempt {
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
}
