//! Clusters of nodes: the results that callers get, and the statements that members execute.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::stand_in::InjectedFault;
use crate::test_cluster::REVOKE_LIMIT_MS;
use crate::test_cluster::TestCluster;
use crate::test_cluster::WAIT_LIMIT;
use crate::test_cluster::failure;
use crate::test_cluster::route;
use crate::test_cluster::run;
use snipehead_core::configuration::Consistency;
use snipehead_core::configuration::Route;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::configuration::Tenant;
use snipehead_core::node_record::NodeRecord;
use snipehead_core::outcome::BlockState;
use snipehead_core::outcome::Failure;
use snipehead_core::ownership;
use snipehead_core::relay::MetadataRequest;
use snipehead_core::session::Session;
use snipehead_core::statement::Statement;
use snipehead_core::statement::StatementKind;

#[rstest]
#[case::reads("FETCH a", "bookings")]
#[case::writes("STORE a 1", "bookings")]
#[case::bounded_reads("FETCH a", "lookups")]
#[case::own_writes("STORE a 1", "repairs")]
#[tokio::test]
async fn every_host_serves_through_the_owner(#[case] text: &str, #[case] database: &str) {
    let cluster = TestCluster::start(3).await;
    for host in 0..3 {
        cluster.wait_until_serving(host).await;
        let mut session = cluster.open(host, database);
        let id = format!("id-{host}");
        let answer = run(&mut session, &id, text).await.expect("served");
        assert!(answer.signature.starts_with("signature-"), "{}", answer.signature);
        assert_eq!(cluster.execution_count(&id), 1);
    }
}

/// With 660 services, a read of all records takes 257 calls to the store, and 68 nodes that started
/// at the same time made 800 calls.
#[tokio::test]
async fn a_host_that_starts_next_to_others_does_not_read_all_records() {
    let mut cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let before = cluster.store.whole_reads.load(Ordering::Acquire);
    cluster.add_host().await;
    cluster.wait_until_serving(2).await;
    assert_eq!(cluster.store.whole_reads.load(Ordering::Acquire), before);
}

/// During an outage of the store, 72 nodes called it 1,080 times per second, because each of them
/// retried in every round.
#[tokio::test]
async fn an_unreachable_store_is_read_by_the_reader_and_seldom_by_others() {
    let cluster = TestCluster::start(4).await;
    for host in 0..4 {
        cluster.wait_until_serving(host).await;
    }
    cluster.store.is_down.store(true, Ordering::Release);
    // The reader's data is too old for the other nodes after this time.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = cluster.store.configuration_reads.load(Ordering::Acquire);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let calls = cluster.store.configuration_reads.load(Ordering::Acquire) - before;
    // One read per round of 200 ms by the reader, and one per second by each other node.
    assert!(calls <= 11 + 3 * 3, "{calls} reads in two seconds");
    cluster.store.is_down.store(false, Ordering::Release);
    let healed = Instant::now();
    cluster.wait_until_serving(3).await;
    assert!(healed.elapsed() < Duration::from_millis(1_500), "{:?}", healed.elapsed());
}

/// A host kept asking a node that had lost the store, whose answers were accepted until they were
/// 2.5 s old and held back for another second, and refused a new key 3.2 s after it had been
/// issued.
#[tokio::test]
async fn a_source_with_old_metadata_does_not_hold_its_answer_back() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    cluster.store.is_down.store(true, Ordering::Release);
    tokio::time::sleep(Duration::from_millis(1_400)).await;
    let node = &cluster.hosts[0].node;
    let sender = NodeRecord {
        name: "host-9".into(),
        address: "127.0.0.1:9".parse().expect("valid"),
        zone: "almaty-a".into(),
        capacity: 250,
    };
    let first = node.metadata_digests();
    let request = MetadataRequest {
        sender,
        confirmation_age_ms: Some(0),
        configuration: first.0,
        owners: first.1,
        candidates: None,
        members: None,
        leases: Vec::new(),
        clock_offsets_ms: Vec::new(),
    };
    let asked = Instant::now();
    let update = node.metadata_for(request).await.expect("the node has metadata");
    assert!(asked.elapsed() < Duration::from_millis(200), "{:?}", asked.elapsed());
    assert!(update.confirmation_age_ms > 1_300);
}

/// A node that had once owned a service passed its old list of members on, and owners used members
/// again that had left.
#[tokio::test]
async fn a_former_owner_does_not_pass_an_old_list_of_members_on() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let former = cluster.owner().expect("a host owns the service");
    let node = cluster.hosts[former].node.clone();
    let started = Instant::now();
    while cluster.owner() != Some(1 - former) {
        assert!(started.elapsed() < WAIT_LIMIT, "the service is not handed over");
        let new_owner = Some(format!("host-{}", 1 - former).into());
        ownership::hand_over(&node, &"dispatch".into(), new_owner, "test").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut entries = cluster.group.entries();
    entries.pop();
    cluster.store.set_members(entries);
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let (configuration, owners) = node.metadata_digests();
    let request = MetadataRequest {
        sender: NodeRecord {
            name: "host-9".into(),
            address: "127.0.0.1:9".parse().expect("valid"),
            zone: "almaty-a".into(),
            capacity: 250,
        },
        confirmation_age_ms: None,
        configuration,
        owners,
        candidates: None,
        members: Some(0),
        leases: Vec::new(),
        clock_offsets_ms: Vec::new(),
    };
    let update = node.metadata_for(request).await.expect("the node has metadata");
    assert_eq!(update.members, None);
}

/// A node that owned three of eight services kept answering late, because nothing moved them to
/// other nodes.
#[tokio::test]
async fn a_host_with_several_services_hands_some_over_to_hosts_with_none() {
    let mut cluster = TestCluster::start(1).await;
    cluster.store.change(|configuration| {
        let limits = ServiceLimits {
            name: "empty".into(),
            max_connections: 9,
            cold_per_s: 0.0,
            sync_replicas: 0,
        };
        configuration.services.insert("empty".into(), Arc::new(limits));
    });
    let started = Instant::now();
    while !cluster.hosts[0].node.render_metrics().contains("{service=\"empty\"}") {
        assert!(started.elapsed() < WAIT_LIMIT, "the second service has no owner");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cluster.add_host().await;
    while cluster.owner() != Some(1) {
        assert!(started.elapsed() < WAIT_LIMIT, "the first host still owns all services");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written through the new owner");
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_in_doubt_and_not_repeated() {
    let cluster = TestCluster::start(1).await;
    cluster.group.inject_fault("m1", InjectedFault::AnswerLost);
    let mut session = cluster.open(0, "bookings");
    assert_eq!(failure(&mut session, "w1", "STORE a 1").await, Some(Failure::InDoubt));
    assert_eq!(cluster.execution_count("w1"), 1);
    cluster.wait_until_serving(0).await;
}

/// A write was reported as in doubt because it was sent on an idle connection that the member had
/// already closed.
#[tokio::test]
async fn a_write_does_not_use_a_connection_that_its_member_has_closed() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.restart("m1");
    run(&mut session, "w2", "STORE a 2").await.expect("written");
    assert_eq!(cluster.execution_count("w2"), 1);
}

#[tokio::test]
async fn a_read_whose_answer_is_lost_is_served_by_another_member() {
    let cluster = TestCluster::start(1).await;
    for member in ["m1", "m2", "m3"] {
        cluster.group.inject_fault(member, InjectedFault::AnswerLost);
    }
    cluster.group.inject_fault("m2", InjectedFault::Refused(Failure::Failed));
    let mut session = cluster.open(0, "lookups");
    run(&mut session, "r1", "FETCH a").await.expect("served by another member");
}

#[rstest]
#[case::not_run(Failure::Busy, true)]
#[case::run(Failure::Failed, false)]
#[tokio::test]
async fn a_write_is_repeated_only_if_it_was_not_run(
    #[case] refusal: Failure,
    #[case] is_served: bool,
) {
    let cluster = TestCluster::start(1).await;
    cluster.group.inject_fault("m1", InjectedFault::Refused(refusal));
    let mut session = cluster.open(0, "bookings");
    assert_eq!(run(&mut session, "w1", "STORE a 1").await.is_ok(), is_served);
}

#[tokio::test]
async fn a_commit_whose_answer_is_lost_is_in_doubt_only_if_it_wrote() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.inject_fault("m1", InjectedFault::AnswerLost);
    assert_eq!(failure(&mut session, "c1", "COMMIT").await, Some(Failure::InDoubt));
    assert_eq!(session.block_state(), BlockState::Idle);
    cluster.wait_until_serving(0).await;
    run(&mut session, "b2", "BEGIN").await.expect("begun");
    run(&mut session, "r2", "FETCH a").await.expect("read");
    cluster.group.inject_fault("m1", InjectedFault::AnswerLost);
    assert_eq!(failure(&mut session, "c2", "COMMIT").await, Some(Failure::Aborted));
}

#[tokio::test]
async fn a_failed_transaction_commits_nothing_and_must_be_ended() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.inject_fault("m1", InjectedFault::Refused(Failure::Failed));
    assert_eq!(failure(&mut session, "w2", "STORE b 1").await, Some(Failure::Aborted));
    assert_eq!(failure(&mut session, "w3", "STORE c 1").await, Some(Failure::Malformed));
    assert_eq!(failure(&mut session, "c1", "COMMIT").await, Some(Failure::Aborted));
    assert_eq!(session.block_state(), BlockState::Idle);
    assert_eq!(cluster.execution_count("c1"), 0);
}

/// Guards against the commit of a transaction after an error: a statement that the session itself
/// refused left the transaction open.
#[rstest]
#[case::begin(StatementKind::Begin { is_read_only: false })]
#[case::deallocate(StatementKind::Deallocate { name: "s1".into() })]
#[case::execute(StatementKind::Execute { name: "s1".into(), arguments: "a".into() })]
#[tokio::test]
async fn a_refused_statement_fails_the_transaction(#[case] kind: StatementKind) {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    for number in 0..2 {
        run(&mut session, &format!("b{number}"), "BEGIN").await.expect("begun");
        if number == 1 {
            run(&mut session, "w1", "STORE a 1").await.expect("written");
        }
        let refused = Statement { id: "x1".into(), text: "refused".into(), kind: kind.clone() };
        assert!(session.execute(&refused).await.is_err());
        assert_eq!(session.block_state(), BlockState::Failed);
        assert_eq!(failure(&mut session, "r1", "FETCH a").await, Some(Failure::Malformed));
        assert_eq!(failure(&mut session, "c1", "COMMIT").await, Some(Failure::Aborted));
        assert_eq!(session.block_state(), BlockState::Idle);
    }
    assert_eq!(cluster.execution_count("c1"), 0);
}

/// Guards against tenant names that end a field of a line to a member, which would take the rest for
/// the next one. Other tenants are served.
#[rstest]
#[case("a i-7f3a")]
#[case("a\r\nQUERY 1 FETCH x")]
#[case("a\n")]
#[case("\0")]
#[case("")]
#[tokio::test]
async fn the_key_of_a_tenant_whose_name_is_no_field_is_refused(#[case] name: &str) {
    let cluster = TestCluster::start(1).await;
    cluster.store.change(|configuration| {
        let tenant = Tenant { name: name.into(), rate_per_s: 1.0, burst: 1.0 };
        configuration.tenants_by_key.insert("odd".into(), Arc::new(tenant));
        let (database, public) = route("public", Consistency::Primary);
        let public = Route { is_public: true, ..(*public).clone() };
        configuration.routes.insert(database, Arc::new(public));
    });
    let node = cluster.hosts[0].node.clone();
    let started = Instant::now();
    while Session::open(node.clone(), "public".into(), "none".into()).is_err() {
        assert!(started.elapsed() < WAIT_LIMIT, "the configuration is not followed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for database in ["bookings", "public"] {
        let opened = Session::open(node.clone(), database.into(), "odd".into());
        let failure = opened.err().map(|refusal| refusal.failure);
        assert_eq!(failure, Some(Failure::Unauthenticated), "on {database}");
    }
    cluster.wait_until_serving(0).await;
}

#[tokio::test]
async fn a_session_reads_its_own_write_although_replicas_lag() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    cluster.group.stall_replication("m2");
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(1, "repairs");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    for number in 0..5 {
        let id = format!("r{number}");
        run(&mut session, &id, "FETCH a").await.expect("read");
        assert!(cluster.group.executed("m1").contains(&format!("{id} FETCH a")));
    }
}

#[tokio::test]
async fn bounded_reads_go_to_the_primary_once_replicas_are_too_stale() {
    let cluster = TestCluster::start(1).await;
    cluster.group.stall_replication("m2");
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut lookups = cluster.open(0, "lookups");
    run(&mut lookups, "r1", "FETCH a").await.expect("read");
    assert!(cluster.group.executed("m1").contains(&"r1 FETCH a".to_owned()));
}

/// Reads were refused as lagging while the primary was busy, because replicas that had just
/// reported a lag were chosen again and again.
#[tokio::test]
async fn a_read_waits_for_a_busy_primary_when_all_replicas_lag() {
    let cluster = TestCluster::start(1).await;
    for member in ["m2", "m3"] {
        (0..8).for_each(|_| {
            cluster.group.inject_fault(member, InjectedFault::Refused(Failure::Lagging))
        });
    }
    cluster.group.set_latency("m1", 150);
    let mut writers = Vec::new();
    for number in 0..6 {
        let mut session = cluster.open(0, "bookings");
        writers.push(tokio::spawn(async move {
            run(&mut session, &format!("w{number}"), "STORE a 1").await.map(drop)
        }));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut session = cluster.open(0, "lookups");
    run(&mut session, "r1", "FETCH a").await.expect("served by the primary");
    for writer in writers {
        writer.await.expect("the writer ends").expect("written");
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_on_an_open_session() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "r1", "FETCH a").await.expect("read");
    cluster.store.change(|configuration| configuration.tenants_by_key.clear());
    let started = Instant::now();
    while run(&mut session, "r2", "FETCH a").await.is_ok() {
        assert!(started.elapsed() < Duration::from_millis(REVOKE_LIMIT_MS));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(failure(&mut session, "r3", "FETCH a").await, Some(Failure::Unauthenticated));
}

#[tokio::test]
async fn no_key_is_accepted_once_it_may_have_been_withdrawn() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    cluster.store.is_down.store(true, Ordering::Release);
    tokio::time::sleep(Duration::from_millis(REVOKE_LIMIT_MS)).await;
    assert_eq!(failure(&mut session, "r1", "FETCH a").await, Some(Failure::Busy));
    assert!(!cluster.hosts[0].node.is_ready());
    assert_eq!(cluster.execution_count("r1"), 0);
    cluster.store.is_down.store(false, Ordering::Release);
    cluster.wait_until_serving(0).await;
}

#[tokio::test]
async fn another_host_takes_over_from_a_killed_owner_and_knows_its_commits() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("a host owns the service");
    let other = 1 - owner;
    let mut session = cluster.open(other, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.stall_replication("m2");
    run(&mut session, "w2", "STORE a 2").await.expect("written");
    cluster.kill(owner).await;
    cluster.wait_until_serving(other).await;
    assert_eq!(cluster.owner(), Some(other));
    let mut lookups = cluster.open(other, "lookups");
    for number in 0..6 {
        run(&mut lookups, &format!("r{number}"), "FETCH a").await.expect("read");
    }
    let stale = cluster.group.executed("m2").into_iter().filter(|ran| ran.starts_with('r')).count();
    assert_eq!(stale, 0, "a replica that lacks the commits served reads");
}

/// A statement, and the COMMIT of another caller, ran in transactions that had been started after
/// the owner was killed and had started again.
#[tokio::test]
async fn transactions_of_a_killed_owner_are_refused_once_it_has_started_again() {
    let mut cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("a host owns the service");
    let other = 1 - owner;
    let mut early = [cluster.open(other, "bookings"), cluster.open(other, "bookings")];
    for (number, session) in early.iter_mut().enumerate() {
        run(session, &format!("b{number}"), "BEGIN").await.expect("begun");
        run(session, &format!("w{number}"), "STORE a 1").await.expect("written");
    }
    cluster.restart_host(owner).await;
    cluster.wait_until_serving(other).await;
    assert_eq!(cluster.owner(), Some(owner));
    let mut late = [cluster.open(other, "bookings"), cluster.open(other, "bookings")];
    for (number, session) in late.iter_mut().enumerate() {
        run(session, &format!("b1{number}"), "BEGIN").await.expect("begun");
        run(session, &format!("w1{number}"), "STORE a 2").await.expect("written");
    }
    assert_eq!(failure(&mut early[0], "w2", "STORE a 3").await, Some(Failure::Aborted));
    assert_eq!(failure(&mut early[1], "c1", "COMMIT").await, Some(Failure::Aborted));
    for (number, session) in late.iter_mut().enumerate() {
        run(session, &format!("c1{number}"), "COMMIT").await.expect("committed");
    }
    assert_eq!(cluster.execution_count("w2") + cluster.execution_count("c1"), 0);
}

#[tokio::test]
async fn a_stopping_owner_hands_its_service_over_to_the_other_host_at_once() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("a host owns the service");
    let other = 1 - owner;
    let mut session = cluster.open(other, "bookings");
    let stopping = cluster.hosts[owner].node.clone();
    let stop = tokio::spawn(async move { stopping.shut_down().await });
    let started = Instant::now();
    while cluster.owner() != Some(other) {
        assert!(started.elapsed() < Duration::from_secs(2), "no host took the service over");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    stop.await.expect("the host stops");
}

/// A successor that was killed while the former owner ended a transaction served reads, as owner, that
/// lacked the commit of that transaction.
#[tokio::test]
async fn a_restarted_successor_does_not_act_beside_the_former_owner() {
    let mut cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    // Longer than it takes until the hosts know of each other.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let owner = cluster.owner().expect("a host owns the service");
    let other = 1 - owner;
    let mut session = cluster.open(owner, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.stall_replication("m3");
    let stopping = cluster.hosts[owner].node.clone();
    let stop = tokio::spawn(async move { stopping.shut_down().await });
    let started = Instant::now();
    while cluster.store.lease_holder("dispatch") != Some(format!("host-{other}")) {
        assert!(started.elapsed() < Duration::from_secs(2), "no host took the lease over");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    cluster.restart_host(other).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(!stop.is_finished(), "the former owner has stopped too soon");
    assert_ne!(cluster.owner(), Some(other), "two hosts act as owner");
    let committed = run(&mut session, "c1", "COMMIT").await.expect("committed");
    cluster.wait_until_serving(other).await;
    // Longer than the staleness bound of the lookups.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut reader = cluster.open(other, "lookups");
    for number in 0..30 {
        let read = run(&mut reader, &format!("r{number}"), "FETCH a").await.expect("read");
        assert!(read.position >= committed.position, "a read lacked the commit: {read:?}");
    }
    stop.await.expect("the host stops");
}

#[tokio::test]
async fn a_tenant_is_refused_beyond_its_rate_with_the_time_until_a_retry() {
    let cluster = TestCluster::start(1).await;
    cluster.store.change(|configuration| {
        let tenant = Tenant { name: "families".into(), rate_per_s: 1.0, burst: 1.0 };
        configuration.tenants_by_key = [("key".into(), Arc::new(tenant))].into();
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut session = cluster.open(0, "lookups");
    let mut refusals = Vec::new();
    for number in 0..6 {
        refusals.extend(run(&mut session, &format!("r{number}"), "FETCH a").await.err());
    }
    let refusal = refusals.first().expect("some are refused");
    assert_eq!(refusal.failure, Failure::Busy);
    assert!(refusal.detail.contains("retry after"), "{}", refusal.detail);
}

/// Guards against a write that is in doubt because its connection has seen a failure before: the second
/// one carries no proof.
#[tokio::test]
async fn a_write_that_a_busy_member_refuses_repeatedly_is_not_in_doubt() {
    let cluster = TestCluster::start(1).await;
    for _ in 0..3 {
        cluster.group.inject_fault("m1", InjectedFault::Refused(Failure::Busy));
    }
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("the member takes it in the end");
    assert_eq!(cluster.execution_count("w1"), 1);
}
