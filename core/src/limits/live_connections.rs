//! The connections of a listener with the signals that close them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::limits::connection_table::Admission;
use crate::limits::connection_table::ConnectionId;
use crate::limits::connection_table::ConnectionTable;
use crate::limits::connection_table::Phase;
use crate::name::Name;
use crate::sync::lock;

struct State {
    table: ConnectionTable,
    signals: HashMap<ConnectionId, CancellationToken>,
}

/// The connections of a listener.
pub struct LiveConnections {
    state: Mutex<State>,
}

/// A connection that counts until this is dropped.
pub struct LiveConnection {
    connections: Arc<LiveConnections>,
    id: ConnectionId,
    closed: CancellationToken,
}

impl LiveConnections {
    /// Creates an empty set.
    pub fn new(table: ConnectionTable) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(State { table, signals: HashMap::new() }) })
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        lock(&self.state).table.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Admits the next connection, and closes another one for it if necessary. Returns `None` while
    /// it has to wait, or else the connection and whether another one was closed.
    pub fn admit(self: &Arc<Self>) -> Option<(LiveConnection, bool)> {
        let mut state = lock(&self.state);
        let Admission::Accept { id, closes } = state.table.admit(now_ms()) else { return None };
        state.close(closes);
        let closed = CancellationToken::new();
        state.signals.insert(id, closed.clone());
        Some((LiveConnection { connections: self.clone(), id, closed }, closes.is_some()))
    }
}

impl State {
    fn close(&mut self, victim: Option<ConnectionId>) {
        if let Some(signal) = victim.and_then(|victim| self.signals.remove(&victim)) {
            signal.cancel();
        }
    }
}

impl LiveConnection {
    /// Cancelled when the connection is to be closed for another one.
    pub fn closed(&self) -> &CancellationToken {
        &self.closed
    }

    /// Records that a session of a tenant starts. Returns whether the tenant may have it.
    pub fn start(&self, tenant: &Name) -> bool {
        let mut state = lock(&self.connections.state);
        let (is_admitted, closes) = state.table.start(self.id, tenant, now_ms());
        state.close(closes);
        is_admitted
    }

    /// Records what the connection is doing.
    pub fn set_phase(&self, phase: Phase) {
        lock(&self.connections.state).table.set_phase(self.id, phase, now_ms());
    }
}

impl Drop for LiveConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.connections.state);
        state.table.remove(self.id);
        state.signals.remove(&self.id);
    }
}
