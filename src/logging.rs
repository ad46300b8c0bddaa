//! Logs: one line of key=value pairs an event.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;

use snipehead_core::log_line::write_pairs;

/// Starts logging to standard error at a level.
///
/// # Errors
///
/// Returns an error when a logger runs already.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    // Libraries may log what callers sent; only events of this project are logged.
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
