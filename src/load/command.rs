//! Runs the load command.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::arguments::Load;
use super::plot::write_plot;
use super::runner::LoadProfile;
use super::runner::LoadTarget;
use super::runner::WorkspaceStats;
use super::runner::run_workspace;
use crate::demo::EmbeddedDeployment;
use crate::stand_in::deployment::DeploymentPlan;

/// Rate and burst of workspaces in a deployment started for the run, so high that the rate limiter
/// does not affect the results.
const HIGH_RATE: u64 = 1_000_000;

/// Results of the load command, printed as a table or as JSON.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    seconds: u64,
    runs: Vec<RunStats>,
    idle: Option<IdleStats>,
}

#[derive(Debug, Serialize)]
struct RunStats {
    name: String,
    workspaces: Vec<WorkspaceStats>,
}

#[derive(Debug, Serialize)]
struct IdleStats {
    connections: usize,
    resident_before_kib: u64,
    resident_kib: u64,
}

/// Runs a load and prints its results.
///
/// # Errors
///
/// Returns a message if the arguments are not valid or the load cannot run.
pub async fn run(load: Load) -> Result<(), String> {
    let embedded = match load.to {
        Some(_) => None,
        None => Some(start_deployment().await?),
    };
    let targets = match &embedded {
        Some(embedded) => embedded_targets(embedded),
        None => parse_targets(&load)?,
    };
    let profile = LoadProfile {
        connections: load.connections,
        duration: Duration::from_secs(load.seconds),
        rate_per_s: load.rate,
        write_percent: load.write_percent,
        seed: load.seed,
    };
    let mut runs = Vec::new();
    if load.side_by_side {
        let direct = embedded
            .as_ref()
            .map(direct_target)
            .ok_or("--side-by-side cannot be combined with --to")?;
        runs.push(run_load("direct", vec![direct], &profile).await?);
    }
    runs.push(run_load("through daemons", targets.clone(), &profile).await?);
    let idle = match (load.idle, targets.first()) {
        (0, _) | (_, None) => None,
        (count, Some(target)) => Some(measure_idle_connections(target, count).await?),
    };
    if let Some(file) = &load.plot {
        let last = runs.last().map(|run| run.workspaces.as_slice()).unwrap_or_default();
        write_plot(file, last).map_err(|error| error.to_string())?;
    }
    let report = Report { seed: load.seed, seconds: load.seconds, runs, idle };
    print_report(&report, load.json)?;
    if let Some(embedded) = embedded {
        embedded.stop().await;
    }
    Ok(())
}

async fn start_deployment() -> Result<EmbeddedDeployment, String> {
    let defaults = serde_json::json!({
        "rate_per_s": HIGH_RATE, "burst": HIGH_RATE, "connections_per_group": 40
    });
    let plan = DeploymentPlan { defaults, ..DeploymentPlan::small() };
    EmbeddedDeployment::start(plan, 0).await
}

fn embedded_targets(embedded: &EmbeddedDeployment) -> Vec<LoadTarget> {
    let addresses: Vec<SocketAddr> =
        embedded.daemons.iter().map(|daemon| daemon.caller_address()).collect();
    let group = embedded.deployment.members.keys().next().cloned().unwrap_or_default();
    let target = |(workspace, key): &(String, String)| LoadTarget {
        addresses: addresses.clone(),
        workspace: workspace.clone(),
        key: key.clone(),
        group: group.clone(),
        options: String::new(),
    };
    embedded.keys.iter().map(target).collect()
}

fn direct_target(embedded: &EmbeddedDeployment) -> LoadTarget {
    let (group, addresses) = embedded
        .deployment
        .member_addresses
        .iter()
        .next()
        .map(|(group, addresses)| (group.clone(), addresses.clone()))
        .unwrap_or_default();
    LoadTarget {
        addresses: addresses.into_iter().take(1).collect(),
        workspace: "snipehead".to_owned(),
        key: "member-password".to_owned(),
        group,
        options: String::new(),
    }
}

fn parse_targets(load: &Load) -> Result<Vec<LoadTarget>, String> {
    let text = load.to.as_deref().unwrap_or_default();
    let addresses: Vec<SocketAddr> = text
        .split(',')
        .map(|address| {
            address.parse().map_err(|_| format!("{address}: expected an IP address and port"))
        })
        .collect::<Result<_, _>>()?;
    let target = |text: &String| {
        let parts: Vec<&str> = text.split(':').collect();
        let [workspace, key, group] = parts.as_slice() else {
            return Err(format!("{text}: expected workspace:key:group"));
        };
        Ok(LoadTarget {
            addresses: addresses.clone(),
            workspace: (*workspace).to_owned(),
            key: (*key).to_owned(),
            group: (*group).to_owned(),
            options: String::new(),
        })
    };
    let targets: Vec<LoadTarget> = load.workspace.iter().map(target).collect::<Result<_, _>>()?;
    match targets.is_empty() {
        true => Err("at least one --workspace workspace:key:group is required".to_owned()),
        false => Ok(targets),
    }
}

async fn run_load(
    name: &str,
    targets: Vec<LoadTarget>,
    profile: &LoadProfile,
) -> Result<RunStats, String> {
    let mut running = Vec::new();
    for target in targets {
        let profile = profile.clone();
        running.push(tokio::spawn(run_workspace(Arc::new(target), profile)));
    }
    let mut workspaces = Vec::new();
    for run in running {
        workspaces.push(run.await.map_err(|error| error.to_string())??);
    }
    Ok(RunStats { name: name.to_owned(), workspaces })
}

/// Opens idle connections and measures this process's memory before and after. With the default
/// deployment, the process holds both ends of each connection.
async fn measure_idle_connections(target: &LoadTarget, count: usize) -> Result<IdleStats, String> {
    let resident_before_kib = resident_kib();
    let mut connections = Vec::with_capacity(count);
    for index in 0..count {
        connections.push(target.connect(index % target.addresses.len()).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(IdleStats {
        connections: connections.len(),
        resident_before_kib,
        resident_kib: resident_kib(),
    })
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn print_report(report: &Report, as_json: bool) -> Result<(), String> {
    if as_json {
        let text = serde_json::to_string_pretty(report).map_err(|error| error.to_string())?;
        println!("{text}");
        return Ok(());
    }
    for run in &report.runs {
        println!("{} (seed {}, {} s)", run.name, report.seed, report.seconds);
        println!(
            "  workspace            class    done  failed  statements/s  p50 us   p99 us   max us"
        );
        for workspace in &run.workspaces {
            for class in &workspace.classes {
                println!(
                    "  {:<20} {:<6} {:>6} {:>7} {:>13.0} {:>7} {:>8} {:>8}",
                    workspace.workspace,
                    class.name,
                    class.done,
                    class.failed,
                    class.done as f64 / report.seconds.max(1) as f64,
                    class.p50_us,
                    class.p99_us,
                    class.max_us
                );
            }
        }
    }
    if let Some(idle) = &report.idle {
        println!(
            "{} idle connections: resident memory of this process {} KiB before, {} KiB with them \
             (without --to, it holds both ends and the stand-ins)",
            idle.connections, idle.resident_before_kib, idle.resident_kib
        );
    }
    Ok(())
}
