//! Arguments of the load command.

use std::path::PathBuf;

use argh::FromArgs;

/// Run a load and print the latencies and failures that callers saw.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// daemons' addresses for callers, separated by commas; by default, a small deployment is
    /// started for the run
    #[argh(option)]
    pub to: Option<String>,
    /// workspace, key and group, as workspace:key:group; may be given more than once; only used
    /// with --to
    #[argh(option)]
    pub workspace: Vec<String>,
    /// connections per workspace
    #[argh(option, default = "4")]
    pub connections: usize,
    /// duration in seconds
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// statements per second and workspace (open loop); 0 sends each statement when the previous
    /// one is answered (closed loop)
    #[argh(option, default = "0")]
    pub rate: u64,
    /// percentage of statements that write
    #[argh(option, default = "20")]
    pub write_percent: u32,
    /// seed of the random choices
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// compare with direct connections to a member; needs the default deployment
    #[argh(switch)]
    pub side_by_side: bool,
    /// after the load, open this many idle connections and print this process's memory before and
    /// after
    #[argh(option, default = "0")]
    pub idle: usize,
    /// write a plot of latency over time to an SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}
