//! Changes of the configuration that operators ask for.

use std::fmt;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::fleet::change::Change;
use crate::fleet::change::Operation;
use crate::fleet::finding::Finding;

/// A change that an operator asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// What to change.
    pub operation: Operation,
    /// Version on which the operator's decision rests; none for a change that holds on any.
    pub expected_version: Option<u64>,
    /// Who asks.
    pub who: String,
    /// Why.
    pub why: String,
}

/// A change that took place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReceipt {
    /// Version of the configuration after the change.
    pub version: u64,
    /// Whether a majority of the daemons knows it. It is then in force everywhere within the
    /// lease, after which a daemon that does not know it no longer serves.
    pub is_accepted: bool,
    /// Hosts known to have it in force.
    pub in_force_on: Vec<String>,
    /// Hosts of the fleet.
    pub hosts: u64,
}

/// Why a change did not take place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeError {
    /// The change does not fit.
    Invalid(Vec<Finding>),
    /// Another change came first.
    Overtaken {
        /// Version that the other change took.
        version: u64,
        /// Who made it.
        who: String,
        /// What it was.
        what: String,
    },
    /// The table gave no answer; the change may have taken place and shows in the history then.
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
                "not done: {who} came first with version {version} ({what}); look at it and try again"
            ),
            Self::TableUnavailable(reason) => {
                write!(formatter, "outcome unknown: {reason}; see the history before trying again")
            }
        }
    }
}

/// Makes a change out of a request, for the version after `version`.
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
