//! Limits of workspaces and groups: the defaults of the document with its exceptions applied.

use super::fleet_document::DefaultsReadFloor;
use super::fleet_document::Exception;
use super::fleet_document::ExceptionSetting;
use super::fleet_document::ExceptionValue;
use super::fleet_document::FleetDocument;

/// The limits of one workspace or group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Statements per second over all hosts.
    pub rate_per_s: u64,
    /// Statements admitted at once over all hosts, beyond the rate.
    pub burst: u64,
    /// Connections to the group's members over all hosts.
    pub connections_per_group: u64,
    /// Number of daemons that hold connections to the group's members.
    pub homes_per_group: u64,
    /// Maximum time that a request waits for a connection to a member, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Maximum time that a statement waits for the workspace's rate, in milliseconds.
    pub rate_wait_ms: u64,
    /// Maximum time until a majority of the members must hold a write, in milliseconds.
    pub acknowledge_timeout_ms: u64,
    /// Time without contact to the primary after which another member is promoted, in milliseconds.
    pub failover_after_ms: u64,
    /// Whether a read without a maximum age sees all writes acknowledged before the read. Otherwise
    /// it sees those acknowledged before the session's first request or, if the session has a
    /// token, those that the token covers.
    pub reads_latest: bool,
}

impl Limits {
    /// Returns the default limits of a document.
    pub fn defaults(document: &FleetDocument) -> Self {
        let defaults = &document.defaults;
        Self {
            rate_per_s: defaults.rate_per_s.get(),
            burst: defaults.burst.get(),
            connections_per_group: defaults.connections_per_group,
            homes_per_group: defaults.homes_per_group.get(),
            queue_timeout_ms: defaults.queue_timeout_ms.get(),
            rate_wait_ms: defaults.rate_wait_ms,
            acknowledge_timeout_ms: defaults.acknowledge_timeout_ms,
            failover_after_ms: defaults.failover_after_ms,
            reads_latest: matches!(defaults.read_floor, DefaultsReadFloor::Latest),
        }
    }

    /// Applies an exception. Returns the violated rule if its value is not valid for its setting.
    pub fn apply(&mut self, exception: &Exception) -> Result<(), String> {
        if let ExceptionSetting::ReadFloor = exception.setting {
            self.reads_latest = match &exception.value {
                ExceptionValue::String(text) if text == "latest" => true,
                ExceptionValue::String(text) if text == "session" => false,
                _ => return Err("must be \"session\" or \"latest\"".to_owned()),
            };
            return Ok(());
        }
        let number = match exception.value {
            ExceptionValue::Integer(number) if number >= 1 => number as u64,
            _ => return Err("must be a whole number of at least 1".to_owned()),
        };
        match exception.setting {
            ExceptionSetting::RatePerS => self.rate_per_s = number,
            ExceptionSetting::Burst => self.burst = number,
            ExceptionSetting::ConnectionsPerGroup => self.connections_per_group = number,
            ExceptionSetting::HomesPerGroup => self.homes_per_group = number,
            ExceptionSetting::QueueTimeoutMs => self.queue_timeout_ms = number,
            ExceptionSetting::RateWaitMs => self.rate_wait_ms = number,
            ExceptionSetting::AcknowledgeTimeoutMs => self.acknowledge_timeout_ms = number,
            ExceptionSetting::FailoverAfterMs => self.failover_after_ms = number,
            ExceptionSetting::ReadFloor => {}
        }
        Ok(())
    }
}
