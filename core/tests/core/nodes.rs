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
use crate::test_cluster::run;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::configuration::Tenant;
use snipehead_core::node_record::NodeRecord;
use snipehead_core::outcome::BlockState;
use snipehead_core::outcome::Failure;
use snipehead_core::ownership;
use snipehead_core::relay::MetadataRequest;

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
        assert_eq!(&*answer.signature, "signature");
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
        let limits = ServiceLimits { name: "empty".into(), max_connections: 9, cold_per_s: 0.0 };
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

#[tokio::test]
async fn a_dead_primary_is_replaced_with_the_owners_fencing_token() {
    let cluster = TestCluster::start(1).await;
    cluster.group.set_up("m1", false);
    cluster.wait_until_serving(0).await;
    let promotions = cluster.group.promotions();
    assert_eq!(promotions.len(), 1, "{promotions:?}");
    assert!(promotions[0].1 > 0);
    assert_ne!(cluster.group.primary().as_deref(), Some("m1"));
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written at the new primary");
}

/// A former primary that was promoted again acknowledged writes before the promotion took effect,
/// because it still reported itself as primary of its old term.
#[tokio::test]
async fn a_former_primary_serves_only_once_its_new_term_has_begun() {
    let cluster = TestCluster::start(1).await;
    cluster.group.set_up("m1", false);
    cluster.wait_until_serving(0).await;
    let second = cluster.group.primary().expect("the group has a primary");
    cluster.group.restart_as_stale_primary("m1");
    cluster.group.promotion_ms.store(700, Ordering::Release);
    for member in ["m2", "m3"] {
        cluster.group.set_up(member, false);
    }
    let mut session = cluster.open(0, "bookings");
    let started = Instant::now();
    loop {
        let ended = run(&mut session, "w1", "STORE a 1").await;
        if let Ok(answer) = ended {
            let term = answer.position.expect("the answer has a position").term;
            assert!(term > 2, "written in term {term}, but {second} was the primary of term 2");
            return;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "the write is not served: {ended:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An order without an answer was forgotten: the old primary came back, was used again, and took
/// writes when the order took effect, all of which were lost.
#[tokio::test]
async fn a_primary_is_not_used_again_while_an_order_to_replace_it_may_take_effect() {
    let cluster = TestCluster::start(1).await;
    cluster.group.are_orders_unanswered.store(true, Ordering::Release);
    cluster.group.promotion_ms.store(4_500, Ordering::Release);
    let mut session = cluster.open(0, "bookings");
    cluster.group.set_up("m1", false);
    assert!(run(&mut session, "w0", "STORE a 0").await.is_err());
    let started = Instant::now();
    while cluster.group.promotions().is_empty() {
        assert!(started.elapsed() < WAIT_LIMIT, "no promotion is ordered");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    cluster.group.restart_as_stale_primary("m1");
    for number in 1.. {
        let ended = run(&mut session, &format!("w{number}"), "STORE a 1").await;
        if let Ok(answer) = ended {
            let term = answer.position.expect("the answer has a position").term;
            assert!(term > 1, "written in term {term} while the order is pending");
            break;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "no write is served: {ended:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A move whose promotion could not be recorded rolled transactions back in each attempt.
#[tokio::test]
async fn a_move_that_cannot_be_recorded_leaves_transactions_alone() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    let mut entries = cluster.group.entries();
    entries[0].is_draining = true;
    cluster.store.set_members(entries);
    cluster.store.are_writes_refused.store(true, Ordering::Release);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    run(&mut session, "c1", "COMMIT").await.expect("committed");
    assert_eq!(cluster.group.promotions(), []);
}

/// A promotion that was accepted and had no effect was ordered again for ever, although another member
/// could be promoted.
#[tokio::test]
async fn another_member_is_promoted_if_a_recorded_promotion_has_no_effect() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("a host owns the service");
    cluster.group.set_unpromotable("m3");
    cluster.group.are_orders_unanswered.store(true, Ordering::Release);
    cluster.group.set_up("m1", false);
    let mut session = cluster.open(owner, "bookings");
    assert!(run(&mut session, "w1", "STORE a 1").await.is_err());
    let started = Instant::now();
    while cluster.group.promotions().is_empty() {
        assert!(started.elapsed() < WAIT_LIMIT, "no promotion is ordered");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(cluster.group.promotions()[0].0, "m3");
    cluster.kill(owner).await;
    cluster.group.are_orders_unanswered.store(false, Ordering::Release);
    cluster.wait_until_serving(1 - owner).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
}

/// A replica that had stopped receiving was promoted by a status from before, and commits that another
/// replica had were lost.
#[tokio::test]
async fn a_replica_that_lags_is_not_promoted_by_an_old_report() {
    let cluster = TestCluster::start(1).await;
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.set_up("m1", false);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
}

/// A new owner that reached only members of the older term adopted its primary, and reads lacked
/// commits that had been acknowledged in the newer one.
#[tokio::test]
async fn a_new_owner_does_not_use_the_primary_of_an_older_term_than_one_that_was_served() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("a host owns the service");
    let other = 1 - owner;
    cluster.group.cut(&format!("host-{owner}"), "m3");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut session = cluster.open(owner, "bookings");
    cluster.group.set_up("m1", false);
    cluster.wait_until_serving(owner).await;
    run(&mut session, "w1", "STORE a 1").await.expect("written in the second term");
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
    cluster.group.restart_as_stale_primary("m1");
    cluster.group.cut(&format!("host-{other}"), "m2");
    cluster.kill(owner).await;
    let mut session = cluster.open(other, "bookings");
    let started = Instant::now();
    loop {
        let ended = run(&mut session, "w2", "STORE a 2").await;
        if let Ok(answer) = ended {
            let term = answer.position.expect("the answer has a position").term;
            assert!(term > 2, "written in term {term}");
            break;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "the write is not served: {ended:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An order for a promotion that no later owner could know of was given while the store was away.
#[tokio::test]
async fn no_promotion_is_ordered_before_it_is_recorded() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    cluster.store.is_down.store(true, Ordering::Release);
    cluster.group.set_up("m1", false);
    assert!(run(&mut session, "w1", "STORE a 1").await.is_err());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cluster.group.promotions(), []);
    cluster.store.is_down.store(false, Ordering::Release);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.promotions().len(), 1);
}

#[tokio::test]
async fn a_draining_primary_is_replaced_and_steps_down() {
    let cluster = TestCluster::start(1).await;
    let mut entries = cluster.group.entries();
    entries[0].is_draining = true;
    cluster.store.set_members(entries);
    let started = Instant::now();
    while cluster.group.primary().as_deref() == Some("m1") {
        assert!(started.elapsed() < WAIT_LIMIT, "the primary was not moved");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    cluster.wait_until_serving(0).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    assert!(!cluster.group.executed("m1").contains(&"w1 STORE a 1".to_owned()));
}

/// Marks a member as draining, and waits until the promotion of another one is ordered.
async fn drain_until_ordered(cluster: &TestCluster, member: &str) {
    let mut entries = cluster.group.entries();
    entries.iter_mut().for_each(|entry| entry.is_draining = &*entry.key.id == member);
    cluster.store.set_members(entries);
    let started = Instant::now();
    while cluster.group.promotions().is_empty() {
        assert!(started.elapsed() < WAIT_LIMIT, "no promotion is ordered");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// COMMITs of open transactions were sent to the former primary while and after its successor was
/// promoted, acknowledged, and in no log afterwards.
#[tokio::test]
async fn an_open_transaction_is_refused_once_its_primary_is_being_replaced() {
    let cluster = TestCluster::start(1).await;
    cluster.group.promotion_ms.store(600, Ordering::Release);
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    drain_until_ordered(&cluster, "m1").await;
    assert_eq!(failure(&mut session, "c1", "COMMIT").await, Some(Failure::Aborted));
    assert_eq!(cluster.execution_count("c1"), 0);
    run(&mut session, "w2", "STORE a 2").await.expect("written at the successor");
    assert!(!cluster.group.executed("m1").contains(&"w2 STORE a 2".to_owned()));
}

/// A reply of the former primary that came after the order was passed on as a success.
#[rstest]
#[case::single_write(false)]
#[case::commit(true)]
#[tokio::test]
async fn a_write_whose_reply_comes_after_the_change_of_primary_is_in_doubt(
    #[case] is_commit: bool,
) {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    if is_commit {
        run(&mut session, "b1", "BEGIN").await.expect("begun");
        run(&mut session, "w1", "STORE a 1").await.expect("written");
    }
    cluster.group.set_latency("m1", 1_500);
    let text = if is_commit { "COMMIT" } else { "STORE a 1" };
    let (outcome, ()) =
        tokio::join!(failure(&mut session, "x1", text), drain_until_ordered(&cluster, "m1"));
    assert_eq!(outcome, Some(Failure::InDoubt));
    cluster.wait_until_serving(0).await;
}

/// A promotion was ordered although the successor had left the list in the meantime.
#[tokio::test]
async fn a_successor_that_leaves_during_a_move_is_not_promoted() {
    let cluster = TestCluster::start(1).await;
    cluster.group.stall_replication("m2");
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    let mut entries = cluster.group.entries();
    entries[0].is_draining = true;
    cluster.store.set_members(entries.clone());
    tokio::time::sleep(Duration::from_millis(700)).await;
    for entry in &mut entries {
        entry.key.incarnation += 10;
    }
    cluster.store.set_members(entries);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cluster.group.promotions(), []);
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
