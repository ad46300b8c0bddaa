//! Runs the commands of the command line for operators.

use std::process::ExitCode;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;

use super::arguments::Arguments;
use super::arguments::BackendCommand;
use super::arguments::Check;
use super::arguments::Command;
use super::arguments::ConfigApply;
use super::arguments::ConfigCommand;
use super::arguments::ConfigHistory;
use super::arguments::KeyCommand;
use super::arguments::Status;
use super::arguments::ZoneCommand;
use super::connection::connect;
use super::connection::read_secret;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::demo;
use crate::fleet::change::Operation;
use crate::fleet::finding::Finding;
use crate::fleet::key::Key;
use crate::load;
use crate::measure;
use crate::operator::api::OperatorApiClient;
use crate::operator::status::Health;
use crate::settings::load::load_daemon_settings;
use crate::settings::load::load_fleet_document;

/// Exit code if the fleet is degraded, and for a command that failed.
const EXIT_DEGRADED: u8 = 1;
/// Exit code for a file that is not valid.
const EXIT_INVALID: u8 = 2;
/// Exit code if the fleet is failing.
const EXIT_FAILING: u8 = 3;

/// Runs a command and returns the exit code.
pub async fn run(arguments: Arguments) -> ExitCode {
    match dispatch(arguments).await {
        Ok(code) => ExitCode::from(code),
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(EXIT_DEGRADED)
        }
    }
}

async fn dispatch(arguments: Arguments) -> Result<u8, String> {
    match arguments.command {
        Command::Check(check) => Ok(check_file(&check)),
        Command::Demo(demo) => demo::run(demo.port).await.map(|()| 0),
        Command::Load(load) => load::command::run(load).await.map(|()| 0),
        Command::Measure(measure) => measure::command::run(measure).await.map(|()| 0),
        command => {
            let address = match arguments.daemon {
                Some(address) => address,
                None => std::env::var("SNIPEHEAD_DAEMON").map_err(|_| {
                    "set --daemon ADDRESS or the environment variable SNIPEHEAD_DAEMON".to_owned()
                })?,
            };
            let secret = read_secret(arguments.secret_file.as_deref())?;
            let client = connect(&address, &secret)?;
            let who = arguments.who.or_else(|| std::env::var("USER").ok());
            let runner = CommandRunner { client, who: who.unwrap_or_else(|| "unknown".to_owned()) };
            runner.run(command).await
        }
    }
}

fn check_file(check: &Check) -> u8 {
    let findings = match std::fs::read_to_string(&check.file) {
        Ok(text) => check_text(&text),
        Err(error) => vec![Finding::new("/", "file", error.to_string())],
    };
    for finding in &findings {
        eprintln!("{}: {finding}", check.file.display());
    }
    if findings.is_empty() {
        println!("{}: valid", check.file.display());
        return 0;
    }
    EXIT_INVALID
}

/// Checks a text as a fleet document if it has `entry_hosts`, and as a daemon's settings otherwise.
pub fn check_text(text: &str) -> Vec<Finding> {
    let value: Option<serde_json::Value> = serde_json::from_str(text).ok();
    let is_document = value.is_some_and(|value| value.get("entry_hosts").is_some());
    match is_document {
        true => load_fleet_document(text).err().unwrap_or_default(),
        false => load_daemon_settings(text).err().unwrap_or_default(),
    }
}

/// Runs the commands that need a connection to a daemon.
struct CommandRunner {
    client: HttpClient,
    who: String,
}

impl CommandRunner {
    async fn run(&self, command: Command) -> Result<u8, String> {
        match command {
            Command::Status(status) => return self.status(&status).await,
            Command::Key(arguments) => self.key(arguments.command).await?,
            Command::Zone(arguments) => self.zone(arguments.command).await?,
            Command::Backend(arguments) => self.backend(arguments.command).await?,
            Command::Config(arguments) => match arguments.command {
                ConfigCommand::Get(_) => self.config_get().await?,
                ConfigCommand::Apply(apply) => return self.config_apply(&apply).await,
                ConfigCommand::History(history) => self.history(&history).await?,
            },
            Command::Failover(failover) => {
                let moved = self.client.move_primary(failover.group.clone(), failover.to).await;
                println!("primary of {} is {}", failover.group, moved.map_err(error_message)?);
            }
            Command::Drain(_) => {
                self.client.drain().await.map_err(error_message)?;
                println!("the daemon is stopping");
            }
            Command::Check(_) | Command::Demo(_) | Command::Load(_) | Command::Measure(_) => {}
        }
        Ok(0)
    }

    async fn status(&self, arguments: &Status) -> Result<u8, String> {
        let status = self.client.status().await.map_err(error_message)?;
        match arguments.json {
            true => println!("{}", to_json(&status)?),
            false => print!("{status}"),
        }
        Ok(match status.health {
            Health::Healthy => 0,
            Health::Degraded => EXIT_DEGRADED,
            Health::Failing => EXIT_FAILING,
        })
    }

    async fn key(&self, command: KeyCommand) -> Result<(), String> {
        match command {
            KeyCommand::Issue(issue) => {
                let (key, text) = Key::issue(&issue.workspace);
                let receipt = self.change(Operation::IssueKey { key }, None, issue.why).await?;
                print_receipt(&receipt);
                println!("key: {text}");
            }
            KeyCommand::Withdraw(withdraw) => {
                let operation = Operation::WithdrawKey { key_id: withdraw.key_id };
                print_receipt(&self.change(operation, None, withdraw.why).await?);
            }
            KeyCommand::List(_) => {
                for key in self.client.keys().await.map_err(error_message)? {
                    let state = if key.is_withdrawn { "withdrawn" } else { "valid" };
                    println!("{} {:<24} {state}", key.key_id, key.workspace);
                }
            }
        }
        Ok(())
    }

    async fn zone(&self, command: ZoneCommand) -> Result<(), String> {
        let (operation, why) = match command {
            ZoneCommand::Out(out) => {
                let operation =
                    Operation::DataCentreOut { data_centre: out.data_centre, is_forced: out.force };
                (operation, out.why)
            }
            ZoneCommand::In(back) => {
                let operation = Operation::DataCentreIn { data_centre: back.data_centre };
                (operation, back.why)
            }
        };
        print_receipt(&self.change(operation, None, why).await?);
        Ok(())
    }

    async fn backend(&self, command: BackendCommand) -> Result<(), String> {
        let (operation, why) = match command {
            BackendCommand::Leave(leave) => {
                let operation =
                    Operation::MemberLeaves { group: leave.group, member: leave.member };
                (operation, leave.why)
            }
            BackendCommand::Return(back) => {
                let operation = Operation::MemberReturns { group: back.group, member: back.member };
                (operation, back.why)
            }
        };
        print_receipt(&self.change(operation, None, why).await?);
        Ok(())
    }

    async fn config_get(&self) -> Result<(), String> {
        let view = self.client.config().await.map_err(error_message)?;
        println!("{}", to_json(&view)?);
        Ok(())
    }

    async fn config_apply(&self, apply: &ConfigApply) -> Result<u8, String> {
        let text = std::fs::read_to_string(&apply.file)
            .map_err(|error| format!("{}: {error}", apply.file.display()))?;
        let document = match load_fleet_document(&text) {
            Ok(document) => Box::new(document),
            Err(findings) => {
                for finding in findings {
                    eprintln!("{}: {finding}", apply.file.display());
                }
                return Ok(EXIT_INVALID);
            }
        };
        let operation = Operation::ApplyDocument { document };
        let receipt = self.change(operation, Some(apply.version), apply.why.clone()).await?;
        print_receipt(&receipt);
        Ok(0)
    }

    async fn history(&self, arguments: &ConfigHistory) -> Result<(), String> {
        let changes = self.client.history(arguments.after).await.map_err(error_message)?;
        if arguments.json {
            println!("{}", to_json(&changes)?);
            return Ok(());
        }
        for change in changes {
            println!(
                "{:>6}  {:<20} {}  ({})",
                change.version, change.who, change.operation, change.why
            );
        }
        Ok(())
    }

    async fn change(
        &self,
        operation: Operation,
        expected_version: Option<u64>,
        why: String,
    ) -> Result<ChangeReceipt, String> {
        let request = ChangeRequest { operation, expected_version, who: self.who.clone(), why };
        self.client.change(request).await.map_err(error_message)
    }
}

fn print_receipt(receipt: &ChangeReceipt) {
    let count = receipt.in_force_on.len();
    match receipt.is_accepted {
        true => println!(
            "accepted as version {}; in force on {count} of {} hosts, and on the others within \
             seconds",
            receipt.version, receipt.hosts
        ),
        false => println!(
            "recorded as version {}, but not yet known to a majority: in force on {count} of {} \
             hosts ({})",
            receipt.version,
            receipt.hosts,
            receipt.in_force_on.join(", ")
        ),
    }
}

fn to_json<Value>(value: &Value) -> Result<String, String>
where
    Value: serde::Serialize,
{
    serde_json::to_string_pretty(value).map_err(|error| error.to_string())
}

fn error_message(error: ClientError) -> String {
    match error {
        ClientError::Call(call) => call.message().to_owned(),
        ClientError::Transport(_) => format!("the daemon does not answer: {error}"),
        other => other.to_string(),
    }
}
