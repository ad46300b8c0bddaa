//! Which node owns which service, as far as this node has heard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::name::Name;
use crate::sync::lock;

/// The owner of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of its node.
    pub node: Name,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Version of the lease record that says so.
    pub version: u64,
    /// Whether it has stopped acting.
    pub is_released: bool,
}

/// Owners of services. Newer lease records replace older ones.
pub struct OwnerDirectory {
    owners: Mutex<BTreeMap<Name, Owner>>,
    changes: watch::Sender<u64>,
}

impl Default for OwnerDirectory {
    fn default() -> Self {
        Self { owners: Mutex::default(), changes: watch::Sender::new(0) }
    }
}

impl OwnerDirectory {
    /// Takes note of an owner. Returns whether it was news.
    pub fn update(&self, service: &Name, owner: Owner) -> bool {
        let mut owners = lock(&self.owners);
        let known = owners.get(service);
        if known.is_some_and(|known| known.version >= owner.version) {
            return false;
        }
        let is_change = known.is_none_or(|known| {
            known.address != owner.address || known.is_released != owner.is_released
        });
        owners.insert(service.clone(), owner);
        drop(owners);
        if is_change {
            self.changes.send_modify(|count| *count += 1);
        }
        is_change
    }

    /// Returns the owner of a service, if one is known that acts.
    pub fn owner(&self, service: &str) -> Option<Owner> {
        lock(&self.owners).get(service).filter(|owner| !owner.is_released).cloned()
    }

    /// Returns all owners, in ascending order of services.
    pub fn owners(&self) -> Vec<(Name, Owner)> {
        let owners = lock(&self.owners);
        owners.iter().map(|(service, owner)| (service.clone(), owner.clone())).collect()
    }

    /// Returns a receiver that sees each change of an owner.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
