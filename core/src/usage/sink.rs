//! Interface to the platform's call that receives usage reports.

use async_trait::async_trait;

use crate::usage::record::TenantCounts;

/// A report of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Fencing token of the duty.
    pub token: u64,
    /// The window.
    pub window: u64,
    /// Number of requests by tenant.
    pub counts: TenantCounts,
    /// Time of the process's steady clock, in milliseconds, from which the report must neither be sent
    /// nor be under way.
    pub send_before_ms: u64,
}

/// Why a report is not known to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageReportError {
    /// The platform refused the report itself; a repetition is unlikely to be accepted.
    Refused(String),
    /// The report was not sent, not answered, or not accepted for now.
    Failed(String),
}

impl std::fmt::Display for UsageReportError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(reason) => write!(formatter, "refused: {reason}"),
            Self::Failed(reason) => write!(formatter, "failed: {reason}"),
        }
    }
}

/// Sends usage reports to the platform.
#[async_trait]
pub trait UsageSink: Send + Sync {
    /// Sends one report.
    ///
    /// # Errors
    ///
    /// Returns an error when the report is not known to be accepted.
    async fn report(&self, report: &UsageReport) -> Result<(), UsageReportError>;
}
