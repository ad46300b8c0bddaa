//! The protocol between nodes: statements for the owner of a service, offers of leases, metadata
//! and rate-limit tokens.

mod client;
pub mod format;
mod frame_codec;
mod gated_stream;
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
use crate::node_record::HeardNode;
use crate::node_record::NodeRecord;
use crate::outcome::Answer;
use crate::outcome::Refusal;
use crate::owner_directory::Owner;
use crate::owner_pressure::OwnerPressure;
pub use crate::relay::client::PeerPool;
pub use crate::relay::client::RelayError;
pub use crate::relay::client::detect_dead_peer;
pub use crate::relay::server::serve_peers;
use crate::statement::Access;
use crate::statement::DataStatement;
use crate::store_clock::ClockBounds;
use crate::token_grant::TokenGrant;
use crate::transaction_id::TransactionId;
use crate::usage::update::UsageReceipt;
use crate::usage::update::UsageUpdate;

/// Age of the last confirmation of the configuration up to which a node counts as reaching the
/// store, in milliseconds: one and a half rounds of synchronization.
pub const RECENT_CONFIRMATION_MS: u64 = 1_500;

/// What a read must include.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadRequirement {
    /// The primary must answer.
    Primary,
    /// All commits older than `max_staleness_ms`, and everything up to `floor`.
    BoundedStaleness {
        /// Greatest accepted age, in milliseconds.
        max_staleness_ms: u64,
        /// Position that the read must include; the newest of the session's own commits.
        floor: Option<LogPosition>,
    },
}

/// A transaction to start before the first statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTransaction {
    /// Caller's id of the statement that starts it.
    pub id: Name,
    /// Whether the transaction is read-only.
    pub is_read_only: bool,
}

/// The operation that a call requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallAction {
    /// Runs a data statement.
    Run(DataStatement),
    /// Commits the transaction.
    Commit {
        /// Caller's id of the statement.
        id: Name,
    },
    /// Rolls the transaction back.
    Rollback,
}

impl CallAction {
    /// Returns the caller's id of the statement, for logs.
    pub fn id(&self) -> &str {
        match self {
            Self::Run(work) => &work.id,
            Self::Commit { id } => id,
            Self::Rollback => "-",
        }
    }
}

/// A request to run one statement at the owner of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Service that runs it.
    pub service: Name,
    /// Name of the route that led to the service.
    pub route: Name,
    /// Tenant for whom it runs.
    pub tenant: Name,
    /// Open transaction at the owner that the statement belongs to.
    pub transaction: Option<TransactionId>,
    /// Transaction to start before the statement.
    pub begin: Option<BeginTransaction>,
    /// What to run.
    pub action: CallAction,
    /// Session values to set on the member's connection.
    pub values: Vec<(Name, Name)>,
    /// What a read must include.
    pub read_requirement: ReadRequirement,
    /// Whether this is the first statement of an operation, which counts against the rate.
    pub starts_operation: bool,
    /// Time left for this statement, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which the statement may wait before it is sent to a member, in milliseconds.
    pub max_queue_ms: u64,
    /// Time left of the latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

impl Call {
    /// Returns whether the call can commit a change.
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

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// A member answered.
    Done {
        /// The member's answer.
        answer: Answer,
        /// Transaction that is open after the statement, if any.
        transaction: Option<TransactionId>,
    },
    /// The call failed, and its transaction, if any, has ended.
    Refused(Refusal),
    /// The node does not own the service and did nothing.
    NotOwner {
        /// The owner, if the node knows it.
        owner: Option<Owner>,
    },
}

/// Reply to a call of another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedReply {
    /// Result of the call.
    pub reply: CallReply,
    /// Pressure of the service, if it is or was under pressure.
    pub pressure: Option<OwnerPressure>,
}

/// A lease that its holder hands over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseOffer {
    /// Service that the lease is for.
    pub service: Name,
    /// Current record of the lease.
    pub record: LeaseRecord,
    /// Version of the current record.
    pub version: u64,
}

/// Status of a node as reported to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Version of its configuration.
    pub configuration_version: u64,
    /// Time since that version was last confirmed as the newest, in milliseconds.
    pub confirmation_age_ms: Option<u64>,
    /// Time since its process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it is shutting down.
    pub is_stopping: bool,
    /// Number of services that it owns or is about to own.
    pub owned: u64,
}

impl PeerReport {
    /// Returns whether the node has recently confirmed its configuration.
    pub fn has_recent_confirmation(&self) -> bool {
        self.confirmation_age_ms.is_some_and(|age_ms| age_ms <= RECENT_CONFIRMATION_MS)
    }
}

/// A request for metadata, with digests of what the requesting node has already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataRequest {
    /// The requesting node.
    pub sender: NodeRecord,
    /// Time since its configuration was last confirmed as the newest, in milliseconds. The answer
    /// may be held back until there is something newer.
    pub confirmation_age_ms: Option<u64>,
    /// Digest of its configuration.
    pub configuration: u64,
    /// Digest of its list of owners.
    pub owners: u64,
    /// Digest of its list of candidates; `None` if it needs the whole list.
    pub candidates: Option<u64>,
    /// Digest of its list of members; `None` if it needs no members.
    pub members: Option<u64>,
    /// Services whose leases it needs, to take over one that expires.
    pub leases: Vec<Name>,
    /// Offset of its clock to the store's, in milliseconds, and some offsets that others have
    /// reported to it; empty if usage is not reported.
    pub clock_offsets_ms: Vec<i64>,
}

/// Metadata that the requesting node lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetadataUpdate {
    /// Time since the configuration was last confirmed as the newest, in milliseconds.
    pub confirmation_age_ms: u64,
    /// The configuration, if it differs.
    pub configuration: Option<Configuration>,
    /// The owners of services, if they differ.
    pub owners: Option<Vec<(Name, Owner)>>,
    /// The candidates for ownership, if they differ or were requested.
    pub candidates: Option<Vec<HeardNode>>,
    /// The list of members, if it differs and is recent.
    pub members: Option<Vec<MemberEntry>>,
    /// Time since the store had that list, or the one that the requesting node has, in milliseconds;
    /// `None` if the node knows none or was not asked.
    pub members_age_ms: Option<u64>,
    /// Bounds of the store's clock.
    pub store_clock: Option<ClockBounds>,
    /// Offset of the fleet's time to the store's clock, in milliseconds.
    pub fleet_offset_ms: Option<i64>,
    /// The requested leases.
    pub leases: Vec<ObservedLease>,
}

/// Calls between nodes.
#[tarpc::service]
pub trait Relay {
    /// Runs a statement at the owner of a service.
    async fn run(call: Call) -> RelayedReply;
    /// Returns the status of the node.
    async fn report() -> PeerReport;
    /// Returns whether the store answers a read by the node in time.
    async fn reaches_store() -> bool;
    /// Acquires a lease that its holder hands over. Returns the new owner if the node acquired it.
    async fn offer_lease(offer: LeaseOffer) -> Option<Owner>;
    /// Activates the node's ownership of a service after the previous owner has closed it.
    async fn activate(service: Name, version: u64);
    /// Returns the metadata that the requesting node lacks, at once if there is any, or else when
    /// there is some or after a while; `None` if the node knows no configuration.
    async fn fetch_metadata(request: MetadataRequest) -> Option<MetadataUpdate>;
    /// Takes rate-limit tokens of a tenant for statements of a level from the owner of the tenant's
    /// home service.
    async fn take_tokens(tenant: Name, level: u32, count: u32) -> Option<TokenGrant>;
    /// Collects the usage counts of an owner.
    async fn send_usage(update: UsageUpdate) -> UsageReceipt;
    /// Returns whether the node reaches the member of a service at an address.
    async fn reaches_member(service: Name, address: SocketAddr) -> bool;
}
