//! The gap in service when a primary is lost.

use std::sync::Arc;
use std::time::Duration;

use super::scene::Scene;
use super::scene::open_loop;
use super::scene::print_figures;
use super::scene::print_head;
use crate::load::runner::run_workspace;

/// How often the primary is lost.
const ROUNDS: usize = 5;

/// Takes the measure.
///
/// # Errors
///
/// Returns a sentence when the deployment does not get ready.
pub async fn run() -> Result<(), String> {
    println!("200 writes/s, each due at its time; the primary stops after 3 s; {ROUNDS} rounds");
    print_head();
    let mut gaps_ms = Vec::new();
    for round in 0..ROUNDS {
        let scene = Scene::start_roomy(3).await?;
        let target = Arc::new(scene.target(0, scene.addresses()));
        let writing = tokio::spawn(run_workspace(target, open_loop(200, 16, 10, 100)));
        tokio::time::sleep(Duration::from_secs(3)).await;
        scene.embedded.deployment.member("dispatch", 0).stop().await;
        let figures = writing.await.map_err(|error| error.to_string())??;
        print_figures(&format!("round {}", round + 1), &figures);
        let worst_us = figures.classes.iter().map(|class| class.max_us).max().unwrap_or(0);
        gaps_ms.push(worst_us / 1_000);
        scene.stop().await;
    }
    gaps_ms.sort_unstable();
    println!("gap in service: {gaps_ms:?} ms");
    Ok(())
}
