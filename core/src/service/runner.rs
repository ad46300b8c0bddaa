//! Runs statements at members, retries those that certainly had no effect, and reports the outcome,
//! which may be unknown.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::waiting_statement::KeptPlace;
use crate::clock::now_ms;
use crate::log_position::LogPosition;
use crate::member::MemberCommand;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::name::Name;
use crate::outcome::Answer;
use crate::outcome::BlockState;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::relay::Call;
use crate::relay::CallAction;
use crate::relay::CallReply;
use crate::relay::ReadRequirement;
use crate::reply_mismatch::Mismatch;
use crate::service::AcquiredSlot;
use crate::service::OwnedService;
use crate::service::borrowed::BorrowedConnection;
use crate::service::borrowed::SlotGuard;
use crate::service::connection::PooledConnection;
use crate::service::pool::SlotTarget;
use crate::service::pool::WritePermit;
use crate::statement::Access;
use crate::sync::lock;

/// Most attempts for one statement: each of three members once, and one of them again.
const MAX_ATTEMPTS: u32 = 4;

/// Number of lagging replies after which a read goes to the primary: one from each replica of a
/// service with three members.
const MAX_LAGGING_REPLIES: u32 = 2;

/// Pause before another attempt after a busy reply, and between two checks for a primary.
pub(super) const BUSY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A call with its time limits as points on this node's clock, in milliseconds.
pub(super) struct TimedCall {
    pub(super) call: Call,
    pub(super) deadline_at_ms: u64,
    pub(super) arrived_at_ms: u64,
    pub(super) queue_until_ms: u64,
    pub(super) objective_at_ms: u64,
    /// Place in the queue that the statement keeps if it is repeated.
    pub(super) kept_place: Option<KeptPlace>,
}

/// An attempt with everything that it needs to send its statement.
pub(super) struct StartedAttempt {
    pub(super) borrowed: BorrowedConnection,
    pub(super) slot: SlotGuard,
    /// Permit for writes, if the member is the primary.
    pub(super) write_permit: Option<WritePermit>,
    /// Position that the member's log must include.
    pub(super) floor: Option<LogPosition>,
}

/// Whether the success of a statement is the acknowledgement of a commit.
#[derive(Clone, Copy)]
pub(super) enum Acknowledges<'a> {
    /// It is not: the statement only read, or the transaction goes on.
    Nothing,
    /// It is, and the commit was sent with this permit, if there was one.
    Commit(Option<&'a WritePermit>),
}

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// Reply for the caller.
    Final(CallReply),
    /// The statement had no effect, and another attempt may succeed.
    Retry {
        /// Member to avoid in the next attempt.
        excluded: Option<MemberKey>,
        /// Reply for the caller if there is no further attempt.
        refusal: Refusal,
    },
}

/// Returns whether a call writes or starts a transaction that may write.
fn needs_primary(call: &Call) -> bool {
    match (&call.begin, &call.action) {
        (Some(begin), _) => !begin.is_read_only,
        (None, CallAction::Run(statement)) => statement.access == Access::Write,
        (None, _) => true,
    }
}

pub(super) fn refusal_reply(failure: Failure, detail: &str) -> CallReply {
    CallReply::Refused(Refusal::new(failure, detail))
}

impl OwnedService {
    /// Runs a call, in its open transaction if it names one.
    pub async fn run(self: &Arc<Self>, call: Call) -> CallReply {
        let now_ms = now_ms();
        let timed = TimedCall {
            deadline_at_ms: now_ms.saturating_add(call.deadline_ms),
            queue_until_ms: now_ms.saturating_add(call.max_queue_ms.min(call.deadline_ms)),
            objective_at_ms: now_ms.saturating_add(call.objective_ms),
            arrived_at_ms: now_ms,
            kept_place: None,
            call,
        };
        match timed.call.transaction {
            Some(id) => self.run_in_transaction(id, timed).await,
            None => self.run_with_retries(timed).await,
        }
    }

    async fn run_with_retries(self: &Arc<Self>, mut timed: TimedCall) -> CallReply {
        if !self.is_open() {
            return CallReply::NotOwner { owner: None };
        }
        // A statement that cannot be served costs its tenant no token.
        if let Some(reply) = self.check_admission(&timed) {
            return reply;
        }
        if timed.call.starts_operation
            && let Some(reply) = self.check_rate(&timed.call).await
        {
            return reply;
        }
        let mut excluded = None;
        let mut lagging = 0;
        let mut refusal = Refusal::new(Failure::Busy, "no member could take the statement in time");
        for _ in 0..MAX_ATTEMPTS {
            if now_ms() >= timed.queue_until_ms {
                break;
            }
            let must_use_primary = lagging >= MAX_LAGGING_REPLIES;
            match self.attempt(&mut timed, excluded.take(), must_use_primary).await {
                AttemptOutcome::Final(reply) => return reply,
                AttemptOutcome::Retry { excluded: failed, refusal: latest } => {
                    if latest.failure == Failure::Busy {
                        tokio::time::sleep(BUSY_RETRY_DELAY).await;
                    }
                    lagging += u32::from(latest.failure == Failure::Lagging);
                    excluded = failed;
                    refusal = latest;
                }
            }
            if !self.is_open() {
                return CallReply::NotOwner { owner: None };
            }
        }
        CallReply::Refused(refusal)
    }

    async fn check_rate(&self, call: &Call) -> Option<CallReply> {
        let wait_ms = self.context.node.admit_operation(&call.tenant, call.priority).await.err()?;
        self.context.metrics.record_refused(&call.tenant, "rate");
        log::debug!(
            event = "rate_limit_exceeded", id = call.action.id(), tenant = &*call.tenant,
            wait_ms = wait_ms; ""
        );
        let detail = format!("the rate limit of the tenant is exceeded; retry after {wait_ms} ms");
        Some(refusal_reply(Failure::Busy, &detail))
    }

    /// Returns which members may run a statement, and the position that their log must include;
    /// `None` until a primary has been adopted.
    pub(super) fn slot_target(
        &self,
        call: &Call,
        excluded: Option<MemberKey>,
        must_use_primary: bool,
    ) -> Option<(SlotTarget, LogPosition)> {
        let state = lock(&self.state);
        let history = state.history.as_ref()?;
        let required = match call.read_requirement {
            ReadRequirement::BoundedStaleness { max_staleness_ms, floor }
                if !needs_primary(call) && !must_use_primary =>
            {
                let by_age = history.floor(now_ms(), max_staleness_ms);
                let own_writes = floor.map(|floor| history.rebase(floor)).unwrap_or_default();
                let floor = by_age.max(own_writes);
                (SlotTarget::Reader { floor, excluded }, floor)
            }
            _ => (SlotTarget::Primary, history.newest()),
        };
        Some(required)
    }

    async fn attempt(
        self: &Arc<Self>,
        timed: &mut TimedCall,
        excluded: Option<MemberKey>,
        must_use_primary: bool,
    ) -> AttemptOutcome {
        let call = &timed.call;
        let Some((target, floor)) = self.slot_target(call, excluded, must_use_primary) else {
            return self.wait_for_primary(timed).await;
        };
        let acquired = self.acquire(timed.slot_request(target), timed.arrival()).await;
        let AcquiredSlot { slot, mut grant, place } = match acquired {
            Ok(acquired) => acquired,
            Err(error) => return AttemptOutcome::Final(self.not_acquired_reply(timed, error)),
        };
        timed.kept_place = place;
        let Some(granted) = grant.grant() else {
            return AttemptOutcome::Final(refusal_reply(
                Failure::Busy,
                "the slot is not granted any more",
            ));
        };
        let write_permit = granted.write_permit.clone();
        let member = granted.member.clone();
        let idle = granted.connection.take();
        let connection = match self.usable_connection(call, &member.key, idle) {
            Some(connection) => connection,
            None => match self.context.connector.connect(&member, &call.tenant).await {
                Ok(inner) => {
                    self.context.metrics.record_connection();
                    PooledConnection::new(inner, call.tenant.clone())
                }
                Err(error) => {
                    drop(grant);
                    return self.handle_connect_failure(&member.key, &error);
                }
            },
        };
        let Some(borrowed) = grant.borrow(connection) else {
            return AttemptOutcome::Final(refusal_reply(
                Failure::Busy,
                "the slot is not granted any more",
            ));
        };
        if !self.has_valid_lease() {
            borrowed.return_to_pool();
            return AttemptOutcome::Final(CallReply::NotOwner { owner: None });
        }
        if needs_primary(call) && !self.is_permitted(write_permit.as_ref()) {
            borrowed.return_to_pool();
            let refusal = Refusal::new(Failure::Busy, "the primary of the service is changing");
            return AttemptOutcome::Retry { excluded: None, refusal };
        }
        // The log of the primary includes every acknowledged position.
        let floor = (write_permit.is_none() && floor != LogPosition::default()).then_some(floor);
        let started = StartedAttempt { borrowed, slot, write_permit, floor };
        match &call.begin {
            Some(begin) => self.begin_transaction(timed, begin, started).await,
            None => self.run_single(timed, started).await,
        }
    }

    /// Returns an idle connection unless it must not be used for the call.
    fn usable_connection(
        &self,
        call: &Call,
        member: &MemberKey,
        idle: Option<PooledConnection>,
    ) -> Option<PooledConnection> {
        let mut connection = idle?;
        match connection.inner.discard_repeats() {
            Ok(()) if !connection.inner.is_reusable() => {
                self.report_mismatch(member, call.action.id(), Mismatch::Repeated);
                None
            }
            Ok(()) => {
                let may_be_in_doubt = needs_primary(call) && connection.inner.has_failed();
                let can_begin = call.begin.is_none() || {
                    let pool = lock(&self.pool);
                    let known = pool.members().get(member).map(|member| member.position);
                    connection.inner.can_begin(known.unwrap_or_default())
                };
                (can_begin && !may_be_in_doubt).then_some(connection)
            }
            Err(MemberError::Mismatched(mismatch)) => {
                self.report_mismatch(member, call.action.id(), mismatch);
                None
            }
            // A write on it would have an unknown outcome.
            Err(error) => {
                self.suspect_member(member, &error.to_string());
                None
            }
        }
    }

    /// Waits until a primary has been adopted, the statement may wait no longer, or the service
    /// closes.
    async fn wait_for_primary(&self, timed: &TimedCall) -> AttemptOutcome {
        while now_ms() < timed.queue_until_ms {
            tokio::time::sleep(BUSY_RETRY_DELAY).await;
            if lock(&self.state).history.is_some() {
                break;
            }
            if !self.is_open() {
                return AttemptOutcome::Final(CallReply::NotOwner { owner: None });
            }
        }
        let refusal = Refusal::new(Failure::Busy, "the primary of the service is not known yet");
        AttemptOutcome::Retry { excluded: None, refusal }
    }

    fn handle_connect_failure(&self, member: &MemberKey, error: &MemberError) -> AttemptOutcome {
        let lowered = lock(&self.pool).record_connect_failure(now_ms(), member, error);
        self.report_lowered_slots(member, lowered);
        log::info!(
            event = "member_connect_failed", service = &*self.name, member = &*member.id,
            error = error.to_string(); ""
        );
        match error {
            MemberError::Refused(refusal) if refusal.failure != Failure::WrongMember => {}
            _ => self.suspect_member(member, &error.to_string()),
        }
        let refusal = Refusal::new(Failure::Busy, "the connection to the member failed");
        AttemptOutcome::Retry { excluded: Some(member.clone()), refusal }
    }

    async fn run_single(
        self: &Arc<Self>,
        timed: &TimedCall,
        started: StartedAttempt,
    ) -> AttemptOutcome {
        let StartedAttempt { mut borrowed, slot, write_permit, floor } = started;
        let CallAction::Run(statement) = &timed.call.action else {
            borrowed.return_to_pool();
            return AttemptOutcome::Final(refusal_reply(
                Failure::Malformed,
                "no transaction is open",
            ));
        };
        let id = statement.id.clone();
        let is_read = statement.access == Access::Read;
        let values = &timed.call.values;
        let commands = borrowed
            .connection()
            .map(|connection| connection.statement_commands(values, statement, floor, true))
            .unwrap_or_default();
        let member = borrowed.member.key.clone();
        let exchanged = borrowed.exchange(&commands, timed.deadline_at_ms, is_read).await;
        drop(slot);
        let reply = match last_reply(exchanged, &commands) {
            Ok(reply) => reply,
            Err(MemberError::TooLarge(reason)) if is_read => {
                return AttemptOutcome::Final(refusal_reply(Failure::TooLarge, reason));
            }
            Err(error) if is_read => {
                let refusal = Refusal::new(
                    Failure::Aborted,
                    &format!("exchange with the member failed: {error}"),
                );
                return AttemptOutcome::Retry { excluded: Some(member), refusal };
            }
            Err(error) => {
                self.log_unknown_outcome(&id, &member, &error);
                let detail =
                    format!("write may have run: exchange with the member failed: {error}");
                return AttemptOutcome::Final(refusal_reply(Failure::InDoubt, &detail));
            }
        };
        let acknowledges = match is_read {
            true => Acknowledges::Nothing,
            false => Acknowledges::Commit(write_permit.as_ref()),
        };
        let result = self.acknowledge_reply(&reply, acknowledges);
        match result {
            Ok(answer) => {
                if reply.block == BlockState::Idle {
                    borrowed.return_to_pool();
                }
                AttemptOutcome::Final(CallReply::Done { answer, transaction: None })
            }
            Err(refusal) => self.handle_refusal(refusal, is_read, &reply, borrowed),
        }
    }

    pub(super) fn handle_refusal(
        &self,
        refusal: Refusal,
        is_read: bool,
        reply: &MemberReply,
        borrowed: BorrowedConnection,
    ) -> AttemptOutcome {
        let member = borrowed.member.key.clone();
        if reply.block == BlockState::Idle && refusal.failure != Failure::UnknownPrepared {
            borrowed.return_to_pool();
        }
        let excluded = match refusal.failure {
            Failure::Lagging => {
                lock(&self.pool).record_lag(now_ms(), &member);
                Some(member)
            }
            Failure::ReadOnly | Failure::WrongMember => {
                self.suspect_member(&member, refusal.failure.label());
                None
            }
            Failure::Failed if is_read => Some(member),
            failure if failure.was_not_executed() => None,
            _ => return AttemptOutcome::Final(CallReply::Refused(refusal)),
        };
        AttemptOutcome::Retry { excluded, refusal }
    }

    /// Returns whether a write with this permit may be sent or acknowledged.
    pub(super) fn is_permitted(&self, permit: Option<&WritePermit>) -> bool {
        permit.is_some_and(|permit| lock(&self.pool).is_permitted(permit))
    }

    /// Converts a member's reply to an answer. A commit is added to the commit history and counts as
    /// acknowledged from then on; it is in doubt if its permit has been revoked.
    pub(super) fn acknowledge_reply(
        &self,
        reply: &MemberReply,
        acknowledges: Acknowledges<'_>,
    ) -> Result<Answer, Refusal> {
        let signature: Name = reply.result.clone()?;
        if let Acknowledges::Commit(permit) = acknowledges {
            let Some(position) = reply.position else {
                return Err(Refusal::new(
                    Failure::InDoubt,
                    "the member reported no log position for the commit",
                ));
            };
            if !self.has_valid_lease() {
                return Err(Refusal::new(
                    Failure::InDoubt,
                    "the statement ran, but this node no longer owns the service",
                ));
            }
            // The pool stays locked so that a revocation finds every acknowledged commit recorded.
            let pool = lock(&self.pool);
            if !permit.is_some_and(|permit| pool.is_permitted(permit)) {
                return Err(Refusal::new(
                    Failure::InDoubt,
                    "the statement ran, but its primary was being replaced",
                ));
            }
            let mut state = lock(&self.state);
            match &mut state.history {
                Some(history) if history.term() == position.term => {
                    history.acknowledge(now_ms(), position);
                }
                _ => {
                    return Err(Refusal::new(
                        Failure::InDoubt,
                        "the statement ran in a term that is not in use",
                    ));
                }
            }
        }
        Ok(Answer { rows: reply.rows.clone(), signature, position: reply.position })
    }

    pub(super) fn log_unknown_outcome(&self, id: &str, member: &MemberKey, error: &MemberError) {
        log::warn!(
            event = "outcome_unknown", id = id, service = &*self.name, member = &*member.id,
            token = self.fencing_token, error = error.to_string(); ""
        );
    }
}

/// Returns the reply to the last command if all commands before it succeeded.
pub(super) fn last_reply(
    exchanged: Result<Vec<MemberReply>, MemberError>,
    commands: &[MemberCommand],
) -> Result<MemberReply, MemberError> {
    let mut replies = exchanged?;
    let last = replies.pop().filter(|_| replies.len() + 1 == commands.len());
    let Some(last) = last else {
        return Err(MemberError::Protocol("fewer replies than commands".to_owned()));
    };
    match replies.iter().find_map(|reply| reply.result.as_ref().err()) {
        Some(refusal) => Err(MemberError::Refused(refusal.clone())),
        None => Ok(last),
    }
}
