//! Deployment, load and output that all measurements share.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::demo::EmbeddedDeployment;
use crate::load::runner::LoadProfile;
use crate::load::runner::LoadTarget;
use crate::load::runner::WorkspaceStats;
use crate::stand_in::deployment::DeploymentPlan;

/// Seed of the random choices in all measurements.
pub const SEED: u64 = 1;

/// A running deployment with one group, for measurements.
pub struct Testbed {
    /// The deployment.
    pub embedded: EmbeddedDeployment,
}

impl Testbed {
    /// Starts a deployment with the given number of hosts, workspaces and fleet defaults.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not become ready.
    pub async fn start(hosts: usize, workspaces: &[&str], defaults: Value) -> Result<Self, String> {
        let plan = DeploymentPlan {
            hosts,
            workspaces: workspaces.iter().map(|name| (*name).to_owned()).collect(),
            defaults,
            ..DeploymentPlan::small()
        };
        Ok(Self { embedded: EmbeddedDeployment::start(plan, 0).await? })
    }

    /// Starts a deployment whose rates are too high to affect the results.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not become ready.
    pub async fn start_with_high_rate(hosts: usize) -> Result<Self, String> {
        let defaults = json!({ "rate_per_s": 100_000, "burst": 100_000 });
        Self::start(hosts, &["families"], defaults).await
    }

    /// Returns the daemons' addresses for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.embedded.daemons.iter().map(|daemon| daemon.caller_address()).collect()
    }

    /// Returns a load target for a workspace at the given addresses.
    pub fn target(&self, workspace: usize, addresses: Vec<SocketAddr>) -> LoadTarget {
        let (name, key) = &self.embedded.keys[workspace];
        LoadTarget {
            addresses,
            workspace: name.clone(),
            key: key.clone(),
            group: "dispatch".to_owned(),
            options: String::new(),
        }
    }

    /// Returns the numbers of reads, replica reads, admitted and refused statements, summed over
    /// all daemons and workspaces.
    pub async fn counters(&self) -> [u64; 4] {
        let mut sums = [0; 4];
        for daemon in &self.embedded.daemons {
            let report = daemon.control().report().await;
            for workspace in report.iter().flat_map(|report| &report.workspaces) {
                let reading = &workspace.reading;
                let parts =
                    [reading.reads, reading.replica_reads, reading.admitted, reading.refused];
                sums.iter_mut().zip(parts).for_each(|(sum, part)| *sum += part);
            }
        }
        sums
    }

    /// Stops the deployment.
    pub async fn stop(self) {
        self.embedded.stop().await;
    }
}

/// Returns the profile of an open-loop load, which sends at a fixed rate.
pub fn open_loop(
    rate_per_s: u64,
    connections: usize,
    seconds: u64,
    write_percent: u32,
) -> LoadProfile {
    LoadProfile {
        connections,
        duration: Duration::from_secs(seconds),
        rate_per_s,
        write_percent,
        seed: SEED,
    }
}

/// Prints the header of the table of results.
pub fn print_header() {
    println!(
        "{:<34} {:<6} {:>7} {:>7} {:>9} {:>9} {:>10}",
        "", "class", "done", "failed", "p50 us", "p99 us", "max us"
    );
}

/// Prints the results of a workspace, one row per class of statements.
pub fn print_stats(name: &str, stats: &WorkspaceStats) {
    for class in stats.classes.iter().filter(|class| class.done + class.failed > 0) {
        println!(
            "{:<34} {:<6} {:>7} {:>7} {:>9} {:>9} {:>10}",
            name, class.name, class.done, class.failed, class.p50_us, class.p99_us, class.max_us
        );
    }
}
