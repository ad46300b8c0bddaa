//! Role, term and log of a member, free of input and output.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::statement::LoggedStatement;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// A committed transaction in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the primary that committed it.
    pub term: u64,
    /// Its writes, in order.
    pub statements: Vec<LoggedStatement>,
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member believes that it is the primary.
    pub is_primary: bool,
    /// Highest term the member has accepted.
    pub accepted_term: u64,
    /// Term of the last held log entry.
    pub last_term: u64,
    /// Position of the last held log entry.
    pub last_position: u64,
    /// Term of the last applied log entry.
    pub applied_term: u64,
    /// Position of the last applied log entry.
    pub applied_position: u64,
    /// Time since the primary was last heard, in milliseconds; 0 on a primary.
    pub primary_silent_ms: u64,
}

/// Entries that a primary sends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the sender.
    pub term: u64,
    /// Position before the first entry.
    pub previous_position: u64,
    /// Term of the entry at that position.
    pub previous_term: u64,
    /// The entries.
    pub entries: Vec<LogEntry>,
}

/// Answer to an [`AppendRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the entries are held.
    pub is_held: bool,
    /// Highest term that the receiver has accepted.
    pub accepted_term: u64,
    /// Position of the receiver's last entry.
    pub last_position: u64,
}

/// Role, term and log of one member.
#[derive(Debug)]
pub struct MemberCore {
    is_primary: bool,
    accepted_term: u64,
    promised_to: String,
    log: Vec<LogEntry>,
    held_at: Vec<Instant>,
    primary_heard_at: Instant,
    /// Position up to which the data file is current.
    pub applied_position: u64,
    /// Set when applied entries were replaced, so that the data file must be made anew.
    pub needs_rebuild: bool,
    /// Counts how often the data file was made anew.
    pub data_generation: u64,
    /// Set while a planned change of primary lets open transactions end.
    pub is_stepping_down: bool,
    /// Transactions with writes that are open.
    pub open_writes: usize,
}

impl MemberCore {
    /// Creates a member with an empty log.
    pub fn new(starts_as_primary: bool) -> Self {
        Self {
            is_primary: starts_as_primary,
            accepted_term: 1,
            promised_to: String::new(),
            log: Vec::new(),
            held_at: Vec::new(),
            primary_heard_at: Instant::now(),
            applied_position: 0,
            needs_rebuild: false,
            data_generation: 0,
            is_stepping_down: false,
            open_writes: 0,
        }
    }

    /// Returns whether the member believes that it is the primary.
    pub fn is_primary(&self) -> bool {
        self.is_primary
    }

    /// Returns the highest accepted term.
    pub fn accepted_term(&self) -> u64 {
        self.accepted_term
    }

    /// Returns whether all held entries are applied.
    pub fn is_applied(&self) -> bool {
        !self.needs_rebuild && self.applied_position == self.last_position()
    }

    /// Returns the position of the last held entry.
    pub fn last_position(&self) -> u64 {
        self.log.len() as u64
    }

    /// Returns the term of the entry at a position; 0 if there is none.
    pub fn term_at(&self, position: u64) -> u64 {
        match position {
            0 => 0,
            _ => self.log.get(position as usize - 1).map_or(0, |entry| entry.term),
        }
    }

    /// Reports the state at `now`.
    pub fn status(&self, now: Instant) -> MemberStatus {
        let silent = now.saturating_duration_since(self.primary_heard_at);
        let primary_silent_ms = match self.is_primary {
            true => 0,
            false => silent.as_millis() as u64,
        };
        MemberStatus {
            is_primary: self.is_primary,
            accepted_term: self.accepted_term,
            last_term: self.term_at(self.last_position()),
            last_position: self.last_position(),
            applied_term: self.term_at(self.applied_position),
            applied_position: self.applied_position,
            primary_silent_ms,
        }
    }

    /// Grants `term` to one promoter, and refuses it to any other.
    pub fn accept_term(&mut self, term: u64, promoter: &str) -> bool {
        if term == self.accepted_term && self.promised_to == promoter {
            return true;
        }
        if term <= self.accepted_term {
            return false;
        }
        self.accepted_term = term;
        promoter.clone_into(&mut self.promised_to);
        self.is_primary = false;
        self.is_stepping_down = false;
        true
    }

    /// Becomes primary of a term that was granted to `promoter`.
    ///
    /// # Errors
    ///
    /// Returns an error when the term was not granted to the promoter.
    pub fn promote(&mut self, term: u64, promoter: &str) -> Result<(), SqlError> {
        if term != self.accepted_term || promoter != self.promised_to {
            return Err(SqlError::new(
                sql_state::SERIALIZATION_FAILURE,
                format!("term {term} is not granted to {promoter}"),
            ));
        }
        if self.is_primary {
            return Ok(());
        }
        self.is_primary = true;
        self.is_stepping_down = false;
        self.append_own(Vec::new());
        Ok(())
    }

    /// Appends a transaction committed here and returns its position.
    pub fn append_own(&mut self, statements: Vec<LoggedStatement>) -> u64 {
        let term = self.accepted_term;
        self.log.push(LogEntry { term, statements });
        self.held_at.push(Instant::now());
        self.applied_position = self.last_position();
        self.last_position()
    }

    /// Holds entries from a primary, replacing entries that conflict.
    pub fn append(&mut self, request: AppendRequest, now: Instant) -> AppendReply {
        let is_current = request.term >= self.accepted_term;
        if is_current && request.term > self.accepted_term {
            self.accepted_term = request.term;
            self.promised_to.clear();
            self.is_primary = false;
        }
        let matches = request.previous_position <= self.last_position()
            && self.term_at(request.previous_position) == request.previous_term;
        if is_current && !self.is_primary {
            self.primary_heard_at = now;
        }
        if !is_current || !matches || self.is_primary {
            return self.reply(false);
        }
        let mut position = request.previous_position;
        for entry in request.entries {
            position += 1;
            if position <= self.last_position() && self.term_at(position) != entry.term {
                self.truncate(position - 1);
            }
            if position > self.last_position() {
                self.log.push(entry);
                self.held_at.push(now);
            }
        }
        self.reply(true)
    }

    fn truncate(&mut self, position: u64) {
        self.log.truncate(position as usize);
        self.held_at.truncate(position as usize);
        if self.applied_position > position {
            self.needs_rebuild = true;
        }
    }

    fn reply(&self, is_held: bool) -> AppendReply {
        AppendReply {
            is_held,
            accepted_term: self.accepted_term,
            last_position: self.last_position(),
        }
    }

    /// Learns of a higher term from another member, which ends this member's time as primary.
    pub fn observe_term(&mut self, term: u64) {
        if term > self.accepted_term {
            self.accepted_term = term;
            self.promised_to.clear();
            self.is_primary = false;
        }
    }

    /// Returns the entries after `position` that are older than `min_age`, as a request.
    pub fn entries_after(&self, position: u64, now: Instant, min_age: Duration) -> AppendRequest {
        let position = position.min(self.last_position());
        let start = position as usize;
        let due = self.held_at[start..]
            .iter()
            .take_while(|held_at| now.saturating_duration_since(**held_at) >= min_age)
            .count();
        AppendRequest {
            term: self.accepted_term,
            previous_position: position,
            previous_term: self.term_at(position),
            entries: self.log[start..start + due.min(MAX_ENTRIES_PER_APPEND)].to_vec(),
        }
    }

    /// Returns the next held entry that is older than `min_age`.
    pub fn next_to_apply(&self, now: Instant, min_age: Duration) -> Option<LogEntry> {
        let index = self.applied_position as usize;
        let held_at = self.held_at.get(index)?;
        if now.saturating_duration_since(*held_at) < min_age {
            return None;
        }
        self.log.get(index).cloned()
    }
}

/// Most entries in one message between members.
const MAX_ENTRIES_PER_APPEND: usize = 200;
