//! No workspace gets more than its rate and burst, counted on the database over all hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::harness::cluster::Cluster;
use snipehead::stand_in::deployment::DeploymentPlan;
use snipehead::stand_in::fault_proxy::Fault;

const RATE_PER_S: f64 = 60.0;
const BURST: f64 = 30.0;

/// What happens to the daemons under load.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    MovingLoad,
    CutOff,
    Paused,
    Replaced,
}

#[rstest]
#[case(Trouble::Nothing)]
#[case(Trouble::MovingLoad)]
#[case(Trouble::CutOff)]
#[case(Trouble::Paused)]
#[case(Trouble::Replaced)]
#[tokio::test(flavor = "multi_thread")]
async fn workspace_never_gets_more_than_its_rate(#[case] trouble: Trouble) {
    let plan = DeploymentPlan {
        hosts: 4,
        defaults: json!({ "rate_per_s": RATE_PER_S as u64, "burst": BURST as u64 }),
        ..DeploymentPlan::small()
    };
    let cluster = Cluster::start_with_plan(plan).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let cluster = Arc::new(tokio::sync::RwLock::new(cluster));
    let stop = CancellationToken::new();
    let done_at = Arc::new(Mutex::new(Vec::new()));
    let started_at = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for caller in 0..12_usize {
        let (cluster, stop, done_at) = (cluster.clone(), stop.clone(), done_at.clone());
        tasks.push(tokio::spawn(async move {
            let mut round = 0_i64;
            let mut daemon = caller % 4;
            let mut connection: Option<crate::harness::sql_client::SqlClient> = None;
            while !stop.is_cancelled() {
                round += 1;
                if matches!(trouble, Trouble::MovingLoad) {
                    let next = (started_at.elapsed().as_secs() % 4) as usize;
                    if next != daemon {
                        daemon = next;
                        connection = None;
                    }
                }
                if connection.is_none() {
                    let shared = cluster.read().await;
                    let connecting = shared.try_connect(daemon, "").await;
                    connection = connecting.ok();
                }
                let Some(sql) = &connection else {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let id = caller as i64 * 1_000_000 + round;
                let text = format!("INSERT INTO notes VALUES ({id}, 'x')");
                let insert = sql.run(&text);
                match tokio::time::timeout(Duration::from_secs(3), insert).await {
                    Ok(outcome) if outcome.is_done() => {
                        done_at.lock().expect("no panic").push(started_at.elapsed());
                    }
                    Ok(crate::harness::sql_client::Outcome::Error(..)) => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    _ => connection = None,
                }
            }
        }));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    match trouble {
        Trouble::CutOff => {
            cluster.read().await.isolate_daemon(3, None, Fault::disconnect());
        }
        Trouble::Paused => cluster.write().await.daemon(3).suspend(),
        Trouble::Replaced => {
            let mut cluster = cluster.write().await;
            cluster.daemon(3).kill();
            cluster.start_daemon("host04");
        }
        _ => {}
    }
    tokio::time::sleep(Duration::from_secs(9)).await;
    if matches!(trouble, Trouble::Paused) {
        cluster.write().await.daemon(3).resume();
    }
    cluster.read().await.clear_faults();
    tokio::time::sleep(Duration::from_secs(4)).await;
    stop.cancel();
    for task in tasks {
        let _ = tokio::time::timeout(Duration::from_secs(10), task).await;
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let times: Vec<f64> =
        done_at.lock().expect("no panic").iter().map(Duration::as_secs_f64).collect();
    let counted = cluster.read().await.count("SELECT COUNT(*) FROM notes");
    println!(
        "{trouble:?}: {counted} in {elapsed_s:.1} s, allowed {:.0}",
        RATE_PER_S * elapsed_s + BURST
    );
    assert!(counted as f64 <= RATE_PER_S * elapsed_s + BURST, "{counted} in {elapsed_s} s");
    for window_s in [1.0, 2.0, 5.0] {
        let worst = worst_window(&times, window_s);
        // Answers reach the callers up to some milliseconds apart from their commits.
        let allowed = RATE_PER_S * (window_s + 0.25) + BURST;
        assert!(worst as f64 <= allowed, "{worst} within {window_s} s, allowed {allowed}");
    }
    let least = match trouble {
        Trouble::Nothing => 0.8,
        _ => 0.4,
    };
    assert!(counted as f64 >= RATE_PER_S * elapsed_s * least, "only {counted} in {elapsed_s} s");
}

fn worst_window(times: &[f64], window_s: f64) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let within =
        |start: &f64| sorted.iter().filter(|at| **at >= *start && **at < start + window_s).count();
    sorted.iter().map(within).max().unwrap_or(0)
}
