//! Operators' work under load: data centres, backend servers, planned stops, configuration.

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

/// Time from acceptance after which a change must be in force on every daemon.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

fn out(data_centre: &str, is_forced: bool) -> Operation {
    Operation::DataCentreOut { data_centre: data_centre.to_owned(), is_forced }
}

fn back(data_centre: &str) -> Operation {
    Operation::DataCentreIn { data_centre: data_centre.to_owned() }
}

/// Returns failures that callers would notice: a session that is asked to connect elsewhere
/// before its request ran only moves.
fn real_failures(failures: Vec<Outcome>) -> Vec<Outcome> {
    let is_move = |outcome: &Outcome| matches!(outcome, Outcome::Error(code, _) if code == "57P01");
    failures.into_iter().filter(|outcome| !is_move(outcome)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_leaves_and_returns_under_load() {
    let cluster = Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[1, 2], 2).await;
    let primary = cluster.primary();
    assert_eq!(primary, 0, "the first member starts as primary, in dc1");
    let receipt = cluster.change("host02", out("dc1", false), None).await.expect("taken out");
    assert!(receipt.is_accepted);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_ne!(cluster.primary(), 0, "the primary moved out of the data centre");
    assert_only_watched(&cluster, 0).await;
    assert!(cluster.try_connect(0, "").await.is_err(), "the daemon there takes no callers");
    cluster.change("host03", back("dc1"), None).await.expect("brought back");
    tokio::time::sleep(Duration::from_secs(5)).await;
    cluster.await_ready().await;
    let history = writers.stop().await;
    assert_eq!(real_failures(history.failures()), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
    println!(
        "longest gap {} ms over {} writes",
        history.longest_gap_ms(),
        history.acknowledged_count()
    );
    assert!(history.longest_gap_ms() < 1_000);
}

/// Checks that only watchers are connected to a member, within what is left of the bound.
async fn assert_only_watched(cluster: &Cluster, member: usize) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    loop {
        let (open, watching) = (cluster.member(member).open_sessions(), watchers(cluster).await);
        if open == watching {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "{open} sessions, {watching} watchers");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns how many daemons watch the first group.
async fn watchers(cluster: &Cluster) -> usize {
    let status = cluster.operator("host02").status().await.expect("status");
    let reports = status.daemons.iter().filter_map(|(_, report)| report.as_ref());
    reports.map(|report| report.groups.len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_stays_when_a_group_would_lose_its_majority() {
    let cluster = Cluster::start(3).await;
    cluster.change("host01", out("dc2", false), None).await.expect("taken out");
    let refused = cluster.change("host01", out("dc3", false), None).await;
    let text = refused.expect_err("refused");
    assert!(text.contains("leaves 1 of 3 members of group dispatch"), "{text}");
    cluster.change("host01", out("dc3", true), None).await.expect("forced");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_member_gets_no_new_work() {
    let cluster = Arc::new(Cluster::start(3).await);
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let writers = Writers::start(&cluster, &[0, 1, 2], 1).await;
    for member in ["m1", "m2"] {
        let leaves =
            Operation::MemberLeaves { group: "dispatch".to_owned(), member: member.to_owned() };
        cluster.change("host01", leaves, None).await.expect("it leaves");
        tokio::time::sleep(Duration::from_secs(4)).await;
        let index = usize::from(member == "m2");
        assert_ne!(cluster.primary(), index, "{member} is still primary");
        assert_only_watched(&cluster, index).await;
        let returns =
            Operation::MemberReturns { group: "dispatch".to_owned(), member: member.to_owned() };
        cluster.change("host01", returns, None).await.expect("it returns");
    }
    let history = writers.stop().await;
    assert_eq!(history.failures(), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
}

#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_each_daemon_cuts_off_no_request(#[case] table_is_down: bool) {
    let cluster = Cluster::start(3).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let cluster = Arc::new(cluster);
    let writers = Writers::start(&cluster, &[0, 1, 2], 2).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let long = cluster.connect(0).await;
    let long = tokio::spawn(async move { long.run("SELECT pg_sleep(3)").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let faults = PlatformFaults { is_down: table_is_down, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(faults);
    cluster.operator("host01").drain().await.expect("it drains");
    let status = tokio::time::timeout(Duration::from_secs(25), async {
        while cluster.operator("host01").config().await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    status.await.expect("the daemon stopped");
    let outcome = long.await.expect("no panic");
    assert!(outcome.is_done(), "a running request was cut off: {outcome:?}");
    cluster.deployment.platform.set_faults(PlatformFaults::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let history = writers.stop().await;
    assert_eq!(real_failures(history.failures()), Vec::<Outcome>::new());
    history.assert_consistent(&cluster, "notes");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_fails_no_request() {
    let cluster = Cluster::start(3).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let cluster = Arc::new(tokio::sync::RwLock::new(cluster));
    let stop = CancellationToken::new();
    let mut callers = Vec::new();
    for caller in 0..6_usize {
        let (cluster, stop) = (cluster.clone(), stop.clone());
        callers.push(tokio::spawn(async move { call_any_daemon(caller, cluster, stop).await }));
    }
    for index in 0..3 {
        cluster.write().await.daemon(index).terminate();
        let mut locked = cluster.write().await;
        let status = locked.daemon(index).wait_for_exit(Duration::from_secs(20)).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?} {}", locked.logs());
        locked.start_daemon(&format!("host{:02}", index + 1));
        drop(locked);
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    stop.cancel();
    let mut done = 0;
    for caller in callers {
        let (own, failures) = caller.await.expect("no panic");
        assert_eq!(failures, Vec::<Outcome>::new());
        done += own;
    }
    let kept = cluster.read().await.count("SELECT COUNT(*) FROM notes");
    assert_eq!(kept, done, "each acknowledged record is there once");
}

/// Writes through whichever daemon admits the caller; returns the count of acknowledged writes,
/// and failures that a caller behind a balancer would notice.
async fn call_any_daemon(
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
            let shared = cluster.read().await;
            let connecting = shared.try_connect(round % 3, "").await;
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
            // Not run, as the code says: the caller connects elsewhere and sends it again.
            Outcome::Error(code, _) if code == "57P01" => connection = None,
            other => failures.push(other),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (done, failures)
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_one_wins_and_the_other_is_told() {
    let cluster = Cluster::start(3).await;
    let version = cluster.operator("host01").config().await.expect("config").version;
    let document = cluster.deployment.fleet_document();
    let mut other = document.clone();
    other["defaults"]["rate_per_s"] = json!(77);
    let parse = |value: &serde_json::Value| {
        let document = snipehead::settings::load::load_fleet_document(&value.to_string());
        Operation::ApplyDocument { document: Box::new(document.expect("valid")) }
    };
    let (one, two) = tokio::join!(
        cluster.change("host01", parse(&document), Some(version)),
        cluster.change("host02", parse(&other), Some(version))
    );
    let (won, lost) = match (&one, &two) {
        (Ok(receipt), Err(text)) | (Err(text), Ok(receipt)) => (receipt.clone(), text.clone()),
        both => panic!("just one may win: {both:?}"),
    };
    assert_eq!(won.version, version + 1);
    assert!(lost.contains("came first with version"), "{lost}");
    assert!(lost.contains("apply document"), "{lost}");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_whose_answer_was_lost_takes_place_once() {
    let cluster = Cluster::start(3).await;
    let before = cluster.operator("host01").config().await.expect("config").version;
    let lost = PlatformFaults { lost_responses: 2, ..PlatformFaults::default() };
    cluster.deployment.platform.set_faults(lost);
    cluster.issue_key("families").await;
    let accepted_at = tokio::time::Instant::now();
    for host in cluster.deployment.host_names() {
        loop {
            let version = cluster.operator(&host).config().await.expect("config").version;
            assert!(version <= before + 1, "{host} has {version}: the change took place twice");
            if version == before + 1 {
                break;
            }
            assert!(accepted_at.elapsed() < IN_FORCE_BOUND, "{host} still has {version}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_never_goes_back() {
    let mut cluster = Cluster::start(3).await;
    let mut highest = 0;
    for round in 0..3 {
        cluster.issue_key("families").await;
        let version = cluster.operator("host01").config().await.expect("config").version;
        assert!(version > highest);
        highest = version;
        tokio::time::sleep(Duration::from_secs(5)).await;
        for host in ["host01", "host02", "host03"] {
            let seen = cluster.operator(host).config().await.expect("config").version;
            assert!(seen >= highest, "{host} has {seen}, not {highest}");
        }
        // A daemon that starts while the table is down learns the version from the others.
        let down = PlatformFaults { is_down: true, ..PlatformFaults::default() };
        cluster.deployment.platform.set_faults(down);
        let host = format!("host{:02}", round + 1);
        cluster.daemon(round).kill();
        cluster.start_daemon(&host);
        tokio::time::sleep(Duration::from_secs(3)).await;
        cluster.deployment.platform.set_faults(PlatformFaults::default());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let seen = cluster.operator(&host).config().await.expect("config").version;
        assert!(seen >= highest, "{host} went back to {seen} from {highest}");
        cluster.await_ready().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemon_wakes_to_the_present_configuration() {
    let mut cluster = Cluster::start(3).await;
    let sql = cluster.connect(2).await;
    sql.run_ok("SELECT 1").await;
    cluster.daemon(2).suspend();
    let withdraw = Operation::WithdrawKey {
        key_id: cluster.keys["families"].split('.').next().expect("an id").to_owned(),
    };
    cluster.change("host01", withdraw, None).await.expect("withdrawn");
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.daemon(2).resume();
    let outcome = sql.run("SELECT 1").await;
    assert!(!outcome.is_done(), "a withdrawn key worked on a daemon that woke up: {outcome:?}");
}
