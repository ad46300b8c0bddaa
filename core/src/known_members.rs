//! The members of a service as its owner knows them: those that are listed, and those that are missing
//! from the list and may return. Performs no input or output.

use std::collections::BTreeMap;

use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::name::Name;

/// Longest time after the return of the store until the entry of a member that runs and reaches it is
/// back, in milliseconds, with a margin for the reads of the list.
const LISTED_AGAIN_LIMIT_MS: u64 = 2_500;

/// Time for which a member that left the list without draining may return with its log, in
/// milliseconds.
pub const RETURN_LIMIT_MS: u64 = 10_000;

/// Longest time between two reads of the list in which the store may not have been away, in
/// milliseconds: less than the silence after which an entry expires.
const MAX_READ_GAP_MS: u64 = 2_000;

/// A member that is missing from the list.
#[derive(Clone, Debug)]
struct MissingMember {
    key: MemberKey,
    /// Its last entry; `None` if this owner knows it from the record of a former one only.
    entry: Option<MemberEntry>,
    /// Time of the first of the successive reads that lack it; `None` before the first read.
    missing_since_ms: Option<u64>,
}

impl MissingMember {
    fn missing_for_ms(&self, read_at_ms: u64) -> u64 {
        self.missing_since_ms.map_or(0, |since_ms| read_at_ms.saturating_sub(since_ms))
    }

    /// Returns for how long it may be missing before it counts as gone.
    fn return_limit_ms(&self) -> u64 {
        match self.entry.as_ref().is_some_and(|entry| entry.is_draining) {
            true => LISTED_AGAIN_LIMIT_MS,
            false => RETURN_LIMIT_MS,
        }
    }
}

/// The members of a service, from the reads of the list. Absence is counted from the first of the
/// successive reads that lack a member. A gap between two reads starts it anew: entries expire while
/// the store is away.
#[derive(Debug, Default)]
pub struct KnownMembers {
    listed: Vec<MemberEntry>,
    missing: BTreeMap<Name, MissingMember>,
    read_at_ms: Option<u64>,
}

impl KnownMembers {
    /// Creates the members of an owner that has not read the list and knows these from a record.
    pub fn new(recorded: &[MemberKey]) -> Self {
        let missing = recorded.iter().map(|key| {
            let member = MissingMember { key: key.clone(), entry: None, missing_since_ms: None };
            (key.id.clone(), member)
        });
        Self { listed: Vec::new(), missing: missing.collect(), read_at_ms: None }
    }

    /// Applies a list that the store had at `read_at_ms`, and forgets the members that are gone.
    pub fn apply(&mut self, read_at_ms: u64, entries: &[MemberEntry], service: &Name) {
        let is_gap = self.read_at_ms.is_none_or(|at_ms| read_at_ms > at_ms + MAX_READ_GAP_MS);
        let read_at_ms = read_at_ms.max(self.read_at_ms.unwrap_or(0));
        let is_own = |entry: &&MemberEntry| entry.service == *service;
        let listed: Vec<MemberEntry> = entries.iter().filter(is_own).cloned().collect();
        for entry in std::mem::replace(&mut self.listed, listed) {
            let key = entry.key.clone();
            let id = key.id.clone();
            let member = MissingMember { key, entry: Some(entry), missing_since_ms: None };
            self.missing.insert(id, member);
        }
        for entry in &self.listed {
            self.missing.remove(&entry.key.id);
        }
        self.missing.retain(|_, member| {
            if is_gap {
                member.missing_since_ms = None;
            }
            member.missing_since_ms.get_or_insert(read_at_ms);
            member.missing_for_ms(read_at_ms) < member.return_limit_ms()
        });
        self.read_at_ms = Some(read_at_ms);
    }

    /// Returns the members to use: the listed ones, and those whose entry may be back with the next
    /// reads, unless they were draining.
    pub fn usable(&self) -> Vec<MemberEntry> {
        let read_at_ms = self.read_at_ms.unwrap_or(0);
        let returning = self.missing.values().filter_map(|member| {
            let entry = member.entry.as_ref().filter(|entry| !entry.is_draining)?;
            (member.missing_for_ms(read_at_ms) < LISTED_AGAIN_LIMIT_MS).then(|| entry.clone())
        });
        self.listed.iter().cloned().chain(returning).collect()
    }

    /// Returns the members that may have, or may receive, commits: those that are listed or may return.
    pub fn possible_holders(&self) -> Vec<MemberKey> {
        let listed = self.listed.iter().map(|entry| entry.key.clone());
        listed.chain(self.missing()).collect()
    }

    /// Returns the members that are missing from the list and may return.
    pub fn missing(&self) -> Vec<MemberKey> {
        self.missing.values().map(|member| member.key.clone()).collect()
    }
}
