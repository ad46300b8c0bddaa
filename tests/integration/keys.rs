//! Tests of workspace keys: a withdrawn key stops working on every daemon within seconds, a key
//! grants access only to its workspace, and no key reaches a backend server or a log.

use std::time::Duration;

use rstest::rstest;

use crate::harness::cluster::Cluster;
use crate::harness::sql_client::Outcome;
use snipehead::fleet::change::Operation;
use snipehead::fleet::key::Key;
use snipehead::operator::api::OperatorApiClient;
use snipehead::stand_in::fault_proxy::Fault;
use snipehead::stand_in::platform::PlatformFaults;

/// Time after the acceptance of a withdrawal within which the key must stop working on all daemons.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a session, or of its daemon, at the time its key is withdrawn.
#[derive(Clone, Copy, Debug)]
enum SessionState {
    /// The session is idle.
    Idle,
    /// A transaction with a write is open.
    InTransaction,
    /// A result is being streamed to another session with the key.
    Streaming,
    /// The daemon reaches only the primary, and neither other daemons nor the platform.
    OnIsolatedDaemon,
    /// The daemon cannot reach the platform, which stores the table of changes.
    OnDaemonWithoutTable,
}

fn withdraw(key: &str) -> Operation {
    Operation::WithdrawKey { key_id: Key::id_of(key).to_owned() }
}

#[rstest]
#[case(SessionState::Idle)]
#[case(SessionState::InTransaction)]
#[case(SessionState::Streaming)]
#[case(SessionState::OnIsolatedDaemon)]
#[case(SessionState::OnDaemonWithoutTable)]
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_working(#[case] session_state: SessionState) {
    let cluster = Cluster::start(3).await;
    let key = cluster.keys["families"].clone();
    let sql = cluster.connect(2).await;
    sql.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let stream_task = match session_state {
        SessionState::Streaming => {
            let endless = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n \
                WHERE i < 200) SELECT pg_sleep(0.1), i FROM n";
            let stream_sql = cluster.connect(2).await;
            Some(tokio::spawn(async move { stream_sql.run(endless).await }))
        }
        _ => None,
    };
    match session_state {
        SessionState::InTransaction => {
            sql.run_ok("BEGIN").await;
            sql.run_ok("INSERT INTO notes VALUES (1, 'x')").await;
        }
        SessionState::OnIsolatedDaemon => {
            cluster.isolate_daemon(2, Some(cluster.primary()), Fault::disconnect())
        }
        SessionState::OnDaemonWithoutTable => cluster.set_platform_fault(2, Fault::disconnect()),
        _ => {}
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let receipt =
        cluster.change("host01", withdraw(&key), None).await.expect("the key is withdrawn");
    assert!(receipt.is_accepted, "{receipt:?}");
    let accepted_at = tokio::time::Instant::now();
    let mut closed_after = None;
    while accepted_at.elapsed() < REVOCATION_TIMEOUT {
        if sql.client.is_closed() {
            closed_after.get_or_insert(accepted_at.elapsed());
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let outcome = sql.run("SELECT 1").await;
    assert!(!outcome.is_done(), "{session_state:?}: the session still works: {outcome:?}");
    println!("{session_state:?}: connection closed after {closed_after:?}");
    if let Some(stream_task) = stream_task {
        let finished = tokio::time::timeout(REVOCATION_TIMEOUT, stream_task).await;
        let outcome =
            finished.expect("the response ends in time").expect("the task does not panic");
        assert!(!outcome.is_done(), "the result was streamed to its end");
    }
    for daemon in 0..3 {
        let reconnected = cluster.try_connect(daemon, "").await;
        assert!(reconnected.is_err(), "daemon {daemon} admitted a withdrawn key");
    }
    if matches!(session_state, SessionState::InTransaction) {
        assert_eq!(cluster.count("SELECT COUNT(*) FROM notes"), 0, "the transaction was committed");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_platform_is_down() {
    let cluster = Cluster::start(3).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let faults = PlatformFaults { is_down: true, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(faults);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(9);
    let mut id = 0;
    while tokio::time::Instant::now() < deadline {
        id += 1;
        sql.run_ok(&format!("INSERT INTO notes VALUES ({id}, 'x')")).await;
        cluster.connect(id % 3).await.run_ok("SELECT COUNT(*) FROM notes").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let rejected = cluster.change("host01", withdraw(&cluster.keys["families"]), None).await;
    assert!(rejected.is_err(), "a change was accepted without the table");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_through_two_daemons_is_withdrawn_once() {
    let cluster = Cluster::start(3).await;
    let key = cluster.keys["families"].clone();
    let (first_receipt, second_receipt) = tokio::join!(
        cluster.change("host01", withdraw(&key), None),
        cluster.change("host02", withdraw(&key), None)
    );
    assert!(first_receipt.is_ok(), "{first_receipt:?}");
    assert!(second_receipt.is_ok(), "{second_receipt:?}");
    let new_key = cluster.issue_key("families").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for daemon in 0..3 {
        let old_key_connection = cluster.connect_as(daemon, "families", &key, "dispatch", "").await;
        assert!(old_key_connection.is_err(), "daemon {daemon} admitted a withdrawn key");
        let new_key_connection =
            cluster.connect_as(daemon, "families", &new_key, "dispatch", "").await;
        assert!(new_key_connection.is_ok(), "daemon {daemon} refused a valid key");
    }
    let listed_keys = cluster.operator("host03").keys().await.expect("the keys are listed");
    assert_eq!(listed_keys.iter().filter(|key| key.is_withdrawn).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_reach_neither_members_nor_logs() {
    let cluster = Cluster::start(2).await;
    let key = cluster.keys["families"].clone();
    cluster.member_proxies().iter().for_each(|proxy| proxy.start_recording());
    for daemon in 0..2 {
        let sql = cluster.connect(daemon).await;
        sql.run_ok("CREATE TABLE IF NOT EXISTS notes (id BIGINT, note TEXT)").await;
        sql.run_ok("INSERT INTO notes VALUES (1, 'x')").await;
        sql.run_ok("SELECT COUNT(*) FROM notes").await;
        let wrong_key_result =
            cluster.connect_as(daemon, "families", &format!("{key}0"), "dispatch", "").await;
        assert!(wrong_key_result.expect_err("the caller is refused").starts_with("28P01"));
    }
    let secret = key.split('.').nth(1).expect("the key has a secret part");
    let proxies = cluster.member_proxies();
    assert!(proxies.iter().any(|proxy| proxy.has_recorded(b"INSERT")), "nothing was recorded");
    for proxy in proxies {
        assert!(!proxy.has_recorded(secret.as_bytes()), "a key was sent to a member");
    }
    let logs = cluster.logs();
    assert!(!logs.contains(secret), "a log contains the key");
    assert!(logs.contains("event=caller_refused"), "the refusal was not logged");
    let (issued_key, issued_text) = Key::issue("families");
    let issued_secret = issued_text.split('.').nth(1).expect("the key has a secret part");
    assert!(!format!("{issued_key:?}").contains(issued_secret));
}

#[tokio::test(flavor = "multi_thread")]
async fn key_grants_access_only_to_its_workspace() {
    let mut plan = snipehead::stand_in::deployment::DeploymentPlan::small();
    plan.workspaces = vec!["families".to_owned(), "technicians".to_owned()];
    let cluster = Cluster::start_with_plan(plan).await;
    let key = &cluster.keys["families"];
    let wrong_workspace = cluster.connect_as(0, "technicians", key, "dispatch", "").await;
    assert!(wrong_workspace.expect_err("the caller is refused").starts_with("28P01"));
    let unknown_group = cluster.connect_as(0, "families", key, "records", "").await;
    assert!(unknown_group.expect_err("the caller is refused").starts_with("3D000"));
    let sql = cluster
        .connect_as(0, "families", key, "dispatch", "")
        .await
        .expect("the caller is admitted");
    sql.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    sql.run_ok("INSERT INTO notes VALUES (1, 'x')").await;
    let token = sql.run_ok("SHOW snipehead.token").await.remove(0);
    let other_key = &cluster.keys["technicians"];
    let options = format!("-c snipehead.token={token}");
    let foreign_token = cluster.connect_as(0, "technicians", other_key, "dispatch", &options).await;
    assert!(
        foreign_token.expect_err("the caller is refused").starts_with("22023"),
        "a token of another workspace was accepted"
    );
    let control_call = sql.run("CALL group_accept_term(99, 'me')").await;
    assert!(matches!(control_call, Outcome::Error(code, _) if code == "0A000"));
}
