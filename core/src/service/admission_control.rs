//! Admission of calls at the owner: checks, replies and log lines.

use crate::admission::refusal::AdmissionRefusal;
use crate::admission::refusal::RefusalReason;
use crate::clock::now_ms;
use crate::outcome::Failure;
use crate::relay::CallReply;
use crate::service::OwnedService;
use crate::service::pool::SlotRequest;
use crate::service::pool::SlotTarget;
use crate::service::pool::admission::Arrival;
use crate::service::runner::TimedCall;
use crate::service::runner::refusal_reply;
use crate::sync::lock;

/// Time after which a caller may try again while the service waits for a member with the acknowledged
/// commits, in milliseconds: members that return do so within seconds.
const COMMIT_WAIT_RETRY_MS: u64 = 1_000;

/// Why a statement got no slot.
pub(super) enum AcquireError {
    /// No slot can become free in time, or none did.
    Refused(AdmissionRefusal),
    /// The service closes.
    Closed,
}

impl TimedCall {
    /// Returns what the statement needs.
    pub(super) fn slot_request(&self, target: SlotTarget) -> SlotRequest {
        SlotRequest {
            target,
            tenant: self.call.tenant.clone(),
            route: self.call.route.clone(),
            objective_at_ms: self.objective_at_ms,
            priority: self.call.priority,
        }
    }

    /// Returns when the statement arrived and how long it may wait.
    pub(super) fn arrival(&self) -> Arrival {
        Arrival {
            arrived_at_ms: self.arrived_at_ms,
            queue_until_ms: self.queue_until_ms,
            kept_place: self.kept_place,
        }
    }
}

impl OwnedService {
    /// Refuses a call whose statement could not be served in time.
    pub(super) fn check_admission(&self, timed: &TimedCall) -> Option<CallReply> {
        let target = self.slot_target(&timed.call, None, false);
        let needs_primary =
            target.as_ref().is_none_or(|(target, _)| *target == SlotTarget::Primary);
        if needs_primary && lock(&self.state).commit_protection.is_unlimited() {
            let detail = format!(
                "no member that answers is known to have every acknowledged commit; \
                 retry after {COMMIT_WAIT_RETRY_MS} ms"
            );
            return Some(refusal_reply(Failure::Busy, &detail));
        }
        let (target, _) = target?;
        let request = timed.slot_request(target);
        let checked = lock(&self.pool).check_admission(now_ms(), &request, timed.arrival());
        checked.map(|refusal| self.refused_reply(timed, refusal))
    }

    /// Returns the reply for a statement that got no slot.
    pub(super) fn not_acquired_reply(&self, timed: &TimedCall, error: AcquireError) -> CallReply {
        match error {
            AcquireError::Refused(refusal) if self.is_open() => self.refused_reply(timed, refusal),
            AcquireError::Closed if self.is_open() => {
                refusal_reply(Failure::Busy, "no slot became free in time")
            }
            _ => CallReply::NotOwner { owner: None },
        }
    }

    fn refused_reply(&self, timed: &TimedCall, refusal: AdmissionRefusal) -> CallReply {
        let AdmissionRefusal { reason, expected_wait_ms, retry_after_ms } = refusal;
        self.log_refusal(timed, refusal);
        let detail = match reason {
            RefusalReason::Expired => {
                format!("no slot became free in time; retry after {retry_after_ms} ms")
            }
            _ => format!(
                "the service is overloaded, the expected wait is {expected_wait_ms} ms; \
                 retry after {retry_after_ms} ms"
            ),
        };
        refusal_reply(Failure::Busy, &detail)
    }

    fn log_refusal(&self, timed: &TimedCall, refusal: AdmissionRefusal) {
        let now_ms = now_ms();
        let level = match lock(&self.refusal_log).may_log(now_ms) {
            true => log::Level::Info,
            false => log::Level::Debug,
        };
        if !log::log_enabled!(level) {
            return;
        }
        let (members, waiting) = {
            let pool = lock(&self.pool);
            (pool.describe_members(now_ms), pool.waiting())
        };
        let call = &timed.call;
        log::log!(
            level,
            event = "admission_refused", id = call.action.id(), service = &*self.name,
            tenant = &*call.tenant, route = &*call.route, level = call.priority,
            reason = refusal.reason.label(), expected_wait_ms = refusal.expected_wait_ms,
            retry_after_ms = refusal.retry_after_ms, waiting = waiting, members = members; ""
        );
    }
}
