//! Arguments of the measure command.

use argh::FromArgs;

/// Run a measurement in a deployment started for it: replica-reads, failover, neighbour, rates,
/// data-centre or control.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct Measure {
    /// name of the measurement
    #[argh(positional)]
    pub name: String,
    /// number of daemons (control only)
    #[argh(option, default = "9")]
    pub hosts: usize,
    /// duration in seconds (control only)
    #[argh(option, default = "10")]
    pub seconds: u64,
}
