//! The connections that one daemon may hold to a group's members.

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

/// Slots for connections, handed out fairly to workspaces, and the idle connections.
///
/// A connection is either idle here or belongs to a slot in use; both together never exceed the
/// limit.
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

/// What a pool is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Most connections.
    pub limit: usize,
    /// Connections in use.
    pub in_use: usize,
    /// Idle connections.
    pub idle: usize,
    /// Requests that wait.
    pub waiting: usize,
}

/// The right to one connection.
pub struct Slot {
    pool: Arc<SlotPool>,
    workspace: Name,
    taken_at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held_us = self.taken_at.elapsed().as_micros() as u64;
        self.pool.give_back(&self.workspace, held_us);
    }
}

impl PoolState {
    /// Whether a workspace may take a slot now.
    ///
    /// The last free slot is kept from a workspace that holds half of all already, so that a long
    /// transaction of a small workspace never waits behind those of a large one alone.
    fn may_take(&self, workspace: &Name) -> bool {
        let free = self.limit.saturating_sub(self.in_use);
        let held = self.in_use_by.get(workspace).copied().unwrap_or(0);
        let is_heavy = self.limit > 1 && held * 2 >= self.limit;
        match free {
            0 => false,
            1 => !is_heavy,
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

    /// Sets how many connections the daemon may hold.
    pub fn set_limit(self: &Arc<Self>, limit: usize) {
        {
            let mut state = self.lock();
            state.limit = limit;
            state.trim_idle();
        }
        self.wake();
    }

    /// Returns what the pool is doing.
    pub fn usage(&self) -> PoolUsage {
        let state = self.lock();
        PoolUsage {
            limit: state.limit,
            in_use: state.in_use,
            idle: state.idle.len(),
            waiting: state.queue.len(),
        }
    }

    /// Waits for a slot; `None` when none came free in time.
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
        self.wake();
        match tokio::time::timeout(timeout, waiting).await {
            Ok(Ok(slot)) => Some(slot),
            _ => None,
        }
    }

    fn new_slot(self: &Arc<Self>, workspace: &Name) -> Slot {
        Slot { pool: self.clone(), workspace: workspace.clone(), taken_at: Instant::now() }
    }

    /// Hands free slots to those who wait.
    fn wake(self: &Arc<Self>) {
        // A slot that nobody takes gives itself back when it is dropped, which takes the lock.
        let mut unwanted = Vec::new();
        {
            let mut state = self.lock();
            while let Some((workspace, waiter)) = state.next_waiter() {
                state.take(&workspace);
                if let Err(slot) = waiter.send(self.new_slot(&workspace)) {
                    unwanted.push(slot);
                }
            }
        }
        drop(unwanted);
    }

    fn give_back(self: &Arc<Self>, workspace: &Name, held_us: u64) {
        {
            let mut state = self.lock();
            release(&mut state, workspace);
            state.queue.charge(workspace, held_us);
        }
        self.wake();
    }

    /// Closes idle connections until one more fits.
    pub fn make_room(&self) {
        self.lock().trim_idle();
    }

    /// Takes an idle connection to a member, the one used last.
    pub fn take_idle(&self, member: usize) -> Option<MemberConnection> {
        let mut state = self.lock();
        loop {
            let index = state.idle.iter().rposition(|(owner, _)| *owner == member)?;
            let (_, mut connection) = state.idle.remove(index);
            if !connection.is_spoilt() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next request. Call it before its slot is dropped.
    pub fn keep_idle(&self, member: usize, connection: MemberConnection) {
        let mut state = self.lock();
        if state.in_use + state.idle.len() <= state.limit {
            state.idle.push((member, connection));
        }
    }

    /// Closes idle connections to a member.
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
