//! Service while a data centre leaves and returns.

use std::sync::Arc;
use std::time::Duration;

use super::scene::Scene;
use super::scene::open_loop;
use super::scene::print_figures;
use super::scene::print_head;
use crate::control::change_request::ChangeRequest;
use crate::fleet::change::Operation;
use crate::load::runner::run_workspace;

/// Takes the measure.
///
/// # Errors
///
/// Returns a sentence when the deployment does not get ready or a change is refused.
pub async fn run() -> Result<(), String> {
    println!(
        "200 statements/s at the daemons that stay, a fifth of them writes; dc1 holds the primary"
    );
    print_head();
    let scene = Scene::start_roomy(6).await?;
    let staying: Vec<_> = scene
        .addresses()
        .into_iter()
        .enumerate()
        .filter(|(index, _)| index % 3 != 0)
        .map(|(_, address)| address)
        .collect();
    let target = Arc::new(scene.target(0, staying));
    print_figures("before", &run_workspace(target.clone(), open_loop(200, 16, 8, 20)).await?);
    let steps = [
        (
            "while it leaves",
            Operation::DataCentreOut { data_centre: "dc1".to_owned(), is_forced: false },
        ),
        ("while it returns", Operation::DataCentreIn { data_centre: "dc1".to_owned() }),
    ];
    for (name, operation) in steps {
        let running = tokio::spawn(run_workspace(target.clone(), open_loop(200, 16, 10, 20)));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let request = ChangeRequest {
            operation,
            expected_version: None,
            who: "measure".to_owned(),
            why: "to be measured".to_owned(),
        };
        let changed = scene.embedded.daemons[1].control().change(request).await;
        changed.map_err(|error| error.to_string())?;
        print_figures(name, &running.await.map_err(|error| error.to_string())??);
    }
    scene.stop().await;
    Ok(())
}
