//! Tests of the durability of writes: an acknowledged write is kept, every write runs at most once,
//! and a write that is reported as not run has not run.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use crate::harness::cluster::Cluster;
use crate::harness::history::Writers;
use crate::harness::sql_client::Outcome;
use snipehead::stand_in::fault_proxy::Fault;

/// Maximum time without an acknowledged write during a failover, as the current target sets it.
const MAX_GAP_MS: u64 = 2_000;

/// Fault of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PrimaryFault {
    /// It loses all connections.
    Isolated,
    /// It and one daemon can reach only each other.
    IsolatedWithOneDaemon,
    /// Its connections stay open, but all bytes on them are held back until the fault is cleared.
    Stalled,
    /// It loses only its connections to the other members.
    NoReplication,
}

#[rstest]
#[case(PrimaryFault::Isolated)]
#[case(PrimaryFault::IsolatedWithOneDaemon)]
#[case(PrimaryFault::Stalled)]
#[case(PrimaryFault::NoReplication)]
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_writes_survive_the_loss_of_the_primary(#[case] fault: PrimaryFault) {
    let cluster = Arc::new(Cluster::start(4).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[1, 2, 3], 2).await;
    let isolated_writers = Writers::start_with_id_offset(&cluster, &[0], 2, 500_000_000).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let primary = cluster.primary();
    match fault {
        PrimaryFault::Isolated => cluster.isolate_member(primary, None, Fault::disconnect()),
        PrimaryFault::IsolatedWithOneDaemon => {
            cluster.isolate_member(primary, Some(0), Fault::disconnect());
            cluster.isolate_daemon(0, Some(primary), Fault::disconnect());
        }
        PrimaryFault::Stalled => cluster.isolate_member(primary, None, Fault::stall()),
        PrimaryFault::NoReplication => cluster.set_replication_fault(primary, Fault::disconnect()),
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let new_primary = cluster.primary();
    assert_ne!(new_primary, primary, "no other member became primary; logs: {}", cluster.logs());
    cluster.clear_faults();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let history = writers.stop().await;
    let isolated_history = isolated_writers.stop().await;
    assert!(history.acknowledged_count() > 50, "too few writes were acknowledged");
    history.assert_consistent(&cluster, "notes");
    isolated_history.assert_consistent(&cluster, "notes");
    assert_eq!(cluster.primaries().len(), 1, "not exactly one member considers itself primary");
    println!(
        "{fault:?}: longest gap {} ms, {} failures",
        history.longest_gap_ms(),
        history.failures().len()
    );
    let max_gap_ms = match fault {
        // The primary still responds to daemons, so it is replaced only after the other members
        // have received nothing from it for a longer time.
        PrimaryFault::NoReplication => 2 * MAX_GAP_MS,
        _ => MAX_GAP_MS,
    };
    let gap_ms = history.longest_gap_ms();
    assert!(gap_ms < max_gap_ms, "the longest gap was {gap_ms} ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_failover_fails_no_write() {
    let cluster = Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[0, 1, 2], 2).await;
    for round in 0..6 {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let operator = cluster.operator(&format!("host{:02}", round % 3 + 1));
        let moving = snipehead::operator::api::OperatorApiClient::move_primary(
            &operator,
            "dispatch".to_owned(),
            String::new(),
        );
        if let Err(error) = moving.await {
            panic!("round {round}: {error}; logs: {}", cluster.logs());
        }
    }
    let history = writers.stop().await;
    assert_eq!(history.failures(), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
    println!("longest gap {} ms", history.longest_gap_ms());
    assert!(history.longest_gap_ms() < MAX_GAP_MS);
}

#[tokio::test(flavor = "multi_thread")]
async fn write_without_request_id_runs_at_most_once_at_every_reset_point() {
    let cluster = Cluster::start(2).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let mut not_run_count = 0;
    for reset_index in 0..40_u64 {
        let primary = cluster.primary();
        let sql = cluster.connect(1).await;
        // Leaves an idle connection to a member. If it is the primary, the reset hits the write and
        // not the start-up of a new connection.
        sql.run_ok("SELECT COUNT(*) FROM notes").await;
        let bytes = reset_index / 2 * 4;
        let fault = match reset_index % 2 {
            0 => Fault { reset_after_request_bytes: Some(bytes), ..Fault::default() },
            _ => Fault { reset_after_response_bytes: Some(bytes), ..Fault::default() },
        };
        (0..2).for_each(|daemon| cluster.set_member_fault(daemon, primary, fault));
        let outcome = sql.run(&format!("INSERT INTO notes VALUES ({reset_index}, 'x')")).await;
        cluster.clear_faults();
        tokio::time::sleep(Duration::from_millis(60)).await;
        let count = cluster.count(&format!("SELECT COUNT(*) FROM notes WHERE id = {reset_index}"));
        match &outcome {
            Outcome::Done(_) => assert_eq!(count, 1, "reset {reset_index}: acknowledged"),
            outcome if outcome.is_known_not_run() => {
                not_run_count += 1;
                assert_eq!(count, 0, "reset {reset_index}: the write ran despite {outcome:?}");
            }
            _ => assert!(count <= 1, "reset {reset_index}: the write ran {count} times"),
        }
    }
    println!("{not_run_count} writes were reported as not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_id_runs_once_through_two_daemons() {
    let cluster = Cluster::start(3).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    for round in 0..20 {
        let options = format!("-c snipehead.request_id=visit-{round}");
        let first_caller = cluster.try_connect(0, &options).await.expect("the caller is admitted");
        let second_caller = cluster.try_connect(1, &options).await.expect("the caller is admitted");
        let sql = format!("INSERT INTO visits VALUES ({round}, 'Abay 5')");
        let (first, second) = tokio::join!(first_caller.run(&sql), second_caller.run(&sql));
        assert!(first.is_done(), "{first:?}");
        assert!(second.is_done(), "{second:?}");
        let count = cluster.count(&format!("SELECT COUNT(*) FROM visits WHERE id = {round}"));
        assert_eq!(count, 1, "round {round}: the write did not run exactly once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_id_runs_once_despite_lost_responses_and_failover() {
    let cluster = Cluster::start(3).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    for round in 0..24_u64 {
        let primary = cluster.primary();
        if round % 12 == 11 {
            cluster.isolate_member(primary, None, Fault::disconnect());
        } else {
            let fault = Fault { reset_after_response_bytes: Some(round * 16), ..Fault::default() };
            (0..3).for_each(|daemon| cluster.set_member_fault(daemon, primary, fault));
        }
        let sql = format!("INSERT INTO visits VALUES ({round}, 'Abay 5')");
        let mut is_done = false;
        for attempt in 0..12 {
            let options = format!("-c snipehead.request_id=visit-{round}");
            let Ok(caller) = cluster.try_connect((attempt % 3) as usize, &options).await else {
                continue;
            };
            let outcome = caller.run(&sql).await;
            if outcome.is_done() {
                is_done = true;
                break;
            }
            if attempt == 0 {
                cluster.clear_faults();
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        assert!(is_done, "round {round}: no attempt succeeded");
        cluster.clear_faults();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let count = cluster.count(&format!("SELECT COUNT(*) FROM visits WHERE id = {round}"));
        assert_eq!(count, 1, "round {round}: the write did not run exactly once");
    }
}
