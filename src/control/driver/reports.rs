//! Status reports of this daemon and of all others.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::Driver;
use crate::clock;
use crate::control::core::ControlCore;
use crate::control::failover_driver::FailoverDriver;
use crate::group::group_home::GroupMember;
use crate::limit::rate_limiter::WorkspaceLimiter;
use crate::name::Name;
use crate::peer::rpc::DaemonReport;
use crate::peer::rpc::GroupReport;
use crate::peer::rpc::MemberReport;
use crate::peer::rpc::PeerRpcClient;
use crate::peer::rpc::WorkspaceReport;

impl Driver {
    pub(super) async fn reports(
        self: Rc<Self>,
        reply: oneshot::Sender<Vec<(String, Option<DaemonReport>)>>,
    ) {
        let own = self.context.settings.name.clone();
        let others = self.core.borrow().other_hosts();
        let requests = others.into_iter().map(|peer| {
            let driver = self.clone();
            async move {
                let Some(address) = driver.peer_address(&peer) else {
                    return (peer, None);
                };
                let call =
                    |client: PeerRpcClient, context| async move { client.report(context).await };
                let report = driver.context.peers.call(address, call).await.flatten();
                (peer, report)
            }
        });
        let mut reports = futures::future::join_all(requests).await;
        reports.push((own, Some(self.report())));
        reports.sort_by(|left, right| left.0.cmp(&right.0));
        let _ = reply.send(reports);
    }

    pub(super) fn report(&self) -> DaemonReport {
        let core = self.core.borrow();
        let now_ms = clock::now_ms();
        let failovers = self.failovers.borrow();
        let groups = failovers.iter().map(|(name, (driver, _))| group_report(name, driver, &core));
        let workspaces = self.context.traffic.limiter.workspaces();
        let workspace = |(name, limiter): (&Name, &Arc<_>)| {
            let limiter: &Arc<WorkspaceLimiter> = limiter;
            WorkspaceReport {
                name: name.to_string(),
                share_ppm: core.share_ppm(name),
                reading: limiter.meter.reading(),
            }
        };
        DaemonReport {
            host: self.context.settings.name.clone(),
            data_centre: self.context.settings.data_centre.clone(),
            incarnation: self.context.incarnation,
            version: core.fleet().version,
            state: self.lifecycle.borrow().state().to_owned(),
            is_table_reachable: core.is_table_reachable(now_ms),
            lease_left_ms: core.lease_expires_at_ms(now_ms).saturating_sub(now_ms),
            generation: core.generation(),
            callers: self.context.traffic.cancels.len() as u64,
            groups: groups.collect(),
            workspaces: workspaces.iter().map(workspace).collect(),
        }
    }
}

fn group_report(name: &str, driver: &FailoverDriver, core: &ControlCore) -> GroupReport {
    let view = driver.home().prober().view();
    let options = driver.home().options();
    let usage = driver.home().usage();
    let last_received =
        (0..view.len()).filter_map(|index| view.status(index)).map(|status| status.received).max();
    let last_received = last_received.unwrap_or_default();
    let fleet = core.fleet();
    let data_centre = |member: &str| {
        let members = fleet.group(name).map(|group| group.members.as_slice()).unwrap_or_default();
        let found = members.iter().find(|known| known.name == member);
        found.map(|known| known.data_centre.clone()).unwrap_or_default()
    };
    let member = |(index, known): (usize, &GroupMember)| {
        let status = view.status(index).unwrap_or_default();
        MemberReport {
            name: known.name.to_string(),
            data_centre: data_centre(&known.name),
            is_reachable: view.is_reachable(index),
            is_leaving: known.is_leaving,
            applied: status.applied.to_string(),
            behind: last_received.position.saturating_sub(status.applied.position),
        }
    };
    GroupReport {
        name: name.to_owned(),
        primary: view.primary().map(|index| options.members[index].name.to_string()),
        term: view.highest_term(),
        members: options.members.iter().enumerate().map(member).collect(),
        slots: usage.limit as u64,
        in_use: usage.in_use as u64,
        waiting: usage.waiting as u64,
        failover_state: driver.state(),
    }
}
