//! Which members' slots a statement can use.

/// Which members' slots a statement can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotClass {
    /// Those of the member of its open transaction.
    Transaction,
    /// Those of the primary.
    Primary,
    /// Those of any member.
    Reader,
}
