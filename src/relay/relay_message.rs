//! Messages on a relay connection that are meant for the daemons themselves, not for a caller or a
//! member. The daemon that grants connections to a group's members is called a home of the group.

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::startup::ParameterStatus;
use serde::Deserialize;
use serde::Serialize;

use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::log_position::LogPosition;

/// User name that daemons give when they open a relay connection.
pub const RELAY_USER: &str = "snipehead-relay";

/// Start of every query that is addressed to the home.
const COMMAND_PREFIX: &str = "SNIPEHEAD ";

/// Start of the query that requests a connection to a member; the request follows as JSON.
const ACQUIRE_PREFIX: &str = "SNIPEHEAD LANE ";

/// Query that releases the connection to the member for reuse.
const RELEASE_CLEAN: &str = "SNIPEHEAD RELEASE CLEAN";

/// Query that releases the connection to the member, which is then closed.
const RELEASE_DIRTY: &str = "SNIPEHEAD RELEASE DIRTY";

/// ParameterStatus in which a home describes the connection that it granted.
const GRANT_PARAMETER: &str = "snipehead.lane";

/// ParameterStatus in which a home names the request that it answers next.
const ANSWERED_PARAMETER: &str = "snipehead.answered";

/// ParameterStatus in which a home reports that no majority confirmed a commit in time.
pub const NOT_ACKNOWLEDGED_PARAMETER: &str = "snipehead.not_acknowledged";

/// A query on a relay connection that is addressed to the home, not to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayCommand {
    /// Requests a connection to a member.
    Acquire(RelayRequest),
    /// Releases the connection to the member.
    Release {
        /// Whether the connection has no session state left, so that it may be reused.
        is_clean: bool,
    },
}

/// A request for a connection to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Number of the request on its relay connection, which precedes the answer.
    pub number: u64,
    /// What is required of the connection.
    pub request: ConnectionRequest,
}

/// Description of a connection that a home granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayGrant {
    /// Log position that the connection's reads include.
    pub floor: LogPosition,
    /// Whether it leads to a replica.
    pub is_replica: bool,
}

impl RelayCommand {
    /// Returns the text of the query.
    pub fn to_sql(&self) -> String {
        match self {
            Self::Acquire(request) => {
                let json = serde_json::to_string(request).unwrap_or_default();
                format!("{ACQUIRE_PREFIX}{json}")
            }
            Self::Release { is_clean: true } => RELEASE_CLEAN.to_owned(),
            Self::Release { is_clean: false } => RELEASE_DIRTY.to_owned(),
        }
    }

    /// Parses the text of a query. Returns `None` when it is addressed to the member, or is a
    /// request that cannot be decoded.
    pub fn parse(sql: &str) -> Option<Self> {
        match sql {
            RELEASE_CLEAN => Some(Self::Release { is_clean: true }),
            RELEASE_DIRTY => Some(Self::Release { is_clean: false }),
            _ => {
                let json = sql.strip_prefix(ACQUIRE_PREFIX)?;
                serde_json::from_str(json).ok().map(Self::Acquire)
            }
        }
    }
}

/// Returns the text of a caller's query in a form that the home does not take for a command.
///
/// A blank in front changes nothing for the member, which refuses such a text anyway.
pub fn escape_query(sql: &str) -> Option<String> {
    sql.starts_with(COMMAND_PREFIX).then(|| format!(" {sql}"))
}

impl RelayGrant {
    /// Encodes the grant as a message.
    pub fn to_message(self) -> Reply {
        let json = serde_json::to_string(&self).unwrap_or_default();
        Reply::ParameterStatus(ParameterStatus::new(GRANT_PARAMETER.to_owned(), json))
    }

    /// Decodes a grant from a message. Returns `None` for any other message.
    pub fn from_message(reply: &Reply) -> Option<Self> {
        match reply {
            Reply::ParameterStatus(status) if status.name == GRANT_PARAMETER => {
                serde_json::from_str(&status.value).ok()
            }
            _ => None,
        }
    }
}

/// Encodes the number of the request that is answered next.
pub fn answered_message(number: u64) -> Reply {
    let name = ANSWERED_PARAMETER.to_owned();
    Reply::ParameterStatus(ParameterStatus::new(name, number.to_string()))
}

/// Decodes the number of the request that is answered next. Returns `None` for any other message.
pub fn answered_number(reply: &Reply) -> Option<u64> {
    match reply {
        Reply::ParameterStatus(status) if status.name == ANSWERED_PARAMETER => {
            status.value.parse().ok()
        }
        _ => None,
    }
}
