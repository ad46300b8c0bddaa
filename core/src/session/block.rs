//! The transaction block of a session.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::configuration::Route;
use crate::name::Name;

/// A transaction that is open at the owner of a service.
#[derive(Clone, Debug)]
pub(super) struct OpenLane {
    /// Its number there.
    pub(super) number: u64,
    /// Where the owner is.
    pub(super) owner: SocketAddr,
    /// Tenant for whom it runs.
    pub(super) tenant: Name,
    /// Route by which it started.
    pub(super) route: Arc<Route>,
    /// Whether it has written.
    pub(super) has_written: bool,
}

/// Where a session stands.
#[derive(Clone, Debug)]
pub(super) enum Block {
    /// No transaction is open.
    None,
    /// The caller began a transaction; no member knows of it.
    Unstarted {
        /// The caller's id of the statement that began it.
        id: Name,
        /// Whether it only reads.
        is_read_only: bool,
    },
    /// A member runs it.
    Open(OpenLane),
    /// It failed, and has been rolled back.
    Failed,
}
