//! Measures the share of reads that replicas serve while they lag behind the primary.

use std::sync::Arc;
use std::time::Duration;

use super::testbed::Testbed;
use super::testbed::open_loop;
use crate::load::runner::run_workspace;

/// Replication lag, in milliseconds.
const LAG_MS: u64 = 1_000;

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Returns a message if the deployment does not become ready or the load fails.
pub async fn run() -> Result<(), String> {
    println!("replicas {LAG_MS} ms behind, 5 writes/s by other sessions, 200 reads/s");
    for (name, options) in [("no max age", ""), ("max age 3 s", "-c snipehead.max_age_ms=3000")] {
        let testbed = Testbed::start_with_high_rate(3).await?;
        let target = Arc::new(testbed.target(0, testbed.addresses()).with_options(options));
        run_workspace(target.clone(), open_loop(50, 1, 1, 0)).await?;
        for replica in 1..3 {
            testbed.embedded.deployment.member("dispatch", replica).set_apply_lag_ms(LAG_MS);
        }
        let writing = tokio::spawn(run_workspace(target.clone(), open_loop(5, 1, 21, 100)));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = testbed.counters().await;
        run_workspace(target, open_loop(200, 8, 20, 0)).await?;
        let after = testbed.counters().await;
        writing.await.map_err(|error| error.to_string())??;
        let (reads, by_replica) = (after[0] - before[0], after[1] - before[1]);
        let percent = 100.0 * by_replica as f64 / reads.max(1) as f64;
        println!("{name:<20} {by_replica} of {reads} reads by replicas: {percent:.1}%");
        testbed.stop().await;
    }
    Ok(())
}
