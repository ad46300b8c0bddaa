//! Transaction handling of a session.

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::startup::ParameterStatus;

use super::COMMIT_PARAMETER;
use super::Session;
use super::read_only;
use super::to_sql_error;
use crate::stand_in::member::statement::LoggedStatement;
use crate::sync::lock;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// An open transaction.
pub(super) struct OpenTransaction {
    /// Whether a BEGIN opened it or ran in it. Otherwise it ends with the query string or at the
    /// next Sync.
    pub(super) is_explicit: bool,
    /// Writes so far; `None` in a read-only transaction.
    pub(super) writes: Option<Vec<LoggedStatement>>,
    /// Term in which it began.
    pub(super) term: u64,
}

impl Session {
    /// Begins a transaction, or makes an open implicit one explicit.
    pub(super) fn begin(&mut self, is_explicit: bool, may_write: bool) -> Result<(), SqlError> {
        if let Some(open) = self.transaction.as_mut() {
            open.is_explicit |= is_explicit;
            return Ok(());
        }
        self.check_data_generation()?;
        let may_write = may_write && self.register_write(is_explicit)?;
        let sql = if may_write { "BEGIN IMMEDIATE" } else { "BEGIN" };
        if let Err(error) = self.connection.execute_batch(sql) {
            if may_write {
                lock(&self.member.core).open_write_transactions -= 1;
            }
            return Err(to_sql_error(error));
        }
        let term = lock(&self.member.core).accepted_term();
        self.transaction =
            Some(OpenTransaction { is_explicit, writes: may_write.then(Vec::new), term });
        Ok(())
    }

    /// Counts a new write transaction. Returns `false` for an explicit one on a replica, which
    /// begins as read-only, and an error if the transaction must be refused.
    fn register_write(&self, is_explicit: bool) -> Result<bool, SqlError> {
        let mut core = lock(&self.member.core);
        if core.is_primary() && !core.is_stepping_down {
            core.open_write_transactions += 1;
            return Ok(true);
        }
        if is_explicit && !core.is_primary() {
            return Ok(false);
        }
        Err(read_only())
    }

    /// Commits the open transaction if it is implicit.
    pub(super) fn commit_implicit(&mut self, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        match &self.transaction {
            Some(open) if !open.is_explicit => self.commit(replies),
            _ => Ok(()),
        }
    }

    /// Commits the open transaction. One that may write is rolled back if the member is no longer
    /// primary of the term in which it began, or has recreated its data file since the session
    /// started. If it wrote, it is appended to the log and its position is reported.
    pub(super) fn commit(&mut self, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let Some(open) = self.transaction.take() else {
            return Ok(());
        };
        let Some(writes) = open.writes else {
            return self.connection.execute_batch("COMMIT").map_err(to_sql_error);
        };
        let mut core = lock(&self.member.core);
        core.open_write_transactions -= 1;
        let is_current = core.is_primary()
            && core.accepted_term() == open.term
            && core.data_generation == self.data_generation;
        if !is_current {
            let _ = self.connection.execute_batch("ROLLBACK");
            return Err(SqlError::new(
                sql_state::SERIALIZATION_FAILURE,
                "the member is no longer primary; the transaction was rolled back",
            ));
        }
        if let Err(error) = self.connection.execute_batch("COMMIT") {
            let _ = self.connection.execute_batch("ROLLBACK");
            return Err(to_sql_error(error));
        }
        if writes.is_empty() {
            return Ok(());
        }
        let position = core.append_local(writes);
        drop(core);
        self.member.state_changed.notify_waiters();
        let value = format!("{}/{position}", open.term);
        let status = ParameterStatus::new(COMMIT_PARAMETER.to_owned(), value);
        replies.push(Reply::ParameterStatus(status));
        Ok(())
    }

    /// Rolls back the open transaction, also a failed one, and returns the command tag.
    pub(super) fn rollback(&mut self) -> String {
        self.discard_transaction();
        self.is_failed = false;
        "ROLLBACK".to_owned()
    }

    /// Rolls back the open transaction after an error. An explicit one stays failed until it is
    /// ended.
    pub(super) fn fail_transaction(&mut self) {
        let is_explicit = self.transaction.as_ref().is_some_and(|open| open.is_explicit);
        self.discard_transaction();
        self.is_failed = is_explicit || self.is_failed;
    }

    /// Rolls back the open transaction, if there is one.
    pub(super) fn discard_transaction(&mut self) {
        if let Some(open) = self.transaction.take() {
            let _ = self.connection.execute_batch("ROLLBACK");
            if open.writes.is_some() {
                lock(&self.member.core).open_write_transactions -= 1;
            }
        }
    }
}
