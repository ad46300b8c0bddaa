//! Metrics in the statsd format.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Gauged;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use tokio_util::sync::CancellationToken;

use crate::control::handle::ControlHandle;
use crate::peer::rpc::DaemonReport;

/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(10);

/// Sends what a daemon reports of itself to a statsd address.
pub struct MetricsSender {
    client: StatsdClient,
}

impl MetricsSender {
    /// Creates a sender.
    ///
    /// # Errors
    ///
    /// Returns an error when no local port can be bound.
    pub fn new(address: SocketAddr, host: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::builder("snipehead", sink).with_tag("host", host).build();
        Ok(Self { client })
    }

    /// Sends a report at every interval until `stop`.
    pub async fn run(self, control: ControlHandle, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(INTERVAL);
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

    /// Sends one report. A metric that cannot be sent is lost.
    pub fn send(&self, report: &DaemonReport) {
        let _ = self.client.gauge("configuration_version", report.version);
        let _ = self.client.gauge("lease_left_ms", report.lease_left_ms);
        let _ = self.client.gauge("callers", report.callers);
        for group in &report.groups {
            let gauges = [
                ("group.term", group.term),
                ("group.connections_in_use", group.in_use),
                ("group.requests_waiting", group.waiting),
                ("group.has_primary", u64::from(group.primary.is_some())),
            ];
            for (name, value) in gauges {
                self.client.gauge_with_tags(name, value).with_tag("group", &group.name).send();
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
                    .with_tag("workspace", &workspace.name)
                    .send();
            }
        }
    }
}
