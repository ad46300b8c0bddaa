//! Tests of the metrics that a daemon sends.

use std::net::UdpSocket;
use std::time::Duration;

use snipehead::limit::workspace_meter::MeterReading;
use snipehead::metrics::MetricsSender;
use snipehead::peer::rpc::DaemonReport;
use snipehead::peer::rpc::WorkspaceReport;

/// Guards against the name of a workspace that passes for another metric or another workspace.
#[test]
fn names_stay_within_the_tags_of_their_metrics() {
    let receiver = UdpSocket::bind(("127.0.0.1", 0)).expect("a port is free");
    receiver.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is valid");
    let address = receiver.local_addr().expect("the socket is bound");
    let sender = MetricsSender::new(address, "host01").expect("a port is free");
    sender.send(&DaemonReport {
        host: "host01".to_owned(),
        data_centre: "dc1".to_owned(),
        incarnation: 1,
        version: 1,
        state: "serving".to_owned(),
        is_table_reachable: true,
        lease_left_ms: 1,
        generation: 1,
        callers: 1,
        groups: Vec::new(),
        workspaces: vec![WorkspaceReport {
            name: "a,workspace:b\nsnipehead.lease_left_ms:9000|g".to_owned(),
            share_ppm: 1,
            reading: MeterReading::default(),
        }],
    });
    let mut buffer = [0; 2048];
    loop {
        let count = receiver.recv(&mut buffer).expect("the metrics arrive");
        let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
        if text.contains("workspace.latency_max_us") {
            let tags = "host:host01,workspace:a_workspace_b_snipehead.lease_left_ms_9000_g";
            assert_eq!(text.trim_end(), format!("snipehead.workspace.latency_max_us:0|g|#{tags}"));
            return;
        }
    }
}
