//! Requests for configuration changes, and their outcomes.

use std::fmt;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::fleet::change::Change;
use crate::fleet::change::Operation;
use crate::fleet::finding::Finding;

/// A configuration change that an operator or a daemon requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The change to make.
    pub operation: Operation,
    /// Version that the request is based on: the change is refused if the configuration has another
    /// version. None for a change that does not depend on the version.
    pub expected_version: Option<u64>,
    /// Author of the request.
    pub who: String,
    /// Reason for the change.
    pub why: String,
}

/// Confirmation of a committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReceipt {
    /// Version of the configuration after the change.
    pub version: u64,
    /// Whether a majority of the daemons knows the change. If so, it is in force on every serving
    /// daemon within one lease period, because a daemon without it loses its lease by then.
    pub is_accepted: bool,
    /// Names of the hosts on which the change is known to be in force.
    pub in_force_on: Vec<String>,
    /// Number of entry hosts in the fleet.
    pub hosts: u64,
}

/// Why a change was not confirmed as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeError {
    /// The change violates a rule of the configuration.
    Invalid(Vec<Finding>),
    /// Another change was committed first, or the expected version does not exist yet.
    Overtaken {
        /// Version of the other change; the one after the expected version if there is none.
        version: u64,
        /// Author of the other change, or text that says that there is none.
        who: String,
        /// Description of the other change, or text that says which version is missing.
        what: String,
    },
    /// The table did not respond. The change may have been committed; if so, it appears in the
    /// history.
    TableUnavailable(String),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => {
                let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
                formatter.write_str(&lines.join("\n"))
            }
            Self::Overtaken { version, who, what } => write!(
                formatter,
                "not done: {who} came first with version {version} ({what}); \
                 check the history and try again"
            ),
            Self::TableUnavailable(reason) => {
                write!(
                    formatter,
                    "outcome unknown: {reason}; check the history before trying again"
                )
            }
        }
    }
}

/// Creates the change for a request, at the version after `version`, with a new random id.
pub fn new_change(request: &ChangeRequest, version: u64) -> Change {
    Change {
        version: version + 1,
        change_id: format!("{:032x}", rand::rng().random::<u128>()),
        who: request.who.clone(),
        why: request.why.clone(),
        at_unix_ms: clock::unix_ms(),
        operation: request.operation.clone(),
    }
}
