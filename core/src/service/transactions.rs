//! Transactions at members: their start, their statements, and their end.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::clock::now_ms;
use crate::log_position::LogPosition;
use crate::member::MemberCommand;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::outcome::Answer;
use crate::outcome::BlockState;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::relay::BeginTransaction;
use crate::relay::CallAction;
use crate::relay::CallReply;
use crate::service::OwnedService;
use crate::service::lanes::Lane;
use crate::service::lent::Lent;
use crate::service::lent::SlotGuard;
use crate::service::pool::Need;
use crate::service::pool::SlotRequest;
use crate::service::runner::BUSY_PAUSE;
use crate::service::runner::Running;
use crate::service::runner::Tried;
use crate::service::runner::last_reply;
use crate::service::runner::refused;
use crate::statement::Access;
use crate::statement::StatementBody;

impl OwnedService {
    /// Starts a transaction at a member and runs its first statement.
    pub(super) async fn open_lane(
        self: &Arc<Self>,
        running: &Running,
        open: &BeginTransaction,
        mut lent: Lent,
        slot: SlotGuard,
        mut commands: Vec<MemberCommand>,
        floor: Option<LogPosition>,
    ) -> Tried {
        let member = lent.member.key.clone();
        let is_read_only = open.is_read_only;
        commands.push(MemberCommand::Begin { id: open.id.clone(), is_read_only, floor });
        let exchanged = lent.exchange(&commands, running.deadline_ms, true).await;
        let begun = match last_reply(exchanged, &commands) {
            Ok(begun) => begun,
            Err(error) => {
                drop(slot);
                let refusal = Refusal::new(Failure::Aborted, &format!("member {error}"));
                return Tried::Again { except: Some(member), refusal };
            }
        };
        match begun.result {
            Ok(_) if begun.block == BlockState::Open => {}
            Ok(_) => {
                drop(slot);
                let refusal = Refusal::new(Failure::Aborted, "the member began no transaction");
                return Tried::Again { except: Some(member), refusal };
            }
            Err(ref refusal) => {
                drop(slot);
                let refusal = refusal.clone();
                return match self.single_failed(refusal, true, &begun, lent) {
                    Tried::Final(CallReply::Refused(refusal)) => {
                        Tried::Final(refused(Failure::Aborted, &refusal.detail))
                    }
                    tried => tried,
                };
            }
        }
        let lane = Lane { lent, has_written: false, used_at_ms: now_ms() };
        self.busy_lanes.fetch_add(1, Ordering::AcqRel);
        let reply = self.run_step(running, None, lane, Some(slot)).await;
        self.busy_lanes.fetch_sub(1, Ordering::AcqRel);
        Tried::Final(reply)
    }

    /// Runs a statement of a transaction that is open, or ends it.
    pub(super) async fn run_in_lane(self: &Arc<Self>, number: u64, running: Running) -> CallReply {
        let Some(lane) = self.take_lane(number) else {
            return refused(Failure::Aborted, "the transaction was rolled back");
        };
        if !self.has_valid_lease() {
            return refused(Failure::Aborted, "the owner of the service has changed");
        }
        if running.call.action == CallAction::Rollback {
            self.roll_back(lane);
            return CallReply::Done { answer: Answer::local(), transaction: None };
        }
        self.busy_lanes.fetch_add(1, Ordering::AcqRel);
        let reply = self.run_step(&running, Some(number), lane, None).await;
        self.busy_lanes.fetch_sub(1, Ordering::AcqRel);
        reply
    }

    /// Runs a statement of an open transaction.
    async fn run_step(
        self: &Arc<Self>,
        running: &Running,
        number: Option<u64>,
        mut lane: Lane,
        mut slot: Option<SlotGuard>,
    ) -> CallReply {
        let member = lane.lent.member.key.clone();
        loop {
            if slot.is_none() {
                slot = self.lane_slot(running, &member).await;
            }
            if slot.is_none() {
                return refused(Failure::Aborted, "no slot became free in time; rolled back");
            }
            if !self.has_valid_lease() {
                return refused(Failure::Aborted, "the owner of the service has changed");
            }
            let commands = step_commands(running, &mut lane);
            let may_abandon =
                !matches!(running.call.action, CallAction::Commit { .. }) || !lane.has_written;
            let exchanged = lane.lent.exchange(&commands, running.deadline_ms, may_abandon).await;
            slot = None;
            let reply = match last_reply(exchanged, &commands) {
                Ok(reply) => reply,
                Err(error) => return self.step_lost(running, &lane, &member, &error),
            };
            let is_busy = reply.result.as_ref().is_err_and(|r| r.failure == Failure::Busy);
            if is_busy && reply.block == BlockState::Open && now_ms() < running.deadline_ms {
                tokio::time::sleep(BUSY_PAUSE).await;
                continue;
            }
            return self.step_replied(running, number, lane, &reply);
        }
    }

    async fn lane_slot(
        self: &Arc<Self>,
        running: &Running,
        member: &MemberKey,
    ) -> Option<SlotGuard> {
        let request = SlotRequest {
            need: Need::Lane(member.clone()),
            tenant: running.call.tenant.clone(),
            objective_at_ms: running.objective_at_ms,
            priority: running.call.priority,
        };
        Some(self.acquire(request, running.deadline_ms).await?.slot)
    }

    fn step_lost(
        &self,
        running: &Running,
        lane: &Lane,
        member: &MemberKey,
        error: &MemberError,
    ) -> CallReply {
        match &running.call.action {
            CallAction::Commit { id } if lane.has_written => {
                self.log_doubtful(id, member, error);
                refused(Failure::InDoubt, &format!("commit may have run: member {error}"))
            }
            _ => refused(Failure::Aborted, &format!("rolled back: member {error}")),
        }
    }

    fn step_replied(
        self: &Arc<Self>,
        running: &Running,
        number: Option<u64>,
        mut lane: Lane,
        reply: &MemberReply,
    ) -> CallReply {
        let is_commit = matches!(running.call.action, CallAction::Commit { .. });
        let writes_now = matches!(&running.call.action,
            CallAction::Run(work) if work.access == Access::Write);
        let result = self.settle(reply, is_commit && lane.has_written);
        match result {
            Ok(answer) if is_commit => {
                if reply.block == BlockState::Idle {
                    lane.lent.give_back();
                }
                CallReply::Done { answer, transaction: None }
            }
            Ok(answer) if reply.block == BlockState::Open => {
                lane.has_written |= writes_now;
                lane.used_at_ms = now_ms();
                match self.keep_lane(number, lane) {
                    Some(number) => CallReply::Done { answer, transaction: Some(number) },
                    None => refused(Failure::Aborted, "the owner of the service has changed"),
                }
            }
            Ok(_) => refused(Failure::Aborted, "the member left the transaction"),
            Err(refusal) if is_commit => {
                let is_promise = refusal.failure.was_not_executed();
                let failure = if is_promise { Failure::Aborted } else { refusal.failure };
                refused(failure, &refusal.detail)
            }
            Err(refusal) => {
                if matches!(refusal.failure, Failure::ReadOnly) {
                    self.doubt(&lane.lent.member.key, refusal.failure.label());
                }
                let detail = format!("rolled back: {} {}", refusal.failure.label(), refusal.detail);
                self.roll_back(lane);
                refused(Failure::Aborted, &detail)
            }
        }
    }
}

fn step_commands(running: &Running, lane: &mut Lane) -> Vec<MemberCommand> {
    let mut commands = Vec::new();
    match &running.call.action {
        CallAction::Run(work) => {
            let shape = match &work.body {
                StatementBody::Execute { shape, .. } => Some(shape),
                StatementBody::Text(_) => None,
            };
            if let Some(connection) = lane.lent.connection() {
                commands = connection.prepare_for(&running.call.values, shape, false);
            }
            let id = work.id.clone();
            commands.push(MemberCommand::Run { id, body: work.body.clone(), floor: None });
        }
        CallAction::Commit { id } => commands.push(MemberCommand::Commit { id: id.clone() }),
        CallAction::Rollback => commands.push(MemberCommand::Rollback),
    }
    commands
}
