//! A pooled connection, with the session state that its member holds for it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::log_position::LogPosition;
use crate::member::CommandBody;
use crate::member::MemberCommand;
use crate::member::MemberConnection;
use crate::member::PreparedNumber;
use crate::name::Name;
use crate::service::matched_connection::MatchedConnection;
use crate::statement::DataStatement;
use crate::statement::PreparedShape;
use crate::statement::StatementBody;

/// Number of prepared statements at which a connection is reset before its next statement outside
/// an open transaction. The reset drops them.
const MAX_PREPARED: usize = 64;

/// Bytes of values and prepared statements up to which a connection is kept for other sessions: 64
/// shapes of 2 KB, twice the size of usual ones. Up to 243 connections may keep that much.
const MAX_KEPT_BYTES: usize = 128 << 10;

/// Properties of a connection that the pool depends on.
pub trait Connection {
    /// Returns the tenant that the connection was opened for.
    fn tenant(&self) -> &Name;
}

/// A connection to a member, with the session values and prepared statements set on it.
pub struct PooledConnection {
    /// Connection on which commands are sent.
    pub inner: MatchedConnection,
    tenant: Name,
    values: BTreeMap<Name, Name>,
    prepared: HashMap<PreparedShape, PreparedNumber>,
    /// Number of the last prepared statement. A number is not used again after a reset.
    last_prepared: u64,
}

impl PooledConnection {
    /// Wraps a new connection, which has no session state.
    pub fn new(inner: Box<dyn MemberConnection>, tenant: Name) -> Self {
        Self {
            inner: MatchedConnection::new(inner),
            tenant,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            last_prepared: 0,
        }
    }

    /// Returns whether the connection may be kept for other sessions.
    pub fn is_reusable(&self) -> bool {
        let values = self.values.iter().map(|(name, value)| name.len() + value.len());
        let shapes = self.prepared.keys().map(|shape| shape.shape.len());
        self.inner.is_reusable() && values.chain(shapes).sum::<usize>() <= MAX_KEPT_BYTES
    }

    /// Returns the commands that set a session's values on the connection and prepare the shape of
    /// `statement`, if it has one. `may_reset` must be false in an open transaction, because a reset
    /// drops earlier values and prepared statements.
    pub fn setup_commands(
        &mut self,
        values: &[(Name, Name)],
        statement: Option<&DataStatement>,
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
        if let Some(DataStatement { body: StatementBody::Execute { shape, .. }, .. }) = statement {
            self.prepare(shape, &mut commands);
        }
        commands
    }

    /// Returns the commands that set a session's values, prepare the statement's shape and run it.
    pub fn statement_commands(
        &mut self,
        values: &[(Name, Name)],
        statement: &DataStatement,
        floor: Option<LogPosition>,
        may_reset: bool,
    ) -> Vec<MemberCommand> {
        let mut commands = self.setup_commands(values, Some(statement), may_reset);
        let body = match &statement.body {
            StatementBody::Text(text) => CommandBody::Text(text.clone()),
            StatementBody::Execute { shape, arguments } => CommandBody::Execute {
                prepared: self.prepare(shape, &mut commands),
                arguments: arguments.clone(),
            },
        };
        let (id, access) = (statement.id.clone(), statement.access);
        commands.push(MemberCommand::Run { id, access, body, floor });
        commands
    }

    /// Returns the number of a shape, and adds the command that prepares it if it is not prepared.
    fn prepare(
        &mut self,
        shape: &PreparedShape,
        commands: &mut Vec<MemberCommand>,
    ) -> PreparedNumber {
        if let Some(prepared) = self.prepared.get(shape) {
            return *prepared;
        }
        self.last_prepared += 1;
        let prepared = PreparedNumber(self.last_prepared);
        self.prepared.insert(shape.clone(), prepared);
        commands.push(MemberCommand::Prepare { prepared, shape: shape.clone() });
        prepared
    }
}

impl Connection for PooledConnection {
    fn tenant(&self) -> &Name {
        &self.tenant
    }
}
