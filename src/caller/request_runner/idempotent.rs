//! Requests with a request id, which run at most once.

use std::time::Instant;

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::TransactionStatus;

use super::AttemptOutcome;
use super::ExchangeOutcome;
use super::RequestRunner;
use super::SessionEnd;
use super::UNDEFINED_TABLE;
use super::UNIQUE_VIOLATION;
use super::connection_use::CommandError;
use super::errors::not_run;
use super::errors::unknown_outcome;
use super::send;
use crate::caller::local_statement::command_complete;
use crate::caller::request_batch::RequestBatch;
use crate::caller::request_id;
use crate::caller::request_id::RequestId;
use crate::caller::startup::CallerWire;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

impl RequestRunner {
    /// Runs a batch in the open transaction that has inserted its request id, and commits it.
    pub(super) async fn run_with_request_id(
        &mut self,
        batch: &RequestBatch,
        wire: &mut CallerWire,
        request: Option<RequestId>,
    ) -> Result<AttemptOutcome, SessionEnd> {
        let Some(request) = request else {
            return Ok(AttemptOutcome::Failed(not_run("the request has no request id")));
        };
        let (status, deferred, is_forwarded) = match self.exchange(batch, wire, true).await? {
            ExchangeOutcome::Complete { status, deferred, is_forwarded } => {
                (status, deferred, is_forwarded)
            }
            ExchangeOutcome::Rejected(error) => return Ok(AttemptOutcome::NotRun(error)),
            ExchangeOutcome::ConnectionFailed { error, is_forwarded } => {
                return Ok(match is_forwarded {
                    true => AttemptOutcome::Failed(unknown_outcome(&error)),
                    false => {
                        AttemptOutcome::NotRun(not_run("the connection to the member was lost"))
                    }
                });
            }
        };
        if status != Some(TransactionStatus::Transaction) {
            self.settings.request_id = None;
            if self.command("ROLLBACK", false).await.is_err() {
                self.drop_connection();
            }
            return Ok(AttemptOutcome::Done(Some(TransactionStatus::Idle)));
        }
        let tag = match &deferred {
            Some(Reply::CommandComplete(complete)) => complete.tag.clone(),
            _ => String::new(),
        };
        match self.command(&format!("{}; COMMIT", request.store_tag_sql(&tag)), false).await {
            Ok(_) => {
                self.settings.request_id = None;
                if let Some(deferred) = deferred {
                    send(wire, deferred).await?;
                }
                Ok(AttemptOutcome::Done(Some(TransactionStatus::Idle)))
            }
            // The caller must not be sent the same rows twice.
            Err(CommandError::ConnectionFailed(error)) if is_forwarded => {
                Ok(AttemptOutcome::Failed(unknown_outcome(&error)))
            }
            Err(CommandError::Sql(error)) if is_forwarded => Ok(AttemptOutcome::Failed(error)),
            // The request can safely run again: it finds the row of its id if the commit succeeded.
            Err(CommandError::ConnectionFailed(_)) => {
                Ok(AttemptOutcome::NotRun(not_run("the connection to the member was lost")))
            }
            Err(CommandError::Sql(error)) => Ok(AttemptOutcome::NotRun(error)),
        }
    }

    /// Answers a request whose id has been used by an earlier request.
    pub(super) async fn answer_duplicate(
        &mut self,
        batch: &RequestBatch,
        wire: &mut CallerWire,
        deadline: Instant,
    ) -> Result<Result<(), SqlError>, SessionEnd> {
        self.drop_connection();
        let Some(request) = self.request_id_for(batch) else {
            return Ok(Err(not_run("the request has no request id")));
        };
        self.settings.request_id = None;
        let is_block = self.block.is_some();
        if let Err(error) = self.acquire(batch, deadline).await {
            return Ok(Err(error));
        }
        // The commit of the repeat has a later log position than that of the first run. Once a
        // majority has received it, the first run is durable too.
        let sql = format!("{}; {}", request.count_repeat_sql(), request.lookup_sql());
        let rows = match self.command(&sql, false).await {
            Ok(rows) => rows,
            Err(failure) => {
                self.drop_connection();
                return Ok(Err(match failure {
                    CommandError::Sql(error) => error,
                    CommandError::ConnectionFailed(error) => unknown_outcome(&error),
                }));
            }
        };
        self.release_connection().await;
        let [row] = rows.as_slice() else {
            return Ok(Err(not_run("the request id was removed in the meantime")));
        };
        let [digest, tag] = row.as_slice() else {
            return Ok(Err(not_run("the row of the request id has unexpected columns")));
        };
        if !is_block && digest != request.digest() {
            let message =
                format!("not run: request id \"{}\" was used with other content", request.id());
            return Ok(Err(SqlError::new(sql_state::INVALID_PARAMETER, message)));
        }
        if is_block || tag.is_empty() || tag.starts_with("SELECT") {
            let message = format!("request \"{}\" is already done; not run again", request.id());
            return Ok(Err(SqlError::new(sql_state::ALREADY_DONE, message)));
        }
        send(wire, command_complete(tag)).await?;
        Ok(Ok(()))
    }

    /// Returns the request id to insert with a batch, if the session has set one and the batch or
    /// its block may write.
    pub(super) fn request_id_for(&self, batch: &RequestBatch) -> Option<RequestId> {
        if self.block.as_ref().is_some_and(|block| block.is_read_only) {
            return None;
        }
        if self.block.is_none() && !batch.writes {
            return None;
        }
        let id = self.settings.request_id.as_ref()?;
        Some(RequestId::new(&self.settings.workspace, id, &batch.digest_input()))
    }

    /// Returns how an attempt ends after the member rejected the statements that prepare a
    /// connection.
    pub(super) async fn handle_setup_error(
        &mut self,
        error: SqlError,
        request: Option<&RequestId>,
    ) -> AttemptOutcome {
        let _ = self.command("ROLLBACK", false).await;
        match (error.code.as_str(), request) {
            (UNIQUE_VIOLATION, Some(_)) => AttemptOutcome::Duplicate,
            (UNDEFINED_TABLE, Some(_)) => {
                match self.command(request_id::CREATE_TABLE_SQL, false).await {
                    // This code exempts the retry from `MAX_ATTEMPTS`.
                    Ok(_) => AttemptOutcome::NotRun(SqlError::new(sql_state::READ_ONLY, "not run")),
                    Err(_) => AttemptOutcome::NotRun(error),
                }
            }
            (sql_state::READ_ONLY, _) => AttemptOutcome::NotRun(error),
            _ => AttemptOutcome::Failed(error),
        }
    }
}
