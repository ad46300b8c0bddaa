//! Messages for a member, in a form that can be sent again.

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

use super::reply_plan::Awaited;
use super::reply_plan::ReplyPlan;
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
    /// Formats of the parameters.
    pub parameter_formats: Vec<i16>,
    /// Values of the parameters.
    pub parameters: Vec<Option<Bytes>>,
    /// Formats of the result's columns.
    pub result_formats: Vec<i16>,
}

/// A message for a member.
///
/// Prepared statements go to the member as the unnamed one, parsed anew where needed: a session's
/// next transaction may run on another connection, and nothing of it stays on this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkItem {
    /// A simple query.
    Query(String),
    /// A Parse; `is_added` tells that the caller did not send it here.
    Parse {
        /// Text of the statement.
        query: String,
        /// Types of the parameters.
        type_oids: Vec<u32>,
        /// Whether the daemon added it.
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
        /// Most rows to return; 0 for all.
        max_rows: i32,
    },
    /// A Close of a portal.
    ClosePortal(String),
    /// Ends a batch.
    Sync,
    /// Asks for the replies so far.
    Flush,
}

impl WorkItem {
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

    fn awaited(&self) -> Option<Awaited> {
        match self {
            Self::Query(_) | Self::Sync => Some(Awaited::Ready),
            Self::Parse { is_added: true, .. } => Some(Awaited::AddedParse),
            Self::Parse { .. } => Some(Awaited::Parse),
            Self::Bind(_) => Some(Awaited::Bind),
            Self::DescribeStatement => Some(Awaited::DescribeStatement),
            Self::DescribePortal(_) => Some(Awaited::DescribePortal),
            Self::Execute { .. } => Some(Awaited::Execute),
            Self::ClosePortal(_) => Some(Awaited::Close),
            Self::Flush => None,
        }
    }
}

/// Messages for a member with what they need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The messages.
    pub items: Vec<WorkItem>,
    /// Whether a statement among them must run on the primary.
    pub writes: bool,
    /// Whether they may leave state on the connection.
    pub taints: bool,
    /// Whether they may end the transaction block.
    pub ends_block: bool,
    /// Number of statements that they run.
    pub statements: u64,
}

impl Work {
    /// Returns the messages to send.
    pub fn to_messages(&self) -> Vec<Request> {
        self.items.iter().map(WorkItem::to_message).collect()
    }

    /// Returns the replies to expect.
    pub fn plan(&self) -> ReplyPlan {
        let mut plan = ReplyPlan::default();
        for awaited in self.items.iter().filter_map(WorkItem::awaited) {
            plan.push(awaited);
        }
        plan
    }

    /// Returns whether the member answers the messages with ReadyForQuery.
    pub fn ends_ready(&self) -> bool {
        matches!(self.items.last(), Some(WorkItem::Query(_) | WorkItem::Sync))
    }

    /// Takes a statement's needs into account.
    pub fn add_needs(&mut self, class: &StatementClass) {
        let is_unknown = *class == StatementClass::Unrecognised;
        self.writes |= *class != StatementClass::Read;
        self.taints |= is_unknown;
        self.ends_block |= is_unknown || class.controls_block();
    }

    /// Returns a text that tells the work's content apart from another's.
    pub fn content(&self) -> String {
        format!("{:?}", self.items)
    }
}
