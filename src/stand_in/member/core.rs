//! State machine for the role, the term and the log of a member, without input and output.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::statement::LoggedStatement;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// A log entry: a committed transaction, or the empty entry that a primary appends on promotion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the primary that committed it.
    pub term: u64,
    /// Writes of the transaction, in order.
    pub statements: Vec<LoggedStatement>,
}

/// Status that a member reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member considers itself primary. An isolated member may do so after another was
    /// promoted.
    pub is_primary: bool,
    /// Highest term that the member has accepted.
    pub accepted_term: u64,
    /// Term of the last received log entry.
    pub last_term: u64,
    /// Position of the last received log entry.
    pub last_position: u64,
    /// Term of the last applied log entry.
    pub applied_term: u64,
    /// Position of the last applied log entry.
    pub applied_position: u64,
    /// Time since the last message from a primary, in milliseconds; 0 on a primary.
    pub primary_silent_ms: u64,
    /// State when the member accepted its current term; of term 0 if it has accepted no other.
    pub previous_term_end: TermEnd,
}

/// State of a member at the moment it accepted a higher term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermEnd {
    /// The term that ended.
    pub term: u64,
    /// Whether the member considered itself primary.
    pub is_primary: bool,
    /// Term of the last received log entry.
    pub last_term: u64,
    /// Position of the last received log entry.
    pub last_position: u64,
}

/// Request of a primary to append log entries. Without entries it is a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the sender.
    pub term: u64,
    /// Position of the entry before the first sent one.
    pub previous_position: u64,
    /// Term of the entry at that position.
    pub previous_term: u64,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

/// Response to an [`AppendRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the receiver now has the entries.
    pub is_appended: bool,
    /// Highest term that the receiver has accepted.
    pub accepted_term: u64,
    /// Position of the receiver's last log entry.
    pub last_position: u64,
}

/// Role, term and log of a member.
#[derive(Debug)]
pub struct MemberCore {
    is_primary: bool,
    accepted_term: u64,
    /// Promoter to which the accepted term was granted; empty if it was learned from another
    /// member.
    granted_to: String,
    previous_term_end: TermEnd,
    log: Vec<LogEntry>,
    /// Time of receipt of each log entry.
    received_at: Vec<Instant>,
    /// Time of the last append request whose term was not outdated; initially, of the creation.
    last_append_at: Instant,
    /// Position of the last log entry that is applied to the data file.
    pub applied_position: u64,
    /// Whether applied log entries were removed, so that the data file must be recreated.
    pub needs_rebuild: bool,
    /// Number of times that the data file was recreated.
    pub data_generation: u64,
    /// Whether new write transactions are refused so that open ones can end before a planned
    /// failover.
    pub is_stepping_down: bool,
    /// Number of open transactions that may write.
    pub open_write_transactions: usize,
}

impl MemberCore {
    /// Creates a member in term 1 with an empty log.
    pub fn new(starts_as_primary: bool) -> Self {
        Self {
            is_primary: starts_as_primary,
            accepted_term: 1,
            granted_to: String::new(),
            previous_term_end: TermEnd::default(),
            log: Vec::new(),
            received_at: Vec::new(),
            last_append_at: Instant::now(),
            applied_position: 0,
            needs_rebuild: false,
            data_generation: 0,
            is_stepping_down: false,
            open_write_transactions: 0,
        }
    }

    /// Returns whether the member considers itself primary.
    pub fn is_primary(&self) -> bool {
        self.is_primary
    }

    /// Returns the highest term that the member has accepted.
    pub fn accepted_term(&self) -> u64 {
        self.accepted_term
    }

    /// Returns whether all received log entries are applied.
    pub fn is_fully_applied(&self) -> bool {
        !self.needs_rebuild && self.applied_position == self.last_position()
    }

    /// Returns the position of the last received log entry.
    pub fn last_position(&self) -> u64 {
        self.log.len() as u64
    }

    /// Returns the term of the log entry at a position, or 0 if there is none.
    pub fn term_at(&self, position: u64) -> u64 {
        match position {
            0 => 0,
            _ => self.log.get(position as usize - 1).map_or(0, |entry| entry.term),
        }
    }

    /// Returns the status at `now`.
    pub fn status(&self, now: Instant) -> MemberStatus {
        let silence = now.saturating_duration_since(self.last_append_at);
        let primary_silent_ms = match self.is_primary {
            true => 0,
            false => silence.as_millis() as u64,
        };
        MemberStatus {
            is_primary: self.is_primary,
            accepted_term: self.accepted_term,
            last_term: self.term_at(self.last_position()),
            last_position: self.last_position(),
            applied_term: self.term_at(self.applied_position),
            applied_position: self.applied_position,
            primary_silent_ms,
            previous_term_end: self.previous_term_end,
        }
    }

    /// Grants a term to a promoter if it is higher than the accepted one, or if it is the accepted
    /// one and was granted to the same promoter. A newly granted term ends the role of primary.
    pub fn accept_term(&mut self, term: u64, promoter: &str) -> bool {
        if term == self.accepted_term && self.granted_to == promoter {
            return true;
        }
        if term <= self.accepted_term {
            return false;
        }
        self.enter_term(term, promoter);
        self.is_stepping_down = false;
        true
    }

    fn enter_term(&mut self, term: u64, promoter: &str) {
        self.previous_term_end = TermEnd {
            term: self.accepted_term,
            is_primary: self.is_primary,
            last_term: self.term_at(self.last_position()),
            last_position: self.last_position(),
        };
        self.accepted_term = term;
        promoter.clone_into(&mut self.granted_to);
        self.is_primary = false;
    }

    /// Becomes primary of a term that was granted to the promoter, and appends an empty log entry,
    /// so that the log ends with an entry of the new term. Does nothing if it is primary already.
    ///
    /// # Errors
    ///
    /// Returns an error if the term is not the accepted one or was not granted to the promoter.
    pub fn promote(&mut self, term: u64, promoter: &str) -> Result<(), SqlError> {
        if term != self.accepted_term || promoter != self.granted_to {
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
        self.append_local(Vec::new());
        Ok(())
    }

    /// Appends a transaction that was committed on this member, and returns its position.
    pub fn append_local(&mut self, statements: Vec<LoggedStatement>) -> u64 {
        let term = self.accepted_term;
        self.log.push(LogEntry { term, statements });
        self.received_at.push(Instant::now());
        self.applied_position = self.last_position();
        self.last_position()
    }

    /// Appends log entries from a primary, if they continue a common prefix of both logs. Removes
    /// own entries that conflict with them.
    pub fn append(&mut self, request: AppendRequest, now: Instant) -> AppendReply {
        let is_current = request.term >= self.accepted_term;
        if is_current && request.term > self.accepted_term {
            self.enter_term(request.term, "");
        }
        let is_continuous = request.previous_position <= self.last_position()
            && self.term_at(request.previous_position) == request.previous_term;
        if is_current && !self.is_primary {
            self.last_append_at = now;
        }
        if !is_current || !is_continuous || self.is_primary {
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
                self.received_at.push(now);
            }
        }
        self.reply(true)
    }

    /// Removes the log entries after `position`.
    fn truncate(&mut self, position: u64) {
        self.log.truncate(position as usize);
        self.received_at.truncate(position as usize);
        if self.applied_position > position {
            self.needs_rebuild = true;
        }
    }

    fn reply(&self, is_appended: bool) -> AppendReply {
        AppendReply {
            is_appended,
            accepted_term: self.accepted_term,
            last_position: self.last_position(),
        }
    }

    /// Accepts the term of another member if it is higher, which ends the role of primary.
    pub fn observe_term(&mut self, term: u64) {
        if term > self.accepted_term {
            self.enter_term(term, "");
        }
    }

    /// Returns a request with the log entries after `position` that are at least `min_age` old.
    pub fn entries_after(&self, position: u64, now: Instant, min_age: Duration) -> AppendRequest {
        let position = position.min(self.last_position());
        let start = position as usize;
        let due_count = self.received_at[start..]
            .iter()
            .take_while(|received_at| now.saturating_duration_since(**received_at) >= min_age)
            .count();
        AppendRequest {
            term: self.accepted_term,
            previous_position: position,
            previous_term: self.term_at(position),
            entries: self.log[start..start + due_count.min(MAX_ENTRIES_PER_APPEND)].to_vec(),
        }
    }

    /// Returns the next log entry to apply, if it was received at least `min_age` ago.
    pub fn next_to_apply(&self, now: Instant, min_age: Duration) -> Option<LogEntry> {
        let index = self.applied_position as usize;
        let received_at = self.received_at.get(index)?;
        if now.saturating_duration_since(*received_at) < min_age {
            return None;
        }
        self.log.get(index).cloned()
    }
}

/// Maximum number of log entries in one request.
const MAX_ENTRIES_PER_APPEND: usize = 200;
