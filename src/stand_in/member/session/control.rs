//! Control calls of a session.

use std::time::Duration;
use std::time::Instant;

use pgwire::messages::PgWireBackendMessage as Reply;

use super::POLL_INTERVAL;
use super::STEP_DOWN_TIMEOUT;
use super::Session;
use crate::stand_in::member::control_call::ControlCall;
use crate::stand_in::member::core::MemberStatus;
use crate::stand_in::member::result_set;
use crate::stand_in::member::result_set::Column;
use crate::sync::lock;
use crate::wire::sql_error::SqlError;

impl Session {
    /// Runs a control call and returns its command tag.
    pub(super) fn run_control_call(
        &mut self,
        call: &ControlCall,
        replies: &mut Vec<Reply>,
    ) -> Result<String, SqlError> {
        let mut is_granted = true;
        match call {
            ControlCall::Status => {}
            ControlCall::AcceptTerm { term, promoter } => {
                is_granted = lock(&self.member.core).accept_term(*term, promoter);
                self.member.state_changed.notify_waiters();
            }
            ControlCall::Promote { term, promoter } => self.member.promote(*term, promoter)?,
            ControlCall::StepDown { term } => is_granted = self.step_down(*term),
            ControlCall::Resume { term } => {
                let mut core = lock(&self.member.core);
                if core.accepted_term() == *term {
                    core.is_stepping_down = false;
                }
            }
            ControlCall::WaitApplied { term, position, timeout_ms } => {
                let timeout = Duration::from_millis(*timeout_ms);
                is_granted = self.wait_applied((*term, *position), timeout);
            }
        }
        let status = self.member.status();
        replies.push(result_set::row_description(&status_columns()));
        replies.push(result_set::text_row(&status_values(&status, is_granted)));
        Ok("CALL".to_owned())
    }

    /// Refuses new write transactions and waits for the open ones to end. Returns whether they did;
    /// if not, new ones are accepted again.
    pub(super) fn step_down(&self, term: u64) -> bool {
        let deadline = Instant::now() + STEP_DOWN_TIMEOUT;
        loop {
            {
                let mut core = lock(&self.member.core);
                if !core.is_primary() || core.accepted_term() != term {
                    return false;
                }
                core.is_stepping_down = true;
                if core.open_write_transactions == 0 {
                    return true;
                }
                if Instant::now() >= deadline {
                    core.is_stepping_down = false;
                    return false;
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a log position, as term and position, is applied. Returns whether it is.
    pub(super) fn wait_applied(&self, min_applied: (u64, u64), timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.member.status();
            if (status.applied_term, status.applied_position) >= min_applied {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Returns the columns of the row that every control call returns.
pub(super) fn status_columns() -> Vec<Column> {
    result_set::text_columns(&[
        "is_granted",
        "is_primary",
        "accepted_term",
        "last_term",
        "last_position",
        "applied_term",
        "applied_position",
        "primary_silent_ms",
        "ended_term",
        "ended_term_is_primary",
        "ended_term_last_term",
        "ended_term_last_position",
    ])
}

fn status_values(status: &MemberStatus, is_granted: bool) -> Vec<String> {
    vec![
        is_granted.to_string(),
        status.is_primary.to_string(),
        status.accepted_term.to_string(),
        status.last_term.to_string(),
        status.last_position.to_string(),
        status.applied_term.to_string(),
        status.applied_position.to_string(),
        status.primary_silent_ms.to_string(),
        status.previous_term_end.term.to_string(),
        status.previous_term_end.is_primary.to_string(),
        status.previous_term_end.last_term.to_string(),
        status.previous_term_end.last_position.to_string(),
    ]
}
