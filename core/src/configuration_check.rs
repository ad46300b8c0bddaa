//! Finds the entries of a configuration that cannot work, cannot match or contradict each other. It
//! does no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::configuration::Consistency;
use crate::configuration_draft::ConfigurationDraft;
use crate::configuration_draft::Placed;
use crate::configuration_finding::Finding;
use crate::name::is_field;

/// Returns all findings about a configuration, in the order of its entries.
pub fn check(draft: &ConfigurationDraft) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_routes(draft, &mut findings);
    check_services(draft, &mut findings);
    check_tenants(draft, &mut findings);
    findings
}

fn check_routes(draft: &ConfigurationDraft, findings: &mut Vec<Finding>) {
    let services: BTreeSet<&str> = draft.services.iter().map(|s| &*s.entry.name).collect();
    let mut by_database = BTreeMap::new();
    for Placed { place, entry: route } in &draft.routes {
        let mut error = |text| findings.push(Finding::error(place, text));
        if !is_field(&route.database) {
            error("callers cannot name a database that is empty or contains blanks".to_owned());
        }
        if !services.contains(&*route.service) {
            error(format!("there is no service {:?}", route.service));
        }
        if let Some(earlier) = by_database.insert(&*route.database, place) {
            error(format!("{earlier} has the same database and never matches; this one does"));
        }
        if route.timeout_ms == 0 {
            error("the timeout is 0: every statement is refused".to_owned());
        }
        let mut warn = |text| findings.push(Finding::warning(place, text));
        if route.objective_ms > route.timeout_ms {
            warn(format!(
                "the objective of {} ms exceeds the timeout of {} ms",
                route.objective_ms, route.timeout_ms
            ));
        }
        if let Consistency::Bounded { max_staleness_ms: 0 }
        | Consistency::ReadOwnWrites { max_staleness_ms: 0 } = route.consistency
        {
            warn("the staleness bound is 0: a replica rarely has every commit".to_owned());
        }
    }
}

fn check_services(draft: &ConfigurationDraft, findings: &mut Vec<Finding>) {
    let routed: BTreeSet<&str> = draft.routes.iter().map(|r| &*r.entry.service).collect();
    let mut by_name = BTreeMap::new();
    for Placed { place, entry: service } in &draft.services {
        if !is_field(&service.name) {
            let text = "members with an empty name of their service, or blanks in it, are refused";
            findings.push(Finding::error(place, text.to_owned()));
        }
        if let Some(earlier) = by_name.insert(&*service.name, place) {
            let text = format!("{earlier} has the same name and is not used; this one is");
            findings.push(Finding::error(place, text));
        }
        if service.cold_per_s < 0.0 {
            let text = "the rate of a cold member is negative".to_owned();
            findings.push(Finding::error(place, text));
        }
        if service.max_connections == 0 {
            let text = "the limit on connections is 0: the least possible number is used";
            findings.push(Finding::warning(place, text.to_owned()));
        }
        if !routed.contains(&*service.name) {
            findings.push(Finding::warning(place, "no route leads to this service".to_owned()));
        }
    }
}

fn check_tenants(draft: &ConfigurationDraft, findings: &mut Vec<Finding>) {
    let mut by_name = BTreeMap::new();
    let mut by_key = BTreeMap::new();
    for Placed { place, entry: (tenant, keys) } in &draft.tenants {
        if !is_field(&tenant.name) {
            let text = "members cannot be told a name that is empty or contains blanks";
            findings.push(Finding::error(place, text.to_owned()));
        }
        if let Some((earlier, known)) = by_name.insert(&*tenant.name, (place, tenant))
            && known != tenant
        {
            let text = format!("{earlier} has the same name and other limits");
            findings.push(Finding::error(place, text));
        }
        if tenant.rate_per_s <= 0.0 {
            let text = "the rate is not above 0: after the first operations all are refused";
            findings.push(Finding::error(place, text.to_owned()));
        }
        if tenant.burst < 1.0 {
            let text = format!(
                "the burst of {} is below one operation: all operations are refused",
                tenant.burst
            );
            findings.push(Finding::error(place, text));
        }
        if keys.is_empty() {
            findings.push(Finding::warning(place, "it has no key and cannot call".to_owned()));
        }
        for (number, key) in keys.iter().enumerate() {
            let place = format!("{place}, key {}", number + 1);
            if !is_field(key) {
                let text = "callers cannot send a key that is empty or contains blanks";
                findings.push(Finding::error(&place, text.to_owned()));
            }
            match by_key.insert(&**key, (place.clone(), &tenant.name)) {
                Some((earlier, holder)) if holder != &tenant.name => {
                    let text = format!("it is also {earlier}, which is not used");
                    findings.push(Finding::error(&place, text));
                }
                Some((earlier, _)) => {
                    let text = format!("it is also {earlier}, of the same tenant");
                    findings.push(Finding::warning(&place, text));
                }
                None => {}
            }
        }
    }
}
