//! Measures a workspace's latency while another workspace sends five times its allowed rate.

use std::sync::Arc;

use serde_json::json;

use super::testbed::Testbed;
use super::testbed::open_loop;
use super::testbed::print_header;
use super::testbed::print_stats;
use crate::load::runner::run_workspace;

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Returns a message if the deployment does not become ready or the load fails.
pub async fn run() -> Result<(), String> {
    let defaults = json!({ "rate_per_s": 200, "burst": 200 });
    let testbed = Testbed::start(3, &["small", "large"], defaults).await?;
    println!("small sends 50/s, a fifth of it writes; large sends 1000/s, five times its rate");
    print_header();
    let small = Arc::new(testbed.target(0, testbed.addresses()));
    let large = Arc::new(testbed.target(1, testbed.addresses()));
    let alone = run_workspace(small.clone(), open_loop(50, 4, 15, 20)).await?;
    print_stats("small alone", &alone);
    let large_load = tokio::spawn(run_workspace(large, open_loop(1_000, 32, 15, 20)));
    let together = run_workspace(small, open_loop(50, 4, 14, 20)).await?;
    print_stats("small beside large", &together);
    print_stats("large", &large_load.await.map_err(|error| error.to_string())??);
    for (before, after) in alone.classes.iter().zip(&together.classes) {
        let ratio = after.p99_us as f64 / before.p99_us.max(1) as f64;
        println!("p99 of small's {}s beside large: {ratio:.2} times that alone", before.name);
    }
    testbed.stop().await;
    Ok(())
}
