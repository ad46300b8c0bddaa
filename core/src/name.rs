//! Shared immutable names.

use std::sync::Arc;

/// A name of a host, group, member, workspace or data centre. Cloning it shares the text.
pub type Name = Arc<str>;
