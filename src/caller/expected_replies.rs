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
    /// A Query, whose replies end with ReadyForQuery.
    Query,
    /// A Sync, whose only reply is ReadyForQuery.
    Sync,
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
    /// What has arrived in reply to the current Query, or since an error.
    query: QueryProgress,
}

/// What has arrived in reply to a Query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum QueryProgress {
    /// Nothing.
    #[default]
    Nothing,
    /// The description of rows, and perhaps rows.
    Rows,
    /// The results of all statements so far.
    Results,
    /// An error, after which only ReadyForQuery may follow.
    Error,
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
                if self.query == QueryProgress::Error {
                    return ReplyAction::Unexpected;
                }
                self.skip_to_ready();
                self.query = QueryProgress::Error;
                return ReplyAction::Forward;
            }
            _ => {}
        }
        if matches!(next, AwaitedReply::Query | AwaitedReply::Sync) {
            return self.match_until_ready(next, reply);
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

    /// Matches a reply to a Query or Sync. The reply to an earlier message may look alike, but not
    /// where it leaves the Query without a result or adds one to the Sync.
    fn match_until_ready(&mut self, next: AwaitedReply, reply: &Reply) -> ReplyAction {
        let may_end = match next {
            AwaitedReply::Query => {
                matches!(self.query, QueryProgress::Results | QueryProgress::Error)
            }
            _ => true,
        };
        if matches!(reply, Reply::ReadyForQuery(_)) && may_end {
            self.awaited.pop_front();
            self.query = QueryProgress::Nothing;
            return ReplyAction::Discard;
        }
        if next != AwaitedReply::Query {
            return ReplyAction::Unexpected;
        }
        self.query = match (self.query, reply) {
            (QueryProgress::Nothing | QueryProgress::Results, Reply::RowDescription(_))
            | (QueryProgress::Rows, Reply::DataRow(_)) => QueryProgress::Rows,
            (QueryProgress::Error, _) => return ReplyAction::Unexpected,
            (_, Reply::CommandComplete(_) | Reply::EmptyQueryResponse(_)) => QueryProgress::Results,
            _ => return ReplyAction::Unexpected,
        };
        ReplyAction::Forward
    }

    /// Drops the messages before the next Query or Sync, because the member skips them after an
    /// error.
    fn skip_to_ready(&mut self) {
        let ends =
            |awaited: &AwaitedReply| matches!(awaited, AwaitedReply::Query | AwaitedReply::Sync);
        while self.awaited.front().is_some_and(|awaited| !ends(awaited)) {
            self.awaited.pop_front();
        }
    }
}
