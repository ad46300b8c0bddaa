//! Exclusive use of a connection to a member through one of the group's homes, the daemons that
//! keep connections to its members.

use std::sync::Arc;

use async_trait::async_trait;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::simplequery::Query;

use super::relay_message::NOT_ACKNOWLEDGED_PARAMETER;
use super::relay_message::RelayCommand;
use super::relay_message::escape_query;
use super::relay_pool::RelayPool;
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::ExclusiveConnection;
use crate::group::member_connection::MemberConnection;
use crate::group::member_control::MemberError;

/// Exclusive use of a connection to a member through one of the group's homes.
pub struct RelayedConnection {
    connection: Option<MemberConnection>,
    pool: Arc<RelayPool>,
    is_broken: bool,
}

impl RelayedConnection {
    /// Takes over a relay connection on which a home has granted a connection to a member.
    pub fn new(connection: MemberConnection, pool: Arc<RelayPool>) -> Self {
        Self { connection: Some(connection), pool, is_broken: false }
    }

    fn connection(&mut self) -> Result<&mut MemberConnection, ConnectionError> {
        let lost =
            || ConnectionError::Lost("the connection to the home daemon was lost".to_owned());
        self.connection.as_mut().ok_or_else(lost)
    }

    fn drop_connection(&mut self, error: MemberError) -> ConnectionError {
        self.connection = None;
        match error {
            MemberError::Unreachable(reason) | MemberError::Refused(reason) => {
                ConnectionError::Lost(reason)
            }
        }
    }
}

#[async_trait]
impl ExclusiveConnection for RelayedConnection {
    fn check_in_step(&mut self) -> Result<(), ConnectionError> {
        match self.connection()?.check_in_step() {
            Ok(()) => Ok(()),
            Err(error) => Err(self.drop_connection(error)),
        }
    }

    async fn send(&mut self, messages: Vec<Request>) -> Result<(), ConnectionError> {
        let messages = messages.into_iter().map(escaped).collect();
        match self.connection()?.send(messages).await {
            Ok(()) => Ok(()),
            Err(error) => Err(self.drop_connection(error)),
        }
    }

    async fn receive(&mut self) -> Result<Reply, ConnectionError> {
        let reply = match self.connection()?.receive().await {
            Ok(reply) => reply,
            Err(error) => return Err(self.drop_connection(error)),
        };
        match &reply {
            Reply::ParameterStatus(status) if status.name == NOT_ACKNOWLEDGED_PARAMETER => {
                self.is_broken = true;
                Err(ConnectionError::NotAcknowledged)
            }
            _ => Ok(reply),
        }
    }

    async fn cancel(&mut self) {
        if let Ok(connection) = self.connection() {
            connection.cancel().await;
        }
    }

    async fn release(mut self: Box<Self>, is_clean: bool) {
        let Some(mut connection) = self.connection.take().filter(|_| !self.is_broken) else {
            return;
        };
        // When the relay connection closes, the home releases the connection to the member. An
        // explicit release keeps the relay connection for reuse.
        if !is_clean {
            return;
        }
        let sql = RelayCommand::Release { is_clean }.to_sql();
        if connection.send(vec![Request::Query(Query::new(sql))]).await.is_ok() {
            self.pool.keep(connection);
        }
    }
}

/// Keeps the text of a caller from being taken for a command to the home.
fn escaped(message: Request) -> Request {
    match message {
        Request::Query(query) => match escape_query(&query.query) {
            Some(sql) => Request::Query(Query::new(sql)),
            None => Request::Query(query),
        },
        other => other,
    }
}
