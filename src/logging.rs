//! Logging to standard error, one line of key=value pairs per event.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;

use snipehead_core::log_line::write_pairs;

/// Starts logging to standard error at the given level.
///
/// # Errors
///
/// Returns an error if the level is not valid or a logger is already installed.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    // Libraries may log data sent by callers, so only this project's crates are enabled.
    let specification = format!("off, snipehead={level}, snipeheadd={level}");
    Logger::try_with_str(specification)?.format(format_line).start()
}

fn format_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    write!(writer, "at={} level={}", now.format_rfc3339(), record.level().as_str().to_lowercase())?;
    write_pairs(writer, record)
}
