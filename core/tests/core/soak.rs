//! Random faults against whole nodes: nothing takes effect twice or against a promise, no read is
//! staler than its route allows, and service comes back.

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

use crate::scene::Scene;
use crate::scene::run;
use crate::stand_in::Fate;
use snipehead_core::log_position::LogPosition;
use snipehead_core::node::Node;
use snipehead_core::outcome::Failure;
use snipehead_core::session::Session;
use snipehead_core::session::StatementResult;

/// How long faults come.
const SOAK: Duration = Duration::from_secs(8);

/// Longest time until every host serves again: a lease, and what a takeover needs.
const RECOVERY: Duration = Duration::from_secs(8);

/// Staleness that the stand-in route for lookups allows.
const MAX_STALENESS: Duration = Duration::from_millis(500);

const HOSTS: usize = 3;
const CALLERS: usize = 6;
const MEMBERS: [&str; 3] = ["m1", "m2", "m3"];

/// What callers were told.
#[derive(Default)]
struct Ledger {
    acknowledged: Mutex<Vec<(Instant, String, LogPosition)>>,
    promised: Mutex<Vec<String>>,
    findings: Mutex<Vec<String>>,
    is_over: AtomicBool,
}

impl Ledger {
    /// Newest position that was acknowledged an age ago.
    fn floor(&self, age: Duration) -> LogPosition {
        let now = Instant::now();
        let acknowledged = self.acknowledged.lock().expect("no holder panics");
        let old = acknowledged.iter().filter(|(at, ..)| *at + age <= now);
        old.map(|(.., position)| *position).max().unwrap_or_default()
    }

    fn note_end(&self, id: &str, ended: &StatementResult) {
        match ended {
            Ok(answer) => {
                let position = answer.position.unwrap_or_default();
                let mut acknowledged = self.acknowledged.lock().expect("no holder panics");
                acknowledged.push((Instant::now(), id.to_owned(), position));
            }
            Err(refusal) if is_promise(refusal.failure) => {
                self.promised.lock().expect("no holder panics").push(id.to_owned());
            }
            Err(_) => {}
        }
    }

    fn check_read(&self, id: &str, floor: LogPosition, ended: &StatementResult) {
        if let Ok(answer) = ended
            && answer.position.unwrap_or_default() < floor
        {
            let finding = format!("{id} read at {:?}, needed {floor:?}", answer.position);
            self.findings.lock().expect("no holder panics").push(finding);
        }
    }
}

fn is_promise(failure: Failure) -> bool {
    !matches!(failure, Failure::InDoubt | Failure::Timeout | Failure::Failed)
}

/// Sends statements by way of any host until the soak is over.
async fn call(number: usize, seed: u64, hosts: Arc<Mutex<Vec<Arc<Node>>>>, ledger: Arc<Ledger>) {
    let mut random = SmallRng::seed_from_u64(seed * 100 + number as u64);
    let mut count = 0;
    while !ledger.is_over.load(Ordering::Acquire) {
        let node = {
            let hosts = hosts.lock().expect("no holder panics");
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
                    let ended = run(&mut session, &id, "STORE a 1").await;
                    ledger.note_end(&id, &ended);
                }
                1 => {
                    let age = if database == "lookups" { MAX_STALENESS } else { Duration::ZERO };
                    let floor = ledger.floor(age);
                    let ended = run(&mut session, &id, "FETCH a").await;
                    ledger.check_read(&id, floor, &ended);
                }
                _ => transact(&mut session, &id, &ledger).await,
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn transact(session: &mut Session, id: &str, ledger: &Ledger) {
    let begun = run(session, &format!("{id}b"), "BEGIN").await;
    let written = run(session, &format!("{id}w"), "STORE a 1").await;
    if begun.is_err() || written.is_err() {
        let _ = run(session, &format!("{id}r"), "ROLLBACK").await;
        return;
    }
    let ended = run(session, id, "COMMIT").await;
    ledger.note_end(id, &ended);
}

/// Causes one fault, and ends it.
async fn disturb(
    scene: &mut Scene,
    hosts: &Mutex<Vec<Arc<Node>>>,
    random: &mut SmallRng,
) -> &'static str {
    let member = MEMBERS[random.random_range(0..MEMBERS.len())];
    let pause = Duration::from_millis(random.random_range(100..1_500));
    match random.random_range(0..8) {
        0 => {
            scene.store.is_down.store(true, Ordering::Release);
            tokio::time::sleep(pause).await;
            scene.store.is_down.store(false, Ordering::Release);
            "store down"
        }
        1 => {
            let host = replace(scene, hosts, random).await;
            scene.kill(host).await;
            "host killed"
        }
        2 => {
            let host = replace(scene, hosts, random).await;
            scene.hosts[host].node.shut_down().await;
            scene.kill(host).await;
            "host stopped"
        }
        3 => {
            scene.group.set_up(member, false);
            tokio::time::sleep(pause).await;
            scene.group.recover(member);
            "member down"
        }
        4 => {
            scene.group.restart(member);
            "member closed its connections"
        }
        5 => {
            scene.group.give_fate(member, Fate::AnswerLost);
            "answer lost"
        }
        6 => {
            scene.group.hold_back(member);
            tokio::time::sleep(pause).await;
            scene.group.recover(member);
            "member behind"
        }
        _ => {
            let failures = [Failure::Busy, Failure::Lagging, Failure::ReadOnly, Failure::Failed];
            let failure = failures[random.random_range(0..failures.len())];
            scene.group.give_fate(member, Fate::Refused(failure));
            "refusal"
        }
    }
}

/// Sends callers to a new host instead of one of the present ones, and returns that one.
async fn replace(scene: &mut Scene, hosts: &Mutex<Vec<Arc<Node>>>, random: &mut SmallRng) -> usize {
    scene.add_host().await;
    let new = scene.hosts.last().expect("a host").node.clone();
    let index = random.random_range(0..HOSTS);
    let old = std::mem::replace(&mut hosts.lock().expect("no holder panics")[index], new);
    let host = scene.hosts.iter().position(|host| Arc::ptr_eq(&host.node, &old));
    host.expect("it is one of the scene's")
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_rules_hold_under_random_faults(#[case] seed: u64) {
    let mut scene = Scene::start(HOSTS).await;
    let nodes = scene.hosts.iter().map(|host| host.node.clone()).collect();
    let hosts = Arc::new(Mutex::new(nodes));
    let ledger = Arc::new(Ledger::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(call(number, seed, hosts.clone(), ledger.clone())))
        .collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let started = Instant::now();
    while started.elapsed() < SOAK {
        faults.push(disturb(&mut scene, &hosts, &mut random).await);
        tokio::time::sleep(Duration::from_millis(random.random_range(50..600))).await;
    }
    let healed = Instant::now();
    let present = hosts.lock().expect("no holder panics").clone();
    for node in present {
        let host = scene.hosts.iter().position(|host| Arc::ptr_eq(&host.node, &node));
        scene.wait_served(host.expect("it is one of the scene's")).await;
    }
    assert!(healed.elapsed() < RECOVERY, "seed {seed}: {faults:?}, then {:?}", healed.elapsed());
    ledger.is_over.store(true, Ordering::Release);
    for caller in callers {
        caller.await.expect("it ends");
    }
    check(&scene, &ledger, &format!("seed {seed}: {faults:?}"));
}

fn check(scene: &Scene, ledger: &Ledger, context: &str) {
    let acknowledged = ledger.acknowledged.lock().expect("no holder panics");
    assert!(acknowledged.len() > 100, "{context}: only {} writes", acknowledged.len());
    for (_, id, _) in &*acknowledged {
        assert_eq!(scene.times_run(id), 1, "{context}: {id} was acknowledged");
    }
    for id in &*ledger.promised.lock().expect("no holder panics") {
        assert_eq!(scene.times_run(id), 0, "{context}: {id} was promised not to be kept");
    }
    let findings = ledger.findings.lock().expect("no holder panics");
    assert!(findings.is_empty(), "{context}: {findings:?}");
}
