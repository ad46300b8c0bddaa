//! A withdrawn key stops working within seconds, everywhere, and no backend server ever sees one.

use std::time::Duration;

use rstest::rstest;

use crate::harness::cluster::Cluster;
use crate::harness::sql_client::Outcome;
use snipehead::fleet::change::Operation;
use snipehead::fleet::key::Key;
use snipehead::operator::api::OperatorApiClient;
use snipehead::stand_in::fault_proxy::Fault;
use snipehead::stand_in::platform::PlatformFaults;

/// Time from acceptance after which a withdrawn key must not work anywhere.
const BOUND: Duration = Duration::from_secs(5);

/// What the session does when its key is withdrawn.
#[derive(Clone, Copy, Debug)]
enum Doing {
    Idle,
    InTransaction,
    Streaming,
    OnCutOffDaemon,
    OnDaemonWithoutTable,
}

fn withdraw(key: &str) -> Operation {
    Operation::WithdrawKey { key_id: Key::id_of(key).to_owned() }
}

#[rstest]
#[case(Doing::Idle)]
#[case(Doing::InTransaction)]
#[case(Doing::Streaming)]
#[case(Doing::OnCutOffDaemon)]
#[case(Doing::OnDaemonWithoutTable)]
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_working(#[case] doing: Doing) {
    let cluster = Cluster::start(3).await;
    let key = cluster.keys["families"].clone();
    let sql = cluster.connect(2).await;
    sql.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let streaming = match doing {
        Doing::Streaming => {
            let endless = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n \
                WHERE i < 200) SELECT pg_sleep(0.1), i FROM n";
            let stream = cluster.connect(2).await;
            Some(tokio::spawn(async move { stream.run(endless).await }))
        }
        _ => None,
    };
    match doing {
        Doing::InTransaction => {
            sql.run_ok("BEGIN").await;
            sql.run_ok("INSERT INTO notes VALUES (1, 'x')").await;
        }
        Doing::OnCutOffDaemon => {
            cluster.isolate_daemon(2, Some(cluster.primary()), Fault::disconnect())
        }
        Doing::OnDaemonWithoutTable => cluster.set_platform_fault(2, Fault::disconnect()),
        _ => {}
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let receipt = cluster.change("host01", withdraw(&key), None).await.expect("withdrawn");
    assert!(receipt.is_accepted, "{receipt:?}");
    let accepted_at = tokio::time::Instant::now();
    let mut stopped_after = None;
    while accepted_at.elapsed() < BOUND {
        if sql.client.is_closed() {
            stopped_after.get_or_insert(accepted_at.elapsed());
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let outcome = sql.run("SELECT 1").await;
    assert!(!outcome.is_done(), "{doing:?}: the session still works: {outcome:?}");
    println!("{doing:?}: stopped after {stopped_after:?}");
    if let Some(streaming) = streaming {
        let ended = tokio::time::timeout(BOUND, streaming).await;
        let outcome = ended.expect("the answer ended").expect("no panic");
        assert!(!outcome.is_done(), "the answer went on to its end");
    }
    for daemon in 0..3 {
        let again = cluster.try_connect(daemon, "").await;
        assert!(again.is_err(), "daemon {daemon} admitted a withdrawn key");
    }
    if matches!(doing, Doing::InTransaction) {
        assert_eq!(cluster.count("SELECT COUNT(*) FROM notes"), 0, "the transaction was kept");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_the_table_is_down_for_all() {
    let cluster = Cluster::start(3).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let down = PlatformFaults { is_down: true, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(down);
    let until = tokio::time::Instant::now() + Duration::from_secs(9);
    let mut id = 0;
    while tokio::time::Instant::now() < until {
        id += 1;
        sql.run_ok(&format!("INSERT INTO notes VALUES ({id}, 'x')")).await;
        cluster.connect(id % 3).await.run_ok("SELECT COUNT(*) FROM notes").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let refused = cluster.change("host01", withdraw(&cluster.keys["families"]), None).await;
    assert!(refused.is_err(), "a change cannot be accepted without the table");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_and_issued_by_two_operators_ends_withdrawn() {
    let cluster = Cluster::start(3).await;
    let key = cluster.keys["families"].clone();
    let (first, second) = tokio::join!(
        cluster.change("host01", withdraw(&key), None),
        cluster.change("host02", withdraw(&key), None)
    );
    assert!(first.is_ok(), "{first:?}");
    assert!(second.is_ok(), "{second:?}");
    let fresh = cluster.issue_key("families").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for daemon in 0..3 {
        let old = cluster.connect_as(daemon, "families", &key, "dispatch", "").await;
        assert!(old.is_err(), "daemon {daemon} admitted a withdrawn key");
        let new = cluster.connect_as(daemon, "families", &fresh, "dispatch", "").await;
        assert!(new.is_ok(), "daemon {daemon} refused a valid key");
    }
    let keys = cluster.operator("host03").keys().await.expect("keys");
    assert_eq!(keys.iter().filter(|key| key.is_withdrawn).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_reaches_a_member_or_a_log() {
    let cluster = Cluster::start(2).await;
    let key = cluster.keys["families"].clone();
    cluster.member_proxies().iter().for_each(|link| link.start_recording());
    for daemon in 0..2 {
        let sql = cluster.connect(daemon).await;
        sql.run_ok("CREATE TABLE IF NOT EXISTS notes (id BIGINT, note TEXT)").await;
        sql.run_ok("INSERT INTO notes VALUES (1, 'x')").await;
        sql.run_ok("SELECT COUNT(*) FROM notes").await;
        let wrong =
            cluster.connect_as(daemon, "families", &format!("{key}0"), "dispatch", "").await;
        assert!(wrong.expect_err("refused").starts_with("28P01"));
    }
    let secret = key.split('.').nth(1).expect("a secret");
    for link in cluster.member_proxies() {
        assert!(link.has_recorded(b"INSERT") || !link.has_recorded(secret.as_bytes()));
        assert!(!link.has_recorded(secret.as_bytes()), "a member was sent the key");
    }
    let logs = cluster.logs();
    assert!(!logs.contains(secret), "a log has the key");
    assert!(logs.contains("event=caller_refused"), "the refusal is logged");
    let (known, _) = Key::issue("families");
    assert!(!format!("{known:?}").contains(secret));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_runs_only_for_the_workspace_of_its_key() {
    let mut plan = snipehead::stand_in::deployment::DeploymentPlan::small();
    plan.workspaces = vec!["families".to_owned(), "technicians".to_owned()];
    let cluster = Cluster::start_with_plan(plan).await;
    let key = &cluster.keys["families"];
    let stolen = cluster.connect_as(0, "technicians", key, "dispatch", "").await;
    assert!(stolen.expect_err("refused").starts_with("28P01"));
    let unknown = cluster.connect_as(0, "families", key, "records", "").await;
    assert!(unknown.expect_err("refused").starts_with("3D000"));
    let owner = cluster.connect_as(0, "families", key, "dispatch", "").await.expect("admitted");
    owner.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    owner.run_ok("INSERT INTO notes VALUES (1, 'x')").await;
    let token = owner.run_ok("SHOW snipehead.token").await.remove(0);
    let other_key = &cluster.keys["technicians"];
    let options = format!("-c snipehead.token={token}");
    let other = cluster.connect_as(0, "technicians", other_key, "dispatch", &options).await;
    assert!(other.expect_err("refused").starts_with("22023"), "a token of another workspace");
    let steering = owner.run("CALL group_accept_term(99, 'me')").await;
    assert!(matches!(steering, Outcome::Error(code, _) if code == "0A000"));
}
