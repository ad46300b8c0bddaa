//! The entry host daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use snipehead::daemon::Daemon;
use snipehead::logging;
use snipehead::settings::daemon_settings::DaemonSettings;
use snipehead::settings::load::load_daemon_settings;

/// Exit code if the settings cannot be read or are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Serve callers of PostgreSQL database groups with session consistency.
#[derive(FromArgs)]
struct Arguments {
    /// JSON file with the daemon's settings
    #[argh(positional)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match std::fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", arguments.settings.display());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let settings = match load_daemon_settings(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{}: {finding}", arguments.settings.display());
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "daemon_failed", error = error.to_string(); "");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: DaemonSettings) -> std::io::Result<()> {
    let _logger = logging::start(&settings.log_level.to_string()).map_err(std::io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads.get() as usize)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let daemon = Daemon::start(settings).await?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let control = daemon.control().clone();
        let signal_task = tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            control.drain().await;
        });
        daemon.stopped().await;
        signal_task.abort();
        let _ = signal_task.await;
        Ok(())
    })
}
