//! Arguments of the measure command.

use argh::FromArgs;

/// Take a measure in a deployment of its own: replica-reads, failover, neighbour, rates,
/// data-centre or control.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct Measure {
    /// name of the measure
    #[argh(positional)]
    pub name: String,
    /// daemons, for control
    #[argh(option, default = "9")]
    pub hosts: usize,
    /// seconds, for control
    #[argh(option, default = "10")]
    pub seconds: u64,
}
