//! A PostgreSQL connection to a member, or to another daemon that relays to members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::SinkExt;
use futures::StreamExt;
use pgwire::api::client::Config;
use pgwire::api::client::auth::DefaultStartupHandler;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::simplequery::Query;
use pgwire::tokio::client::PgWireClient;

use super::call_replies::CallProgress;
use super::call_replies::CallReplies;
use super::log_position::LogPosition;
use super::member_control::ControlReply;
use super::member_control::MemberError;
use super::member_status::MemberStatus;
use super::out_of_step;
use super::term_end::TermEnd;
use crate::wire::sql_error::SqlError;

/// Number of columns in the status row that control procedures return.
const STATUS_COLUMNS: usize = 12;

/// Starts of the names of parameters that are parts of replies.
const REPLY_PARAMETERS: [&str; 2] = ["group.", "snipehead."];

/// Address and credentials for connections to a member.
#[derive(Clone)]
pub struct ConnectOptions {
    /// Network address of the member.
    pub address: SocketAddr,
    /// User to connect as.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Database to connect to.
    pub database: String,
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
}

/// A connection to a member, with the log position that its reads include.
///
/// Relay connections use it too: the daemon at the other end then acts as the member.
pub struct MemberConnection {
    client: PgWireClient,
    /// Number of the latest control call or relay request.
    number: u64,
    /// Log position that the connection's reads are known to include.
    pub applied: LogPosition,
}

impl MemberConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached in time or refuses the connection.
    pub async fn open(options: &ConnectOptions) -> Result<Self, MemberError> {
        let mut config = Config::new();
        config
            .hostaddr(options.address.ip())
            .host(options.address.ip().to_string())
            .port(options.address.port())
            .user(&options.user)
            .password(&options.password)
            .dbname(&options.database);
        let startup = DefaultStartupHandler::new();
        let connecting = PgWireClient::connect(Arc::new(config), startup, None);
        let client = tokio::time::timeout(options.connect_timeout, connecting)
            .await
            .map_err(|_| unreachable_error("connecting to the member timed out"))?
            .map_err(|error| unreachable_error(&error.to_string()))?;
        Ok(Self { client, number: 0, applied: LogPosition::default() })
    }

    /// Sends messages and flushes them.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost; some of the messages may have arrived.
    pub async fn send(&mut self, messages: Vec<Request>) -> Result<(), MemberError> {
        for message in messages {
            self.client
                .feed(message)
                .await
                .map_err(|error| unreachable_error(&error.to_string()))?;
        }
        self.client.flush().await.map_err(|error| unreachable_error(&error.to_string()))
    }

    /// Returns whether an idle connection was closed or has received an unsolicited message.
    pub fn is_unusable(&mut self) -> bool {
        match self.client.next().now_or_never() {
            None => false,
            Some(received) => {
                if let Some(Ok(reply)) = received
                    && !is_unsolicited(&reply)
                {
                    out_of_step::record("idle");
                }
                true
            }
        }
    }

    /// Checks, while no reply is awaited, that none has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost or out of step; it must then be closed.
    pub fn check_in_step(&mut self) -> Result<(), MemberError> {
        while let Some(received) = self.client.next().now_or_never() {
            match received {
                Some(Ok(reply)) if !is_unsolicited(&reply) => {
                    out_of_step::record("between requests");
                    return Err(unreachable_error("a message of the member belongs to no request"));
                }
                Some(Ok(Reply::ErrorResponse(response))) => {
                    let error = SqlError::from_response(&response);
                    return Err(unreachable_error(&error.to_string()));
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(unreachable_error(&error.to_string())),
                None => return Err(unreachable_error("the member closed the connection")),
            }
        }
        Ok(())
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost.
    pub async fn receive(&mut self) -> Result<Reply, MemberError> {
        match self.client.next().await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(error)) => Err(unreachable_error(&error.to_string())),
            None => Err(unreachable_error("the member closed the connection")),
        }
    }

    /// Returns a number that is new on this connection.
    pub fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Calls a control procedure and reads the status row that it returns.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost or out of step, or the member refuses the call.
    pub async fn call(&mut self, sql: String) -> Result<ControlReply, MemberError> {
        let mut replies = CallReplies::new(&self.next_number().to_string());
        let marker_sql = replies.marker_sql();
        let queries = [sql, marker_sql].map(|text| Request::Query(Query::new(text)));
        self.send(queries.into()).await?;
        loop {
            match replies.accept(&self.receive().await?) {
                CallProgress::Incomplete => {}
                CallProgress::Complete(Ok(values)) => return parse_control_reply(&values),
                CallProgress::Complete(Err(error)) => {
                    return Err(MemberError::Refused(error.to_string()));
                }
                CallProgress::Closing(error) => return Err(unreachable_error(&error.to_string())),
                CallProgress::OutOfStep => {
                    out_of_step::record("control call");
                    return Err(unreachable_error("a reply does not belong to the control call"));
                }
            }
        }
    }

    /// Returns whether the connection's reads include a log position.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost.
    pub async fn has_applied(&mut self, floor: LogPosition) -> Result<bool, MemberError> {
        if self.applied >= floor {
            return Ok(true);
        }
        let sql = format!("CALL group_wait_applied({}, {}, 0)", floor.term, floor.position);
        let reply = self.call(sql).await?;
        self.applied = reply.status.applied;
        Ok(self.applied >= floor)
    }

    /// Asks the member to cancel the statement that runs on the connection.
    pub async fn cancel(&self) {
        let _ = self.client.cancel().await;
    }
}

/// Returns whether a member may send a message at any time: a notice, a notification, the change of
/// a parameter that is no part of a reply, or the error with which it closes the connection.
fn is_unsolicited(reply: &Reply) -> bool {
    match reply {
        Reply::NoticeResponse(_) | Reply::NotificationResponse(_) => true,
        Reply::ParameterStatus(status) => {
            !REPLY_PARAMETERS.iter().any(|prefix| status.name.starts_with(prefix))
        }
        Reply::ErrorResponse(response) => SqlError::from_response(response).severity == "FATAL",
        _ => false,
    }
}

fn unreachable_error(reason: &str) -> MemberError {
    MemberError::Unreachable(reason.to_owned())
}

fn parse_control_reply(values: &[String]) -> Result<ControlReply, MemberError> {
    let unexpected =
        || MemberError::Refused("the status row has unexpected columns or values".to_owned());
    let values: &[String; STATUS_COLUMNS] = values.try_into().map_err(|_| unexpected())?;
    let number = |index: usize| values[index].parse::<u64>().map_err(|_| unexpected());
    let flag = |index: usize| values[index].parse::<bool>().map_err(|_| unexpected());
    let position = |index: usize| Ok(LogPosition::new(number(index)?, number(index + 1)?));
    Ok(ControlReply {
        is_granted: flag(0)?,
        status: MemberStatus {
            is_primary: flag(1)?,
            accepted_term: number(2)?,
            received: position(3)?,
            applied: position(5)?,
            primary_silent_ms: number(7)?,
            previous_term_end: TermEnd {
                term: number(8)?,
                is_primary: flag(9)?,
                received: position(10)?,
            },
        },
    })
}
