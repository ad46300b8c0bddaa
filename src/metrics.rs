//! Sends metrics in the statsd format over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Gauged;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use tokio_util::sync::CancellationToken;

use crate::control::handle::ControlHandle;
use crate::group::out_of_step;
use crate::peer::rpc::DaemonReport;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Sends a daemon's own report to a statsd server.
pub struct MetricsSender {
    client: StatsdClient,
}

impl MetricsSender {
    /// Creates a sender to a statsd address. All metrics are tagged with the host's name.
    ///
    /// # Errors
    ///
    /// Returns an error if no local port can be bound.
    pub fn new(address: SocketAddr, host: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let client =
            StatsdClient::builder("snipehead", sink).with_tag("host", tag_value(host)).build();
        Ok(Self { client })
    }

    /// Sends a report at every interval until `stop` is cancelled.
    pub async fn run(self, control: ControlHandle, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => {}
            }
            if let Some(report) = control.report().await {
                self.send(&report);
            }
        }
    }

    /// Sends one report. Metrics that cannot be sent are dropped.
    pub fn send(&self, report: &DaemonReport) {
        let _ = self.client.gauge("configuration_version", report.version);
        let _ = self.client.gauge("lease_left_ms", report.lease_left_ms);
        let _ = self.client.gauge("callers", report.callers);
        let _ = self.client.gauge("connections_out_of_step", out_of_step::count());
        for group in &report.groups {
            let gauges = [
                ("group.term", group.term),
                ("group.connections_in_use", group.in_use),
                ("group.requests_waiting", group.waiting),
                ("group.has_primary", u64::from(group.primary.is_some())),
            ];
            for (name, value) in gauges {
                self.client
                    .gauge_with_tags(name, value)
                    .with_tag("group", &tag_value(&group.name))
                    .send();
            }
        }
        for workspace in &report.workspaces {
            let reading = &workspace.reading;
            let gauges = [
                ("workspace.admitted", reading.admitted),
                ("workspace.refused", reading.refused),
                ("workspace.failed", reading.failed),
                ("workspace.reads", reading.reads),
                ("workspace.replica_reads", reading.replica_reads),
                ("workspace.latency_p50_us", reading.p50_us),
                ("workspace.latency_p99_us", reading.p99_us),
                ("workspace.latency_max_us", reading.max_us),
            ];
            for (name, value) in gauges {
                self.client
                    .gauge_with_tags(name, value)
                    .with_tag("workspace", &tag_value(&workspace.name))
                    .send();
            }
        }
    }
}

/// Returns a name without the characters that separate the parts of a metric.
fn tag_value(name: &str) -> String {
    let separates = |character: char| ":|,#@".contains(character) || character.is_control();
    name.replace(separates, "_")
}
