//! Cheaply cloneable names.

use std::sync::Arc;

/// An immutable name, such as that of a host, group, member, workspace or data centre. Clones share
/// the text.
pub type Name = Arc<str>;
