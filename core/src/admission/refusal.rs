//! Why a statement is refused before it gets a slot.

/// Why a statement is refused before it gets a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// It would miss its objective.
    Objective,
    /// It would have to wait for longer than it may.
    Timeout,
    /// More urgent statements arrived after it, so that it would miss its objective.
    Displaced,
    /// It has waited for as long as it may.
    Expired,
}

impl RefusalReason {
    /// Returns the value for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Objective => "objective",
            Self::Timeout => "timeout",
            Self::Displaced => "displaced",
            Self::Expired => "expired",
        }
    }
}

/// Refusal of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why it is refused.
    pub reason: RefusalReason,
    /// Wait that was expected for it, in milliseconds.
    pub expected_wait_ms: u64,
    /// Time after which the caller should try again, in milliseconds.
    pub retry_after_ms: u64,
}
