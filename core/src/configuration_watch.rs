//! The newest known configuration, and when it was last confirmed to be the newest.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::digest::digest;
use crate::sync::lock;

/// A configuration with the time at which it was last known to be the newest.
#[derive(Clone, Debug)]
pub struct KnownConfiguration {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// Time at which the call that showed it to be the newest was sent, in milliseconds of
    /// [`now_ms`](crate::clock::now_ms).
    pub confirmed_at_ms: u64,
    /// Digest of the configuration.
    pub digest: u64,
}

/// Shares the newest configuration among the tasks of a node.
pub struct ConfigurationWatch {
    known: Mutex<Option<KnownConfiguration>>,
    changes: watch::Sender<u64>,
}

impl Default for ConfigurationWatch {
    fn default() -> Self {
        Self { known: Mutex::default(), changes: watch::Sender::new(0) }
    }
}

impl ConfigurationWatch {
    /// Applies a configuration that a call sent at `sent_at_ms` showed to be the newest, unless a
    /// newer version is known. Returns whether the configuration changed.
    pub fn update(&self, configuration: Configuration, sent_at_ms: u64) -> bool {
        let mut known = lock(&self.known);
        let present = known.as_ref().map(|known| known.configuration.clone());
        let present_version = present.as_ref().map_or(0, |present| present.version);
        if configuration.version < present_version {
            return false;
        }
        let is_change = present.as_deref() != Some(&configuration);
        let confirmed_at_ms =
            known.as_ref().map_or(0, |known| known.confirmed_at_ms).max(sent_at_ms);
        let present_digest = known.as_ref().map_or(0, |known| known.digest);
        let (configuration, digest) = match present {
            Some(present) if !is_change => (present, present_digest),
            _ => {
                let digest = digest(&configuration);
                (Arc::new(configuration), digest)
            }
        };
        let version = configuration.version;
        *known = Some(KnownConfiguration { configuration, confirmed_at_ms, digest });
        drop(known);
        if is_change {
            self.changes.send_replace(version);
        }
        is_change
    }

    /// Records that another node confirmed `version` as the newest at `confirmed_at_ms`.
    pub fn confirm(&self, version: u64, confirmed_at_ms: u64) {
        if let Some(known) = lock(&self.known).as_mut()
            && known.configuration.version == version
        {
            known.confirmed_at_ms = known.confirmed_at_ms.max(confirmed_at_ms);
        }
    }

    /// Returns the newest configuration, if any is known.
    pub fn known(&self) -> Option<KnownConfiguration> {
        lock(&self.known).clone()
    }

    /// Returns a receiver that is notified of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
