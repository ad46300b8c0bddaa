//! When a primary is replaced and by which member, free of input and output.

use crate::log_position::LogPosition;
use crate::member::MemberKey;
use crate::member::MemberStatus;

/// Time for which a primary that nobody listens for must fail before it is replaced, in
/// milliseconds: a process that restarts at once refuses connections for less.
pub const REFUSED_LIMIT_MS: u64 = 300;

/// Time for which a primary must be silent before it is replaced, in milliseconds: longer than
/// a probe with its timeout, repeated.
pub const SILENT_LIMIT_MS: u64 = 750;

/// Longest wait of a new owner for a member that says it is primary, in milliseconds.
const SEARCH_LIMIT_MS: u64 = 600;

/// A member as the owner of its service sees it.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Which life of which member.
    pub key: MemberKey,
    /// Whether it must get no new work: it is draining, or its data centre is out.
    pub must_leave: bool,
    /// Since when probes have failed, if the last one did.
    pub failing_since_ms: Option<u64>,
    /// Whether the last probe found nobody listening.
    pub is_refused: bool,
    /// The last account of itself.
    pub status: Option<MemberStatus>,
}

/// What to do about a service's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Keep,
    /// A member leads that is not known as primary yet.
    Adopt(MemberKey),
    /// The primary does not answer this node; it is to be replaced unless another node reaches it.
    Replace(MemberKey),
    /// The primary must leave; it is to be replaced after this member has caught up.
    Move(MemberKey),
}

/// Decides about the primary of a service. `known` is the primary in use,
/// `without_primary_since_ms` the moment since which there has been none, and `served_term` the
/// newest term that the owner has served: a member that leads an older one has been replaced.
pub fn decide(
    now_ms: u64,
    known: Option<&MemberKey>,
    without_primary_since_ms: u64,
    served_term: u64,
    members: &[MemberView],
) -> Decision {
    let told = members.iter().filter_map(|member| Some(member.status?.term));
    let newest_term = told.chain([served_term]).max();
    let leader = members.iter().find(|member| {
        member.failing_since_ms.is_none()
            && member
                .status
                .is_some_and(|status| status.is_primary && Some(status.term) == newest_term)
    });
    if let Some(leader) = leader {
        if known != Some(&leader.key) {
            return Decision::Adopt(leader.key.clone());
        }
        if !leader.must_leave {
            return Decision::Keep;
        }
        return successor(members, &leader.key).map_or(Decision::Keep, Decision::Move);
    }
    let suspect = known.and_then(|key| members.iter().find(|member| member.key == *key));
    let is_over = match suspect {
        Some(member) => match member.failing_since_ms {
            Some(since_ms) => {
                let limit_ms = match member.is_refused {
                    true => REFUSED_LIMIT_MS,
                    false => SILENT_LIMIT_MS,
                };
                now_ms >= since_ms + limit_ms
            }
            None => now_ms >= without_primary_since_ms + SEARCH_LIMIT_MS,
        },
        None => now_ms >= without_primary_since_ms + SEARCH_LIMIT_MS,
    };
    if !is_over {
        return Decision::Keep;
    }
    let present = suspect.map(|member| &member.key);
    let nobody = MemberKey { id: "".into(), incarnation: 0 };
    successor(members, present.unwrap_or(&nobody)).map_or(Decision::Keep, Decision::Replace)
}

/// Returns the member with the newest log among those that answer and may stay.
fn successor(members: &[MemberView], except: &MemberKey) -> Option<MemberKey> {
    let rank = |member: &&MemberView| member.status.map_or(LogPosition::default(), |s| s.position);
    members
        .iter()
        .filter(|member| member.key != *except && !member.must_leave)
        .filter(|member| member.failing_since_ms.is_none() && member.status.is_some())
        .max_by_key(rank)
        .map(|member| member.key.clone())
}
