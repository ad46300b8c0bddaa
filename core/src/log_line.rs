//! Formats log lines as key=value pairs.

use std::io::Write;

use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

/// Writes the pairs of an event, and its message if it has one.
///
/// # Errors
///
/// Returns an error when the writer fails.
pub fn write_pairs(writer: &mut dyn Write, record: &Record<'_>) -> std::io::Result<()> {
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
