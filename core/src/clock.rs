//! Time as the decisions see it.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns milliseconds since boot, counting time in which the machine was suspended.
///
/// A lease that is checked against this clock lapses while its holder is paused.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns milliseconds since 1970, for people only.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
