//! Counts what sessions keep between statements: prepared shapes and values.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::limits::host_limits::HostLimits;
use crate::limits::host_limits::MAX_VALUE_BYTES;
use crate::name::Name;
use crate::sync::lock;

/// Bytes that each session may keep without counting, so that usual sessions take no lock and never
/// compete: a dozen short shapes.
const FREE_KEPT_BYTES: usize = 4 << 10;

/// Memory of a name or shape beyond its text, in bytes.
const ENTRY_BYTES: usize = 128;

#[derive(Default)]
struct Counts {
    total_bytes: usize,
    of_tenant: HashMap<Name, usize>,
}

/// What all sessions keep.
pub struct KeptLedger {
    total_bytes: usize,
    tenant_bytes: usize,
    session_bytes: usize,
    counts: Mutex<Counts>,
}

/// What one session keeps, counted until this is dropped.
pub struct KeptBytes {
    ledger: Arc<KeptLedger>,
    tenant: Name,
    values_bytes: usize,
    prepared_bytes: usize,
}

/// Kind of what a session keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// A session value, which is sent with each call.
    Value,
    /// A prepared shape.
    Shape,
}

impl KeptLedger {
    /// Creates a ledger without entries.
    pub fn new(limits: &HostLimits) -> Arc<Self> {
        Arc::new(Self {
            total_bytes: limits.kept_bytes,
            tenant_bytes: limits.tenant_kept_bytes,
            session_bytes: limits.session_kept_bytes,
            counts: Mutex::default(),
        })
    }

    /// Returns the bytes that count.
    pub fn used_bytes(&self) -> usize {
        lock(&self.counts).total_bytes
    }

    /// Opens the account of a session.
    pub fn open(self: &Arc<Self>, tenant: Name) -> KeptBytes {
        KeptBytes { ledger: self.clone(), tenant, values_bytes: 0, prepared_bytes: 0 }
    }

    /// Changes what a session of a tenant counts. Returns whether an increase is within the limits; if
    /// not, nothing changes.
    fn change(&self, tenant: &Name, from_bytes: usize, to_bytes: usize) -> bool {
        if from_bytes == to_bytes {
            return true;
        }
        let mut counts = lock(&self.counts);
        let total_bytes = counts.total_bytes - from_bytes + to_bytes;
        let used_bytes = counts.of_tenant.get(tenant).copied().unwrap_or_default();
        let tenant_bytes = used_bytes - from_bytes + to_bytes;
        let is_within = total_bytes <= self.total_bytes && tenant_bytes <= self.tenant_bytes;
        if to_bytes > from_bytes && !is_within {
            return false;
        }
        counts.total_bytes = total_bytes;
        match tenant_bytes {
            0 => drop(counts.of_tenant.remove(tenant)),
            _ => drop(counts.of_tenant.insert(tenant.clone(), tenant_bytes)),
        }
        true
    }
}

/// Returns the bytes that count for a name with its text.
pub fn entry_bytes(name: &str, text: &str) -> usize {
    name.len() + text.len() + ENTRY_BYTES
}

impl KeptBytes {
    /// Returns the tenant of the session.
    pub fn tenant(&self) -> &Name {
        &self.tenant
    }

    /// Returns the bytes of the values, which each call carries.
    pub fn values_bytes(&self) -> usize {
        self.values_bytes
    }

    fn counted(bytes: usize) -> usize {
        bytes.saturating_sub(FREE_KEPT_BYTES)
    }

    fn bytes(&self) -> usize {
        self.values_bytes + self.prepared_bytes
    }

    /// Replaces an entry of `old_bytes` by one of `new_bytes`; 0 stands for none.
    ///
    /// # Errors
    ///
    /// Returns which limit the new entry would exceed. Nothing changes then.
    pub fn replace(
        &mut self,
        kept: Kept,
        old_bytes: usize,
        new_bytes: usize,
    ) -> Result<(), &'static str> {
        let before = self.bytes();
        let after = before - old_bytes + new_bytes;
        if new_bytes > old_bytes {
            if after > self.ledger.session_bytes {
                return Err("the session keeps too many bytes in settings and prepared statements");
            }
            let values_bytes = self.values_bytes - old_bytes.min(self.values_bytes) + new_bytes;
            if kept == Kept::Value && values_bytes > MAX_VALUE_BYTES {
                return Err("the session keeps too many bytes in settings");
            }
        }
        if !self.ledger.change(&self.tenant, Self::counted(before), Self::counted(after)) {
            return Err("the sessions at this host keep too many bytes");
        }
        let part = match kept {
            Kept::Value => &mut self.values_bytes,
            Kept::Shape => &mut self.prepared_bytes,
        };
        *part = *part - old_bytes + new_bytes;
        Ok(())
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.ledger.change(&self.tenant, Self::counted(self.bytes()), 0);
    }
}
