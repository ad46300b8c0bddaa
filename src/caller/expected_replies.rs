//! Matches the replies of a member to the messages that were sent to it.

use std::collections::VecDeque;

use pgwire::messages::PgWireBackendMessage as Reply;

/// A message whose replies have not all arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedReply {
    /// A Parse that the caller sent.
    Parse,
    /// A Parse that the daemon added, so that its reply is not passed to the caller.
    AddedParse,
    /// A Bind.
    Bind,
    /// A Close.
    Close,
    /// A Describe of a statement.
    DescribeStatement,
    /// A Describe of a portal.
    DescribePortal,
    /// An Execute.
    Execute,
    /// A Query or Sync, whose replies end with ReadyForQuery.
    Ready,
}

/// How to handle a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyAction {
    /// Pass it to the caller.
    Forward,
    /// Do not pass it to the caller.
    Discard,
    /// It does not answer the next message: the connection is out of sync and must not be used
    /// again.
    Unexpected,
}

/// The messages whose replies have not all arrived, in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub struct ExpectedReplies {
    awaited: VecDeque<AwaitedReply>,
}

impl ExpectedReplies {
    /// Adds a message that was sent.
    pub fn push(&mut self, awaited: AwaitedReply) {
        self.awaited.push_back(awaited);
    }

    /// Returns whether all replies have arrived.
    pub fn is_done(&self) -> bool {
        self.awaited.is_empty()
    }

    /// Matches the next reply and returns how to handle it.
    pub fn match_reply(&mut self, reply: &Reply) -> ReplyAction {
        let Some(next) = self.awaited.front().copied() else {
            return ReplyAction::Unexpected;
        };
        match reply {
            Reply::NoticeResponse(_) => return ReplyAction::Forward,
            Reply::ParameterStatus(_) | Reply::NotificationResponse(_) => {
                return ReplyAction::Discard;
            }
            Reply::ErrorResponse(_) => {
                self.skip_to_ready();
                return ReplyAction::Forward;
            }
            _ => {}
        }
        if next == AwaitedReply::Ready {
            return self.match_until_ready(reply);
        }
        let (fits, ends) = match (next, reply) {
            (AwaitedReply::Parse | AwaitedReply::AddedParse, Reply::ParseComplete(_)) => {
                (true, true)
            }
            (AwaitedReply::Bind, Reply::BindComplete(_)) => (true, true),
            (AwaitedReply::Close, Reply::CloseComplete(_)) => (true, true),
            (AwaitedReply::DescribeStatement, Reply::ParameterDescription(_)) => (true, false),
            (
                AwaitedReply::DescribeStatement | AwaitedReply::DescribePortal,
                Reply::RowDescription(_) | Reply::NoData(_),
            ) => (true, true),
            (AwaitedReply::Execute, Reply::DataRow(_)) => (true, false),
            (
                AwaitedReply::Execute,
                Reply::CommandComplete(_)
                | Reply::EmptyQueryResponse(_)
                | Reply::PortalSuspended(_),
            ) => (true, true),
            _ => (false, false),
        };
        if ends {
            self.awaited.pop_front();
        }
        match (fits, next) {
            (false, _) => ReplyAction::Unexpected,
            (true, AwaitedReply::AddedParse) => ReplyAction::Discard,
            (true, _) => ReplyAction::Forward,
        }
    }

    fn match_until_ready(&mut self, reply: &Reply) -> ReplyAction {
        match reply {
            Reply::ReadyForQuery(_) => {
                self.awaited.pop_front();
                ReplyAction::Discard
            }
            Reply::RowDescription(_)
            | Reply::DataRow(_)
            | Reply::CommandComplete(_)
            | Reply::EmptyQueryResponse(_) => ReplyAction::Forward,
            _ => ReplyAction::Unexpected,
        }
    }

    /// Drops the messages before the next Sync, because the member skips them after an error.
    fn skip_to_ready(&mut self) {
        while self.awaited.front().is_some_and(|awaited| *awaited != AwaitedReply::Ready) {
            self.awaited.pop_front();
        }
    }
}
