//! Measures how long writes are not served when a primary is lost, as the highest latency of a
//! write in an open loop.

use std::sync::Arc;
use std::time::Duration;

use super::testbed::Testbed;
use super::testbed::open_loop;
use super::testbed::print_header;
use super::testbed::print_stats;
use crate::load::runner::run_workspace;

/// Number of times the primary is lost.
const ROUNDS: usize = 5;

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Returns a message if the deployment does not become ready or the load fails.
pub async fn run() -> Result<(), String> {
    println!("200 writes/s in an open loop; the primary stops after 3 s; {ROUNDS} rounds");
    print_header();
    let mut gaps_ms = Vec::new();
    for round in 0..ROUNDS {
        let testbed = Testbed::start_with_high_rate(3).await?;
        let target = Arc::new(testbed.target(0, testbed.addresses()));
        let writing = tokio::spawn(run_workspace(target, open_loop(200, 16, 10, 100)));
        tokio::time::sleep(Duration::from_secs(3)).await;
        testbed.embedded.deployment.member("dispatch", 0).stop().await;
        let stats = writing.await.map_err(|error| error.to_string())??;
        print_stats(&format!("round {}", round + 1), &stats);
        let worst_us = stats.classes.iter().map(|class| class.max_us).max().unwrap_or(0);
        gaps_ms.push(worst_us / 1_000);
        testbed.stop().await;
    }
    gaps_ms.sort_unstable();
    println!("gap in service: {gaps_ms:?} ms");
    Ok(())
}
