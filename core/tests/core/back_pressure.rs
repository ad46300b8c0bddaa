//! Back pressure between entry nodes and the owner of a service, in simulated time.
//!
//! Pattern: 91 nodes act on the same information, which is some milliseconds old. All refuse at once
//! and all resume at once, and what they refused comes back.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::owner_simulation::NODES;
use crate::owner_simulation::SERVED_PER_S;
use crate::owner_simulation::Seen;
use crate::owner_simulation::Simulation;
use crate::owner_simulation::owner;
use crate::owner_simulation::pressure;
use crate::test_cluster::TestCluster;
use crate::test_cluster::WAIT_LIMIT;
use crate::test_cluster::run;
use snipehead_core::name::Name;
use snipehead_core::node::Node;
use snipehead_core::outcome::Failure;
use snipehead_core::pressure_table::Admission;
use snipehead_core::pressure_table::Arrival;
use snipehead_core::pressure_table::LocalRefusal;
use snipehead_core::pressure_table::MAX_PRESSURE_AGE_MS;
use snipehead_core::pressure_table::PressureTable;
use snipehead_core::pressure_teller::PressureTeller;
use snipehead_core::refusal_history::RETRY_WINDOW_MS;
use snipehead_core::refusal_history::RefusalHistory;

fn arrival(service: &Name, owner: SocketAddr, is_retry: bool) -> Arrival<'_> {
    Arrival { service, owner, level: 0, objective_left_ms: 100, is_retry }
}

fn is_sent(admission: Admission) -> bool {
    !matches!(admission, Admission::Refuse { .. })
}

/// Guards against an owner that spends its time on messages of statements that it refuses: three times
/// the load, whose refused statements come back.
#[rstest]
fn overload_is_refused_before_the_hop(#[values(1, 2, 3)] seed: u64) {
    let [without, with] = [false, true].map(|has_back_pressure| {
        let mut simulation = Simulation::new(seed, has_back_pressure);
        for level in 0..3 {
            simulation.offer(level, 0..4_000, SERVED_PER_S);
        }
        simulation.run(4_000);
        simulation
    });
    let sent = |simulation: &Simulation| simulation.count(1_000..4_000, Seen::is_sent);
    assert!(sent(&without) > 10 * sent(&with), "{} and {} sent", sent(&without), sent(&with));
    let served = with.count(1_000..4_000, |seen| matches!(seen, Seen::Served { .. }));
    assert!(served * 100 >= 3 * SERVED_PER_S * 99, "served {served}");
    let urgent = with.count(1_000..4_000, |seen| seen == Seen::Served { level: 0 });
    assert!(urgent * 100 >= 3 * SERVED_PER_S * 95, "served {urgent} urgent statements");
    let probes = with.count(1_000..4_000, |seen| seen == Seen::Probe);
    assert!(probes * 10 <= served, "{probes} probes");
}

/// Guards against a wave of refused callers that keeps the owner in overload after the burst has ended.
#[rstest]
fn a_wave_of_retrying_callers_is_spread(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, true);
    simulation.offer(0, 0..4_000, SERVED_PER_S / 2);
    simulation.offer(2, 1_000..1_200, 20 * SERVED_PER_S);
    simulation.run(4_000);
    let urgent = simulation.count(1_000..4_000, |seen| seen == Seen::Served { level: 0 });
    assert!(urgent * 100 >= 3 * SERVED_PER_S / 2 * 98, "served {urgent} urgent statements");
    let retries = simulation.count(1_000..4_000, |seen| seen == Seen::Sent { is_retry: true });
    let burst = simulation.count(1_000..1_200, |seen| seen == Seen::Sent { is_retry: false });
    assert!(retries < burst, "{retries} retries for {burst} first attempts of the burst");
    let refused = simulation.count(2_800..4_000, |seen| seen == Seen::RefusedLocally);
    assert_eq!(refused, 0, "statements are refused after the burst and its retries");
}

/// Guards against pressure that stays in effect when its owner says nothing any more.
#[rstest]
fn nothing_is_refused_for_a_frozen_owner(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, true);
    simulation.frozen = 1_000..2_000;
    simulation.offer(0, 0..4_000, 3 * SERVED_PER_S);
    simulation.run(4_000);
    let refused = |window| simulation.count(window, |seen| seen == Seen::RefusedLocally);
    assert!(refused(500..1_000) > 0, "the load is no overload");
    assert_eq!(refused(1_000 + MAX_PRESSURE_AGE_MS + 10..2_000), 0);
    let served = simulation.count(2_500..4_000, |seen| matches!(seen, Seen::Served { .. }));
    assert!(served * 100 >= SERVED_PER_S * 3 / 2 * 99, "served {served} after the freeze");
}

/// Guards against a new owner without load that gets nothing, because the former one was overloaded.
#[rstest]
fn pressure_ends_with_its_ownership(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, true);
    // Little enough that those who retry do not fill the queue of the new owner within 20 ms.
    simulation.offer(0, 0..1_000, SERVED_PER_S * 6 / 5);
    simulation.offer(0, 1_000..2_000, SERVED_PER_S / 2);
    simulation.run(1_000);
    assert!(simulation.count(900..1_000, |seen| seen == Seen::RefusedLocally) > 0);
    simulation.hand_over();
    simulation.run(1_020);
    let refused = simulation.count(1_000..1_020, |seen| seen == Seen::RefusedLocally);
    assert_eq!(refused, 0, "the pressure of the former owner is in effect");
}

/// Guards against late replies of a former owner that replace what its successor told.
#[test]
fn a_late_reply_of_a_former_owner_is_dropped() {
    let random = &mut SmallRng::seed_from_u64(1);
    let service = "dispatch".into();
    let mut table = PressureTable::default();
    assert!(table.record(0, &service, owner(2), pressure(2, &[(0, 500)]), random));
    assert!(!table.record(10, &service, owner(1), pressure(1, &[]), random));
    assert!(!is_sent(table.admit(20, &arrival(&service, owner(2), false), random)));
    assert!(is_sent(table.admit(20, &arrival(&service, owner(1), false), random)));
    let other = Arrival { level: 1, ..arrival(&service, owner(2), false) };
    assert_eq!(table.admit(20, &other, random), Admission::Admit);
    let later_ms = MAX_PRESSURE_AGE_MS + 1;
    assert!(is_sent(table.admit(later_ms, &arrival(&service, owner(2), false), random)));
}

/// Guards against 91 nodes that all resume when they hear at the same moment that the owner is free.
#[rstest]
fn nodes_that_hear_free_at_the_same_moment_resume_step_by_step(#[values(1, 2, 3)] seed: u64) {
    let random = &mut SmallRng::seed_from_u64(seed);
    let service = "dispatch".into();
    let arrival = arrival(&service, owner(1), false);
    let mut tables = vec![PressureTable::default(); NODES];
    for table in &mut tables {
        table.record(0, &service, owner(1), pressure(1, &[(0, 500)]), random);
        assert!(!is_sent(table.admit(1, &arrival, random)));
        table.record(50, &service, owner(1), pressure(1, &[]), random);
    }
    let mut shares = Vec::new();
    for window in 0..6 {
        let mut sent = 0;
        for now_ms in 50 + window * 50..100 + window * 50 {
            sent += tables
                .iter_mut()
                .filter_map(|table| is_sent(table.admit(now_ms, &arrival, random)).then_some(()))
                .count();
        }
        shares.push(sent as f64 / (NODES * 50) as f64);
    }
    assert!(shares[0] < 0.3 && shares[1] < 0.6, "{shares:?}");
    assert!(shares.is_sorted(), "{shares:?}");
    let is_resumed = |table: &mut PressureTable| table.admit(350, &arrival, random);
    assert!(tables.iter_mut().map(is_resumed).all(is_sent), "admission has not resumed in 300 ms");
}

/// Guards against retries that take the place of first attempts, and against first attempts that are
/// taken for retries long after a refusal.
#[test]
fn retries_are_a_share_of_the_first_attempts() {
    let random = &mut SmallRng::seed_from_u64(1);
    let service = "dispatch".into();
    let mut table = PressureTable::default();
    table.record(0, &service, owner(1), pressure(1, &[(0, 90)]), random);
    let mut sent = [0; 2];
    for number in 0..2_000 {
        let is_retry = number % 2 == 0;
        let admission = table.admit(100, &arrival(&service, owner(1), is_retry), random);
        let by_budget =
            matches!(admission, Admission::Refuse { reason: LocalRefusal::RetryBudget, .. });
        assert_eq!(is_sent(admission), !by_budget);
        sent[usize::from(is_retry)] += usize::from(!by_budget);
    }
    assert_eq!(sent[0], 1_000);
    assert!((90..=100).contains(&sent[1]), "{} retries", sent[1]);

    let (tenant, route) = ("families".into(), "bookings".into());
    let mut history = RefusalHistory::default();
    history.record(0, &tenant, &route);
    for _ in 0..3 {
        assert!(history.match_retry(RETRY_WINDOW_MS, &tenant, &route));
        history.undo_match(RETRY_WINDOW_MS, &tenant, &route, 0);
    }
    assert!(!history.match_retry(RETRY_WINDOW_MS + 1, &tenant, &route));
    history.record(2_000, &tenant, &route);
    assert!(history.match_retry(2_000, &tenant, &route));
    assert!(!history.match_retry(2_000, &tenant, &route), "one refusal has one retry");
}

/// Guards against one refusal that makes all statements of a tenant and route count as retries, because
/// the next one is refused as its retry and the next one after it again.
#[test]
fn one_refusal_holds_up_single_statements() {
    let (tenant, route) = ("families".into(), "bookings".into());
    let retry_after_ms = 100;
    let mut history = RefusalHistory::default();
    history.record(0, &tenant, &route);
    let mut held_up = 0;
    for now_ms in 1..=RETRY_WINDOW_MS {
        if history.match_retry(now_ms, &tenant, &route) {
            history.undo_match(now_ms, &tenant, &route, retry_after_ms);
            held_up += 1;
        }
    }
    // Callers that are told to retry after 50 to 100 ms come back at most this often.
    assert!(held_up <= 1 + RETRY_WINDOW_MS / 50, "{held_up} statements are held up");
    assert!(held_up >= RETRY_WINDOW_MS / 100, "only {held_up} retries are known as such");
}

/// Guards against messages that grow without load.
#[test]
fn pressure_travels_only_while_there_is_some_and_once_after_it() {
    let service = "dispatch".into();
    let mut teller = PressureTeller::default();
    let (some, none) = (pressure(1, &[(0, 40)]), pressure(1, &[]));
    assert_eq!(teller.tell(&service, Some(none.clone())), None);
    assert_eq!(teller.tell(&service, Some(some.clone())), Some(some.clone()));
    assert_eq!(teller.tell(&service, Some(none.clone())), Some(none.clone()));
    assert_eq!(teller.tell(&service, Some(none)), None);
    assert_eq!(teller.tell(&service, Some(some.clone())), Some(some));
    assert_eq!(teller.tell(&service, None), None);
}

/// Guards against transactions that cannot end, and against refusals of statements that ran.
#[tokio::test]
async fn open_transactions_go_on_under_pressure() {
    let cluster = TestCluster::start(2).await;
    let entry = 1 - cluster.owner().expect("the service has an owner");
    let owner_address = cluster.hosts[1 - entry].address;
    let told = pressure(u64::MAX, &[(1, 60_000)]);
    let tell = || {
        let node = &cluster.hosts[entry].node;
        node.record_pressure(&"dispatch".into(), owner_address, Some(told.clone()));
    };
    let mut session = cluster.open(entry, "bookings");
    run(&mut session, "t1", "BEGIN").await.expect("no pressure yet");
    run(&mut session, "t2", "STORE a").await.expect("no pressure yet");
    let mut empty = cluster.open(entry, "bookings");
    run(&mut empty, "e1", "BEGIN").await.expect("no pressure yet");
    let mut other = cluster.open(entry, "bookings");
    let mut refusal = None;
    // The pressure may be too old already if the test is held up.
    for _ in 0..20 {
        tell();
        refusal = run(&mut other, "o1", "STORE b").await.err();
        if refusal.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let refusal = refusal.expect("a new statement is refused before the hop");
    assert_eq!(refusal.failure, Failure::Busy);
    assert!(refusal.detail.contains("; retry after "), "{}", refusal.detail);
    let ran_before = cluster.execution_count("o1");
    tell();
    run(&mut session, "t3", "STORE c").await.expect("the transaction goes on");
    tell();
    run(&mut session, "t4", "COMMIT").await.expect("the transaction ends");
    tell();
    run(&mut empty, "e2", "COMMIT").await.expect("an empty transaction ends");
    assert_eq!(cluster.execution_count("o1"), ran_before);
    let metrics = cluster.hosts[entry].node.render_metrics();
    let refused = "refused_before_hop{service=\"dispatch\",level=\"1\",reason=\"expected_wait\"} 1";
    assert!(metrics.contains(refused), "{metrics}");
}

/// Guards against pressure that does not reach the nodes that it is for, and against one that stays
/// in effect there after its end.
#[tokio::test]
async fn pressure_reaches_another_node_with_a_reply_and_ends_with_another_one() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("the service has an owner");
    let entry = 1 - owner;
    let [owner_node, entry_node] = [owner, entry].map(|host| &cluster.hosts[host].node);
    let service: Name = "dispatch".into();
    let mut session = cluster.open(entry, "bookings");
    run(&mut session, "s0", "STORE a").await.expect("no pressure yet");
    assert!(!entry_node.render_metrics().contains("pressure_in_effect_ms{"), "no pressure yet");
    let mut open = cluster.open(entry, "bookings");
    run(&mut open, "t1", "BEGIN").await.expect("no pressure yet");
    run(&mut open, "t2", "STORE a").await.expect("no pressure yet");

    // The owner itself refuses nothing for this pressure.
    owner_node.override_pressure(&service, Some(pressure(0, &[(1, 60_000)]).pressure));
    run(&mut session, "s1", "STORE a").await.expect("the entry node knows of no pressure yet");
    let mut refused = None;
    // What the last reply told may be too old already if the test is held up.
    for number in 0..20 {
        let id = format!("u{number}");
        refused = run(&mut session, &id, "STORE a").await.err().map(|refusal| (id, refusal));
        if refused.is_some() {
            break;
        }
    }
    let (id, refusal) = refused.expect("a statement is refused before the hop");
    let expected = "not run: the owner expects a wait of 60000 ms at level 1; retry after ";
    assert!(refusal.detail.starts_with(expected), "{}", refusal.detail);
    assert_eq!(refusal.failure, Failure::Busy);
    assert_eq!(cluster.execution_count(&id), 0);
    let is_refusing = |node: &Node| node.render_metrics().contains("refused_before_hop{");
    assert!(is_refusing(entry_node) && !is_refusing(owner_node));

    owner_node.override_pressure(&service, None);
    run(&mut open, "t3", "COMMIT").await.expect("its reply tells the end of the pressure");
    assert!(!entry_node.render_metrics().contains("pressure_in_effect_ms{"), "still in effect");
    let told = Instant::now();
    let mut number = 0;
    while let Err(refusal) = run(&mut session, &format!("v{number}"), "STORE a").await {
        assert!(refusal.detail.contains("resumes step by step"), "{}", refusal.detail);
        assert!(told.elapsed() < WAIT_LIMIT, "admission does not resume");
        number += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(MAX_PRESSURE_AGE_MS + 1)).await;
    for number in 0..20 {
        run(&mut session, &format!("w{number}"), "STORE a").await.expect("no pressure any more");
    }
}

/// Guards against a refusal that says that a statement was not run after it was sent and its answer
/// was lost.
#[tokio::test]
async fn a_statement_without_an_answer_is_not_refused_as_not_run() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_until_serving(1).await;
    let owner = cluster.owner().expect("the service has an owner");
    let entry = 1 - owner;
    let owner_address = cluster.hosts[owner].address;
    let tell = || {
        let told = Some(pressure(u64::MAX, &[(1, 60_000)]));
        cluster.hosts[entry].node.record_pressure(&"dispatch".into(), owner_address, told);
    };
    let mut sent = cluster.open(entry, "bookings");
    cluster.group.set_latency("m1", 60_000);
    let running = tokio::spawn(async move { run(&mut sent, "r1", "FETCH a").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    tell();
    cluster.hosts[owner].stop.cancel();
    while !running.is_finished() {
        tell();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refusal = running.await.expect("no panic").expect_err("the owner cannot be reached");
    assert!(!refusal.detail.contains("not run"), "{}", refusal.detail);
    tell();
    let later = run(&mut cluster.open(entry, "bookings"), "r2", "FETCH a").await;
    let refusal = later.expect_err("a new statement is refused before the hop");
    assert!(refusal.detail.starts_with("not run: the owner expects"), "{}", refusal.detail);
}
