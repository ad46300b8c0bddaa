//! Tests of requests with a request id, and of requests that are sent without waiting for replies.

use std::time::Duration;

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::Sync;

use crate::harness::cluster::Cluster;
use crate::harness::sql_client::Outcome;
use snipehead::group::member_connection::ConnectOptions;
use snipehead::group::member_connection::MemberConnection;
use snipehead::stand_in::fault_proxy::Fault;

/// A single COMMIT in a transaction with a request id was refused, and ROLLBACK as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_with_a_request_id_is_ended_by_simple_queries() {
    let cluster = Cluster::start(2).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    for (number, end) in ["COMMIT", "ROLLBACK"].into_iter().enumerate() {
        sql.run_ok(&format!("SET snipehead.request_id = 'visit-{number}'")).await;
        sql.run_ok("BEGIN").await;
        sql.run_ok(&format!("INSERT INTO visits VALUES ({number}, 'Abay 5')")).await;
        sql.run_ok(end).await;
    }
    assert_eq!(sql.run_ok("SELECT id FROM visits").await, ["0"]);
}

/// A request id that is set when the transaction has started would not be stored with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_id_is_refused_within_a_started_transaction() {
    let cluster = Cluster::start(1).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    sql.run_ok("BEGIN").await;
    sql.run_ok("INSERT INTO visits VALUES (1, 'Abay 5')").await;
    let outcome = sql.run("SET snipehead.request_id = 'visit-1'").await;
    assert!(outcome.is_known_not_run(), "{outcome:?}");
    sql.run_ok("ROLLBACK").await;
    assert_eq!(sql.run_ok("SELECT COUNT(*) FROM visits").await, ["0"]);
}

/// The rows were sent again when the connection was lost before the commit was confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_a_request_with_an_id_are_sent_once_at_every_reset_point() {
    let cluster = Cluster::start(2).await;
    let setup = cluster.connect(0).await;
    setup.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    for reset_index in 0..40_u64 {
        let options = format!("-c snipehead.request_id=visit-{reset_index}");
        let sql = cluster.try_connect(0, &options).await.expect("the caller is admitted");
        let bytes = Some(100 + reset_index / 2 * 24);
        let fault = match reset_index % 2 {
            0 => Fault { reset_after_request_bytes: bytes, ..Fault::default() },
            _ => Fault { reset_after_response_bytes: bytes, ..Fault::default() },
        };
        cluster.set_member_fault(0, cluster.primary(), fault);
        let statement = format!("INSERT INTO visits VALUES ({reset_index}, 'x') RETURNING id");
        let clearing = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            cluster.clear_faults();
        };
        let (outcome, ()) = tokio::join!(sql.run(&statement), clearing);
        if let Outcome::Done(rows) = &outcome {
            assert!(rows.len() <= 1, "reset {reset_index}: {rows:?}");
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
        let count = cluster.count(&format!("SELECT COUNT(*) FROM visits WHERE id = {reset_index}"));
        assert!(count <= 1, "reset {reset_index}: the write ran {count} times");
    }
}

fn execute(sql: &str) -> [Request; 3] {
    [
        Request::Parse(Parse::new(None, sql.to_owned(), Vec::new())),
        Request::Bind(Bind::new(None, None, Vec::new(), Vec::new(), Vec::new())),
        Request::Execute(Execute::new(None, 0)),
    ]
}

/// Statements after one that failed were run up to the Sync.
#[tokio::test(flavor = "multi_thread")]
async fn statements_between_an_error_and_the_sync_are_skipped() {
    let cluster = Cluster::start(1).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("CREATE TABLE visits (id BIGINT, house TEXT)").await;
    let (workspace, key) = cluster.keys.iter().next().expect("the deployment has a workspace");
    let options = ConnectOptions {
        address: cluster.deployment.hosts["host01"].caller,
        user: workspace.clone(),
        password: key.clone(),
        database: "dispatch".to_owned(),
        connect_timeout: Duration::from_secs(5),
    };
    let mut caller = MemberConnection::open(&options).await.expect("the caller is admitted");
    let mut messages = Vec::new();
    messages.extend(execute("INSERT INTO missing VALUES (1)"));
    messages.extend(execute("SET snipehead.max_age_ms = '5000'"));
    messages.extend(execute("INSERT INTO visits VALUES (1, 'x')"));
    messages.push(Request::Sync(Sync::new()));
    caller.send(messages).await.expect("the messages are sent");
    let mut errors = 0;
    let mut completed = 0;
    loop {
        match caller.receive().await.expect("the caller gets a reply") {
            Reply::ErrorResponse(_) => errors += 1,
            Reply::CommandComplete(_) => completed += 1,
            Reply::ReadyForQuery(_) => break,
            _ => {}
        }
    }
    assert_eq!((errors, completed), (1, 0));
    assert_eq!(sql.run_ok("SELECT COUNT(*) FROM visits").await, ["0"]);
}
