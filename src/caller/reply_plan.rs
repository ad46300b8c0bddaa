//! Matches the replies of a member to the messages that were sent.

use std::collections::VecDeque;

use pgwire::messages::PgWireBackendMessage as Reply;

/// A message whose replies are still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// A Parse of the caller's.
    Parse,
    /// A Parse that the daemon added; its reply is not for the caller.
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
    /// A Query or Sync, which ends with ReadyForQuery.
    Ready,
}

/// What to do with a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it to the caller.
    Forward,
    /// It is not for the caller.
    Swallow,
    /// It answers nothing that was asked: the connection cannot be trusted.
    Unexpected,
}

/// The messages whose replies are still to come, in order.
#[derive(Clone, Debug, Default)]
pub struct ReplyPlan {
    awaited: VecDeque<Awaited>,
}

impl ReplyPlan {
    /// Adds a message that was sent.
    pub fn push(&mut self, awaited: Awaited) {
        self.awaited.push_back(awaited);
    }

    /// Returns whether all replies have come.
    pub fn is_done(&self) -> bool {
        self.awaited.is_empty()
    }

    /// Takes the next reply into account.
    pub fn take(&mut self, reply: &Reply) -> Verdict {
        let Some(next) = self.awaited.front().copied() else {
            return Verdict::Unexpected;
        };
        match reply {
            Reply::NoticeResponse(_) => return Verdict::Forward,
            Reply::ParameterStatus(_) | Reply::NotificationResponse(_) => return Verdict::Swallow,
            Reply::ErrorResponse(_) => {
                self.skip_to_ready();
                return Verdict::Forward;
            }
            _ => {}
        }
        if next == Awaited::Ready {
            return self.take_until_ready(reply);
        }
        let (fits, ends) = match (next, reply) {
            (Awaited::Parse | Awaited::AddedParse, Reply::ParseComplete(_)) => (true, true),
            (Awaited::Bind, Reply::BindComplete(_)) => (true, true),
            (Awaited::Close, Reply::CloseComplete(_)) => (true, true),
            (Awaited::DescribeStatement, Reply::ParameterDescription(_)) => (true, false),
            (
                Awaited::DescribeStatement | Awaited::DescribePortal,
                Reply::RowDescription(_) | Reply::NoData(_),
            ) => (true, true),
            (Awaited::Execute, Reply::DataRow(_)) => (true, false),
            (
                Awaited::Execute,
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
            (false, _) => Verdict::Unexpected,
            (true, Awaited::AddedParse) => Verdict::Swallow,
            (true, _) => Verdict::Forward,
        }
    }

    fn take_until_ready(&mut self, reply: &Reply) -> Verdict {
        match reply {
            Reply::ReadyForQuery(_) => {
                self.awaited.pop_front();
                Verdict::Swallow
            }
            Reply::RowDescription(_)
            | Reply::DataRow(_)
            | Reply::CommandComplete(_)
            | Reply::EmptyQueryResponse(_) => Verdict::Forward,
            _ => Verdict::Unexpected,
        }
    }

    /// After an error the member skips everything up to the next Sync.
    fn skip_to_ready(&mut self) {
        while self.awaited.front().is_some_and(|awaited| *awaited != Awaited::Ready) {
            self.awaited.pop_front();
        }
    }
}
