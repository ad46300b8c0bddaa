//! What daemons say to each other on a relay connection besides the members' messages.

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::startup::ParameterStatus;
use serde::Deserialize;
use serde::Serialize;

use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::log_position::LogPosition;

/// User name of daemons on relay connections.
pub const RELAY_USER: &str = "snipehead-relay";

/// Start of the query that asks for a lane.
const ASK_PREFIX: &str = "SNIPEHEAD LANE ";

/// Query that gives a lane back for reuse.
const RELEASE_CLEAN: &str = "SNIPEHEAD RELEASE CLEAN";

/// Query that gives a lane back to be closed.
const RELEASE_DIRTY: &str = "SNIPEHEAD RELEASE DIRTY";

/// Parameter by which a home tells of a lane that it granted.
const GRANT_PARAMETER: &str = "snipehead.lane";

/// Parameter by which a home tells that no majority confirmed a commit.
pub const NOT_ACKNOWLEDGED_PARAMETER: &str = "snipehead.not_acknowledged";

/// A query on a relay connection that is for the home itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayCommand {
    /// Asks for a lane.
    Ask(ConnectionRequest),
    /// Gives the lane back; tells whether its connection may be used again.
    Release {
        /// Whether the connection's state is known.
        is_clean: bool,
    },
}

/// What a home tells of a lane that it granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayGrant {
    /// Place that the lane's reads include.
    pub floor: LogPosition,
    /// Whether a replica serves it.
    pub is_replica: bool,
}

impl RelayCommand {
    /// Returns the query's text.
    pub fn to_sql(&self) -> String {
        match self {
            Self::Ask(request) => {
                let json = serde_json::to_string(request).unwrap_or_default();
                format!("{ASK_PREFIX}{json}")
            }
            Self::Release { is_clean: true } => RELEASE_CLEAN.to_owned(),
            Self::Release { is_clean: false } => RELEASE_DIRTY.to_owned(),
        }
    }

    /// Reads a query's text; `None` when it is for the member.
    pub fn parse(sql: &str) -> Option<Self> {
        match sql {
            RELEASE_CLEAN => Some(Self::Release { is_clean: true }),
            RELEASE_DIRTY => Some(Self::Release { is_clean: false }),
            _ => {
                let json = sql.strip_prefix(ASK_PREFIX)?;
                serde_json::from_str(json).ok().map(Self::Ask)
            }
        }
    }
}

impl RelayGrant {
    /// Returns the message that carries the grant.
    pub fn to_message(self) -> Reply {
        let json = serde_json::to_string(&self).unwrap_or_default();
        Reply::ParameterStatus(ParameterStatus::new(GRANT_PARAMETER.to_owned(), json))
    }

    /// Reads a grant out of a message.
    pub fn from_message(reply: &Reply) -> Option<Self> {
        match reply {
            Reply::ParameterStatus(status) if status.name == GRANT_PARAMETER => {
                serde_json::from_str(&status.value).ok()
            }
            _ => None,
        }
    }
}
