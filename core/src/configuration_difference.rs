//! Finds the differences between two configurations. It does no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::configuration::Consistency;
use crate::configuration::Route;
use crate::configuration::ServiceLimits;
use crate::configuration::Tenant;
use crate::configuration_draft::ConfigurationDraft;
use crate::configuration_finding::Finding;
use crate::name::Name;

/// Values of one entry, by what they mean.
type Fields = BTreeMap<&'static str, String>;

/// Returns what differs in `new` from `old`. Keys are counted, not named.
pub fn differences(old: &ConfigurationDraft, new: &ConfigurationDraft) -> Vec<Finding> {
    let (entries_before, entries) = (described(old), described(new));
    let mut findings = Vec::new();
    let all: BTreeSet<&String> = entries_before.keys().chain(entries.keys()).collect();
    for name in all {
        let text = match (entries_before.get(name), entries.get(name)) {
            (None, _) => "added".to_owned(),
            (_, None) => "removed".to_owned(),
            (Some(before), Some(after)) if before == after => continue,
            (Some(before), Some(after)) => {
                let changed =
                    after.iter().filter(|(field, value)| before.get(*field) != Some(value));
                let texts = changed.map(|(field, value)| {
                    format!("{field} {value}, was {}", before.get(field).map_or("-", |text| text))
                });
                texts.collect::<Vec<_>>().join("; ")
            }
        };
        findings.push(Finding::change(name, text));
    }
    compare_keys(old, new, &mut findings);
    if old.transaction_idle_ms != new.transaction_idle_ms {
        let text = format!("{} ms, was {} ms", new.transaction_idle_ms, old.transaction_idle_ms);
        findings.push(Finding::change("idle limit of transactions", text));
    }
    let versions = format!("{}, was {}", new.version, old.version);
    if new.version < old.version {
        let text = format!("{versions}: nodes ignore a lower version");
        findings.insert(0, Finding::error("version", text));
    } else if new.version == old.version && !findings.is_empty() {
        let text = format!("{versions}: two different documents have the same version");
        findings.insert(0, Finding::error("version", text));
    } else if new.version > old.version {
        findings.insert(0, Finding::change("version", versions));
    }
    findings
}

/// Returns the fields of all entries. Of entries with the same name the last one is in force.
fn described(draft: &ConfigurationDraft) -> BTreeMap<String, Fields> {
    let routes = draft.routes.iter().map(|placed| {
        (format!("database {:?}", placed.entry.database), route_fields(&placed.entry))
    });
    let services = draft
        .services
        .iter()
        .map(|placed| (format!("service {:?}", placed.entry.name), service_fields(&placed.entry)));
    let tenants = draft.tenants.iter().map(|placed| {
        (format!("tenant {:?}", placed.entry.0.name), tenant_fields(&placed.entry.0))
    });
    routes.chain(services).chain(tenants).collect()
}

fn route_fields(route: &Route) -> Fields {
    let consistency = match route.consistency {
        Consistency::Primary => "primary".to_owned(),
        Consistency::Bounded { max_staleness_ms } => {
            format!("staleness of up to {max_staleness_ms} ms")
        }
        Consistency::ReadOwnWrites { max_staleness_ms } => {
            format!("own writes, and staleness of up to {max_staleness_ms} ms")
        }
    };
    Fields::from([
        ("route", format!("{:?}", route.name)),
        ("service", format!("{:?}", route.service)),
        ("consistency", consistency),
        ("timeout", format!("{} ms", route.timeout_ms)),
        ("objective", format!("{} ms", route.objective_ms)),
        ("priority", route.priority.to_string()),
        ("public", route.is_public.to_string()),
    ])
}

fn service_fields(service: &ServiceLimits) -> Fields {
    Fields::from([
        ("connections", service.max_connections.to_string()),
        ("rate of a cold member", format!("{}/s", service.cold_per_s)),
        ("synchronous replicas", service.sync_replicas.to_string()),
    ])
}

fn tenant_fields(tenant: &Tenant) -> Fields {
    Fields::from([
        ("rate", format!("{}/s", tenant.rate_per_s)),
        ("burst", tenant.burst.to_string()),
    ])
}

fn compare_keys(old: &ConfigurationDraft, new: &ConfigurationDraft, findings: &mut Vec<Finding>) {
    let (before, after) = (holders(old), holders(new));
    let mut counts: BTreeMap<&str, [usize; 2]> = BTreeMap::new();
    for (key, holder) in &after {
        let is_added = before.get(key) != Some(holder);
        counts.entry(holder).or_default()[0] += usize::from(is_added);
    }
    for (key, holder) in &before {
        let is_withdrawn = after.get(key) != Some(holder);
        counts.entry(holder).or_default()[1] += usize::from(is_withdrawn);
    }
    for (tenant, [added, withdrawn]) in counts {
        if added + withdrawn > 0 {
            let text = format!("{added} added, {withdrawn} withdrawn");
            findings.push(Finding::change(&format!("keys of tenant {tenant:?}"), text));
        }
    }
}

fn holders(draft: &ConfigurationDraft) -> BTreeMap<&Name, &str> {
    let tenants = draft.tenants.iter().map(|placed| &placed.entry);
    tenants.flat_map(|(tenant, keys)| keys.iter().map(|key| (key, &*tenant.name))).collect()
}
