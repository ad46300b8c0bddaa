//! Counters of one level.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::admission::refusal::RefusalReason;

/// Counters of the statements of one level.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LevelCounters {
    /// Statements that were admitted.
    pub admitted: u64,
    /// Statements that were refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Statements that got a slot after a wait.
    pub waited: u64,
    /// Total wait of those, in milliseconds.
    pub waited_ms: u64,
}

impl LevelCounters {
    /// Appends the counters as metrics, one per line. `service` is the value of a label.
    pub fn render_metrics(&self, text: &mut String, service: &str, level: u32) {
        let labels = format!("service=\"{service}\",level=\"{level}\"");
        let _ = writeln!(text, "admission_admitted{{{labels}}} {}", self.admitted);
        let _ = writeln!(text, "admission_waited{{{labels}}} {}", self.waited);
        let _ = writeln!(text, "admission_waited_ms{{{labels}}} {}", self.waited_ms);
        for (reason, count) in &self.refused {
            let reason = reason.label();
            let _ = writeln!(text, "admission_refused{{{labels},reason=\"{reason}\"}} {count}");
        }
    }
}
