//! The nodes that this node has heard of, and those among them that own services and distribute
//! metadata. Performs no input or output.
//!
//! A node hears of others from their requests and from the lists in answers. Only a few nodes of
//! each data centre, the candidates, are passed on, so that what a node keeps and sends does not
//! grow with the number of nodes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::name::Name;
use crate::node_record::HeardNode;
use crate::node_record::NodeRecord;

/// Number of candidates in each data centre: a relay and its successors remain when two nodes of a
/// data centre fail while a third one restarts.
pub const CANDIDATES_PER_ZONE: usize = 4;

/// Time after which a node that nobody has heard from is forgotten, in milliseconds: longer than a
/// restart, a pause or an outage of the links between data centres.
const FORGET_AFTER_MS: u64 = 30_000;

/// Nodes by name, with the time at which each was last heard from.
#[derive(Debug)]
pub struct NodeDirectory {
    me: NodeRecord,
    heard: HashMap<Name, (NodeRecord, u64)>,
    candidates: Arc<Vec<NodeRecord>>,
}

impl NodeDirectory {
    /// Creates a directory that contains only the node itself.
    pub fn new(me: NodeRecord) -> Self {
        let candidates = Arc::new(vec![me.clone()]);
        Self { me, heard: HashMap::new(), candidates }
    }

    /// Returns the record of the node itself.
    pub fn me(&self) -> &NodeRecord {
        &self.me
    }

    /// Records that a node was heard from `age_ms` before `now_ms`.
    pub fn observe(&mut self, now_ms: u64, record: NodeRecord, age_ms: u64) {
        let heard_at_ms = now_ms.saturating_sub(age_ms);
        if record.name == self.me.name || age_ms >= FORGET_AFTER_MS {
            return;
        }
        match self.heard.get_mut(&record.name) {
            Some((known, at_ms)) if *known == record => *at_ms = heard_at_ms.max(*at_ms),
            Some((_, at_ms)) if *at_ms >= heard_at_ms => {}
            _ => {
                self.heard.insert(record.name.clone(), (record, heard_at_ms));
                self.choose_candidates();
            }
        }
    }

    /// Forgets the nodes that have not been heard from for long.
    pub fn expire(&mut self, now_ms: u64) {
        let before = self.heard.len();
        self.heard.retain(|_, (_, heard_at_ms)| now_ms < *heard_at_ms + FORGET_AFTER_MS);
        if self.heard.len() != before {
            self.choose_candidates();
        }
    }

    fn choose_candidates(&mut self) {
        let mut by_zone: BTreeMap<Name, Vec<NodeRecord>> = BTreeMap::new();
        let others = self.heard.values().map(|(record, _)| record);
        for record in others.chain([&self.me]) {
            by_zone.entry(record.zone.clone()).or_default().push(record.clone());
        }
        for records in by_zone.values_mut() {
            records.sort_by_key(|record| {
                (std::cmp::Reverse(record.capacity), xxh3_64(record.name.as_bytes()))
            });
            records.truncate(CANDIDATES_PER_ZONE);
        }
        self.candidates = Arc::new(by_zone.into_values().flatten().collect());
    }

    /// Returns the nodes that may own services, those of one data centre after the other, the one
    /// with the greatest capacity first.
    pub fn candidates(&self) -> Arc<Vec<NodeRecord>> {
        self.candidates.clone()
    }

    /// Returns whether this node is a candidate.
    pub fn is_candidate(&self) -> bool {
        self.candidates.iter().any(|record| record.name == self.me.name)
    }

    /// Returns the candidates with the time since each was heard from, for another node.
    pub fn heard_candidates(&self, now_ms: u64) -> Vec<HeardNode> {
        let heard = self.candidates.iter().map(|record| {
            let heard_at_ms = self.heard.get(&record.name).map_or(now_ms, |(_, at_ms)| *at_ms);
            HeardNode { record: record.clone(), heard_age_ms: now_ms.saturating_sub(heard_at_ms) }
        });
        heard.collect()
    }

    /// Returns a node that has been heard of.
    pub fn get(&self, name: &str) -> Option<&NodeRecord> {
        match *name == *self.me.name {
            true => Some(&self.me),
            false => self.heard.get(name).map(|(record, _)| record),
        }
    }

    /// Returns whether the node with this address is known to be in another data centre.
    pub fn is_in_other_zone(&self, address: SocketAddr) -> bool {
        let mut others = self.heard.values().map(|(record, _)| record);
        others.any(|record| record.address == address && record.zone != self.me.zone)
    }

    /// Returns a digest of the candidates.
    pub fn digest(&self) -> u64 {
        let mut text = String::new();
        for record in self.candidates.iter() {
            text.push_str(&record.name);
            text.push_str(&record.address.to_string());
        }
        xxh3_64(text.as_bytes())
    }
}
