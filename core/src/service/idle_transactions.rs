//! Transactions that are open at a member and wait for their next statement.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::member::MemberKey;
use crate::name::Name;
use crate::service::OwnedService;
use crate::service::borrowed::BorrowedConnection;
use crate::service::pool::WritePermit;
use crate::service::transaction_table::UnknownTransaction;
use crate::sync::lock;
use crate::transaction_id::TransactionId;

/// Time beyond the idle limit of transactions after which the owner drops one, in milliseconds.
/// The entry node ends it at the limit, so this is for entry nodes that have disappeared.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Interval of the search for abandoned transactions.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// An open transaction and the connection that it runs on. Dropping it closes the connection, which
/// rolls the transaction back. The reply to a rollback would not prove that it is not the repeat of an
/// earlier one.
pub(super) struct MemberTransaction {
    /// Connection on which the transaction is open.
    pub(super) borrowed: BorrowedConnection,
    /// Permit for writes, if the member was the primary when the transaction was started.
    pub(super) write_permit: Option<WritePermit>,
    /// Whether one of its statements was a write.
    pub(super) has_written: bool,
}

impl OwnedService {
    /// Stores a transaction of `tenant` until its next statement. Returns its identity, or `None`,
    /// with the transaction rolled back, if the lease has expired.
    pub(super) fn store_transaction(
        &self,
        id: Option<TransactionId>,
        tenant: &Name,
        transaction: MemberTransaction,
    ) -> Option<TransactionId> {
        let mut idle = lock(&self.idle_transactions);
        if !self.has_valid_lease() {
            return None;
        }
        let id = id.unwrap_or_else(|| idle.next_id());
        idle.store(now_ms(), id, tenant.clone(), transaction);
        Some(id)
    }

    /// Removes a transaction in order to run a statement of `tenant` in it. A refusal is logged
    /// with the id of the statement.
    pub(super) fn take_transaction(
        &self,
        id: TransactionId,
        tenant: &Name,
        statement_id: &str,
    ) -> Result<MemberTransaction, UnknownTransaction> {
        let taken = lock(&self.idle_transactions).take(id, tenant);
        if let Err(reason) = &taken {
            log::info!(
                event = "transaction_unknown", id = statement_id, service = &*self.name,
                tenant = &**tenant, reason = reason.to_string(), transaction = id.number,
                transaction_token = id.fencing_token, token = self.fencing_token;
                "the statement names a transaction that is not open here and is refused"
            );
        }
        taken
    }

    /// Rolls back a transaction whose entry node has disconnected. It does nothing while a
    /// statement of the transaction is running.
    pub fn abort_transaction(&self, id: TransactionId) {
        let removed = lock(&self.idle_transactions).remove(id);
        drop(removed);
    }

    /// Rolls back the idle transactions whose permit for writes was revoked after they had written.
    pub(super) fn roll_back_revoked(self: &Arc<Self>) {
        let revoked = lock(&self.idle_transactions).take_if(|transaction| {
            transaction.has_written && !self.is_permitted(transaction.write_permit.as_ref())
        });
        if !revoked.is_empty() {
            log::info!(
                event = "transactions_revoked", service = &*self.name, count = revoked.len();
                "their primary is being replaced, so they can no longer be committed"
            );
        }
        drop(revoked);
    }

    /// Returns the number of idle transactions that may write at `member`.
    pub(super) fn idle_writers(&self, member: &MemberKey) -> usize {
        lock(&self.idle_transactions).count_if(|transaction| {
            transaction.write_permit.is_some() && transaction.borrowed.member.key == *member
        })
    }

    /// Rolls back all transactions that no statement is running in.
    pub(super) fn drop_idle_transactions(&self) {
        let dropped = lock(&self.idle_transactions).take_all();
        drop(dropped);
    }

    /// Rolls back transactions that have been idle beyond the limit, until the service stops.
    pub(super) async fn drop_abandoned_transactions(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(CLEANUP_INTERVAL) => {}
            }
            let Some(known) = self.context.configuration.known() else { continue };
            let limit_ms = known.configuration.transaction_idle_ms + IDLE_MARGIN_MS;
            let unused_since_ms = now_ms().saturating_sub(limit_ms);
            let dropped = lock(&self.idle_transactions).take_unused_since(unused_since_ms);
            if !dropped.is_empty() {
                log::info!(
                    event = "idle_transactions_dropped", service = &*self.name,
                    count = dropped.len(), idle_limit_ms = limit_ms; ""
                );
            }
        }
    }
}
