//! A pooled connection, with what its member knows of sessions.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::member::MemberCommand;
use crate::member::MemberConnection;
use crate::name::Name;
use crate::statement::PreparedShape;

/// Most prepared statements of one connection; beyond, the member is told to forget them.
const MAX_PREPARED: usize = 64;

/// What the pool needs to know of a connection.
pub trait Connection {
    /// Tenant that the member was told.
    fn tenant(&self) -> &Name;
}

/// A connection to a member, with the session state that it holds.
pub struct PooledConnection {
    /// The connection.
    pub link: Box<dyn MemberConnection>,
    tenant: Name,
    values: BTreeMap<Name, Name>,
    prepared: HashSet<PreparedShape>,
}

impl PooledConnection {
    /// Wraps a new connection.
    pub fn new(link: Box<dyn MemberConnection>, tenant: Name) -> Self {
        Self { link, tenant, values: BTreeMap::new(), prepared: HashSet::new() }
    }

    /// Returns the commands that give the connection a session's values and a prepared statement.
    /// Inside a transaction nothing may be dropped.
    pub fn prepare_for(
        &mut self,
        values: &[(Name, Name)],
        shape: Option<&PreparedShape>,
        may_reset: bool,
    ) -> Vec<MemberCommand> {
        let mut commands = Vec::new();
        let has_foreign =
            self.values.keys().any(|known| values.iter().all(|(name, _)| name != known));
        if may_reset && (has_foreign || self.prepared.len() >= MAX_PREPARED) {
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
