//! Runs the measure command.

use super::arguments::Measure;
use super::control_cost;
use super::data_centre;
use super::failover_gap;
use super::noisy_neighbour;
use super::rate_refusals;
use super::replica_reads;

/// Runs a measurement, which prints its results.
///
/// # Errors
///
/// Returns a message if the name is unknown or the measurement fails.
pub async fn run(measure: Measure) -> Result<(), String> {
    match measure.name.as_str() {
        "replica-reads" => replica_reads::run().await,
        "failover" => failover_gap::run().await,
        "neighbour" => noisy_neighbour::run().await,
        "rates" => rate_refusals::run().await,
        "data-centre" => data_centre::run().await,
        "control" => control_cost::run(measure.hosts, measure.seconds).await,
        other => Err(format!("unknown measurement \"{other}\"")),
    }
}
