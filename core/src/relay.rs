//! The protocol between nodes: statements for the owner of a service, and what nodes tell each
//! other.

mod client;
mod server;

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::lease_table::LeaseRecord;
use crate::lease_table::ObservedLease;
use crate::log_position::LogPosition;
use crate::member::MemberEntry;
use crate::name::Name;
use crate::node_record::NodeRecord;
use crate::outcome::Answer;
use crate::outcome::Refusal;
use crate::owner_directory::Owner;
pub use crate::relay::client::PeerPool;
pub use crate::relay::client::RelayError;
pub use crate::relay::client::detect_dead_peer;
pub use crate::relay::server::serve_peers;
use crate::statement::Access;
use crate::statement::DataStatement;
use crate::store_clock::ClockBounds;
use crate::tenant_rates::TokenGrant;

/// Greatest age of the proof of a configuration with which a node counts as reaching the store, in
/// milliseconds: a round of news and a half.
pub const FRESH_PROOF_MS: u64 = 1_500;

/// What a read must include.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadRequirement {
    /// The primary answers.
    Primary,
    /// Commits older than `max_staleness_ms`, and everything up to `floor`.
    BoundedStaleness {
        /// Greatest accepted age, in milliseconds.
        max_staleness_ms: u64,
        /// Newest position of the session's own commits.
        floor: Option<LogPosition>,
    },
}

/// A transaction to start before the first statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTransaction {
    /// The caller's id of the statement that starts it.
    pub id: Name,
    /// Whether it only reads.
    pub is_read_only: bool,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallAction {
    /// Runs a data statement.
    Run(DataStatement),
    /// Commits.
    Commit {
        /// The caller's id.
        id: Name,
    },
    /// Drops the transaction.
    Rollback,
}

impl CallAction {
    /// The caller's id, for logs.
    pub fn id(&self) -> &str {
        match self {
            Self::Run(work) => &work.id,
            Self::Commit { id } => id,
            Self::Rollback => "-",
        }
    }
}

/// One statement for the owner of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Service that runs it.
    pub service: Name,
    /// Tenant for whom it runs.
    pub tenant: Name,
    /// Transaction that it belongs to, if one is open at the owner.
    pub transaction: Option<u64>,
    /// Transaction to start first.
    pub begin: Option<BeginTransaction>,
    /// What to do.
    pub action: CallAction,
    /// Values of the session.
    pub values: Vec<(Name, Name)>,
    /// What reads must include.
    pub read_requirement: ReadRequirement,
    /// Whether this is the first statement of an operation, which counts against the rate.
    pub starts_operation: bool,
    /// Time left for this statement, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which it may wait before a member gets it, in milliseconds.
    pub max_queue_ms: u64,
    /// Time left of the latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

impl Call {
    /// Returns whether the call can change data for good.
    pub fn may_take_effect(&self) -> bool {
        match &self.action {
            CallAction::Run(work) => {
                self.transaction.is_none() && self.begin.is_none() && work.access == Access::Write
            }
            CallAction::Commit { .. } => true,
            CallAction::Rollback => false,
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// A member answered.
    Done {
        /// The member's answer.
        answer: Answer,
        /// The open transaction, if there is one after the statement.
        transaction: Option<u64>,
    },
    /// It failed. No transaction is open any more.
    Refused(Refusal),
    /// This node does not own the service. Nothing was done.
    NotOwner {
        /// The owner, if this node knows one.
        owner: Option<Owner>,
    },
}

/// A lease that its holder gives away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseOffer {
    /// Service whose lease it is.
    pub service: Name,
    /// The present record.
    pub record: LeaseRecord,
    /// Version of the present record.
    pub version: u64,
}

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Version of its configuration.
    pub configuration_version: u64,
    /// For how long that version has not been proven to be the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Time since its process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// How many services it owns, or is about to.
    pub owned: u64,
}

impl PeerReport {
    /// Returns whether the node has just heard of the store.
    pub fn has_fresh_proof(&self) -> bool {
        self.proof_age_ms.is_some_and(|age_ms| age_ms <= FRESH_PROOF_MS)
    }
}

/// What a node knows already, when it asks another for news.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataRequest {
    /// Digest of its configuration.
    pub configuration: u64,
    /// Digest of its owners of services and nodes.
    pub owners: u64,
    /// Digest of its list of members; `None` if it needs no list.
    pub members: Option<u64>,
    /// Whether it needs the leases, to take over one that lapses.
    pub wants_leases: bool,
}

/// What a node knows that the asking one does not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetadataUpdate {
    /// For how long the configuration has not been proven to be the newest, in milliseconds.
    pub proof_age_ms: u64,
    /// The configuration, if it differs.
    pub configuration: Option<Configuration>,
    /// The owners of services, if they or the nodes differ.
    pub owners: Option<Vec<(Name, Owner)>>,
    /// The nodes, if they or the owners differ.
    pub nodes: Option<Vec<NodeRecord>>,
    /// The list of members, if it differs.
    pub members: Option<Vec<MemberEntry>>,
    /// What the store's clock shows.
    pub store_clock: Option<ClockBounds>,
    /// The leases, if they were asked for.
    pub leases: Vec<ObservedLease>,
}

/// What nodes ask of each other.
#[tarpc::service]
pub trait Relay {
    /// Runs a statement at the owner of a service.
    async fn run(call: Call) -> CallReply;
    /// Tells how the node is.
    async fn report() -> PeerReport;
    /// Asks the store, and returns whether it answers.
    async fn reaches_store() -> bool;
    /// Acquires a lease whose holder is about to stop acting. Returns the new owner if it did.
    async fn offer_lease(offer: LeaseOffer) -> Option<Owner>;
    /// Tells that the one who offered a lease has stopped acting.
    async fn activate(service: Name);
    /// Tells what the node knows; `None` if it does not read the store itself.
    async fn fetch_metadata(request: MetadataRequest) -> Option<MetadataUpdate>;
    /// Takes rights to operations of a tenant from the owner of the tenant's home service.
    async fn take_tokens(tenant: Name, count: u32) -> Option<TokenGrant>;
    /// Returns whether a member at an address answers the node.
    async fn reaches_member(service: Name, address: SocketAddr) -> bool;
}
