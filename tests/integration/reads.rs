//! Sessions see their own writes, wherever they go.

use std::time::Duration;

use rstest::rstest;

use crate::harness::cluster::Cluster;
use snipehead::stand_in::fault_proxy::Fault;

/// What is wrong while a session moves.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    ReplicasBehind,
    ReaderCutFromPrimary,
    AfterFailover,
}

#[rstest]
#[case(Trouble::Nothing, false)]
#[case(Trouble::Nothing, true)]
#[case(Trouble::ReplicasBehind, false)]
#[case(Trouble::ReplicasBehind, true)]
#[case(Trouble::ReaderCutFromPrimary, false)]
#[case(Trouble::ReaderCutFromPrimary, true)]
#[case(Trouble::AfterFailover, false)]
#[case(Trouble::AfterFailover, true)]
#[tokio::test(flavor = "multi_thread")]
async fn session_reads_its_write_on_every_daemon(
    #[case] trouble: Trouble,
    #[case] has_token: bool,
) {
    let cluster = Cluster::start(3).await;
    let writer = cluster.connect(0).await;
    writer.run_ok("CREATE TABLE bookings (id BIGINT, house TEXT)").await;
    if matches!(trouble, Trouble::ReplicasBehind) {
        (1..3).for_each(|replica| cluster.member(replica).set_apply_lag_ms(30_000));
    }
    for round in 1..=5_i64 {
        writer.run_ok(&format!("INSERT INTO bookings VALUES ({round}, 'Abay 5')")).await;
        let token = writer.run_ok("SHOW snipehead.token").await.remove(0);
        if matches!(trouble, Trouble::AfterFailover) && round == 3 {
            let primary = cluster.primary();
            cluster.isolate_member(primary, None, Fault::disconnect());
            tokio::time::sleep(Duration::from_millis(2_500)).await;
        }
        for daemon in 0..3 {
            if matches!(trouble, Trouble::ReaderCutFromPrimary) {
                cluster.set_member_fault(daemon, cluster.primary(), Fault::disconnect());
            }
            let options = match has_token {
                true => format!("-c snipehead.token={token}"),
                false => String::new(),
            };
            let reader = cluster.try_connect(daemon, &options).await.expect("admitted");
            let count = reader.run("SELECT COUNT(*) FROM bookings").await.as_i64();
            assert_eq!(count, round, "daemon {daemon} showed a stale answer");
            if matches!(trouble, Trouble::ReaderCutFromPrimary) {
                cluster.clear_faults();
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_on_a_cut_off_side_never_sees_less_than_it_wrote() {
    let cluster = Cluster::start(3).await;
    let writer = cluster.connect(1).await;
    writer.run_ok("CREATE TABLE bookings (id BIGINT, house TEXT)").await;
    writer.run_ok("INSERT INTO bookings VALUES (1, 'a')").await;
    let primary = cluster.primary();
    // The primary and daemon 0 see only each other.
    cluster.isolate_member(primary, Some(0), Fault::disconnect());
    cluster.isolate_daemon(0, Some(primary), Fault::disconnect());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    writer.run_ok("INSERT INTO bookings VALUES (2, 'b')").await;
    let until = tokio::time::Instant::now() + Duration::from_secs(6);
    while tokio::time::Instant::now() < until {
        // The session moves to the cut-off daemon: it is refused, or sees both records.
        if let Ok(reader) = cluster.try_connect(0, "").await {
            let outcome = reader.run("SELECT COUNT(*) FROM bookings").await;
            if outcome.is_done() {
                assert_eq!(outcome.as_i64(), 2, "the cut-off daemon showed a stale answer");
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_of_an_accepted_age_are_no_older_than_that() {
    let cluster = Cluster::start(3).await;
    let writer = cluster.connect(0).await;
    writer.run_ok("CREATE TABLE closures (id BIGINT, state TEXT)").await;
    // Data of the accepted age may be from before the table was made.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    (1..3).for_each(|replica| cluster.member(replica).set_apply_lag_ms(1_500));
    let reader = cluster.try_connect(1, "-c snipehead.max_age_ms=3000").await.expect("admitted");
    let mut written = Vec::new();
    for id in 1..=40_i64 {
        writer.run_ok(&format!("INSERT INTO closures VALUES ({id}, 'closed')")).await;
        written.push((id, tokio::time::Instant::now()));
        let asked_at = tokio::time::Instant::now();
        let seen = reader.run("SELECT COUNT(*) FROM closures").await.as_i64();
        let age = Duration::from_millis(3_000);
        let due = written.iter().filter(|(_, at)| *at + age <= asked_at).count() as i64;
        assert!(seen >= due, "saw {seen} of {due} records that were older than the accepted age");
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let report = cluster.operator("host02");
    let status =
        snipehead::operator::api::OperatorApiClient::status(&report).await.expect("status");
    let reading = &status.workspaces[0].reading;
    assert!(reading.replica_reads * 10 >= reading.reads * 8, "replicas served {reading:?}");
}
