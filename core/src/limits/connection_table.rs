//! Decides whether a connection is accepted, and which one is closed for it. No input or output.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::name::Name;

/// Time after which a connection without `STARTUP` may be closed for another one, in milliseconds:
/// several round trips between data centres, after which a usual client has sent it.
const UNSTARTED_MS: u64 = 500;

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections in total.
    pub total: usize,
    /// Connections that have not started a session.
    pub unstarted: usize,
    /// Connections of one tenant.
    pub tenant: usize,
}

/// What a connection is doing. The order is that in which connections are closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No session has started.
    Unstarted,
    /// A reply is being written, and no transaction is open.
    Replying,
    /// The session is idle.
    Idle,
    /// A statement runs or a transaction is open. It is never closed for another connection.
    Working,
}

/// Identifies a connection.
pub type ConnectionId = u64;

/// Decision about a connection that waits to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted, under this identity; another one is closed for it.
    Accept {
        /// Its identity.
        id: ConnectionId,
        /// The connection to close.
        closes: Option<ConnectionId>,
    },
    /// Other connections must start a session or end first.
    Wait,
}

struct Entry {
    phase: Phase,
    since_ms: u64,
    tenant: Option<Name>,
}

/// The connections of a listener.
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: HashMap<ConnectionId, Entry>,
    by_phase: BTreeMap<Phase, BTreeSet<(u64, ConnectionId)>>,
    of_tenant: HashMap<Name, usize>,
    last_id: ConnectionId,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            by_phase: BTreeMap::new(),
            of_tenant: HashMap::new(),
            last_id: 0,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides about the next connection. A connection that is to be closed is removed.
    pub fn admit(&mut self, now_ms: u64) -> Admission {
        let unstarted = self.by_phase.get(&Phase::Unstarted).map_or(0, BTreeSet::len);
        let is_full = self.entries.len() >= self.limits.total;
        let closes = if is_full || unstarted >= self.limits.unstarted {
            let silent = self.oldest(Phase::Unstarted, now_ms, UNSTARTED_MS);
            let victim = match is_full {
                true => silent
                    .or_else(|| self.oldest(Phase::Replying, now_ms, 0))
                    .or_else(|| self.longest_idle()),
                false => silent,
            };
            let Some(victim) = victim else { return Admission::Wait };
            self.remove(victim);
            Some(victim)
        } else {
            None
        };
        self.last_id += 1;
        let id = self.last_id;
        self.insert(id, Entry { phase: Phase::Unstarted, since_ms: now_ms, tenant: None });
        Admission::Accept { id, closes }
    }

    /// Records that a session of a tenant starts. Returns whether the tenant may have it, and which of
    /// the tenant's idle sessions is closed for it.
    pub fn start(
        &mut self,
        id: ConnectionId,
        tenant: &Name,
        now_ms: u64,
    ) -> (bool, Option<ConnectionId>) {
        let used = self.of_tenant.get(tenant).copied().unwrap_or_default();
        let mut closes = None;
        if used >= self.limits.tenant {
            let idle = self.by_phase.get(&Phase::Idle).into_iter().flatten();
            let of_tenant = |id: &ConnectionId| {
                self.entries.get(id).is_some_and(|entry| entry.tenant.as_ref() == Some(tenant))
            };
            closes = idle.map(|(_, id)| *id).find(of_tenant);
            match closes {
                Some(victim) => self.remove(victim),
                None => return (false, None),
            }
        }
        if self.take(id).is_some() {
            *self.of_tenant.entry(tenant.clone()).or_default() += 1;
            let tenant = Some(tenant.clone());
            self.insert(id, Entry { phase: Phase::Idle, since_ms: now_ms, tenant });
        }
        (true, closes)
    }

    /// Records what a connection is doing.
    pub fn set_phase(&mut self, id: ConnectionId, phase: Phase, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(former) = self.by_phase.get_mut(&entry.phase) {
            former.remove(&(entry.since_ms, id));
        }
        (entry.phase, entry.since_ms) = (phase, now_ms);
        self.by_phase.entry(phase).or_default().insert((now_ms, id));
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.take(id) else { return };
        if let Some(tenant) = entry.tenant
            && let Some(count) = self.of_tenant.get_mut(&tenant)
        {
            *count -= 1;
            if *count == 0 {
                self.of_tenant.remove(&tenant);
            }
        }
    }

    fn take(&mut self, id: ConnectionId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        if let Some(phase) = self.by_phase.get_mut(&entry.phase) {
            phase.remove(&(entry.since_ms, id));
        }
        Some(entry)
    }

    fn insert(&mut self, id: ConnectionId, entry: Entry) {
        self.by_phase.entry(entry.phase).or_default().insert((entry.since_ms, id));
        self.entries.insert(id, entry);
    }

    fn oldest(&self, phase: Phase, now_ms: u64, least_ms: u64) -> Option<ConnectionId> {
        let (since_ms, id) = self.by_phase.get(&phase)?.first()?;
        (since_ms.saturating_add(least_ms) <= now_ms).then_some(*id)
    }

    /// Returns the session that has been idle for longest of the tenant with the most sessions among
    /// those with an idle one.
    fn longest_idle(&self) -> Option<ConnectionId> {
        let mut best: Option<(usize, ConnectionId)> = None;
        for (_, id) in self.by_phase.get(&Phase::Idle)? {
            let tenant = self.entries.get(id).and_then(|entry| entry.tenant.as_ref());
            let count = tenant.and_then(|tenant| self.of_tenant.get(tenant)).copied();
            let count = count.unwrap_or_default();
            if best.is_none_or(|(most, _)| count > most) {
                best = Some((count, *id));
            }
        }
        best.map(|(_, id)| id)
    }
}
