//! Log positions of a session's own writes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::name::Name;

/// The newest log position that a session has written at each service. A read that must see the
/// session's own writes runs only at a member whose log includes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionPositions {
    positions: BTreeMap<Name, LogPosition>,
}

impl SessionPositions {
    /// Returns the newest position that the session has written at a service.
    pub fn position(&self, service: &str) -> Option<LogPosition> {
        self.positions.get(service).copied()
    }

    /// Records a commit of the session.
    pub fn record(&mut self, service: &Name, commit: LogPosition) {
        let newest = self.positions.entry(service.clone()).or_default();
        *newest = (*newest).max(commit);
    }

    /// Adds the commits that the same session made on another connection.
    pub fn merge(&mut self, other: &Self) {
        for (service, commit) in &other.positions {
            self.record(service, *commit);
        }
    }
}
