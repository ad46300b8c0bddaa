//! Promotions while no member that answers has every acknowledged commit.

use std::time::Duration;

use proptest::prelude::*;

use crate::test_cluster::PROMOTION_WAIT_MS;
use crate::test_cluster::TestCluster;
use crate::test_cluster::run;
use snipehead_core::commit_protection::CommitLoss;
use snipehead_core::commit_protection::CommitProtection;
use snipehead_core::commit_protection::Verdict;
use snipehead_core::failover::REFUSED_LIMIT_MS;
use snipehead_core::log_position::LogPosition;

const LIMIT_MS: u64 = 1_000;

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
        let member = "m2".into();
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
                    let verdict =
                        protection.check(now_ms, LIMIT_MS, Some(acknowledged), &member, held);
                    let is_complete = held >= acknowledged;
                    let since_ms = match is_complete {
                        true => lost_since_ms.unwrap_or(now_ms),
                        false => *lost_since_ms.get_or_insert(now_ms),
                    };
                    let expected = match (is_complete, now_ms - since_ms < LIMIT_MS) {
                        (true, _) => Verdict::Complete,
                        (false, true) => Verdict::Wait,
                        (false, false) => Verdict::Incomplete(CommitLoss {
                            member: member.clone(),
                            acknowledged,
                            held,
                        }),
                    };
                    prop_assert_eq!(verdict, expected);
                }
            }
        }
    }
}

#[test]
fn an_owner_that_has_served_no_primary_does_not_wait() {
    let mut protection = CommitProtection::default();
    let held = LogPosition::new(1, 5);
    let verdict = protection.check(0, LIMIT_MS, None, &"m2".into(), held);
    assert_eq!(verdict, Verdict::Complete);
    assert!(!protection.is_waiting());
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
