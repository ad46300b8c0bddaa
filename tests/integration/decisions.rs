//! Tests of the decision logic without input and output. The protocols are checked with random
//! schedules of events.

mod call_replies;
mod change_logs;
mod charts;
mod classification;
mod elections;
mod expected_replies;
mod failover_timing;
mod floors;
mod limits;
mod literals;
mod metrics;
mod settings;
mod versions;
