//! Parses a daemon's settings and the fleet document from JSON, and checks them.

use super::daemon_settings::DaemonSettings;
use super::schema_check;
use crate::fleet::check::check_address;
use crate::fleet::check::check_document;
use crate::fleet::finding::Finding;
use crate::fleet::fleet_document::FleetDocument;

/// JSON Schema of a daemon's settings.
pub const DAEMON_SCHEMA: &str = include_str!("../../schemas/daemon-settings.schema.json");
/// JSON Schema of the fleet document.
pub const FLEET_SCHEMA: &str = include_str!("../../schemas/fleet-document.schema.json");

/// Parses and checks the settings of a daemon.
///
/// # Errors
///
/// Returns all violations of the schema or, if there are none, all violations of other rules.
pub fn load_daemon_settings(text: &str) -> Result<DaemonSettings, Vec<Finding>> {
    let value = schema_check::check(text, DAEMON_SCHEMA)?;
    let settings: DaemonSettings = serde_json::from_value(value).map_err(deserialize_error)?;
    let mut findings = Vec::new();
    let addresses = [
        ("/caller_address", &settings.caller_address),
        ("/relay_address", &settings.relay_address),
        ("/peer_address", &settings.peer_address),
        ("/operator_address", &settings.operator_address),
        ("/platform_address", &settings.platform_address),
    ];
    for (path, address) in addresses {
        check_address(path, address, &mut findings);
    }
    for (index, address) in settings.bootstrap_peers.iter().enumerate() {
        check_address(&format!("/bootstrap_peers/{index}"), address, &mut findings);
    }
    if let Some(address) = &settings.statsd_address {
        check_address("/statsd_address", address, &mut findings);
    }
    for (from, to) in &settings.address_map {
        check_address(&format!("/address_map/{from}"), from, &mut findings);
        check_address(&format!("/address_map/{from}"), to, &mut findings);
    }
    if settings.name.trim().is_empty() {
        findings.push(Finding::new("/name", &settings.name, "must not be empty"));
    }
    match findings.is_empty() {
        true => Ok(settings),
        false => Err(findings),
    }
}

/// Parses and checks a fleet document.
///
/// # Errors
///
/// Returns all violations of the schema or, if there are none, all violations of other rules.
pub fn load_fleet_document(text: &str) -> Result<FleetDocument, Vec<Finding>> {
    let value = schema_check::check(text, FLEET_SCHEMA)?;
    let document: FleetDocument = serde_json::from_value(value).map_err(deserialize_error)?;
    check_document(&document)?;
    Ok(document)
}

fn deserialize_error(error: serde_json::Error) -> Vec<Finding> {
    vec![Finding::new("/", "text", format!("cannot be read: {error}"))]
}
