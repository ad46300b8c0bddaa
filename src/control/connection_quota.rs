//! A daemon's part of a connection limit that all daemons share. This module does no I/O.

/// Part of a shared limit. A decrease takes effect at once, an increase only when the daemons that
/// used the difference before have lowered their parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionQuota {
    current: u64,
    target: u64,
    /// Configuration version that grants the target.
    target_version: u64,
}

impl ConnectionQuota {
    /// Sets the quota that a configuration version grants, lowering the current one if needed.
    pub fn update(&mut self, version: u64, target: u64) {
        if target != self.target {
            self.target = target;
            self.target_version = version;
        }
        self.current = self.current.min(target);
    }

    /// Raises the quota to its target if the version that grants it is in force on all daemons.
    pub fn raise<InForce>(&mut self, is_in_force: InForce)
    where
        InForce: Fn(u64) -> bool,
    {
        if self.current < self.target && is_in_force(self.target_version) {
            self.current = self.target;
        }
    }

    /// Raises the quota to its target at once. Only for a quota that no other daemon used before.
    pub fn raise_now(&mut self) {
        self.current = self.target;
    }

    /// Returns the quota that may be used now.
    pub fn current(&self) -> u64 {
        self.current
    }
}
