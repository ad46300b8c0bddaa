//! Logs: one line of key=value pairs an event.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

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
    let mut pairs = PairWriter { writer };
    record.key_values().visit(&mut pairs).map_err(std::io::Error::other)?;
    let message = record.args().to_string();
    match message.is_empty() {
        true => Ok(()),
        false => write!(writer, " message={message:?}"),
    }
}

struct PairWriter<'a> {
    writer: &'a mut dyn Write,
}

impl<'a> VisitSource<'a> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let is_plain = !text.is_empty() && text.chars().all(is_plain);
        let written = match is_plain {
            true => write!(self.writer, " {key}={text}"),
            false => write!(self.writer, " {key}={text:?}"),
        };
        written.map_err(log::kv::Error::boxed)
    }
}

fn is_plain(character: char) -> bool {
    character.is_alphanumeric() || "-_.:/,+".contains(character)
}
