//! Decides whether a reply of a member belongs to the command that waits for it.
//!
//! Replies carry no id, so the order alone relates them to commands, and a member may send a reply a
//! second time, late. What a member signs is proof: each signature is given out once. Replies to the
//! node's own commands and failures are not signed. A repeat of the former surfaces when the next
//! signed reply is due, as an unsigned one; a failure is trusted only if it is the first one on its
//! connection, because it cannot be the repeat of another one then.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::member::MemberCommand;
use crate::member::MemberReply;
use crate::outcome::BlockState;
use crate::reply_mismatch::Mismatch;

/// Signature of replies to the commands that a member does not sign.
const UNSIGNED: &str = "-";

/// What a connection's earlier replies say about its next ones.
#[derive(Debug)]
pub struct ReplyMatcher {
    /// Digests of all signatures so far.
    signatures: HashSet<u64>,
    has_failed: bool,
    repeats: u64,
    block: BlockState,
}

impl Default for ReplyMatcher {
    fn default() -> Self {
        Self { signatures: HashSet::new(), has_failed: false, repeats: 0, block: BlockState::Idle }
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
        let is_signed = matches!(command, MemberCommand::Run { .. } | MemberCommand::Commit { .. });
        let Ok(signature) = &reply.result else {
            return self.check_failure(command, reply);
        };
        match (&**signature != UNSIGNED, is_signed) {
            (true, _) if self.signatures.contains(&xxh3_64(signature.as_bytes())) => {
                self.repeats += 1;
                return Err(Mismatch::Repeated);
            }
            (true, false) => return Err(Mismatch::Signed),
            (false, true) => {
                // Another unsigned reply came twice, and a failure may be that of an earlier command.
                self.has_failed = true;
                self.repeats += 1;
                return Err(Mismatch::Repeated);
            }
            _ => {}
        }
        let returns_row = matches!(command, MemberCommand::Status | MemberCommand::StepDown { .. });
        if !is_signed && reply.rows.len() != usize::from(returns_row) {
            return Err(Mismatch::Rows);
        }
        let block = match command {
            MemberCommand::Begin { .. } => BlockState::Open,
            MemberCommand::Commit { .. } | MemberCommand::Rollback => BlockState::Idle,
            _ => self.block,
        };
        if reply.block != block {
            return Err(Mismatch::State);
        }
        self.block = block;
        if is_signed {
            self.signatures.insert(xxh3_64(signature.as_bytes()));
        }
        Ok(())
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
            return Err(Mismatch::SecondFailure);
        }
        self.block = reply.block;
        Ok(())
    }

    /// Returns the number of signatures that are remembered.
    pub fn signatures(&self) -> usize {
        self.signatures.len()
    }

    /// Returns whether a failure could not be told from the repeat of an earlier one.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns the number of replies that the member has repeated.
    pub fn repeats(&self) -> u64 {
        self.repeats
    }
}
