//! Requests refused although the workspace is within its rate.

use std::sync::Arc;

use serde_json::json;

use super::scene::Scene;
use super::scene::open_loop;
use crate::load::runner::run_workspace;

/// Rate of the workspace, in statements a second.
const RATE_PER_S: u64 = 200;

/// Takes the measure.
///
/// # Errors
///
/// Returns a sentence when the deployment does not get ready.
pub async fn run() -> Result<(), String> {
    println!("rate {RATE_PER_S}/s over 9 daemons; offered as told, reads only");
    let defaults = json!({ "rate_per_s": RATE_PER_S, "burst": RATE_PER_S });
    let scene = Scene::start(9, &["families"], defaults).await?;
    let addresses = scene.addresses();
    let prepare = Arc::new(scene.target(0, addresses.clone()));
    run_workspace(prepare, open_loop(5, 1, 1, 0)).await?;
    for offered_per_s in [100, 160, 190] {
        let before = scene.counters().await;
        let even = Arc::new(scene.target(0, addresses.clone()));
        run_workspace(even, open_loop(offered_per_s, 18, 10, 0)).await?;
        report("even over all", offered_per_s, before, scene.counters().await);
        let before = scene.counters().await;
        let one = Arc::new(scene.target(0, vec![addresses[0]]));
        run_workspace(one, open_loop(offered_per_s, 18, 10, 0)).await?;
        report("all to one", offered_per_s, before, scene.counters().await);
        let before = scene.counters().await;
        for second in 0..10 {
            let next = Arc::new(scene.target(0, vec![addresses[second % addresses.len()]]));
            run_workspace(next, open_loop(offered_per_s, 18, 1, 0)).await?;
        }
        report("to another each second", offered_per_s, before, scene.counters().await);
    }
    scene.stop().await;
    Ok(())
}

fn report(name: &str, offered_per_s: u64, before: [u64; 4], after: [u64; 4]) {
    let (admitted, refused) = (after[2] - before[2], after[3] - before[3]);
    let percent = 100.0 * refused as f64 / (admitted + refused).max(1) as f64;
    println!(
        "{name:<24} {offered_per_s:>4}/s  admitted {admitted:>5}, refused {refused:>4}: {percent:.2}%"
    );
}
