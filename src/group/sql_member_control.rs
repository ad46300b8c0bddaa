//! Controls a member by calling procedures over a PostgreSQL connection.

use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::Mutex;

use super::log_position::LogPosition;
use super::member_connection::ConnectOptions;
use super::member_connection::MemberConnection;
use super::member_control::ControlReply;
use super::member_control::MemberControl;
use super::member_control::MemberError;
use super::member_status::MemberStatus;
use crate::wire::sql_literal::text_literal;

/// Longest wait for the reply to a call, including the time to connect.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the reply to a promotion or a step-down, which waits for running writes.
const ROLE_CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Controls a member over one connection, opened on first use and again after a failure.
pub struct SqlMemberControl {
    options: ConnectOptions,
    connection: Mutex<Option<MemberConnection>>,
}

impl SqlMemberControl {
    /// Creates the control interface of a member without connecting to it.
    pub fn new(options: ConnectOptions) -> Self {
        Self { options, connection: Mutex::new(None) }
    }

    async fn call(&self, sql: String, timeout: Duration) -> Result<ControlReply, MemberError> {
        let call = async {
            let mut slot = self.connection.lock().await;
            let idle = slot.take().and_then(|mut connection| {
                let is_unusable = connection.is_unusable();
                (!is_unusable).then_some(connection)
            });
            let mut connection = match idle {
                Some(connection) => connection,
                None => MemberConnection::open(&self.options).await?,
            };
            let outcome = connection.call(sql).await;
            if !matches!(outcome, Err(MemberError::Unreachable(_))) {
                *slot = Some(connection);
            }
            outcome
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(outcome) => outcome,
            Err(_) => Err(MemberError::Unreachable("the member did not answer in time".to_owned())),
        }
    }
}

#[async_trait]
impl MemberControl for SqlMemberControl {
    async fn status(&self) -> Result<MemberStatus, MemberError> {
        let reply = self.call("CALL group_status()".to_owned(), CALL_TIMEOUT).await?;
        Ok(reply.status)
    }

    async fn accept_term(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError> {
        let sql = format!("CALL group_accept_term({term}, {})", text_literal(promoter));
        self.call(sql, CALL_TIMEOUT).await
    }

    async fn promote(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError> {
        let sql = format!("CALL group_promote({term}, {})", text_literal(promoter));
        self.call(sql, ROLE_CHANGE_TIMEOUT).await
    }

    async fn step_down(&self, term: u64) -> Result<ControlReply, MemberError> {
        self.call(format!("CALL group_step_down({term})"), ROLE_CHANGE_TIMEOUT).await
    }

    async fn resume(&self, term: u64) -> Result<ControlReply, MemberError> {
        self.call(format!("CALL group_resume({term})"), CALL_TIMEOUT).await
    }

    async fn has_applied(&self, floor: LogPosition) -> Result<ControlReply, MemberError> {
        let sql = format!("CALL group_wait_applied({}, {}, 0)", floor.term, floor.position);
        self.call(sql, CALL_TIMEOUT).await
    }
}
