//! Messages for a member, kept so that they can be sent again on another connection.

use bytes::Bytes;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Flush;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::simplequery::Query;

use super::expected_replies::AwaitedReply;
use super::expected_replies::ExpectedReplies;
use super::statement_class::StatementClass;

/// Type code of a prepared statement in Describe and Close.
pub const STATEMENT_TARGET: u8 = b'S';

/// Type code of a portal in Describe and Close.
pub const PORTAL_TARGET: u8 = b'P';

/// Parameters and formats of a Bind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BindContent {
    /// Name of the portal; empty for the unnamed one.
    pub portal: String,
    /// Format codes of the parameters.
    pub parameter_formats: Vec<i16>,
    /// Values of the parameters.
    pub parameters: Vec<Option<Bytes>>,
    /// Format codes of the result columns.
    pub result_formats: Vec<i16>,
}

/// A message for a member.
///
/// Every prepared statement is sent to the member as the unnamed statement and parsed again where
/// needed. A session's next transaction may run on another connection, and none of its statements
/// may stay on this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchMessage {
    /// A simple query.
    Query(String),
    /// A Parse of the unnamed statement.
    Parse {
        /// Text of the statement.
        query: String,
        /// Type OIDs of the parameters.
        type_oids: Vec<u32>,
        /// Whether the daemon added it because the caller's Parse was sent earlier.
        is_added: bool,
    },
    /// A Bind of the unnamed statement.
    Bind(BindContent),
    /// A Describe of the unnamed statement.
    DescribeStatement,
    /// A Describe of a portal.
    DescribePortal(String),
    /// An Execute of a portal.
    Execute {
        /// Name of the portal.
        portal: String,
        /// Maximum number of rows to return; 0 for all.
        max_rows: i32,
    },
    /// A Close of a portal.
    ClosePortal(String),
    /// A Sync, which ends a batch.
    Sync,
    /// A Flush, which requests the replies so far.
    Flush,
}

impl BatchMessage {
    fn to_message(&self) -> Request {
        match self {
            Self::Query(sql) => Request::Query(Query::new(sql.clone())),
            Self::Parse { query, type_oids, .. } => {
                Request::Parse(Parse::new(None, query.clone(), type_oids.clone()))
            }
            Self::Bind(content) => Request::Bind(Bind::new(
                Some(content.portal.clone()),
                None,
                content.parameter_formats.clone(),
                content.parameters.clone(),
                content.result_formats.clone(),
            )),
            Self::DescribeStatement => Request::Describe(Describe::new(STATEMENT_TARGET, None)),
            Self::DescribePortal(portal) => {
                Request::Describe(Describe::new(PORTAL_TARGET, Some(portal.clone())))
            }
            Self::Execute { portal, max_rows } => {
                Request::Execute(Execute::new(Some(portal.clone()), *max_rows))
            }
            Self::ClosePortal(portal) => {
                Request::Close(Close::new(PORTAL_TARGET, Some(portal.clone())))
            }
            Self::Sync => Request::Sync(Sync::new()),
            Self::Flush => Request::Flush(Flush::new()),
        }
    }

    fn awaited(&self) -> Option<AwaitedReply> {
        match self {
            Self::Query(_) => Some(AwaitedReply::Query),
            Self::Sync => Some(AwaitedReply::Sync),
            Self::Parse { is_added: true, .. } => Some(AwaitedReply::AddedParse),
            Self::Parse { .. } => Some(AwaitedReply::Parse),
            Self::Bind(_) => Some(AwaitedReply::Bind),
            Self::DescribeStatement => Some(AwaitedReply::DescribeStatement),
            Self::DescribePortal(_) => Some(AwaitedReply::DescribePortal),
            Self::Execute { .. } => Some(AwaitedReply::Execute),
            Self::ClosePortal(_) => Some(AwaitedReply::Close),
            Self::Flush => None,
        }
    }
}

/// Messages for a member, with their combined requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestBatch {
    /// The messages.
    pub messages: Vec<BatchMessage>,
    /// Whether a statement among them must run on the primary.
    pub writes: bool,
    /// Whether they may leave session state on the connection.
    pub dirties_connection: bool,
    /// Whether they may end the transaction block.
    pub ends_block: bool,
    /// Number of statements that they execute.
    pub statements: u64,
}

impl RequestBatch {
    /// Encodes the messages.
    pub fn to_messages(&self) -> Vec<Request> {
        self.messages.iter().map(BatchMessage::to_message).collect()
    }

    /// Returns the bytes of the texts and parameters.
    pub fn text_bytes(&self) -> usize {
        let bytes = |message: &BatchMessage| match message {
            BatchMessage::Query(text) | BatchMessage::Parse { query: text, .. } => text.len(),
            BatchMessage::Bind(content) => {
                content.parameters.iter().flatten().map(Bytes::len).sum()
            }
            _ => 0,
        };
        self.messages.iter().map(bytes).sum()
    }

    /// Returns the replies to expect, in order.
    pub fn expected_replies(&self) -> ExpectedReplies {
        let mut replies = ExpectedReplies::default();
        for awaited in self.messages.iter().filter_map(BatchMessage::awaited) {
            replies.push(awaited);
        }
        replies
    }

    /// Returns whether the member ends its replies with ReadyForQuery.
    pub fn expects_ready(&self) -> bool {
        matches!(self.messages.last(), Some(BatchMessage::Query(_) | BatchMessage::Sync))
    }

    /// Adds the requirements of a statement.
    pub fn add_requirements(&mut self, class: &StatementClass) {
        let is_unrecognised = *class == StatementClass::Unrecognised;
        self.writes |= *class != StatementClass::Read;
        self.dirties_connection |= is_unrecognised;
        self.ends_block |= is_unrecognised || class.controls_block();
    }

    /// Returns the text from which the digest of a request with an id is computed.
    ///
    /// The digest is stored with the id. The text contains the names of `BindContent` and of the
    /// variants and fields of `BatchMessage`, so these names must not change.
    pub fn digest_input(&self) -> String {
        format!("{:?}", self.messages)
    }
}
