//! A deployment with stand-ins and daemons in one process, for the demo, load tests and
//! measurements.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::change_request::ChangeRequest;
use crate::daemon::Daemon;
use crate::fleet::change::Operation;
use crate::fleet::finding::Finding;
use crate::fleet::key::Key;
use crate::settings::load::load_daemon_settings;
use crate::settings::load::load_fleet_document;
use crate::stand_in::deployment::Deployment;
use crate::stand_in::deployment::DeploymentPlan;

/// Timeout for the deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A deployment whose stand-ins and daemons run in this process.
pub struct EmbeddedDeployment {
    /// The stand-ins for the platform and the members.
    pub deployment: Deployment,
    /// The daemons, ordered by host name.
    pub daemons: Vec<Daemon>,
    /// Pairs of workspace and key, in the order of the plan.
    pub keys: Vec<(String, String)>,
}

impl EmbeddedDeployment {
    /// Starts the stand-ins and daemons, and waits until they are ready. The first host listens for
    /// callers on `port`, or on any free port if it is 0.
    ///
    /// # Errors
    ///
    /// Returns a message if a part cannot start or the deployment is not ready in time.
    pub async fn start(plan: DeploymentPlan, port: u16) -> Result<Self, String> {
        let workspaces = plan.workspaces.clone();
        let mut deployment = Deployment::start(plan).await.map_err(|error| error.to_string())?;
        if port != 0 {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if let Some(first) = deployment.hosts.values_mut().next() {
                first.caller = address;
            }
        }
        let mut daemons = Vec::new();
        for host in deployment.host_names() {
            let settings = load_daemon_settings(&deployment.daemon_settings(&host).to_string())
                .map_err(|findings| join_findings(&findings))?;
            daemons.push(Daemon::start(settings).await.map_err(|error| error.to_string())?);
        }
        let mut embedded = Self { deployment, daemons, keys: Vec::new() };
        embedded.configure(&workspaces).await?;
        embedded.await_ready().await?;
        Ok(embedded)
    }

    async fn configure(&mut self, workspaces: &[String]) -> Result<(), String> {
        let text = self.deployment.fleet_document().to_string();
        let document = load_fleet_document(&text).map_err(|findings| join_findings(&findings))?;
        let document = Box::new(document);
        self.change(Operation::ApplyDocument { document }, Some(0)).await?;
        for workspace in workspaces {
            let (key, text) = Key::issue(workspace);
            self.change(Operation::IssueKey { key }, None).await?;
            self.keys.push((workspace.clone(), text));
        }
        Ok(())
    }

    async fn change(
        &self,
        operation: Operation,
        expected_version: Option<u64>,
    ) -> Result<(), String> {
        let request = ChangeRequest {
            operation,
            expected_version,
            who: "demo".to_owned(),
            why: "first configuration".to_owned(),
        };
        let changed = self.daemons[0].control().change(request).await;
        changed.map(drop).map_err(|error| error.to_string())
    }

    /// Waits until every daemon is serving and has a share of each workspace's rate, and each
    /// group's primary is known to some daemon.
    async fn await_ready(&self) -> Result<(), String> {
        let waiting = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, waiting).await;
        waited.map_err(|_| "the deployment did not become ready in time".to_owned())
    }

    async fn is_ready(&self) -> bool {
        let mut groups = std::collections::BTreeSet::new();
        for daemon in &self.daemons {
            let Some(report) = daemon.control().report().await else {
                return false;
            };
            let has_shares = report.workspaces.iter().all(|workspace| workspace.share_ppm > 0);
            if report.state != "serving" || !has_shares || report.workspaces.is_empty() {
                return false;
            }
            let with_primary = report.groups.iter().filter(|group| group.primary.is_some());
            groups.extend(with_primary.map(|group| group.name.clone()));
        }
        groups.len() == self.deployment.members.len()
    }

    /// Stops the daemons and the stand-ins at once.
    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.abort();
            daemon.stopped().await;
        }
        self.deployment.stop().await;
    }
}

fn join_findings(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}

/// Runs the demo until it is interrupted.
///
/// # Errors
///
/// Returns a message if the deployment cannot start.
pub async fn run(port: u16) -> Result<(), String> {
    let embedded = EmbeddedDeployment::start(DeploymentPlan::small(), port).await?;
    let address = embedded.daemons[0].caller_address();
    let (workspace, key) = &embedded.keys[0];
    let group = embedded.deployment.members.keys().next().cloned().unwrap_or_default();
    println!("ready port={} workspace={workspace} key={key} dbname={group}", address.port());
    let operators = embedded.deployment.hosts.values().next().map(|host| host.operator);
    if let Some(operator) = operators {
        println!(
            "operators: export SNIPEHEAD_DAEMON={operator} SNIPEHEAD_SECRET='{}'",
            crate::stand_in::deployment::SHARED_SECRET
        );
    }
    let _ = tokio::signal::ctrl_c().await;
    embedded.stop().await;
    Ok(())
}
