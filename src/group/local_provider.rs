//! Provides this daemon's own connections to a group's members. A daemon that keeps such
//! connections is a home of the group.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;

use super::exclusive_connection::ConnectionGrant;
use super::exclusive_connection::ConnectionProvider;
use super::exclusive_connection::ConnectionRequest;
use super::group_home::GroupHome;
use super::local_connection::LocalConnection;
use crate::name::Name;
use crate::wire::sql_error::SqlError;

/// Longest wait for a member to report whether it has applied a log position.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Provides connections to a group of which this daemon is a home.
pub struct LocalProvider(pub Arc<GroupHome>);

#[async_trait]
impl ConnectionProvider for LocalProvider {
    async fn acquire(&self, request: ConnectionRequest) -> Result<ConnectionGrant, SqlError> {
        let home = &self.0;
        let workspace: Name = request.workspace.as_str().into();
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let Some(floor) = home.read_floor(&request, deadline).await else {
            return Err(home.no_member());
        };
        let mut skipped = vec![false; home.options().members.len()];
        loop {
            if remaining().is_zero() {
                return Err(home.no_member());
            }
            if home.choose_member(&request, floor, &skipped).is_none() {
                home.wait_for_change(deadline).await;
                continue;
            }
            let Some(slot) = home.pool().slot(&workspace, remaining()).await else {
                return Err(home.no_capacity());
            };
            // The members' state may have changed while the request waited for the slot.
            let Some(chosen) = home.choose_member(&request, floor, &skipped) else {
                continue;
            };
            let Some(mut connection) = home.connect(chosen.member).await else {
                home.back_off(chosen.member);
                drop(slot);
                home.wait_for_change(deadline).await;
                continue;
            };
            let checking = connection.has_applied(floor);
            let checked = tokio::time::timeout(remaining().min(CHECK_TIMEOUT), checking).await;
            match checked {
                Ok(Ok(true)) => {
                    let granted = LocalConnection::new(
                        home.clone(),
                        chosen.member,
                        chosen.is_replica,
                        connection,
                        slot,
                    );
                    return Ok(ConnectionGrant {
                        connection: Box::new(granted),
                        floor,
                        is_replica: chosen.is_replica,
                    });
                }
                Ok(Ok(false)) => {
                    skipped[chosen.member] = chosen.is_replica;
                    home.pool().keep_idle(chosen.member, connection);
                    drop(slot);
                    if !chosen.is_replica {
                        home.wait_for_change(deadline).await;
                    }
                }
                _ => home.back_off(chosen.member),
            }
        }
    }
}
