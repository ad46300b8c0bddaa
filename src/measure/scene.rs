//! What the measures have in common.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::demo::EmbeddedDeployment;
use crate::load::runner::LoadShape;
use crate::load::runner::Target;
use crate::load::runner::WorkspaceFigures;
use crate::stand_in::deployment::DeploymentPlan;

/// Seed of all choices.
pub const SEED: u64 = 1;

/// A running deployment to measure.
pub struct Scene {
    /// The deployment.
    pub embedded: EmbeddedDeployment,
}

impl Scene {
    /// Starts a deployment of one group.
    ///
    /// # Errors
    ///
    /// Returns a sentence when it does not get ready.
    pub async fn start(hosts: usize, workspaces: &[&str], defaults: Value) -> Result<Self, String> {
        let plan = DeploymentPlan {
            hosts,
            workspaces: workspaces.iter().map(|name| (*name).to_owned()).collect(),
            defaults,
            ..DeploymentPlan::small()
        };
        Ok(Self { embedded: EmbeddedDeployment::start(plan, 0).await? })
    }

    /// Starts a deployment with room in its rates.
    ///
    /// # Errors
    ///
    /// Returns a sentence when it does not get ready.
    pub async fn start_roomy(hosts: usize) -> Result<Self, String> {
        let defaults = json!({ "rate_per_s": 100_000, "burst": 100_000 });
        Self::start(hosts, &["families"], defaults).await
    }

    /// Returns the addresses of the daemons for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.embedded.daemons.iter().map(|daemon| daemon.caller_address()).collect()
    }

    /// Returns a workspace as a target of load, at some of the daemons.
    pub fn target(&self, workspace: usize, addresses: Vec<SocketAddr>) -> Target {
        let (name, key) = &self.embedded.keys[workspace];
        Target {
            addresses,
            workspace: name.clone(),
            key: key.clone(),
            group: "dispatch".to_owned(),
            options: String::new(),
        }
    }

    /// Sums reads, reads of replicas, admitted and refused statements over all daemons.
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

    /// Stops everything.
    pub async fn stop(self) {
        self.embedded.stop().await;
    }
}

/// Describes an open loop.
pub fn open_loop(
    rate_per_s: u64,
    connections: usize,
    seconds: u64,
    write_percent: u32,
) -> LoadShape {
    LoadShape {
        connections,
        duration: Duration::from_secs(seconds),
        rate_per_s,
        write_percent,
        seed: SEED,
    }
}

/// Prints the head of the table of figures.
pub fn print_head() {
    println!(
        "{:<34} {:<6} {:>7} {:>7} {:>9} {:>9} {:>10}",
        "", "class", "done", "failed", "p50 us", "p99 us", "max us"
    );
}

/// Prints the figures of a workspace.
pub fn print_figures(name: &str, figures: &WorkspaceFigures) {
    for class in figures.classes.iter().filter(|class| class.done + class.failed > 0) {
        println!(
            "{:<34} {:<6} {:>7} {:>7} {:>9} {:>9} {:>10}",
            name, class.name, class.done, class.failed, class.p50_us, class.p99_us, class.max_us
        );
    }
}
