//! Asks members how they are.

use std::collections::HashMap;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::member::MemberConnection;
use crate::member::MemberEntry;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::outcome::Failure;
use crate::service::OwnedService;
use crate::sync::lock;

/// Longest wait for a member's account of itself: several times what one statement takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Name that members are told for connections of the system's own.
pub(crate) const SYSTEM_TENANT: &str = "snipehead";

/// Connections for probes, one to each member.
#[derive(Default)]
pub(super) struct ProbeLinks {
    links: HashMap<MemberKey, Box<dyn MemberConnection>>,
}

/// How a probe ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Probed {
    /// The member told its state.
    Told(MemberStatus),
    /// It answers, but is too busy to tell.
    Busy,
    /// Another member answers there.
    Replaced,
    /// It does not answer.
    Failed(MemberError),
}

impl OwnedService {
    /// Probes members at the same time and takes note of the results.
    pub(super) async fn probe(&self, links: &mut ProbeLinks, members: Vec<MemberEntry>) {
        let probes = members.into_iter().map(|member| {
            let link = links.links.remove(&member.key);
            self.probe_one(link, member)
        });
        for (member, link, probed) in join_all(probes).await {
            self.note_probe(&member, &probed);
            if let Some(link) = link {
                links.links.insert(member.key.clone(), link);
            }
        }
    }

    async fn probe_one(
        &self,
        link: Option<Box<dyn MemberConnection>>,
        member: MemberEntry,
    ) -> (MemberEntry, Option<Box<dyn MemberConnection>>, Probed) {
        if let Some(mut link) = link {
            let asked = tokio::time::timeout(PROBE_TIMEOUT, ask(&mut link)).await;
            if let Ok(Ok(probed)) = asked {
                return (member, Some(link), probed);
            }
        }
        let probing = async {
            let mut link = self.border.connector.connect(&member, SYSTEM_TENANT).await?;
            let probed = ask(&mut link).await?;
            Ok((link, probed))
        };
        match tokio::time::timeout(PROBE_TIMEOUT, probing).await {
            Ok(Ok((link, probed))) => (member, Some(link), probed),
            Ok(Err(MemberError::Refused(refusal))) => {
                let probed = match refusal.failure {
                    Failure::WrongMember => Probed::Replaced,
                    _ => Probed::Busy,
                };
                (member, None, probed)
            }
            Ok(Err(error)) => (member, None, Probed::Failed(error)),
            Err(_) => (member, None, Probed::Failed(MemberError::Timeout)),
        }
    }

    fn note_probe(&self, member: &MemberEntry, probed: &Probed) {
        let now_ms = now_ms();
        let mut pool = lock(&self.pool);
        let before = pool.members().get(&member.key).map(|known| {
            (known.failing_since_ms.is_some(), known.status.map(|status| status.is_primary))
        });
        let surplus = match probed {
            Probed::Told(status) => {
                pool.probed(now_ms, &member.key, Some(*status));
                Vec::new()
            }
            Probed::Busy => {
                pool.probed(now_ms, &member.key, None);
                Vec::new()
            }
            Probed::Replaced => pool.probe_failed(now_ms, &member.key, true),
            Probed::Failed(error) => {
                let is_refused = matches!(error, MemberError::Closed(_));
                pool.probe_failed(now_ms, &member.key, is_refused)
            }
        };
        let after = pool.members().get(&member.key).map(|known| {
            (known.failing_since_ms.is_some(), known.status.map(|status| status.is_primary))
        });
        drop(pool);
        drop(surplus);
        if before != after {
            log::info!(
                event = "member_probed", service = &*self.name, member = &*member.key.id,
                born = member.key.incarnation, result = format!("{probed:?}"); ""
            );
        }
    }
}

async fn ask(link: &mut Box<dyn MemberConnection>) -> Result<Probed, MemberError> {
    let replies = link.exchange(&[MemberCommand::Status]).await?;
    let Some(reply) = replies.first() else {
        return Err(MemberError::Protocol("no reply to a status command".to_owned()));
    };
    match &reply.result {
        Err(_) => Ok(Probed::Busy),
        Ok(_) => match link.decode_status(reply) {
            Some(status) => Ok(Probed::Told(status)),
            None => Err(MemberError::Protocol("status cannot be read".to_owned())),
        },
    }
}
