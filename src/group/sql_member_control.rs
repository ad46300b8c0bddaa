//! Control of a member by calls over its PostgreSQL connection.

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

/// How long a call waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a step down may take, which waits for running writes.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// A member reached by one connection, opened on first use and again after a failure.
pub struct SqlMemberControl {
    target: ConnectOptions,
    connection: Mutex<Option<MemberConnection>>,
}

impl SqlMemberControl {
    /// Creates the control of a member.
    pub fn new(target: ConnectOptions) -> Self {
        Self { target, connection: Mutex::new(None) }
    }

    async fn call(&self, sql: String, timeout: Duration) -> Result<ControlReply, MemberError> {
        let calling = async {
            let mut slot = self.connection.lock().await;
            let mut connection = match slot.take() {
                Some(connection) => connection,
                None => MemberConnection::open(&self.target).await?,
            };
            let answer = connection.call(sql).await;
            if !matches!(answer, Err(MemberError::Unreachable(_))) {
                *slot = Some(connection);
            }
            answer
        };
        match tokio::time::timeout(timeout, calling).await {
            Ok(answer) => answer,
            Err(_) => Err(MemberError::Unreachable("no answer in time".to_owned())),
        }
    }
}

#[async_trait]
impl MemberControl for SqlMemberControl {
    async fn status(&self) -> Result<MemberStatus, MemberError> {
        let grant = self.call("CALL group_status()".to_owned(), CALL_TIMEOUT).await?;
        Ok(grant.status)
    }

    async fn accept_term(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError> {
        let sql = format!("CALL group_accept_term({term}, '{}')", quoted(promoter));
        self.call(sql, CALL_TIMEOUT).await
    }

    async fn promote(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError> {
        let sql = format!("CALL group_promote({term}, '{}')", quoted(promoter));
        self.call(sql, STEP_DOWN_TIMEOUT).await
    }

    async fn step_down(&self, term: u64) -> Result<ControlReply, MemberError> {
        self.call(format!("CALL group_step_down({term})"), STEP_DOWN_TIMEOUT).await
    }

    async fn resume(&self, term: u64) -> Result<ControlReply, MemberError> {
        self.call(format!("CALL group_resume({term})"), CALL_TIMEOUT).await
    }

    async fn has_applied(&self, floor: LogPosition) -> Result<ControlReply, MemberError> {
        let sql = format!("CALL group_wait_applied({}, {}, 0)", floor.term, floor.position);
        self.call(sql, CALL_TIMEOUT).await
    }
}

fn quoted(text: &str) -> String {
    text.replace('\'', "''")
}
