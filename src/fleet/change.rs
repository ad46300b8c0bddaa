//! Changes of the fleet's configuration.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::fleet_document::FleetDocument;
use super::key::Key;

/// A committed change. Versions are consecutive, and each is taken by just one change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Version of the configuration after the change.
    pub version: u64,
    /// Random id by which its author recognises it after a lost answer.
    pub change_id: String,
    /// Who made the change.
    pub who: String,
    /// Why it was made.
    pub why: String,
    /// When it was made, in milliseconds since 1970 by the author's clock; for people only.
    pub at_unix_ms: u64,
    /// What changes.
    pub operation: Operation,
}

/// What a change does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Operation {
    /// Replaces the document.
    ApplyDocument {
        /// The new document.
        document: Box<FleetDocument>,
    },
    /// Adds a key for a workspace.
    IssueKey {
        /// The key, hashed.
        key: Key,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Id of the key.
        key_id: String,
    },
    /// Takes a data centre out of service.
    DataCentreOut {
        /// Name of the data centre.
        data_centre: String,
        /// Allows that a group is left without a majority.
        is_forced: bool,
    },
    /// Brings a data centre back.
    DataCentreIn {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Ends new work on a member.
    MemberLeaves {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
    },
    /// Allows new work on a member again.
    MemberReturns {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
    },
    /// Starts a generation: the daemons that share rates and connections from now on.
    StartGeneration {
        /// Names of the hosts, with the incarnations of their daemons.
        hosts: BTreeMap<String, u64>,
    },
}

impl fmt::Display for Operation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ApplyDocument { .. } => formatter.write_str("apply document"),
            Self::IssueKey { key } => write!(formatter, "issue key {}", key.key_id),
            Self::WithdrawKey { key_id } => write!(formatter, "withdraw key {key_id}"),
            Self::DataCentreOut { data_centre, .. } => {
                write!(formatter, "take data centre {data_centre} out")
            }
            Self::DataCentreIn { data_centre } => {
                write!(formatter, "bring data centre {data_centre} back")
            }
            Self::MemberLeaves { group, member } => {
                write!(formatter, "member {member} of {group} leaves")
            }
            Self::MemberReturns { group, member } => {
                write!(formatter, "member {member} of {group} returns")
            }
            Self::StartGeneration { hosts } => {
                write!(formatter, "start generation of {} hosts", hosts.len())
            }
        }
    }
}
