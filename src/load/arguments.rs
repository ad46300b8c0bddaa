//! Arguments of the load command.

use std::path::PathBuf;

use argh::FromArgs;

/// Run a load and print what callers experienced.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// caller addresses, separated by commas; by default a small deployment of its own is started
    #[argh(option)]
    pub to: Option<String>,
    /// workspace, key and group, as workspace:key:group; may be given more than once
    #[argh(option)]
    pub workspace: Vec<String>,
    /// connections for each workspace
    #[argh(option, default = "4")]
    pub connections: usize,
    /// seconds to run
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// statements a second for each workspace; 0 sends each when the one before is answered
    #[argh(option, default = "0")]
    pub rate: u64,
    /// percent of statements that write
    #[argh(option, default = "20")]
    pub write_percent: u32,
    /// seed of the choices
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// compare with a direct connection to a member, in a deployment of its own
    #[argh(switch)]
    pub side_by_side: bool,
    /// hold this many idle connections to a daemon as well, and tell its memory
    #[argh(option, default = "0")]
    pub idle: usize,
    /// write a plot of latency over time to this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}
