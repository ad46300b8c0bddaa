//! Tests that a reply that a member sends a second time, late, is never taken as the reply to
//! another request.

use std::sync::Arc;
use std::time::Duration;

use snipehead::group::member_connection::ConnectOptions;
use snipehead::group::member_control::MemberControl;
use snipehead::group::sql_member_control::SqlMemberControl;
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
