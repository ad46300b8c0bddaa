//! Place of a waiting statement in its level.

/// Place of a waiting statement in its level; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Start tag of fair queueing, or the end of the objective.
    pub tag: u64,
    /// Priority of the route, which differs only if tags are ends of objectives.
    pub priority: u32,
    /// Ticket of the statement.
    pub ticket: u64,
}
