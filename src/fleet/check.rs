//! Checks of a fleet's document beyond those that its schema can express.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::fleet_document::ExceptionScope;
use super::fleet_document::FleetDocument;
use super::limits::Limits;
use crate::fleet::finding::Finding;

/// Maximum number of entry hosts in one fleet.
const MAX_HOSTS: usize = 1000;

/// Checks the references, addresses, names and exceptions of a document.
///
/// # Errors
///
/// Returns all findings.
pub fn check_document(document: &FleetDocument) -> Result<(), Vec<Finding>> {
    let mut findings = Vec::new();
    check_hosts(document, &mut findings);
    check_groups(document, &mut findings);
    check_workspaces(document, &mut findings);
    check_exceptions(document, &mut findings);
    match findings.is_empty() {
        true => Ok(()),
        false => Err(findings),
    }
}

fn check_hosts(document: &FleetDocument, findings: &mut Vec<Finding>) {
    let names = document.entry_hosts.iter().map(|host| host.name.as_str());
    check_names("/entry_hosts", names, findings);
    if document.entry_hosts.len() > MAX_HOSTS {
        let rule = format!("must be at most {MAX_HOSTS}, the maximum number of entry hosts");
        findings.push(Finding::new("/entry_hosts", document.entry_hosts.len(), rule));
    }
    for (index, host) in document.entry_hosts.iter().enumerate() {
        let fields = [
            ("peer_address", &host.peer_address),
            ("relay_address", &host.relay_address),
            ("operator_address", &host.operator_address),
        ];
        for (field, address) in fields {
            check_address(&format!("/entry_hosts/{index}/{field}"), address, findings);
        }
    }
}

fn check_groups(document: &FleetDocument, findings: &mut Vec<Finding>) {
    let names = document.groups.iter().map(|group| group.name.as_str());
    check_names("/groups", names, findings);
    for (index, group) in document.groups.iter().enumerate() {
        let path = format!("/groups/{index}/members");
        let names = group.members.iter().map(|member| member.name.as_str());
        check_names(&path, names, findings);
        for (member_index, member) in group.members.iter().enumerate() {
            check_address(&format!("{path}/{member_index}/address"), &member.address, findings);
        }
    }
}

fn check_workspaces(document: &FleetDocument, findings: &mut Vec<Finding>) {
    let names = document.workspaces.iter().map(|workspace| workspace.name.as_str());
    check_names("/workspaces", names, findings);
    for (index, workspace) in document.workspaces.iter().enumerate() {
        for (group_index, group) in workspace.groups.iter().enumerate() {
            if !document.groups.iter().any(|known| known.name == *group) {
                let path = format!("/workspaces/{index}/groups/{group_index}");
                findings.push(Finding::new(&path, group, "must name one of /groups"));
            }
        }
    }
}

fn check_exceptions(document: &FleetDocument, findings: &mut Vec<Finding>) {
    for (index, exception) in document.exceptions.iter().enumerate() {
        let path = format!("/exceptions/{index}");
        let is_known = match exception.scope {
            ExceptionScope::Workspace => {
                document.workspaces.iter().any(|known| known.name == exception.name)
            }
            ExceptionScope::Group => {
                document.groups.iter().any(|known| known.name == exception.name)
            }
        };
        if !is_known {
            let rule = format!("must name a known {}", exception.scope);
            findings.push(Finding::new(&format!("{path}/name"), &exception.name, rule));
        }
        if let Err(rule) = Limits::defaults(document).apply(exception) {
            findings.push(Finding::new(&format!("{path}/value"), &exception.value, rule));
        }
    }
}

fn check_names<'a, Names>(path: &str, names: Names, findings: &mut Vec<Finding>)
where
    Names: Iterator<Item = &'a str>,
{
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        let path = format!("{path}/{index}/name");
        if name.trim().is_empty() {
            findings.push(Finding::new(&path, name, "must not be empty"));
        } else if !seen.insert(name) {
            findings.push(Finding::new(&path, name, "must be unique"));
        }
    }
}

/// Checks that an address consists of an IP address and a port, and adds a finding if not.
pub fn check_address(path: &str, address: &str, findings: &mut Vec<Finding>) {
    if address.parse::<SocketAddr>().is_err() {
        let rule = "must be an IP address and port, such as 10.0.0.1:5432";
        findings.push(Finding::new(path, address, rule));
    }
}
