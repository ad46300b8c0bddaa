//! Random faults in a cluster: no statement is executed twice, or executed although its caller was
//! told that it was not; no caller gets the reply to another statement; no read is staler than its
//! route allows; and all hosts recover.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::stand_in::InjectedFault;
use crate::stand_in::StandInGroup;
use crate::test_cluster::TestCluster;
use crate::test_cluster::run;
use snipehead_core::log_position::LogPosition;
use snipehead_core::node::Node;
use snipehead_core::outcome::Failure;
use snipehead_core::session::Session;
use snipehead_core::session::StatementResult;

/// Time for which faults are injected.
const SOAK: Duration = Duration::from_secs(8);

/// Longest time until every host serves again after the last fault: the validity of a lease, and
/// the time that a takeover needs.
const RECOVERY: Duration = Duration::from_secs(8);

/// Staleness that the route `lookups` allows.
const MAX_STALENESS: Duration = Duration::from_millis(500);

/// Time until a promotion takes effect, in milliseconds.
const PROMOTION_MS: u64 = 300;

const HOSTS: usize = 3;
const CALLERS: usize = 6;
const MEMBERS: [&str; 3] = ["m1", "m2", "m3"];

/// Results that callers got, and violations found in them.
#[derive(Default)]
struct OutcomeLog {
    acknowledged: Mutex<Vec<(Instant, String, LogPosition)>>,
    /// Ids of statements that were reported as having had no effect.
    without_effect: Mutex<Vec<String>>,
    findings: Mutex<Vec<String>>,
    is_over: AtomicBool,
}

impl OutcomeLog {
    /// Returns the newest position that was acknowledged at least `age` ago.
    fn floor(&self, age: Duration) -> LogPosition {
        let now = Instant::now();
        let acknowledged = self.acknowledged.lock().expect("the mutex is not poisoned");
        let old = acknowledged.iter().filter(|(at, ..)| *at + age <= now);
        old.map(|(.., position)| *position).max().unwrap_or_default()
    }

    fn record_outcome(&self, id: &str, result: &StatementResult) {
        self.check_reply(id, result);
        match result {
            Ok(answer) => {
                let position = answer.position.unwrap_or_default();
                let mut acknowledged = self.acknowledged.lock().expect("the mutex is not poisoned");
                acknowledged.push((Instant::now(), id.to_owned(), position));
            }
            Err(refusal) if promises_no_effect(refusal.failure) => {
                self.without_effect.lock().expect("the mutex is not poisoned").push(id.to_owned());
            }
            Err(_) => {}
        }
    }

    /// Checks that an answer is that of the statement: members put its id into the signature, and the
    /// signature into the row of a read.
    fn check_reply(&self, id: &str, result: &StatementResult) {
        if let Ok(answer) = result
            && (!answer.signature.ends_with(&format!("-of-{id}"))
                || answer.rows.iter().any(|row| *row != answer.signature))
        {
            let finding = format!("{id} got {:?} {}", answer.rows, answer.signature);
            self.findings.lock().expect("the mutex is not poisoned").push(finding);
        }
    }

    fn check_read(&self, id: &str, floor: LogPosition, result: &StatementResult) {
        self.check_reply(id, result);
        if let Ok(answer) = result
            && answer.position.unwrap_or_default() < floor
        {
            let finding = format!("{id} read at {:?}, but required {floor:?}", answer.position);
            self.findings.lock().expect("the mutex is not poisoned").push(finding);
        }
    }
}

fn promises_no_effect(failure: Failure) -> bool {
    !matches!(failure, Failure::InDoubt | Failure::Timeout | Failure::Failed)
}

/// Sends statements through random hosts until the test is over.
async fn run_caller(
    number: usize,
    seed: u64,
    hosts: Arc<Mutex<Vec<Arc<Node>>>>,
    outcomes: Arc<OutcomeLog>,
) {
    let mut random = SmallRng::seed_from_u64(seed * 100 + number as u64);
    let mut count = 0;
    while !outcomes.is_over.load(Ordering::Acquire) {
        let node = {
            let hosts = hosts.lock().expect("the mutex is not poisoned");
            hosts[random.random_range(0..hosts.len())].clone()
        };
        let database = ["bookings", "lookups"][random.random_range(0..2)];
        let Ok(mut session) = Session::open(node, database.into(), "key".into()) else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..4 {
            count += 1;
            let id = format!("c{number}x{count}");
            match random.random_range(0..3) {
                0 => {
                    let result = run(&mut session, &id, "STORE a 1").await;
                    outcomes.record_outcome(&id, &result);
                }
                1 => {
                    let age = if database == "lookups" { MAX_STALENESS } else { Duration::ZERO };
                    let floor = outcomes.floor(age);
                    let result = run(&mut session, &id, "FETCH a").await;
                    outcomes.check_read(&id, floor, &result);
                }
                _ => run_transaction(&mut session, &id, &outcomes).await,
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn run_transaction(session: &mut Session, id: &str, outcomes: &OutcomeLog) {
    let begun = run(session, &format!("{id}b"), "BEGIN").await;
    let written = run(session, &format!("{id}w"), "STORE a 1").await;
    outcomes.check_reply(&format!("{id}w"), &written);
    if begun.is_err() || written.is_err() {
        let _ = run(session, &format!("{id}r"), "ROLLBACK").await;
        return;
    }
    let result = run(session, id, "COMMIT").await;
    outcomes.record_outcome(id, &result);
}

/// Injects one random fault, and ends it if it lasts. Returns its name.
async fn inject_random_fault(
    cluster: &mut TestCluster,
    hosts: &Mutex<Vec<Arc<Node>>>,
    random: &mut SmallRng,
) -> &'static str {
    let member = MEMBERS[random.random_range(0..MEMBERS.len())];
    let pause = Duration::from_millis(random.random_range(100..1_500));
    match random.random_range(0..13) {
        0 => {
            cluster.store.is_down.store(true, Ordering::Release);
            tokio::time::sleep(pause).await;
            cluster.store.is_down.store(false, Ordering::Release);
            "store down"
        }
        1 => {
            let host = replace_random_host(cluster, hosts, random).await;
            cluster.kill(host).await;
            "host killed"
        }
        2 => {
            let host = replace_random_host(cluster, hosts, random).await;
            cluster.hosts[host].node.shut_down().await;
            cluster.kill(host).await;
            "host stopped"
        }
        3 => {
            cluster.group.set_up(member, false);
            tokio::time::sleep(pause).await;
            cluster.group.recover(member);
            "member down"
        }
        4 => {
            cluster.group.restart(member);
            "member closed its connections"
        }
        5 => {
            cluster.group.inject_fault(member, InjectedFault::AnswerLost);
            "answer lost"
        }
        6 => {
            cluster.group.stall_replication(member);
            tokio::time::sleep(pause).await;
            cluster.group.recover(member);
            "member behind"
        }
        7 => {
            cluster.group.set_repeating(member, true);
            tokio::time::sleep(pause).await;
            cluster.group.set_repeating(member, false);
            "replies repeated"
        }
        8 => {
            lose_member_while(&cluster.group, member, pause, &cluster.group.are_orders_refused)
                .await;
            "orders refused"
        }
        9 => {
            lose_member_while(&cluster.group, member, pause, &cluster.group.are_orders_unanswered)
                .await;
            "orders unanswered"
        }
        10 => {
            let mut entries = cluster.group.entries();
            entries.iter_mut().for_each(|entry| entry.is_draining = &*entry.key.id == member);
            cluster.store.set_members(entries);
            tokio::time::sleep(pause).await;
            cluster.store.set_members(cluster.group.entries());
            "member draining"
        }
        11 => {
            let mut entries = cluster.group.entries();
            entries.retain(|entry| &*entry.key.id == member);
            cluster.store.set_members(entries);
            tokio::time::sleep(pause).await;
            cluster.store.set_members(cluster.group.entries());
            "one member listed"
        }
        _ => {
            let failures = [Failure::Busy, Failure::Lagging, Failure::ReadOnly, Failure::Failed];
            let failure = failures[random.random_range(0..failures.len())];
            cluster.group.inject_fault(member, InjectedFault::Refused(failure));
            "refusal"
        }
    }
}

/// Stops a member for a time in which the platform treats orders to promote a member as `fault` says.
async fn lose_member_while(
    group: &StandInGroup,
    member: &str,
    pause: Duration,
    fault: &AtomicBool,
) {
    fault.store(true, Ordering::Release);
    group.set_up(member, false);
    tokio::time::sleep(pause).await;
    fault.store(false, Ordering::Release);
    group.recover(member);
}

/// Redirects callers from a random host to a new one, and returns the index of the old host in the
/// cluster.
async fn replace_random_host(
    cluster: &mut TestCluster,
    hosts: &Mutex<Vec<Arc<Node>>>,
    random: &mut SmallRng,
) -> usize {
    cluster.add_host().await;
    let new = cluster.hosts.last().expect("the cluster has a host").node.clone();
    let index = random.random_range(0..HOSTS);
    let old = std::mem::replace(&mut hosts.lock().expect("the mutex is not poisoned")[index], new);
    let host = cluster.hosts.iter().position(|host| Arc::ptr_eq(&host.node, &old));
    host.expect("the host belongs to the cluster")
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_guarantees_hold_under_random_faults(#[case] seed: u64) {
    let mut cluster = TestCluster::start(HOSTS).await;
    cluster.group.promotion_ms.store(PROMOTION_MS, Ordering::Release);
    if seed.is_multiple_of(2) {
        cluster.set_sync_replicas(1).await;
    }
    let nodes = cluster.hosts.iter().map(|host| host.node.clone()).collect();
    let hosts = Arc::new(Mutex::new(nodes));
    let outcomes = Arc::new(OutcomeLog::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(run_caller(number, seed, hosts.clone(), outcomes.clone())))
        .collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let started = Instant::now();
    while started.elapsed() < SOAK {
        faults.push(inject_random_fault(&mut cluster, &hosts, &mut random).await);
        tokio::time::sleep(Duration::from_millis(random.random_range(50..600))).await;
    }
    let healed = Instant::now();
    let current_hosts = hosts.lock().expect("the mutex is not poisoned").clone();
    for node in current_hosts {
        let host = cluster.hosts.iter().position(|host| Arc::ptr_eq(&host.node, &node));
        cluster.wait_until_serving(host.expect("the host belongs to the cluster")).await;
    }
    assert!(healed.elapsed() < RECOVERY, "seed {seed}: {faults:?}, then {:?}", healed.elapsed());
    outcomes.is_over.store(true, Ordering::Release);
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    check_outcomes(&cluster, &outcomes, &format!("seed {seed}: {faults:?}"));
}

fn check_outcomes(cluster: &TestCluster, outcomes: &OutcomeLog, context: &str) {
    let acknowledged = outcomes.acknowledged.lock().expect("the mutex is not poisoned");
    assert!(acknowledged.len() > 100, "{context}: only {} writes", acknowledged.len());
    for (_, id, _) in &*acknowledged {
        assert_eq!(cluster.execution_count(id), 1, "{context}: {id} was acknowledged");
    }
    for id in &*outcomes.without_effect.lock().expect("the mutex is not poisoned") {
        assert_eq!(cluster.execution_count(id), 0, "{context}: {id} was reported as not executed");
    }
    let findings = outcomes.findings.lock().expect("the mutex is not poisoned");
    assert!(findings.is_empty(), "{context}: {findings:?}");
}
