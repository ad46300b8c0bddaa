//! Start-time fair queueing among the tenants of a level.

use std::collections::HashMap;

use crate::admission::admission_rules::AdmissionRules;
use crate::name::Name;

/// Tags of one level, in microseconds of slot time of a tenant of weight 1.
///
/// A statement starts at the tag at which the tenant's previous one ends, but not before the tag
/// that is being served, so an idle tenant gains nothing.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    served_tag: u64,
    next_tags: HashMap<Name, u64>,
}

impl FairShares {
    /// Returns the start tag that a statement of a tenant would get.
    pub fn start_tag(&self, tenant: &Name) -> u64 {
        self.next_tags.get(tenant).copied().unwrap_or_default().max(self.served_tag)
    }

    /// Returns the start tag for a tenant without earlier statements.
    pub fn served_tag(&self) -> u64 {
        self.served_tag
    }

    /// Returns the slot time that other tenants will ask for before a statement with `start_tag`,
    /// beyond their waiting statements, in microseconds. A tenant with at least half as much
    /// waiting as the statement's tenant is taken to go on, and to catch up with it.
    pub fn catch_up_us(&self, start_tag: u64, rules: &AdmissionRules) -> u64 {
        let half = self.served_tag + start_tag.saturating_sub(self.served_tag) / 2;
        let followers = self.next_tags.iter().filter(|(_, tag)| (half..start_tag).contains(*tag));
        let missing =
            followers.map(|(tenant, tag)| (start_tag - tag) as f64 * rules.weight(tenant));
        missing.sum::<f64>() as u64
    }

    /// Charges a tenant for a statement with a start tag. Returns the charge.
    pub fn charge(&mut self, tenant: &Name, start_tag: u64, cost_us: u64, weight: f64) -> u64 {
        let charge = (cost_us as f64 / weight) as u64;
        self.next_tags.insert(tenant.clone(), start_tag.saturating_add(charge));
        charge
    }

    /// Takes back the charge for a statement that was not served.
    pub fn refund(&mut self, tenant: &Name, charge: u64) {
        if let Some(tag) = self.next_tags.get_mut(tenant) {
            *tag = tag.saturating_sub(charge);
        }
    }

    /// Records that the statement with a start tag is being served.
    pub fn serve(&mut self, start_tag: u64) {
        self.served_tag = self.served_tag.max(start_tag);
    }

    /// Starts again, after the last statement has left.
    pub fn clear(&mut self) {
        self.served_tag = 0;
        self.next_tags.clear();
    }
}
