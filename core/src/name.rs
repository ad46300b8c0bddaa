//! Cheaply cloneable names.

use std::sync::Arc;

/// An immutable name, such as that of a host, group, member, workspace or data centre. Clones share
/// the text.
pub type Name = Arc<str>;

/// Returns whether a name can be a field of a line of text: it is not empty and contains no blank, CR,
/// LF or NUL, which would end the field.
pub fn is_field(name: &str) -> bool {
    !name.is_empty() && !name.contains([' ', '\r', '\n', '\0'])
}
