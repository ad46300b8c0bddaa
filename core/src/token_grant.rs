//! Result of a request for rate-limit tokens.

use serde::Deserialize;
use serde::Serialize;

/// Result of a request for rate-limit tokens of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub granted: u32,
    /// Time until a token is available, in milliseconds, if none was granted.
    pub retry_after_ms: u64,
    /// Whether the tenant asks for about as much as its rate allows, so that tokens that were
    /// granted for a level should not be used for a less urgent one.
    pub is_scarce: bool,
}
