//! Measures how many requests are refused although the workspace stays within its rate.

use std::sync::Arc;

use serde_json::json;

use super::testbed::Testbed;
use super::testbed::open_loop;
use crate::load::runner::run_workspace;

/// Allowed rate of the workspace, in statements per second.
const RATE_PER_S: u64 = 200;

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Returns a message if the deployment does not become ready or the load fails.
pub async fn run() -> Result<(), String> {
    println!("rate {RATE_PER_S}/s over 9 daemons; reads only, at the offered rates below");
    let defaults = json!({ "rate_per_s": RATE_PER_S, "burst": RATE_PER_S });
    let testbed = Testbed::start(9, &["families"], defaults).await?;
    let addresses = testbed.addresses();
    let warm_up = Arc::new(testbed.target(0, addresses.clone()));
    run_workspace(warm_up, open_loop(5, 1, 1, 0)).await?;
    for offered_per_s in [100, 160, 190] {
        let before = testbed.counters().await;
        let all_daemons = Arc::new(testbed.target(0, addresses.clone()));
        run_workspace(all_daemons, open_loop(offered_per_s, 18, 10, 0)).await?;
        report("spread over all daemons", offered_per_s, before, testbed.counters().await);
        let before = testbed.counters().await;
        let one_daemon = Arc::new(testbed.target(0, vec![addresses[0]]));
        run_workspace(one_daemon, open_loop(offered_per_s, 18, 10, 0)).await?;
        report("all to one daemon", offered_per_s, before, testbed.counters().await);
        let before = testbed.counters().await;
        for second in 0..10 {
            let next_daemon =
                Arc::new(testbed.target(0, vec![addresses[second % addresses.len()]]));
            run_workspace(next_daemon, open_loop(offered_per_s, 18, 1, 0)).await?;
        }
        report("next daemon each second", offered_per_s, before, testbed.counters().await);
    }
    testbed.stop().await;
    Ok(())
}

fn report(name: &str, offered_per_s: u64, before: [u64; 4], after: [u64; 4]) {
    let (admitted, refused) = (after[2] - before[2], after[3] - before[3]);
    let percent = 100.0 * refused as f64 / (admitted + refused).max(1) as f64;
    println!(
        "{name:<24} {offered_per_s:>4}/s  admitted {admitted:>5}, refused {refused:>4}: \
         {percent:.2}%"
    );
}
