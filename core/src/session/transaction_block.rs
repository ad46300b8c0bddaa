//! Transaction block of a session, and the transaction that it has open at an owner.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::configuration::Route;
use crate::name::Name;
use crate::transaction_id::TransactionId;

/// A transaction that is open at the owner of a service.
#[derive(Clone, Debug)]
pub(super) struct RemoteTransaction {
    /// Identity of the transaction at the owner.
    pub(super) id: TransactionId,
    /// Address of the owner.
    pub(super) owner: SocketAddr,
    /// Tenant that started it.
    pub(super) tenant: Name,
    /// Route on which it was started. It applies until the end, also after a configuration change.
    pub(super) route: Arc<Route>,
    /// Whether one of its statements was a write.
    pub(super) has_written: bool,
}

/// State of a session's transaction block.
#[derive(Clone, Debug)]
pub(super) enum TransactionBlock {
    /// No transaction is open.
    Idle,
    /// The caller began a transaction, which has not been started at a member yet.
    Pending {
        /// The caller's id of the begin statement.
        id: Name,
        /// Whether it only reads.
        is_read_only: bool,
    },
    /// The transaction is open at a member.
    Open(RemoteTransaction),
    /// The node rolled the transaction back while the caller was silent; the next reply says so.
    Aborted {
        /// Reason for the caller.
        reason: &'static str,
    },
    /// The transaction failed and was rolled back; the caller has not ended it yet.
    Failed,
}
