//! Clock that also counts the time in which the VM was suspended.
//!
//! The monotonic clock stands still during a suspension, so that a node which wakes up would take
//! old knowledge for fresh; see `docs/platform.md`.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Gives the time since the VM booted, suspensions included.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Gives the time since 1970 in milliseconds on the clock of this VM, which may jump.
pub fn wall_ms() -> i64 {
    let time = clock_gettime(ClockId::Realtime);
    time.tv_sec * 1_000 + time.tv_nsec / 1_000_000
}
