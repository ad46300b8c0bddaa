//! Whole nodes over loopback, in front of stand-ins.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::stand_in::Fate;
use crate::stand_in::StandInConnector;
use crate::stand_in::StandInGroup;
use crate::stand_in::StandInOrders;
use crate::stand_in::StandInStore;
use snipehead_core::configuration::Configuration;
use snipehead_core::configuration::Consistency;
use snipehead_core::configuration::Route;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::configuration::Tenant;
use snipehead_core::lease_book::Identity;
use snipehead_core::name::Name;
use snipehead_core::node::Node;
use snipehead_core::node::NodeBorder;
use snipehead_core::node::NodeSettings;
use snipehead_core::outcome::BlockState;
use snipehead_core::outcome::Failure;
use snipehead_core::ownership;
use snipehead_core::relay::serve_peers;
use snipehead_core::session::Ended;
use snipehead_core::session::Session;
use snipehead_core::statement::Access;
use snipehead_core::statement::Statement;
use snipehead_core::statement::StatementKind;

const REVOKE_LIMIT_MS: u64 = 2_000;

/// Longest wait for a state that must come.
const PATIENCE: Duration = Duration::from_secs(15);

struct Host {
    node: Arc<Node>,
    stop: CancellationToken,
}

struct Scene {
    store: Arc<StandInStore>,
    group: Arc<StandInGroup>,
    hosts: Vec<Host>,
}

fn route(database: &str, consistency: Consistency) -> (Name, Arc<Route>) {
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

fn configuration() -> Configuration {
    let limits = ServiceLimits { name: "dispatch".into(), max_connections: 20, cold_per_s: 0.0 };
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

impl Scene {
    async fn start(hosts: usize) -> Self {
        let store = Arc::new(StandInStore::default());
        store.change(|present| *present = configuration());
        let group = StandInGroup::new("dispatch");
        store.set_members(group.entries());
        let mut scene = Self { store, group, hosts: Vec::new() };
        for _ in 0..hosts {
            scene.add_host().await;
        }
        scene.wait_served(0).await;
        scene
    }

    async fn add_host(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let settings = NodeSettings {
            identity: Identity {
                node: format!("host-{}", self.hosts.len()).into(),
                address: listener.local_addr().expect("an address"),
                incarnation: ownership::new_incarnation(),
            },
            zone: "almaty-a".into(),
            revoke_limit_ms: REVOKE_LIMIT_MS,
            grace_ms: 2_000,
        };
        let border = NodeBorder {
            store: self.store.clone(),
            connector: Arc::new(StandInConnector(self.group.clone())),
            orders: Arc::new(StandInOrders(self.group.clone())),
        };
        let node = Node::new(settings, border);
        ownership::start(&node);
        let stop = CancellationToken::new();
        tokio::spawn(serve_peers(node.clone(), listener, stop.clone()));
        self.hosts.push(Host { node, stop });
    }

    fn session(&self, host: usize, database: &str) -> Result<Session, Failure> {
        let node = self.hosts[host].node.clone();
        Session::open(node, database.into(), "key".into()).map_err(|refusal| refusal.failure)
    }

    fn open(&self, host: usize, database: &str) -> Session {
        self.session(host, database).expect("the caller is admitted")
    }

    async fn wait_served(&self, host: usize) {
        let started = Instant::now();
        loop {
            if let Ok(mut session) = self.session(host, "bookings")
                && run(&mut session, "probe", "FETCH probe").await.is_ok()
            {
                return;
            }
            assert!(started.elapsed() < PATIENCE, "nothing is served");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn owner(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            host.node.render_metrics().contains("service_open{service=\"dispatch\"} 1")
        })
    }

    /// Ends a host as a kill would: it gives nothing away.
    async fn kill(&self, host: usize) {
        self.hosts[host].stop.cancel();
        self.hosts[host].node.end().await;
    }

    fn times_run(&self, id: &str) -> usize {
        ["m1", "m2", "m3"]
            .iter()
            .flat_map(|member| self.group.ran(member))
            .filter(|ran| ran.split(' ').next() == Some(id))
            .count()
    }
}

fn statement(id: &str, text: &str) -> Statement {
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

async fn run(session: &mut Session, id: &str, text: &str) -> Ended {
    session.execute(&statement(id, text)).await
}

async fn failure(session: &mut Session, id: &str, text: &str) -> Option<Failure> {
    run(session, id, text).await.err().map(|refusal| refusal.failure)
}

#[rstest]
#[case::reads("FETCH a", "bookings")]
#[case::writes("STORE a 1", "bookings")]
#[case::bounded_reads("FETCH a", "lookups")]
#[case::own_writes("STORE a 1", "repairs")]
#[tokio::test]
async fn every_host_serves_by_way_of_the_owner(#[case] text: &str, #[case] database: &str) {
    let scene = Scene::start(3).await;
    for host in 0..3 {
        scene.wait_served(host).await;
        let mut session = scene.open(host, database);
        let id = format!("id-{host}");
        let answer = run(&mut session, &id, text).await.expect("served");
        assert_eq!(&*answer.signature, "signature");
        assert_eq!(scene.times_run(&id), 1);
    }
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_in_doubt_and_not_repeated() {
    let scene = Scene::start(1).await;
    scene.group.give_fate("m1", Fate::AnswerLost);
    let mut session = scene.open(0, "bookings");
    assert_eq!(failure(&mut session, "w1", "STORE a 1").await, Some(Failure::InDoubt));
    assert_eq!(scene.times_run("w1"), 1);
    scene.wait_served(0).await;
}

/// A write on a connection that its member had closed while it was idle was said to be in doubt.
#[tokio::test]
async fn a_write_does_not_use_a_connection_that_its_member_has_closed() {
    let scene = Scene::start(1).await;
    let mut session = scene.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    scene.group.restart("m1");
    run(&mut session, "w2", "STORE a 2").await.expect("written");
    assert_eq!(scene.times_run("w2"), 1);
}

#[tokio::test]
async fn a_read_whose_answer_is_lost_is_served_by_another_member() {
    let scene = Scene::start(1).await;
    for member in ["m1", "m2", "m3"] {
        scene.group.give_fate(member, Fate::AnswerLost);
    }
    scene.group.give_fate("m2", Fate::Refused(Failure::Failed));
    let mut session = scene.open(0, "lookups");
    run(&mut session, "r1", "FETCH a").await.expect("served in the end");
}

#[rstest]
#[case::not_run(Failure::Busy, true)]
#[case::run(Failure::Failed, false)]
#[tokio::test]
async fn a_write_is_repeated_only_if_it_was_not_run(
    #[case] refusal: Failure,
    #[case] is_served: bool,
) {
    let scene = Scene::start(1).await;
    scene.group.give_fate("m1", Fate::Refused(refusal));
    let mut session = scene.open(0, "bookings");
    assert_eq!(run(&mut session, "w1", "STORE a 1").await.is_ok(), is_served);
}

#[tokio::test]
async fn a_commit_whose_answer_is_lost_is_in_doubt_only_if_it_wrote() {
    let scene = Scene::start(1).await;
    let mut session = scene.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    scene.group.give_fate("m1", Fate::AnswerLost);
    assert_eq!(failure(&mut session, "c1", "COMMIT").await, Some(Failure::InDoubt));
    assert_eq!(session.block_state(), BlockState::Idle);
    scene.wait_served(0).await;
    run(&mut session, "b2", "BEGIN").await.expect("begun");
    run(&mut session, "r2", "FETCH a").await.expect("read");
    scene.group.give_fate("m1", Fate::AnswerLost);
    assert_eq!(failure(&mut session, "c2", "COMMIT").await, Some(Failure::Aborted));
}

#[tokio::test]
async fn a_failed_transaction_promises_that_nothing_is_kept_and_must_be_ended() {
    let scene = Scene::start(1).await;
    let mut session = scene.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    scene.group.give_fate("m1", Fate::Refused(Failure::Failed));
    assert_eq!(failure(&mut session, "w2", "STORE b 1").await, Some(Failure::Aborted));
    assert_eq!(failure(&mut session, "w3", "STORE c 1").await, Some(Failure::Malformed));
    assert_eq!(failure(&mut session, "c1", "COMMIT").await, Some(Failure::Aborted));
    assert_eq!(session.block_state(), BlockState::Idle);
    assert_eq!(scene.times_run("c1"), 0);
}

#[tokio::test]
async fn a_session_reads_its_own_write_though_replicas_are_behind() {
    let scene = Scene::start(2).await;
    scene.wait_served(1).await;
    scene.group.hold_back("m2");
    scene.group.hold_back("m3");
    let mut session = scene.open(1, "repairs");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    for number in 0..5 {
        let id = format!("r{number}");
        run(&mut session, &id, "FETCH a").await.expect("read");
        assert!(scene.group.ran("m1").contains(&format!("{id} FETCH a")));
    }
}

#[tokio::test]
async fn reads_of_an_age_go_to_the_primary_once_replicas_are_too_old() {
    let scene = Scene::start(1).await;
    scene.group.hold_back("m2");
    scene.group.hold_back("m3");
    let mut session = scene.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut lookups = scene.open(0, "lookups");
    run(&mut lookups, "r1", "FETCH a").await.expect("read");
    assert!(scene.group.ran("m1").contains(&"r1 FETCH a".to_owned()));
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_on_an_open_session() {
    let scene = Scene::start(1).await;
    let mut session = scene.open(0, "bookings");
    run(&mut session, "r1", "FETCH a").await.expect("read");
    scene.store.change(|configuration| configuration.tenants_by_key.clear());
    let started = Instant::now();
    while run(&mut session, "r2", "FETCH a").await.is_ok() {
        assert!(started.elapsed() < Duration::from_millis(REVOKE_LIMIT_MS));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(failure(&mut session, "r3", "FETCH a").await, Some(Failure::Unauthenticated));
}

#[tokio::test]
async fn no_key_is_served_once_the_store_may_have_withdrawn_it() {
    let scene = Scene::start(1).await;
    let mut session = scene.open(0, "bookings");
    scene.store.is_down.store(true, Ordering::Release);
    tokio::time::sleep(Duration::from_millis(REVOKE_LIMIT_MS)).await;
    assert_eq!(failure(&mut session, "r1", "FETCH a").await, Some(Failure::Busy));
    assert!(!scene.hosts[0].node.is_ready());
    assert_eq!(scene.times_run("r1"), 0);
    scene.store.is_down.store(false, Ordering::Release);
    scene.wait_served(0).await;
}

#[tokio::test]
async fn another_host_takes_over_from_a_killed_owner_and_knows_its_commits() {
    let scene = Scene::start(2).await;
    scene.wait_served(1).await;
    let owner = scene.owner().expect("an owner");
    let other = 1 - owner;
    let mut session = scene.open(other, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    scene.group.hold_back("m2");
    run(&mut session, "w2", "STORE a 2").await.expect("written");
    scene.kill(owner).await;
    scene.wait_served(other).await;
    assert_eq!(scene.owner(), Some(other));
    let mut lookups = scene.open(other, "lookups");
    for number in 0..6 {
        run(&mut lookups, &format!("r{number}"), "FETCH a").await.expect("read");
    }
    let stale = scene.group.ran("m2").into_iter().filter(|ran| ran.starts_with('r')).count();
    assert_eq!(stale, 0, "a replica without the commits served reads");
}

#[tokio::test]
async fn a_stopping_owner_gives_its_service_to_the_other_host_at_once() {
    let scene = Scene::start(2).await;
    scene.wait_served(1).await;
    let owner = scene.owner().expect("an owner");
    let other = 1 - owner;
    let mut session = scene.open(other, "bookings");
    let stopping = scene.hosts[owner].node.clone();
    let stop = tokio::spawn(async move { stopping.shut_down().await });
    let started = Instant::now();
    while scene.owner() != Some(other) {
        assert!(started.elapsed() < Duration::from_secs(2), "nobody took the service");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    stop.await.expect("it stops");
}

#[tokio::test]
async fn a_dead_primary_is_replaced_under_the_owners_token() {
    let scene = Scene::start(1).await;
    scene.group.set_up("m1", false);
    scene.wait_served(0).await;
    let promotions = scene.group.promotions();
    assert_eq!(promotions.len(), 1, "{promotions:?}");
    assert!(promotions[0].1 > 0);
    assert_ne!(scene.group.primary().as_deref(), Some("m1"));
    let mut session = scene.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written at the new primary");
}

#[tokio::test]
async fn a_leaving_primary_hands_its_lead_over_and_steps_down() {
    let scene = Scene::start(1).await;
    let mut entries = scene.group.entries();
    entries[0].is_draining = true;
    scene.store.set_members(entries);
    let started = Instant::now();
    while scene.group.primary().as_deref() == Some("m1") {
        assert!(started.elapsed() < PATIENCE, "the primary was not moved");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    scene.wait_served(0).await;
    let mut session = scene.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    assert!(!scene.group.ran("m1").contains(&"w1 STORE a 1".to_owned()));
}

#[tokio::test]
async fn a_tenant_is_refused_beyond_its_rate_with_the_time_to_come_back() {
    let scene = Scene::start(1).await;
    scene.store.change(|configuration| {
        let tenant = Tenant { name: "families".into(), rate_per_s: 1.0, burst: 1.0 };
        configuration.tenants_by_key = [("key".into(), Arc::new(tenant))].into();
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut session = scene.open(0, "lookups");
    let mut refusals = Vec::new();
    for number in 0..6 {
        refusals.extend(run(&mut session, &format!("r{number}"), "FETCH a").await.err());
    }
    let refusal = refusals.first().expect("some are refused");
    assert_eq!(refusal.failure, Failure::Busy);
    assert!(refusal.detail.contains("retry after"), "{}", refusal.detail);
}
