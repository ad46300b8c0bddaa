//! Starts, runs and ends transactions at members.

use std::sync::Arc;

use crate::clock::now_ms;
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
use crate::service::borrowed::RunningTransaction;
use crate::service::borrowed::SlotGuard;
use crate::service::idle_transactions::MemberTransaction;
use crate::service::pool::SlotTarget;
use crate::service::pool::admission::Arrival;
use crate::service::runner::Acknowledges;
use crate::service::runner::AttemptOutcome;
use crate::service::runner::BUSY_RETRY_DELAY;
use crate::service::runner::StartedAttempt;
use crate::service::runner::TimedCall;
use crate::service::runner::last_reply;
use crate::service::runner::refusal_reply;
use crate::statement::Access;
use crate::transaction_id::TransactionId;

/// Reason given for a transaction that wrote at a primary that is being replaced.
const PRIMARY_REPLACED: &str = "rolled back: the primary of the service is changing";

impl OwnedService {
    /// Starts a transaction at a member and runs its first statement, or its commit if the
    /// transaction is empty.
    pub(super) async fn begin_transaction(
        self: &Arc<Self>,
        timed: &TimedCall,
        begin: &BeginTransaction,
        started: StartedAttempt,
    ) -> AttemptOutcome {
        let StartedAttempt { mut borrowed, slot, write_permit, floor } = started;
        let member = borrowed.member.key.clone();
        let is_read_only = begin.is_read_only;
        let statement = match &timed.call.action {
            CallAction::Run(statement) => Some(statement),
            CallAction::Commit { .. } | CallAction::Rollback => None,
        };
        let values = &timed.call.values;
        let mut commands = borrowed
            .connection()
            .map(|connection| connection.setup_commands(values, statement, true))
            .unwrap_or_default();
        commands.push(MemberCommand::Begin { id: begin.id.clone(), is_read_only, floor });
        let exchanged = borrowed.exchange(&commands, timed.deadline_at_ms, true).await;
        let begin_reply = match last_reply(exchanged, &commands) {
            Ok(reply) => reply,
            Err(error) => {
                drop(slot);
                let refusal = Refusal::new(
                    Failure::Aborted,
                    &format!("exchange with the member failed: {error}"),
                );
                return AttemptOutcome::Retry { excluded: Some(member), refusal };
            }
        };
        match begin_reply.result {
            Ok(_) if begin_reply.block == BlockState::Open => {}
            Ok(_) => {
                drop(slot);
                let refusal =
                    Refusal::new(Failure::Aborted, "the member did not start a transaction");
                return AttemptOutcome::Retry { excluded: Some(member), refusal };
            }
            Err(ref refusal) => {
                drop(slot);
                let refusal = refusal.clone();
                return match self.handle_refusal(refusal, true, &begin_reply, borrowed) {
                    AttemptOutcome::Final(CallReply::Refused(refusal)) => {
                        AttemptOutcome::Final(refusal_reply(Failure::Aborted, &refusal.detail))
                    }
                    outcome => outcome,
                };
            }
        }
        let transaction = MemberTransaction { borrowed, write_permit, has_written: false };
        let _running = RunningTransaction::new(self.clone());
        let reply = self.run_action(timed, None, transaction, Some(slot)).await;
        AttemptOutcome::Final(reply)
    }

    /// Runs a statement, commit or rollback in an open transaction.
    pub(super) async fn run_in_transaction(
        self: &Arc<Self>,
        id: TransactionId,
        timed: TimedCall,
    ) -> CallReply {
        let call = &timed.call;
        let Ok(transaction) = self.take_transaction(id, &call.tenant, call.action.id()) else {
            return refusal_reply(Failure::Aborted, "the transaction was rolled back");
        };
        if !self.has_valid_lease() {
            return refusal_reply(Failure::Aborted, "this node no longer owns the service");
        }
        if timed.call.action == CallAction::Rollback {
            drop(transaction);
            return CallReply::Done { answer: Answer::local(), transaction: None };
        }
        let _running = RunningTransaction::new(self.clone());
        self.run_action(&timed, Some(id), transaction, None).await
    }

    /// Runs a statement or commit in an open transaction. It is repeated once if the member is busy and
    /// keeps the transaction open.
    async fn run_action(
        self: &Arc<Self>,
        timed: &TimedCall,
        id: Option<TransactionId>,
        mut transaction: MemberTransaction,
        mut slot: Option<SlotGuard>,
    ) -> CallReply {
        let member = transaction.borrowed.member.key.clone();
        loop {
            if slot.is_none() {
                slot = self.acquire_transaction_slot(timed, &member).await;
            }
            if slot.is_none() {
                return refusal_reply(Failure::Aborted, "no slot became free in time; rolled back");
            }
            if !self.has_valid_lease() {
                return refusal_reply(Failure::Aborted, "this node no longer owns the service");
            }
            if transaction.has_written || is_write(&timed.call.action) {
                // Nothing is kept: a transaction whose COMMIT was not sent can only be rolled back.
                if !self.is_permitted(transaction.write_permit.as_ref()) {
                    drop(transaction);
                    return refusal_reply(Failure::Aborted, PRIMARY_REPLACED);
                }
            }
            if let Err(error) = transaction.borrowed.check_idle(timed.call.action.id()) {
                return refusal_reply(Failure::Aborted, &format!("rolled back: {error}"));
            }
            let commands = action_commands(timed, &mut transaction);
            let may_abandon =
                !matches!(timed.call.action, CallAction::Commit { .. }) || !transaction.has_written;
            let exchanged =
                transaction.borrowed.exchange(&commands, timed.deadline_at_ms, may_abandon).await;
            slot = None;
            let reply = match last_reply(exchanged, &commands) {
                Ok(reply) => reply,
                Err(error) => {
                    return self.failed_exchange_reply(timed, &transaction, &member, &error);
                }
            };
            let is_busy = reply.result.as_ref().is_err_and(|r| r.failure == Failure::Busy);
            if is_busy && reply.block == BlockState::Open && now_ms() < timed.deadline_at_ms {
                tokio::time::sleep(BUSY_RETRY_DELAY).await;
                continue;
            }
            return self.handle_action_reply(timed, id, transaction, &reply);
        }
    }

    async fn acquire_transaction_slot(
        self: &Arc<Self>,
        timed: &TimedCall,
        member: &MemberKey,
    ) -> Option<SlotGuard> {
        let request = timed.slot_request(SlotTarget::Transaction(member.clone()));
        let arrival = Arrival { queue_until_ms: timed.deadline_at_ms, ..timed.arrival() };
        self.acquire(request, arrival).await.ok().map(|acquired| acquired.slot)
    }

    fn failed_exchange_reply(
        &self,
        timed: &TimedCall,
        transaction: &MemberTransaction,
        member: &MemberKey,
        error: &MemberError,
    ) -> CallReply {
        match &timed.call.action {
            CallAction::Commit { id } if transaction.has_written => {
                self.log_unknown_outcome(id, member, error);
                refusal_reply(
                    Failure::InDoubt,
                    &format!("commit may have run: exchange with the member failed: {error}"),
                )
            }
            _ => refusal_reply(
                Failure::Aborted,
                &format!("rolled back: exchange with the member failed: {error}"),
            ),
        }
    }

    fn handle_action_reply(
        self: &Arc<Self>,
        timed: &TimedCall,
        id: Option<TransactionId>,
        mut transaction: MemberTransaction,
        reply: &MemberReply,
    ) -> CallReply {
        let is_commit = matches!(timed.call.action, CallAction::Commit { .. });
        let is_write = is_write(&timed.call.action);
        let acknowledges = match is_commit && transaction.has_written {
            true => Acknowledges::Commit(transaction.write_permit.as_ref()),
            false => Acknowledges::Nothing,
        };
        let result = self.acknowledge_reply(reply, acknowledges);
        match result {
            Ok(answer) if is_commit => {
                if reply.block == BlockState::Idle {
                    transaction.borrowed.return_to_pool();
                }
                CallReply::Done { answer, transaction: None }
            }
            Ok(answer) if reply.block == BlockState::Open => {
                transaction.has_written |= is_write;
                match self.store_transaction(id, &timed.call.tenant, transaction) {
                    Some(id) => CallReply::Done { answer, transaction: Some(id) },
                    None => refusal_reply(Failure::Aborted, "this node no longer owns the service"),
                }
            }
            Ok(_) => {
                refusal_reply(Failure::Aborted, "the member ended the transaction unexpectedly")
            }
            Err(refusal) if is_commit => {
                let was_not_executed = refusal.failure.was_not_executed();
                let failure = if was_not_executed { Failure::Aborted } else { refusal.failure };
                refusal_reply(failure, &refusal.detail)
            }
            Err(refusal) => {
                if matches!(refusal.failure, Failure::ReadOnly) {
                    self.suspect_member(&transaction.borrowed.member.key, refusal.failure.label());
                }
                let detail = format!("rolled back: {} {}", refusal.failure.label(), refusal.detail);
                drop(transaction);
                refusal_reply(Failure::Aborted, &detail)
            }
        }
    }
}

fn is_write(action: &CallAction) -> bool {
    matches!(action, CallAction::Run(statement) if statement.access == Access::Write)
}

fn action_commands(timed: &TimedCall, transaction: &mut MemberTransaction) -> Vec<MemberCommand> {
    let Some(connection) = transaction.borrowed.connection() else { return Vec::new() };
    let values = &timed.call.values;
    match &timed.call.action {
        CallAction::Run(statement) => connection.statement_commands(values, statement, None, false),
        CallAction::Commit { id } => {
            let mut commands = connection.setup_commands(values, None, false);
            commands.push(MemberCommand::Commit { id: id.clone() });
            commands
        }
        CallAction::Rollback => Vec::new(),
    }
}
