//! Changes of a service's primary in a cluster of nodes: what callers get, and which member is promoted.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::test_cluster::TestCluster;
use crate::test_cluster::WAIT_LIMIT;
use crate::test_cluster::failure;
use crate::test_cluster::run;
use snipehead_core::lease_table::LEASE_MS;
use snipehead_core::outcome::Failure;

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

/// An accepted order whose member went silent counted as not carried out: the old primary was used
/// again beside its successor, and its writes were lost.
#[tokio::test]
async fn a_primary_is_not_used_again_while_the_member_ordered_in_its_place_is_silent() {
    let cluster = TestCluster::start(1).await;
    cluster.group.promotion_ms.store(1_000, Ordering::Release);
    let mut session = cluster.open(0, "bookings");
    cluster.group.set_up("m1", false);
    assert!(run(&mut session, "w0", "STORE a 0").await.is_err());
    let started = Instant::now();
    let ordered = loop {
        if let Some((member, _)) = cluster.group.promotions().first() {
            break member.clone();
        }
        assert!(started.elapsed() < WAIT_LIMIT, "no promotion is ordered");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    cluster.group.restart_as_stale_primary("m1");
    cluster.group.cut("host-0", &ordered);
    let mut served = 0;
    for number in 1.. {
        let ended = run(&mut session, &format!("w{number}"), "STORE a 1").await;
        if let Ok(answer) = &ended {
            let term = answer.position.expect("the answer has a position").term;
            assert!(term > 2, "written in term {term} after {ordered} has led term 2");
            served += 1;
        }
        if served == 3 {
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

/// An owner that was suspended between the look at its lease and the order sent it when another owner had
/// ordered one, with a lower token.
#[tokio::test]
async fn no_promotion_is_ordered_once_the_lease_has_ended() {
    let cluster = TestCluster::start(1).await;
    cluster.group.order_delay_ms.store(LEASE_MS + 200, Ordering::Release);
    let mut session = cluster.open(0, "bookings");
    cluster.group.set_up("m1", false);
    assert!(run(&mut session, "w1", "STORE a 1").await.is_err());
    let started = Instant::now();
    while cluster.group.orders_begun.load(Ordering::Acquire) == 0 {
        assert!(started.elapsed() < WAIT_LIMIT, "no promotion is ordered");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The lease is not renewed any more.
    cluster.store.is_down.store(true, Ordering::Release);
    tokio::time::sleep(Duration::from_millis(LEASE_MS + 500)).await;
    assert_eq!(cluster.group.promotions(), []);
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

/// How a write ended whose reply takes long, and which came first.
struct SlowWrite {
    outcome: Option<Failure>,
    is_ordered_first: bool,
}

/// Runs a write whose reply takes long at a primary that is being replaced meanwhile. The owner reads
/// the list of members once a second, so `phase_ms` decides when the promotion is ordered.
async fn write_slowly_during_a_move(is_commit: bool, phase_ms: u64) -> SlowWrite {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    if is_commit {
        run(&mut session, "b1", "BEGIN").await.expect("begun");
        run(&mut session, "w1", "STORE a 1").await.expect("written");
    }
    tokio::time::sleep(Duration::from_millis(phase_ms)).await;
    cluster.group.set_latency("m1", 1_500);
    let text = if is_commit { "COMMIT" } else { "STORE a 1" };
    let writing = async { (failure(&mut session, "x1", text).await, Instant::now()) };
    let ordering = async {
        drain_until_ordered(&cluster, "m1").await;
        Instant::now()
    };
    let ((outcome, ended_at), ordered_at) = tokio::join!(writing, ordering);
    cluster.wait_until_serving(0).await;
    SlowWrite { outcome, is_ordered_first: ordered_at < ended_at }
}

/// A reply of the former primary that came after the order was passed on as a success.
#[rstest]
#[case::single_write(false)]
#[case::commit(true)]
#[tokio::test]
async fn a_write_whose_reply_comes_after_the_change_of_primary_is_in_doubt(
    #[case] is_commit: bool,
) {
    for phase_ms in [0, 250, 500, 750] {
        let write = write_slowly_during_a_move(is_commit, phase_ms).await;
        if write.is_ordered_first {
            assert_eq!(write.outcome, Some(Failure::InDoubt));
            return;
        }
        // The former primary is given up a little before the order.
        assert!(matches!(write.outcome, None | Some(Failure::InDoubt)), "{:?}", write.outcome);
    }
    panic!("no promotion was ordered before the reply");
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

/// A primary adopted again by a status from before 20 acknowledged writes: replicas without them ran reads.
#[rstest]
#[case::kept_primary(false)]
#[case::refused_move(true)]
#[tokio::test]
async fn reads_include_acknowledged_writes_after_the_primary_is_adopted_again(
    #[case] is_moved: bool,
) {
    let cluster = TestCluster::start(1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(0, "bookings");
    for number in 0..20 {
        run(&mut session, &format!("w{number}"), "STORE a 1").await.expect("written");
    }
    // Longer than the staleness bound of the lookups.
    tokio::time::sleep(Duration::from_millis(700)).await;
    cluster.group.are_orders_refused.store(true, Ordering::Release);
    if is_moved {
        let mut entries = cluster.group.entries();
        entries[0].is_draining = true;
        cluster.store.set_members(entries);
    }
    cluster.group.set_latency("m2", 20);
    cluster.group.set_latency("m3", 20);
    let readers = (0..4).map(|reader| {
        let mut session = cluster.open(0, "lookups");
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let mut served = 0;
            for number in 0..80 {
                let ended = run(&mut session, &format!("r{reader}-{number}"), "FETCH a").await;
                served += usize::from(ended.is_ok());
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            served
        })
    });
    let mut served = 0;
    for reader in readers.collect::<Vec<_>>() {
        served += reader.await.expect("the reader ends");
    }
    assert!(served > 0, "no read was served");
    assert_eq!(is_moved, !cluster.group.promotions().is_empty(), "whether a move was ordered");
    let executed = cluster.group.executed("m3");
    let stale: Vec<&String> = executed.iter().filter(|ran| ran.starts_with('r')).collect();
    assert!(stale.is_empty(), "{} reads lacked writes, first {:?}", stale.len(), stale.first());
}
