//! The measure command.

use super::arguments::Measure;
use super::control_cost;
use super::data_centre;
use super::failover_gap;
use super::neighbour;
use super::rate_refusals;
use super::replica_reads;

/// Takes a measure and prints its table.
///
/// # Errors
///
/// Returns a sentence when the measure is not known or cannot be taken.
pub async fn run(measure: Measure) -> Result<(), String> {
    match measure.name.as_str() {
        "replica-reads" => replica_reads::run().await,
        "failover" => failover_gap::run().await,
        "neighbour" => neighbour::run().await,
        "rates" => rate_refusals::run().await,
        "data-centre" => data_centre::run().await,
        "control" => control_cost::run(measure.hosts, measure.seconds).await,
        other => Err(format!("measure \"{other}\" is not known")),
    }
}
