//! Decides when the primary of a service is replaced, and by which member. Performs no input or
//! output.

use crate::log_position::LogPosition;
use crate::member::MemberKey;
use crate::member::MemberStatus;

/// Time for which a primary must refuse connections before it is replaced, in milliseconds: a
/// process that restarts at once refuses connections for a shorter time.
pub const REFUSED_LIMIT_MS: u64 = 300;

/// Time for which a primary must leave probes unanswered before it is replaced, in milliseconds:
/// longer than two probes that time out.
pub const SILENT_LIMIT_MS: u64 = 750;

/// Longest wait for a member that reports to be primary, in milliseconds, while the owner knows no
/// primary, or while the known one answers but no longer leads.
const SEARCH_LIMIT_MS: u64 = 600;

/// State of a member as known to the owner of its service.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Member and its incarnation.
    pub key: MemberKey,
    /// Whether it must get no new work: it is draining, or its data centre is evacuated.
    pub must_leave: bool,
    /// Time since which all probes have failed, if the last one did.
    pub failing_since_ms: Option<u64>,
    /// Whether the last probe was refused because nothing listens at the address.
    pub is_refused: bool,
    /// Replication state that the member last reported.
    pub status: Option<MemberStatus>,
    /// Newest log position that it has reported.
    pub position: LogPosition,
    /// Time at which it last reported a log position.
    pub position_at_ms: u64,
    /// Whether the last order to promote it was refused or had no effect.
    pub is_unpromotable: bool,
}

impl MemberView {
    /// Returns whether the member answers and has reported its replication state.
    pub fn answers(&self) -> bool {
        self.failing_since_ms.is_none() && self.status.is_some()
    }

    /// Returns whether it has reported no log entry, as a member that has started anew.
    pub fn is_empty(&self) -> bool {
        self.position == LogPosition::default()
    }

    /// Returns the newest term that the member follows, and its log position. A log is newer than
    /// another one if this is greater.
    pub fn log(&self) -> (u64, LogPosition) {
        let held_term = self.status.map_or(0, |status| status.term);
        (held_term.max(self.position.term), self.position)
    }

    /// Returns whether the member reports that it is a replica. An order may have no effect for a
    /// former primary, so a replica with the same log is preferred.
    pub fn is_replica(&self) -> bool {
        self.status.is_some_and(|status| !status.is_primary)
    }
}

/// What to do about a service's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Leave the primary as it is.
    Keep,
    /// Use this member as primary: it leads the newest term and is not the primary in use.
    Adopt(MemberKey),
    /// Probe the members before a choice: some have not reported their log since the primary was last
    /// known to lead, and may have received more, or a newer term, since.
    Probe,
    /// Replace a primary that this node does not reach, unless another node reaches that primary.
    /// Of the members that may stay in the service, this one has the newest log.
    Replace(MemberKey),
    /// Promote this member, once it has caught up, in place of a primary that must leave.
    Move(MemberKey),
}

/// Returns whether the primary in use leads a newer term than the one that it is used in: it has been
/// replaced and promoted again since.
pub fn leads_newer_term(known: Option<&MemberKey>, used_term: u64, members: &[MemberView]) -> bool {
    let primary = known.and_then(|key| members.iter().find(|member| member.key == *key));
    let status = primary.and_then(|member| member.status);
    status.is_some_and(|status| status.is_primary && status.term > used_term)
}

/// Returns since when the primary in use is not known to lead. Logs are compared by reports from then
/// on.
pub fn leaderless_since_ms(
    known: Option<&MemberKey>,
    without_primary_since_ms: u64,
    members: &[MemberView],
) -> u64 {
    let primary = known.and_then(|key| members.iter().find(|member| member.key == *key));
    let failing_since_ms = primary.and_then(|member| member.failing_since_ms);
    failing_since_ms.unwrap_or(without_primary_since_ms)
}

/// Decides what to do about the primary of a service. `known` is the primary in use,
/// `without_primary_since_ms` the time since which there has been none, and `min_term` the newest term
/// that an owner has served or has ordered a promotion for: a member that leads an older term has
/// been replaced, or is about to be.
pub fn decide(
    now_ms: u64,
    known: Option<&MemberKey>,
    without_primary_since_ms: u64,
    min_term: u64,
    members: &[MemberView],
) -> Decision {
    let reported_terms = members.iter().filter_map(|member| Some(member.status?.term));
    let newest_term = reported_terms.chain([min_term]).max();
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
        return successor(members, Some(&leader.key)).map_or(Decision::Keep, Decision::Move);
    }
    let suspect = known.and_then(|key| members.iter().find(|member| member.key == *key));
    let leaderless_since_ms = leaderless_since_ms(known, without_primary_since_ms, members);
    let is_limit_reached = match suspect {
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
    if !is_limit_reached {
        return Decision::Keep;
    }
    let current = suspect.map(|member| &member.key);
    let mut others = members.iter().filter(|member| Some(&member.key) != current);
    if others.any(|member| member.answers() && member.position_at_ms < leaderless_since_ms) {
        return Decision::Probe;
    }
    successor(members, current).map_or(Decision::Keep, Decision::Replace)
}

/// Returns the members that answer and need not leave.
fn candidates<'a>(
    members: &'a [MemberView],
    except: Option<&'a MemberKey>,
) -> impl Iterator<Item = &'a MemberView> {
    members
        .iter()
        .filter(move |member| Some(&member.key) != except && !member.must_leave)
        .filter(|member| member.answers())
}

/// Returns the candidate with the newest log. One whose promotion had no effect is the last choice.
fn successor(members: &[MemberView], except: Option<&MemberKey>) -> Option<MemberKey> {
    let rank = |member: &&MemberView| (!member.is_unpromotable, member.log(), member.is_replica());
    candidates(members, except).max_by_key(rank).map(|member| member.key.clone())
}
