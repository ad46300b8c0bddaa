//! Decides from where a node gets metadata next: from another node or from the store. Performs no
//! input or output.
//!
//! One node, the reader, reads the store. Candidates ask the reader; all other nodes ask a
//! candidate of their data centre, their relay. Each knows the successors of the node that it asks.
//! If none of them has recent metadata, a few nodes read the store themselves at first, and the
//! others only if that does not help, spread over time.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for which a node that did not answer is not asked again, in milliseconds.
const UNANSWERED_PAUSE_MS: u64 = 3_000;

/// Time for which a node that has no recent metadata is not asked again, in milliseconds: one that
/// starts or finds another source has some by then.
const OUTDATED_PAUSE_MS: u64 = 500;

/// Time without recent metadata after which the first deputy reads the store, in milliseconds.
const FIRST_DEPUTY_DELAY_MS: u64 = 300;

/// Further delay of each following deputy, in milliseconds: a read and its distribution take less.
const DEPUTY_STEP_MS: u64 = 400;

/// Time without recent metadata after which any node may read the store, in milliseconds, with the
/// range of a random addition. Keys are accepted for longer than both together.
const OTHERS_DELAY_MS: u64 = 2_000;
const OTHERS_SPREAD_MS: u64 = 1_800;

/// The same for a node that has just started and knows no reader, in milliseconds: the seeds answer
/// earlier, if they run.
const START_DELAY_MS: u64 = 100;
const START_SPREAD_MS: u64 = 500;

/// Time for which a seed that did not answer is not asked again by such a node, in milliseconds:
/// after a loss of all nodes the seeds start at about the same time.
const SEED_PAUSE_MS: u64 = 100;

/// Range of the random addition to the age at which any node reads the store, in milliseconds.
const OWN_READ_SPREAD_MS: u64 = 200;

/// Shortest and longest time between two reads of the store by a node that is not the reader, in
/// milliseconds. It doubles with each failure, so that many nodes do not keep the store overloaded.
const MIN_STORE_RETRY_MS: u64 = 1_000;
const MAX_STORE_RETRY_MS: u64 = 4_000;

/// The nodes that matter for the choice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MetadataTopology {
    /// Address of this node.
    pub me: Option<SocketAddr>,
    /// The node that reads the store, if it is known.
    pub reader: Option<SocketAddr>,
    /// Candidates of this node's data centre in their order; empty if this node is one of them.
    pub relays: Vec<SocketAddr>,
    /// Nodes that read the store when the reader fails, in their order.
    pub deputies: Vec<SocketAddr>,
    /// This node's place among the deputies.
    pub deputy_rank: Option<u64>,
    /// Nodes that the settings name for a start.
    pub seeds: Vec<SocketAddr>,
    /// Age of this node's metadata, in milliseconds, if it has any.
    pub age_ms: Option<u64>,
    /// Age at which this node reads the store whatever its place among the others, in milliseconds:
    /// in a network split the nodes that come before it may be on the other side.
    pub own_read_age_ms: u64,
}

impl MetadataTopology {
    /// Returns whether this node reads the store for all others.
    pub fn is_reader(&self) -> bool {
        self.reader.is_some() && self.reader == self.me
    }

    /// Returns whether the settings name this node as one that others ask after a start.
    pub fn is_seed(&self) -> bool {
        self.me.is_some_and(|me| self.seeds.contains(&me))
    }

    /// Returns whether no reader is known and this node is one of those that look for it in the
    /// store.
    fn must_look_up_reader(&self) -> bool {
        self.reader.is_none() && (self.seeds.is_empty() || self.is_seed())
    }
}

/// What to do in a round of synchronization.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStep {
    /// Read the store.
    ReadStore,
    /// Ask this node.
    Ask(SocketAddr),
    /// Do nothing.
    Wait,
}

/// Result of a round of synchronization.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncOutcome {
    /// The metadata is recent.
    Recent,
    /// The asked node has no recent metadata.
    Outdated,
    /// The asked node, or the store, did not answer.
    Failed,
}

/// Memory of earlier rounds.
#[derive(Clone, Debug)]
pub struct MetadataSource {
    jitter: u64,
    failing_since_ms: Option<u64>,
    paused_until_ms: HashMap<SocketAddr, u64>,
    store_failures: u32,
    store_retry_at_ms: u64,
    asked_seeds: usize,
    knows_reader: bool,
}

impl MetadataSource {
    /// Creates the memory of a node that has just started. `jitter` is a number that differs from
    /// node to node.
    pub fn new(now_ms: u64, jitter: u64) -> Self {
        Self {
            jitter,
            failing_since_ms: Some(now_ms),
            paused_until_ms: HashMap::new(),
            store_failures: 0,
            store_retry_at_ms: 0,
            asked_seeds: jitter as usize % 97,
            knows_reader: false,
        }
    }

    /// Returns what to do now.
    pub fn next(&mut self, now_ms: u64, topology: &MetadataTopology) -> SyncStep {
        self.knows_reader = topology.reader.is_some();
        if topology.is_reader() {
            return SyncStep::ReadStore;
        }
        let may_retry = now_ms >= self.store_retry_at_ms;
        let is_due = topology.must_look_up_reader()
            || self
                .failing_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + self.store_delay_ms(topology));
        let own_read_age_ms = topology.own_read_age_ms + self.jitter % OWN_READ_SPREAD_MS;
        let is_too_old = topology.age_ms.is_some_and(|age_ms| age_ms >= own_read_age_ms);
        if may_retry && (is_due || is_too_old) {
            return SyncStep::ReadStore;
        }
        match self.next_node(now_ms, topology) {
            Some(address) => SyncStep::Ask(address),
            None => SyncStep::Wait,
        }
    }

    fn next_node(&mut self, now_ms: u64, topology: &MetadataTopology) -> Option<SocketAddr> {
        let is_usable = |address: &&SocketAddr| {
            Some(**address) != topology.me
                && self.paused_until_ms.get(*address).is_none_or(|until_ms| now_ms >= *until_ms)
        };
        let seeds: Vec<SocketAddr> = topology.seeds.iter().filter(is_usable).copied().collect();
        let seed = seeds.get(self.asked_seeds % seeds.len().max(1)).copied();
        // Without a reader the other nodes may know as little, and would wait for each other.
        if topology.reader.is_none() && seed.is_some() {
            self.asked_seeds += 1;
            return seed;
        }
        let known = topology.relays.iter().chain(&topology.reader).chain(&topology.deputies);
        if let Some(address) = known.copied().find(|address| is_usable(&address)) {
            return Some(address);
        }
        self.asked_seeds += 1;
        seed
    }

    /// Returns after which time without recent metadata this node reads the store, in milliseconds.
    fn store_delay_ms(&self, topology: &MetadataTopology) -> u64 {
        let others_ms = match topology.reader {
            Some(_) => OTHERS_DELAY_MS + self.jitter % OTHERS_SPREAD_MS,
            None => START_DELAY_MS + self.jitter % START_SPREAD_MS,
        };
        topology
            .deputy_rank
            .map_or(others_ms, |rank| others_ms.min(FIRST_DEPUTY_DELAY_MS + rank * DEPUTY_STEP_MS))
    }

    /// Records the result of a step that ended at `now_ms`.
    pub fn record(&mut self, now_ms: u64, step: SyncStep, outcome: SyncOutcome) {
        match (step, outcome) {
            (SyncStep::Wait, _) => {}
            (SyncStep::Ask(address), SyncOutcome::Recent) => {
                self.paused_until_ms.remove(&address);
                self.failing_since_ms = None;
                self.store_failures = 0;
            }
            (SyncStep::Ask(address), outcome) => {
                let pause_ms = match outcome {
                    SyncOutcome::Failed if !self.knows_reader => SEED_PAUSE_MS,
                    SyncOutcome::Failed => UNANSWERED_PAUSE_MS,
                    _ => OUTDATED_PAUSE_MS,
                };
                self.paused_until_ms.insert(address, now_ms + pause_ms);
                self.failing_since_ms.get_or_insert(now_ms);
            }
            (SyncStep::ReadStore, SyncOutcome::Recent) => {
                self.store_failures = 0;
                self.store_retry_at_ms = now_ms + MIN_STORE_RETRY_MS;
            }
            (SyncStep::ReadStore, _) => {
                let doubled_ms = MIN_STORE_RETRY_MS << self.store_failures.min(2);
                self.store_failures += 1;
                self.store_retry_at_ms =
                    now_ms + doubled_ms.min(MAX_STORE_RETRY_MS) + self.jitter % MIN_STORE_RETRY_MS;
            }
        }
        self.paused_until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
