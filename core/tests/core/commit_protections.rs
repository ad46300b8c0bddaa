//! Promotions while no member that answers has every acknowledged commit.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::test_cluster::APPLY_LIMIT_MS;
use crate::test_cluster::PROMOTION_WAIT_MS;
use crate::test_cluster::TestCluster;
use crate::test_cluster::run;
use snipehead_core::commit_checkpoint::CommitCheckpoint;
use snipehead_core::commit_protection::CommitEvidence;
use snipehead_core::commit_protection::CommitLoss;
use snipehead_core::commit_protection::CommitProtection;
use snipehead_core::commit_protection::Verdict;
use snipehead_core::failover::MemberView;
use snipehead_core::failover::REFUSED_LIMIT_MS;
use snipehead_core::failover::SILENT_LIMIT_MS;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::outcome::Failure;
use snipehead_core::promotion_order::EFFECT_LIMIT_MS;

const LIMIT_MS: u64 = 1_000;

const POSITION: LogPosition = LogPosition { term: 1, position: 9 };

fn view(number: u64, position: LogPosition) -> MemberView {
    MemberView {
        key: MemberKey { id: format!("m{number}").into(), incarnation: 1 },
        must_leave: false,
        failing_since_ms: None,
        is_refused: false,
        status: Some(MemberStatus { is_primary: false, term: position.term, position }),
        position,
        position_at_ms: 1_000_000,
        is_unpromotable: false,
    }
}

/// An event while a primary is lost.
#[derive(Clone, Debug)]
enum Event {
    /// Time passes until the next check.
    Check { after_ms: u64 },
    /// The best successor receives entries, in its term or as one that follows the next.
    Receive { entries: u64, is_next_term: bool },
    /// The primary answers again, and commits are acknowledged before it is lost once more.
    Return { commits: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (0..400_u64).prop_map(|after_ms| Event::Check { after_ms }),
        2 => (1..4_u64, prop::bool::weighted(0.1))
            .prop_map(|(entries, is_next_term)| Event::Receive { entries, is_next_term }),
        1 => (0..5_u64).prop_map(|commits| Event::Return { commits }),
    ];
    prop::collection::vec(event, 1..60)
}

proptest! {
    /// A successor that has everything is promoted at once; another one only after the primary has
    /// been lost for the whole limit, and then the loss is told in full.
    #[test]
    fn acknowledged_commits_are_lost_only_after_the_limit(
        lag in 0..4_u64,
        schedule in events(),
    ) {
        let mut protection = CommitProtection::default();
        let mut acknowledged = LogPosition::new(1, 10);
        let mut held = LogPosition::new(1, 10 - lag);
        let mut now_ms = 5_000;
        let mut lost_since_ms = None;
        for event in schedule {
            match event {
                Event::Receive { entries, is_next_term } => {
                    held.position += entries;
                    held.term += u64::from(is_next_term);
                }
                Event::Return { commits } => {
                    acknowledged.position += commits;
                    protection.end_wait();
                    lost_since_ms = None;
                }
                Event::Check { after_ms } => {
                    now_ms += after_ms;
                    let evidence = CommitEvidence {
                        acknowledged: Some(acknowledged),
                        sync_replicas: Some(0),
                        ..CommitEvidence::default()
                    };
                    let successor = view(2, held);
                    let member = successor.key.clone();
                    let members = [successor];
                    let verdict = protection.choose(now_ms, LIMIT_MS, &evidence, &members, None);
                    let is_complete = held >= acknowledged;
                    let since_ms = match is_complete {
                        true => lost_since_ms.unwrap_or(now_ms),
                        false => *lost_since_ms.get_or_insert(now_ms),
                    };
                    let expected = match (is_complete, now_ms - since_ms < LIMIT_MS) {
                        (true, _) => Verdict::Complete(member),
                        (false, true) => Verdict::Wait,
                        (false, false) => {
                            let loss = CommitLoss { member: member.id.clone(), acknowledged, held };
                            Verdict::Incomplete(member, loss)
                        }
                    };
                    prop_assert_eq!(verdict, expected);
                }
            }
        }
    }
}

#[test]
fn an_owner_that_has_served_no_primary_does_not_wait_without_synchronous_replicas() {
    let mut protection = CommitProtection::default();
    let members = [view(2, LogPosition::new(1, 5))];
    let evidence = CommitEvidence { sync_replicas: Some(0), ..CommitEvidence::default() };
    let verdict = protection.choose(0, LIMIT_MS, &evidence, &members, None);
    assert_eq!(verdict, Verdict::Complete(members[0].key.clone()));
    assert!(!protection.is_waiting());
}

/// A new owner, whose predecessor had died with the primary, took the only log that it read for complete.
#[test]
fn an_owner_that_has_served_no_primary_counts_the_logs_of_synchronous_replicas() {
    let mut protection = CommitProtection::default();
    let members = (1..=3).map(|number| view(number, POSITION).key).collect();
    let evidence = CommitEvidence {
        sync_replicas: Some(1),
        checkpoint: Some(CommitCheckpoint::new(LogPosition::new(1, 0), 1, members)),
        ..CommitEvidence::default()
    };
    let silent = |number| MemberView { failing_since_ms: Some(1), ..view(number, POSITION) };
    let mut members = [silent(1), silent(2), view(3, LogPosition::new(1, 5))];
    let mut choose = |members: &[MemberView]| {
        protection.choose(9 * LIMIT_MS, LIMIT_MS, &evidence, members, None)
    };
    assert_eq!(choose(&members), Verdict::Wait);
    members[1] = view(2, POSITION);
    assert_eq!(choose(&members), Verdict::Complete(members[1].key.clone()));
    // A member that has left the service took its copies with it, so the first one is waited for.
    assert_eq!(choose(&[silent(1), members[2].clone()]), Verdict::Wait);
    assert_eq!(choose(&[members[2].clone()]), Verdict::Complete(members[2].key.clone()));
}

/// Commits of earlier terms may be at the primary of the present one only, whatever number of logs is read.
#[test]
fn a_log_without_the_base_is_not_proven_by_the_number_of_logs() {
    let mut protection = CommitProtection::default();
    let keys = (2..=3).map(|number| view(number, POSITION).key).collect();
    let base = LogPosition::new(1, 8);
    let evidence = CommitEvidence {
        sync_replicas: Some(1),
        checkpoint: Some(CommitCheckpoint::new(base, 1, keys)),
        ..CommitEvidence::default()
    };
    let silent = MemberView { failing_since_ms: Some(1), ..view(2, POSITION) };
    let mut choose = |position| {
        let members = [silent.clone(), view(3, position)];
        protection.choose(9 * LIMIT_MS, LIMIT_MS, &evidence, &members, None)
    };
    assert_eq!(choose(LogPosition::new(1, 7)), Verdict::Wait);
    assert_eq!(choose(base), Verdict::Complete(view(3, base).key));
}

/// Guards against a number of synchronous replicas that is not known, and was taken for none.
#[test]
fn nobody_is_promoted_while_the_number_of_synchronous_replicas_is_unknown() {
    let mut protection = CommitProtection::default();
    let members = [view(2, POSITION), view(3, POSITION)];
    let evidence = CommitEvidence::default();
    let verdict = protection.choose(9 * LIMIT_MS, LIMIT_MS, &evidence, &members, None);
    assert_eq!(verdict, Verdict::Wait);
    assert!(protection.is_unlimited());
}

/// Starts a cluster in which only the primary has the last acknowledged write, and stops the primary.
async fn lose_primary_with_newest_write() -> TestCluster {
    let cluster = TestCluster::start(1).await;
    ["m2", "m3"].iter().for_each(|member| cluster.group.stall_replication(member));
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.set_up("m1", false);
    cluster
}

#[tokio::test]
async fn a_lost_primary_that_returns_within_the_limit_keeps_its_commits() {
    let cluster = lose_primary_with_newest_write().await;
    // The write lets the owner find out that the primary is lost.
    let mut session = cluster.open(0, "bookings");
    let write = tokio::spawn(async move { run(&mut session, "w2", "STORE a 2").await });
    tokio::time::sleep(Duration::from_millis(REFUSED_LIMIT_MS + PROMOTION_WAIT_MS / 2)).await;
    cluster.group.set_up("m1", true);
    cluster.wait_until_serving(0).await;
    assert!(write.await.is_ok());
    assert_eq!(cluster.group.promotions(), []);
    assert_eq!(cluster.group.primary().as_deref(), Some("m1"));
}

#[tokio::test]
async fn commits_that_a_promotion_loses_are_reported() {
    let cluster = lose_primary_with_newest_write().await;
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.promotions().len(), 1);
    let metrics = cluster.hosts[0].node.render_metrics();
    assert!(metrics.contains("commits_lost_by_promotions 1\n"), "{metrics}");
    let (_, report) = cluster.hosts[0].node.health_report();
    assert!(report.contains("lost up to 1 acknowledged commits"), "{report}");
}

#[tokio::test]
async fn a_successor_that_has_every_commit_is_promoted_at_once() {
    let cluster = TestCluster::start(1).await;
    let mut session = cluster.open(0, "bookings");
    run(&mut session, "w1", "STORE a 1").await.expect("written");
    cluster.group.set_up("m1", false);
    cluster.wait_until_serving(0).await;
    let metrics = cluster.hosts[0].node.render_metrics();
    assert!(!metrics.contains("commits_lost"), "{metrics}");
}

/// Starts a cluster with one synchronous replica, in which the second member has every acknowledged
/// write and the third one none.
async fn start_with_one_complete_replica() -> TestCluster {
    let cluster = TestCluster::start(1).await;
    cluster.set_sync_replicas(1).await;
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(0, "bookings");
    for number in 0..5 {
        run(&mut session, &format!("w{number}"), "STORE a 1").await.expect("written");
    }
    cluster
}

/// Waits for longer than a promotion without synchronous replicas would.
async fn lose_primary(cluster: &TestCluster) {
    cluster.group.set_up("m1", false);
    tokio::time::sleep(Duration::from_millis(SILENT_LIMIT_MS + 3 * PROMOTION_WAIT_MS)).await;
}

/// A draining replica that had every acknowledged write was left out, and one that lacked them promoted.
#[tokio::test]
async fn a_draining_replica_with_the_log_leads_until_another_one_has_it() {
    let cluster = start_with_one_complete_replica().await;
    let mut entries = cluster.group.entries();
    entries[1].is_draining = true;
    cluster.store.set_members(entries);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    lose_primary(&cluster).await;
    let ordered = cluster.group.promotions();
    assert_eq!(ordered.iter().map(|(member, _)| &**member).collect::<Vec<_>>(), ["m2"]);
    assert!(cluster.group.executed("m2").iter().all(|statement| !statement.contains("FETCH")));
    cluster.group.recover("m3");
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m3"));
}

/// A replica for which an order had been refused was set aside, and one that lacked writes promoted.
#[tokio::test]
async fn a_refused_order_is_repeated_for_the_replica_with_the_log() {
    let cluster = start_with_one_complete_replica().await;
    cluster.group.are_orders_refused.store(true, Ordering::Release);
    lose_primary(&cluster).await;
    cluster.group.are_orders_refused.store(false, Ordering::Release);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
    let ordered = cluster.group.promotions();
    assert!(ordered.len() > 1, "the order was not repeated: {ordered:?}");
    assert!(ordered.iter().all(|(member, _)| member == "m2"), "{ordered:?}");
}

/// With a synchronous replica that is lost together with the primary, the service waits for it.
#[tokio::test]
async fn no_replica_without_the_log_is_promoted_while_another_one_may_have_it() {
    let cluster = start_with_one_complete_replica().await;
    cluster.group.set_up("m2", false);
    lose_primary(&cluster).await;
    assert_eq!(cluster.group.promotions(), []);
    let mut session = cluster.open(0, "bookings");
    let started = Instant::now();
    let refusal = run(&mut session, "w9", "STORE a 1").await.expect_err("there is no primary");
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "refused after {:?}",
        started.elapsed()
    );
    assert_eq!(refusal.failure, Failure::Busy);
    assert!(refusal.detail.contains("retry after 1000 ms"), "{}", refusal.detail);
    cluster.group.set_up("m2", true);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
}

/// Guards against review/11: after an outage of the store, a new owner took the log of the only listed member
/// for complete and had it promoted, although the primary and the replica with all commits ran.
#[tokio::test]
async fn a_new_owner_waits_for_members_that_are_not_listed_yet() {
    let mut cluster = TestCluster::start(1).await;
    cluster.set_sync_replicas(1).await;
    // The number of synchronous replicas counts once every member must have applied it.
    tokio::time::sleep(Duration::from_millis(APPLY_LIMIT_MS)).await;
    cluster.group.stall_replication("m3");
    let mut session = cluster.open(0, "bookings");
    for number in 0..5 {
        run(&mut session, &format!("w{number}"), "STORE a 1").await.expect("written");
    }
    let entries = cluster.group.entries();
    cluster.store.set_members(entries[2..].to_vec());
    cluster.restart_host(0).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(cluster.group.promotions(), []);
    cluster.store.set_members(entries);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m1"));
    assert_eq!(cluster.group.promotions(), []);
}

/// Guards against review/12: after one promotion the successor was left out of the unread logs when it was
/// lost too, although it was the last member with the commits of the term before.
#[tokio::test]
async fn a_lost_successor_that_alone_has_the_commits_is_waited_for() {
    let cluster = start_with_one_complete_replica().await;
    lose_primary(&cluster).await;
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
    cluster.store.set_members(cluster.group.entries()[1..].to_vec());
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    cluster.group.set_up("m2", false);
    tokio::time::sleep(Duration::from_millis(SILENT_LIMIT_MS + 3 * PROMOTION_WAIT_MS)).await;
    let promoted = cluster.group.promotions();
    assert_eq!(promoted.iter().map(|(member, _)| &**member).collect::<Vec<_>>(), ["m2"]);
    cluster.group.set_up("m2", true);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary().as_deref(), Some("m2"));
}

/// Guards against review/13: a former primary with the log of an ended term was promoted while the members of
/// the newer term were dark, and reads of that term lacked commits that came back.
#[tokio::test]
async fn a_former_primary_is_not_promoted_with_the_log_of_an_ended_term() {
    let cluster = lose_primary_with_newest_write().await;
    cluster.wait_until_serving(0).await;
    let successor = cluster.group.primary().expect("a member leads");
    ["m2", "m3"].iter().for_each(|member| cluster.group.set_up(member, false));
    cluster.group.restart_as_stale_primary("m1");
    tokio::time::sleep(Duration::from_millis(SILENT_LIMIT_MS + 3 * PROMOTION_WAIT_MS)).await;
    assert_eq!(cluster.group.promotions().len(), 1, "{:?}", cluster.group.promotions());
    let mut session = cluster.open(0, "bookings");
    let refusal = run(&mut session, "w9", "STORE a 1").await.expect_err("there is no primary");
    assert_eq!(refusal.failure, Failure::Busy);
    assert!(refusal.detail.contains("retry after 1000 ms"), "{}", refusal.detail);
    cluster.group.set_up(&successor, true);
    cluster.wait_until_serving(0).await;
    assert_eq!(cluster.group.primary(), Some(successor));
    assert_eq!(cluster.group.promotions().len(), 1);
}

/// Guards against a pending promotion that a new owner resumes although the member has lost its log since.
#[tokio::test]
async fn a_promotion_is_not_resumed_for_a_member_that_lacks_commits() {
    let mut cluster = start_with_one_complete_replica().await;
    // The number of synchronous replicas counts once every member must have applied it.
    tokio::time::sleep(Duration::from_millis(APPLY_LIMIT_MS)).await;
    cluster.group.are_orders_unanswered.store(true, Ordering::Release);
    cluster.group.set_unpromotable("m2");
    lose_primary(&cluster).await;
    let ordered = cluster.group.promotions();
    assert!(!ordered.is_empty() && ordered.iter().all(|(member, _)| member == "m2"), "{ordered:?}");
    cluster.group.set_up("m2", false);
    cluster.kill(0).await;
    cluster.group.start_anew("m2");
    cluster.group.set_up("m2", true);
    cluster.store.set_members(cluster.group.entries());
    cluster.restart_host(0).await;
    // Longer than an order that was given before may take.
    tokio::time::sleep(Duration::from_millis(EFFECT_LIMIT_MS + 2_500)).await;
    assert_eq!(cluster.group.promotions(), ordered);
    cluster.group.set_up("m1", true);
    cluster.wait_until_serving(0).await;
    let later = cluster.group.promotions().split_off(ordered.len());
    assert!(later.iter().all(|(member, _)| member == "m1"), "{later:?}");
}
