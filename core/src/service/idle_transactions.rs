//! Transactions that are open at a member and wait for their next statement.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::service::OwnedService;
use crate::service::borrowed::BorrowedConnection;
use crate::sync::lock;

/// Time beyond the idle limit of transactions after which the owner drops one, in milliseconds.
/// The entry node ends it at the limit, so this is for entry nodes that have disappeared.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Interval of the search for abandoned transactions.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a member to confirm a rollback, in milliseconds. After it the connection is
/// closed, which rolls back as well.
const ROLLBACK_WAIT_MS: u64 = 200;

/// An open transaction and the connection that it runs on. Dropping it closes the connection,
/// which rolls the transaction back.
pub(super) struct MemberTransaction {
    /// Connection on which the transaction is open.
    pub(super) borrowed: BorrowedConnection,
    /// Whether one of its statements was a write.
    pub(super) has_written: bool,
    /// Time at which its last statement ended, in milliseconds.
    pub(super) used_at_ms: u64,
}

impl OwnedService {
    /// Stores a transaction until its next statement. Returns its number, or `None`, with the
    /// transaction rolled back, if the lease has expired.
    pub(super) fn store_transaction(
        &self,
        number: Option<u64>,
        transaction: MemberTransaction,
    ) -> Option<u64> {
        let number =
            number.unwrap_or_else(|| self.next_transaction.fetch_add(1, Ordering::Relaxed));
        if !self.has_valid_lease() {
            return None;
        }
        lock(&self.idle_transactions).insert(number, transaction);
        Some(number)
    }

    /// Removes a transaction in order to run a statement in it.
    pub(super) fn take_transaction(&self, number: u64) -> Option<MemberTransaction> {
        lock(&self.idle_transactions).remove(&number)
    }

    /// Rolls back a transaction whose entry node has disconnected. It does nothing while a
    /// statement of the transaction is running.
    pub fn abort_transaction(&self, number: u64) {
        drop(self.take_transaction(number));
    }

    /// Rolls a transaction back in the background, and returns its connection to the pool once the
    /// member has confirmed.
    pub(super) fn roll_back(self: &Arc<Self>, mut transaction: MemberTransaction) {
        self.tasks.spawn(async move {
            let deadline_at_ms = now_ms() + ROLLBACK_WAIT_MS;
            let exchanged = transaction
                .borrowed
                .exchange(&[MemberCommand::Rollback], deadline_at_ms, true)
                .await;
            match exchanged.as_deref() {
                Ok([reply]) if reply.result.is_ok() => transaction.borrowed.return_to_pool(),
                _ => drop(transaction),
            }
        });
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
            let now_ms = now_ms();
            let mut transactions = lock(&self.idle_transactions);
            let expired: Vec<u64> = transactions
                .iter()
                .filter(|(_, transaction)| now_ms > transaction.used_at_ms + limit_ms)
                .map(|(number, _)| *number)
                .collect();
            let dropped: Vec<MemberTransaction> =
                expired.iter().filter_map(|number| transactions.remove(number)).collect();
            drop(transactions);
            if !dropped.is_empty() {
                log::info!(
                    event = "idle_transactions_dropped", service = &*self.name,
                    count = dropped.len(), idle_limit_ms = limit_ms; ""
                );
            }
        }
    }
}
