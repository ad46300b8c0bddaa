//! Tests of operator actions under load: changes of data centres and backend servers, planned
//! stops, and configuration changes.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::harness::cluster::Cluster;
use crate::harness::history::Writers;
use crate::harness::sql_client::Outcome;
use snipehead::fleet::change::Operation;
use snipehead::operator::api::OperatorApiClient;
use snipehead::stand_in::platform::PlatformFaults;

/// Time after the acceptance of a change within which it must take effect on every daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

fn data_centre_out(data_centre: &str, is_forced: bool) -> Operation {
    Operation::DataCentreOut { data_centre: data_centre.to_owned(), is_forced }
}

fn data_centre_in(data_centre: &str) -> Operation {
    Operation::DataCentreIn { data_centre: data_centre.to_owned() }
}

/// Returns the failures except those with SQLSTATE 57P01, which tells a caller that its request did
/// not run and that it should connect to another daemon.
fn failures_except_reconnects(failures: Vec<Outcome>) -> Vec<Outcome> {
    let is_reconnect =
        |outcome: &Outcome| matches!(outcome, Outcome::Error(code, _) if code == "57P01");
    failures.into_iter().filter(|outcome| !is_reconnect(outcome)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_is_taken_out_and_returned_under_load() {
    let cluster = Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[1, 2], 2).await;
    let primary = cluster.primary();
    assert_eq!(primary, 0, "the first member, in dc1, does not start as primary");
    let receipt = cluster
        .change("host02", data_centre_out("dc1", false), None)
        .await
        .expect("the data centre is taken out");
    assert!(receipt.is_accepted);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_ne!(cluster.primary(), 0, "the primary is still in the data centre that was taken out");
    assert_only_prober_sessions(&cluster, 0).await;
    assert!(
        cluster.try_connect(0, "").await.is_err(),
        "the daemon in the data centre that was taken out admits callers"
    );
    cluster
        .change("host03", data_centre_in("dc1"), None)
        .await
        .expect("the data centre is returned");
    tokio::time::sleep(Duration::from_secs(5)).await;
    cluster.await_ready().await;
    let history = writers.stop().await;
    assert_eq!(failures_except_reconnects(history.failures()), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
    println!(
        "longest gap {} ms over {} writes",
        history.longest_gap_ms(),
        history.acknowledged_count()
    );
    assert!(history.longest_gap_ms() < 1_000);
}

/// Asserts that within a second a member has only as many open sessions as there are daemons that
/// probe it. The second is what remains of [`IN_FORCE_TIMEOUT`] 4 s after a change.
async fn assert_only_prober_sessions(cluster: &Cluster, member: usize) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    loop {
        let (open_sessions, prober_sessions) =
            (cluster.member(member).open_sessions(), count_prober_sessions(cluster).await);
        if open_sessions == prober_sessions {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{open_sessions} sessions are open, but {prober_sessions} daemons probe the member"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns how many daemons probe the members of the only group.
async fn count_prober_sessions(cluster: &Cluster) -> usize {
    let status = cluster.operator("host02").status().await.expect("the status is returned");
    let reports = status.daemons.iter().filter_map(|(_, report)| report.as_ref());
    reports.map(|report| report.groups.len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_is_kept_if_a_group_would_lose_its_majority() {
    let cluster = Cluster::start(3).await;
    cluster
        .change("host01", data_centre_out("dc2", false), None)
        .await
        .expect("the data centre is taken out");
    let rejected = cluster.change("host01", data_centre_out("dc3", false), None).await;
    let text = rejected.expect_err("the change is rejected");
    assert!(text.contains("leaves 1 of 3 members of group dispatch"), "{text}");
    cluster
        .change("host01", data_centre_out("dc3", true), None)
        .await
        .expect("the forced change is accepted");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_member_gets_no_requests() {
    let cluster = Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[0, 1, 2], 1).await;
    for member in ["m1", "m2"] {
        let leave_operation =
            Operation::MemberLeaves { group: "dispatch".to_owned(), member: member.to_owned() };
        cluster.change("host01", leave_operation, None).await.expect("the member leaves");
        tokio::time::sleep(Duration::from_secs(4)).await;
        let index = usize::from(member == "m2");
        assert_ne!(cluster.primary(), index, "{member} is still primary");
        assert_only_prober_sessions(&cluster, index).await;
        let return_operation =
            Operation::MemberReturns { group: "dispatch".to_owned(), member: member.to_owned() };
        cluster.change("host01", return_operation, None).await.expect("the member returns");
    }
    let history = writers.stop().await;
    assert_eq!(history.failures(), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
}

#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_interrupts_no_request(#[case] table_is_down: bool) {
    let cluster = Cluster::start(3).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let cluster = Arc::new(cluster);
    let writers = Writers::start(&cluster, &[0, 1, 2], 2).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let long_request = cluster.connect(0).await;
    let long_request = tokio::spawn(async move { long_request.run("SELECT pg_sleep(3)").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let faults = PlatformFaults { is_down: table_is_down, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(faults);
    cluster.operator("host01").drain().await.expect("the daemon drains");
    let stopping = tokio::time::timeout(Duration::from_secs(25), async {
        while cluster.operator("host01").config().await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    stopping.await.expect("the daemon stops in time");
    let outcome = long_request.await.expect("the task does not panic");
    assert!(outcome.is_done(), "a running request was interrupted: {outcome:?}");
    cluster.deployment.platform.set_faults(PlatformFaults::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let history = writers.stop().await;
    assert_eq!(failures_except_reconnects(history.failures()), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_fails_no_request() {
    let cluster = Cluster::start(3).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let cluster = Arc::new(tokio::sync::RwLock::new(cluster));
    let stop = CancellationToken::new();
    let mut caller_tasks = Vec::new();
    for caller in 0..6_usize {
        let (cluster, stop) = (cluster.clone(), stop.clone());
        caller_tasks.push(tokio::spawn(async move {
            write_through_any_daemon(caller, cluster, stop).await
        }));
    }
    for index in 0..3 {
        cluster.write().await.daemon(index).terminate();
        let mut cluster_guard = cluster.write().await;
        let status = cluster_guard.daemon(index).wait_for_exit(Duration::from_secs(20)).await;
        assert!(
            status.is_some_and(|status| status.success()),
            "daemon {index} did not exit successfully in time: {status:?}; logs: {}",
            cluster_guard.logs()
        );
        cluster_guard.start_daemon(&format!("host{:02}", index + 1));
        drop(cluster_guard);
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    stop.cancel();
    let mut done = 0;
    for caller_task in caller_tasks {
        let (caller_done, failures) = caller_task.await.expect("the caller does not panic");
        assert_eq!(failures, Vec::<Outcome>::new());
        done += caller_done;
    }
    let row_count = cluster.read().await.count("SELECT COUNT(*) FROM notes");
    assert_eq!(row_count, done, "the number of rows is not that of acknowledged writes");
}

/// Writes through any daemon that admits the caller. Returns the number of acknowledged writes, and
/// the failures that a caller behind a load balancer would notice.
async fn write_through_any_daemon(
    caller: usize,
    cluster: Arc<tokio::sync::RwLock<Cluster>>,
    stop: CancellationToken,
) -> (i64, Vec<Outcome>) {
    let mut failures = Vec::new();
    let mut done = 0;
    let mut round = caller;
    let mut connection: Option<crate::harness::sql_client::SqlClient> = None;
    while !stop.is_cancelled() {
        round += 1;
        if connection.as_ref().is_none_or(|sql| sql.client.is_closed()) {
            let cluster_guard = cluster.read().await;
            let connecting = cluster_guard.try_connect(round % 3, "").await;
            connection = connecting.ok();
        }
        let Some(sql) = &connection else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let id = caller * 1_000_000 + round;
        let outcome = sql.run(&format!("INSERT INTO notes VALUES ({id}, 'x')")).await;
        match outcome {
            Outcome::Done(_) => done += 1,
            // 57P01 says that the request did not run, so the caller connects to another daemon.
            Outcome::Error(code, _) if code == "57P01" => connection = None,
            other => failures.push(other),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (done, failures)
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_to_one_version_accept_only_one() {
    let cluster = Cluster::start(3).await;
    let version =
        cluster.operator("host01").config().await.expect("the configuration is returned").version;
    let document = cluster.deployment.fleet_document();
    let mut other_document = document.clone();
    other_document["defaults"]["rate_per_s"] = json!(77);
    let apply_operation = |value: &serde_json::Value| {
        let document = snipehead::settings::load::load_fleet_document(&value.to_string());
        Operation::ApplyDocument { document: Box::new(document.expect("the document is valid")) }
    };
    let (first_result, second_result) = tokio::join!(
        cluster.change("host01", apply_operation(&document), Some(version)),
        cluster.change("host02", apply_operation(&other_document), Some(version))
    );
    let (accepted, rejection) = match (&first_result, &second_result) {
        (Ok(receipt), Err(text)) | (Err(text), Ok(receipt)) => (receipt.clone(), text.clone()),
        both => panic!("not exactly one change was accepted: {both:?}"),
    };
    assert_eq!(accepted.version, version + 1);
    assert!(rejection.contains("came first with version"), "{rejection}");
    assert!(rejection.contains("apply document"), "{rejection}");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_with_lost_responses_is_applied_once() {
    let cluster = Cluster::start(3).await;
    let version_before =
        cluster.operator("host01").config().await.expect("the configuration is returned").version;
    let faults = PlatformFaults { lost_responses: 2, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(faults);
    cluster.issue_key("families").await;
    let accepted_at = tokio::time::Instant::now();
    for host in cluster.deployment.host_names() {
        loop {
            let version = cluster
                .operator(&host)
                .config()
                .await
                .expect("the configuration is returned")
                .version;
            assert!(
                version <= version_before + 1,
                "{host} has version {version}: the change was applied twice"
            );
            if version == version_before + 1 {
                break;
            }
            assert!(accepted_at.elapsed() < IN_FORCE_TIMEOUT, "{host} still has version {version}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_version_never_decreases() {
    let mut cluster = Cluster::start(3).await;
    let mut highest = 0;
    for round in 0..3 {
        cluster.issue_key("families").await;
        let version = cluster
            .operator("host01")
            .config()
            .await
            .expect("the configuration is returned")
            .version;
        assert!(version > highest);
        highest = version;
        tokio::time::sleep(Duration::from_secs(5)).await;
        for host in ["host01", "host02", "host03"] {
            let seen = cluster
                .operator(host)
                .config()
                .await
                .expect("the configuration is returned")
                .version;
            assert!(seen >= highest, "{host} has version {seen}, which is lower than {highest}");
        }
        // The daemon starts while the platform is down, and must return to the version once the
        // platform is back.
        let faults = PlatformFaults { is_down: true, ..PlatformFaults::default() };
        cluster.deployment.platform.set_faults(faults);
        let host = format!("host{:02}", round + 1);
        cluster.daemon(round).kill();
        cluster.start_daemon(&host);
        tokio::time::sleep(Duration::from_secs(3)).await;
        cluster.deployment.platform.set_faults(PlatformFaults::default());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let seen =
            cluster.operator(&host).config().await.expect("the configuration is returned").version;
        assert!(
            seen >= highest,
            "{host} restarted with version {seen}, which is lower than {highest}"
        );
        cluster.await_ready().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_daemon_refuses_a_key_withdrawn_meanwhile() {
    let mut cluster = Cluster::start(3).await;
    let sql = cluster.connect(2).await;
    sql.run_ok("SELECT 1").await;
    cluster.daemon(2).suspend();
    let withdraw = Operation::WithdrawKey {
        key_id: cluster.keys["families"].split('.').next().expect("the key has an id").to_owned(),
    };
    cluster.change("host01", withdraw, None).await.expect("the key is withdrawn");
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.daemon(2).resume();
    let outcome = sql.run("SELECT 1").await;
    assert!(!outcome.is_done(), "a resumed daemon ran a request with a withdrawn key: {outcome:?}");
}
