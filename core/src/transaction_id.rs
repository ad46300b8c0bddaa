//! Identity of an open transaction.

use serde::Deserialize;
use serde::Serialize;

/// Identity of a transaction that is open at the owner of its service. It is unique among all
/// owners that the service ever has, because each ownership has a fencing token of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransactionId {
    /// Fencing token of the ownership in which the transaction was started.
    pub fencing_token: u64,
    /// Number of the transaction in that ownership.
    pub number: u64,
}
