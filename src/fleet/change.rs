//! Changes to the fleet's configuration.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::fleet_document::FleetDocument;
use super::key::Key;

/// A change to the configuration. Committed changes have consecutive versions, and exactly one
/// change has each version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Version of the configuration after the change.
    pub version: u64,
    /// Random id by which the daemon that appends the change recognises it if the response to the
    /// append was lost.
    pub change_id: String,
    /// Author of the change.
    pub who: String,
    /// Reason for the change.
    pub why: String,
    /// When it was made, in milliseconds since the Unix epoch by the clock of the daemon that
    /// appended it. For display only.
    pub at_unix_ms: u64,
    /// The operation.
    pub operation: Operation,
}

/// The operation of a change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Operation {
    /// Replaces the fleet's document.
    ApplyDocument {
        /// The new document.
        document: Box<FleetDocument>,
    },
    /// Adds a key for a workspace.
    IssueKey {
        /// The key, with the hash of its secret.
        key: Key,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Id of the key.
        key_id: String,
    },
    /// Takes a data centre out of service.
    DataCentreOut {
        /// Name of the data centre.
        data_centre: String,
        /// Whether to allow this even if it leaves a group without a majority of its members.
        is_forced: bool,
    },
    /// Brings a data centre back into service.
    DataCentreIn {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Takes a member out of service: it gets no new reads as a replica, and if it is the primary,
    /// another member is promoted.
    MemberLeaves {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
    },
    /// Returns a member to service.
    MemberReturns {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
    },
    /// Starts a generation: a new set of daemons that share rates and connections.
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
