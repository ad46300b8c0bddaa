//! Health probes of members.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::member::MemberEntry;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::outcome::Failure;
use crate::service::OwnedService;
use crate::service::borrowed::ProbeSlot;
use crate::service::matched_connection::MatchedConnection;
use crate::sync::lock;

/// Longest wait for the reply to a probe: several times the duration of a statement.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Tenant name under which the system opens its own connections to members.
pub(crate) const SYSTEM_TENANT: &str = "snipehead";

/// Connections that are kept open for probes, one per member.
#[derive(Default)]
pub(super) struct ProbeConnections {
    by_member: HashMap<MemberKey, MatchedConnection>,
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The member reported its replication state.
    Reported(MemberStatus),
    /// The member answers, but refused the connection or the request, as a busy member does.
    Busy,
    /// Another member, or a restarted one, answers at the address.
    Replaced,
    /// The connection failed, or no valid reply came in time.
    Failed(MemberError),
}

impl OwnedService {
    /// Probes members concurrently and records the results.
    pub(super) async fn probe(
        self: &Arc<Self>,
        connections: &mut ProbeConnections,
        members: Vec<MemberEntry>,
    ) {
        let probes = members.into_iter().map(|member| {
            let connection = connections.by_member.remove(&member.key);
            self.probe_one(connection, member)
        });
        for (member, connection, result) in join_all(probes).await {
            self.record_probe(&member, &result);
            if let Some(connection) = connection {
                connections.by_member.insert(member.key.clone(), connection);
            }
        }
    }

    /// Probes a member on a new connection, so that the report cannot be a repeat of an earlier one.
    pub(super) async fn probe_anew(self: &Arc<Self>, member: MemberEntry) -> ProbeResult {
        let (member, _, result) = self.probe_one(None, member).await;
        self.record_probe(&member, &result);
        result
    }

    /// Probes a member on its open connection. If there is none or that fails, it opens a new one.
    async fn probe_one(
        self: &Arc<Self>,
        connection: Option<MatchedConnection>,
        member: MemberEntry,
    ) -> (MemberEntry, Option<MatchedConnection>, ProbeResult) {
        let _slot = ProbeSlot::new(self.clone(), member.key.clone());
        if let Some(mut connection) = connection
            && connection.discard_repeats().is_ok()
            && connection.is_reusable()
        {
            let requesting = self.request_status(&member.key, &mut connection);
            let answered = tokio::time::timeout(PROBE_TIMEOUT, requesting).await;
            if let Ok(Ok(result)) = answered {
                return (member, Some(connection), result);
            }
        }
        let probing = async {
            let connected = self.context.connector.connect(&member, SYSTEM_TENANT).await?;
            let mut connection = MatchedConnection::new(connected);
            let result = self.request_status(&member.key, &mut connection).await?;
            Ok((connection, result))
        };
        match tokio::time::timeout(PROBE_TIMEOUT, probing).await {
            Ok(Ok((connection, result))) => (member, Some(connection), result),
            Ok(Err(MemberError::Refused(refusal))) => {
                let result = match refusal.failure {
                    Failure::WrongMember => ProbeResult::Replaced,
                    _ => ProbeResult::Busy,
                };
                (member, None, result)
            }
            Ok(Err(error)) => (member, None, ProbeResult::Failed(error)),
            Err(_) => (member, None, ProbeResult::Failed(MemberError::Timeout)),
        }
    }

    fn record_probe(&self, member: &MemberEntry, result: &ProbeResult) {
        let now_ms = now_ms();
        let mut pool = lock(&self.pool);
        let before = pool.members().get(&member.key).map(|known| {
            (known.failing_since_ms.is_some(), known.status.map(|status| status.is_primary))
        });
        let surplus = match result {
            ProbeResult::Reported(status) => {
                pool.record_status(now_ms, &member.key, Some(*status));
                Vec::new()
            }
            ProbeResult::Busy => {
                pool.record_status(now_ms, &member.key, None);
                Vec::new()
            }
            ProbeResult::Replaced => pool.record_probe_failure(now_ms, &member.key, true),
            ProbeResult::Failed(error) => {
                let is_refused = matches!(error, MemberError::Closed(_));
                pool.record_probe_failure(now_ms, &member.key, is_refused)
            }
        };
        let after = pool.members().get(&member.key).map(|known| {
            (known.failing_since_ms.is_some(), known.status.map(|status| status.is_primary))
        });
        drop(pool);
        drop(surplus);
        if before != after {
            log::info!(
                event = "member_state_changed", service = &*self.name, member = &*member.key.id,
                incarnation = member.key.incarnation, result = format!("{result:?}"); ""
            );
        }
    }

    async fn request_status(
        &self,
        member: &MemberKey,
        connection: &mut MatchedConnection,
    ) -> Result<ProbeResult, MemberError> {
        // A repeat of an earlier status would pass for the present one. The second command tells them
        // apart: its reply is a status then. Repeats of both replies, in their order and while the
        // present ones are on their way, are not noticed.
        let commands = [MemberCommand::Status, MemberCommand::Reset];
        let replies = self.exchange(member, connection, &commands).await?;
        let Some(reply) = replies.first() else {
            return Err(MemberError::Protocol("no reply to the status command".to_owned()));
        };
        match &reply.result {
            Err(_) => Ok(ProbeResult::Busy),
            Ok(_) => match connection.decode_status(reply) {
                Some(status) => Ok(ProbeResult::Reported(status)),
                None => Err(MemberError::Protocol("malformed replication status".to_owned())),
            },
        }
    }
}
