//! Decides whether a reply of a member belongs to the command that waits for it.
//!
//! Replies carry no id, so the order alone relates them to commands, and a member may send a reply a
//! second time, late. What proves that a reply is not such a repeat:
//!
//! - Statements and commits: their signature, each of which is given out once.
//! - The start of a transaction: a log position beyond that of every earlier start on the connection.
//! - Failures: that there was none before on the connection.
//! - Other commands of the node: nothing. They do not fail, and a repeat surfaces as an unsigned reply
//!   when the next signed one is due.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::log_position::LogPosition;
use crate::member::MemberCommand;
use crate::member::MemberReply;
use crate::outcome::BlockState;
use crate::reply_mismatch::Mismatch;
use crate::statement::Access;

/// Signature of replies to the commands that a member does not sign.
const UNSIGNED: &str = "-";

/// Position that no other one is beyond.
const LAST_POSITION: LogPosition = LogPosition { term: u64::MAX, position: u64::MAX };

/// What a connection's earlier replies say about its next ones.
#[derive(Debug)]
pub struct ReplyMatcher {
    /// Digests of all signatures so far.
    signatures: HashSet<u64>,
    has_unsigned: bool,
    /// Greatest log position with which a transaction was started.
    begun_at: Option<LogPosition>,
    has_failed: bool,
    repeats: u64,
    block: BlockState,
}

impl Default for ReplyMatcher {
    fn default() -> Self {
        Self {
            signatures: HashSet::new(),
            has_unsigned: false,
            begun_at: None,
            has_failed: false,
            repeats: 0,
            block: BlockState::Idle,
        }
    }
}

impl ReplyMatcher {
    /// Checks the reply that arrived while `command` was the first one without a reply, and records
    /// it.
    ///
    /// # Errors
    ///
    /// Returns why the reply is not the command's. After [`Mismatch::Repeated`] the command's own
    /// reply is still to come; after any other mismatch the connection cannot be used further.
    pub fn check(&mut self, command: &MemberCommand, reply: &MemberReply) -> Result<(), Mismatch> {
        let Ok(signature) = &reply.result else {
            return self.check_failure(command, reply);
        };
        let is_signed = &**signature != UNSIGNED;
        let is_signature_due =
            matches!(command, MemberCommand::Run { .. } | MemberCommand::Commit { .. });
        if is_signed && self.is_known(signature) || !is_signed && is_signature_due {
            return Err(self.record_repeat(is_signed));
        }
        if is_signed && !is_signature_due {
            return Err(Mismatch::Signed);
        }
        let fits_rows = match command {
            MemberCommand::Run { access: Access::Read, .. } => true,
            MemberCommand::Status | MemberCommand::StepDown { .. } => reply.rows.len() == 1,
            _ => reply.rows.is_empty(),
        };
        if !fits_rows {
            return Err(Mismatch::Rows);
        }
        let block = match command {
            MemberCommand::Begin { .. } => BlockState::Open,
            MemberCommand::Commit { .. } => BlockState::Idle,
            _ => self.block,
        };
        if reply.block != block {
            return Err(Mismatch::State);
        }
        if matches!(command, MemberCommand::Begin { .. }) {
            if self.begun_at.is_some() && reply.position <= self.begun_at {
                return Err(Mismatch::Unproven);
            }
            self.begun_at = Some(reply.position.unwrap_or(LAST_POSITION));
        }
        self.block = block;
        match is_signed {
            true => drop(self.signatures.insert(xxh3_64(signature.as_bytes()))),
            false => self.has_unsigned = true,
        }
        Ok(())
    }

    /// Checks a reply that arrived while no command waited for one.
    ///
    /// # Errors
    ///
    /// The reply does not repeat an earlier one, and the connection cannot be used further.
    pub fn check_unasked(&mut self, reply: &MemberReply) -> Result<(), Mismatch> {
        match &reply.result {
            Ok(signature) if &**signature == UNSIGNED || self.is_known(signature) => {
                match self.record_repeat(&**signature != UNSIGNED) {
                    Mismatch::Repeated => Ok(()),
                    mismatch => Err(mismatch),
                }
            }
            _ => Err(Mismatch::Unasked),
        }
    }

    fn is_known(&self, signature: &str) -> bool {
        self.signatures.contains(&xxh3_64(signature.as_bytes()))
    }

    /// Records a reply that is surplus. Returns what it is.
    fn record_repeat(&mut self, is_signed: bool) -> Mismatch {
        if !is_signed && !self.has_unsigned {
            return Mismatch::Unsigned;
        }
        // A failure may be that of an earlier command, whose place an unsigned repeat took.
        self.has_failed |= !is_signed;
        self.repeats += 1;
        Mismatch::Repeated
    }

    fn check_failure(
        &mut self,
        command: &MemberCommand,
        reply: &MemberReply,
    ) -> Result<(), Mismatch> {
        let cannot_fail = matches!(
            command,
            MemberCommand::Set { .. } | MemberCommand::Prepare { .. } | MemberCommand::Reset
        );
        if cannot_fail {
            return Err(Mismatch::Failure);
        }
        if std::mem::replace(&mut self.has_failed, true) {
            return Err(Mismatch::Unproven);
        }
        self.block = reply.block;
        Ok(())
    }

    /// Returns the number of signatures that are remembered.
    pub fn signatures(&self) -> usize {
        self.signatures.len()
    }

    /// Returns whether the reply to the start of a transaction proves to be its own if the member's log
    /// has reached `position`.
    pub fn can_begin(&self, position: LogPosition) -> bool {
        self.begun_at.is_none_or(|begun_at| position > begun_at)
    }

    /// Returns whether a further failure could not be told from the repeat of an earlier one.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns the number of replies that the member has repeated.
    pub fn repeats(&self) -> u64 {
        self.repeats
    }
}
