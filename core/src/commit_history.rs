//! Determines which commits a read must include. Performs no input or output.

use std::collections::VecDeque;

use crate::log_position::LogPosition;

/// Time between two entries, in milliseconds. A read includes every commit of the entry that its
/// staleness bound falls on, so rounding only makes it fresher.
const RESOLUTION_MS: u64 = 20;

/// Longest staleness bound for which the history is kept, in milliseconds. With a longer bound, a
/// read may have to include newer commits than the bound requires.
const HISTORY_MS: u64 = 10_000;

/// Times and log positions of the commits of a service that were acknowledged to callers.
///
/// All commits of a service are acknowledged through its owner, so the history is complete from the
/// start of the ownership.
#[derive(Clone, Debug)]
pub struct CommitHistory {
    term: u64,
    base: LogPosition,
    entries: VecDeque<(u64, LogPosition)>,
    newest: LogPosition,
}

impl CommitHistory {
    /// Creates a history that starts at the position of a primary that leads `term`. All reads must
    /// include that position, which may belong to an earlier term until the primary commits.
    pub fn new(term: u64, base: LogPosition) -> Self {
        Self { term, base, entries: VecDeque::new(), newest: base }
    }

    /// Returns the history under a primary that is adopted, given the history so far.
    ///
    /// The position that the primary reported may be older than commits acknowledged since. Within
    /// a term it replaces them only if it is current, which means that it was requested after the
    /// last of them: then the primary has lost them, for instance in a restart.
    pub fn adopt(former: Option<Self>, term: u64, reported: LogPosition, is_current: bool) -> Self {
        let is_lost = |history: &Self| is_current && history.exceeds(term, reported);
        former
            .filter(|history| history.term >= term && !is_lost(history))
            .unwrap_or_else(|| Self::new(term, reported))
    }

    /// Returns whether a primary of the same term reported less than was acknowledged.
    pub fn exceeds(&self, term: u64, reported: LogPosition) -> bool {
        self.term == term && reported < self.newest
    }

    /// Records that a commit at `position` is about to be acknowledged at `now_ms`.
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

    /// Returns a position that all reads must include: that of the primary when it was adopted, or a
    /// later one.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the newest position that was acknowledged under this primary, if any was.
    pub fn acknowledged(&self) -> Option<LogPosition> {
        self.entries.back().map(|(_, position)| *position)
    }

    /// Returns the position that a read with this staleness bound must include.
    pub fn floor(&self, now_ms: u64, max_staleness_ms: u64) -> LogPosition {
        let Some(horizon_ms) = now_ms.checked_sub(max_staleness_ms) else {
            return self.base;
        };
        let newest_due = self.entries.iter().rev().find(|(at_ms, _)| *at_ms <= horizon_ms);
        newest_due.map_or(self.base, |(_, position)| *position).max(self.base)
    }

    /// Returns the term of the primary whose commits are recorded.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces a position of an ended term by the base, which includes all surviving commits of
    /// that term.
    pub fn rebase(&self, floor: LogPosition) -> LogPosition {
        match floor.term < self.term {
            true => self.base,
            false => floor,
        }
    }
}
