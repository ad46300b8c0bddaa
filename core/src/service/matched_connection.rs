//! A connection to a member on which every reply is matched to its command.

use crate::log_position::LogPosition;
use crate::member::IdleInput;
use crate::member::MemberCommand;
use crate::member::MemberConnection;
use crate::member::MemberError;
use crate::member::MemberReply;
use crate::member::MemberStatus;
use crate::reply_matcher::ReplyMatcher;
use crate::reply_mismatch::Mismatch;

/// Number of remembered signatures at which a connection is closed when it becomes idle. None may be
/// forgotten while it is in use, since a repeat may come at any time.
const MAX_SIGNATURES: usize = 1_024;

/// A connection to a member that delivers only replies which belong to the commands sent on it.
pub struct MatchedConnection {
    inner: Box<dyn MemberConnection>,
    matcher: ReplyMatcher,
}

impl MatchedConnection {
    /// Wraps a new connection.
    pub fn new(inner: Box<dyn MemberConnection>) -> Self {
        Self { inner, matcher: ReplyMatcher::default() }
    }

    /// Sends all commands in one batch and returns their replies in order. Repeats of earlier replies
    /// that are recognized as such are discarded. The connection must not be used again after an
    /// error, or if the call is dropped before it completes.
    ///
    /// # Errors
    ///
    /// Returns an error when a reply is missing or cannot be that of its command. Commands may have
    /// been carried out then.
    pub async fn exchange(
        &mut self,
        commands: &[MemberCommand],
    ) -> Result<Vec<MemberReply>, MemberError> {
        self.inner.send(commands).await?;
        let mut replies = Vec::with_capacity(commands.len());
        for command in commands {
            replies.push(self.receive(command).await?);
        }
        Ok(replies)
    }

    async fn receive(&mut self, command: &MemberCommand) -> Result<MemberReply, MemberError> {
        loop {
            let reply = self.inner.receive().await?;
            match self.matcher.check(command, &reply) {
                Ok(()) => return Ok(reply),
                Err(Mismatch::Repeated) => {}
                Err(mismatch) => return Err(MemberError::Mismatched(mismatch)),
            }
        }
    }

    /// Discards repeats that have arrived while no command waits for a reply.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection has ended, or something else has arrived. It must not be
    /// used again then; nothing was sent.
    pub fn discard_repeats(&mut self) -> Result<(), MemberError> {
        loop {
            match self.inner.take_input() {
                IdleInput::Nothing => return Ok(()),
                IdleInput::Reply(reply) => {
                    self.matcher.check_unasked(&reply).map_err(MemberError::Mismatched)?;
                }
                IdleInput::Unreadable => return Err(MemberError::Mismatched(Mismatch::Unasked)),
                IdleInput::Closed => {
                    let reason = "the member closed an idle connection";
                    return Err(MemberError::Closed(reason.to_owned()));
                }
            }
        }
    }

    /// Returns whether the connection may be kept for other sessions. One whose member repeats
    /// replies is not: a repeat that is cut off would be taken for the start of the next reply.
    pub fn is_reusable(&self) -> bool {
        self.matcher.repeats() == 0 && self.matcher.signatures() < MAX_SIGNATURES
    }

    /// Returns whether a transaction can be started on the connection if the member's log has reached
    /// `position`. The reply could be the repeat of an earlier one otherwise.
    pub fn can_begin(&self, position: LogPosition) -> bool {
        self.matcher.can_begin(position)
    }

    /// Returns whether a further failure on the connection could be the repeat of an earlier one, so that
    /// the outcome of a write would be unknown.
    pub fn has_failed(&self) -> bool {
        self.matcher.has_failed()
    }

    /// Returns the number of repeats that were discarded.
    pub fn repeats(&self) -> u64 {
        self.matcher.repeats()
    }

    /// Decodes the replication state from the reply to a status command.
    pub fn decode_status(&self, reply: &MemberReply) -> Option<MemberStatus> {
        self.inner.decode_status(reply)
    }
}
