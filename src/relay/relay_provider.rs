//! Provides connections to a group's members through the group's homes, the daemons that keep
//! connections to the members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::simplequery::Query;

use super::relay_message::RelayCommand;
use super::relay_message::RelayGrant;
use super::relay_message::RelayRequest;
use super::relay_message::answered_number;
use super::relay_pool::RelayPool;
use super::relayed_connection::RelayedConnection;
use crate::group::exclusive_connection::ConnectionGrant;
use crate::group::exclusive_connection::ConnectionProvider;
use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::member_connection::MemberConnection;
use crate::group::member_control::MemberError;
use crate::group::out_of_step;
use crate::sync::lock;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Pause after all homes have been tried, before they are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time for the network round trip to the home, on top of the request's timeout.
const ROUND_TRIP_ALLOWANCE: Duration = Duration::from_millis(200);

/// Provides connections to a group's members through the group's homes.
pub struct RelayProvider {
    group: String,
    secret: String,
    homes: Mutex<Vec<Arc<RelayPool>>>,
}

/// Why a home granted no connection.
enum Refusal {
    /// Another home may be able to grant one.
    TryNext(SqlError),
    /// No other home is asked; the caller gets this error.
    Final(SqlError),
}

impl RelayProvider {
    /// Creates a provider with no homes.
    pub fn new(group: &str, secret: &str) -> Self {
        Self { group: group.to_owned(), secret: secret.to_owned(), homes: Mutex::new(Vec::new()) }
    }

    /// Sets the relay addresses of the homes, the preferred one first. Pools of homes that stay are
    /// kept.
    pub fn set_homes(&self, addresses: Vec<SocketAddr>) {
        let mut homes = lock(&self.homes);
        let pool_of = |address: &SocketAddr| {
            let known = homes.iter().find(|pool| pool.address() == *address);
            let new_pool = || Arc::new(RelayPool::new(*address, &self.group, &self.secret));
            known.cloned().unwrap_or_else(new_pool)
        };
        let pools = addresses.iter().map(pool_of).collect();
        *homes = pools;
    }

    /// Requests a connection from one home. A relay connection that was idle and proves broken is
    /// replaced.
    async fn request_from(
        &self,
        pool: &Arc<RelayPool>,
        request: &ConnectionRequest,
    ) -> Result<ConnectionGrant, Refusal> {
        loop {
            let (connection, was_idle) = pool.connect().await.map_err(|error| {
                pool.back_off();
                Refusal::TryNext(home_unavailable(&self.group, &error))
            })?;
            let timeout = Duration::from_millis(request.timeout_ms) + ROUND_TRIP_ALLOWANCE;
            let exchange = request_on(connection, request);
            match tokio::time::timeout(timeout, exchange).await {
                Ok(Ok((connection, Ok(grant)))) => {
                    return Ok(ConnectionGrant {
                        connection: Box::new(RelayedConnection::new(connection, pool.clone())),
                        floor: grant.floor,
                        is_replica: grant.is_replica,
                    });
                }
                Ok(Ok((connection, Err(error)))) => {
                    pool.keep(connection);
                    return Err(match error.code.as_str() {
                        sql_state::CANNOT_CONNECT => Refusal::TryNext(error),
                        _ => Refusal::Final(error),
                    });
                }
                Ok(Err(_)) if was_idle => continue,
                Ok(Err(error)) => {
                    pool.back_off();
                    return Err(Refusal::TryNext(home_unavailable(&self.group, &error)));
                }
                Err(_) => {
                    pool.back_off();
                    let error = MemberError::Unreachable("the request timed out".to_owned());
                    return Err(Refusal::TryNext(home_unavailable(&self.group, &error)));
                }
            }
        }
    }
}

/// Requests a connection to a member on a relay connection. The reply to an earlier release may
/// still be on its way; it is skipped. Anything else before the number of this request belongs to
/// an earlier one.
async fn request_on(
    mut connection: MemberConnection,
    request: &ConnectionRequest,
) -> Result<(MemberConnection, Result<RelayGrant, SqlError>), MemberError> {
    let number = connection.next_number();
    let relay_request = RelayRequest { number, request: request.clone() };
    let sql = RelayCommand::Acquire(relay_request).to_sql();
    connection.send(vec![Request::Query(Query::new(sql))]).await?;
    let mut is_released = false;
    let mut is_answered = false;
    let mut outcome = None;
    loop {
        let reply = connection.receive().await?;
        let grant = RelayGrant::from_message(&reply);
        match (reply, grant) {
            (reply, _) if !is_answered && answered_number(&reply) == Some(number) => {
                is_answered = true;
            }
            (Reply::ReadyForQuery(_), _) if !is_answered && !is_released => is_released = true,
            (_, Some(grant)) if is_answered && outcome.is_none() => outcome = Some(Ok(grant)),
            (Reply::ErrorResponse(response), _) if is_answered && outcome.is_none() => {
                outcome = Some(Err(SqlError::from_response(&response)));
            }
            (Reply::ReadyForQuery(_), _) if outcome.is_some() => break,
            _ => {
                out_of_step::record("relay request");
                let reason = "a message of the home belongs to no request".to_owned();
                return Err(MemberError::Unreachable(reason));
            }
        }
    }
    outcome
        .map(|outcome| (connection, outcome))
        .ok_or_else(|| MemberError::Unreachable("the home did not answer the request".to_owned()))
}

#[async_trait]
impl ConnectionProvider for RelayProvider {
    async fn acquire(&self, mut request: ConnectionRequest) -> Result<ConnectionGrant, SqlError> {
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let mut last_error = SqlError::new(
            sql_state::NOT_RUN,
            format!("not run: no daemon holds connections to group {}", self.group),
        );
        loop {
            let homes = lock(&self.homes).clone();
            for pool in homes.iter().filter(|pool| !pool.is_backing_off()) {
                let remaining = deadline.saturating_duration_since(Instant::now());
                request.timeout_ms = remaining.as_millis() as u64;
                match self.request_from(pool, &request).await {
                    Ok(grant) => return Ok(grant),
                    Err(Refusal::Final(error)) => return Err(error),
                    Err(Refusal::TryNext(error)) => last_error = error,
                }
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return Err(last_error);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns the error for a home that could not be reached or did not answer.
fn home_unavailable(group: &str, error: &MemberError) -> SqlError {
    let reason = match error {
        MemberError::Unreachable(reason) | MemberError::Refused(reason) => reason,
    };
    let message =
        format!("not run: no daemon with connections to group {group} answered: {reason}");
    SqlError::new(sql_state::NOT_RUN, message).with_hint("Try again in 1 s.")
}
