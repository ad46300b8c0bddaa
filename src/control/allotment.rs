//! A daemon's part of something that all daemons share, free of input and output.

/// A part that shrinks at once and grows only when all who held it have given it up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    held: u64,
    wanted: u64,
    since_version: u64,
}

impl Allotment {
    /// Takes a new part that a version allows.
    pub fn set(&mut self, version: u64, wanted: u64) {
        if wanted != self.wanted {
            self.wanted = wanted;
            self.since_version = version;
        }
        self.held = self.held.min(wanted);
    }

    /// Grows to the whole part, once the version that allows it is in force everywhere.
    pub fn grow<InForce>(&mut self, is_in_force: InForce)
    where
        InForce: Fn(u64) -> bool,
    {
        if self.held < self.wanted && is_in_force(self.since_version) {
            self.held = self.wanted;
        }
    }

    /// Takes the whole part at once; only for a part that nobody held before.
    pub fn take_all(&mut self) {
        self.held = self.wanted;
    }

    /// Returns what may be used now.
    pub fn held(&self) -> u64 {
        self.held
    }
}
