//! Clocks for leases and timeouts, and for display.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns milliseconds since boot, including time for which the machine was suspended.
///
/// A lease that is checked against this clock expires even while its holder is suspended.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns microseconds since boot, including time for which the machine was suspended.
pub fn now_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Returns milliseconds since the Unix epoch. Not for leases or timeouts: this clock may be set.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
