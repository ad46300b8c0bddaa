//! Decides which replies to another node carry the pressure of a service. It does no I/O.

use std::collections::HashSet;

use crate::name::Name;
use crate::owner_pressure::OwnerPressure;

/// Services whose pressure on the last reply to one node was not empty.
#[derive(Clone, Debug, Default)]
pub struct PressureTeller {
    told: HashSet<Name>,
}

impl PressureTeller {
    /// Returns what the next reply to the node carries: the pressure if it is not empty, or if the
    /// node was told another one before; nothing if this node does not own the service.
    pub fn tell(
        &mut self,
        service: &Name,
        current: Option<OwnerPressure>,
    ) -> Option<OwnerPressure> {
        let Some(current) = current else {
            self.told.remove(service);
            return None;
        };
        if current.pressure.levels.is_empty() {
            return self.told.remove(service).then_some(current);
        }
        self.told.insert(service.clone());
        Some(current)
    }
}
