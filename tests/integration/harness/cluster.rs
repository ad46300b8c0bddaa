//! A deployment whose every connection passes a fault-injecting proxy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use super::daemon_process::DaemonProcess;
use super::sql::Sql;
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

/// Proxies of one daemon.
struct DaemonLinks {
    /// To members, by group and index.
    members: BTreeMap<String, Vec<Arc<FaultProxy>>>,
    /// To other daemons, by host: exchange and relay.
    peers: BTreeMap<String, [Arc<FaultProxy>; 2]>,
    platform: Arc<FaultProxy>,
}

/// A deployment with its daemons as processes.
pub struct Cluster {
    /// The stand-ins.
    pub deployment: Deployment,
    /// Keys by workspace.
    pub keys: BTreeMap<String, String>,
    daemons: BTreeMap<String, DaemonProcess>,
    links: BTreeMap<String, DaemonLinks>,
    replication: BTreeMap<String, Vec<Vec<Option<Arc<FaultProxy>>>>>,
    folder: TempDir,
}

impl Cluster {
    /// Starts a deployment with that many daemons, one group and one workspace.
    pub async fn start(hosts: usize) -> Self {
        Self::start_plan(DeploymentPlan {
            hosts,
            defaults: json!({ "rate_per_s": 100_000, "burst": 100_000 }),
            ..DeploymentPlan::small()
        })
        .await
    }

    /// Starts a deployment and waits until it serves.
    pub async fn start_plan(plan: DeploymentPlan) -> Self {
        let workspaces = plan.workspaces.clone();
        let mut groups = BTreeMap::new();
        let mut replication = BTreeMap::new();
        for group in &plan.groups {
            let (started, proxies) = start_proxied_group().await;
            groups.insert(group.clone(), started);
            replication.insert(group.clone(), proxies);
        }
        let deployment = Deployment::start_with(plan, groups).await.expect("stand-ins start");
        let mut cluster = Self {
            deployment,
            keys: BTreeMap::new(),
            daemons: BTreeMap::new(),
            links: BTreeMap::new(),
            replication,
            folder: tempfile::tempdir().expect("a folder"),
        };
        for host in cluster.deployment.host_names() {
            let links = cluster.new_links(&host).await;
            cluster.links.insert(host.clone(), links);
            cluster.start_daemon(&host);
        }
        cluster.configure(&workspaces).await;
        cluster.await_ready().await;
        cluster
    }

    async fn new_links(&self, host: &str) -> DaemonLinks {
        let mut members = BTreeMap::new();
        for (group, addresses) in &self.deployment.member_addresses {
            let mut proxies = Vec::new();
            for address in addresses {
                proxies.push(FaultProxy::start(*address).await.expect("a proxy"));
            }
            members.insert(group.clone(), proxies);
        }
        let mut peers = BTreeMap::new();
        for (other, addresses) in &self.deployment.hosts {
            if other != host {
                let exchange = FaultProxy::start(addresses.peer).await.expect("a proxy");
                let relay = FaultProxy::start(addresses.relay).await.expect("a proxy");
                peers.insert(other.clone(), [exchange, relay]);
            }
        }
        let platform = self.deployment.platform.address();
        DaemonLinks {
            members,
            peers,
            platform: FaultProxy::start(platform).await.expect("a proxy"),
        }
    }

    /// Returns the settings of a daemon, with its way through the proxies.
    pub fn daemon_settings(&self, host: &str) -> Value {
        let links = &self.links[host];
        let mut map = serde_json::Map::new();
        let mut add = |from: SocketAddr, to: SocketAddr| {
            map.insert(from.to_string(), json!(to.to_string()));
        };
        for (group, proxies) in &links.members {
            let addresses = &self.deployment.member_addresses[group];
            for (address, proxy) in addresses.iter().zip(proxies) {
                add(*address, proxy.address());
            }
        }
        for (other, [exchange, relay]) in &links.peers {
            let addresses = self.deployment.hosts[other];
            add(addresses.peer, exchange.address());
            add(addresses.relay, relay.address());
        }
        let mut settings = self.deployment.daemon_settings(host);
        settings["address_map"] = Value::Object(map);
        settings["platform_address"] = json!(links.platform.address().to_string());
        settings["drain_notice_ms"] = json!(500);
        settings["traffic_threads"] = json!(2);
        settings
    }

    /// Starts the daemon of a host, in place of one that has ended.
    pub fn start_daemon(&mut self, host: &str) {
        let settings = self.daemon_settings(host);
        let daemon = DaemonProcess::start(self.folder.path(), host, &settings);
        self.daemons.insert(host.to_owned(), daemon);
    }

    async fn configure(&mut self, workspaces: &[String]) {
        let document = self.deployment.fleet_document();
        self.apply_document(&document, 0).await.expect("the document is accepted");
        for workspace in workspaces {
            let key = self.issue_key(workspace).await;
            self.keys.insert(workspace.clone(), key);
        }
    }

    /// Applies a document through the first daemon that answers.
    pub async fn apply_document(
        &self,
        document: &Value,
        version: u64,
    ) -> Result<ChangeReceipt, String> {
        let document = load_fleet_document(&document.to_string()).expect("the document is valid");
        let operation = Operation::ApplyDocument { document: Box::new(document) };
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let changed = self.change(&host_name(0), operation.clone(), Some(version)).await;
            let is_over = tokio::time::Instant::now() > deadline;
            match changed {
                Err(text) if text.contains("Connect") && !is_over => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                other => return other,
            }
        }
    }

    /// Issues a key through the first daemon; returns its text.
    pub async fn issue_key(&self, workspace: &str) -> String {
        let (key, text) = Key::issue(workspace);
        let operation = Operation::IssueKey { key };
        self.change(&host_name(0), operation, None).await.expect("the key is issued");
        text
    }

    /// Makes a change through a daemon.
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

    /// Returns a connection to a daemon's operator address.
    pub fn operator(&self, host: &str) -> HttpClient {
        let address = self.deployment.hosts[host].operator.to_string();
        connect(&address, SHARED_SECRET).expect("a client")
    }

    /// Waits until all daemons serve, and each group has a primary.
    pub async fn await_ready(&self) {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            assert!(tokio::time::Instant::now() < deadline, "not ready: {}", self.logs());
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
        let has_primaries = status.groups.iter().filter(|group| group.primary.is_some()).count();
        let serves = |(_, report): &(String, Option<snipehead::peer::rpc::DaemonReport>)| {
            report.as_ref().is_some_and(|report| {
                let mut workspaces = report.workspaces.iter();
                report.state == "serving" && workspaces.all(|workspace| workspace.share_ppm > 0)
            })
        };
        has_primaries == self.deployment.members.len()
            && status.daemons.len() == self.deployment.hosts.len()
            && status.daemons.iter().all(serves)
            && status.workspaces.len() == self.keys.len()
    }

    /// Returns the logs of all daemons.
    pub fn logs(&self) -> String {
        let log = |(host, daemon): (&String, &DaemonProcess)| format!("{host}:\n{}", daemon.log());
        self.daemons.iter().map(log).collect()
    }

    /// Returns a daemon.
    pub fn daemon(&mut self, index: usize) -> &mut DaemonProcess {
        self.daemons.get_mut(&host_name(index)).expect("the daemon exists")
    }

    /// Connects the first workspace to a daemon, for the first group.
    pub async fn connect(&self, index: usize) -> Sql {
        self.try_connect(index, "").await.expect("the caller is admitted")
    }

    /// Tries to connect, with settings for the session.
    pub async fn try_connect(&self, index: usize, options: &str) -> Result<Sql, String> {
        let (workspace, key) = self.keys.iter().next().expect("a workspace");
        let group = self.deployment.members.keys().next().expect("a group");
        self.connect_as(index, workspace, key, group, options).await
    }

    /// Tries to connect a workspace to a daemon.
    pub async fn connect_as(
        &self,
        index: usize,
        workspace: &str,
        key: &str,
        group: &str,
        options: &str,
    ) -> Result<Sql, String> {
        let address = self.deployment.hosts[&host_name(index)].caller;
        Sql::connect(address, workspace, key, group, options).await
    }

    /// Returns a member of the first group.
    pub fn member(&self, index: usize) -> &Arc<Member> {
        &self.deployment.members.values().next().expect("a group")[index]
    }

    /// Returns the index of the first group's primary, by the members' own word.
    pub fn primaries(&self) -> Vec<usize> {
        (0..MEMBERS).filter(|index| self.member(*index).status().is_primary).collect()
    }

    /// Returns the index of the primary with the highest term.
    pub fn primary(&self) -> usize {
        let primaries = self.primaries();
        let term = |index: &usize| self.member(*index).status().accepted_term;
        primaries.into_iter().max_by_key(term).expect("a primary")
    }

    /// Counts rows on the member that has the most advanced data.
    pub fn count(&self, sql: &str) -> i64 {
        let applied = |index: &usize| {
            let status = self.member(*index).status();
            (status.applied_term, status.applied_position)
        };
        let best = (0..MEMBERS).max_by_key(applied).expect("a member");
        self.member(best).query_i64(sql).unwrap_or(0)
    }

    /// Sets a fault on a daemon's way to a member of every group.
    pub fn fault_to_member(&self, daemon: usize, member: usize, fault: Fault) {
        for proxies in self.links[&host_name(daemon)].members.values() {
            proxies[member].set(fault);
        }
    }

    /// Sets a fault on a daemon's way to the platform.
    pub fn fault_to_platform(&self, daemon: usize, fault: Fault) {
        self.links[&host_name(daemon)].platform.set(fault);
    }

    /// Sets a fault between two daemons, both ways.
    pub fn fault_between_daemons(&self, one: usize, other: usize, fault: Fault) {
        for (from, to) in [(one, other), (other, one)] {
            for proxy in &self.links[&host_name(from)].peers[&host_name(to)] {
                proxy.set(fault);
            }
        }
    }

    /// Sets a fault between a daemon and all other daemons.
    pub fn fault_to_all_daemons(&self, daemon: usize, fault: Fault) {
        for other in (0..self.deployment.hosts.len()).filter(|other| *other != daemon) {
            self.fault_between_daemons(daemon, other, fault);
        }
    }

    /// Sets a fault between a member and the other members of its group, both ways.
    pub fn fault_between_members(&self, member: usize, fault: Fault) {
        for routes in self.replication.values() {
            for other in (0..MEMBERS).filter(|other| *other != member) {
                for proxy in [&routes[member][other], &routes[other][member]].into_iter().flatten()
                {
                    proxy.set(fault);
                }
            }
        }
    }

    /// Cuts a member off from everything but one daemon.
    pub fn isolate_member_with(&self, member: usize, daemon: Option<usize>, fault: Fault) {
        self.fault_between_members(member, fault);
        for index in (0..self.deployment.hosts.len()).filter(|index| Some(*index) != daemon) {
            self.fault_to_member(index, member, fault);
        }
    }

    /// Cuts a daemon off from everything but one member.
    pub fn isolate_daemon_with(&self, daemon: usize, member: Option<usize>, fault: Fault) {
        self.fault_to_all_daemons(daemon, fault);
        self.fault_to_platform(daemon, fault);
        for index in (0..MEMBERS).filter(|index| Some(*index) != member) {
            self.fault_to_member(daemon, index, fault);
        }
    }

    /// Ends all faults.
    pub fn heal(&self) {
        for links in self.links.values() {
            links.members.values().flatten().for_each(|proxy| proxy.heal());
            links.peers.values().flatten().for_each(|proxy| proxy.heal());
            links.platform.heal();
        }
        let routes = self.replication.values().flatten().flatten().flatten();
        routes.for_each(|proxy| proxy.heal());
    }

    /// Returns every proxy between daemons and members.
    pub fn member_links(&self) -> Vec<Arc<FaultProxy>> {
        self.links.values().flat_map(|links| links.members.values().flatten().cloned()).collect()
    }
}

type ProxiedGroup =
    (snipehead::stand_in::deployment::StartedGroup, Vec<Vec<Option<Arc<FaultProxy>>>>);

async fn start_proxied_group() -> ProxiedGroup {
    let direct: Vec<SocketAddr> =
        (0..MEMBERS).map(|_| free_address().expect("a free address")).collect();
    let mut proxies = Vec::new();
    let mut routes = Vec::new();
    for from in 0..MEMBERS {
        let mut row = Vec::new();
        for (to, address) in direct.iter().enumerate() {
            let proxy = match from == to {
                true => None,
                false => Some(FaultProxy::start(*address).await.expect("a proxy")),
            };
            row.push(proxy);
        }
        let address = |(to, proxy): (usize, &Option<Arc<FaultProxy>>)| {
            proxy.as_ref().map_or(direct[to], |proxy| proxy.address())
        };
        routes.push(row.iter().enumerate().map(address).collect());
        proxies.push(row);
    }
    let started = start_group(Some((direct, routes))).await.expect("members start");
    (started, proxies)
}
