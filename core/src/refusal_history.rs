//! Tells retries from first attempts. It does no I/O.
//!
//! Statements carry no mark that they are retries. Each refusal of a tenant and route makes one later
//! statement of the same tenant and route count as its retry. If it made all of them count, one refusal
//! would hold up the first attempts of all callers of the tenant.

use std::collections::HashMap;

use crate::name::Name;

/// Time after a refusal within which a statement counts as a retry, in milliseconds.
pub const RETRY_WINDOW_MS: u64 = 1_500;

/// Ratio of the longest to the shortest time after which callers that are refused together are told to
/// retry: the first of them may be back after the time that one of them was told, divided by this.
const MAX_RETRY_SPREAD: u64 = 2;

/// Least number of entries at which those past their window are removed.
const MIN_CLEANUP_ENTRIES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct RecentRefusals {
    unmatched: u32,
    last_at_ms: u64,
    /// Refusals whose retries were refused as well and will come back.
    returning: u32,
    /// Time from which these count.
    return_at_ms: u64,
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
            (recent.unmatched, recent.returning) = (0, 0);
        }
        recent.unmatched = recent.unmatched.saturating_add(1);
        recent.last_at_ms = now_ms;
    }

    /// Returns whether a statement that arrives now counts as a retry, and if so matches it with one
    /// of the refusals.
    pub fn match_retry(&mut self, now_ms: u64, tenant: &Name, route: &Name) -> bool {
        let key = (tenant.clone(), route.clone());
        let Some(recent) = self.refusals.get_mut(&key) else { return false };
        if recent.returning > 0 && now_ms >= recent.return_at_ms {
            recent.unmatched = recent.unmatched.saturating_add(recent.returning);
            recent.returning = 0;
        }
        if recent.unmatched == 0 || !recent.is_recent(now_ms) {
            return false;
        }
        recent.unmatched -= 1;
        true
    }

    /// Undoes a match, after the retry was refused for being one and its caller was told to retry after
    /// `retry_after_ms`: it counts again when the first of such callers may be back. If the match were free at once, the next statement would be taken for the
    /// retry, and one refusal would hold up all statements of the tenant and route. The window is not
    /// extended, or else the first attempts of a tenant and route whose callers do not retry could be
    /// taken for retries without end.
    pub fn undo_match(&mut self, now_ms: u64, tenant: &Name, route: &Name, retry_after_ms: u64) {
        if let Some(recent) = self.refusals.get_mut(&(tenant.clone(), route.clone())) {
            if recent.returning == 0 {
                recent.return_at_ms = now_ms.saturating_add(retry_after_ms / MAX_RETRY_SPREAD);
            }
            recent.returning = recent.returning.saturating_add(1);
        }
    }
}
