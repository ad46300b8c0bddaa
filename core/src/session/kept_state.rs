//! What a session keeps between statements: values and prepared statements.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::limits::ClientLimits;
use crate::limits::kept_bytes::Kept;
use crate::limits::kept_bytes::KeptBytes;
use crate::limits::kept_bytes::entry_bytes;
use crate::limits::report::Applied;
use crate::name::Name;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::statement::PreparedShape;
use crate::statement::Statement;
use crate::statement::StatementKind;

/// Most values, and most prepared statements, of one session. Their bytes are limited as well.
const MAX_SESSION_NAMES: usize = 1_000;

/// Values and prepared statements of a session, which count against the limits.
pub(super) struct KeptState {
    limits: Arc<ClientLimits>,
    values: BTreeMap<Name, Name>,
    prepared: HashMap<Name, PreparedShape>,
    kept: KeptBytes,
}

impl KeptState {
    /// Creates the state of a new session of a tenant.
    pub(super) fn new(limits: Arc<ClientLimits>, tenant: Name) -> Self {
        let kept = limits.kept.open(tenant);
        Self { limits, values: BTreeMap::new(), prepared: HashMap::new(), kept }
    }

    /// Returns the tenant for whom the session was opened.
    pub(super) fn tenant(&self) -> &Name {
        self.kept.tenant()
    }

    /// Returns the values in the order of their names.
    pub(super) fn values(&self) -> Vec<(Name, Name)> {
        self.values.iter().map(|(name, value)| (name.clone(), value.clone())).collect()
    }

    /// Returns a prepared statement.
    pub(super) fn prepared(&self, name: &str) -> Option<&PreparedShape> {
        self.prepared.get(name)
    }

    /// Sets a value.
    pub(super) fn set(&mut self, name: &Name, value: &Name) -> Result<(), Refusal> {
        check_name_limit(self.values.len())?;
        let old_bytes = self.values.get(name).map_or(0, |old| entry_bytes(name, old));
        self.count(Kept::Value, old_bytes, entry_bytes(name, value))?;
        self.values.insert(name.clone(), value.clone());
        Ok(())
    }

    /// Keeps a prepared statement.
    pub(super) fn prepare(&mut self, name: &Name, shape: &PreparedShape) -> Result<(), Refusal> {
        check_name_limit(self.prepared.len())?;
        let old = self.prepared.get(name);
        let old_bytes = old.map_or(0, |old| entry_bytes(name, &old.shape));
        self.count(Kept::Shape, old_bytes, entry_bytes(name, &shape.shape))?;
        self.prepared.insert(name.clone(), shape.clone());
        Ok(())
    }

    /// Discards a prepared statement.
    pub(super) fn deallocate(&mut self, name: &Name) -> Result<(), Refusal> {
        let Some(shape) = self.prepared.remove(name) else {
            return Err(Refusal::new(Failure::UnknownPrepared, "no such prepared statement"));
        };
        self.count(Kept::Shape, entry_bytes(name, &shape.shape), 0)
    }

    /// Returns the bytes that a statement's call carries beside the statement's own text.
    pub(super) fn carried_bytes(&self, statement: &Statement) -> usize {
        let shape_bytes = match &statement.kind {
            StatementKind::Execute { name, .. } => {
                self.prepared.get(name).map_or(0, |shape| shape.shape.len())
            }
            StatementKind::Direct(_) | StatementKind::Commit => 0,
            _ => return 0,
        };
        shape_bytes + self.kept.values_bytes()
    }

    fn count(&mut self, kept: Kept, old_bytes: usize, new_bytes: usize) -> Result<(), Refusal> {
        self.kept.replace(kept, old_bytes, new_bytes).map_err(|reason| {
            self.limits.report.record(Applied::KeptMemory);
            Refusal::new(Failure::TooLarge, reason)
        })
    }
}

fn check_name_limit(used: usize) -> Result<(), Refusal> {
    match used < MAX_SESSION_NAMES {
        true => Ok(()),
        false => Err(Refusal::new(
            Failure::TooLarge,
            "the session has too many settings or prepared statements",
        )),
    }
}
