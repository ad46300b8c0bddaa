//! What one session has written.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::name::Name;

/// The newest position that a session has written at each service. Reads that must see the
/// session's own writes need a log that includes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionPositions {
    positions: BTreeMap<Name, LogPosition>,
}

impl SessionPositions {
    /// Returns the newest position written at a service.
    pub fn position(&self, service: &str) -> Option<LogPosition> {
        self.positions.get(service).copied()
    }

    /// Takes note of a commit of the session's.
    pub fn record(&mut self, service: &Name, commit: LogPosition) {
        let known = self.positions.entry(service.clone()).or_default();
        *known = (*known).max(commit);
    }

    /// Takes over what another connection of the same session wrote.
    pub fn merge(&mut self, others: &Self) {
        for (service, commit) in &others.positions {
            self.record(service, *commit);
        }
    }
}
