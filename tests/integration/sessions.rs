//! Tests of the isolation of sessions on pooled connections: transactions never mix, responses
//! belong to their requests, and session state never reaches another session.

use std::time::Duration;

use serde_json::json;

use crate::harness::cluster::Cluster;
use crate::harness::sql_client::Outcome;
use crate::harness::sql_client::SqlClient;
use snipehead::stand_in::deployment::DeploymentPlan;
use snipehead::stand_in::fault_proxy::Fault;

#[tokio::test(flavor = "multi_thread")]
async fn transaction_of_a_killed_daemon_is_rolled_back() {
    let mut cluster = Cluster::start(3).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    for round in 0..3_usize {
        let sql = cluster.connect(round).await;
        sql.run_ok("BEGIN").await;
        sql.run_ok(&format!("INSERT INTO notes VALUES ({round}, 'half')")).await;
        cluster.daemon(round).kill();
        let other = cluster.connect((round + 1) % 3).await;
        other.run_ok(&format!("INSERT INTO notes VALUES (10{round}, 'whole')")).await;
        let uncommitted_count =
            other.run_ok("SELECT COUNT(*) FROM notes WHERE note = 'half'").await;
        assert_eq!(uncommitted_count, ["0"]);
        cluster.start_daemon(&format!("host{:02}", round + 1));
        cluster.await_ready().await;
    }
    assert_eq!(cluster.count("SELECT COUNT(*) FROM notes WHERE note = 'whole'"), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_of_a_disconnected_caller_is_rolled_back() {
    let cluster = Cluster::start(2).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    for round in 0..20_usize {
        let disconnected = cluster.connect(round % 2).await;
        disconnected.run_ok("BEGIN").await;
        disconnected.run_ok(&format!("INSERT INTO notes VALUES ({round}, 'half')")).await;
        drop(disconnected);
        let next = cluster.connect(round % 2).await;
        next.run_ok(&format!("INSERT INTO notes VALUES (1{round:03}, 'whole')")).await;
        let status = next.run("COMMIT").await;
        assert!(status.is_done(), "COMMIT outside a transaction did not succeed: {status:?}");
    }
    assert_eq!(cluster.count("SELECT COUNT(*) FROM notes WHERE note = 'half'"), 0);
    assert_eq!(cluster.count("SELECT COUNT(*) FROM notes WHERE note = 'whole'"), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_transactions_never_mix() {
    let cluster = std::sync::Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let mut tasks = Vec::new();
    for caller in 0..9_usize {
        let cluster = cluster.clone();
        tasks.push(tokio::spawn(async move {
            let sql = cluster.connect(caller % 3).await;
            for round in 0..10 {
                sql.run_ok("BEGIN").await;
                sql.run_ok(&format!("INSERT INTO notes VALUES ({round}, 'c{caller}')")).await;
                let own =
                    format!("SELECT COUNT(*) FROM notes WHERE note = 'c{caller}' AND id = {round}");
                assert_eq!(sql.run_ok(&own).await, ["1"]);
                let end = if round % 2 == 0 { "COMMIT" } else { "ROLLBACK" };
                sql.run_ok(end).await;
            }
        }));
    }
    for task in tasks {
        task.await.expect("the caller does not panic");
    }
    assert_eq!(cluster.count("SELECT COUNT(*) FROM notes"), 9 * 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_request_never_reaches_another_caller() {
    let cluster = Cluster::start(2).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let sql = std::sync::Arc::new(cluster.connect(0).await);
    let token = sql.client.cancel_token();
    let running = tokio::spawn({
        let sql = sql.clone();
        async move { sql.run("SELECT pg_sleep(10)").await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let started_at = tokio::time::Instant::now();
    token.cancel_query(tokio_postgres::NoTls).await.expect("the cancel request is sent");
    let outcome = running.await.expect("the task does not panic");
    assert!(matches!(&outcome, Outcome::Error(code, _) if code == "57014"), "{outcome:?}");
    assert!(started_at.elapsed() < Duration::from_secs(2));
    for round in 0..50 {
        let token_clone = token.clone();
        let cancel =
            tokio::spawn(async move { token_clone.cancel_query(tokio_postgres::NoTls).await });
        let insert = sql.run(&format!("INSERT INTO notes VALUES ({round}, 'x')")).await;
        assert!(insert.is_done() || matches!(&insert, Outcome::Error(..)), "{insert:?}");
        let _ = cancel.await;
        let other = cluster.connect(0).await;
        let count = other.run("SELECT COUNT(*) FROM notes").await;
        assert!(count.is_done(), "another caller's request was cancelled: {count:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_request_through_another_daemon_is_forwarded() {
    let cluster = Cluster::start(2).await;
    let sql = std::sync::Arc::new(cluster.connect(0).await);
    let running = tokio::spawn({
        let sql = sql.clone();
        async move { sql.run("SELECT pg_sleep(8)").await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    // A load balancer may route the cancel request to any daemon.
    let other = cluster.deployment.hosts["host02"].caller;
    let stream =
        tokio::net::TcpStream::connect(other).await.expect("the daemon accepts the connection");
    sql.client
        .cancel_token()
        .cancel_query_raw(stream, tokio_postgres::NoTls)
        .await
        .expect("the cancel request is sent");
    let outcome = tokio::time::timeout(Duration::from_secs(4), running)
        .await
        .expect("the request is cancelled in time");
    assert!(matches!(outcome.expect("the task ends"), Outcome::Error(code, _) if code == "57014"));
}

#[tokio::test(flavor = "multi_thread")]
async fn session_settings_are_accepted_and_stateful_statements_are_refused() {
    let cluster = Cluster::start(1).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("SET statement_timeout = '12345'").await;
    sql.run_ok("SELECT 1").await;
    for refused in [
        "CREATE TEMPORARY TABLE t (id BIGINT)",
        "LISTEN bookings",
        "SELECT pg_advisory_lock(1)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "SET work_mem = '1GB'",
        "SET ROLE postgres",
        "COPY notes TO STDOUT",
        "PREPARE p AS SELECT 1",
    ] {
        let outcome = sql.run(refused).await;
        assert!(
            matches!(&outcome, Outcome::Error(code, _) if code == "0A000"),
            "{refused}: {outcome:?}"
        );
        sql.run_ok("SELECT 1").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_work_over_pooled_connections() {
    let cluster = Cluster::start(3).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let mut callers: Vec<SqlClient> = Vec::new();
    for daemon in 0..3 {
        callers.push(cluster.connect(daemon).await);
    }
    let mut statements = Vec::new();
    for caller in &callers {
        let types = [tokio_postgres::types::Type::INT8, tokio_postgres::types::Type::TEXT];
        let insert = caller.client.prepare_typed("INSERT INTO notes VALUES ($1, $2)", &types).await;
        let count = caller.client.prepare("SELECT COUNT(*) FROM notes").await;
        statements.push((
            insert.expect("the statement is prepared"),
            count.expect("the statement is prepared"),
        ));
    }
    for round in 0..30_i64 {
        let index = round as usize % 3;
        let caller = &callers[index];
        let (insert, count) = &statements[index];
        let inserted =
            caller.client.execute(insert, &[&round, &"x"]).await.expect("the row is inserted");
        assert_eq!(inserted, 1);
        let row = caller.client.query_one(count, &[]).await.expect("the rows are counted");
        assert!(row.get::<_, i64>(0) >= round + 1 - 2);
    }
    let mut caller = cluster.connect(0).await;
    let transaction = caller.client.transaction().await.expect("the transaction begins");
    let types = [tokio_postgres::types::Type::INT8];
    let insert = transaction.prepare_typed("INSERT INTO notes VALUES ($1, 'tx')", &types).await;
    let insert = insert.expect("the statement is prepared");
    transaction.execute(&insert, &[&100_i64]).await.expect("the row is inserted");
    transaction.execute(&insert, &[&101_i64]).await.expect("the row is inserted");
    transaction.commit().await.expect("the transaction is committed");
    let failed = caller.client.query("SELECT * FROM missing", &[]).await;
    assert!(failed.is_err());
    assert_eq!(caller.run_ok("SELECT COUNT(*) FROM notes").await, ["32"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_results_are_streamed_completely() {
    let cluster = Cluster::start(2).await;
    for daemon in 0..2 {
        let sql = cluster.connect(daemon).await;
        let query = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n \
            WHERE i < 200000) SELECT i FROM n";
        let values = sql.run_ok(query).await;
        assert_eq!(values.len(), 200_000);
        assert_eq!(values.last().map(String::as_str), Some("200000"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_response_never_reaches_the_next_caller() {
    let cluster = Cluster::start(1).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    setup.run_ok("INSERT INTO notes VALUES (7, 'x')").await;
    for _ in 0..5 {
        (0..3).for_each(|member| {
            cluster.set_member_fault(
                0,
                member,
                Fault { holds_responses: true, ..Fault::default() },
            );
        });
        let abandoned =
            cluster.connect_as(0, "families", &cluster.keys["families"], "dispatch", "").await;
        if let Ok(abandoned) = abandoned {
            let _ = tokio::time::timeout(
                Duration::from_millis(100),
                abandoned.run("SELECT 999 AS late"),
            )
            .await;
        }
        cluster.clear_faults();
        let next = cluster.connect(0).await;
        assert_eq!(next.run_ok("SELECT id FROM notes").await, ["7"]);
    }
}

/// Guards against the text of a caller that the home of a group obeys: it could pass a connection
/// with the settings of one session on to another.
#[tokio::test(flavor = "multi_thread")]
async fn text_of_a_caller_is_no_command_to_the_home() {
    let cluster = Cluster::start_with_plan(DeploymentPlan {
        hosts: 2,
        defaults: json!({ "rate_per_s": 100_000, "burst": 100_000, "homes_per_group": 1 }),
        ..DeploymentPlan::small()
    })
    .await;
    for daemon in 0..2 {
        let sql = cluster.connect(daemon).await;
        sql.run_ok("SET search_path = 'elsewhere'").await;
        for command in ["SNIPEHEAD RELEASE CLEAN", "SNIPEHEAD RELEASE DIRTY"] {
            let outcome = sql.run(command).await;
            assert!(
                matches!(&outcome, Outcome::Error(code, _) if code == "42601"),
                "{command} through daemon {daemon}: {outcome:?}"
            );
        }
        sql.run_ok("SELECT 1").await;
    }
}
