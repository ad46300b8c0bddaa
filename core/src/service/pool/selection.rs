//! Choice of the member that runs a statement, and what is learned of members from their replies.

use crate::load_balance::Candidate;
use crate::load_balance::choose;
use crate::log_position::LogPosition;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::name::Name;
use crate::outcome::Failure;
use crate::service::connection::Connection;
use crate::service::connection_retention::retained_limit;
use crate::service::pool::Pool;
use crate::service::pool::PoolMember;
use crate::service::pool::SlotRequest;
use crate::service::pool::SlotTarget;

/// Window of the rate limit for statements at a cold member, one that is still warming up, in
/// milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;

/// Least expected time of a statement in the comparison of members, in milliseconds. The costs below
/// are relative to it: with it, a replica elsewhere is chosen once the primary next door has more
/// than half of its slots in use, however short the statements are.
const MIN_UNIT_MS: f64 = 10.0;

/// Cost of a connection that must be opened first, in milliseconds. It takes 12 ms, but most of that
/// is paid once for many statements.
const NEW_CONNECTION_MS: f64 = 4.0;

/// The same if an idle connection of another tenant is closed for it, in milliseconds: that tenant may
/// have to open it again. It is less than the cost of a full member, so that a tenant's reads leave
/// the member of its connection once that is much busier.
const EVICTING_CONNECTION_MS: f64 = 8.0;

/// Cost of a read at the primary, whose slots writes need, in milliseconds.
const PRIMARY_MS: f64 = 3.0;

/// Cost of another data centre, in milliseconds: bandwidth between data centres is scarce.
const REMOTE_MS: f64 = 8.0;

/// Cost of a member that fails every statement, in milliseconds, in proportion for one that fails
/// fewer of them.
const FAILURE_MS: f64 = 100.0;

/// Excess over the share of failures of the best member that has no effect: one failure in about ten
/// statements happens by chance.
const FAILURE_TOLERANCE: f64 = 0.15;

/// Ratio of service times up to which a member counts as no slower than the others: the averages of
/// healthy members differ by this much.
const SPEED_TOLERANCE: f64 = 1.3;

/// Ratio of service times, and excess of failures, from which a member is an outlier, which gets one
/// read at a time.
const OUTLIER_RATIO: f64 = 2.5;
const OUTLIER_FAILURES: f64 = 0.35;

/// Share of these bounds below which a member is no longer an outlier, so that it does not change with
/// each statement.
const OUTLIER_END: f64 = 0.8;

/// Shortest time between two reads at an outlier, in milliseconds: a member that fails statements
/// faster than others run them has a free slot most of the time.
const OUTLIER_INTERVAL_MS: u64 = 50;

/// Utilization from which its load grows no faster, so that a member is not avoided because of a
/// moment in which all of its slots were in use.
const MAX_UTILIZATION: f64 = 0.75;

/// The owner's numbers are exact and present, so they need no discount.
const NO_DISCOUNT_MS: f64 = 1.0;

impl<Conn> Pool<Conn>
where
    Conn: Connection,
{
    /// Returns how many slots of a member the owner may use at present.
    pub fn usable_slots(&self, now_ms: u64, key: &MemberKey) -> usize {
        self.members.get(key).map_or(0, |member| member.usable_slots(now_ms))
    }

    /// Records the replies of a member to the commands of one statement. Returns the number of its
    /// usable slots if that was reduced.
    pub fn record_results(
        &mut self,
        now_ms: u64,
        key: &MemberKey,
        replies: &[MemberReply],
    ) -> Option<usize> {
        let failure = replies.iter().find_map(|reply| reply.result.as_ref().err());
        match failure.map(|refusal| refusal.failure) {
            None => self.record_result(now_ms, key, false),
            Some(Failure::Busy) => return self.record_busy(now_ms, key),
            Some(Failure::Lagging | Failure::UnknownPrepared | Failure::TooManyConnections) => {}
            Some(_) => self.record_result(now_ms, key, true),
        }
        None
    }

    /// Returns whether a member is an outlier now, if that has changed since the last call.
    pub fn outlier_change(&mut self, now_ms: u64, key: &MemberKey) -> Option<bool> {
        let is_outlier = self.is_outlier(now_ms, key, self.least_failures(now_ms));
        let member = self.members.get_mut(key)?;
        let was_outlier = std::mem::replace(&mut member.was_outlier, is_outlier);
        (was_outlier != is_outlier).then_some(is_outlier)
    }

    /// Records whether a statement failed at a member.
    pub fn record_result(&mut self, now_ms: u64, key: &MemberKey, has_failed: bool) {
        if let Some(member) = self.members.get_mut(key) {
            member.load.record_result(now_ms, has_failed);
        }
    }

    /// Records that a member refused a statement or a connection as busy: slots of it are in use by
    /// others. Returns the number of its usable slots if that was reduced.
    pub fn record_busy(&mut self, now_ms: u64, key: &MemberKey) -> Option<usize> {
        let member = self.members.get_mut(key)?;
        let (listed, in_flight) = (member.entry.slots, member.in_flight + member.probes);
        let is_lowered = member.usable_slots.lower(now_ms, listed, in_flight);
        is_lowered.then(|| member.usable_slots(now_ms))
    }

    /// Returns the recent share of a member's statements that failed.
    pub fn failure_share(&self, now_ms: u64, key: &MemberKey) -> f64 {
        self.members.get(key).map_or(0.0, |member| member.load.failures(now_ms))
    }

    /// Counts a probe that is sent to a member; it occupies a slot.
    pub fn begin_probe(&mut self, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.probes += 1;
        }
    }

    /// Stops counting a probe.
    pub fn end_probe(&mut self, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.probes = member.probes.saturating_sub(1);
        }
    }

    /// Returns the member that should run a statement now, if one can.
    pub(super) fn select_member(&self, now_ms: u64, request: &SlotRequest) -> Option<MemberKey> {
        match &request.target {
            SlotTarget::Transaction(key) => {
                self.members.get(key)?.has_free_slot(now_ms).then(|| key.clone())
            }
            SlotTarget::Primary => {
                let key = self.primary.as_ref().filter(|_| !self.is_primary_paused)?;
                self.can_accept(now_ms, key, &request.tenant).then(|| key.clone())
            }
            SlotTarget::Reader { floor, excluded } => {
                let mut able: Vec<(&MemberKey, &PoolMember<Conn>)> = self
                    .members
                    .iter()
                    .filter(|(key, member)| {
                        (excluded.as_ref() != Some(key) || self.members.len() == 1)
                            && self.may_serve(now_ms, key, member, *floor)
                            && self.can_accept(now_ms, key, &request.tenant)
                    })
                    .collect();
                if able.is_empty() {
                    return None;
                }
                let least_failures = self.least_failures(now_ms);
                // Without another member for the read it must not wait for the next try.
                let has_alternative = self.members.iter().any(|(key, member)| {
                    excluded.as_ref() != Some(key)
                        && self.may_serve(now_ms, key, member, *floor)
                        && !self.is_outlier(now_ms, key, least_failures)
                });
                able.retain(|(key, member)| {
                    !has_alternative
                        || self.may_try(now_ms, member)
                        || !self.is_outlier(now_ms, key, least_failures)
                });
                let candidates: Vec<Candidate> = able
                    .iter()
                    .map(|(key, member)| {
                        self.candidate(now_ms, key, member, request, least_failures)
                    })
                    .collect();
                let chosen = choose(&candidates, NO_DISCOUNT_MS, &mut *self.random.borrow_mut())?;
                Some(able[chosen].0.clone())
            }
        }
    }

    fn candidate(
        &self,
        now_ms: u64,
        key: &MemberKey,
        member: &PoolMember<Conn>,
        request: &SlotRequest,
        least_failures: f64,
    ) -> Candidate {
        let slots = member.usable_slots(now_ms);
        let in_flight = member.in_flight + member.probes;
        let recent = member.load.utilization(now_ms, member.in_flight, member.entry.slots);
        let ratio = self.service_times.member_ratio(now_ms, key) / SPEED_TOLERANCE;
        let cost = |applies: bool, cost_ms: f64| if applies { cost_ms } else { 0.0 };
        let failures = member.load.failures(now_ms) - least_failures - FAILURE_TOLERANCE;
        let retained = retained_limit(self.connection_limit(), member.entry.slots);
        let connect_ms = match member.open_connections < retained {
            true => NEW_CONNECTION_MS,
            false => EVICTING_CONNECTION_MS,
        };
        let extra_ms = cost(!member.has_idle(&request.tenant), connect_ms)
            + cost(self.primary.as_ref() == Some(key), PRIMARY_MS)
            + cost(member.entry.zone != self.zone, REMOTE_MS)
            + failures.max(0.0) * FAILURE_MS;
        Candidate {
            reported_load: 0.0,
            report_age_ms: 0,
            // A member that is idle just now but was busier before than others is no better.
            own_load: (in_flight as f64).max(queueing_load(recent) * slots as f64),
            slots: slots as f64,
            unit_ms: self.service_times.route_ms(&request.route).max(MIN_UNIT_MS) * ratio.max(1.0),
            extra_ms,
        }
    }

    fn least_failures(&self, now_ms: u64) -> f64 {
        let healthy = self.members.values().filter(|member| member.failing_since_ms.is_none());
        let shares = healthy.map(|member| member.load.failures(now_ms));
        shares.reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns whether a member may get a read even if it is an outlier: it has no running statements,
    /// and had none for a while, unless no end of another statement will offer the read a slot again.
    fn may_try(&self, now_ms: u64, member: &PoolMember<Conn>) -> bool {
        let was_left_alone = now_ms >= member.granted_at_ms + OUTLIER_INTERVAL_MS;
        member.in_flight == 0
            && (was_left_alone || self.members.values().all(|other| other.in_flight == 0))
    }

    /// Returns whether a member is much slower than the others, or fails many more statements.
    fn is_outlier(&self, now_ms: u64, key: &MemberKey, least_failures: f64) -> bool {
        let Some(member) = self.members.get(key) else { return false };
        let scale = if member.was_outlier { OUTLIER_END } else { 1.0 };
        member.load.failures(now_ms) - least_failures > OUTLIER_FAILURES * scale
            || self.service_times.member_ratio(now_ms, key) > OUTLIER_RATIO * scale
    }

    /// Returns whether a member may serve a read with this floor once it has a free slot.
    fn may_serve(
        &self,
        now_ms: u64,
        key: &MemberKey,
        member: &PoolMember<Conn>,
        floor: LogPosition,
    ) -> bool {
        let is_primary = self.primary.as_ref() == Some(key);
        !member.must_leave
            && member.failing_since_ms.is_none()
            && (is_primary || member.may_include(now_ms, floor))
            && (!is_primary || !self.is_primary_paused)
    }

    fn can_accept(&self, now_ms: u64, key: &MemberKey, tenant: &Name) -> bool {
        let Some(member) = self.members.get(key) else { return false };
        !member.must_leave
            && member.failing_since_ms.is_none()
            && member.has_free_slot(now_ms)
            && (member.has_idle(tenant) || member.may_connect(now_ms, self.connection_limit()))
            && self.may_grant_cold(now_ms, member)
    }

    fn may_grant_cold(&self, now_ms: u64, member: &PoolMember<Conn>) -> bool {
        if self.cold_per_s <= 0.0 || now_ms >= member.cold_until_ms {
            return true;
        }
        let is_recent = |at_ms: &&u64| **at_ms + COLD_WINDOW_MS > now_ms;
        let recent = member.cold_grants.iter().filter(is_recent).count();
        (recent as f64) < self.cold_per_s
    }
}

/// Returns the load, as a share of the slots, by which a recent utilization counts. As in a queue, it
/// grows faster than the utilization, so that the preferences among members matter less the busier
/// they are.
fn queueing_load(utilization: f64) -> f64 {
    utilization / (1.0 - utilization.min(MAX_UTILIZATION))
}

impl<Conn> PoolMember<Conn> {
    /// Counts a statement that starts at the member.
    pub(super) fn begin_statement(&mut self, now_ms: u64) {
        self.load.record_in_flight(now_ms, self.in_flight, self.entry.slots);
        if self.in_flight == 0 {
            self.busy_since_ms = now_ms;
        }
        self.in_flight += 1;
        self.granted_at_ms = now_ms;
        if now_ms < self.cold_until_ms {
            self.cold_grants.push_back(now_ms);
            while self.cold_grants.front().is_some_and(|at| at + COLD_WINDOW_MS <= now_ms) {
                self.cold_grants.pop_front();
            }
        }
    }

    /// Counts the end of a statement.
    pub(super) fn end_statement(&mut self, now_ms: u64) {
        self.load.record_in_flight(now_ms, self.in_flight, self.entry.slots);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.busy_since_ms = now_ms;
    }
}
