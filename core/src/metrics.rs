//! Counters and latency histograms, rendered as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use hdrhistogram::Histogram;

use crate::name::Name;
use crate::outcome::Failure;
use crate::sync::lock;

/// Upper bound of recorded latencies, in milliseconds; longer ones are recorded as the bound.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;

#[derive(Default)]
struct Counts {
    served: BTreeMap<(Name, Name), Histogram<u64>>,
    refused: BTreeMap<(Name, String), u64>,
    events: BTreeMap<&'static str, u64>,
    member_failures: BTreeMap<&'static str, u64>,
    reply_mismatches: BTreeMap<&'static str, u64>,
}

/// Counters and latencies of a node.
#[derive(Default)]
pub struct Metrics {
    counts: Mutex<Counts>,
}

impl Metrics {
    /// Counts a served statement.
    pub fn record_served(&self, tenant: &Name, route: &Name, latency_ms: u64) {
        let mut counts = lock(&self.counts);
        let histogram = counts.served.entry((tenant.clone(), route.clone())).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS)
                .unwrap_or_else(|_| Histogram::new(LATENCY_DIGITS).expect("digits are valid"))
        });
        histogram.saturating_record(latency_ms);
    }

    /// Counts a refused statement, by reason.
    pub fn record_refused(&self, tenant: &Name, reason: &str) {
        *lock(&self.counts).refused.entry((tenant.clone(), reason.to_owned())).or_default() += 1;
    }

    /// Counts a failed statement as refused, by its failure.
    pub fn record_failed(&self, tenant: &Name, failure: Failure) {
        self.record_refused(tenant, failure.label());
    }

    /// Counts a new connection to a member.
    pub fn record_connection(&self) {
        self.increment("member_connections_opened");
    }

    /// Counts a failure that a member replied with.
    pub fn record_member_failure(&self, failure: Failure) {
        *lock(&self.counts).member_failures.entry(failure.label()).or_default() += 1;
    }

    /// Counts a reply of a member that is not that of the command that waits for it, by reason.
    pub fn record_mismatch(&self, reason: &'static str) {
        *lock(&self.counts).reply_mismatches.entry(reason).or_default() += 1;
    }

    /// Counts an event.
    pub fn increment(&self, event: &'static str) {
        self.add(event, 1);
    }

    /// Adds to the count of an event.
    pub fn add(&self, event: &'static str, count: u64) {
        *lock(&self.counts).events.entry(event).or_default() += count;
    }

    /// Renders all metrics as text, one per line.
    pub fn render(&self, text: &mut String) {
        let counts = lock(&self.counts);
        for ((tenant, route), histogram) in &counts.served {
            let (tenant, route) = (label_value(tenant), label_value(route));
            let labels = format!("tenant=\"{tenant}\",route=\"{route}\"");
            let _ = writeln!(text, "statements_served{{{labels}}} {}", histogram.len());
            for quantile in [0.5, 0.9, 0.99] {
                let value_ms = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "statement_latency_ms{{{labels},quantile=\"{quantile}\"}} {value_ms}"
                );
            }
        }
        for ((tenant, reason), count) in &counts.refused {
            let (tenant, reason) = (label_value(tenant), label_value(reason));
            let _ = writeln!(
                text,
                "statements_refused{{tenant=\"{tenant}\",reason=\"{reason}\"}} {count}"
            );
        }
        for (failure, count) in &counts.member_failures {
            let _ = writeln!(text, "member_failures{{failure=\"{failure}\"}} {count}");
        }
        for (reason, count) in &counts.reply_mismatches {
            let _ = writeln!(text, "member_reply_mismatches{{reason=\"{reason}\"}} {count}");
        }
        for (event, count) in &counts.events {
            let _ = writeln!(text, "{event} {count}");
        }
    }
}

/// Escapes a name for the value of a label, which stands between quotes.
pub(crate) fn label_value(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
