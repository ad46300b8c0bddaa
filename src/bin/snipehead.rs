//! Command line for operators.

use std::process::ExitCode;

use snipehead::client::commands;

#[tokio::main]
async fn main() -> ExitCode {
    commands::run(argh::from_env()).await
}
