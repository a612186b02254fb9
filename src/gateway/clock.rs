//! Clock that includes the time during which the VM was suspended.
//!
//! The monotonic clock stops during a suspension, so with it a resumed node would treat stale state as
//! fresh; see `docs/platform.md`.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including suspensions.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Returns the milliseconds since 1970 on the wall clock of this VM, which may jump.
pub fn wall_ms() -> i64 {
    let time = clock_gettime(ClockId::Realtime);
    time.tv_sec * 1_000 + time.tv_nsec / 1_000_000
}
