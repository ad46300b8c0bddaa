//! Open transactions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::service::OwnedService;
use crate::service::lent::Lent;
use crate::sync::lock;

/// Time beyond the longest pause of a caller after which its transaction is dropped here: its
/// entry node ends the transaction first unless it has gone.
const IDLE_EXCESS_MS: u64 = 1_000;

/// Time between two looks for abandoned transactions.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a member to confirm a rollback, in milliseconds; then the connection is closed,
/// which rolls back as well.
const ROLLBACK_WAIT_MS: u64 = 200;

/// A transaction between two statements. Dropping it closes its connection, which rolls back.
pub(super) struct Lane {
    /// Its connection.
    pub(super) lent: Lent,
    /// Whether it has written.
    pub(super) has_written: bool,
    /// When its last statement ended.
    pub(super) used_at_ms: u64,
}

impl OwnedService {
    /// Keeps a transaction until its next statement. Returns its number.
    pub(super) fn keep_lane(&self, number: Option<u64>, lane: Lane) -> Option<u64> {
        let number = number.unwrap_or_else(|| self.next_lane.fetch_add(1, Ordering::Relaxed));
        if !self.has_valid_lease() {
            return None;
        }
        lock(&self.lanes).insert(number, lane);
        Some(number)
    }

    /// Takes a transaction to run a statement in it.
    pub(super) fn take_lane(&self, number: u64) -> Option<Lane> {
        lock(&self.lanes).remove(&number)
    }

    /// Drops a transaction whose caller has gone. It is rolled back.
    pub fn abort_transaction(&self, number: u64) {
        drop(self.take_lane(number));
    }

    /// Rolls a transaction back and returns its connection to the pool.
    pub(super) fn roll_back(self: &Arc<Self>, mut lane: Lane) {
        self.tasks.spawn(async move {
            let deadline_ms = now_ms() + ROLLBACK_WAIT_MS;
            let exchanged = lane.lent.exchange(&[MemberCommand::Rollback], deadline_ms, true).await;
            match exchanged.as_deref() {
                Ok([reply]) if reply.result.is_ok() => lane.lent.give_back(),
                _ => drop(lane),
            }
        });
    }

    /// Drops transactions that nobody goes on with.
    pub(super) async fn sweep_lanes(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            }
            let Some(known) = self.border.configuration.known() else { continue };
            let limit_ms = known.configuration.transaction_idle_ms + IDLE_EXCESS_MS;
            let now_ms = now_ms();
            let mut lanes = lock(&self.lanes);
            let over: Vec<u64> = lanes
                .iter()
                .filter(|(_, lane)| now_ms > lane.used_at_ms + limit_ms)
                .map(|(number, _)| *number)
                .collect();
            let dropped: Vec<Lane> =
                over.iter().filter_map(|number| lanes.remove(number)).collect();
            drop(lanes);
            if !dropped.is_empty() {
                log::info!(
                    event = "lanes_abandoned", service = &*self.name, count = dropped.len(),
                    idle_limit_ms = limit_ms; ""
                );
            }
        }
    }
}
