//! Decides what an owner sends to each node that collects counts. Performs no input or output.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::name::Name;
use crate::usage::counts::UsageCounts;
use crate::usage::update::UsageReceipt;
use crate::usage::update::UsageUpdate;
use crate::usage::window_clock::TrueTime;

/// Time for which a deputy that did not answer is passed over, in milliseconds. A node that is down
/// remains a candidate for longer.
const FAILURE_PAUSE_MS: u64 = 5_000;

/// What a collector has already.
#[derive(Clone, Copy, Debug)]
struct Received {
    collector: u64,
    revision: u64,
    complete_before: u64,
}

/// What the collectors have of this node's counts.
#[derive(Clone, Debug, Default)]
pub struct UpdateSender {
    received: HashMap<SocketAddr, Received>,
    /// Until when each collector that did not answer is passed over as a deputy.
    failed_until_ms: HashMap<SocketAddr, u64>,
}

impl UpdateSender {
    /// Returns what to send to a collector now: all counts if it is new, or else those that changed.
    /// Returns `None` if it has everything.
    pub fn next(
        &self,
        now_ms: u64,
        me: &Name,
        collector: SocketAddr,
        counts: &UsageCounts,
        time: TrueTime,
    ) -> Option<UsageUpdate> {
        let received = self.received.get(&collector);
        let complete_before = counts.complete_before(now_ms, time);
        let revision = counts.revision();
        let has_all = received.is_some_and(|received| {
            received.revision == revision && received.complete_before >= complete_before
        });
        (!has_all).then(|| UsageUpdate {
            sender: me.clone(),
            collector: received.map(|received| received.collector),
            complete_before,
            counts: counts.changes(received.map_or(0, |received| received.revision)),
            revision,
        })
    }

    /// Records the answer to an update. Returns whether the collector lacks earlier counts, because it
    /// is not the process that received them.
    pub fn record(
        &mut self,
        address: SocketAddr,
        update: &UsageUpdate,
        receipt: &UsageReceipt,
    ) -> bool {
        if update.collector.is_some_and(|collector| collector != receipt.collector) {
            self.received.remove(&address);
            return true;
        }
        let received = Received {
            collector: receipt.collector,
            revision: update.revision,
            complete_before: update.complete_before,
        };
        self.received.insert(address, received);
        self.failed_until_ms.remove(&address);
        false
    }

    /// Records that a collector did not answer. Returns whether it had answered before.
    pub fn record_failure(&mut self, now_ms: u64, address: SocketAddr) -> bool {
        self.failed_until_ms.insert(address, now_ms + FAILURE_PAUSE_MS).is_none()
    }

    /// Returns whether a node may collect as a deputy.
    pub fn may_be_deputy(&self, now_ms: u64, address: SocketAddr) -> bool {
        self.failed_until_ms.get(&address).is_none_or(|until_ms| now_ms >= *until_ms)
    }

    /// Forgets the collectors that are not listed: a node that collects again after a while may have
    /// missed updates and gets all counts.
    pub fn retain(&mut self, collectors: &[SocketAddr]) {
        self.received.retain(|address, _| collectors.contains(address));
    }
}
