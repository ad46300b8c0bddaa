//! The number of synchronous replicas that each commit certainly has. Performs no input or output.

/// The number of synchronous replicas of a service over changes of its configuration. A lower number
/// counts at once, a higher one when the members must have applied it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncReplicas {
    in_force: usize,
    /// A higher number, with the time since which it has been configured.
    rising: Option<(usize, u64)>,
}

impl SyncReplicas {
    /// Starts with the number that a former owner has recorded.
    pub fn new(recorded: usize) -> Self {
        Self { in_force: recorded, rising: None }
    }

    /// Returns the number that counts at `now_ms`, if this one is configured then. Members apply a change
    /// within `apply_limit_ms`.
    pub fn observe(&mut self, now_ms: u64, configured: usize, apply_limit_ms: u64) -> usize {
        if configured <= self.in_force {
            self.in_force = configured;
            self.rising = None;
            return configured;
        }
        let since_ms = match self.rising {
            Some((rising, since_ms)) if rising == configured => since_ms,
            _ => now_ms,
        };
        self.rising = Some((configured, since_ms));
        if now_ms >= since_ms + apply_limit_ms {
            self.in_force = configured;
            self.rising = None;
        }
        self.in_force
    }
}
