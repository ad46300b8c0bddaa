//! The newest list of members, as it was read or heard.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;

use crate::member::MemberEntry;
use crate::sync::lock;

/// Shares the list of members among the services of a node.
pub struct MemberDirectory {
    entries: Mutex<Option<Arc<Vec<MemberEntry>>>>,
    reads: watch::Sender<u64>,
}

impl Default for MemberDirectory {
    fn default() -> Self {
        Self { entries: Mutex::default(), reads: watch::Sender::new(0) }
    }
}

impl MemberDirectory {
    /// Takes note of a list.
    pub fn update(&self, entries: Vec<MemberEntry>) {
        *lock(&self.entries) = Some(Arc::new(entries));
        self.confirm();
    }

    /// Takes note that the list was read again and is the same.
    pub fn confirm(&self) {
        self.reads.send_modify(|count| *count += 1);
    }

    /// Returns the newest list, if there is one.
    pub fn entries(&self) -> Option<Arc<Vec<MemberEntry>>> {
        lock(&self.entries).clone()
    }

    /// Returns a receiver that sees each reading of the list.
    pub fn reads(&self) -> watch::Receiver<u64> {
        self.reads.subscribe()
    }
}
