//! A workspace beside one that sends five times its rate.

use std::sync::Arc;

use serde_json::json;

use super::scene::Scene;
use super::scene::open_loop;
use super::scene::print_figures;
use super::scene::print_head;
use crate::load::runner::run_workspace;

/// Takes the measure.
///
/// # Errors
///
/// Returns a sentence when the deployment does not get ready.
pub async fn run() -> Result<(), String> {
    let defaults = json!({ "rate_per_s": 200, "burst": 200 });
    let scene = Scene::start(3, &["small", "large"], defaults).await?;
    println!("small sends 50/s, a fifth of it writes; large sends 1000/s, five times its rate");
    print_head();
    let small = Arc::new(scene.target(0, scene.addresses()));
    let large = Arc::new(scene.target(1, scene.addresses()));
    let alone = run_workspace(small.clone(), open_loop(50, 4, 15, 20)).await?;
    print_figures("small alone", &alone);
    let crowding = tokio::spawn(run_workspace(large, open_loop(1_000, 32, 15, 20)));
    let beside = run_workspace(small, open_loop(50, 4, 14, 20)).await?;
    print_figures("small beside large", &beside);
    print_figures("large", &crowding.await.map_err(|error| error.to_string())??);
    for (before, after) in alone.classes.iter().zip(&beside.classes) {
        let ratio = after.p99_us as f64 / before.p99_us.max(1) as f64;
        println!("p99 of small's {}s beside large: {ratio:.2} times that alone", before.name);
    }
    scene.stop().await;
    Ok(())
}
