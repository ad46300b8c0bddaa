//! Tests that a workspace never exceeds its rate and burst over all hosts. The total is counted in
//! the database, and the writes in shorter windows by the times of their responses.

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

/// Disruption of the daemons under load.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    None,
    /// All callers move to the next daemon every second.
    MovingLoad,
    /// One daemon loses its connections to the other daemons, the platform and the members.
    Isolated,
    /// One daemon is suspended and later resumed.
    Suspended,
    /// One daemon is killed and started again.
    Restarted,
}

#[rstest]
#[case(Disruption::None)]
#[case(Disruption::MovingLoad)]
#[case(Disruption::Isolated)]
#[case(Disruption::Suspended)]
#[case(Disruption::Restarted)]
#[tokio::test(flavor = "multi_thread")]
async fn workspace_never_exceeds_its_rate(#[case] disruption: Disruption) {
    let plan = DeploymentPlan {
        hosts: 4,
        defaults: json!({ "rate_per_s": RATE_PER_S as u64, "burst": BURST as u64 }),
        ..DeploymentPlan::small()
    };
    let cluster = Cluster::start_with_plan(plan).await;
    cluster.connect(0).await.run_ok("CREATE TABLE notes (id BIGINT, note TEXT)").await;
    let cluster = Arc::new(tokio::sync::RwLock::new(cluster));
    let stop = CancellationToken::new();
    let acknowledged_after = Arc::new(Mutex::new(Vec::new()));
    let started_at = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for caller in 0..12_usize {
        let (cluster, stop, acknowledged_after) =
            (cluster.clone(), stop.clone(), acknowledged_after.clone());
        tasks.push(tokio::spawn(async move {
            let mut round = 0_i64;
            let mut daemon = caller % 4;
            let mut connection: Option<crate::harness::sql_client::SqlClient> = None;
            while !stop.is_cancelled() {
                round += 1;
                if matches!(disruption, Disruption::MovingLoad) {
                    let next_daemon = (started_at.elapsed().as_secs() % 4) as usize;
                    if next_daemon != daemon {
                        daemon = next_daemon;
                        connection = None;
                    }
                }
                if connection.is_none() {
                    let cluster_guard = cluster.read().await;
                    let connecting = cluster_guard.try_connect(daemon, "").await;
                    connection = connecting.ok();
                }
                let Some(sql) = &connection else {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let id = caller as i64 * 1_000_000 + round;
                let insert_sql = format!("INSERT INTO notes VALUES ({id}, 'x')");
                let inserting = sql.run(&insert_sql);
                match tokio::time::timeout(Duration::from_secs(3), inserting).await {
                    Ok(outcome) if outcome.is_done() => {
                        acknowledged_after
                            .lock()
                            .expect("the lock is not poisoned")
                            .push(started_at.elapsed());
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
    match disruption {
        Disruption::Isolated => {
            cluster.read().await.isolate_daemon(3, None, Fault::disconnect());
        }
        Disruption::Suspended => cluster.write().await.daemon(3).suspend(),
        Disruption::Restarted => {
            let mut cluster = cluster.write().await;
            cluster.daemon(3).kill();
            cluster.start_daemon("host04");
        }
        _ => {}
    }
    tokio::time::sleep(Duration::from_secs(9)).await;
    if matches!(disruption, Disruption::Suspended) {
        cluster.write().await.daemon(3).resume();
    }
    cluster.read().await.clear_faults();
    tokio::time::sleep(Duration::from_secs(4)).await;
    stop.cancel();
    for task in tasks {
        let _ = tokio::time::timeout(Duration::from_secs(10), task).await;
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let times_s: Vec<f64> = acknowledged_after
        .lock()
        .expect("the lock is not poisoned")
        .iter()
        .map(Duration::as_secs_f64)
        .collect();
    let row_count = cluster.read().await.count("SELECT COUNT(*) FROM notes");
    println!(
        "{disruption:?}: {row_count} writes in {elapsed_s:.1} s, allowed {:.0}",
        RATE_PER_S * elapsed_s + BURST
    );
    assert!(
        row_count as f64 <= RATE_PER_S * elapsed_s + BURST,
        "{row_count} writes in {elapsed_s} s exceed rate and burst"
    );
    for window_s in [1.0, 2.0, 5.0] {
        let max_count = max_count_in_window(&times_s, window_s);
        // The times are those of the responses, which reach the callers some time after the
        // commits. The 0.25 s allow for differences in that delay.
        let allowed = RATE_PER_S * (window_s + 0.25) + BURST;
        assert!(
            max_count as f64 <= allowed,
            "{max_count} writes within {window_s} s, allowed {allowed}"
        );
    }
    let min_fraction = match disruption {
        Disruption::None => 0.8,
        _ => 0.4,
    };
    assert!(
        row_count as f64 >= RATE_PER_S * elapsed_s * min_fraction,
        "only {row_count} writes in {elapsed_s} s"
    );
}

/// Returns the highest number of times in any window of the given length.
fn max_count_in_window(times_s: &[f64], window_s: f64) -> usize {
    let mut sorted = times_s.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count_from =
        |start: &f64| sorted.iter().filter(|at| **at >= *start && **at < start + window_s).count();
    sorted.iter().map(count_from).max().unwrap_or(0)
}
