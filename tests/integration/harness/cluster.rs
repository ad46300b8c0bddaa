//! A deployment in which the connections of daemons and members to each other and to the platform
//! pass through fault-injecting proxies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use super::daemon_process::DaemonProcess;
use super::sql_client::SqlClient;
use snipehead::client::connection::connect;
use snipehead::control::change_request::ChangeReceipt;
use snipehead::control::change_request::ChangeRequest;
use snipehead::fleet::change::Operation;
use snipehead::fleet::key::Key;
use snipehead::operator::api::OperatorApiClient;
use snipehead::settings::load::load_fleet_document;
use snipehead::stand_in::deployment::Deployment;
use snipehead::stand_in::deployment::DeploymentPlan;
use snipehead::stand_in::deployment::SHARED_SECRET;
use snipehead::stand_in::deployment::free_address;
use snipehead::stand_in::deployment::host_name;
use snipehead::stand_in::deployment::start_group;
use snipehead::stand_in::fault_proxy::Fault;
use snipehead::stand_in::fault_proxy::FaultProxy;
use snipehead::stand_in::member::Member;

const MEMBERS: usize = 3;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const COUNT_TIMEOUT: Duration = Duration::from_secs(3);

/// Proxies on the outgoing connections of one daemon.
struct DaemonProxies {
    /// Proxies to the members, by group and index of the member.
    members: BTreeMap<String, Vec<Arc<FaultProxy>>>,
    /// Proxies to the peer and relay addresses of the other daemons, by host.
    peers: BTreeMap<String, [Arc<FaultProxy>; 2]>,
    platform: Arc<FaultProxy>,
}

/// A deployment whose daemons run as processes.
pub struct Cluster {
    /// The stand-ins for the platform and the members.
    pub deployment: Deployment,
    /// Keys, by workspace.
    pub keys: BTreeMap<String, String>,
    daemons: BTreeMap<String, DaemonProcess>,
    daemon_proxies: BTreeMap<String, DaemonProxies>,
    /// Proxies between the members of each group, by index of the sender and of the receiver.
    replication_proxies: BTreeMap<String, Vec<Vec<Option<Arc<FaultProxy>>>>>,
    /// Settings of all daemons that differ from the usual ones.
    more_settings: serde_json::Map<String, Value>,
    directory: TempDir,
}

impl Cluster {
    /// Starts a deployment with the given number of daemons, one group, one workspace, and rates
    /// too high to affect a test.
    pub async fn start(hosts: usize) -> Self {
        Self::start_with_plan(DeploymentPlan {
            hosts,
            defaults: json!({ "rate_per_s": 100_000, "burst": 100_000 }),
            ..DeploymentPlan::small()
        })
        .await
    }

    /// Starts a deployment and waits until it is ready.
    pub async fn start_with_plan(plan: DeploymentPlan) -> Self {
        Self::start_with_settings(plan, serde_json::Map::new()).await
    }

    /// Starts a deployment whose daemons have some settings of their own.
    pub async fn start_with_settings(
        plan: DeploymentPlan,
        more_settings: serde_json::Map<String, Value>,
    ) -> Self {
        let workspaces = plan.workspaces.clone();
        let mut groups = BTreeMap::new();
        let mut replication_proxies = BTreeMap::new();
        for group in &plan.groups {
            let (started_group, proxies) = start_proxied_group().await;
            groups.insert(group.clone(), started_group);
            replication_proxies.insert(group.clone(), proxies);
        }
        let deployment =
            Deployment::start_with_groups(plan, groups).await.expect("the stand-ins start");
        let mut cluster = Self {
            deployment,
            keys: BTreeMap::new(),
            daemons: BTreeMap::new(),
            daemon_proxies: BTreeMap::new(),
            replication_proxies,
            more_settings,
            directory: tempfile::tempdir().expect("a temporary directory can be created"),
        };
        for host in cluster.deployment.host_names() {
            let daemon_proxies = cluster.start_proxies(&host).await;
            cluster.daemon_proxies.insert(host.clone(), daemon_proxies);
            cluster.start_daemon(&host);
        }
        cluster.configure(&workspaces).await;
        cluster.await_ready().await;
        cluster
    }

    async fn start_proxies(&self, host: &str) -> DaemonProxies {
        let mut members = BTreeMap::new();
        for (group, addresses) in &self.deployment.member_addresses {
            let mut proxies = Vec::new();
            for address in addresses {
                proxies.push(FaultProxy::start(*address).await.expect("the proxy starts"));
            }
            members.insert(group.clone(), proxies);
        }
        let mut peers = BTreeMap::new();
        for (other, addresses) in &self.deployment.hosts {
            if other != host {
                let exchange = FaultProxy::start(addresses.peer).await.expect("the proxy starts");
                let relay = FaultProxy::start(addresses.relay).await.expect("the proxy starts");
                peers.insert(other.clone(), [exchange, relay]);
            }
        }
        let platform = self.deployment.platform.address();
        DaemonProxies {
            members,
            peers,
            platform: FaultProxy::start(platform).await.expect("the proxy starts"),
        }
    }

    /// Returns the settings of a daemon, in which the addresses of the members, the other daemons
    /// and the platform are mapped to proxies.
    pub fn daemon_settings(&self, host: &str) -> Value {
        let daemon_proxies = &self.daemon_proxies[host];
        let mut address_map = serde_json::Map::new();
        let mut add = |from: SocketAddr, to: SocketAddr| {
            address_map.insert(from.to_string(), json!(to.to_string()));
        };
        for (group, proxies) in &daemon_proxies.members {
            let addresses = &self.deployment.member_addresses[group];
            for (address, proxy) in addresses.iter().zip(proxies) {
                add(*address, proxy.address());
            }
        }
        for (other, [exchange, relay]) in &daemon_proxies.peers {
            let addresses = self.deployment.hosts[other];
            add(addresses.peer, exchange.address());
            add(addresses.relay, relay.address());
        }
        let mut settings = self.deployment.daemon_settings(host);
        settings["address_map"] = Value::Object(address_map);
        settings["platform_address"] = json!(daemon_proxies.platform.address().to_string());
        settings["drain_notice_ms"] = json!(500);
        settings["traffic_threads"] = json!(2);
        for (name, value) in &self.more_settings {
            settings[name] = value.clone();
        }
        settings
    }

    /// Starts the daemon of a host and replaces an earlier one, which must have exited.
    pub fn start_daemon(&mut self, host: &str) {
        let settings = self.daemon_settings(host);
        let daemon = DaemonProcess::start(self.directory.path(), host, &settings);
        self.daemons.insert(host.to_owned(), daemon);
    }

    async fn configure(&mut self, workspaces: &[String]) {
        let document = self.deployment.fleet_document();
        self.apply_document(&document, 0).await.expect("the fleet document is accepted");
        for workspace in workspaces {
            let key = self.issue_key(workspace).await;
            self.keys.insert(workspace.clone(), key);
        }
    }

    /// Applies a fleet document through the first daemon, based on `expected_version`. Retries
    /// while the daemon cannot be reached.
    pub async fn apply_document(
        &self,
        document: &Value,
        expected_version: u64,
    ) -> Result<ChangeReceipt, String> {
        let document =
            load_fleet_document(&document.to_string()).expect("the fleet document is valid");
        let operation = Operation::ApplyDocument { document: Box::new(document) };
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let result =
                self.change(&host_name(0), operation.clone(), Some(expected_version)).await;
            let is_past_deadline = tokio::time::Instant::now() > deadline;
            match result {
                Err(text) if text.contains("Connect") && !is_past_deadline => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                other => return other,
            }
        }
    }

    /// Issues a key through the first daemon and returns its text.
    pub async fn issue_key(&self, workspace: &str) -> String {
        let (key, text) = Key::issue(workspace);
        let operation = Operation::IssueKey { key };
        self.change(&host_name(0), operation, None).await.expect("the key is issued");
        text
    }

    /// Requests a change through a daemon.
    pub async fn change(
        &self,
        host: &str,
        operation: Operation,
        expected_version: Option<u64>,
    ) -> Result<ChangeReceipt, String> {
        let request = ChangeRequest {
            operation,
            expected_version,
            who: format!("test through {host}"),
            why: "a test".to_owned(),
        };
        self.operator(host).change(request).await.map_err(|error| error.to_string())
    }

    /// Returns a client for a daemon's operator address.
    pub fn operator(&self, host: &str) -> HttpClient {
        let address = self.deployment.hosts[host].operator.to_string();
        connect(&address, SHARED_SECRET).expect("the client can be created")
    }

    /// Waits until all daemons are serving with a share of the rate of every workspace, and each
    /// group has a primary.
    pub async fn await_ready(&self) {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            assert!(
                tokio::time::Instant::now() < deadline,
                "the deployment did not become ready in time; logs: {}",
                self.logs()
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn is_ready(&self) -> bool {
        let Some(host) = self.daemons.keys().next() else {
            return false;
        };
        let Ok(status) = self.operator(host).status().await else {
            return false;
        };
        let groups_with_primary =
            status.groups.iter().filter(|group| group.primary.is_some()).count();
        let is_serving = |(_, report): &(String, Option<snipehead::peer::rpc::DaemonReport>)| {
            report.as_ref().is_some_and(|report| {
                let mut workspaces = report.workspaces.iter();
                report.state == "serving" && workspaces.all(|workspace| workspace.share_ppm > 0)
            })
        };
        groups_with_primary == self.deployment.members.len()
            && status.daemons.len() == self.deployment.hosts.len()
            && status.daemons.iter().all(is_serving)
            && status.workspaces.len() == self.keys.len()
    }

    /// Returns the log output of all daemons.
    pub fn logs(&self) -> String {
        let log = |(host, daemon): (&String, &DaemonProcess)| format!("{host}:\n{}", daemon.log());
        self.daemons.iter().map(log).collect()
    }

    /// Returns the daemon with this index.
    pub fn daemon(&mut self, index: usize) -> &mut DaemonProcess {
        self.daemons.get_mut(&host_name(index)).expect("the daemon exists")
    }

    /// Connects to the first group through a daemon, as the first workspace.
    pub async fn connect(&self, index: usize) -> SqlClient {
        self.try_connect(index, "").await.expect("the caller is admitted")
    }

    /// Tries to connect like [`Self::connect`], with start-up options for the session.
    pub async fn try_connect(&self, index: usize, options: &str) -> Result<SqlClient, String> {
        let (workspace, key) = self.keys.iter().next().expect("the deployment has a workspace");
        let group = self.deployment.members.keys().next().expect("the deployment has a group");
        self.connect_as(index, workspace, key, group, options).await
    }

    /// Tries to connect to a group through a daemon, as the given workspace.
    pub async fn connect_as(
        &self,
        index: usize,
        workspace: &str,
        key: &str,
        group: &str,
        options: &str,
    ) -> Result<SqlClient, String> {
        let address = self.deployment.hosts[&host_name(index)].caller;
        SqlClient::connect(address, workspace, key, group, options).await
    }

    /// Returns the member of the first group with this index.
    pub fn member(&self, index: usize) -> &Arc<Member> {
        &self.deployment.members.values().next().expect("the deployment has a group")[index]
    }

    /// Returns the indices of the first group's members that consider themselves primary.
    pub fn primaries(&self) -> Vec<usize> {
        (0..MEMBERS).filter(|index| self.member(*index).status().is_primary).collect()
    }

    /// Returns the index of the primary with the highest accepted term.
    pub fn primary(&self) -> usize {
        let primaries = self.primaries();
        let term = |index: &usize| self.member(*index).status().accepted_term;
        primaries.into_iter().max_by_key(term).expect("the group has a primary")
    }

    /// Runs a counting query on the member of the first group that has applied the latest log
    /// position. The query is repeated for a while if it fails, as it does while the member recreates
    /// its data file.
    pub fn count(&self, sql: &str) -> i64 {
        let started = std::time::Instant::now();
        loop {
            let applied = |index: &usize| {
                let status = self.member(*index).status();
                (status.applied_term, status.applied_position)
            };
            let most_advanced = (0..MEMBERS).max_by_key(applied).expect("the group has a member");
            match self.member(most_advanced).query_i64(sql) {
                Ok(count) => return count,
                Err(error) => assert!(started.elapsed() < COUNT_TIMEOUT, "{sql}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sets a fault on a daemon's connections to the members with this index, in every group.
    pub fn set_member_fault(&self, daemon: usize, member: usize, fault: Fault) {
        for proxies in self.daemon_proxies[&host_name(daemon)].members.values() {
            proxies[member].set_fault(fault);
        }
    }

    /// Sets a fault on a daemon's connections to the platform.
    pub fn set_platform_fault(&self, daemon: usize, fault: Fault) {
        self.daemon_proxies[&host_name(daemon)].platform.set_fault(fault);
    }

    /// Sets a fault on the connections between two daemons, whichever opened them.
    pub fn set_fault_between_daemons(&self, one: usize, other: usize, fault: Fault) {
        for (from, to) in [(one, other), (other, one)] {
            for proxy in &self.daemon_proxies[&host_name(from)].peers[&host_name(to)] {
                proxy.set_fault(fault);
            }
        }
    }

    /// Sets a fault on the connections between a daemon and all other daemons.
    pub fn set_fault_to_other_daemons(&self, daemon: usize, fault: Fault) {
        for other in (0..self.deployment.hosts.len()).filter(|other| *other != daemon) {
            self.set_fault_between_daemons(daemon, other, fault);
        }
    }

    /// Sets a fault on replication between the members with this index and the other members of
    /// their groups, in both directions.
    pub fn set_replication_fault(&self, member: usize, fault: Fault) {
        for proxies in self.replication_proxies.values() {
            for other in (0..MEMBERS).filter(|other| *other != member) {
                for proxy in
                    [&proxies[member][other], &proxies[other][member]].into_iter().flatten()
                {
                    proxy.set_fault(fault);
                }
            }
        }
    }

    /// Sets a fault on all connections of the members with this index, in every group, except those
    /// from one daemon if it is given.
    pub fn isolate_member(&self, member: usize, except_daemon: Option<usize>, fault: Fault) {
        self.set_replication_fault(member, fault);
        for index in (0..self.deployment.hosts.len()).filter(|index| Some(*index) != except_daemon)
        {
            self.set_member_fault(index, member, fault);
        }
    }

    /// Sets a fault on all connections of a daemon to daemons, members and the platform, except
    /// those to the members with one index if it is given.
    pub fn isolate_daemon(&self, daemon: usize, except_member: Option<usize>, fault: Fault) {
        self.set_fault_to_other_daemons(daemon, fault);
        self.set_platform_fault(daemon, fault);
        for index in (0..MEMBERS).filter(|index| Some(*index) != except_member) {
            self.set_member_fault(daemon, index, fault);
        }
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        for daemon_proxies in self.daemon_proxies.values() {
            daemon_proxies.members.values().flatten().for_each(|proxy| proxy.clear_fault());
            daemon_proxies.peers.values().flatten().for_each(|proxy| proxy.clear_fault());
            daemon_proxies.platform.clear_fault();
        }
        let replication = self.replication_proxies.values().flatten().flatten().flatten();
        replication.for_each(|proxy| proxy.clear_fault());
    }

    /// Returns all proxies between daemons and members.
    pub fn member_proxies(&self) -> Vec<Arc<FaultProxy>> {
        self.daemon_proxies
            .values()
            .flat_map(|daemon_proxies| daemon_proxies.members.values().flatten().cloned())
            .collect()
    }
}

/// A started group, and the proxies between its members by index of the sender and of the receiver.
type ProxiedGroup =
    (snipehead::stand_in::deployment::StartedGroup, Vec<Vec<Option<Arc<FaultProxy>>>>);

async fn start_proxied_group() -> ProxiedGroup {
    let direct_addresses: Vec<SocketAddr> =
        (0..MEMBERS).map(|_| free_address().expect("a free address is available")).collect();
    let mut proxies = Vec::new();
    let mut routes = Vec::new();
    for from in 0..MEMBERS {
        let mut row = Vec::new();
        for (to, address) in direct_addresses.iter().enumerate() {
            let proxy = match from == to {
                true => None,
                false => Some(FaultProxy::start(*address).await.expect("the proxy starts")),
            };
            row.push(proxy);
        }
        let address = |(to, proxy): (usize, &Option<Arc<FaultProxy>>)| {
            proxy.as_ref().map_or(direct_addresses[to], |proxy| proxy.address())
        };
        routes.push(row.iter().enumerate().map(address).collect());
        proxies.push(row);
    }
    let started_group =
        start_group(Some((direct_addresses, routes))).await.expect("the members start");
    (started_group, proxies)
}
