//! Arguments of the operators' command line.

use std::path::PathBuf;

use argh::FromArgs;

use crate::load::arguments::Load;
use crate::measure::arguments::Measure;

/// Operate a fleet of snipehead daemons.
#[derive(FromArgs)]
pub struct Arguments {
    /// operator address of any daemon; by default SNIPEHEAD_DAEMON from the environment
    #[argh(option)]
    pub daemon: Option<String>,
    /// file with the fleet's secret; by default SNIPEHEAD_SECRET from the environment
    #[argh(option)]
    pub secret_file: Option<PathBuf>,
    /// name under which changes are recorded; by default USER from the environment
    #[argh(option)]
    pub who: Option<String>,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// The commands.
pub enum Command {
    /// Checks a file.
    Check(Check),
    /// Tells how the fleet is doing.
    Status(Status),
    /// Handles keys.
    Key(KeyGroup),
    /// Handles data centres.
    Zone(ZoneGroup),
    /// Handles backend servers.
    Backend(BackendGroup),
    /// Handles the configuration.
    Config(ConfigGroup),
    /// Moves a primary.
    Failover(Failover),
    /// Stops a daemon.
    Drain(Drain),
    /// Runs a small deployment.
    Demo(Demo),
    /// Runs a load.
    Load(Load),
    /// Takes a measure.
    Measure(Measure),
}

/// Check a file with a daemon's settings or a fleet's document; exits with 2 on findings.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Tell how the fleet is doing; exits with 0 healthy, 1 degraded, 3 failing.
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
pub struct KeyGroup {
    /// what to do
    #[argh(subcommand)]
    pub command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// What to do with keys.
pub enum KeyCommand {
    /// Issues a key.
    Issue(KeyIssue),
    /// Withdraws a key.
    Withdraw(KeyWithdraw),
    /// Lists keys.
    List(KeyList),
}

/// Issue a key and print it; it cannot be shown again.
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
pub struct KeyIssue {
    /// workspace that the key is for
    #[argh(positional)]
    pub workspace: String,
    /// why
    #[argh(option)]
    pub why: String,
}

/// Withdraw a key for good; its connections end within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct KeyWithdraw {
    /// id of the key, the part before the dot
    #[argh(positional)]
    pub key_id: String,
    /// why
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
pub struct ZoneGroup {
    /// what to do
    #[argh(subcommand)]
    pub command: ZoneCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// What to do with a data centre.
pub enum ZoneCommand {
    /// Takes it out.
    Out(ZoneOut),
    /// Brings it back.
    In(ZoneIn),
}

/// Take a data centre out of service: its primaries move, and it gets no new work.
#[derive(FromArgs)]
#[argh(subcommand, name = "out")]
pub struct ZoneOut {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// why
    #[argh(option)]
    pub why: String,
    /// also if a group is left without a majority
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
    /// why
    #[argh(option)]
    pub why: String,
}

/// Let backend servers leave and return.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
pub struct BackendGroup {
    /// what to do
    #[argh(subcommand)]
    pub command: BackendCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// What to do with a backend server.
pub enum BackendCommand {
    /// It leaves.
    Leave(BackendLeave),
    /// It returns.
    Return(BackendReturn),
}

/// End new work on a member; if it is primary, another takes over first.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub struct BackendLeave {
    /// name of the group
    #[argh(positional)]
    pub group: String,
    /// name of the member
    #[argh(positional)]
    pub member: String,
    /// why
    #[argh(option)]
    pub why: String,
}

/// Allow new work on a member again.
#[derive(FromArgs)]
#[argh(subcommand, name = "return")]
pub struct BackendReturn {
    /// name of the group
    #[argh(positional)]
    pub group: String,
    /// name of the member
    #[argh(positional)]
    pub member: String,
    /// why
    #[argh(option)]
    pub why: String,
}

/// Read and change the fleet's configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigGroup {
    /// what to do
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
/// What to do with the configuration.
pub enum ConfigCommand {
    /// Shows it.
    Get(ConfigGet),
    /// Replaces the document.
    Apply(ConfigApply),
    /// Shows its changes.
    History(ConfigHistory),
}

/// Print the configuration in force, as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct ConfigGet {}

/// Replace the fleet's document.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ConfigApply {
    /// file with the document
    #[argh(positional)]
    pub file: PathBuf,
    /// version on which the document rests; 0 for the first one
    #[argh(option)]
    pub version: u64,
    /// why
    #[argh(option)]
    pub why: String,
}

/// List changes: version, who, what and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistory {
    /// only changes after this version
    #[argh(option, default = "0")]
    pub after: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Move a group's primary without refusing writes.
#[derive(FromArgs)]
#[argh(subcommand, name = "failover")]
pub struct Failover {
    /// name of the group
    #[argh(positional)]
    pub group: String,
    /// member that takes over; by default the best one
    #[argh(option, default = "String::new()")]
    pub to: String,
}

/// Start a planned stop of the daemon that is asked.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// Run a small deployment on the loopback interface until interrupted.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// port for callers; by default any free one
    #[argh(option, default = "0")]
    pub port: u16,
}
