//! The newest list of members, as read from the store or received from another node.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;

use crate::digest::digest;
use crate::member::MemberEntry;
use crate::sync::lock;

/// Shares the list of members among the services that a node owns.
pub struct MemberDirectory {
    entries: Mutex<Option<(Arc<Vec<MemberEntry>>, u64)>>,
    reads: watch::Sender<u64>,
}

impl Default for MemberDirectory {
    fn default() -> Self {
        Self { entries: Mutex::default(), reads: watch::Sender::new(0) }
    }
}

impl MemberDirectory {
    /// Replaces the list.
    pub fn update(&self, entries: Vec<MemberEntry>) {
        let digest = digest(&entries);
        *lock(&self.entries) = Some((Arc::new(entries), digest));
        self.confirm();
    }

    /// Records that the list was read again without a change.
    pub fn confirm(&self) {
        self.reads.send_modify(|count| *count += 1);
    }

    /// Returns the newest list, if one is known.
    pub fn entries(&self) -> Option<Arc<Vec<MemberEntry>>> {
        lock(&self.entries).as_ref().map(|(entries, _)| entries.clone())
    }

    /// Returns a digest of the newest list; 0 if none is known.
    pub fn digest(&self) -> u64 {
        lock(&self.entries).as_ref().map_or(0, |(_, digest)| *digest)
    }

    /// Returns a receiver that is notified of each read of the list.
    pub fn reads(&self) -> watch::Receiver<u64> {
        self.reads.subscribe()
    }
}
