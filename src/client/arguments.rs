//! Arguments of the command line for operators.

use std::path::PathBuf;

use argh::FromArgs;

use crate::load::arguments::Load;
use crate::measure::arguments::Measure;

/// Operate a fleet of snipehead daemons.
#[derive(FromArgs)]
pub struct Arguments {
    /// operator address of any daemon; defaults to the environment variable SNIPEHEAD_DAEMON
    #[argh(option)]
    pub daemon: Option<String>,
    /// file with the fleet's secret; defaults to the environment variable SNIPEHEAD_SECRET
    #[argh(option)]
    pub secret_file: Option<PathBuf>,
    /// name recorded with each change; defaults to the environment variable USER
    #[argh(option)]
    pub who: Option<String>,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// Commands.
pub enum Command {
    /// Checks a settings file or fleet document.
    Check(Check),
    /// Shows the status of the fleet.
    Status(Status),
    /// Manages keys.
    Key(KeyArguments),
    /// Takes data centres in and out of service.
    Zone(ZoneArguments),
    /// Takes backend servers in and out of service.
    Backend(BackendArguments),
    /// Shows or replaces the configuration.
    Config(ConfigArguments),
    /// Moves a group's primary.
    Failover(Failover),
    /// Shuts down a daemon gracefully.
    Drain(Drain),
    /// Runs a demo deployment.
    Demo(Demo),
    /// Runs a load test.
    Load(Load),
    /// Runs a measurement.
    Measure(Measure),
}

/// Check a file with a daemon's settings or a fleet document; exits with 2 if it is not valid.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file to check
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show the status of the fleet; exits with 0 if it is healthy, 1 if degraded, 3 if failing.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Issue, withdraw and list the keys of workspaces.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// Commands on keys.
pub enum KeyCommand {
    /// Issues a key.
    Issue(KeyIssue),
    /// Withdraws a key.
    Withdraw(KeyWithdraw),
    /// Lists keys.
    List(KeyList),
}

/// Issue a key and print it; it cannot be displayed again.
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
pub struct KeyIssue {
    /// workspace that the key gives access to
    #[argh(positional)]
    pub workspace: String,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
}

/// Withdraw a key permanently; its connections are closed within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct KeyWithdraw {
    /// id of the key (the part before the dot)
    #[argh(positional)]
    pub key_id: String,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
}

/// List keys without their secrets.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct KeyList {}

/// Take data centres out of service and bring them back.
#[derive(FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: ZoneCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// Commands on a data centre.
pub enum ZoneCommand {
    /// Takes it out of service.
    Out(ZoneOut),
    /// Brings it back into service.
    In(ZoneIn),
}

/// Take a data centre out of service: its primaries are moved, and it gets no new work.
#[derive(FromArgs)]
#[argh(subcommand, name = "out")]
pub struct ZoneOut {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
    /// proceed even if a group is left without a majority
    #[argh(switch)]
    pub force: bool,
}

/// Bring a data centre back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "in")]
pub struct ZoneIn {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
}

/// Take backend servers out of service and bring them back.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
pub struct BackendArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: BackendCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// Commands on a backend server.
pub enum BackendCommand {
    /// Takes it out of service.
    Leave(BackendLeave),
    /// Brings it back into service.
    Return(BackendReturn),
}

/// Send no new work to a member; if it is the primary, another member takes over first.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub struct BackendLeave {
    /// name of the group
    #[argh(positional)]
    pub group: String,
    /// name of the member
    #[argh(positional)]
    pub member: String,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
}

/// Send new work to a member again.
#[derive(FromArgs)]
#[argh(subcommand, name = "return")]
pub struct BackendReturn {
    /// name of the group
    #[argh(positional)]
    pub group: String,
    /// name of the member
    #[argh(positional)]
    pub member: String,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
}

/// Read and change the fleet's configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// Commands on the configuration.
pub enum ConfigCommand {
    /// Prints it.
    Get(ConfigGet),
    /// Replaces the fleet document.
    Apply(ConfigApply),
    /// Lists its changes.
    History(ConfigHistory),
}

/// Print the active configuration as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct ConfigGet {}

/// Replace the fleet document.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ConfigApply {
    /// file with the document
    #[argh(positional)]
    pub file: PathBuf,
    /// version that the document is based on; 0 for the first one
    #[argh(option)]
    pub version: u64,
    /// reason, recorded in the history
    #[argh(option)]
    pub why: String,
}

/// List changes: version, author, operation and reason.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistory {
    /// list only changes after this version
    #[argh(option, default = "0")]
    pub after: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Move a group's primary without refusing writes in the meantime.
#[derive(FromArgs)]
#[argh(subcommand, name = "failover")]
pub struct Failover {
    /// name of the group
    #[argh(positional)]
    pub group: String,
    /// member that takes over; defaults to the best candidate
    #[argh(option, default = "String::new()")]
    pub to: String,
}

/// Start a graceful shutdown of the daemon at the given address.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// Run a small demo deployment on the loopback interface until interrupted.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// port for callers; defaults to any free one
    #[argh(option, default = "0")]
    pub port: u16,
}
