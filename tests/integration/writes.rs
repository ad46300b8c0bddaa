//! Acknowledged writes are kept, each lands at most once, and "not run" is true.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use crate::harness::cluster::Cluster;
use crate::harness::history::Writers;
use crate::harness::sql_client::Outcome;
use snipehead::stand_in::fault_proxy::Fault;

/// Longest gap in service that today's target allows.
const MAX_GAP_MS: u64 = 2_000;

/// What happens to the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// It is cut off from all others.
    Cut,
    /// It sees only one daemon, which sees only it.
    CutWithDaemon,
    /// Everything to and from it is held for a while, and then arrives.
    Frozen,
    /// Only its way to the other members is cut.
    CutFromMembers,
}

#[rstest]
#[case(Loss::Cut)]
#[case(Loss::CutWithDaemon)]
#[case(Loss::Frozen)]
#[case(Loss::CutFromMembers)]
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_writes_survive_the_loss_of_the_primary(#[case] loss: Loss) {
    let cluster = Arc::new(Cluster::start(4).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[1, 2, 3], 2).await;
    let isolated = Writers::start_with_ids_from(&cluster, &[0], 2, 500_000_000).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let primary = cluster.primary();
    match loss {
        Loss::Cut => cluster.isolate_member(primary, None, Fault::disconnect()),
        Loss::CutWithDaemon => {
            cluster.isolate_member(primary, Some(0), Fault::disconnect());
            cluster.isolate_daemon(0, Some(primary), Fault::disconnect());
        }
        Loss::Frozen => cluster.isolate_member(primary, None, Fault::stall()),
        Loss::CutFromMembers => cluster.set_replication_fault(primary, Fault::disconnect()),
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let next = cluster.primary();
    assert_ne!(next, primary, "another member became primary; logs: {}", cluster.logs());
    cluster.clear_faults();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let history = writers.stop().await;
    let other = isolated.stop().await;
    assert!(history.acknowledged_count() > 50, "writes went on");
    history.assert_consistent(&cluster, "notes");
    other.assert_consistent(&cluster, "notes");
    assert_eq!(cluster.primaries().len(), 1, "one primary is left");
    println!(
        "{loss:?}: longest gap {} ms, {} failures",
        history.longest_gap_ms(),
        history.failures().len()
    );
    let bound = match loss {
        // The primary still answers, and is deposed only once its members have long been deaf.
        Loss::CutFromMembers => 2 * MAX_GAP_MS,
        _ => MAX_GAP_MS,
    };
    let gap_ms = history.longest_gap_ms();
    assert!(gap_ms < bound, "the gap was {gap_ms} ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_change_of_primary_refuses_no_write() {
    let cluster = Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[0, 1, 2], 2).await;
    for round in 0..6 {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let operator = cluster.operator(&format!("host{:02}", round % 3 + 1));
        let moved = snipehead::operator::api::OperatorApiClient::move_primary(
            &operator,
            "dispatch".to_owned(),
            String::new(),
        );
        if let Err(error) = moved.await {
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
async fn write_without_id_lands_at_most_once_at_every_cut_point() {
    let cluster = Cluster::start(2).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let mut said_not_run = 0;
    for cut in 0..40_u64 {
        let primary = cluster.primary();
        let sql = cluster.connect(1).await;
        // Warm: the home has an idle connection, so that the cut falls into the exchange.
        sql.run_ok("SELECT COUNT(*) FROM notes").await;
        let bytes = cut / 2 * 4;
        let fault = match cut % 2 {
            0 => Fault { reset_after_request_bytes: Some(bytes), ..Fault::default() },
            _ => Fault { reset_after_response_bytes: Some(bytes), ..Fault::default() },
        };
        (0..2).for_each(|daemon| cluster.set_member_fault(daemon, primary, fault));
        let outcome = sql.run(&format!("INSERT INTO notes VALUES ({cut}, 'x')")).await;
        cluster.clear_faults();
        tokio::time::sleep(Duration::from_millis(60)).await;
        let count = cluster.count(&format!("SELECT COUNT(*) FROM notes WHERE id = {cut}"));
        match &outcome {
            Outcome::Done(_) => assert_eq!(count, 1, "cut {cut}: acknowledged"),
            outcome if outcome.is_known_not_run() => {
                said_not_run += 1;
                assert_eq!(count, 0, "cut {cut}: {outcome:?}");
            }
            _ => assert!(count <= 1, "cut {cut}: written {count} times"),
        }
    }
    println!("not run was said {said_not_run} times");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_id_runs_once_through_two_daemons() {
    let cluster = Cluster::start(3).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    for round in 0..20 {
        let options = format!("-c snipehead.request_id=visit-{round}");
        let one = cluster.try_connect(0, &options).await.expect("admitted");
        let other = cluster.try_connect(1, &options).await.expect("admitted");
        let sql = format!("INSERT INTO visits VALUES ({round}, 'Abay 5')");
        let (first, second) = tokio::join!(one.run(&sql), other.run(&sql));
        assert!(first.is_done(), "{first:?}");
        assert!(second.is_done(), "{second:?}");
        let count = cluster.count(&format!("SELECT COUNT(*) FROM visits WHERE id = {round}"));
        assert_eq!(count, 1, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_id_runs_once_over_lost_answers_and_a_failover() {
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
        assert!(is_done, "round {round} was never done");
        cluster.clear_faults();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let count = cluster.count(&format!("SELECT COUNT(*) FROM visits WHERE id = {round}"));
        assert_eq!(count, 1, "round {round}");
    }
}
