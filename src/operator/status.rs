//! Status of the fleet, merged from the reports of its daemons.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::state::Fleet;
use crate::peer::rpc::DaemonReport;
use crate::peer::rpc::GroupReport;
use crate::peer::rpc::WorkspaceReport;

/// Health of the fleet, or severity of a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// No problems.
    Healthy,
    /// Requests are served, but there are problems.
    Degraded,
    /// Some requests cannot be served.
    Failing,
}

/// Status of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Health of the fleet: the severity of its worst problem.
    pub health: Health,
    /// Problems, most severe first.
    #[serde(rename = "troubles")]
    pub problems: Vec<Problem>,
    /// Configuration version of the daemon that received the call.
    pub version: u64,
    /// Data centres, and whether each is in service.
    pub data_centres: BTreeMap<String, bool>,
    /// Groups, as reported by their homes.
    pub groups: Vec<GroupReport>,
    /// Daemons by host, with `None` for a daemon that did not answer.
    pub daemons: Vec<(String, Option<DaemonReport>)>,
    /// Workspaces, summed over all daemons.
    pub workspaces: Vec<WorkspaceReport>,
}

/// A problem in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Severity.
    pub health: Health,
    /// Description.
    pub text: String,
}

impl FleetStatus {
    /// Merges the reports of the daemons into the status of the fleet.
    pub fn new(fleet: &Fleet, daemons: Vec<(String, Option<DaemonReport>)>) -> Self {
        let groups = merge_groups(&daemons);
        let mut problems = daemon_problems(fleet, &daemons);
        problems.extend(group_problems(fleet, &groups));
        for name in &fleet.data_centres_out {
            problems.push(degraded(format!("data centre {name} is out of service")));
        }
        problems.sort_by_key(|problem| std::cmp::Reverse(problem.health));
        Self {
            health: problems.first().map_or(Health::Healthy, |problem| problem.health),
            problems,
            version: fleet.version,
            data_centres: data_centres(fleet),
            workspaces: merge_workspaces(&daemons),
            groups,
            daemons,
        }
    }
}

fn degraded(text: String) -> Problem {
    Problem { health: Health::Degraded, text }
}

fn failing(text: String) -> Problem {
    Problem { health: Health::Failing, text }
}

fn data_centres(fleet: &Fleet) -> BTreeMap<String, bool> {
    let hosts = fleet.hosts().iter().map(|host| &host.data_centre);
    let members = fleet.groups().iter().flat_map(|group| &group.members);
    let names = hosts.chain(members.map(|member| &member.data_centre));
    names.map(|name| (name.clone(), !fleet.data_centres_out.contains(name))).collect()
}

fn daemon_problems(fleet: &Fleet, daemons: &[(String, Option<DaemonReport>)]) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut serving = 0;
    for (host, report) in daemons {
        let Some(report) = report else {
            problems.push(degraded(format!("daemon {host} does not answer")));
            continue;
        };
        serving += usize::from(report.state == "serving");
        if report.state != "serving" {
            problems.push(degraded(format!("daemon {host} is in state {}", report.state)));
        }
        if !report.is_table_reachable {
            problems.push(degraded(format!("daemon {host} cannot reach the platform's table")));
        }
        if report.version != fleet.version {
            problems.push(degraded(format!(
                "daemon {host} has configuration version {}, expected {}",
                report.version, fleet.version
            )));
        }
    }
    if serving == 0 {
        problems.push(failing("no daemon is serving".to_owned()));
    }
    problems
}

fn group_problems(fleet: &Fleet, groups: &[GroupReport]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for group in fleet.groups() {
        let Some(report) = groups.iter().find(|report| report.name == group.name) else {
            problems.push(failing(format!("no daemon holds connections to group {}", group.name)));
            continue;
        };
        if report.primary.is_none() {
            problems.push(failing(format!("group {} has no primary", group.name)));
        }
        for member in report.members.iter().filter(|member| !member.is_reachable) {
            problems.push(degraded(format!(
                "member {} of group {} does not answer",
                member.name, group.name
            )));
        }
    }
    problems
}

/// Selects one report per group: the highest term wins, then a known primary, then the most
/// reachable members.
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

/// Sums the counters over all daemons. Each latency is the highest that any daemon reports.
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
        for problem in &self.problems {
            writeln!(formatter, "  {}: {}", problem.health, problem.text)?;
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
