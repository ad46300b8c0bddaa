//! Which commits a read must include, free of input and output.

use std::collections::VecDeque;

use crate::log_position::LogPosition;

/// Time between two kept entries, in milliseconds; a bound rounds towards the newer entry.
const RESOLUTION_MS: u64 = 20;

/// Longest staleness bound that is answered exactly, in milliseconds; beyond it the oldest entry
/// counts.
const HISTORY_MS: u64 = 10_000;

/// Acknowledged commits of a service: when, and up to which log position.
///
/// All commits of a service are acknowledged through its owner, so its history is complete from
/// the start of its ownership on.
#[derive(Clone, Debug)]
pub struct CommitHistory {
    term: u64,
    base: LogPosition,
    entries: VecDeque<(u64, LogPosition)>,
    newest: LogPosition,
}

impl CommitHistory {
    /// Starts at the position of a primary that leads `term`; all reads must include it. The
    /// position may be of an earlier term, until the primary commits something.
    pub fn new(term: u64, base: LogPosition) -> Self {
        Self { term, base, entries: VecDeque::new(), newest: base }
    }

    /// Notes that a commit at `position` is about to be acknowledged at `now_ms`.
    pub fn acknowledge(&mut self, now_ms: u64, position: LogPosition) {
        self.newest = self.newest.max(position);
        match self.entries.back_mut() {
            Some((at_ms, newest)) if now_ms.saturating_sub(*at_ms) < RESOLUTION_MS => {
                *newest = (*newest).max(position);
            }
            _ => self.entries.push_back((now_ms, self.newest)),
        }
        while self.entries.len() > 1 && self.entries[1].0 + HISTORY_MS < now_ms {
            if let Some((_, position)) = self.entries.pop_front() {
                self.base = self.base.max(position);
            }
        }
    }

    /// Returns the newest acknowledged position.
    pub fn newest(&self) -> LogPosition {
        self.newest
    }

    /// Returns the position that a read of the given staleness must include.
    pub fn floor(&self, now_ms: u64, max_staleness_ms: u64) -> LogPosition {
        let Some(horizon_ms) = now_ms.checked_sub(max_staleness_ms) else {
            return self.base;
        };
        let reached = self.entries.iter().rev().find(|(at_ms, _)| *at_ms <= horizon_ms);
        reached.map_or(self.base, |(_, position)| *position).max(self.base)
    }

    /// Returns the term whose primary acknowledges.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces positions of terms that ended: what survived them is within the present base.
    pub fn rebase(&self, floor: LogPosition) -> LogPosition {
        match floor.term < self.term {
            true => self.base,
            false => floor,
        }
    }
}
