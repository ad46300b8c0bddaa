//! Sends this node's counts to the nodes that collect them, and carries out the reporter's steps.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::now_ms;
use crate::clock::unix_ms;
use crate::lease_records::configured_services;
use crate::metadata_sync::reader_address;
use crate::name::Name;
use crate::node::Node;
use crate::store::StoreError;
use crate::store::WriteOutcome;
use crate::sync::lock;
use crate::usage::record::StoredUsage;
use crate::usage::record::USAGE_KEY;
use crate::usage::record::USAGE_PARTITION;
use crate::usage::record::UsageRecord;
use crate::usage::reporter::RecordWriteResult;
use crate::usage::reporter::Reporter;
use crate::usage::reporter::ReporterEvent;
use crate::usage::reporter::ReporterStep;
use crate::usage::reporter::ReporterView;
use crate::usage::reporter::SendResult;
use crate::usage::sink::UsageReport;
use crate::usage::sink::UsageReportError;
use crate::usage::sink::UsageSink;
use crate::usage::window_clock::TrueTime;

/// Interval at which the time is updated and the reporter is asked for its next step.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an owner sends its counts.
const SEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of nodes that collect counts: the reporter and its first deputy.
const COLLECTORS: usize = 2;

/// Starts the tasks, if usage is reported.
pub(crate) fn start(node: &Arc<Node>) {
    let usage = &node.usage;
    let (Some(settings), Some(sink)) = (usage.settings(), usage.sink.clone()) else { return };
    let identity = &node.settings.identity;
    let reporter = Reporter::new(settings, identity.node.clone(), identity.incarnation);
    node.tasks.spawn(run_reporter(node.clone(), reporter, sink));
    node.tasks.spawn(send_updates(node.clone()));
}

/// Periodically sends the counts that changed.
async fn send_updates(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(SEND_INTERVAL) => {}
        }
        flush(&node).await;
    }
}

/// Sends the counts that changed to the nodes that collect them.
pub(crate) async fn flush(node: &Node) {
    let collectors = collectors(node);
    lock(&node.usage.sender).retain(&collectors);
    // A node that owns no service any more sends until its last windows are recorded.
    if lock(&node.services).is_empty() && node.usage.meter.is_empty() {
        return;
    }
    join_all(collectors.into_iter().map(|collector| send_to(node, collector))).await;
}

async fn send_to(node: &Node, collector: SocketAddr) {
    let me = &node.settings.identity;
    loop {
        let Some(update) = node.usage.next_update(now_ms(), &me.node, collector) else { return };
        let receipt = match collector == me.address {
            true => Ok(node.usage.collect(&update)),
            false => node.peers.send_usage(collector, update.clone()).await,
        };
        match receipt {
            Ok(receipt) if node.usage.record_receipt(collector, &update, &receipt) => {}
            Ok(_) => return,
            Err(error) => {
                if lock(&node.usage.sender).record_failure(now_ms(), collector) {
                    log::info!(
                        event = "usage_update_failed", peer = collector.to_string(),
                        error = error.to_string();
                        "the counts are sent again; logged once until the node answers"
                    );
                }
                return;
            }
        }
    }
}

/// Returns the addresses of the reporter and its first deputies.
fn collectors(node: &Node) -> Vec<SocketAddr> {
    let Some(first) = configured_services(node).into_iter().next() else { return Vec::new() };
    let placement = node.placement();
    let deputies = placement.takeover_order(&first).into_iter().map(|record| record.address);
    let mut collectors: Vec<SocketAddr> =
        node.owner_directory.owner(&first).map(|owner| owner.address).into_iter().collect();
    let sender = lock(&node.usage.sender);
    for deputy in deputies.filter(|address| sender.may_be_deputy(now_ms(), *address)) {
        if collectors.len() < COLLECTORS && !collectors.contains(&deputy) {
            collectors.push(deputy);
        }
    }
    collectors
}

/// Updates the time by which requests are counted.
fn refresh_time(node: &Node) -> Option<TrueTime> {
    let now_ms = now_ms();
    let bounds = lock(&node.lease_table).store_clock(now_ms);
    let is_reader = reader_address(node) == Some(node.settings.identity.address);
    let candidates = is_reader.then(|| lock(&node.nodes).candidates().len());
    node.usage.refresh_time(now_ms, bounds, unix_ms(), candidates)
}

/// Periodically carries out the steps of the reporter.
async fn run_reporter(node: Arc<Node>, mut reporter: Reporter, sink: Arc<dyn UsageSink>) {
    loop {
        let time = refresh_time(&node);
        let step = next_step(&node, &mut reporter, time);
        let is_idle = step == ReporterStep::Wait;
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = carry_out(&node, &mut reporter, &*sink, step) => {}
        }
        *lock(&node.usage.recorded_before) = reporter.recorded_before();
        for event in reporter.take_events() {
            log_event(&node, event);
        }
        if is_idle {
            tokio::select! {
                () = node.stop.cancelled() => return,
                () = tokio::time::sleep(STEP_INTERVAL) => {}
            }
        }
    }
}

fn next_step(node: &Node, reporter: &mut Reporter, time: Option<TrueTime>) -> ReporterStep {
    let now_ms = now_ms();
    let services = configured_services(node);
    let Some(first) = services.first() else { return ReporterStep::Wait };
    let lease = lock(&node.lease_table).active_lease(now_ms, first);
    let is_owner = lease.is_some_and(|(valid_until_ms, _)| now_ms < valid_until_ms);
    if !is_owner {
        return ReporterStep::Wait;
    }
    let owners: BTreeSet<Name> = services
        .iter()
        .filter_map(|service| node.owner_directory.owner(service))
        .map(|owner| owner.node)
        .collect();
    let collector = lock(&node.usage.collector);
    reporter.next(&ReporterView { now_ms, time, is_owner, owners: &owners, collector: &collector })
}

async fn carry_out(node: &Node, reporter: &mut Reporter, sink: &dyn UsageSink, step: ReporterStep) {
    match step {
        ReporterStep::Wait => {}
        ReporterStep::Read => {
            let stored = read_record(node).await;
            reporter.record_read(now_ms(), stored);
        }
        ReporterStep::Write { record, expected } => {
            let result = write_record(node, &record, expected).await;
            node.metrics.increment("usage_record_writes");
            if let RecordWriteResult::Failed(error) = &result {
                log::info!(
                    event = "usage_write_failed", next_window = record.next_window,
                    error = error.to_string();
                    "the record of usage reports is not known to be written"
                );
            }
            reporter.record_write(now_ms(), result);
        }
        ReporterStep::Send(report) => {
            let result = send_report(node, sink, &report).await;
            reporter.record_send(now_ms(), report.window, result);
        }
    }
}

async fn read_record(node: &Node) -> Result<StoredUsage, StoreError> {
    let records = node.dependencies.store.read_partition(USAGE_PARTITION).await?;
    let record = records.iter().find(|record| &*record.key == USAGE_KEY);
    Ok(record.map_or(StoredUsage { record: None, version: 0 }, |record| {
        decode_record(&record.value, record.version)
    }))
}

fn decode_record(value: &[u8], version: u64) -> StoredUsage {
    let decoded = serde_json::from_slice::<UsageRecord>(value);
    if let Err(error) = &decoded {
        log::warn!(
            event = "usage_record_unreadable", version = version, error = error.to_string();
            "windows that ended before the next claim and are not reported yet are missed"
        );
    }
    StoredUsage { record: decoded.ok(), version }
}

async fn write_record(node: &Node, record: &UsageRecord, expected: u64) -> RecordWriteResult {
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(error) => return RecordWriteResult::Failed(StoreError::NotDone(error.to_string())),
    };
    let store = &node.dependencies.store;
    match store.write_record(USAGE_PARTITION, USAGE_KEY, &value, expected).await {
        Ok(WriteOutcome::Written(version)) => RecordWriteResult::Written(version),
        Ok(WriteOutcome::Conflict(Some(present))) => {
            RecordWriteResult::Conflict(decode_record(&present.value, present.version))
        }
        Ok(WriteOutcome::Conflict(None)) => {
            RecordWriteResult::Conflict(StoredUsage { record: None, version: 0 })
        }
        Err(error) => RecordWriteResult::Failed(error),
    }
}

async fn send_report(node: &Node, sink: &dyn UsageSink, report: &UsageReport) -> SendResult {
    // The process may have been suspended since the decision; the sink checks again.
    let left = Duration::from_millis(report.send_before_ms.saturating_sub(now_ms()));
    let reported = tokio::time::timeout(left, sink.report(report)).await;
    let reported = reported.unwrap_or_else(|_| Err(UsageReportError::Failed("late".to_owned())));
    let requests: u64 = report.counts.values().sum();
    match &reported {
        Ok(()) => {
            node.metrics.increment("usage_reports_accepted");
            log::info!(
                event = "usage_reported", window = report.window, token = report.token,
                tenants = report.counts.len(), requests = requests; ""
            );
        }
        Err(error) => {
            node.metrics.increment("usage_reports_failed");
            log::warn!(
                event = "usage_report_failed", window = report.window, token = report.token,
                tenants = report.counts.len(), requests = requests, error = error.to_string();
                "the same counts are sent again later"
            );
        }
    }
    match reported {
        Ok(()) => SendResult::Accepted,
        Err(UsageReportError::Refused(_)) => SendResult::Refused,
        Err(UsageReportError::Failed(_)) => SendResult::Failed,
    }
}

fn log_event(node: &Node, event: ReporterEvent) {
    match event {
        ReporterEvent::Claimed { token, next_window, repeated } => {
            node.metrics.increment("usage_duty_claims");
            log::info!(
                event = "usage_duty_claimed", token = token, next_window = next_window,
                repeated = repeated; ""
            );
        }
        ReporterEvent::Lost { token } => {
            log::info!(
                event = "usage_duty_lost", token = token;
                "another node has claimed the duty to report usage, or its record is gone"
            );
        }
        ReporterEvent::Incomplete { window, missing } => {
            node.metrics.increment("usage_windows_incomplete");
            let shown: Vec<&str> = missing.iter().map(|name| &**name).take(8).collect();
            log::warn!(
                event = "usage_incomplete", window = window, nodes = missing.len(),
                names = shown.join(",");
                "the window is reported without later counts of these nodes"
            );
        }
        ReporterEvent::Missed { from, count } => {
            node.metrics.add("usage_windows_missed", count);
            log::warn!(
                event = "usage_missed", window = from, count = count;
                "the windows are too old, or were refused repeatedly, and are not reported"
            );
        }
    }
}
