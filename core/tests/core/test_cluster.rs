//! A cluster of nodes over loopback, with stand-ins for members and store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::stand_in::StandInConnector;
use crate::stand_in::StandInGroup;
use crate::stand_in::StandInPromoter;
use crate::stand_in_store::StandInStore;
use snipehead_core::configuration::Configuration;
use snipehead_core::configuration::Consistency;
use snipehead_core::configuration::Route;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::configuration::Tenant;
use snipehead_core::lease_table::Identity;
use snipehead_core::name::Name;
use snipehead_core::node::Node;
use snipehead_core::node::NodeDependencies;
use snipehead_core::node::NodeSettings;
use snipehead_core::outcome::Failure;
use snipehead_core::ownership;
use snipehead_core::relay::serve_peers;
use snipehead_core::session::Session;
use snipehead_core::session::StatementResult;
use snipehead_core::statement::Access;
use snipehead_core::statement::Statement;
use snipehead_core::statement::StatementKind;

pub const REVOKE_LIMIT_MS: u64 = 2_000;
pub const APPLY_LIMIT_MS: u64 = 3_000;
pub const PROMOTION_WAIT_MS: u64 = 800;

/// Longest wait for an expected state.
pub const WAIT_LIMIT: Duration = Duration::from_secs(15);

pub struct Host {
    pub address: SocketAddr,
    pub node: Arc<Node>,
    pub stop: CancellationToken,
}

pub struct TestCluster {
    pub store: Arc<StandInStore>,
    pub group: Arc<StandInGroup>,
    pub hosts: Vec<Host>,
}

pub fn route(database: &str, consistency: Consistency) -> (Name, Arc<Route>) {
    let route = Route {
        name: format!("route-{database}").into(),
        database: database.into(),
        service: "dispatch".into(),
        consistency,
        timeout_ms: 2_000,
        objective_ms: 500,
        priority: 1,
        is_public: false,
    };
    (database.into(), Arc::new(route))
}

pub fn configuration() -> Configuration {
    let limits = ServiceLimits {
        name: "dispatch".into(),
        max_connections: 20,
        cold_per_s: 0.0,
        sync_replicas: 0,
    };
    let tenant = Tenant { name: "families".into(), rate_per_s: 1_000.0, burst: 1_000.0 };
    let routes = [
        route("bookings", Consistency::Primary),
        route("lookups", Consistency::Bounded { max_staleness_ms: 500 }),
        route("repairs", Consistency::ReadOwnWrites { max_staleness_ms: 60_000 }),
    ];
    Configuration {
        version: 1,
        routes: routes.into(),
        tenants_by_key: [("key".into(), Arc::new(tenant))].into(),
        services: [("dispatch".into(), Arc::new(limits))].into(),
        transaction_idle_ms: 3_000,
        evacuated: [].into(),
    }
}

impl TestCluster {
    pub async fn start(hosts: usize) -> Self {
        let store = Arc::new(StandInStore::default());
        store.change(|present| *present = configuration());
        let group = StandInGroup::new("dispatch");
        store.set_members(group.entries());
        let mut cluster = Self { store, group, hosts: Vec::new() };
        for _ in 0..hosts {
            cluster.add_host().await;
        }
        cluster.wait_until_serving(0).await;
        cluster
    }

    pub async fn add_host(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let host = self.start_host(self.hosts.len(), listener);
        self.hosts.push(host);
    }

    /// Ends a host like a killed process and starts it again at its address.
    pub async fn restart_host(&mut self, host: usize) {
        let address = self.hosts[host].address;
        self.kill(host).await;
        let listener = TcpListener::bind(address).await.expect("the port is free again");
        self.hosts[host] = self.start_host(host, listener);
    }

    fn start_host(&self, number: usize, listener: TcpListener) -> Host {
        let address = listener.local_addr().expect("the listener has an address");
        let settings = NodeSettings {
            identity: Identity {
                node: format!("host-{number}").into(),
                address,
                incarnation: ownership::new_incarnation(),
            },
            zone: "almaty-a".into(),
            capacity: 250,
            seeds: Vec::new(),
            revoke_limit_ms: REVOKE_LIMIT_MS,
            apply_limit_ms: APPLY_LIMIT_MS,
            promotion_wait_ms: PROMOTION_WAIT_MS,
            grace_ms: 2_000,
            usage: None,
        };
        let dependencies = NodeDependencies {
            store: self.store.clone(),
            connector: Arc::new(StandInConnector {
                host: format!("host-{number}"),
                group: self.group.clone(),
            }),
            promoter: Arc::new(StandInPromoter(self.group.clone())),
            usage_sink: None,
            limits: Arc::default(),
        };
        let node = Node::new(settings, dependencies);
        ownership::start(&node);
        let stop = CancellationToken::new();
        tokio::spawn(serve_peers(node.clone(), listener, stop.clone()));
        Host { address, node, stop }
    }

    /// Puts a configuration in force in which commits wait for this number of replicas.
    pub async fn set_sync_replicas(&self, sync_replicas: usize) {
        self.store.change(|present| {
            for limits in present.services.values_mut() {
                *limits = Arc::new(ServiceLimits { sync_replicas, ..(**limits).clone() });
            }
        });
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    pub fn session(&self, host: usize, database: &str) -> Result<Session, Failure> {
        let node = self.hosts[host].node.clone();
        Session::open(node, database.into(), "key".into()).map_err(|refusal| refusal.failure)
    }

    pub fn open(&self, host: usize, database: &str) -> Session {
        self.session(host, database).expect("the key is valid")
    }

    pub async fn wait_until_serving(&self, host: usize) {
        let started = Instant::now();
        loop {
            if let Ok(mut session) = self.session(host, "bookings")
                && run(&mut session, "probe", "FETCH probe").await.is_ok()
            {
                return;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "host {host} does not serve statements");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub fn owner(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            host.node.render_metrics().contains("service_open{service=\"dispatch\"} 1")
        })
    }

    /// Ends a host like a killed process, without handing its services over.
    pub async fn kill(&self, host: usize) {
        self.hosts[host].stop.cancel();
        self.hosts[host].node.terminate().await;
    }

    pub fn execution_count(&self, id: &str) -> usize {
        ["m1", "m2", "m3"]
            .iter()
            .flat_map(|member| self.group.executed(member))
            .filter(|executed| executed.split(' ').next() == Some(id))
            .count()
    }
}

pub fn statement(id: &str, text: &str) -> Statement {
    let kind = match text {
        "BEGIN" => StatementKind::Begin { is_read_only: false },
        "BEGIN FETCH" => StatementKind::Begin { is_read_only: true },
        "COMMIT" => StatementKind::Commit,
        "ROLLBACK" => StatementKind::Rollback,
        text if text.starts_with("STORE") => StatementKind::Direct(Access::Write),
        _ => StatementKind::Direct(Access::Read),
    };
    Statement { id: id.into(), text: text.into(), kind }
}

pub async fn run(session: &mut Session, id: &str, text: &str) -> StatementResult {
    session.execute(&statement(id, text)).await
}

pub async fn failure(session: &mut Session, id: &str, text: &str) -> Option<Failure> {
    run(session, id, text).await.err().map(|refusal| refusal.failure)
}
