//! What was sent, answered and run, with the time since the start.

use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<(u64, String)>> = Mutex::new(Vec::new());

/// Returns the milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn note(line: String) {
    let at_ms = now_ms();
    LINES.lock().expect("not poisoned").push((at_ms, line));
}

/// Writes all lines to a file.
pub fn write(path: &str) {
    let lines = LINES.lock().expect("not poisoned");
    let mut text = String::new();
    for (at_ms, line) in lines.iter() {
        text.push_str(&format!("{:>8.3} {line}\n", *at_ms as f64 / 1_000.0));
    }
    if let Err(error) = std::fs::write(path, text) {
        eprintln!("the record could not be written: {error}");
    }
}

#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::record::note(format!($($part)*)) };
}
