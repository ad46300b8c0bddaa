//! Limits the connections of one daemon to a group's members, and pools the idle ones.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use super::fair_queue::FairQueue;
use super::member_connection::MemberConnection;
use crate::name::Name;
use crate::sync::lock;

/// Slots for connections, shared fairly among workspaces, and the idle connections.
///
/// A connection is either idle in the pool or belongs to a slot in use. Idle connections beyond the
/// limit are closed before a new one is opened. When the limit is lowered, slots in use stay valid
/// until they are dropped.
pub struct SlotPool {
    state: Mutex<PoolState>,
}

struct PoolState {
    limit: usize,
    in_use: usize,
    in_use_by: HashMap<Name, usize>,
    idle: Vec<(usize, MemberConnection)>,
    queue: FairQueue<oneshot::Sender<Slot>>,
}

/// Usage of a pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Largest number of connections.
    pub limit: usize,
    /// Number of connections in use.
    pub in_use: usize,
    /// Number of idle connections.
    pub idle: usize,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
}

/// Permit to use one connection. Dropping it returns the slot to the pool.
pub struct Slot {
    pool: Arc<SlotPool>,
    workspace: Name,
    acquired_at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held_us = self.acquired_at.elapsed().as_micros() as u64;
        self.pool.return_slot(&self.workspace, held_us);
    }
}

impl PoolState {
    /// Returns whether a workspace may take a slot now.
    ///
    /// A workspace that already uses at least half of all slots does not get the last free one.
    /// Otherwise, its long transactions could fill the pool and keep all other workspaces waiting.
    fn may_take(&self, workspace: &Name) -> bool {
        let free = self.limit.saturating_sub(self.in_use);
        let held = self.in_use_by.get(workspace).copied().unwrap_or(0);
        let uses_half_of_slots = self.limit > 1 && held * 2 >= self.limit;
        match free {
            0 => false,
            1 => !uses_half_of_slots,
            _ => true,
        }
    }

    fn next_waiter(&mut self) -> Option<(Name, oneshot::Sender<Slot>)> {
        let mut queue = std::mem::take(&mut self.queue);
        let next = queue.pop(|workspace| self.may_take(workspace));
        self.queue = queue;
        next
    }

    fn take(&mut self, workspace: &Name) {
        self.in_use += 1;
        *self.in_use_by.entry(workspace.clone()).or_default() += 1;
    }

    fn trim_idle(&mut self) {
        while !self.idle.is_empty() && self.in_use + self.idle.len() > self.limit {
            self.idle.remove(0);
        }
    }
}

impl SlotPool {
    /// Creates a pool with no slots.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(PoolState {
                limit: 0,
                in_use: 0,
                in_use_by: HashMap::new(),
                idle: Vec::new(),
                queue: FairQueue::default(),
            }),
        })
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }

    /// Sets the largest number of connections and closes idle ones beyond it.
    pub fn set_limit(self: &Arc<Self>, limit: usize) {
        {
            let mut state = self.lock();
            state.limit = limit;
            state.trim_idle();
        }
        self.serve_waiters();
    }

    /// Returns the pool's current usage.
    pub fn usage(&self) -> PoolUsage {
        let state = self.lock();
        PoolUsage {
            limit: state.limit,
            in_use: state.in_use,
            idle: state.idle.len(),
            waiting: state.queue.len(),
        }
    }

    /// Waits for a slot. Returns `None` when none becomes free in time.
    pub async fn slot(self: &Arc<Self>, workspace: &Name, timeout: Duration) -> Option<Slot> {
        let waiting = {
            let mut state = self.lock();
            if state.queue.is_empty() && state.may_take(workspace) {
                state.take(workspace);
                return Some(self.new_slot(workspace));
            }
            let (sender, receiver) = oneshot::channel();
            state.queue.push(workspace, sender);
            receiver
        };
        self.serve_waiters();
        match tokio::time::timeout(timeout, waiting).await {
            Ok(Ok(slot)) => Some(slot),
            _ => None,
        }
    }

    fn new_slot(self: &Arc<Self>, workspace: &Name) -> Slot {
        Slot { pool: self.clone(), workspace: workspace.clone(), acquired_at: Instant::now() }
    }

    /// Assigns free slots to waiting requests.
    fn serve_waiters(self: &Arc<Self>) {
        // Slots whose receiver is gone are dropped after the lock is released, because returning
        // them to the pool takes the same lock.
        let mut unclaimed = Vec::new();
        {
            let mut state = self.lock();
            while let Some((workspace, waiter)) = state.next_waiter() {
                state.take(&workspace);
                if let Err(slot) = waiter.send(self.new_slot(&workspace)) {
                    unclaimed.push(slot);
                }
            }
        }
        drop(unclaimed);
    }

    fn return_slot(self: &Arc<Self>, workspace: &Name, held_us: u64) {
        {
            let mut state = self.lock();
            release(&mut state, workspace);
            state.queue.charge(workspace, held_us);
        }
        self.serve_waiters();
    }

    /// Closes the oldest idle connections that exceed the limit, so that a new one can be opened.
    pub fn evict_idle(&self) {
        self.lock().trim_idle();
    }

    /// Removes and returns the most recently used idle connection to a member.
    pub fn take_idle(&self, member: usize) -> Option<MemberConnection> {
        let mut state = self.lock();
        loop {
            let index = state.idle.iter().rposition(|(owner, _)| *owner == member)?;
            let (_, mut connection) = state.idle.remove(index);
            if !connection.is_unusable() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next request, or closes it if that would exceed the limit. Must
    /// be called before its slot is dropped, because the connection still counts against that slot.
    pub fn keep_idle(&self, member: usize, connection: MemberConnection) {
        let mut state = self.lock();
        if state.in_use + state.idle.len() <= state.limit {
            state.idle.push((member, connection));
        }
    }

    /// Closes all idle connections to a member.
    pub fn close_idle(&self, member: usize) {
        self.lock().idle.retain(|(owner, _)| *owner != member);
    }
}

fn release(state: &mut PoolState, workspace: &Name) {
    state.in_use = state.in_use.saturating_sub(1);
    if let Some(count) = state.in_use_by.get_mut(workspace) {
        *count -= 1;
        if *count == 0 {
            state.in_use_by.remove(workspace);
        }
    }
}
