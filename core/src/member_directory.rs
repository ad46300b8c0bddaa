//! The newest list of members, as read from the store or received from another node.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;

use crate::digest::digest;
use crate::member::MemberEntry;
use crate::sync::lock;

/// Age beyond which a list of members is neither passed on nor relied on, in milliseconds: a few reads
/// of the store may fail, and members that leave go on for several seconds.
pub(crate) const MEMBERS_AGE_LIMIT_MS: u64 = 3_000;

/// A list of members, with the time at which the store had it.
struct ListedMembers {
    entries: Arc<Vec<MemberEntry>>,
    digest: u64,
    read_at_ms: u64,
}

/// Shares the list of members among the services that a node owns.
pub struct MemberDirectory {
    listed: Mutex<Option<ListedMembers>>,
    reads: watch::Sender<u64>,
}

impl Default for MemberDirectory {
    fn default() -> Self {
        Self { listed: Mutex::default(), reads: watch::Sender::new(0) }
    }
}

impl MemberDirectory {
    /// Replaces the list by one that the store had at `read_at_ms`, unless the known one is newer.
    pub fn update(&self, entries: Vec<MemberEntry>, read_at_ms: u64) {
        let mut listed = lock(&self.listed);
        if listed.as_ref().is_some_and(|known| known.read_at_ms > read_at_ms) {
            return;
        }
        let digest = digest(&entries);
        *listed = Some(ListedMembers { entries: Arc::new(entries), digest, read_at_ms });
        drop(listed);
        self.reads.send_modify(|count| *count += 1);
    }

    /// Records that the store still had the list with this digest at `read_at_ms`.
    pub fn confirm(&self, digest: u64, read_at_ms: u64) {
        let mut listed = lock(&self.listed);
        let Some(known) = listed.as_mut().filter(|known| known.digest == digest) else { return };
        known.read_at_ms = known.read_at_ms.max(read_at_ms);
        drop(listed);
        self.reads.send_modify(|count| *count += 1);
    }

    /// Returns the newest list with the time at which the store had it, if one is known.
    pub fn listed(&self) -> Option<(u64, Arc<Vec<MemberEntry>>)> {
        lock(&self.listed).as_ref().map(|listed| (listed.read_at_ms, listed.entries.clone()))
    }

    /// Returns the newest list, if one is known.
    pub fn entries(&self) -> Option<Arc<Vec<MemberEntry>>> {
        lock(&self.listed).as_ref().map(|listed| listed.entries.clone())
    }

    /// Returns the time since the store had the newest list, in milliseconds, if one is known.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(lock(&self.listed).as_ref()?.read_at_ms))
    }

    /// Returns a digest of the newest list; 0 if none is known.
    pub fn digest(&self) -> u64 {
        lock(&self.listed).as_ref().map_or(0, |listed| listed.digest)
    }

    /// Returns a receiver that is notified of each read of the list.
    pub fn reads(&self) -> watch::Receiver<u64> {
        self.reads.subscribe()
    }
}
