//! Measures the CPU, memory and network cost of the control plane for a number of daemons without
//! callers. CPU time and memory are those of the whole process, stand-ins included; traffic is that
//! of the whole loopback interface.

use std::time::Duration;

use serde_json::json;

use super::testbed::Testbed;

/// Clock ticks per second of the CPU times in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Resources used so far: CPU time and memory of this process, traffic on the loopback interface,
/// and calls to the platform's table.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_s: f64,
    resident_kib: u64,
    loopback_bytes: u64,
    table_calls: u64,
}

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Returns a message if the deployment does not become ready.
pub async fn run(hosts: usize, seconds: u64) -> Result<(), String> {
    let before = read_usage(0);
    let defaults = json!({ "rate_per_s": 1000, "burst": 1000 });
    let testbed =
        Testbed::start(hosts, &["a", "b", "c", "d", "e", "f", "g", "h"], defaults).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = || {
        let (reads, writes) = testbed.embedded.deployment.platform.call_counts();
        reads + writes
    };
    let start = read_usage(calls());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let end = read_usage(calls());
    let per_s = |value: f64| value / seconds as f64;
    let daemons = hosts as f64;
    let cpu = per_s(end.cpu_s - start.cpu_s) * 100.0;
    let bytes = per_s((end.loopback_bytes - start.loopback_bytes) as f64);
    println!(
        "{hosts:>3} daemons: {:.2}% of a core each ({cpu:.1}% in all), {:.0} KiB each, \
         {:.0} bytes/s each, {:.1} table calls/s in all",
        cpu / daemons,
        end.resident_kib.saturating_sub(before.resident_kib) as f64 / daemons,
        bytes / daemons,
        per_s((end.table_calls - start.table_calls) as f64)
    );
    testbed.stop().await;
    Ok(())
}

fn read_usage(table_calls: u64) -> Usage {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let cpu_s = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"));
    let resident_kib = resident.and_then(|line| line.split_whitespace().nth(1));
    let devices = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let loopback = devices.lines().find(|line| line.trim_start().starts_with("lo:"));
    let loopback_bytes = loopback.and_then(|line| line.split_whitespace().nth(1));
    Usage {
        cpu_s,
        resident_kib: resident_kib.and_then(|text| text.parse().ok()).unwrap_or(0),
        loopback_bytes: loopback_bytes.and_then(|text| text.parse().ok()).unwrap_or(0),
        table_calls,
    }
}
