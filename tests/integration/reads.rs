//! Tests of read consistency: a session reads its own writes on every daemon, and reads with
//! bounded staleness return data no older than the bound.

use std::time::Duration;

use rstest::rstest;

use crate::harness::cluster::Cluster;
use snipehead::stand_in::fault_proxy::Fault;

/// Condition of the group while a session moves between daemons.
#[derive(Clone, Copy, Debug)]
enum Condition {
    Normal,
    /// The replicas apply log entries only 30 s after receiving them.
    ReplicasLag,
    /// The daemon to which the session moves cannot reach the primary.
    PrimaryUnreachable,
    /// The primary is isolated after some writes, so that another member becomes primary.
    AfterFailover,
}

#[rstest]
#[case(Condition::Normal, false)]
#[case(Condition::Normal, true)]
#[case(Condition::ReplicasLag, false)]
#[case(Condition::ReplicasLag, true)]
#[case(Condition::PrimaryUnreachable, false)]
#[case(Condition::PrimaryUnreachable, true)]
#[case(Condition::AfterFailover, false)]
#[case(Condition::AfterFailover, true)]
#[tokio::test(flavor = "multi_thread")]
async fn session_reads_its_writes_on_every_daemon(
    #[case] condition: Condition,
    #[case] has_token: bool,
) {
    let cluster = Cluster::start(3).await;
    let writer = cluster.connect(0).await;
    writer.run_ok("CREATE TABLE bookings (id BIGINT, house TEXT)").await;
    if matches!(condition, Condition::ReplicasLag) {
        (1..3).for_each(|replica| cluster.member(replica).set_apply_lag_ms(30_000));
    }
    for round in 1..=5_i64 {
        writer.run_ok(&format!("INSERT INTO bookings VALUES ({round}, 'Abay 5')")).await;
        let token = writer.run_ok("SHOW snipehead.token").await.remove(0);
        if matches!(condition, Condition::AfterFailover) && round == 3 {
            let primary = cluster.primary();
            cluster.isolate_member(primary, None, Fault::disconnect());
            tokio::time::sleep(Duration::from_millis(2_500)).await;
        }
        for daemon in 0..3 {
            if matches!(condition, Condition::PrimaryUnreachable) {
                cluster.set_member_fault(daemon, cluster.primary(), Fault::disconnect());
            }
            let options = match has_token {
                true => format!("-c snipehead.token={token}"),
                false => String::new(),
            };
            let reader =
                cluster.try_connect(daemon, &options).await.expect("the caller is admitted");
            let count = reader.run("SELECT COUNT(*) FROM bookings").await.as_i64();
            assert_eq!(count, round, "daemon {daemon} returned stale data");
            if matches!(condition, Condition::PrimaryUnreachable) {
                cluster.clear_faults();
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_daemon_never_returns_stale_reads() {
    let cluster = Cluster::start(3).await;
    let writer = cluster.connect(1).await;
    writer.run_ok("CREATE TABLE bookings (id BIGINT, house TEXT)").await;
    writer.run_ok("INSERT INTO bookings VALUES (1, 'a')").await;
    let primary = cluster.primary();
    // The primary and daemon 0 can reach only each other.
    cluster.isolate_member(primary, Some(0), Fault::disconnect());
    cluster.isolate_daemon(0, Some(primary), Fault::disconnect());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    writer.run_ok("INSERT INTO bookings VALUES (2, 'b')").await;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(6);
    while tokio::time::Instant::now() < deadline {
        // On the isolated daemon the session is refused or sees both rows.
        if let Ok(reader) = cluster.try_connect(0, "").await {
            let outcome = reader.run("SELECT COUNT(*) FROM bookings").await;
            if outcome.is_done() {
                assert_eq!(outcome.as_i64(), 2, "the isolated daemon returned stale data");
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bounded_staleness_reads_are_no_older_than_max_age() {
    let cluster = Cluster::start(3).await;
    let writer = cluster.connect(0).await;
    writer.run_ok("CREATE TABLE closures (id BIGINT, state TEXT)").await;
    // Waits longer than the maximum age, so that reads cannot miss the creation of the table.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    (1..3).for_each(|replica| cluster.member(replica).set_apply_lag_ms(1_500));
    let reader = cluster
        .try_connect(1, "-c snipehead.max_age_ms=3000")
        .await
        .expect("the caller is admitted");
    let mut written = Vec::new();
    for id in 1..=40_i64 {
        writer.run_ok(&format!("INSERT INTO closures VALUES ({id}, 'closed')")).await;
        written.push((id, tokio::time::Instant::now()));
        let requested_at = tokio::time::Instant::now();
        let seen_count = reader.run("SELECT COUNT(*) FROM closures").await.as_i64();
        let max_age = Duration::from_millis(3_000);
        let required_count =
            written.iter().filter(|(_, at)| *at + max_age <= requested_at).count() as i64;
        assert!(
            seen_count >= required_count,
            "saw {seen_count} rows, but {required_count} are older than the maximum age"
        );
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let operator = cluster.operator("host02");
    let status = snipehead::operator::api::OperatorApiClient::status(&operator)
        .await
        .expect("the status is returned");
    let reading = &status.workspaces[0].reading;
    assert!(
        reading.replica_reads * 10 >= reading.reads * 8,
        "replicas served less than 80 % of the reads: {reading:?}"
    );
}
