//! Tests that a reply that a member sends a second time, late, is never taken as the reply to
//! another request.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::harness::cluster::Cluster;
use crate::harness::sql_client::Outcome;
use snipehead::group::member_connection::ConnectOptions;
use snipehead::group::member_control::MemberControl;
use snipehead::group::sql_member_control::SqlMemberControl;
use snipehead::stand_in::deployment::DeploymentPlan;
use snipehead::stand_in::deployment::MEMBER_PASSWORD;
use snipehead::stand_in::deployment::MEMBER_USER;
use snipehead::stand_in::deployment::StartedGroup;
use snipehead::stand_in::deployment::start_group;
use snipehead::stand_in::fault_proxy::Fault;
use snipehead::stand_in::fault_proxy::FaultProxy;

const TERM: u64 = 5;

/// A group, and the control interface of its first member through a proxy.
struct Controlled {
    _group: StartedGroup,
    proxy: Arc<FaultProxy>,
    control: Arc<SqlMemberControl>,
}

async fn start_controlled() -> Controlled {
    let group = start_group(None).await.expect("the members start");
    let proxy = FaultProxy::start(group.1[0]).await.expect("the proxy starts");
    let control = Arc::new(SqlMemberControl::new(ConnectOptions {
        address: proxy.address(),
        user: MEMBER_USER.to_owned(),
        password: MEMBER_PASSWORD.to_owned(),
        database: "orders".to_owned(),
        connect_timeout: Duration::from_secs(1),
    }));
    control.status().await.expect("the member answers");
    Controlled { _group: group, proxy, control }
}

impl Controlled {
    /// Has the member accept the term for the first promoter, and repeat its reply later.
    async fn accept_with_repeat(&self, after_ms: u64) {
        let repeats_response_after_ms = Some(after_ms);
        self.proxy.set_fault(Fault { repeats_response_after_ms, ..Fault::default() });
        let reply = self.control.accept_term(TERM, "first").await.expect("the member answers");
        assert!(reply.is_granted);
    }
}

/// Guards against a vote for another promoter that is counted for this one, which lets two
/// promoters win the same term.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_reply_between_control_calls_is_not_taken_as_the_next() {
    let controlled = start_controlled().await;
    controlled.accept_with_repeat(30).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    let reply = controlled.control.accept_term(TERM, "second").await;
    assert!(!reply.expect("the member answers on a new connection").is_granted);
}

/// Guards against the same when the repeated reply arrives while the next call is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_reply_during_a_control_call_is_not_taken_as_its_own() {
    let controlled = start_controlled().await;
    controlled.accept_with_repeat(100).await;
    controlled.proxy.set_fault(Fault { holds_requests: true, ..Fault::default() });
    let control = controlled.control.clone();
    let calling = tokio::spawn(async move { control.accept_term(TERM, "second").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    controlled.proxy.clear_fault();
    let reply = calling.await.expect("the task ends");
    assert!(reply.is_err(), "the repeated reply was taken as its own: {reply:?}");
    let reply = controlled.control.accept_term(TERM, "second").await;
    assert!(!reply.expect("the member answers on a new connection").is_granted);
}

/// Has each member repeat the first chunk of its next reply to a daemon after this many
/// milliseconds.
fn repeat_next_reply(cluster: &Cluster, after_ms: u64) {
    let repeats_response_after_ms = Some(after_ms);
    for proxy in cluster.member_proxies() {
        proxy.set_fault(Fault { repeats_response_after_ms, ..Fault::default() });
    }
}

/// Guards against a repeated reply that is taken as the answer of the next statement of an open
/// transaction, directly at a home and over a relay.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_reply_between_statements_ends_the_transaction() {
    let cluster = Cluster::start_with_plan(DeploymentPlan {
        hosts: 2,
        defaults: json!({ "rate_per_s": 100_000, "burst": 100_000, "homes_per_group": 1 }),
        ..DeploymentPlan::small()
    })
    .await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT)").await;
    for daemon in 0..2 {
        let sql = cluster.connect(daemon).await;
        let mut ended = 0;
        for round in 0..5 {
            sql.run_ok("BEGIN").await;
            sql.run_ok(&format!("INSERT INTO notes VALUES ({round})")).await;
            repeat_next_reply(&cluster, 20);
            sql.run_ok("SELECT 11").await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            cluster.clear_faults();
            match sql.run("SELECT 22").await {
                Outcome::Done(values) => assert_eq!(values, ["22"], "through daemon {daemon}"),
                Outcome::Error(code, message) => {
                    assert_eq!(code, "40001", "{message}");
                    ended += 1;
                }
                Outcome::NoResponse => panic!("no response through daemon {daemon}"),
            }
            sql.run_ok("ROLLBACK").await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        assert_eq!(cluster.count("SELECT COUNT(*) FROM notes"), 0);
        assert!(ended > 0, "no reply of a transaction was repeated through daemon {daemon}");
    }
}

/// Guards against the repeated reply to an earlier write that is taken as the reply to the start of
/// the next transaction, after which every statement gets the answer of the one before.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_reply_during_the_start_of_a_transaction_is_not_taken_as_its_own() {
    let cluster = Cluster::start(1).await;
    let sql = cluster.connect(0).await;
    sql.run_ok("CREATE TABLE notes (id BIGINT)").await;
    for round in 0..5 {
        repeat_next_reply(&cluster, 100);
        sql.run_ok(&format!("INSERT INTO notes VALUES (10{round})")).await;
        for proxy in cluster.member_proxies() {
            proxy.set_fault(Fault { holds_requests: true, ..Fault::default() });
        }
        let released = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            cluster.clear_faults();
        };
        let transaction = async {
            sql.run_ok("BEGIN").await;
            sql.run_ok(&format!("INSERT INTO notes VALUES (20{round})")).await;
            assert_eq!(sql.run_ok("SELECT 22").await, ["22"]);
            sql.run_ok("COMMIT").await;
        };
        tokio::join!(released, transaction);
        assert_eq!(sql.run_ok("SELECT 33").await, ["33"]);
        assert_eq!(cluster.count("SELECT COUNT(*) FROM notes"), 2 * (round + 1));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against the repeated reply to an earlier statement that is taken as the answer to a
/// request for a connection at a home: a statement failed with the error of an earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_reply_over_a_relay_is_not_taken_as_the_answer_to_the_next_request() {
    let cluster = Cluster::start_with_plan(DeploymentPlan {
        hosts: 2,
        defaults: json!({ "rate_per_s": 100_000, "burst": 100_000, "homes_per_group": 1 }),
        ..DeploymentPlan::small()
    })
    .await;
    let repeat = Fault { repeats_response_after_ms: Some(50), ..Fault::default() };
    for daemon in 0..2 {
        let sql = cluster.connect(daemon).await;
        for _ in 0..5 {
            sql.run_ok("BEGIN").await;
            sql.run_ok("SELECT 11").await;
            cluster.set_fault_between_daemons(0, 1, repeat);
            let outcome = sql.run("SELECT id FROM nowhere").await;
            assert!(matches!(&outcome, Outcome::Error(code, _) if code == "42P01"), "{outcome:?}");
            sql.run_ok("ROLLBACK").await;
            tokio::time::sleep(Duration::from_millis(150)).await;
            cluster.clear_faults();
            assert_eq!(sql.run_ok("SELECT 22").await, ["22"], "through daemon {daemon}");
            assert_eq!(sql.run_ok("SELECT 33").await, ["33"], "through daemon {daemon}");
        }
    }
}
