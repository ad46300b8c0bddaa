//! Transactions of a session.

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

/// A transaction that has begun.
pub(super) struct OpenTransaction {
    pub(super) is_explicit: bool,
    pub(super) writes: Option<Vec<LoggedStatement>>,
    pub(super) term: u64,
}

impl Session {
    pub(super) fn begin(&mut self, is_explicit: bool, may_write: bool) -> Result<(), SqlError> {
        if let Some(open) = self.transaction.as_mut() {
            open.is_explicit |= is_explicit;
            return Ok(());
        }
        self.check_data()?;
        let may_write = may_write && self.enter_write(is_explicit)?;
        let sql = if may_write { "BEGIN IMMEDIATE" } else { "BEGIN" };
        if let Err(error) = self.connection.execute_batch(sql) {
            if may_write {
                lock(&self.member.core).open_writes -= 1;
            }
            return Err(to_sql_error(error));
        }
        let term = lock(&self.member.core).accepted_term();
        self.transaction =
            Some(OpenTransaction { is_explicit, writes: may_write.then(Vec::new), term });
        Ok(())
    }

    /// Counts a transaction that writes; a block on a replica is opened for reading only.
    fn enter_write(&self, is_explicit: bool) -> Result<bool, SqlError> {
        let mut core = lock(&self.member.core);
        if core.is_primary() && !core.is_stepping_down {
            core.open_writes += 1;
            return Ok(true);
        }
        if is_explicit && !core.is_primary() {
            return Ok(false);
        }
        Err(read_only())
    }

    pub(super) fn end_implicit(&mut self, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        match &self.transaction {
            Some(open) if !open.is_explicit => self.commit(replies),
            _ => Ok(()),
        }
    }

    pub(super) fn commit(&mut self, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let Some(open) = self.transaction.take() else {
            return Ok(());
        };
        let Some(writes) = open.writes else {
            return self.connection.execute_batch("COMMIT").map_err(to_sql_error);
        };
        let mut core = lock(&self.member.core);
        core.open_writes -= 1;
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
        let position = core.append_own(writes);
        drop(core);
        self.member.changed.notify_waiters();
        let value = format!("{}/{position}", open.term);
        let status = ParameterStatus::new(COMMIT_PARAMETER.to_owned(), value);
        replies.push(Reply::ParameterStatus(status));
        Ok(())
    }

    pub(super) fn rollback(&mut self) -> String {
        self.abandon();
        self.is_failed = false;
        "ROLLBACK".to_owned()
    }

    pub(super) fn fail(&mut self) {
        let is_explicit = self.transaction.as_ref().is_some_and(|open| open.is_explicit);
        self.abandon();
        self.is_failed = is_explicit || self.is_failed;
    }

    pub(super) fn abandon(&mut self) {
        if let Some(open) = self.transaction.take() {
            let _ = self.connection.execute_batch("ROLLBACK");
            if open.writes.is_some() {
                lock(&self.member.core).open_writes -= 1;
            }
        }
    }
}
