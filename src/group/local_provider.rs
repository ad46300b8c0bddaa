//! How requests get connections of a group that this daemon is a home of.

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

/// Longest wait for a member to tell whether its readers see a place in the log.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Access of one daemon to a group that it is a home of.
pub struct LocalProvider(pub Arc<GroupHome>);

#[async_trait]
impl ConnectionProvider for LocalProvider {
    async fn acquire(&self, request: ConnectionRequest) -> Result<ConnectionGrant, SqlError> {
        let home = &self.0;
        let workspace: Name = request.workspace.as_str().into();
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let left = || deadline.saturating_duration_since(Instant::now());
        let Some(floor) = home.floor_for(&request, deadline).await else {
            return Err(home.no_member());
        };
        let mut skipped = vec![false; home.options().members.len()];
        loop {
            if left().is_zero() {
                return Err(home.no_member());
            }
            if home.choose(&request, floor, &skipped).is_none() {
                home.wait_for_change(deadline).await;
                continue;
            }
            let Some(slot) = home.pool().slot(&workspace, left()).await else {
                return Err(home.no_capacity());
            };
            let Some(target) = home.choose(&request, floor, &skipped) else {
                continue;
            };
            let Some(mut connection) = home.connect(target.member).await else {
                home.avoid(target.member);
                drop(slot);
                home.wait_for_change(deadline).await;
                continue;
            };
            let checking = connection.reaches(floor);
            let checked = tokio::time::timeout(left().min(CHECK_TIMEOUT), checking).await;
            match checked {
                Ok(Ok(true)) => {
                    let lane = LocalConnection::new(
                        home.clone(),
                        target.member,
                        target.is_replica,
                        connection,
                        slot,
                    );
                    return Ok(ConnectionGrant {
                        lane: Box::new(lane),
                        floor,
                        is_replica: target.is_replica,
                    });
                }
                Ok(Ok(false)) => {
                    skipped[target.member] = target.is_replica;
                    home.pool().keep_idle(target.member, connection);
                    drop(slot);
                    if !target.is_replica {
                        home.wait_for_change(deadline).await;
                    }
                }
                _ => home.avoid(target.member),
            }
        }
    }
}
