//! The known owner of each service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::digest::digest;
use crate::name::Name;
use crate::sync::lock;

/// The owner of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the owner's node.
    pub node: Name,
    /// Address of the owner for other nodes.
    pub address: SocketAddr,
    /// Version of the lease record that names this owner.
    pub version: u64,
    /// Whether it has released the lease and no longer acts as owner.
    pub is_released: bool,
}

/// Owners of services, each from the newest known lease record.
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
    /// Records an owner unless one from the same or a newer lease record is known. Returns whether
    /// the owner's address or its release of the lease changed.
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

    /// Returns the owner of a service, if one is known that has not released the lease.
    pub fn owner(&self, service: &str) -> Option<Owner> {
        lock(&self.owners).get(service).filter(|owner| !owner.is_released).cloned()
    }

    /// Returns all known owners, sorted by service.
    pub fn owners(&self) -> Vec<(Name, Owner)> {
        let owners = lock(&self.owners);
        owners.iter().map(|(service, owner)| (service.clone(), owner.clone())).collect()
    }

    /// Returns for each node the number of services that it owns or owned last.
    pub fn services_per_node(&self) -> HashMap<Name, u64> {
        let mut services = HashMap::new();
        for owner in lock(&self.owners).values() {
            *services.entry(owner.node.clone()).or_default() += 1;
        }
        services
    }

    /// Returns a digest of the owners. Renewals of their leases do not change it.
    pub fn digest(&self) -> u64 {
        let owners = self.owners();
        let compared: Vec<(&Name, SocketAddr, bool)> = owners
            .iter()
            .map(|(service, owner)| (service, owner.address, owner.is_released))
            .collect();
        digest(&compared)
    }

    /// Returns a receiver that is notified of each change of an owner.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
