//! The owner's count of the connections to a member.
//!
//! Pattern: a request that ends early changes the count of connections by one. A count that is too
//! high leaves connections unused; one that is too low opens more than the member allows, which
//! resets them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::test_cluster::TestCluster;
use crate::test_cluster::run;

/// Returns the number of connections to m1 that the owner counts, without its own probe connection.
fn counted(cluster: &TestCluster) -> usize {
    let metrics = cluster.hosts[0].node.render_metrics();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("member_connections{service=\"dispatch\",member=\"m1\"}"));
    let value = line.and_then(|line| line.rsplit(' ').next()).expect("the metric is present");
    value.parse().expect("the metric is a number")
}

#[tokio::test]
async fn a_request_that_is_dropped_while_it_connects_gives_its_connection_back() {
    let cluster = TestCluster::start(1).await;
    // The only idle connection of the tenant is in use while the dropped requests connect.
    cluster.group.set_latency("m1", 400);
    let mut busy = cluster.open(0, "bookings");
    let running = tokio::spawn(async move { run(&mut busy, "w0", "STORE a 1").await.map(drop) });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = counted(&cluster);
    cluster.group.connect_ms.store(300, Ordering::Release);
    for number in 0..2 {
        let mut session = cluster.open(0, "bookings");
        let id = format!("w{number}");
        let dropped = run(&mut session, &id, "STORE a 1");
        assert!(tokio::time::timeout(Duration::from_millis(50), dropped).await.is_err());
    }
    assert_eq!(counted(&cluster), before);
    running.await.expect("the writer ends").expect("written");
}

#[tokio::test]
async fn a_transaction_that_is_dropped_while_it_waits_for_a_slot_changes_no_count() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "r1", "FETCH a").await.expect("read");
    let with_transaction = counted(&cluster);
    cluster.group.set_latency("m1", 200);
    // All three slots are busy.
    let mut writers = Vec::new();
    for number in 0..3 {
        let mut other = cluster.open(0, "bookings");
        writers.push(tokio::spawn(async move {
            run(&mut other, &format!("w{number}"), "STORE a 1").await.map(drop)
        }));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let dropped = run(&mut session, "r2", "FETCH a");
    assert!(tokio::time::timeout(Duration::from_millis(50), dropped).await.is_err());
    for writer in writers {
        writer.await.expect("the writer ends").expect("written");
    }
    cluster.group.set_latency("m1", 1);
    // The transaction's connection is closed, those of the writers stay.
    assert_eq!(counted(&cluster), with_transaction - 1 + 3);
}

#[tokio::test]
async fn a_service_with_a_dropped_transaction_closes_without_waiting_for_it() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "b1", "BEGIN").await.expect("begun");
    run(&mut session, "r1", "FETCH a").await.expect("read");
    cluster.group.set_latency("m1", 300);
    let dropped = run(&mut session, "r2", "FETCH a");
    assert!(tokio::time::timeout(Duration::from_millis(100), dropped).await.is_err());
    let metrics = cluster.hosts[0].node.render_metrics();
    assert!(metrics.contains("service_transactions{service=\"dispatch\"} 0"), "{metrics}");
}
