//! Planned moves of a group's primary, requested by operators.

use std::time::Duration;

use tarpc::context::Context;

use super::Driver;
use super::MOVE_TIMEOUT;
use crate::fleet::homes::homes_of;
use crate::peer::rpc::PeerRpcClient;

impl Driver {
    /// Moves the primary of a group that this daemon is a home of, and waits for the new primary.
    pub(super) async fn move_primary_as_home(
        &self,
        group: &str,
        member: &str,
    ) -> Result<String, String> {
        let driver = self.failovers.borrow().get(group).map(|(driver, _)| driver.clone());
        let driver = driver.ok_or_else(|| format!("this daemon is not a home of group {group}"))?;
        let previous_primary = driver.home().prober().view().primary();
        driver.request_move(member)?;
        let deadline = tokio::time::Instant::now() + MOVE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let view = driver.home().prober().view();
            let options = driver.home().options();
            let name = |index: usize| options.members[index].name.to_string();
            if let Some(primary) = view.primary()
                && (Some(primary) != previous_primary || name(primary) == member)
            {
                return Ok(name(primary));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("the primary of group {group} was not moved in time"))
    }

    /// Moves the primary of a group through the first of its homes that responds.
    pub(super) async fn move_primary_via_home(
        &self,
        group: String,
        member: String,
    ) -> Result<String, String> {
        let fleet = self.core.borrow().fleet();
        let mut last_error = format!("no daemon is a home of group {group}");
        for home in homes_of(&fleet, &group) {
            if home == self.context.settings.name {
                return self.move_primary_as_home(&group, &member).await;
            }
            let Some(address) = self.peer_address(&home) else {
                continue;
            };
            let (group, member) = (group.clone(), member.clone());
            let call = |client: PeerRpcClient, mut context: Context| {
                context.deadline = std::time::Instant::now() + MOVE_TIMEOUT;
                async move { client.move_primary(context, group, member).await }
            };
            match self.context.peers.call_with_timeout(address, MOVE_TIMEOUT, call).await {
                Some(reply) => return reply,
                None => last_error = format!("home {home} did not respond"),
            }
        }
        Err(last_error)
    }
}
