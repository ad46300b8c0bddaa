//! A connection to a member.

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

use super::log_position::LogPosition;
use super::member_control::ControlReply;
use super::member_control::MemberError;
use super::member_status::MemberStatus;
use crate::wire::sql_error::SqlError;
use crate::wire::text_row::text_values;

/// Columns of a status row, as the members return them.
const STATUS_COLUMNS: usize = 8;

/// Where and as whom to connect.
#[derive(Clone)]
pub struct ConnectOptions {
    /// Address of the member.
    pub address: SocketAddr,
    /// User to connect as.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Database to connect to.
    pub database: String,
    /// Longest time to connect.
    pub connect_timeout: Duration,
}

/// A connection to a member, with what is known of its state.
pub struct MemberConnection {
    client: PgWireClient,
    /// A place in the log that the connection's reads are known to include.
    pub reached: LogPosition,
}

impl MemberConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached in time or refuses the connection.
    pub async fn open(target: &ConnectOptions) -> Result<Self, MemberError> {
        let mut config = Config::new();
        config
            .hostaddr(target.address.ip())
            .host(target.address.ip().to_string())
            .port(target.address.port())
            .user(&target.user)
            .password(&target.password)
            .dbname(&target.database);
        let startup = DefaultStartupHandler::new();
        let connecting = PgWireClient::connect(Arc::new(config), startup, None);
        let client = tokio::time::timeout(target.connect_timeout, connecting)
            .await
            .map_err(|_| unreachable("connecting took too long"))?
            .map_err(|error| unreachable(&error.to_string()))?;
        Ok(Self { client, reached: LogPosition::default() })
    }

    /// Sends messages at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost; part of the messages may have arrived.
    pub async fn send(&mut self, messages: Vec<Request>) -> Result<(), MemberError> {
        for message in messages {
            self.client.feed(message).await.map_err(|error| unreachable(&error.to_string()))?;
        }
        self.client.flush().await.map_err(|error| unreachable(&error.to_string()))
    }

    /// Returns whether an idle connection was closed, or was sent something that nobody asked for.
    pub fn is_spoilt(&mut self) -> bool {
        self.client.next().now_or_never().is_some()
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost.
    pub async fn receive(&mut self) -> Result<Reply, MemberError> {
        match self.client.next().await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(error)) => Err(unreachable(&error.to_string())),
            None => Err(unreachable("the member closed the connection")),
        }
    }

    /// Runs a control call and reads its status row.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost or the member refuses.
    pub async fn call(&mut self, sql: String) -> Result<ControlReply, MemberError> {
        self.send(vec![Request::Query(Query::new(sql))]).await?;
        let mut answer = Err(unreachable("the member answered without a row"));
        loop {
            match self.receive().await? {
                Reply::DataRow(row) => answer = parse_grant(&text_values(&row)),
                Reply::ErrorResponse(response) => {
                    let error = SqlError::from_response(&response);
                    answer = Err(MemberError::Refused(error.to_string()));
                }
                Reply::ReadyForQuery(_) => return answer,
                _ => {}
            }
        }
    }

    /// Checks that the connection's reads include a place in the log.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost.
    pub async fn reaches(&mut self, floor: LogPosition) -> Result<bool, MemberError> {
        if self.reached >= floor {
            return Ok(true);
        }
        let sql = format!("CALL group_wait_applied({}, {}, 0)", floor.term, floor.position);
        let grant = self.call(sql).await?;
        self.reached = grant.status.applied;
        Ok(self.reached >= floor)
    }

    /// Asks the member to cancel what runs on the connection.
    pub async fn cancel(&self) {
        let _ = self.client.cancel().await;
    }
}

fn unreachable(reason: &str) -> MemberError {
    MemberError::Unreachable(reason.to_owned())
}

fn parse_grant(values: &[String]) -> Result<ControlReply, MemberError> {
    let numbers: Vec<u64> = values.iter().skip(2).map(|text| text.parse().unwrap_or(0)).collect();
    let (true, [accepted_term, last_term, last_position, rest @ ..]) =
        (values.len() == STATUS_COLUMNS, numbers.as_slice())
    else {
        return Err(MemberError::Refused("status row has other columns".to_owned()));
    };
    let [applied_term, applied_position, primary_silent_ms] = rest else {
        return Err(MemberError::Refused("status row has other columns".to_owned()));
    };
    Ok(ControlReply {
        is_granted: values[0] == "true",
        status: MemberStatus {
            is_primary: values[1] == "true",
            accepted_term: *accepted_term,
            received: LogPosition::new(*last_term, *last_position),
            applied: LogPosition::new(*applied_term, *applied_position),
            primary_silent_ms: *primary_silent_ms,
        },
    })
}
