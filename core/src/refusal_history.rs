//! Tells retries from first attempts. It does no I/O.
//!
//! Statements carry no mark that they are retries. Each refusal of a tenant and route makes one later
//! statement of the same tenant and route count as its retry. If it made all of them count, one refusal
//! would hold up the first attempts of all callers of the tenant.

use std::collections::HashMap;

use crate::name::Name;

/// Time after a refusal within which a statement counts as a retry, in milliseconds.
pub const RETRY_WINDOW_MS: u64 = 1_500;

/// Least number of entries at which those past their window are removed.
const MIN_CLEANUP_ENTRIES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct RecentRefusals {
    unmatched: u32,
    last_at_ms: u64,
}

impl RecentRefusals {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_at_ms) <= RETRY_WINDOW_MS
    }
}

/// Recent refusals at this node, by tenant and route.
#[derive(Clone, Debug, Default)]
pub struct RefusalHistory {
    refusals: HashMap<(Name, Name), RecentRefusals>,
    cleanup_at_entries: usize,
}

impl RefusalHistory {
    /// Records that a statement was refused because of the load of its owner.
    pub fn record(&mut self, now_ms: u64, tenant: &Name, route: &Name) {
        if self.refusals.len() >= self.cleanup_at_entries.max(MIN_CLEANUP_ENTRIES) {
            self.refusals.retain(|_, recent| recent.is_recent(now_ms));
            self.cleanup_at_entries = self.refusals.len() * 2;
        }
        let recent = self.refusals.entry((tenant.clone(), route.clone())).or_default();
        if !recent.is_recent(now_ms) {
            recent.unmatched = 0;
        }
        recent.unmatched = recent.unmatched.saturating_add(1);
        recent.last_at_ms = now_ms;
    }

    /// Returns whether a statement that arrives now counts as a retry, and if so matches it with one
    /// of the refusals.
    pub fn match_retry(&mut self, now_ms: u64, tenant: &Name, route: &Name) -> bool {
        let key = (tenant.clone(), route.clone());
        let Some(recent) = self.refusals.get_mut(&key) else { return false };
        if recent.unmatched == 0 || !recent.is_recent(now_ms) {
            return false;
        }
        recent.unmatched -= 1;
        true
    }

    /// Undoes a match, after the retry was refused for being one: it will come back. The window is
    /// not extended, or else the first attempts of a tenant and route whose callers do not retry could
    /// be taken for retries without end.
    pub fn undo_match(&mut self, tenant: &Name, route: &Name) {
        if let Some(recent) = self.refusals.get_mut(&(tenant.clone(), route.clone())) {
            recent.unmatched = recent.unmatched.saturating_add(1);
        }
    }
}
