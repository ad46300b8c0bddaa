//! A pooled connection, with the session state that its member holds for it.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::member::MemberCommand;
use crate::member::MemberConnection;
use crate::name::Name;
use crate::service::reply_matcher::ReplyMatcher;
use crate::statement::PreparedShape;

/// Number of prepared statements at which a connection is reset before its next statement outside
/// an open transaction. The reset drops them.
const MAX_PREPARED: usize = 64;

/// Properties of a connection that the pool depends on.
pub trait Connection {
    /// Returns the tenant that the connection was opened for.
    fn tenant(&self) -> &Name;
}

/// A connection to a member, with the session values and prepared statements set on it.
pub struct PooledConnection {
    /// Connection in the member's protocol.
    pub inner: Box<dyn MemberConnection>,
    /// Relates replies to commands.
    pub matcher: ReplyMatcher,
    tenant: Name,
    values: BTreeMap<Name, Name>,
    prepared: HashSet<PreparedShape>,
}

impl PooledConnection {
    /// Wraps a new connection, which has no session state.
    pub fn new(inner: Box<dyn MemberConnection>, tenant: Name) -> Self {
        Self {
            inner,
            matcher: ReplyMatcher::default(),
            tenant,
            values: BTreeMap::new(),
            prepared: HashSet::new(),
        }
    }

    /// Returns the commands that set a session's values and prepare a statement on the connection.
    /// `may_reset` must be false in an open transaction, because a reset drops earlier values and
    /// prepared statements.
    pub fn setup_commands(
        &mut self,
        values: &[(Name, Name)],
        shape: Option<&PreparedShape>,
        may_reset: bool,
    ) -> Vec<MemberCommand> {
        let mut commands = Vec::new();
        let has_other_values =
            self.values.keys().any(|known| values.iter().all(|(name, _)| name != known));
        if may_reset && (has_other_values || self.prepared.len() >= MAX_PREPARED) {
            commands.push(MemberCommand::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                commands.push(MemberCommand::Set { name: name.clone(), value: value.clone() });
            }
        }
        if let Some(shape) = shape
            && self.prepared.insert(shape.clone())
        {
            commands.push(MemberCommand::Prepare(shape.clone()));
        }
        commands
    }
}

impl Connection for PooledConnection {
    fn tenant(&self) -> &Name {
        &self.tenant
    }
}
