//! A plain answer to the question how the fleet is doing.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::state::Fleet;
use crate::peer::rpc::DaemonReport;
use crate::peer::rpc::GroupReport;
use crate::peer::rpc::WorkspaceReport;

/// How well the fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// All is well.
    Healthy,
    /// Service goes on, with something out of order.
    Degraded,
    /// Some requests cannot be served.
    Failing,
}

/// How the fleet is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// How well the fleet is.
    pub health: Health,
    /// What is out of order, worst first.
    pub troubles: Vec<Trouble>,
    /// Version of the configuration on the daemon that was asked.
    pub version: u64,
    /// Data centres and whether they are in service.
    pub data_centres: BTreeMap<String, bool>,
    /// Groups, as their homes see them.
    pub groups: Vec<GroupReport>,
    /// Daemons; one that gives no answer has no report.
    pub daemons: Vec<(String, Option<DaemonReport>)>,
    /// Workspaces, over all daemons.
    pub workspaces: Vec<WorkspaceReport>,
}

/// Something that is out of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trouble {
    /// How bad it is.
    pub health: Health,
    /// What it is, as a sentence.
    pub text: String,
}

impl FleetStatus {
    /// Draws the status together from what the daemons reported.
    pub fn new(fleet: &Fleet, daemons: Vec<(String, Option<DaemonReport>)>) -> Self {
        let groups = merge_groups(&daemons);
        let mut troubles = daemon_troubles(fleet, &daemons);
        troubles.extend(group_troubles(fleet, &groups));
        for name in &fleet.data_centres_out {
            troubles.push(degraded(format!("data centre {name} is out of service")));
        }
        troubles.sort_by_key(|trouble| std::cmp::Reverse(trouble.health));
        Self {
            health: troubles.first().map_or(Health::Healthy, |trouble| trouble.health),
            troubles,
            version: fleet.version,
            data_centres: data_centres(fleet),
            workspaces: merge_workspaces(&daemons),
            groups,
            daemons,
        }
    }
}

fn degraded(text: String) -> Trouble {
    Trouble { health: Health::Degraded, text }
}

fn failing(text: String) -> Trouble {
    Trouble { health: Health::Failing, text }
}

fn data_centres(fleet: &Fleet) -> BTreeMap<String, bool> {
    let hosts = fleet.hosts().iter().map(|host| &host.data_centre);
    let members = fleet.groups().iter().flat_map(|group| &group.members);
    let names = hosts.chain(members.map(|member| &member.data_centre));
    names.map(|name| (name.clone(), !fleet.data_centres_out.contains(name))).collect()
}

fn daemon_troubles(fleet: &Fleet, daemons: &[(String, Option<DaemonReport>)]) -> Vec<Trouble> {
    let mut troubles = Vec::new();
    let mut serving = 0;
    for (host, report) in daemons {
        let Some(report) = report else {
            troubles.push(degraded(format!("daemon {host} gives no answer")));
            continue;
        };
        serving += usize::from(report.state == "serving");
        if report.state != "serving" {
            troubles.push(degraded(format!("daemon {host} is {}", report.state)));
        }
        if !report.is_table_reachable {
            troubles.push(degraded(format!("daemon {host} does not reach the table")));
        }
        if report.version != fleet.version {
            troubles.push(degraded(format!(
                "daemon {host} has version {} of the configuration, not {}",
                report.version, fleet.version
            )));
        }
    }
    if serving == 0 {
        troubles.push(failing("no daemon is serving".to_owned()));
    }
    troubles
}

fn group_troubles(fleet: &Fleet, groups: &[GroupReport]) -> Vec<Trouble> {
    let mut troubles = Vec::new();
    for group in fleet.groups() {
        let Some(report) = groups.iter().find(|report| report.name == group.name) else {
            troubles.push(failing(format!("no daemon holds connections to group {}", group.name)));
            continue;
        };
        if report.primary.is_none() {
            troubles.push(failing(format!("group {} has no primary", group.name)));
        }
        for member in report.members.iter().filter(|member| !member.is_reachable) {
            troubles.push(degraded(format!(
                "member {} of group {} gives no answer",
                member.name, group.name
            )));
        }
    }
    troubles
}

/// Keeps, for each group, the report of the home that knows the highest term.
fn merge_groups(daemons: &[(String, Option<DaemonReport>)]) -> Vec<GroupReport> {
    let mut merged: BTreeMap<String, GroupReport> = BTreeMap::new();
    for report in daemons.iter().filter_map(|(_, report)| report.as_ref()) {
        for group in &report.groups {
            let reachable = |group: &GroupReport| {
                let members = group.members.iter();
                members.filter(|member| member.is_reachable).count()
            };
            let rank =
                |group: &GroupReport| (group.term, group.primary.is_some(), reachable(group));
            let known = merged.entry(group.name.clone()).or_insert_with(|| group.clone());
            if rank(group) > rank(known) {
                *known = group.clone();
            }
        }
    }
    merged.into_values().collect()
}

/// Sums counters over daemons; of latencies the worst daemon's is shown.
fn merge_workspaces(daemons: &[(String, Option<DaemonReport>)]) -> Vec<WorkspaceReport> {
    let mut merged: BTreeMap<String, WorkspaceReport> = BTreeMap::new();
    for report in daemons.iter().filter_map(|(_, report)| report.as_ref()) {
        for workspace in &report.workspaces {
            let Some(known) = merged.get_mut(&workspace.name) else {
                merged.insert(workspace.name.clone(), workspace.clone());
                continue;
            };
            let (sum, part) = (&mut known.reading, &workspace.reading);
            sum.admitted += part.admitted;
            sum.refused += part.refused;
            sum.failed += part.failed;
            sum.reads += part.reads;
            sum.replica_reads += part.replica_reads;
            sum.p50_us = sum.p50_us.max(part.p50_us);
            sum.p99_us = sum.p99_us.max(part.p99_us);
            sum.max_us = sum.max_us.max(part.max_us);
            known.share_ppm += workspace.share_ppm;
        }
    }
    merged.into_values().collect()
}

impl fmt::Display for Health {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Healthy => "healthy",
            Self::Degraded => "degraded",
            Self::Failing => "failing",
        })
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "The fleet is {} (configuration {}).", self.health, self.version)?;
        for trouble in &self.troubles {
            writeln!(formatter, "  {}: {}", trouble.health, trouble.text)?;
        }
        writeln!(formatter, "\nData centres")?;
        for (name, is_in) in &self.data_centres {
            let state = if *is_in { "in service" } else { "out of service" };
            writeln!(formatter, "  {name:<20} {state}")?;
        }
        writeln!(formatter, "\nGroups")?;
        for group in &self.groups {
            let primary = group.primary.as_deref().unwrap_or("none");
            writeln!(formatter, "  {:<20} term {}, primary {primary}", group.name, group.term)?;
            for member in &group.members {
                let state = match (member.is_reachable, member.is_leaving) {
                    (false, _) => "no answer",
                    (true, true) => "takes no new work",
                    (true, false) => "in service",
                };
                writeln!(
                    formatter,
                    "    {:<18} {:<14} {:<18} {} entries behind",
                    member.name, member.data_centre, state, member.behind
                )?;
            }
        }
        writeln!(formatter, "\nDaemons")?;
        for (host, report) in &self.daemons {
            match report {
                Some(report) => writeln!(
                    formatter,
                    "  {host:<20} {:<14} {:<10} configuration {}, {} callers",
                    report.data_centre, report.state, report.version, report.callers
                )?,
                None => writeln!(formatter, "  {host:<20} no answer")?,
            }
        }
        writeln!(formatter, "\nWorkspaces")?;
        for workspace in &self.workspaces {
            let reading = &workspace.reading;
            writeln!(
                formatter,
                "  {:<20} admitted {}, refused {}, failed {}, worst latency {} ms",
                workspace.name,
                reading.admitted,
                reading.refused,
                reading.failed,
                reading.max_us / 1_000
            )?;
        }
        Ok(())
    }
}
