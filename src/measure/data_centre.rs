//! Measures latency and failures while a data centre is taken out of service and brought back.

use std::sync::Arc;
use std::time::Duration;

use super::testbed::Testbed;
use super::testbed::open_loop;
use super::testbed::print_header;
use super::testbed::print_stats;
use crate::control::change_request::ChangeRequest;
use crate::fleet::change::Operation;
use crate::load::runner::run_workspace;

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Returns a message if the deployment does not become ready, the load fails, or a change is
/// refused.
pub async fn run() -> Result<(), String> {
    println!(
        "200 statements/s at the remaining daemons, a fifth of them writes; dc1 holds the primary"
    );
    print_header();
    let testbed = Testbed::start_with_high_rate(6).await?;
    let remaining: Vec<_> = testbed
        .addresses()
        .into_iter()
        .enumerate()
        .filter(|(index, _)| index % 3 != 0)
        .map(|(_, address)| address)
        .collect();
    let target = Arc::new(testbed.target(0, remaining));
    print_stats("before", &run_workspace(target.clone(), open_loop(200, 16, 8, 20)).await?);
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
        let changed = testbed.embedded.daemons[1].control().change(request).await;
        changed.map_err(|error| error.to_string())?;
        print_stats(name, &running.await.map_err(|error| error.to_string())??);
    }
    testbed.stop().await;
    Ok(())
}
